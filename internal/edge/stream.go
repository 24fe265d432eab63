package edge

import (
	"errors"
	"net/http"
	"time"

	"standpoint/internal/backend"
	"standpoint/internal/node"
)

// clientWriteTimeout is the total time for which a client may stall its response.
const clientWriteTimeout = 4 * time.Second

// clientStream writes the response of one request to its client.
type clientStream struct {
	w               http.ResponseWriter
	control         *http.ResponseController
	conn            *clientConn // nil if the connection is not tracked
	supportsChunked bool        // the client's HTTP version has chunked transfer coding
	writeAllowance
}

var (
	_ node.ClientConnection   = (*clientStream)(nil)
	_ node.DisconnectDetector = (*clientStream)(nil)
	_ node.Detacher           = (*clientStream)(nil)
)

// writeAllowance tracks how much of clientWriteTimeout a client has used. One allowance covers the whole response: with
// a timeout for each event, a slow client could occupy a backend without limit.
type writeAllowance struct{ used time.Duration }

// spend runs write with a deadline at the end of the remaining allowance, and charges the time if the client stalled.
func (a *writeAllowance) spend(setDeadline func(time.Time) error, write func() error) error {
	start := time.Now()
	_ = setDeadline(start.Add(clientWriteTimeout - a.used)) // fails only on a connection on which the write fails too
	err := write()
	if elapsed := time.Since(start); elapsed > node.MinClientStall {
		a.used += elapsed
	}
	return err
}

// Disconnected implements node.DisconnectDetector.
func (s *clientStream) Disconnected() bool { return s.conn != nil && s.conn.disconnected() }

// Begin implements node.ClientConnection: it writes the head of the response.
func (s *clientStream) Begin() error {
	s.w.Header().Set("Content-Type", "text/event-stream")
	if s.conn != nil {
		s.conn.keepIfPipelined(s.w.Header())
	}
	s.w.WriteHeader(http.StatusOK)
	return nil
}

// Event implements node.ClientConnection. It flushes at once, since a buffered event is late. It blocks on a client
// that does not read, which occupies the backend meanwhile.
func (s *clientStream) Event(event []byte) error {
	return s.spend(s.control.SetWriteDeadline, func() error {
		if _, err := s.w.Write(event); err != nil {
			return err
		}
		return s.control.Flush()
	})
}

var (
	// errPipelined is the error of Duplicate if the client has sent further bytes, which only this process has read.
	errPipelined = errors.New("client has pipelined bytes behind its request")
	// errNotChunked is the error of Duplicate if the rest of the response cannot be written in chunks.
	errNotChunked = errors.New("client does not support chunked transfer coding")
	// errNotTracked is the error of Duplicate for a connection without a clientConn.
	errNotTracked = errors.New("client connection is not tracked")
)

// Duplicate implements node.Detacher. It is called between two events, when everything has been written, so that
// another process can write the next byte.
func (s *clientStream) Duplicate() (int, error) {
	switch {
	case !s.supportsChunked:
		return 0, errNotChunked
	case s.conn == nil:
		return 0, errNotTracked
	case s.conn.pipelined():
		return 0, errPipelined
	}
	s.conn.duplicated.Store(true)
	return backend.DuplicateSocket(s.conn.Conn)
}

// Detach implements node.Detacher. It closes this process's descriptor, and leaves the connection itself as it is.
func (s *clientStream) Detach() error {
	if _, _, err := s.control.Hijack(); err != nil {
		return err
	}
	return s.conn.abandon()
}
