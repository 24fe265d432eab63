package backend_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"standpoint"
	"standpoint/internal/node"
	"standpoint/internal/testpeer"
)

// Idle connections must not use up the descriptors that clients, discovery and other backends need. Above the maximum
// number of connections, idle ones to all backends are closed.
func TestIdleConnectionsAreClosedWhenThereAreMany(t *testing.T) {
	t.Parallel()
	const maxConnections, concurrency = 12, 6
	var endpoints []node.Endpoint
	for i := range 40 {
		endpoints = append(
			endpoints,
			testpeer.Endpoint(fmt.Sprint("s", i),
				newAttemptRecorder().startBackend(t, testpeer.StreamResponse("complete"))),
		)
	}
	n := testpeer.Start(t, testpeer.Settings(), endpoints...)
	n.Backends.Adjust(100*time.Millisecond, 15*time.Second, 10, maxConnections)
	peak := 0
	for round := range 30 {
		var requests sync.WaitGroup
		for i := range concurrency {
			requests.Go(func() {
				status, _, _, err := n.Do(
					n.Chat(
						t.Context(),
						func(r *http.Request) { r.Header.Set("X-Object", fmt.Sprintf("%x", 1+round*concurrency+i)) },
					),
				)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
			})
		}
		requests.Wait()
		peak = max(peak, n.Backends.ConnectionCount())
		require.LessOrEqual(t, n.Backends.ConnectionCount(), maxConnections+2*concurrency)
	}
	require.Greater(t, peak, maxConnections/2, "idle connections are kept below the maximum")
}

// A backend closes an idle connection while a request is written to it; the write is held back until then. The last
// byte of the request was not written, so it never ran, and it must be sent again whatever its effect.
func TestBackendClosesWhileARequestIsWritten(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		effect standpoint.Effect
		resets bool
	}{
		"safe":           {standpoint.Safe, false},
		"unsafe":         {standpoint.Unsafe, false},
		"safe, resets":   {standpoint.Safe, true},
		"unsafe, resets": {standpoint.Unsafe, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var completeRequests atomic.Int32
			firstConn := make(chan net.Conn, 1)
			address := testpeer.StartRawBackend(t, func(conn net.Conn) {
				if completeRequests.Add(1) == 1 {
					firstConn <- conn
				}
				_, _ = io.WriteString(conn, testpeer.StreamResponse("good"))
			})
			settings := testpeer.Settings()
			settings.Classes[0].Effect = test.effect
			dialer := &blockingDialer{blocked: make(chan struct{}), release: make(chan struct{})}
			n := testpeer.StartDialing(t, zap.NewNop(), settings, dialer.dial, testpeer.Endpoint("a", address))
			status, _, _, err := n.Do(n.Chat(t.Context(), nil))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			time.Sleep(50 * time.Millisecond) // the connection is idle
			dialer.hold.Store(true)
			statusOf := make(chan int, 1)
			started := time.Now()
			go func() {
				status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
				statusOf <- status
			}()
			<-dialer.blocked
			conn := <-firstConn
			if test.resets {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
			time.Sleep(20 * time.Millisecond) // until the close has arrived
			dialer.release <- struct{}{}
			require.Equal(t, http.StatusOK, <-statusOf)
			require.Less(t, time.Since(started), time.Second)
			require.Equal(t, int32(2), completeRequests.Load())
		})
	}
}

// blockingDialer dials backends, and can hold back one write on their connections.
type blockingDialer struct {
	hold atomic.Bool // set to hold back the next write
	// blocked receives a value when the write is held back; a value on release releases it.
	blocked, release chan struct{}
}

func (d *blockingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &blockingConn{conn.(*net.TCPConn), d}, nil
}

// blockingConn is a connection that a blockingDialer has dialed.
type blockingConn struct {
	*net.TCPConn
	dialer *blockingDialer
}

func (c *blockingConn) Write(b []byte) (int, error) {
	if c.dialer.hold.CompareAndSwap(true, false) {
		c.dialer.blocked <- struct{}{}
		<-c.dialer.release
	}
	return c.TCPConn.Write(b)
}

