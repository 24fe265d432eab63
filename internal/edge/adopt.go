package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/backend"
	"standpoint/internal/node"
)

// Adopt continues a response that another process of this node has begun, until its end. run carries the attempt, as
// for node.Core.Adopt. stalled is the total time for which the client has stalled the response so far. Adopt closes the
// connection at the end, since the HTTP server does not serve it; the client opens another one for its next request.
func (f *Front) Adopt(ctx context.Context, client net.Conn, traceID, class string, stalled time.Duration,
	run func(*node.Attempt)) {
	defer client.Close()
	if f.ids.open(traceID, time.Now()) {
		defer f.ids.close(traceID)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	spec := standpoint.Request{Class: -1, Tenant: -1}
	if i, ok := f.indexes.Load().classes[class]; ok {
		spec.Class = i
	}
	go func() { // detects the client's disconnect; the deferred Close ends it at the latest
		_, _ = io.Copy(io.Discard, client)
		cancel()
	}()
	stream := &adoptedStream{client, writeAllowance{stalled}}
	answer, err := f.Core.Adopt(ctx, node.NewRequest(spec, node.Work{TraceID: traceID}, stream), run)
	if err != nil {
		f.Log.Warn("adopting a stream failed", zap.String("trace", traceID), zap.Error(err))
		return
	}
	if answer.Kind == node.Served {
		_ = client.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		_, _ = io.WriteString(client, "0\r\n\r\n") // the last chunk; fails only if the client has disconnected
	}
}

// adoptedStream writes the rest of a response that another process has begun.
type adoptedStream struct {
	conn net.Conn
	writeAllowance
}

var (
	_ node.ClientConnection = (*adoptedStream)(nil)
	_ node.Detacher         = (*adoptedStream)(nil)
)

// Begin implements node.ClientConnection. It does nothing, since the response has been begun already.
func (s *adoptedStream) Begin() error { return nil }

// Event implements node.ClientConnection: it writes the events as one chunk.
func (s *adoptedStream) Event(event []byte) error {
	return s.spend(s.conn.SetWriteDeadline, func() error {
		_, err := fmt.Fprintf(s.conn, "%x\r\n%s\r\n", len(event), event)
		return err
	})
}

// Detach implements node.Detacher.
func (s *adoptedStream) Detach() (int, error) { return backend.DuplicateSocket(s.conn) }
