package backend_test

import (
	"bufio"
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

	"standpoint"
	"standpoint/internal/node"
	"standpoint/internal/testpeer"
)

// met notes which requests came to which server.
type met struct {
	mu  sync.Mutex
	all map[string]int // by the server's address
}

// server starts a server that answers its requests by turns with the texts, the last one for all that follow.
func (m *met) server(t *testing.T, answers ...string) (address string) {
	var mu sync.Mutex
	address = testpeer.RawBackend(t, func(c net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		m.note(c.LocalAddr().String())
		_, _ = io.WriteString(c, answers[0])
		if len(answers) > 1 {
			answers = answers[1:]
		}
	})
	return address
}

func (m *met) note(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all[address]++
}

func (m *met) at(address string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all[address]
}

func newMet() *met { return &met{all: map[string]int{}} }

const failed500 = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"

// A server is told to leave while the connection of an attempt that was decided on before comes up. Nothing of the
// attempt is sent, and the request goes elsewhere; that the server was chosen in good time is no reason to send
// later.
func TestToldToLeaveWhileAConnectionComesUp(t *testing.T) {
	t.Parallel()
	for name, tell := range map[string]func(n *testpeer.Node, chosen, other node.Endpoint){
		"drains": func(n *testpeer.Node, chosen, other node.Endpoint) {
			chosen.State = standpoint.Draining
			n.UpdateEndpoints(chosen, other)
		},
		"drains, by a change": func(n *testpeer.Node, chosen, _ node.Endpoint) {
			chosen.State = standpoint.Draining
			n.Core.UpdateEndpoints(node.EndpointList{Kind: standpoint.ListDelta, Endpoints: []node.Endpoint{chosen}})
		},
		"is gone": func(n *testpeer.Node, _, other node.Endpoint) { n.UpdateEndpoints(other) },
		"is gone, by a change": func(n *testpeer.Node, chosen, _ node.Endpoint) {
			chosen.State = standpoint.Gone
			chosen.Address = ""
			n.Core.UpdateEndpoints(node.EndpointList{Kind: standpoint.ListDelta, Endpoints: []node.Endpoint{chosen}})
		},
		"is another process by now": func(n *testpeer.Node, chosen, other node.Endpoint) {
			chosen.ReadyAt = time.Now().Add(-time.Hour).UnixNano()
			n.UpdateEndpoints(chosen, other)
		},
		"drains and comes back": func(n *testpeer.Node, chosen, other node.Endpoint) {
			chosen.State = standpoint.Draining
			n.UpdateEndpoints(chosen, other)
			chosen.State = standpoint.Ready
			n.UpdateEndpoints(chosen, other)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			met, held := newMet(), testpeer.HoldDials(1)
			a, b := testpeer.Endpoint(
				"a",
				met.server(t, testpeer.StreamAnswer("whole")),
			), testpeer.Endpoint(
				"b",
				met.server(t, testpeer.StreamAnswer("whole")),
			)
			n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), held.Dial, a, b)
			answered := make(chan int, 1)
			go func() {
				status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
				answered <- status
			}()
			chosen, other := a, b
			if <-held.Connected == b.Address {
				chosen = b
				other = a
			}
			tell(n, chosen, other)
			n.WaitForCore()
			held.Release <- struct{}{}
			require.Equal(t, http.StatusOK, <-answered)
			// What comes to one that is back was decided on behind its return; what was on its way is not counted
			// among it.
			if name != "drains and comes back" && name != "is another process by now" {
				require.Zero(t, met.at(chosen.Address))
				require.Equal(t, 1, met.at(other.Address))
			}
			require.Equal(t, 1, met.at(chosen.Address)+met.at(other.Address))
		})
	}
}

// The only server is told to leave meanwhile: the request is not sent, and is answered, by its time at the latest.
func TestToldToLeaveAndNoOtherThere(t *testing.T) {
	t.Parallel()
	met, held := newMet(), testpeer.HoldDials(1)
	a := testpeer.Endpoint("a", met.server(t, testpeer.StreamAnswer("whole")))
	n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), held.Dial, a)
	answered := make(chan int, 1)
	go func() {
		status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "600m") }))
		answered <- status
	}()
	<-held.Connected
	a.State = standpoint.Draining
	n.UpdateEndpoints(a)
	n.WaitForCore()
	held.Release <- struct{}{}
	require.Equal(t, http.StatusServiceUnavailable, <-answered)
	require.Zero(t, met.at(a.Address))
}

