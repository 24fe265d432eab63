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

// Guards against clients that ask once and keep their connections, or say nothing on them: with places for 16,
// many more are answered, each at once, though none may be closed before it has rested for 2 s.
func TestRestingConnectionsMakeRoom(t *testing.T) {
	for name, asks := range map[string]bool{"asked once": true, "said nothing": false} {
		t.Run(name, func(t *testing.T) {
			n := testpeer.Start(t, testpeer.Settings())
			n.Room.Resize(16)
			health := func(c net.Conn) {
				_, err := c.Write([]byte("GET /_health HTTP/1.1\r\nHost: n\r\n\r\n"))
				require.NoError(t, err)
				require.NoError(t, c.SetReadDeadline(time.Now().Add(1500*time.Millisecond)))
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
			}
			for range 40 {
				if c := n.Dial(); asks {
					health(c)
				}
			}
			health(n.Dial())
		})
	}
}
