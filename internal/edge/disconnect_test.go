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

// TestClientDisconnectCancelsAttempt has a client disconnect during its attempt.
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

// TestDisconnectBehindPipelinedBytes has a client disconnect whose request waits for a connection to a backend, and
// that has sent more behind it. Nothing is forwarded, however it ended its connection, and however much it had sent.
func TestDisconnectBehindPipelinedBytes(t *testing.T) {
	t.Parallel()
	disconnects := map[string]func(conn *net.TCPConn){
		"closes": func(conn *net.TCPConn) { _ = conn.Close() },
		"resets": func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
		"ends its sending": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
	}
	trailing := map[string]int{
		"nothing":               0,
		"one byte":              1,
		"a request":             20 << 10,
		"several":               300 << 10,
		"more than is buffered": 3 << 19,
	}
	for manner, disconnect := range disconnects {
		for trailingName, size := range trailing {
			t.Run(trailingName+", "+manner, func(t *testing.T) {
				t.Parallel()
				forwarded := make(chan string, 10)
				dialer := testpeer.HoldDials(1)
				backend := testpeer.Backend(t, func(w http.ResponseWriter, r *http.Request) {
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
					_, _ = conn.Write(
						rawRequest(t, n, size, nil)[:size],
					) // beyond what is buffered the node may have closed it
				}
				disconnect(conn)
				disconnectedAt := time.Now()
				require.Eventually(
					t,
					func() bool { return n.Core.OpenRequests() == 0 },
					2*time.Second,
					time.Millisecond,
					"nobody noticed that it left",
				)
				require.Less(t, time.Since(disconnectedAt), 500*time.Millisecond)
				dialer.Release <- struct{}{}
				n.WaitForCore()
				time.Sleep(20 * time.Millisecond) // for what must not come
				require.Empty(t, forwarded)
				if manner == "ends its sending" {
					answer, _ := io.ReadAll(conn)
					require.Empty(t, answer, "nothing that no backend made is its answer")
				}
			})
		}
	}
}

// TestClientsDisconnectedBeforeAccept has clients send all at once and disconnect before the node accepts their
// connections, as in a burst that it could not accept in time: whatever they sent, with a backend and a connection to
// it that are idle, nothing of it is forwarded.
func TestClientsDisconnectedBeforeAccept(t *testing.T) {
	t.Parallel()
	disconnects := map[string]func(conn *net.TCPConn){
		"close":             func(conn *net.TCPConn) { _ = conn.Close() },
		"end their sending": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
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
				backend := testpeer.Backend(t, func(w http.ResponseWriter, r *http.Request) {
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
				time.Sleep(20 * time.Millisecond) // for the kernel to take in the closes
				for range clients {
					accepts <- struct{}{}
					time.Sleep(time.Millisecond)
				}
				complete()
				require.Equal(t, int32(2), sent.Load(), "but for those that stayed")
			})
		}
	}
}