// A client goes while the connection for its request comes up.
func TestTheClientGoesWhileAConnectionComesUp(t *testing.T) {
	t.Parallel()
	for name, fails := range map[string]int{"first attempt": 0, "second attempt": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			met, held := newMet(), testpeer.HoldDials(2)
			a, b := testpeer.Endpoint("a", met.server(t, failed500)), testpeer.Endpoint("b", met.server(t, failed500))
			n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), held.Dial, a, b)
			ctx, leave := context.WithCancel(t.Context())
			gone := make(chan struct{})
			go func() {
				defer close(gone)
				response, err := http.DefaultClient.Do(n.Chat(ctx, nil))
				if err == nil {
					response.Body.Close()
				}
			}()
			for range fails {
				<-held.Connected
				held.Release <- struct{}{}
			}
			<-held.Connected
			leave()
			<-gone
			require.Eventually(t, func() bool { return n.Core.OpenRequests() == 0 }, 2*time.Second, time.Millisecond)
			held.Release <- struct{}{}
			n.WaitForCore()
			time.Sleep(20 * time.Millisecond) // for what must not come
			require.Equal(t, fails, met.at(a.Address)+met.at(b.Address))
		})
	}
}

// A repeat is decided on in time, and its connection comes up when the window in which repeats are dropped is over.
// It is not sent, and the client hears at once what has become of its request.
func TestTheWindowClosesWhileARepeatIsOnItsWay(t *testing.T) {
	t.Parallel()
	met, held := newMet(), testpeer.HoldDials(2)
	a, b := testpeer.Endpoint("a", met.server(t, failed500)), testpeer.Endpoint("b", met.server(t, failed500))
	settings := testpeer.Settings()
	window := 300 * time.Millisecond
	c := &settings.Classes[0]
	c.Effect = standpoint.Keyed
	c.Group = standpoint.GroupZone
	c.Window = int64(window)
	n := testpeer.StartDialing(t, zap.NewNop(), settings, held.Dial, a, b)
	answered := make(chan int, 1)
	began := time.Now()
	go func() {
		status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "9000m") }))
		answered <- status
	}()
	<-held.Connected
	held.Release <- struct{}{}
	<-held.Connected
	time.Sleep(time.Until(began.Add(window + 50*time.Millisecond))) // the window is the clock's own
	held.Release <- struct{}{}
	require.Equal(
		t,
		http.StatusBadGateway,
		<-answered,
		"an attempt has run: that trying again is harmless would not be true",
	)
	require.Less(t, time.Since(began), 2*time.Second)
	require.Equal(t, 1, met.at(a.Address)+met.at(b.Address))
}

// What this node hands back before it ends: that trying again is harmless is said only of what may be tried again.
func TestHandedBackByEffect(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		effect standpoint.Effect
		group  standpoint.Group
		status int
	}{
		"safe":            {standpoint.Safe, standpoint.GroupAll, http.StatusServiceUnavailable},
		"keyed, all":      {standpoint.Keyed, standpoint.GroupAll, http.StatusServiceUnavailable},
		"keyed in a zone": {standpoint.Keyed, standpoint.GroupZone, http.StatusBadGateway},
		"unsafe":          {standpoint.Unsafe, standpoint.GroupAll, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			came := make(chan struct{})
			settings := testpeer.Settings()
			settings.Classes[0].Effect = c.effect
			settings.Classes[0].Group = c.group
			settings.Classes[0].Window = int64(time.Second)
			n := testpeer.Start(
				t,
				settings,
				testpeer.Endpoint("s", testpeer.Backend(t, func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					close(came)
					<-r.Context().Done()
				})),
			)
			go func() {
				<-came
				n.Core.HandBack(true)
			}()
			status, header, _, err := n.Do(n.Chat(t.Context(), nil))
			require.NoError(t, err)
			require.Equal(t, c.status, status)
			require.Equal(t, c.status == http.StatusServiceUnavailable, header.Get("Retry-After") != "")
		})
	}
}

