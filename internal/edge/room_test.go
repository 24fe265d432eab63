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

// Guards against clients that ask once and keep their connections, or say nothing on them: with every place
// taken by such, another client is answered all the same.
func TestRestingConnectionsMakeRoom(t *testing.T) {
	n := testpeer.Start(t, testpeer.Settings())
	n.Room.Resize(16)
	open := func() net.Conn {
		c, err := net.Dial("tcp", n.Address)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	health := func(c net.Conn) {
		_, err := c.Write([]byte("GET /_health HTTP/1.1\r\nHost: n\r\n\r\n"))
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(4*time.Second))) // before idleTime makes room by itself
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	for range 16 {
		health(open())
	}
	health(open())
}
