package edge_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
)

// TestIdleConnectionsAreEvicted guards against clients that shut out others by keeping connections after one request,
// or without any: with a limit of 16 connections, many more get prompt responses, although a connection may not be
// closed before it has been idle for 2 s.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	for name, sends := range map[string]bool{"one request": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			n := testpeer.Start(t, testpeer.Settings())
			n.Connections.Resize(16)
			health := func(conn net.Conn) {
				_, err := conn.Write([]byte("GET /_health HTTP/1.1\r\nHost: n\r\n\r\n"))
				require.NoError(t, err)
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(1500*time.Millisecond)))
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
			}
			for range 40 {
				if conn := n.Dial(); sends {
					health(conn)
				}
			}
			health(n.Dial())
		})
	}
}
