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

// Adopt goes on with the answer to a client that another process of this node has begun, until its end. waited is how
// long the client has kept that answer waiting. The connection is closed then: it is none of the server's, and the
// client's next request may open another.
func (f *Front) Adopt(ctx context.Context, client net.Conn, traceID, class string, waited time.Duration,
	carry func(*node.Attempt)) {
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
	go func() { // nothing is to come but the connection's end, which the deferred Close brings about at the latest
		_, _ = io.Copy(io.Discard, client)
		cancel()
	}()
	stream := &adoptedStream{client, writeAllowance{waited}}
	answer, err := f.Core.Adopt(ctx, node.NewRequest(spec, node.Work{TraceID: traceID}, stream), carry)
	if err != nil {
		f.Log.Warn("adopting a stream failed", zap.String("trace", traceID), zap.Error(err))
		return
	}
	if answer.Kind == node.Served {
		_ = client.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		_, _ = io.WriteString(client, "0\r\n\r\n") // the last chunk; a client that does not take it has gone
	}
}

// adoptedStream writes the rest of an answer that another process has begun.
type adoptedStream struct {
	conn net.Conn
	writeAllowance
}

var (
	_ node.ClientConnection = (*adoptedStream)(nil)
	_ node.Detacher         = (*adoptedStream)(nil)
)

// Begin does nothing: the answer has begun.
func (s *adoptedStream) Begin() error { return nil }

// Event writes a chunk, in one piece.
func (s *adoptedStream) Event(event []byte) error {
	return s.spend(s.conn.SetWriteDeadline, func() error {
		_, err := fmt.Fprintf(s.conn, "%x\r\n%s\r\n", len(event), event)
		return err
	})
}

// Detach implements node.Detacher.
func (s *adoptedStream) Detach() (int, error) { return backend.DuplicateSocket(s.conn) }
