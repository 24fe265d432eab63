package realserver

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// lastChunk ends an answer. It cannot stand inside one: events hold no carriage returns.
const lastChunk = "\r\n0\r\n\r\n"

var errSpent = errors.New("the connection holds what no request asked for, or its end")

// link is one connection to a real server. It keeps what comes behind an answer from being taken for the
// answer to the next request: http.Transport looks for that only once nobody waits for a connection.
type link struct {
	net.Conn

	mu       sync.Mutex
	answered bool // bytes have come since the last write
	matched  int  // of lastChunk, bytes seen in a row
	ended    bool // the answer's last chunk has come, and no request since
	spent    bool // of no further use
	broken   bool // the connection has failed or ended
	unsent   bool // a write failed: the request's last byte is not out
}

// Read hands on the answer and nothing behind it.
func (l *link) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = l.broken || err != nil
	if l.spent || n > 0 && l.ended {
		l.spent = true
		return 0, errSpent
	}
	l.answered = l.answered || n > 0
	for i, c := range b[:n] {
		switch {
		case c == lastChunk[l.matched]:
			l.matched++
		case c == '\r':
			l.matched = 1
		case c == '0' && l.matched == 5: // "\r\n0" again
			l.matched = 3
		default:
			l.matched = 0
		}
		if l.matched == len(lastChunk) {
			l.matched, l.ended, l.spent = 0, true, i+1 < n
			return i + 1, err
		}
	}
	return n, err
}

// Write begins a request only where nothing waits to be read, not even the connection's end. One that is not
// begun never ran, and goes out on another connection.
func (l *link) Write(b []byte) (int, error) {
	l.mu.Lock()
	l.spent = l.spent || l.answered && l.stirring()
	l.answered, l.matched, l.ended = false, 0, false
	l.unsent = l.spent
	spent := l.spent
	l.mu.Unlock()
	if spent {
		return 0, errSpent
	}
	n, err := l.Conn.Write(b)
	if err != nil {
		l.mu.Lock()
		l.unsent = true
		l.mu.Unlock()
	}
	return n, err
}

// sent tells that no write of the request failed. http.Transport says that a request is written when it stands in
// its buffer.
func (l *link) sent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.unsent
}

// stirring looks, without waiting or taking anything, whether the socket has bytes or its end to read.
func (l *link) stirring() bool {
	socket, ok := l.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var peek error
	err = raw.Control(func(fd uintptr) {
		_, _, peek = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || peek != syscall.EAGAIN
}

// unreadable tells, after a failure, that bytes came on a connection that is still whole: the server is there,
// and what it sent is no answer.
func (l *link) unreadable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered && !l.broken
}
