package backend_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"standpoint/internal/testpeer"
)

// attemptRecorder counts the requests that arrive at each of its backends.
type attemptRecorder struct {
	mu       sync.Mutex     // guards attempts
	attempts map[string]int // by the address of the backend
}

// startBackend starts a backend that sends the responses in order, one for each request, and repeats the last one.
func (r *attemptRecorder) startBackend(t *testing.T, responses ...string) (address string) {
	var mu sync.Mutex
	address = testpeer.StartRawBackend(t, func(c net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		r.record(c.LocalAddr().String())
		_, _ = io.WriteString(c, responses[0])
		if len(responses) > 1 {
			responses = responses[1:]
		}
	})
	return address
}

func (r *attemptRecorder) record(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[address]++
}

func (r *attemptRecorder) count(address string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[address]
}

func newAttemptRecorder() *attemptRecorder { return &attemptRecorder{attempts: map[string]int{}} }

// failed500 is a response with status 500, as on the wire.
const failed500 = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
