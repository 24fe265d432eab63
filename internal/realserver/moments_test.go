package realserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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
	address = testpeer.RawServer(t, func(c net.Conn) {
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

// A server is told to leave while the connection of an attempt that was decided on before comes up. Nothing of the attempt is sent,
// and the request goes elsewhere; that the server was chosen in good time is no reason to send later.
func TestToldToLeaveWhileAConnectionComesUp(t *testing.T) {
	t.Parallel()
	for name, tell := range map[string]func(n *testpeer.Node, chosen, other node.ServiceEntry){
		"drains": func(n *testpeer.Node, chosen, other node.ServiceEntry) {
			chosen.State = standpoint.Draining
			n.Tell(chosen, other)
		},
		"drains, by a change": func(n *testpeer.Node, chosen, _ node.ServiceEntry) {
			chosen.State = standpoint.Draining
			n.Core.News(node.List{Kind: standpoint.ListDelta, Entries: []node.ServiceEntry{chosen}})
		},
		"is gone": func(n *testpeer.Node, _, other node.ServiceEntry) { n.Tell(other) },
		"is gone, by a change": func(n *testpeer.Node, chosen, _ node.ServiceEntry) {
			chosen.State, chosen.Address = standpoint.Gone, ""
			n.Core.News(node.List{Kind: standpoint.ListDelta, Entries: []node.ServiceEntry{chosen}})
		},
		"is another process by now": func(n *testpeer.Node, chosen, other node.ServiceEntry) {
			chosen.ReadyAt = time.Now().Add(-time.Hour).UnixNano()
			n.Tell(chosen, other)
		},
		"drains and comes back": func(n *testpeer.Node, chosen, other node.ServiceEntry) {
			chosen.State = standpoint.Draining
			n.Tell(chosen, other)
			chosen.State = standpoint.Ready
			n.Tell(chosen, other)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			met, held := newMet(), testpeer.HoldDials(1)
			a, b := testpeer.Entry("a", met.server(t, testpeer.Answer("whole"))), testpeer.Entry("b", met.server(t, testpeer.Answer("whole")))
			n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), held.Dial, a, b)
			answered := make(chan int, 1)
			go func() {
				status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
				answered <- status
			}()
			chosen, other := a, b
			if <-held.Up == b.Address {
				chosen, other = b, a
			}
			tell(n, chosen, other)
			n.Heard()
			held.Go <- struct{}{}
			require.Equal(t, http.StatusOK, <-answered)
			// What comes to one that is back was decided on behind its return; what was on its way is not counted among it.
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
	a := testpeer.Entry("a", met.server(t, testpeer.Answer("whole")))
	n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), held.Dial, a)
	answered := make(chan int, 1)
	go func() {
		status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "600m") }))
		answered <- status
	}()
	<-held.Up
	a.State = standpoint.Draining
	n.Tell(a)
	n.Heard()
	held.Go <- struct{}{}
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
			a, b := testpeer.Entry("a", met.server(t, failed500)), testpeer.Entry("b", met.server(t, failed500))
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
				<-held.Up
				held.Go <- struct{}{}
			}
			<-held.Up
			leave()
			<-gone
			require.Eventually(t, func() bool { return n.Core.Open() == 0 }, 2*time.Second, time.Millisecond)
			held.Go <- struct{}{}
			n.Heard()
			time.Sleep(20 * time.Millisecond) // for what must not come
			require.Equal(t, fails, met.at(a.Address)+met.at(b.Address))
		})
	}
}

// A repeat is decided on in time, and its connection comes up when the window in which repeats are dropped is over. It is not sent,
// and the client hears at once what has become of its request.
func TestTheWindowClosesWhileARepeatIsOnItsWay(t *testing.T) {
	t.Parallel()
	met, held := newMet(), testpeer.HoldDials(2)
	a, b := testpeer.Entry("a", met.server(t, failed500)), testpeer.Entry("b", met.server(t, failed500))
	settings := testpeer.Settings()
	window := 300 * time.Millisecond
	c := &settings.Classes[0]
	c.Effect, c.Group, c.Window = standpoint.Keyed, standpoint.GroupZone, int64(window)
	n := testpeer.StartDialing(t, zap.NewNop(), settings, held.Dial, a, b)
	answered := make(chan int, 1)
	began := time.Now()
	go func() {
		status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "9000m") }))
		answered <- status
	}()
	<-held.Up
	held.Go <- struct{}{}
	<-held.Up
	time.Sleep(time.Until(began.Add(window + 50*time.Millisecond))) // the window is the clock's own
	held.Go <- struct{}{}
	require.Equal(t, http.StatusBadGateway, <-answered, "an attempt has run: that trying again is harmless would not be true")
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
			settings.Classes[0].Effect, settings.Classes[0].Group, settings.Classes[0].Window = c.effect, c.group, int64(time.Second)
			n := testpeer.Start(t, settings, testpeer.Entry("s", testpeer.Server(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(came)
				<-r.Context().Done()
			})))
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

// Events are passed on one by one, as they come: the server writes each only once the client has the one before. One that comes in
// halves waits for its second half, and for nothing else.
func TestEachEventIsPassedOnAsItComes(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]string{"LF": "\n", "CR LF": "\r\n"} {
		for _, halves := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", in halves ", halves), func(t *testing.T) {
				t.Parallel()
				next := make(chan struct{}, 1)
				event := func(i int) string { return fmt.Sprintf("data: {\"choices\":[{\"index\":%d}]}%s%s", i, end, end) }
				const events = 20
				n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.RawServer(t, func(c net.Conn) {
					_, _ = io.WriteString(c, testpeer.OpenAnswer)
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
				})))
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

// Connections to servers that rest never take the descriptors that clients, discovery and other servers need: of more than are
// provided for, those that rest are closed, whichever servers they lead to.
func TestRestingLinksMakeRoom(t *testing.T) {
	t.Parallel()
	const most, atOnce = 12, 6
	var entries []node.ServiceEntry
	for i := range 40 {
		entries = append(entries, testpeer.Entry(fmt.Sprint("s", i), newMet().server(t, testpeer.Answer("whole"))))
	}
	n := testpeer.Start(t, testpeer.Settings(), entries...)
	n.Servers.Adjust(100*time.Millisecond, 15*time.Second, 10, most)
	peak := 0
	for round := range 30 {
		var all sync.WaitGroup
		for i := range atOnce {
			all.Go(func() {
				status, _, _, err := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Object", fmt.Sprintf("%x", 1+round*atOnce+i)) }))
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
			})
		}
		all.Wait()
		peak = max(peak, n.Servers.Links())
		require.LessOrEqual(t, n.Servers.Links(), most+2*atOnce)
	}
	require.Greater(t, peak, most/2, "they are kept while there are few")
}
