package backend_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"standpoint/internal/testpeer"
)

// attemptRecorder notes which requests came to which server.
type attemptRecorder struct {
	mu       sync.Mutex
	attempts map[string]int // by the server's address
}

// server starts a server that answers its requests by turns with the texts, the last one for all that follow.
func (m *attemptRecorder) server(t *testing.T, answers ...string) (address string) {
	var mu sync.Mutex
	address = testpeer.RawBackend(t, func(c net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		m.record(c.LocalAddr().String())
		_, _ = io.WriteString(c, answers[0])
		if len(answers) > 1 {
			answers = answers[1:]
		}
	})
	return address
}

func (m *attemptRecorder) record(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts[address]++
}

func (m *attemptRecorder) count(address string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.attempts[address]
}

func newAttemptRecorder() *attemptRecorder { return &attemptRecorder{attempts: map[string]int{}} }

const failed500 = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
