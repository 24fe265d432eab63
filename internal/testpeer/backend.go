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
	"standpoint/internal/node"
)

// Endpoint returns an entry of the endpoint list for a backend that is ready.
func Endpoint(name, address string) node.Endpoint {
	return node.Endpoint{Address: address, Engine: standpoint.Engine{Name: name, Size: 1}}
}

// StartBackend starts a scripted backend and returns its address. It stops with the test.
func StartBackend(t testing.TB, script http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(script)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// StartRawBackend starts a backend that answers each request by a script, which writes to the connection what it will. The
// connections stay open until the test ends.
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

// serveRaw runs the script for each request until the connection ends.
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

// FreeAddress returns a loopback address that nothing listens at.
func FreeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}
