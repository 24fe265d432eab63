package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/testpeer/golden"
)

// TestGoldenError compares the JSON of an error, whose keys clients of every version decode, with a golden file.
func TestGoldenError(t *testing.T) {
	value := Error{Code: "not_leader", Message: "another member leads", Key: "move.floor", Leader: "127.0.0.1:9802"}
	decode := func(raw []byte) (Error, error) {
		var e Error
		err := json.Unmarshal(raw, &e)
		return e, err
	}
	golden.RoundTrip(t, "error.json", value, func(e Error) ([]byte, error) { return json.Marshal(e) }, decode, "Status")
}

// TestGoldenResponses compares the responses of the control interface with a golden file: statuses, headers, error
// codes and messages.
func TestGoldenResponses(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte(secret), 0o600))
	all := []Route{
		{Pattern: "GET /v1/thing", Handle: func(*http.Request, []byte) (any,
			error) {
			return map[string]int{"value": 7}, nil
		}},
		{Pattern: "GET /v1/broken", Handle: func(*http.Request, []byte) (any, error) {
			return nil,
				errors.New("it broke")
		}},
		{Pattern: "GET /v1/no-json", Handle: func(*http.Request, []byte) (any, error) { return func() {}, nil }},
		{Pattern: "POST /v1/thing", Handle: func(_ *http.Request, body []byte) (any, error) {
			var in struct {
				By int `json:"by"`
			}
			if err := Decode(body, &in); err != nil {
				return nil, err
			}
			if in.By < 0 {
				return nil, &Error{Code: "backwards", Message: "is negative", Key: "by"}
			}
			return nil, &Error{Status: http.StatusMisdirectedRequest, Code: "not_leader", Message: "another leads",
				Leader: "127.0.0.1:9802"}
		}},
	}
	s, err := Listen("127.0.0.1:0", file, all, zap.NewNop())
	require.NoError(t, err)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	var transcript strings.Builder
	for _, c := range []struct{ method, path, token, body string }{
		{"GET", "/v1/thing", "", ""},
		{"GET", "/v1/broken", "", ""},
		{"GET", "/v1/no-json", "", ""},
		{"GET", "/v1/none", "", ""},
		{"DELETE", "/v1/thing", secret, ""},
		{"POST", "/v1/thing", "", `{"by":1}`},
		{"POST", "/v1/thing", "x" + secret, `{"by":1}`},
		{"POST", "/v1/thing", secret, `{"by":1}`},
		{"POST", "/v1/thing", secret, `{"by":-1}`},
		{"POST", "/v1/thing", secret, `{"to":1}`},
		{"POST", "/v1/thing", secret, `{"by":1}{"by":2}`},
		{"POST", "/v1/thing", secret, `{`},
		{"POST", "/v1/thing", secret, strings.Repeat("x", maxBodyBytes+1)},
	} {
		r, err := http.NewRequest(c.method, "http://"+s.Address()+c.path, strings.NewReader(c.body))
		require.NoError(t, err)
		if c.token != "" {
			r.Header.Set("Authorization", "Bearer "+c.token)
		}
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		fmt.Fprintf(&transcript, "%s %s %.20s\n\t%s; Content-Type %q; WWW-Authenticate %q\n\t%s", c.method, c.path,
			c.body, response.Status,
			response.Header.Get("Content-Type"), response.Header.Get("WWW-Authenticate"), body)
	}
	golden.Bytes(t, "answers.txt", []byte(transcript.String()))
}

// TestGoldenClient compares the requests that a client sends, the response to a call beyond the limit of concurrent
// calls, and the client's errors with a golden file.
func TestGoldenClient(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte(secret), 0o600))
	var transcript strings.Builder
	s, err := Listen("127.0.0.1:0", file, []Route{{Pattern: "POST /v1/thing", Handle: func(r *http.Request,
		body []byte) (any, error) {
		fmt.Fprintf(&transcript, "%s %s; Content-Type %q; Authorization %q\n\t%s\n", r.Method, r.URL.Path,
			r.Header.Get("Content-Type"),
			r.Header.Get("Authorization"), body)
		return "done", nil
	}}}, zap.NewNop())
	require.NoError(t, err)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	c := NewClient(s.Address(), secret)
	defer c.Close()
	var out string
	require.NoError(t, c.Call(t.Context(), http.MethodPost, "/v1/thing", map[string]int{"by": 3}, &out))
	require.Equal(t, "done", out)
	for range maxConcurrentCalls {
		s.slots <- struct{}{}
	}
	var typed *Error
	require.ErrorAs(t, c.Call(t.Context(), http.MethodPost, "/v1/thing", nil, nil), &typed)
	fmt.Fprintf(&transcript, "one call too many\n\t%d %s: %s\n", typed.Status, typed.Code, typed.Message)
	plain, err := http.Post("http://"+s.Address()+"/v1/thing", "", nil)
	require.NoError(t, err)
	require.NoError(t, plain.Body.Close())
	fmt.Fprintf(&transcript, "\tRetry-After %q\n", plain.Header.Get("Retry-After"))
	nobody := NewClient("unix:/nowhere", "")
	fmt.Fprintf(&transcript, "nobody listens\n\t%v\n", nobody.Call(t.Context(), http.MethodGet, "/v1/thing", nil, nil))
	fmt.Fprintf(&transcript, "an error with its key\n\t%v\n", &Error{Message: "is wrong", Key: "move.floor"})
	golden.Bytes(t, "client.txt", []byte(transcript.String()))
}

// TestGoldenListenErrors compares the error messages for rejected token files and listener addresses with a golden
// file.
func TestGoldenListenErrors(t *testing.T) {
	dir := t.TempDir()
	var transcript strings.Builder
	note := func(err error) {
		require.Error(t, err)
		fmt.Fprintln(&transcript, strings.ReplaceAll(err.Error(), dir, "DIR"))
	}
	token := filepath.Join(dir, "token")
	_, err := Listen("127.0.0.1:0", token, nil, zap.NewNop())
	note(err)
	require.NoError(t, os.WriteFile(token, []byte("short"), 0o600))
	_, err = ReadToken(token)
	note(err)
	require.NoError(t, os.Chmod(token, 0o644))
	_, err = ReadToken(token)
	note(err)
	_, err = Listen("unix:"+token, "", nil, zap.NewNop())
	note(err)
	s, err := Listen("unix:"+filepath.Join(dir, "socket"), "", nil, zap.NewNop())
	require.NoError(t, err)
	go func() { _ = s.Serve() }()
	_, err = Listen("unix:"+filepath.Join(dir, "socket"), "", nil, zap.NewNop())
	note(err)
	require.NoError(t, s.Close())
	golden.Bytes(t, "errors.txt", []byte(transcript.String()))
}
