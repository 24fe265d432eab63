// Package console is where staff call a node that runs: a listener of its own, HTTP/1.1, one call a connection. It
// decides nothing. What it shows it reads without waiting for anybody; a command goes to its owner, for a bounded time.
package console

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/transient"
)

const (
	maxConnections = 16                      // connections at once
	readTimeout    = 1500 * time.Millisecond // in which a call must have come; callers wait 1 s
	commandTimeout = 800 * time.Millisecond  // in which a command must be carried out
	writeTimeout   = 2 * time.Second
	maxHeaderBytes = 4 << 10
	maxIDLength    = 256
)

// Errors of commands.
var (
	ErrUnknownBackend = errors.New("no backend of this id was ever listed")
	ErrStopping       = errors.New("the node has been told to stop")
)

// Operations is what the console is given of the node. Commands give up when their context ends.
type Operations struct {
	Ready   func() bool   // whether this process takes clients; does not wait
	Metrics func() []byte // does not wait
	Down    func(ctx context.Context, id string) error
	Up      func(ctx context.Context, id string) error
	Drain   func(ctx context.Context, on bool) error
}

// Server is the console.
type Server struct {
	http    *http.Server
	limiter *connectionLimiter
}

// Listen opens the console's address.
func Listen(address string, n Operations, log *zap.Logger) (*Server, error) {
	l, err := transient.Listen("tcp", address, log)
	if err != nil {
		return nil, err
	}
	s := &Server{limiter: &connectionLimiter{Listener: l}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			writeText(w, http.StatusServiceUnavailable, "not ready\n")
			return
		}
		writeText(w, http.StatusOK, "ready\n")
	})
	mux.HandleFunc("GET /ops/stats", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, string(n.Metrics())) })
	order := func(path string, do func(context.Context, *http.Request) error) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
			defer cancel()
			err := do(ctx, r)
			log.Info("a call of staff", zap.String("call", path), zap.String("query", r.URL.RawQuery), zap.Error(err))
			writeResult(w, err)
		})
	}
	named := func(do func(context.Context, string) error) func(context.Context, *http.Request) error {
		return func(ctx context.Context, r *http.Request) error {
			id, err := parseID(r.URL.RawQuery)
			if err != nil {
				return err
			}
			return do(ctx, id)
		}
	}
	order("/ops/engines/down", named(n.Down))
	order("/ops/engines/up", named(n.Up))
	order("/ops/drain/start", func(ctx context.Context, _ *http.Request) error { return n.Drain(ctx, true) })
	order("/ops/drain/stop", func(ctx context.Context, _ *http.Request) error { return n.Drain(ctx, false) })
	whole := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Context().Value(connectionKey{}).(*limitedConnection).requestReceived()
		mux.ServeHTTP(w, r)
	})
	s.http = &http.Server{Handler: whole, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(log),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		}}
	s.http.SetKeepAlivesEnabled(false)
	return s, nil
}

// Address is where the console listens.
func (s *Server) Address() string { return s.limiter.Addr().String() }

// Serve answers calls until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.limiter); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends all calls.
func (s *Server) Close() error { return s.http.Close() }

// badRequest is a call that says what nobody can mean.
type badRequest struct{ error }

func writeResult(w http.ResponseWriter, err error) {
	var bad badRequest
	switch {
	case err == nil:
		writeText(w, http.StatusOK, "done\n")
	case errors.As(err, &bad):
		writeText(w, http.StatusBadRequest, err.Error()+"\n")
	case errors.Is(err, ErrUnknownBackend):
		writeText(w, http.StatusNotFound, err.Error()+"\n")
	case errors.Is(err, ErrStopping):
		writeText(w, http.StatusConflict, err.Error()+"\n")
	default: // it may still be carried out
		w.Header().Set("Retry-After", "1")
		writeText(w, http.StatusServiceUnavailable, "not done in time; call again: "+err.Error()+"\n")
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

// parseID reads the one id of a call's query.
func parseID(query string) (string, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return "", badRequest{fmt.Errorf("the query cannot be read: %w", err)}
	}
	ids := values["id"]
	if len(ids) != 1 || ids[0] == "" || len(ids[0]) > maxIDLength {
		return "", badRequest{fmt.Errorf("id: one is needed, of 1 to %d characters", maxIDLength)}
	}
	return ids[0], nil
}

// connectionLimiter bounds the connections: a further one ends the oldest that has not finished its call.
type connectionLimiter struct {
	net.Listener
	mu          sync.Mutex
	connections []*limitedConnection // the oldest first
}

type limitedConnection struct {
	net.Conn
	limiter  *connectionLimiter
	received bool // its call has come whole
}

type connectionKey struct{}

func (d *connectionLimiter) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if p := d.admit(c); p != nil {
			return p, nil
		}
		c.Close() // all others have finished their calls, and are being answered
	}
}

func (d *connectionLimiter) admit(c net.Conn) *limitedConnection {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.connections) >= maxConnections {
		i := slices.IndexFunc(d.connections, func(p *limitedConnection) bool { return !p.received })
		if i < 0 {
			return nil
		}
		d.connections[i].Conn.Close()
		d.connections = slices.Delete(d.connections, i, i+1)
	}
	p := &limitedConnection{Conn: c, limiter: d}
	d.connections = append(d.connections, p)
	return p
}

func (c *limitedConnection) requestReceived() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.received = true
}

func (c *limitedConnection) Close() error {
	c.limiter.mu.Lock()
	if i := slices.Index(c.limiter.connections, c); i >= 0 {
		c.limiter.connections = slices.Delete(c.limiter.connections, i, i+1)
	}
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}
