package control

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/transient"
)

const (
	maxBodyBytes       = 1 << 20 // 1 MiB
	maxHeaderBytes     = 8 << 10 // 8 KiB
	maxConcurrentCalls = 64
	headerTimeout      = 2 * time.Second
	callTimeout        = 30 * time.Second // from the start of a call until its body has been received
	idleTimeout        = time.Minute
)

// Route is one call of the control interface. A call that only reads has the method GET; every other method requires
// the token or a connection from the socket's owner.
type Route struct {
	Pattern string // of http.ServeMux, such as "POST /v1/move/{command}"
	// Handle returns the response to a request, which is encoded as JSON. body is the complete body; it is empty for a
	// GET. An error that wraps no *Error is sent with CodeInternal.
	Handle func(r *http.Request, body []byte) (any, error)
}

// Server is the listener of the control interface. Its methods may be called concurrently.
type Server struct {
	listener   net.Listener
	http       *http.Server
	log        *zap.Logger
	socketPath string // "" for TCP
	tokenFile  string // "" for none
	tokenSum   atomic.Pointer[[sha256.Size]byte]
	slots      chan struct{} // holds one element for each call in progress
}

// Listen opens a listener at a loopback address, or at a unix socket with the address "unix:" followed by its path.
// tokenFile may be "" for a unix socket; then only the socket's owner may make changes. The caller must run Serve.
func Listen(address, tokenFile string, routes []Route, log *zap.Logger) (*Server, error) {
	s := &Server{log: log, tokenFile: tokenFile, slots: make(chan struct{}, maxConcurrentCalls)}
	if err := s.ReloadToken(); err != nil {
		return nil, err
	}
	var err error
	if path, ok := strings.CutPrefix(address, unixPrefix); ok {
		s.socketPath = path
		s.listener, err = listenUnix(path, log)
	} else {
		s.listener, err = transient.Listen("tcp", address, log)
	}
	if err != nil {
		return nil, fmt.Errorf("control.listen: %w", err)
	}
	s.http = &http.Server{
		Handler:           s.handler(routes),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       callTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(log),
		ConnContext:       withPeerOwner,
	}
	return s, nil
}

// Address returns the address of the listener, in the form that Listen accepts.
func (s *Server) Address() string {
	if s.socketPath != "" {
		return unixPrefix + s.socketPath
	}
	return s.listener.Addr().String()
}

// Serve accepts and serves calls until Close, after which it returns nil.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) handler(routes []Route) http.Handler {
	mux := http.NewServeMux()
	for _, route := range routes {
		mux.HandleFunc(route.Pattern, s.serve(route))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &Error{
			Status:  http.StatusNotFound,
			Code:    CodeNotFound,
			Message: r.Method + " " + r.URL.Path + " is no call of this daemon",
		})
	})
	return mux
}

func (s *Server) serve(route Route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		default:
			w.Header().Set("Retry-After", "1")
			writeError(w, &Error{Status: http.StatusServiceUnavailable, Code: CodeBusy,
				Message: "too many calls at once"})
			return
		}
		if !isRead(r) && !s.authorized(r) {
			s.log.Warn("unauthorized control call rejected", zap.String("path", r.URL.Path))
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, &Error{
				Status:  http.StatusUnauthorized,
				Code:    CodeUnauthorized,
				Message: "this call needs the token of control.token_file, or the socket's owner",
			})
			return
		}
		body, err := readBody(w, r)
		if err != nil {
			writeError(w, err)
			return
		}
		value, err := route.Handle(r, body)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, value)
	}
}

// isRead reports whether a request only reads, and so needs no authorization.
func isRead(r *http.Request) bool { return r.Method == http.MethodGet || r.Method == http.MethodHead }

// readBody reads the body of a call. It does not read the body of a GET, which needs no token: otherwise a caller
// without the token could occupy a slot by sending a body slowly.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.Method == http.MethodGet {
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, &Error{
			Status:  http.StatusRequestEntityTooLarge,
			Code:    CodeTooLarge,
			Message: fmt.Sprintf("a body has %d bytes at most, and comes within %v", maxBodyBytes, callTimeout),
		}
	}
	return body, nil
}
