package console

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/testpeer/golden"
)

// The status, headers and body of the response to each request that the console supports must not change.
func TestGoldenResponses(t *testing.T) {
	ready := true
	var calls []string
	backend := func(what string) func(context.Context, string) error {
		return func(_ context.Context, id string) error {
			calls = append(calls, what+" "+id)
			if id == "s-9" {
				return ErrUnknownBackend
			}
			return nil
		}
	}
	n := Operations{
		Ready:   func() bool { return ready },
		Metrics: func() []byte { return []byte("app.inflight=14\n") },
		Disable: backend("down"),
		Enable:  backend("up"),
		SetDrained: func(_ context.Context, on bool) error {
			calls = append(calls, fmt.Sprint("drain ", on))
			if on {
				return errors.New("nobody comes")
			}
			return ErrStopping
		},
	}
	s, err := Listen("127.0.0.1:0", n, zap.NewNop())
	require.NoError(t, err)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	var transcript strings.Builder
	for _, c := range []struct{ method, target string }{
		{"GET", "/ops/readiness"}, {"GET", "/ops/stats"}, {"GET", "/ops/readiness?busy"},
		{"POST", "/ops/engines/down?id=s-1"}, {"POST", "/ops/engines/up?id=s-2"},
		{"POST", "/ops/engines/down?id=s-9"}, {"POST", "/ops/engines/up?id=s-9"},
		{"POST", "/ops/engines/down"}, {"POST", "/ops/engines/up?id=a&id=b"}, {"POST", "/ops/engines/down?id=%zz"},
		{"POST", "/ops/drain/start"}, {"POST", "/ops/drain/stop"},
		{"GET", "/ops/drain/start"}, {"POST", "/ops/stats"}, {"GET", "/ops/none"},
	} {
		ready = !strings.HasSuffix(c.target, "?busy")
		r, err := http.NewRequest(c.method, "http://"+s.Address()+c.target, nil)
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		fmt.Fprintf(&transcript, "%s %s\n\t%s; Content-Type %q; Retry-After %q; close %v\n\t%s", c.method, c.target,
			response.Status,
			response.Header.Get("Content-Type"), response.Header.Get("Retry-After"), response.Close, body)
	}
	fmt.Fprintln(&transcript, strings.Join(calls, "; "))
	golden.Bytes(t, "answers.txt", []byte(transcript.String()))
}
