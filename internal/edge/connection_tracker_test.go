package edge_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/metrics"
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

// A connection that this node closes without an answer is counted by its cause; one that its client ends is not.
func TestConnectionsClosedUnheard(t *testing.T) {
	n := testpeer.Start(t, testpeer.Settings())
	count := func(why metrics.SilentCloseCause) func() bool {
		return func() bool { return n.Metrics.SilentCloseCount(why) >= 1 }
	}
	own := n.Dial()
	require.NoError(t, own.Close())
	late := n.Dial()
	_, err := late.Write([]byte("GET /_health HTTP/1.1\r\nHost:"))
	require.NoError(t, err)
	require.Eventually(t, count(metrics.SlowHeader), 10*time.Second, time.Millisecond)
	n.Room.Resize(1)
	n.Dial()
	n.Dial()
	require.Eventually(t, count(metrics.NoCapacity), 3*time.Second, time.Millisecond, "%s", n.Metrics.Text())
	n.Room.Resize(300)
	silent := n.Dial()
	health, err := http.Get(n.URL + "/_health")
	require.NoError(t, err)
	health.Body.Close()
	n.Room.CloseIdle()
	_, err = silent.Read(make([]byte, 1))
	require.Error(t, err)
	require.Eventually(t, count(metrics.Stopping), 10*time.Second, time.Millisecond)
	require.Zero(t, n.Metrics.SilentCloseCount(metrics.Unreadable))
	require.Contains(t, string(n.Metrics.Text()), "app.closed_unheard.slow_head=1\n")
}
