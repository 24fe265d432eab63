package testpeer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint"
	"standpoint/internal/loopback"
	"standpoint/internal/node"
)

// Endpoint returns an entry of the endpoint list for a ready backend of size 1.
func Endpoint(name, address string) node.Endpoint {
	return node.Endpoint{Address: address, Engine: standpoint.Engine{Name: name, Size: 1}}
}

// StartBackend starts an HTTP server that handles requests by script and returns its address. The server stops when the
// test ends.
func StartBackend(t testing.TB, script http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(script)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// StartRawBackend starts a backend that reads each request and then calls script, which writes arbitrary bytes to the
// connection. It returns the backend's address. The connections stay open until the test ends.
func StartRawBackend(t testing.TB, script func(conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go serveRaw(conn, script)
		}
	}()
	return listener.Addr().String()
}

// serveRaw calls script for each request until no further request can be read from the connection.
func serveRaw(conn net.Conn, script func(conn net.Conn)) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		script(conn)
	}
}

// Reset resets the connection of a call in place of a response.
func Reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	conn.Close()
}

// FreeAddress returns a loopback address on which nothing listens, and which nothing else takes.
func FreeAddress(t testing.TB) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	return address
}
