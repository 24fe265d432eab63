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
	maxBodyBytes       = 1 << 20
	maxHeaderBytes     = 8 << 10
	maxConcurrentCalls = 64
	headerTimeout      = 2 * time.Second
	callTimeout        = 30 * time.Second // in which a call must have come whole
	idleTimeout        = time.Minute
)

// Route is one call that the daemon answers. Every method but GET needs the token, or the socket's owner: what only
// reads is a GET.
type Route struct {
	Pattern string // of http.ServeMux, such as "POST /v1/move/{wish}"
	// Handle answers a request. The body has been read; a GET's is empty. The result is encoded as JSON. An error that
	// wraps no *Error is answered with CodeInternal.
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
	slots      chan struct{} // holds one element a call in progress
}

// Listen opens a listener at a loopback address, or at "unix:" and a path. tokenFile may be "" for a unix socket; then
// only the socket's owner may change anything. The caller runs Serve.
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

// Address is where the server listens, in the form that Listen takes.
func (s *Server) Address() string {
	if s.socketPath != "" {
		return unixPrefix + s.socketPath
	}
	return s.listener.Addr().String()
}

// Serve answers calls until Close, after which it returns nil.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listener and all connections at once.
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

func isRead(r *http.Request) bool { return r.Method == http.MethodGet || r.Method == http.MethodHead }

// readBody reads the body of a call. A GET's is left alone: nobody without the token can hold a slot by sending a body
// slowly.
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