// Events are passed on one by one, as they come: the server writes each only once the client has the one before. One
// that comes in halves waits for its second half, and for nothing else.
func TestEachEventIsPassedOnAsItComes(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]string{"LF": "\n", "CR LF": "\r\n"} {
		for _, halves := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", in halves ", halves), func(t *testing.T) {
				t.Parallel()
				next := make(chan struct{}, 1)
				event := func(i int) string { return fmt.Sprintf("data: {\"choices\":[{\"index\":%d}]}%s%s", i, end, end) }
				const events = 20
				n := testpeer.Start(
					t,
					testpeer.Settings(),
					testpeer.Endpoint("s", testpeer.RawBackend(t, func(c net.Conn) {
						_, _ = io.WriteString(c, testpeer.StreamHead)
						for i := range events {
							text := event(i)
							if halves {
								_, _ = io.WriteString(c, testpeer.Chunk(text[:len(text)-len(end)-3]))
								time.Sleep(5 * time.Millisecond)
								text = text[len(text)-len(end)-3:]
							}
							_, _ = io.WriteString(c, testpeer.Chunk(text))
							<-next
						}
						_, _ = io.WriteString(c, testpeer.Chunk("data: [DONE]"+end+end)+"0\r\n\r\n")
					})),
				)
				response, err := http.DefaultClient.Do(n.Chat(t.Context(), nil))
				require.NoError(t, err)
				defer response.Body.Close()
				in := bufio.NewReader(response.Body)
				for i := range events {
					began := time.Now()
					got := make([]byte, len(event(i)))
					_, err := io.ReadFull(in, got)
					require.NoError(t, err)
					require.Equal(t, event(i), string(got))
					require.Less(t, time.Since(began), 300*time.Millisecond)
					require.Zero(t, in.Buffered(), "two events in one")
					next <- struct{}{}
				}
				rest, err := io.ReadAll(in)
				require.NoError(t, err)
				require.Contains(t, string(rest), "[DONE]")
			})
		}
	}
}

