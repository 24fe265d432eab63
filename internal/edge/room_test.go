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
// taken by such, another client is answered all the same, and soon where nothing was said.
func TestRestingConnectionsMakeRoom(t *testing.T) {
	for name, asks := range map[string]bool{"asked once": true, "said nothing": false} {
		t.Run(name, func(t *testing.T) {
			n := testpeer.Start(t, testpeer.Settings())
			n.Room.Resize(16)
			health := func(c net.Conn, within time.Duration) {
				_, err := c.Write([]byte("GET /_health HTTP/1.1\r\nHost: n\r\n\r\n"))
				require.NoError(t, err)
				require.NoError(t, c.SetReadDeadline(time.Now().Add(within)))
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
			}
			for range 16 {
				if c := n.Dial(); asks {
					health(c, time.Second)
				}
			}
			within := 2 * time.Second // before readTime would make room by itself
			if asks {
				within = 4 * time.Second // likewise idleTime
			}
			health(n.Dial(), within)
		})
	}
}
