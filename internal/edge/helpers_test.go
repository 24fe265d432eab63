package edge_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
)

// rawRequest returns a request as it stands on the wire, with a body of at least so many bytes.
func rawRequest(t *testing.T, n *testpeer.Node, size int, edit func(*http.Request)) []byte {
	t.Helper()
	r := n.Chat(t.Context(), edit)
	body := `{"messages":[{"role":"user","content":"` + strings.Repeat("x", size) + `"}]}`
	r.Body = io.NopCloser(strings.NewReader(body))
	r.ContentLength = int64(len(body))
	var raw bytes.Buffer
	require.NoError(t, r.Write(&raw))
	return raw.Bytes()
}

// readResponse reads a complete answer, which has to come within 5 s.
func readResponse(t *testing.T, conn net.Conn, reader *bufio.Reader) (status int, body string) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err, "closed without an answer")
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(raw)
}

// readStatus reads a complete answer, which has to come within 3 s, and returns its status.
func readStatus(t *testing.T, conn net.Conn, reader *bufio.Reader) int {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.StatusCode
}

// sendOn sends a request on a connection and returns its answer, whose body is still to come.
func sendOn(t *testing.T, n *testpeer.Node, conn net.Conn, reader *bufio.Reader, id string) *http.Response {
	t.Helper()
	require.NoError(t, n.Chat(t.Context(), withTraceID(id)).Write(conn))
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	return response
}

// withTraceID is an edit of a request.
func withTraceID(id string) func(*http.Request) {
	return withHeader("X-Trace-Id", id)
}

// withBody is an edit of a request.
func withBody(body string) func(*http.Request) {
	return func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
	}
}

// respondAlways is a backend that answers every request.
func respondAlways(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	testpeer.Event(w, "whole")
	testpeer.Finish(w)
}

// startWithBackend starts a node with one backend.
func startWithBackend(t *testing.T, backend http.HandlerFunc) *testpeer.Node {
	t.Helper()
	return testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.Backend(t, backend)))
}

// withHeader is an edit of a request.
func withHeader(name, value string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

// rawHead returns a request's head as it stands on the wire, but for what tells of its body and the empty line.
func rawHead(id string) string {
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + id +
		"\r\nX-Qos: chat\r\nX-Customer: acme\r\nX-Expires-In: 2000m\r\n"
}
