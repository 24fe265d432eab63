package control

import (
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const secret = "0123456789abcdef0123"

// counterRoutes returns routes that read the counter changed and add to it.
func counterRoutes(changed *int) []Route {
	return []Route{
		{Pattern: "GET /v1/thing", Handle: func(*http.Request, []byte) (any,
			error) {
			return map[string]int{"changed": *changed}, nil
		}},
		{Pattern: "POST /v1/thing", Handle: func(_ *http.Request, body []byte) (any, error) {
			var in struct {
				By int `json:"by"`
			}
			if err := Decode(body, &in); err != nil {
				return nil, err
			}
			if in.By < 0 {
				return nil, &Error{Status: http.StatusConflict, Code: "backwards", Message: "is negative", Key: "by"}
			}
			*changed += in.By
			return *changed, nil
		}},
	}
}

// start serves counterRoutes until the test ends.
func start(t *testing.T, address, file string, changed *int) *Server {
	t.Helper()
	s, err := Listen(address, file, counterRoutes(changed), zap.NewNop())
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		require.NoError(t, s.Close())
		require.NoError(t, <-served)
	})
	return s
}

// TestChangesNeedTheToken checks that only a call with the token can change anything, that each fault of a call has
// its error code, and that a changed token file takes effect.
func TestChangesNeedTheToken(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte(secret+"\n"), 0o600))
	changed := 0
	s := start(t, "127.0.0.1:0", file, &changed)
	for token, want := range map[string]Code{
		"":           CodeUnauthorized,
		secret[1:]:   CodeUnauthorized,
		secret + "0": CodeUnauthorized,
		secret:       "",
	} {
		c := NewClient(s.Address(), token)
		defer c.Close()
		err := c.Call(t.Context(), "POST", "/v1/thing", map[string]int{"by": 1}, nil)
		var typed *Error
		if want != "" {
			require.ErrorAs(t, err, &typed)
			require.Equal(t, want, typed.Code)
		} else {
			require.NoError(t, err)
		}
		require.NoError(t, c.Call(t.Context(), "GET", "/v1/thing", nil, nil), "reading needs no token")
	}
	require.Equal(t, 1, changed)
	c := NewClient(s.Address(), secret)
	defer c.Close()
	for body, code := range map[any]Code{struct{ By int }{-1}: "backwards", struct{ To int }{1}: CodeBadRequest,
		strings.Repeat("x", maxBodyBytes): CodeTooLarge} {
		var typed *Error
		require.ErrorAs(t, c.Call(t.Context(), "POST", "/v1/thing", body, nil), &typed)
		require.Equal(t, code, typed.Code)
	}
	var typed *Error
	require.ErrorAs(t, c.Call(t.Context(), "GET", "/v1/nothing", nil, nil), &typed)
	require.Equal(t, CodeNotFound, typed.Code)

	// A changed token takes effect. A token file that others may read is rejected, and the previous token remains valid.
	require.NoError(t, os.WriteFile(file, []byte(secret+"new"), 0o600))
	require.NoError(t, s.ReloadToken())
	require.Error(t, c.Call(t.Context(), "POST", "/v1/thing", struct{ By int }{1}, nil))
	require.NoError(t, os.Chmod(file, 0o640))
	require.ErrorContains(t, s.ReloadToken(), "others may read it")
	renewed := NewClient(s.Address(), secret+"new")
	defer renewed.Close()
	require.NoError(t, renewed.Call(t.Context(), "POST", "/v1/thing", struct{ By int }{1}, nil))
}

// TestUntrustedTokenFilesAreRejected checks that Listen returns an error for a token file that others may read, whose
// token is too short, or that is missing.
func TestUntrustedTokenFilesAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		text      string
		mode      os.FileMode
		wantError string
	}{"group": {secret, 0o640, "others may read it"}, "world": {secret, 0o604,
		"others may read it"}, "short": {"secret", 0o600, "16 to 1024"},
		"missing": {"", 0, "no such file"}} {
		file := filepath.Join(t.TempDir(), name)
		if c.mode != 0 {
			require.NoError(t, os.WriteFile(file, []byte(c.text), 0o600))
			require.NoError(t, os.Chmod(file, c.mode))
		}
		_, err := Listen("127.0.0.1:0", file, nil, zap.NewNop())
		require.ErrorContains(t, err, "control.token_file:")
		require.ErrorContains(t, err, c.wantError)
	}
}