// Valid responses with surplus bytes around or within them are forwarded, and the surplus must not be taken for the
// response to another request.
func TestSurplusAfterAnAnswerIsIgnored(t *testing.T) {
	for name, respond := range map[string]func(io.Writer, string){
		"1xx before": func(w io.Writer, response string) {
			_, _ = io.WriteString(w,
				"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"+response)
		},
		"invalid report": func(w io.Writer, response string) {
			report := testpeer.Chunk(": Endpoint-Load-Metrics: TEXT x0=NaN, x1=, util=-3\n\n")
			_, _ = io.WriteString(w, strings.Replace(response, "0\r\n\r\n", report+"0\r\n\r\n", 1))
		},
		"second response": func(w io.Writer, response string) {
			_, _ = io.WriteString(w, response+testpeer.StreamResponse("stray"))
		},
		"second response, written separately": func(w io.Writer, response string) {
			_, _ = io.WriteString(w, response)
			_, _ = io.WriteString(w, testpeer.StreamResponse("stray"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.StartRawBackend(t, func(c net.Conn) {
				respond(c, testpeer.StreamResponse("own"))
			})))
			for range 20 {
				status, _, body, err := n.Do(n.Chat(t.Context(), nil))
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				require.Contains(t, body, "own")
				require.NotContains(t, body, "stray")
			}
		})
	}
}

// A backend silently drops idle connections. This may fail a few attempts but not one each time, since the time for
// which connections may be idle shortens with each loss.
func TestDroppedIdleConnectionsShortenTheIdleLimit(t *testing.T) {
	var mu sync.Mutex
	used := map[net.Conn]bool{}
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.StartRawBackend(t, func(c net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		if used[c] {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			return
		}
		used[c] = true
		_, _ = io.WriteString(c, testpeer.StreamResponse("own"))
	})))
	var failed []int
	for i := range 12 {
		status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "200m") }))
		if status != http.StatusOK {
			failed = append(failed, i)
		}
		time.Sleep(60 * time.Millisecond)
	}
	require.LessOrEqual(t, len(failed), 4, failed)
}

// A backend responds before the last byte of the request was written. Its status must be used; the backend must not be
// taken for one that cannot be reached.
func TestResponseBeforeTheRequestIsWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	log, logs := observer.New(zap.InfoLevel)
	n := testpeer.StartLogged(t, zap.New(log), testpeer.Settings(), testpeer.Endpoint("s", listener.Addr().String()))
	body := `{"messages":["` + strings.Repeat("x", 200<<10) + `"]}`
	status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
		r.Header.Set("X-Expires-In", "300m")
	}))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "response status 500 No", logs.FilterMessage("attempt failed").All()[0].ContextMap()["error"])
}

// A backend's process restarts at the same address. It must get new connections, since the idle ones lead to the
// previous process.
func TestRestartedBackendGetsNewConnections(t *testing.T) {
	var connections sync.Map
	address := testpeer.StartRawBackend(t, func(c net.Conn) {
		connections.Store(c, true)
		_, _ = io.WriteString(c, testpeer.StreamResponse("own"))
	})
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", address))
	connectionsAfterRequest := func() (count int) {
		status, _, _, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		connections.Range(func(any, any) bool { count++; return true })
		return count
	}
	require.Equal(t, 1, connectionsAfterRequest())
	require.Equal(t, 1, connectionsAfterRequest(), "the idle connection is reused")
	restarted := testpeer.Endpoint("s", address)
	restarted.StartedAt = time.Now().Add(-time.Hour).UnixNano()
	n.UpdateEndpoints(restarted)
	require.Equal(t, 2, connectionsAfterRequest())
}

// A backend sends a second response some milliseconds after the first. The next request may be waiting by then, and
// must get its own response. If the backend is late itself, on a busy machine, it sends no second response, and the
// round is not counted.
func TestLateSecondAnswerIsIgnored(t *testing.T) {
	const rounds, delay, maxDelay = 5, 11 * time.Millisecond, 13 * time.Millisecond
	var roundsDone atomic.Int64
	var requests atomic.Int64
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.StartRawBackend(t, func(c net.Conn) {
		number := requests.Add(1)
		started := time.Now()
		_, _ = io.WriteString(c, testpeer.StreamResponse(fmt.Sprintf("own %d.", number)))
		time.Sleep(delay)
		if time.Since(started) < maxDelay {
			_, _ = io.WriteString(c, testpeer.StreamResponse("surplus"))
			roundsDone.Add(1)
		}
	})))
	for i := 1; roundsDone.Load() < rounds; i++ { // each is sent before the second response to the previous one
		require.Less(t, i, 200, "the machine is too busy: %d rounds of %d", roundsDone.Load(), rounds)
		status, _, body, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Contains(t, body, fmt.Sprintf("own %d.", i))
		require.NotContains(t, body, "surplus")
	}
}
