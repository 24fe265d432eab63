package edge_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/testpeer"
)

// TestClientDisconnectCancelsAttempt guards against an attempt that occupies a backend after its client has
// disconnected.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	received, cancelled := make(chan struct{}), make(chan struct{})
	n := startWithBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(received)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, disconnect := context.WithCancel(t.Context())
	go func() {
		<-received
		disconnect()
	}()
	_, err := http.DefaultClient.Do(n.Chat(ctx, nil))
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-cancelled:
	case <-time.After(time.Second):
		t.Fatal("the attempt is still in flight")
	}
	require.Eventually(t, func() bool { return n.Core.OpenRequests() == 0 }, time.Second, time.Millisecond)
}

// TestDisconnectBehindPipelinedBytes guards against a disconnect that goes unnoticed because the client has sent more
// bytes behind its request. The client disconnects while its request waits for a connection to a backend. Nothing is
// forwarded, however the client closes its connection and however much it has sent.
func TestDisconnectBehindPipelinedBytes(t *testing.T) {
	t.Parallel()
	disconnects := map[string]func(conn *net.TCPConn){
		"closes": func(conn *net.TCPConn) { _ = conn.Close() },
		"resets": func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
		"half closes": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
	}
	trailing := map[string]int{
		"nothing":               0,
		"one byte":              1,
		"a request":             20 << 10,
		"several requests":      300 << 10,
		"more than is buffered": 3 << 19,
	}
	for manner, disconnect := range disconnects {
		for trailingName, size := range trailing {
			t.Run(trailingName+", "+manner, func(t *testing.T) {
				t.Parallel()
				forwarded := make(chan string, 10)
				dialer := testpeer.NewDialBlocker(1)
				backend := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
					forwarded <- r.Header.Get("X-Trace-Id")
					respondAlways(w, r)
				})
				n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), dialer.Dial,
					testpeer.Endpoint("s", backend))
				conn := n.Dial().(*net.TCPConn)
				_, err := conn.Write(rawRequest(t, n, 10, withHeader("X-Expires-In", "30000m")))
				require.NoError(t, err)
				<-dialer.Connected
				if size > 0 {
					// Fails if the node has closed the connection because of too many bytes.
					_, _ = conn.Write(rawRequest(t, n, size, nil)[:size])
				}
				disconnect(conn)
				disconnectedAt := time.Now()
				require.Eventually(
					t,
					func() bool { return n.Core.OpenRequests() == 0 },
					2*time.Second,
					time.Millisecond,
					"the disconnect went unnoticed",
				)
				require.Less(t, time.Since(disconnectedAt), 500*time.Millisecond)
				dialer.Release <- struct{}{}
				n.WaitForCore()
				time.Sleep(20 * time.Millisecond) // time for a request to be forwarded, which must not happen
				require.Empty(t, forwarded)
				if manner == "half closes" {
					response, _ := io.ReadAll(conn)
					require.Empty(t, response, "a response without a backend")
				}
			})
		}
	}
}

// TestClientsDisconnectedBeforeAccept guards against forwarding requests of clients that have disconnected before the
// node accepts their connections, as in a burst that it cannot accept in time. Nothing of what they sent is forwarded,
// although the backend and a connection to it are idle.
func TestClientsDisconnectedBeforeAccept(t *testing.T) {
	t.Parallel()
	disconnects := map[string]func(conn *net.TCPConn){
		"close":      func(conn *net.TCPConn) { _ = conn.Close() },
		"half close": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
	}
	sizes := map[string]int{"one request": 0, "one byte more": 1, "two requests": 2000, "much more": 30 << 10}
	for manner, disconnect := range disconnects {
		for sizeName, trailing := range sizes {
			t.Run(sizeName+", "+manner, func(t *testing.T) {
				t.Parallel()
				var sent atomic.Int32
				accepts := make(chan struct{}, 1000)
				waitForGate := func(conn net.Conn) net.Conn {
					<-accepts
					return conn
				}
				backend := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
					sent.Add(1)
					respondAlways(w, r)
				})
				n := testpeer.StartWrapped(t, waitForGate, nil, testpeer.Settings(), testpeer.Endpoint("s", backend))
				complete := func() {
					accepts <- struct{}{}
					conn := n.Dial()
					_, err := conn.Write(rawRequest(t, n, 10, func(r *http.Request) { r.Close = true }))
					require.NoError(t, err)
					status, _ := readResponse(t, conn, bufio.NewReader(conn))
					require.Equal(t, http.StatusOK, status)
				}
				complete()
				const clients = 100
				for range clients {
					conn := n.Dial().(*net.TCPConn)
					request := rawRequest(t, n, 10, nil)
					if trailing > 0 {
						request = append(request, rawRequest(t, n, trailing, nil)[:trailing]...)
					}
					_, err := conn.Write(request)
					require.NoError(t, err)
					disconnect(conn)
				}
				time.Sleep(20 * time.Millisecond) // time for the kernel to process the closes
				for range clients {
					accepts <- struct{}{}
					time.Sleep(time.Millisecond)
				}
				complete()
				require.Equal(t, int32(2), sent.Load(), "only the requests of connected clients")
			})
		}
	}
}
