package backend

import (
	"context"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/node"
)

// adoptedStreamMemory is the memory of a stream that another process has handed over, in bytes: the buffers of its two
// connections, and the stacks of its goroutines.
const adoptedStreamMemory = 48 << 10

// ContinueStream relays a stream that another process has handed over, from the next byte of its backend's connection
// to its end.
func (f *Fleet) ContinueStream(s Stream, backendConn net.Conn, attempt *node.Attempt) {
	defer backendConn.Close()
	ctx, cancel := context.WithCancelCause(attempt.Context())
	defer cancel(nil)
	conn := &connection{Conn: backendConn, idleLimit: &idleLimit{}, chunks: s.Chunks}
	defer context.AfterFunc(ctx, func() { _ = backendConn.SetReadDeadline(time.Now()) })()
	body := &remainder{connection: conn, chunks: s.Chunks}
	defer f.streams.memory.Open(adoptedStreamMemory, nil).Close()
	state := s.state(backendConn)
	f.Log.Info("stream taken over",
		zap.String("trace", s.Trace),
		zap.String("server", s.Backend),
		zap.Duration("since_event", time.Since(state.lastEvent)),
		zap.Int("received_bytes", s.ReceivedBytes),
		zap.Duration("client_stall", s.ClientStall))
	result, err := f.streams.relay(ctx, cancel, body, state, attempt, conn)
	f.Log.Info("adopted stream ended",
		zap.String("trace", s.Trace),
		zap.String("server", s.Backend),
		zap.Stringer("code", result.Code),
		zap.Bool("moved", result.Moved),
		zap.Error(err))
	attempt.Finish(result)
}

// remainder reads the payload of the rest of a chunked response.
type remainder struct {
	connection *connection
	chunks     chunkParser
	payload    []byte // received but not yet read
}

// Read implements io.Reader.
func (r *remainder) Read(b []byte) (int, error) {
	for len(r.payload) == 0 {
		if r.chunks.Phase == responseComplete {
			return 0, io.EOF
		}
		if err := r.receive(); err != nil && len(r.payload) == 0 && r.chunks.Phase != responseComplete {
			return 0, err
		}
	}
	n := copy(b, r.payload)
	r.payload = r.payload[n:]
	return n, nil
}

// receive reads once from the connection. Its error matters only if no payload was received with it.
func (r *remainder) receive() error {
	raw := make([]byte, 4<<10)
	n, err := r.connection.Read(raw)
	malformed := r.chunks.feed(raw[:n], func(payload []byte) { r.payload = append(r.payload, payload...) })
	if malformed != nil {
		return malformed
	}
	if err == io.EOF && r.chunks.Phase != responseComplete {
		return io.ErrUnexpectedEOF
	}
	return err
}
