package edge

import (
	"net/http"
	"strings"
	"sync"
)

// headParser parses the head of a request as it is read from the connection. A request with both Content-Length and
// Transfer-Encoding may smuggle a second request in its body. net/http drops the Content-Length of such a request, so
// that it cannot be distinguished from a properly chunked one afterwards.
type headParser struct {
	mu sync.Mutex // guards headState
	headState
}

// headState is the state of the parser.
type headState struct {
	line              []byte // the current line up to its colon, at most maxHeaderNameLength bytes
	colonSeen         bool   // the current line has had a colon
	lineStarted       bool   // the current line is not empty
	requestLine       string // the request line up to its first colon, at most maxHeaderNameLength bytes
	contentLength     bool   // the head has a Content-Length
	transferEncoding  bool   // the head has a Transfer-Encoding
	complete          bool   // the empty line at the end of the head has been read
	startedBeforeIdle bool   // the head may have started before the server marked the connection idle
}

// maxHeaderNameLength is the number of bytes stored of a line: one more than the longest header name that the parser
// looks for, so that longer names do not match.
const maxHeaderNameLength = len("transfer-encoding") + 1

// requestComplete resets the parser once a request has been read completely: the next byte belongs to another request.
// The client may send that as soon as it has the response, before the server marks the connection idle.
func (h *headParser) requestComplete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.headState = headState{line: h.line[:0], startedBeforeIdle: true}
}

// connectionIdle is called when the server marks the connection idle. It resets the parser if the request before was
// not read completely.
func (h *headParser) connectionIdle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.startedBeforeIdle {
		h.headState = headState{line: h.line[:0]}
	}
	h.startedBeforeIdle = false
}

// observe parses the next bytes of the connection.
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
			if !h.colonSeen && len(h.line) < maxHeaderNameLength {
				h.line = append(h.line, c)
			}
		}
	}
}

// endLine parses the end of a line.
func (h *headParser) endLine() {
	switch line := string(h.line); {
	case !h.lineStarted: // empty lines before the request line are ignored
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

// requestComplete resets the head parser of the request's connection once the request has been read completely.
func requestComplete(r *http.Request) {
	if conn, ok := clientConnOf(r); ok {
		conn.head.requestComplete()
	}
}

// plainChunks reports whether a request's body is chunked and its head has no Content-Length. It returns false unless
// the parser has observed the head from its first byte. If the start of the head was read together with the body of the
// request before it, the parser has taken a later line of the head for the request line. The comparison with the actual
// request line detects that, since no header line of a valid head is a prefix of it.
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
