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
	readTimeout    = 1500 * time.Millisecond // for a call to arrive; callers wait 1 s for the answer
	commandTimeout = 800 * time.Millisecond  // for a command to be carried out
	writeTimeout   = 2 * time.Second
	maxHeaderBytes = 4 << 10
)

// Errors of operations that have an answer of their own.
var (
	ErrUnknownBackend = errors.New("no backend of this id was ever listed")
	ErrStopping       = errors.New("the node has been told to stop")
)

// Operations are what the console can show and do. Ready and Metrics must not block; the commands give up when their
// context ends. All are called concurrently.
type Operations struct {
	// Ready tells whether this process accepts clients.
	Ready func() bool
	// Metrics returns the node's counters as text.
	Metrics func() []byte
	// Down and Up override a backend's state; ErrUnknownBackend for an id that was never listed.
	Down func(ctx context.Context, id string) error
	Up   func(ctx context.Context, id string) error
	// Drain drains the node by hand, or ends such a drain; ErrStopping once the node is stopping for good.
	Drain func(ctx context.Context, on bool) error
}

// Server is the console's listener. Its methods may be called concurrently.
type Server struct {
	http    *http.Server
	limiter *connectionLimiter
}

// Listen opens the console at a host:port address. The caller runs Serve.
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

// Address is where the console listens.
func (s *Server) Address() string { return s.limiter.Addr().String() }

// Serve answers calls until Close, after which it returns nil.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.limiter); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// connectionKey is the context key of a call's *limitedConnection.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// markReceived notes that a connection's call has arrived, so that the limiter lets it finish.
func markReceived(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Context().Value(connectionKey{}).(*limitedConnection).requestReceived()
		next.ServeHTTP(w, r)
	})
}
