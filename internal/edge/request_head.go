package edge

import (
	"bytes"
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
	size              int    // bytes of the head so far
	fields            int    // lines behind the request line so far
}

// memory returns the memory that the head has in the server once it is parsed, in bytes.
func (h *headState) memory() int { return h.size*headByteCost + h.fields*headFieldCost }

const (
	// maxHeadFields is the maximum number of header fields of a request.
	maxHeadFields = 100
	// headByteCost is the memory for a byte of a head: its name and value are kept, and its lines are buffered before.
	headByteCost = 2
	// headFieldCost is the memory for a header field beside its text, in bytes: an entry of a map and a slice.
	headFieldCost = 200
)

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

// observe parses the next bytes of the connection, and returns the state of the head after them.
func (h *headParser) observe(read []byte) headState {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range read {
		if h.complete {
			break
		}
		h.size++
		switch {
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
	return h.headState
}

// endLine parses the end of a line.
func (h *headParser) endLine() {
	switch {
	case !h.lineStarted: // empty lines before the request line are ignored
		h.complete = h.requestLine != ""
	case h.requestLine == "":
		h.requestLine = string(h.line)
	default:
		h.fields++
		h.contentLength = h.contentLength || h.isField(contentLengthName)
		h.transferEncoding = h.transferEncoding || h.isField(transferEncodingName)
	}
	h.line = h.line[:0]
	h.colonSeen = false
	h.lineStarted = false
}

// isField reports whether the current line is a header field with the given name.
func (h *headParser) isField(name []byte) bool { return h.colonSeen && bytes.EqualFold(h.line, name) }

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
