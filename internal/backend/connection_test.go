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

// Connections to servers that rest never take the descriptors that clients, discovery and other servers need: of more
// than are provided for, those that rest are closed, whichever servers they lead to.
func TestIdleConnectionsAreClosedWhenThereAreMany(t *testing.T) {
	t.Parallel()
	const most, atOnce = 12, 6
	var entries []node.Endpoint
	for i := range 40 {
		entries = append(
			entries,
			testpeer.Endpoint(fmt.Sprint("s", i), newAttemptRecorder().server(t, testpeer.StreamAnswer("whole"))),
		)
	}
	n := testpeer.Start(t, testpeer.Settings(), entries...)
	n.Backends.Adjust(100*time.Millisecond, 15*time.Second, 10, most)
	peak := 0
	for round := range 30 {
		var all sync.WaitGroup
		for i := range atOnce {
			all.Go(func() {
				status, _, _, err := n.Do(
					n.Chat(
						t.Context(),
						func(r *http.Request) { r.Header.Set("X-Object", fmt.Sprintf("%x", 1+round*atOnce+i)) },
					),
				)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
			})
		}
		all.Wait()
		peak = max(peak, n.Backends.Connections())
		require.LessOrEqual(t, n.Backends.Connections(), most+2*atOnce)
	}
	require.Greater(t, peak, most/2, "they are kept while there are few")
}

// A server closes a connection that rested in the moment in which a request is written to it: the write is held until
// it has. The request's last byte was not written, so it never ran, and it goes out afresh, whatever its effect.
func TestBackendClosesWhileARequestIsWritten(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
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
			var whole atomic.Int32
			first := make(chan net.Conn, 1)
			address := testpeer.RawBackend(t, func(conn net.Conn) {
				if whole.Add(1) == 1 {
					first <- conn
				}
				_, _ = io.WriteString(conn, testpeer.StreamAnswer("good"))
			})
			settings := testpeer.Settings()
			settings.Classes[0].Effect = c.effect
			held := &heldWrites{at: make(chan struct{}), on: make(chan struct{})}
			n := testpeer.StartDialing(t, zap.NewNop(), settings, held.dial, testpeer.Endpoint("a", address))
			status, _, _, err := n.Do(n.Chat(t.Context(), nil))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			time.Sleep(50 * time.Millisecond) // it rests
			held.hold.Store(true)
			answered := make(chan int, 1)
			began := time.Now()
			go func() {
				status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
				answered <- status
			}()
			<-held.at
			conn := <-first
			if c.resets {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
			time.Sleep(20 * time.Millisecond) // until that is there
			held.on <- struct{}{}
			require.Equal(t, http.StatusOK, <-answered)
			require.Less(t, time.Since(began), time.Second)
			require.Equal(t, int32(2), whole.Load())
		})
	}
}

// heldWrites are connections to servers of which one write can be held back.
type heldWrites struct {
	hold   atomic.Bool
	at, on chan struct{}
}

func (h *heldWrites) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &heldWrite{c.(*net.TCPConn), h}, nil
}

type heldWrite struct {
	*net.TCPConn
	held *heldWrites
}

func (c *heldWrite) Write(b []byte) (int, error) {
	if c.held.hold.CompareAndSwap(true, false) {
		c.held.at <- struct{}{}
		<-c.held.on
	}
	return c.TCPConn.Write(b)
}

// Good answers that bring more than belongs to them are passed on, and what they bring is taken for nobody's.
func TestSurplusAfterAnAnswerIsIgnored(t *testing.T) {
	for name, script := range map[string]func(io.Writer, string){
		"1xx ahead": func(w io.Writer, answer string) {
			_, _ = io.WriteString(w, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"+answer)
		},
		"unreadable report": func(w io.Writer, answer string) {
			report := testpeer.Chunk(": Endpoint-Load-Metrics: TEXT x0=NaN, x1=, util=-3\n\n")
			_, _ = io.WriteString(w, strings.Replace(answer, "0\r\n\r\n", report+"0\r\n\r\n", 1))
		},
		"second answer behind": func(w io.Writer, answer string) {
			_, _ = io.WriteString(w, answer+testpeer.StreamAnswer("stray"))
		},
		"and in pieces": func(w io.Writer, answer string) {
			_, _ = io.WriteString(w, answer)
			_, _ = io.WriteString(w, testpeer.StreamAnswer("stray"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.RawBackend(t, func(c net.Conn) {
				script(c, testpeer.StreamAnswer("own"))
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

// A server that drops rested links without a word costs a few attempts, not one each time: links rest less then.
func TestDroppedIdleConnectionsShortenTheIdleLimit(t *testing.T) {
	var mu sync.Mutex
	asked := map[net.Conn]bool{}
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.RawBackend(t, func(c net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		if asked[c] {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			return
		}
		asked[c] = true
		_, _ = io.WriteString(c, testpeer.StreamAnswer("own"))
	})))
	var lost []int
	for i := range 12 {
		status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "200m") }))
		if status != http.StatusOK {
			lost = append(lost, i)
		}
		time.Sleep(60 * time.Millisecond)
	}
	require.LessOrEqual(t, len(lost), 4, lost)
}

// A server that answers before the request's last byte is heard, and not taken for one that cannot be reached.
func TestAnswerBeforeTheRequestIsWritten(t *testing.T) {
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

// A process started anew at the same address gets connections of its own: those kept to the one before lead nowhere.
func TestRestartedBackendGetsNewConnections(t *testing.T) {
	var links sync.Map
	server := testpeer.RawBackend(t, func(c net.Conn) {
		links.Store(c, true)
		_, _ = io.WriteString(c, testpeer.StreamAnswer("own"))
	})
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", server))
	used := func() (all int) {
		status, _, _, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		links.Range(func(any, any) bool { all++; return true })
		return all
	}
	require.Equal(t, 1, used())
	require.Equal(t, 1, used(), "a kept one")
	again := testpeer.Endpoint("s", server)
	again.ReadyAt = time.Now().Add(-time.Hour).UnixNano()
	n.UpdateEndpoints(again)
	require.Equal(t, 2, used())
}

// A second answer that comes some milliseconds behind the first, on its own, is nobody's: the next request, which may
// be there before it, gets its own answer. A server that is itself too late for that, on a busy machine, sends no
// second answer, and the turn does not count.
func TestLateSecondAnswerIsIgnored(t *testing.T) {
	const turns, late, most = 5, 11 * time.Millisecond, 13 * time.Millisecond
	var played atomic.Int64
	var count atomic.Int64
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.RawBackend(t, func(c net.Conn) {
		number := count.Add(1)
		began := time.Now()
		_, _ = io.WriteString(c, testpeer.StreamAnswer(fmt.Sprintf("own %d.", number)))
		time.Sleep(late)
		if time.Since(began) < most {
			_, _ = io.WriteString(c, testpeer.StreamAnswer("nobody's"))
			played.Add(1)
		}
	})))
	for i := 1; played.Load() < turns; i++ { // each asks before the second answer to the one before
		require.Less(t, i, 200, "the machine is too busy: %d turns of %d", played.Load(), turns)
		status, _, body, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Contains(t, body, fmt.Sprintf("own %d.", i))
		require.NotContains(t, body, "nobody's")
	}
}
