package edge

import (
	"errors"
	"net/http"
	"time"

	"standpoint/internal/backend"
	"standpoint/internal/node"
)

// clientWriteTimeout is how long a client may keep its answer waiting, in all.
const clientWriteTimeout = 4 * time.Second

// clientStream writes the answer of one request to its client.
type clientStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	conn    *clientConn // nil if the connection is not tracked
	chunked bool        // the client takes chunks
	writeAllowance
}

var (
	_ node.ClientConnection   = (*clientStream)(nil)
	_ node.DisconnectDetector = (*clientStream)(nil)
	_ node.Detacher           = (*clientStream)(nil)
)

// writeAllowance is what is left of the time that a client may keep its answer waiting. It is one for the whole
// answer: a client could use up a new one with each event.
type writeAllowance struct{ used time.Duration }

// spend writes within what is left.
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

// Begin implements node.ClientConnection: it writes the head of the answer.
func (s *clientStream) Begin() error {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.WriteHeader(http.StatusOK)
	return nil
}

// Event implements node.ClientConnection. It flushes at once, since an event that waits in a buffer is late, and blocks
// on a client that does not read, which occupies a backend meanwhile.
func (s *clientStream) Event(event []byte) error {
	return s.spend(s.control.SetWriteDeadline, func() error {
		if _, err := s.w.Write(event); err != nil {
			return err
		}
		return s.control.Flush()
	})
}

// errPipelined tells that a client has sent more behind its request, which only this process has.
var errPipelined = errors.New("a client that has said more already")

// Detach implements node.Detacher: between two events everything is written, and the next byte is another process's.
func (s *clientStream) Detach() (int, error) {
	if !s.chunked {
		return 0, errors.New("a client that does not take chunks")
	}
	if s.conn != nil && s.conn.pipelined() {
		return 0, errPipelined
	}
	hijacked, buffered, err := s.control.Hijack()
	if err != nil {
		return 0, err
	}
	defer hijacked.Close()
	conn, tracked := hijacked.(*clientConn)
	if !tracked || buffered.Reader.Buffered() > 0 {
		return 0, errPipelined
	}
	return backend.DuplicateSocket(conn.Conn)
}
