package edge

import (
	"net/http"
	"strings"
	"sync"
)

// headParser follows the head of a request as it is read from the connection. net/http drops a Content-Length that
// stands beside a Transfer-Encoding, so that the pair, which may smuggle a second request in the body, cannot be told
// from chunks alone by what it hands on.
type headParser struct {
	mu sync.Mutex // guards headState
	headState
}

// headState is what is known of the head so far.
type headState struct {
	line              []byte // the present line up to its colon, as far as it may matter
	colonSeen         bool   // in the present line
	lineStarted       bool   // the present line has any byte
	requestLine       string // up to its colon, as far as it may matter
	contentLength     bool   // there is such a line
	transferEncoding  bool   // there is such a line
	complete          bool   // the empty line has come
	startedBeforeIdle bool   // it began before the server had its connection idle
}

// maxHeaderNameKept is how much of a line is kept: more than that is none of the names that are looked for.
const maxHeaderNameKept = len("transfer-encoding") + 1

// requestComplete tells that all of the request has been read: the next byte is another's. The client may send that as
// soon as it has the answer, before the server has the connection idle.
func (h *headParser) requestComplete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.headState = headState{line: h.line[:0], startedBeforeIdle: true}
}

// connectionIdle tells that the server has the connection idle; what came of a request that was not read completely is
// over then.
func (h *headParser) connectionIdle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.startedBeforeIdle {
		h.headState = headState{line: h.line[:0]}
	}
	h.startedBeforeIdle = false
}

// observe takes in bytes that were read.
func (h *headParser) observe(read []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range read {
		switch {
		case h.complete:
			return
		case c == '\n':
			h.endLine()
		case c == '\r':
		case c == ':':
			h.colonSeen = true
			h.lineStarted = true
		default:
			h.lineStarted = true
			if !h.colonSeen && len(h.line) < maxHeaderNameKept {
				h.line = append(h.line, c)
			}
		}
	}
}

// endLine takes in a line.
func (h *headParser) endLine() {
	switch line := string(h.line); {
	case !h.lineStarted: // before the request line an empty one means nothing
		h.complete = h.requestLine != ""
	case h.requestLine == "":
		h.requestLine = line
	case h.colonSeen:
		h.contentLength = h.contentLength || strings.EqualFold(line, "Content-Length")
		h.transferEncoding = h.transferEncoding || strings.EqualFold(line, "Transfer-Encoding")
	}
	h.line = h.line[:0]
	h.colonSeen = false
	h.lineStarted = false
}

// requestComplete tells the connection that all of a request has been read.
func requestComplete(r *http.Request) {
	if conn, ok := clientConnOf(r); ok {
		conn.head.requestComplete()
	}
}

// plainChunks reports whether a request's body comes in chunks, and nothing else states its length. The head must have
// been observed from its first byte on: of one that came behind another request's body nothing is known, and a part of
// it does not begin with a request line, which no other line of a good head can be taken for.
func plainChunks(r *http.Request) bool {
	conn, ok := clientConnOf(r)
	if !ok {
		return false
	}
	conn.head.mu.Lock()
	defer conn.head.mu.Unlock()
	head := conn.head.headState
	return head.complete && head.transferEncoding && !head.contentLength &&
		strings.HasPrefix(r.Method+" "+r.RequestURI, head.requestLine)
}
