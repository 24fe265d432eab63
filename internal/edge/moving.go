package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/backend"
	"standpoint/internal/node"
)

// Detach implements node.Detacher: between two events everything is written, and the next byte is another process's.
func (c *connection) Detach() (int, error) {
	if !c.chunked {
		return 0, errors.New("a client that does not take chunks")
	}
	if c.conn != nil && c.conn.saidMore() {
		return 0, errors.New("a client that has said more already")
	}
	conn, buffered, err := c.control.Hijack()
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	p, ours := conn.(*clientConn)
	if !ours || buffered.Reader.Buffered() > 0 {
		return 0, errors.New("a client that has said more already")
	}
	return backend.DuplicateSocket(p.Conn)
}

// ClassName is the name of a class by its index; "" for one that there is not.
func (f *Front) ClassName(class int) string {
	for name, i := range f.indexes.Load().classes {
		if i == class {
			return name
		}
	}
	return ""
}

// Adopt goes on with a client whose answer another process of this node has begun, until the end. held is for how long it has kept that waiting. Its connection is closed
// then: it is none of the server's, and its next request may open another.
func (f *Front) Adopt(ctx context.Context, client net.Conn, trace, class string, held time.Duration, carry func(*node.Attempt)) {
	defer client.Close()
	if f.ids.open(trace, time.Now()) {
		defer f.ids.close(trace)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := standpoint.Request{Class: -1, Tenant: -1}
	if i, ok := f.indexes.Load().classes[class]; ok {
		request.Class = i
	}
	go func() { // nothing is to come but the connection's end
		_, _ = io.Copy(io.Discard, client)
		cancel()
	}()
	c := &adopted{client, patience{held}}
	answer, err := f.Core.Adopt(ctx, node.NewRequest(request, node.Work{TraceID: trace}, c), carry)
	if err != nil {
		f.Log.Warn("a stream was not taken over", zap.String("trace", trace), zap.Error(err))
		return
	}
	if answer.Kind == node.Served {
		_ = client.SetWriteDeadline(time.Now().Add(writeTime))
		_, _ = io.WriteString(client, "0\r\n\r\n")
	}
}

// adopted is the client connection of a request whose answer another process has begun.
type adopted struct {
	conn net.Conn
	patience
}

// Begin does nothing: the answer has begun.
func (c *adopted) Begin() error { return nil }

// Event writes a chunk, in one piece.
func (c *adopted) Event(b []byte) error {
	return c.spend(c.conn.SetWriteDeadline, func() error {
		_, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(b), b)
		return err
	})
}

// Detach implements node.Detacher.
func (c *adopted) Detach() (int, error) { return backend.DuplicateSocket(c.conn) }
