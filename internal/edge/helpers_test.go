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

// rawRequest returns a request in wire format, with a body of at least size bytes.
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

// readResponse reads a complete response, which has to arrive within 5 s.
func readResponse(t *testing.T, conn net.Conn, reader *bufio.Reader) (status int, body string) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err, "closed without a response")
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(raw)
}

// readStatus reads a complete response, which has to arrive within 3 s, and returns its status.
func readStatus(t *testing.T, conn net.Conn, reader *bufio.Reader) int {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.StatusCode
}

// sendOn sends a request on a connection and returns its response, whose body is yet to be read.
func sendOn(t *testing.T, n *testpeer.Node, conn net.Conn, reader *bufio.Reader, id string) *http.Response {
	t.Helper()
	require.NoError(t, n.Chat(t.Context(), withTraceID(id)).Write(conn))
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	return response
}

// withTraceID returns an edit that sets a request's trace ID.
func withTraceID(id string) func(*http.Request) {
	return withHeader("X-Trace-Id", id)
}

// withBody returns an edit that sets a request's body.
func withBody(body string) func(*http.Request) {
	return func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
	}
}

// respondAlways is a backend that serves every request.
func respondAlways(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	testpeer.WriteEvent(w, "whole")
	testpeer.WriteStreamEnd(w)
}

// startWithBackend starts a node with one backend.
func startWithBackend(t *testing.T, backend http.HandlerFunc) *testpeer.Node {
	t.Helper()
	return testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.StartBackend(t, backend)))
}

// withHeader returns an edit that sets a header of a request.
func withHeader(name, value string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

// rawHead returns a request's head in wire format, without the headers of its body and the empty line at the end.
func rawHead(id string) string {
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + id +
		"\r\nX-Qos: chat\r\nX-Customer: acme\r\nX-Expires-In: 2000m\r\n"
}
