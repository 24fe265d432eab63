package edge

import (
	"net/http"
	"strings"
	"sync"
)

// head follows the head of a request as it comes. net/http drops a Content-Length that stands beside a Transfer-Encoding,
// so that the pair, which may hide a second request in the body, cannot be told from chunks alone by what it hands on.
type head struct {
	mu sync.Mutex
	sight
}

type sight struct {
	line            []byte // the one that comes, up to its colon, as far as it may matter
	named           bool   // its colon has come
	some            bool   // it has anything
	first           string // the request's own line, likewise
	length, chunked bool   // there are such lines
	whole           bool
	ahead           bool // it began anew before its connection came to rest
}

const lineMost = len("transfer-encoding") + 1

// next tells that the request has come whole: the next byte is another's. Its client may send that as soon as it has the
// answer, before the server takes the connection to rest.
func (h *head) next() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sight = sight{line: h.line[:0], ahead: true}
}

// rests tells that the connection does; what came of a request that nobody read whole is over then.
func (h *head) rests() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ahead {
		h.sight = sight{line: h.line[:0]}
	}
	h.ahead = false
}

func (h *head) note(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range b {
		switch {
		case h.whole:
			return
		case c == '\n':
			h.end()
		case c == '\r':
		case c == ':':
			h.named, h.some = true, true
		default:
			h.some = true
			if !h.named && len(h.line) < lineMost {
				h.line = append(h.line, c)
			}
		}
	}
}

// end takes in a line.
func (h *head) end() {
	switch line := string(h.line); {
	case !h.some: // before the first line it means nothing
		h.whole = h.first != ""
	case h.first == "":
		h.first = line
	case h.named:
		h.length = h.length || strings.EqualFold(line, "Content-Length")
		h.chunked = h.chunked || strings.EqualFold(line, "Transfer-Encoding")
	}
	h.line, h.named, h.some = h.line[:0], false, false
}

type clientConnKey struct{}

// cameWhole tells that all of a request has been read.
func cameWhole(r *http.Request) {
	if p, ok := r.Context().Value(clientConnKey{}).(*clientConn); ok {
		p.head.next()
	}
}

// plainChunks tells that a request's body comes in chunks and that nothing else says how long it is. The head must have
// been seen from its first byte on: of one that came behind another request's body nothing is known, and a part of it
// does not begin with a request's own line, which no other line of a good head can be taken for.
func plainChunks(r *http.Request) bool {
	p, ok := r.Context().Value(clientConnKey{}).(*clientConn)
	if !ok {
		return false
	}
	p.head.mu.Lock()
	defer p.head.mu.Unlock()
	h := p.head.sight
	return h.whole && h.chunked && !h.length && strings.HasPrefix(r.Method+" "+r.RequestURI, h.first)
}
