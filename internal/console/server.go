package console

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/transient"
)

const (
	// readTimeout bounds the time to receive a request; clients wait 1 s for the response.
	readTimeout = 1500 * time.Millisecond
	// commandTimeout bounds the time to carry out a command.
	commandTimeout = 800 * time.Millisecond
	// writeTimeout bounds the time to write a response, from the end of the request's header.
	writeTimeout = 2 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 4 << 10
)

// Errors of operations that have a response status of their own: 404 for ErrUnknownBackend, 409 for ErrStopping.
var (
	ErrUnknownBackend = errors.New("no backend of this id was ever listed")
	ErrStopping       = errors.New("the node has been told to stop")
)

// Operations contains the functions behind the console's paths. They are called concurrently. Ready and Metrics must
// not block; the commands must return when their context ends.
type Operations struct {
	// Ready reports whether this process accepts clients.
	Ready func() bool
	// Metrics returns the node's counters as text.
	Metrics func() []byte
	// Disable disables a backend, and Enable enables it again. They return ErrUnknownBackend for an id that was never
	// listed.
	Disable func(ctx context.Context, id string) error
	Enable  func(ctx context.Context, id string) error
	// SetDrained starts a manual drain of the node, or ends it if on is false. It returns ErrStopping once the node is
	// shutting down.
	SetDrained func(ctx context.Context, on bool) error
}

// Server is the console's listener. Its methods may be called concurrently.
type Server struct {
	http    *http.Server
	limiter *connectionLimiter
}

// Listen opens the console's listener at a host:port address. The caller must then call Serve.
func Listen(address string, operations Operations, log *zap.Logger) (*Server, error) {
	listener, err := transient.Listen("tcp", address, log)
	if err != nil {
		return nil, err
	}
	s := &Server{limiter: &connectionLimiter{Listener: listener}}
	s.http = &http.Server{
		Handler:        markReceived(operations.handler(log)),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       zap.NewStdLog(log),
		ConnContext:    withConnection,
	}
	s.http.SetKeepAlivesEnabled(false)
	return s, nil
}

// Address returns the host:port address at which the console listens.
func (s *Server) Address() string { return s.limiter.Addr().String() }

// Serve handles requests until Close is called, and then returns nil.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.limiter); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// connectionKey is the context key of a request's *limitedConnection.
type connectionKey struct{}

// withConnection returns a context that has the connection under connectionKey.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// markReceived records that a connection's request has been received, so that the limiter does not close the
// connection.
func markReceived(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Context().Value(connectionKey{}).(*limitedConnection).requestReceived()
		next.ServeHTTP(w, r)
	})
}
