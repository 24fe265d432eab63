// Package control is the daemon's control interface: a listener of its own, on loopback TCP or a unix socket, on which
// the commands speak to a daemon that runs. Its wire is JSON over HTTP/1.1; its errors are typed.
package control

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"standpoint/internal/transient"
)

const (
	maxBodyBytes       = 1 << 20
	minTokenLength     = 16 // characters
	maxTokenLength     = 1024
	maxConcurrentCalls = 64 // at once
	headerTimeout      = 2 * time.Second
	callTimeout        = 30 * time.Second
	maxHeaderBytes     = 8 << 10
)

// Error is an answer that says what is wrong. Code is for programs, Message for people; Key names what was faulty.
type Error struct {
	Status  int    `json:"-"`
	Code    string `json:"code"`
	Message string `json:"message"`
	Key     string `json:"key,omitempty"`
	// Leader is where to ask instead, with not_leader.
	Leader string `json:"leader,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.Key != "" {
		return e.Key + ": " + e.Message
	}
	return e.Message
}

// Route is one thing that the daemon can be asked. Do gets the request with its body read; what it returns is the JSON
// of the answer. An error that is no *Error becomes "internal".
// Every call but GET needs the token, or the socket's owner: what only reads is a GET.
type Route struct {
	Pattern string // of http.ServeMux, such as "POST /v1/move/{wish}"
	Handle  func(r *http.Request, body []byte) (any, error)
}

// Server is the listener. Its owner runs Serve.
type Server struct {
	listener   net.Listener
	http       *http.Server
	log        *zap.Logger
	tokenFile  string
	token      atomic.Pointer[[sha256.Size]byte]
	slots      chan struct{}
	socketPath string // of a unix socket
}

type peerOwnerKey struct{}

// Listen opens the listener at a host:port of loopback, or at unix:PATH. tokenFile may be "" for a unix socket; then
// only the owner may change anything.
func Listen(address, tokenFile string, calls []Route, log *zap.Logger) (*Server, error) {
	s := &Server{log: log, tokenFile: tokenFile, slots: make(chan struct{}, maxConcurrentCalls)}
	if err := s.ReloadToken(); err != nil {
		return nil, err
	}
	var err error
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		s.socketPath = path
		s.listener, err = listenUnix(path, log)
	} else {
		s.listener, err = transient.Listen("tcp", address, log)
	}
	if err != nil {
		return nil, fmt.Errorf("control.listen: %w", err)
	}
	mux := http.NewServeMux()
	for _, c := range calls {
		mux.HandleFunc(c.Pattern, s.handler(c))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &Error{Status: http.StatusNotFound, Code: "not_found", Message: r.Method + " " + r.URL.Path + " is no call of this daemon"})
	})
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: callTimeout, IdleTimeout: time.Minute,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(log), ConnContext: withPeerOwner}
	return s, nil
}

// listenUnix makes the socket, for its owner alone. One that a dead daemon left is taken away; one that somebody
// listens on is not.
func listenUnix(path string, log *zap.Logger) (net.Listener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&fs.ModeSocket == 0 {
			return nil, fmt.Errorf("%s is there and is no socket", path)
		}
		if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
			c.Close()
			return nil, fmt.Errorf("%s: another program listens there", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	old := syscall.Umask(0o177)
	defer syscall.Umask(old)
	return transient.Listen("unix", path, log)
}

// withPeerOwner notes whether the other end of a unix socket is this program's own user, or root.
func withPeerOwner(ctx context.Context, c net.Conn) context.Context {
	u, ok := c.(*net.UnixConn)
	if !ok {
		return ctx
	}
	raw, err := u.SyscallConn()
	if err != nil {
		return ctx
	}
	owner := false
	_ = raw.Control(func(fd uintptr) {
		cred, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		owner = err == nil && (cred.Uid == uint32(os.Geteuid()) || cred.Uid == 0)
	})
	return context.WithValue(ctx, peerOwnerKey{}, owner)
}

// Address is where the server listens.
func (s *Server) Address() string {
	if s.socketPath != "" {
		return "unix:" + s.socketPath
	}
	return s.listener.Addr().String()
}

// Serve answers calls until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends all calls.
func (s *Server) Close() error { return s.http.Close() }

// ReloadToken reads the token again. On an error the old one stays.
func (s *Server) ReloadToken() error {
	if s.tokenFile == "" {
		return nil
	}
	token, err := ReadToken(s.tokenFile)
	if err != nil {
		return fmt.Errorf("control.token_file: %w", err)
	}
	sum := sha256.Sum256([]byte(token))
	s.token.Store(&sum)
	return nil
}

// ReadToken reads a token from a file that only its owner may read.
func ReadToken(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return "", err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return "", fmt.Errorf("%s: others may read it (mode %04o); chmod 600 it", path, info.Mode().Perm())
	}
	raw, err := io.ReadAll(io.LimitReader(f, maxTokenLength+1))
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(raw))
	if len(token) < minTokenLength || len(token) > maxTokenLength {
		return "", fmt.Errorf("%s: a token has %d to %d characters, this one %d", path, minTokenLength, maxTokenLength, len(token))
	}
	return token, nil
}

func (s *Server) authorized(r *http.Request) bool {
	if owner, _ := r.Context().Value(peerOwnerKey{}).(bool); owner {
		return true
	}
	want := s.token.Load()
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if want == nil || !ok {
		return false
	}
	sum := sha256.Sum256([]byte(given)) // equal lengths, so that the comparison tells nothing by its time
	return subtle.ConstantTimeCompare(sum[:], want[:]) == 1
}

func (s *Server) handler(c Route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		default:
			w.Header().Set("Retry-After", "1")
			writeError(w, &Error{Status: http.StatusServiceUnavailable, Code: "busy", Message: "too many calls at once"})
			return
		}
		if r.Method != http.MethodGet && r.Method != http.MethodHead && !s.authorized(r) {
			s.log.Warn("a call without the right was refused", zap.String("path", r.URL.Path))
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, &Error{Status: http.StatusUnauthorized, Code: "unauthorized",
				Message: "this call needs the token of control.token_file, or the socket's owner"})
			return
		}
		var body []byte
		var err error
		if r.Method != http.MethodGet { // which has none: nobody without the right holds a place by sending one slowly
			body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		}
		if err != nil {
			writeError(w, &Error{Status: http.StatusRequestEntityTooLarge, Code: "too_large",
				Message: fmt.Sprintf("a body has %d bytes at most, and comes within %v", maxBodyBytes, callTimeout)})
			return
		}
		v, err := c.Handle(r, body)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, v)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(`{"error":{"code":"internal","message":"the answer has no JSON"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n'))
}

func writeError(w http.ResponseWriter, err error) {
	var typed *Error
	if !errors.As(err, &typed) {
		typed = &Error{Status: http.StatusInternalServerError, Code: "internal", Message: err.Error()}
	}
	if typed.Status == 0 {
		typed.Status = http.StatusBadRequest
	}
	writeJSON(w, typed.Status, struct {
		Error *Error `json:"error"`
	}{typed})
}

// Decode reads a call's body, in which every key must be known.
func Decode(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return &Error{Status: http.StatusBadRequest, Code: "bad_request", Message: "the body: " + err.Error()}
	}
	if d.More() {
		return &Error{Status: http.StatusBadRequest, Code: "bad_request", Message: "the body: more than one JSON value"}
	}
	return nil
}