// Connections to servers that rest never take the descriptors that clients, discovery and other servers need: of more
// than are provided for, those that rest are closed, whichever servers they lead to.
func TestRestingLinksMakeRoom(t *testing.T) {
	t.Parallel()
	const most, atOnce = 12, 6
	var entries []node.Endpoint
	for i := range 40 {
		entries = append(
			entries,
			testpeer.Endpoint(fmt.Sprint("s", i), newMet().server(t, testpeer.StreamAnswer("whole"))),
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

// Answers that never end, each in another way: the request is tried elsewhere where nothing of it has reached the
// client, else the client's answer ends, broken and in bounded time, and nothing more goes out.
func TestAnswersThatNeverEnd(t *testing.T) {
	t.Parallel()
	event := testpeer.Chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"}}]}\n\n")
	forever := func(piece string, pause time.Duration) func(c net.Conn) {
		return func(c net.Conn) {
			for began := time.Now(); time.Since(began) < 6*time.Second; {
				if _, err := io.WriteString(c, piece); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}
	}
	for name, c := range map[string]struct {
		begins string
		then   func(c net.Conn)
		begun  bool // something of it reaches the client
	}{
		"a head":               {"HTTP/1.1 200 OK\r\n", forever("X-More: and more\r\n", time.Millisecond), false},
		"early heads":          {"", forever("HTTP/1.1 103 Early\r\n\r\n", time.Millisecond), false},
		"a first line":         {testpeer.StreamHead, forever(testpeer.Chunk("data"), time.Millisecond), false},
		"a chunk's size":       {testpeer.StreamHead, forever("0", time.Millisecond), false},
		"a line behind events": {testpeer.StreamHead + event, forever(testpeer.Chunk("data"), time.Millisecond), true},
		"events":               {testpeer.StreamHead + event, forever(event, time.Millisecond), true},
		"comments":             {testpeer.StreamHead + event, forever(testpeer.Chunk(": there\n\n"), 10*time.Millisecond), true},
		"nothing behind half a line": {testpeer.StreamHead + event + testpeer.Chunk("data: {\"choi"),
			func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, true},
		"nothing behind the last event": {testpeer.StreamHead + event + testpeer.Chunk("data: [DONE]\n\n"),
			func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, true},
		"trailers": {testpeer.StreamHead + event + testpeer.Chunk("data: [DONE]\n\n") + "0\r\n", forever("X-More: and more\r\n", time.Millisecond), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var asked atomic.Int32
			server := func() string {
				return testpeer.RawBackend(t, func(conn net.Conn) {
					if asked.Add(1) > 1 {
						_, _ = io.WriteString(conn, testpeer.StreamAnswer("good"))
						return
					}
					_, _ = io.WriteString(conn, c.begins)
					c.then(conn)
				})
			}
			n := testpeer.Start(
				t,
				testpeer.Settings(),
				testpeer.Endpoint("a", server()),
				testpeer.Endpoint("b", server()),
			)
			began := time.Now()
			response, err := http.DefaultClient.Do(n.Chat(t.Context(), func(r *http.Request) {
				body := `{"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`
				r.Body = io.NopCloser(strings.NewReader(body))
				r.ContentLength = int64(len(body))
				r.Header.Set("X-Expires-In", "6000m")
			}))
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusOK, response.StatusCode)
			body, err := io.ReadAll(response.Body)
			if c.begun {
				require.Error(t, err, "broken off: it was never whole")
				require.Equal(t, int32(1), asked.Load())
			} else {
				require.NoError(t, err)
				require.Contains(t, string(body), "good")
				require.Equal(t, int32(2), asked.Load())
			}
			require.Less(t, time.Since(began), 4*time.Second)
		})
	}
}

// A server closes a connection that rested in the moment in which a request is written to it: the write is held until
// it has. The request's last byte was not written, so it never ran, and it goes out afresh, whatever its effect.
func TestAServerClosesAsARequestIsWritten(t *testing.T) {
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

// A repeat is decided on, and a request that was held while there was no server for it, and the server chosen is told
// to leave while the connection comes up: nothing is sent there, and the request goes on elsewhere.
func TestToldToLeaveWhileARepeatOrAHeldRequestIsOnItsWay(t *testing.T) {
	t.Parallel()
	t.Run("a repeat", func(t *testing.T) {
		t.Parallel()
		met, held := newMet(), testpeer.HoldDials(2)
		var all []node.Endpoint
		for _, name := range []string{"a", "b", "c"} {
			all = append(all, testpeer.Endpoint(name, met.server(t, failed500, testpeer.StreamAnswer("whole"))))
		}
		n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), held.Dial, all...)
		answered := make(chan int, 1)
		go func() {
			status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
			answered <- status
		}()
		first := <-held.Connected
		held.Release <- struct{}{}
		second := <-held.Connected
		require.NotEqual(t, first, second)
		for i := range all {
			if all[i].Address == second {
				all[i].State = standpoint.Draining
			}
		}
		n.UpdateEndpoints(all...)
		n.WaitForCore()
		held.Release <- struct{}{}
		<-answered // by the third attempt, whatever that server says
		require.Zero(t, met.at(second))
		require.Equal(t, 1, met.at(first))
	})
	t.Run("a held request", func(t *testing.T) {
		t.Parallel()
		met, held := newMet(), testpeer.HoldDials(1)
		a, b := testpeer.Endpoint(
			"a",
			met.server(t, testpeer.StreamAnswer("whole")),
		), testpeer.Endpoint(
			"b",
			met.server(t, testpeer.StreamAnswer("whole")),
		)
		a.State = standpoint.Draining
		n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), held.Dial, a)
		answered := make(chan int, 1)
		go func() {
			status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
			answered <- status
		}()
		require.Eventually(t, func() bool { return n.Core.OpenRequests() == 1 }, time.Second, time.Millisecond)
		a.State = standpoint.Ready
		n.UpdateEndpoints(a)
		require.Equal(t, a.Address, <-held.Connected)
		a.State = standpoint.Draining
		n.UpdateEndpoints(a)
		n.WaitForCore()
		held.Release <- struct{}{}
		n.WaitForCore()
		require.Zero(t, met.at(a.Address))
		n.UpdateEndpoints(a, b)
		require.Equal(t, http.StatusOK, <-answered)
		require.Zero(t, met.at(a.Address))
		require.Equal(t, 1, met.at(b.Address))
	})
}

// A client goes while its request is held, and the list brings a server in that moment: nothing begins for it.
func TestTheClientGoesWhileItsRequestIsHeld(t *testing.T) {
	t.Parallel()
	met := newMet()
	n := testpeer.Start(t, testpeer.Settings())
	ctx, leave := context.WithCancel(t.Context())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		if response, err := http.DefaultClient.Do(n.Chat(ctx, nil)); err == nil {
			response.Body.Close()
		}
	}()
	require.Eventually(t, func() bool { return n.Core.OpenRequests() == 1 }, time.Second, time.Millisecond)
	leave()
	<-gone
	a := testpeer.Endpoint("a", met.server(t, testpeer.StreamAnswer("whole")))
	n.UpdateEndpoints(a) // in the very moment
	n.WaitForCore()
	require.Eventually(t, func() bool { return n.Core.OpenRequests() == 0 }, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond) // for what must not come
	require.Zero(t, met.at(a.Address))
}
