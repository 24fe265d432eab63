package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"standpoint"
	"standpoint/internal/backend"
	"standpoint/internal/node"
)

// AdoptedResponse is a response that another process of this node has begun.
type AdoptedResponse struct {
	Client  net.Conn // the client's connection
	TraceID string
	// Class and Tenant are the names of the request's class and tenant. An unknown name stands for none.
	Class  string
	Tenant string
	// ClientStall is the total time for which the client has stalled the response so far.
	ClientStall time.Duration
	// MaxTokens is the number of output tokens that the request allows; 0 if it is unknown.
	MaxTokens float64
	// Begun is what is known of the backend's stream.
	Begun node.BegunStream
}

// Adopt continues a response that another process of this node has begun, until its end. run carries the attempt, as
// for node.Core.Adopt. Adopt closes the connection at the end, since the HTTP server does not serve it; the client
// opens another one for its next request.
func (f *Front) Adopt(ctx context.Context, response AdoptedResponse, run func(*node.Attempt)) {
	client := response.Client
	defer client.Close()
	_ = f.ids.open(response.TraceID, time.Now()) // the other process has accepted it, so it may be known
	defer func() { f.ids.close(response.TraceID, true, time.Now()) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	indexes := f.indexes.Load()
	spec := standpoint.Request{
		Class:  indexOf(indexes.classes, response.Class),
		Tenant: indexOf(indexes.tenants, response.Tenant),
	}
	go func() { // detects the client's disconnect; the deferred Close ends it at the latest
		_, _ = io.Copy(io.Discard, client)
		cancel()
	}()
	stream := &adoptedStream{conn: client, writeAllowance: writeAllowance{response.ClientStall}}
	defer stream.end()
	work := node.Work{TraceID: response.TraceID, MaxTokens: response.MaxTokens}
	answer := f.Core.Adopt(ctx, node.NewRequest(spec, work, stream), response.Begun, run)
	if answer.Kind == node.Served {
		_ = client.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		_, _ = io.WriteString(client, "0\r\n\r\n") // the last chunk; fails only if the client has disconnected
	}
}

// indexOf returns the index of a name; -1 if it is unknown.
func indexOf(indexes map[string]int, name string) int {
	if i, ok := indexes[name]; ok {
		return i
	}
	return -1
}

// adoptedStream writes the rest of a response that another process has begun.
type adoptedStream struct {
	conn net.Conn
	// duplicated is set once another process may have a descriptor of the connection, until that process owns it.
	duplicated bool
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

// Duplicate implements node.Detacher.
func (s *adoptedStream) Duplicate() (int, error) {
	s.duplicated = true
	return backend.DuplicateSocket(s.conn)
}

// Detach implements node.Detacher. Adopt closes this process's descriptor.
func (s *adoptedStream) Detach() error {
	s.duplicated = false
	return nil
}

// end ends the connection for its client if another process may have a descriptor of it.
func (s *adoptedStream) end() {
	if s.duplicated {
		_ = backend.ShutdownSocket(s.conn) // fails only if the client has disconnected
	}
}