// TestUnixSocketOwnerNeedsNoToken checks that the owner of the unix socket needs no token, that a socket that a dead
// daemon left behind is replaced, and that a socket in use and a file that is not a socket are errors.
func TestUnixSocketOwnerNeedsNoToken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control.sock")
	stale, err := net.ListenUnix("unix", &net.UnixAddr{Name: path})
	require.NoError(t, err)
	stale.SetUnlinkOnClose(false)
	require.NoError(t, stale.Close())
	changed := 0
	s := start(t, "unix:"+path, "", &changed)
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.Zero(t, info.Mode().Perm()&0o077)
	c := NewClient(s.Address(), "")
	defer c.Close()
	require.NoError(t, c.Call(t.Context(), "POST", "/v1/thing", struct{ By int }{1}, nil))
	require.Equal(t, 1, changed)
	_, err = Listen("unix:"+path, "", nil, zap.NewNop())
	require.ErrorContains(t, err, "another process listens on this socket")
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, err = Listen("unix:"+file, "", nil, zap.NewNop())
	require.ErrorContains(t, err, "exists and is not a socket")
}

// TestClientCallsTheLeader checks that a client repeats a call at the leader if a daemon that is not the leader
// responds with the leader's address.
func TestClientCallsTheLeader(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte(secret), 0o600))
	changed := 0
	leader := start(t, "127.0.0.1:0", file, &changed)
	follower, err := Listen("127.0.0.1:0", file, []Route{{Pattern: "POST /v1/thing", Handle: func(*http.Request,
		[]byte) (any, error) {
		return nil, &Error{Status: http.StatusMisdirectedRequest, Code: "not_leader", Message: "another leads",
			Leader: leader.Address()}
	}}}, zap.NewNop())
	require.NoError(t, err)
	go func() { _ = follower.Serve() }()
	t.Cleanup(func() { _ = follower.Close() })
	c := NewClient(follower.Address(), secret)
	defer c.Close()
	require.NoError(t, c.Call(t.Context(), "POST", "/v1/thing", struct{ By int }{5}, nil))
	require.Equal(t, 5, changed)
}

// TestTooManyConcurrentCallsAreRejected checks that a call beyond maxConcurrentCalls gets CodeBusy.
func TestTooManyConcurrentCallsAreRejected(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, err := Listen("127.0.0.1:0", "", []Route{{Pattern: "GET /v1/slow", Handle: func(*http.Request, []byte) (any,
		error) {
		started <- struct{}{}
		<-release
		return nil, nil
	}}}, zap.NewNop())
	require.NoError(t, err)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	c := NewClient(s.Address(), "")
	defer c.Close()
	ended := make(chan error, maxConcurrentCalls)
	for range maxConcurrentCalls {
		go func() { ended <- c.Call(t.Context(), "GET", "/v1/slow", nil, nil) }()
	}
	for range maxConcurrentCalls {
		select {
		case <-started:
		case <-time.After(20 * time.Second):
			t.Fatal("the calls did not reach the handler within 20 s")
		}
	}
	var typed *Error
	require.True(t, errors.As(c.Call(t.Context(), "GET", "/v1/slow", nil, nil), &typed))
	require.Equal(t, CodeBusy, typed.Code)
	close(release)
	for range maxConcurrentCalls {
		require.NoError(t, <-ended)
	}
}

// TestSlowBodiesHoldNoSlots checks that callers without the token cannot block authorized calls by occupying all slots
// with bodies that never arrive: the server responds to them without waiting for the body.
func TestSlowBodiesHoldNoSlots(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte(secret), 0o600))
	changed := 0
	s := start(t, "127.0.0.1:0", file, &changed)
	answered := make(chan error, 2*maxConcurrentCalls)
	for i := range 2 * maxConcurrentCalls {
		c, err := net.Dial("tcp", s.Address())
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte([]string{"GET", "POST"}[i%2] +
			" /v1/thing HTTP/1.1\r\nHost: n\r\nContent-Length: 1000000\r\n\r\n{"))
		require.NoError(t, err)
		go func() {
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, err := c.Read(make([]byte, 12))
			answered <- err
		}()
	}
	for range 2 * maxConcurrentCalls {
		require.NoError(t, <-answered)
	}
	c := NewClient(s.Address(), secret)
	defer c.Close()
	require.NoError(t, c.Call(t.Context(), "POST", "/v1/thing", map[string]int{"by": 1}, nil))
}
