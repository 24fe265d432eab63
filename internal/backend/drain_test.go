package backend_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
	"standpoint/internal/testpeer"
)

// A server is told to leave while the connection of an attempt that was decided on before comes up. Nothing of the
// attempt is sent, and the request goes elsewhere; that the server was chosen in good time is no reason to send
// later.
func TestDrainWhileAConnectionOpens(t *testing.T) {
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
			met, held := newAttemptRecorder(), testpeer.HoldDials(1)
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
				require.Zero(t, met.count(chosen.Address))
				require.Equal(t, 1, met.count(other.Address))
			}
			require.Equal(t, 1, met.count(chosen.Address)+met.count(other.Address))
		})
	}
}

// The only server is told to leave meanwhile: the request is not sent, and is answered, by its time at the latest.
func TestDrainOfTheOnlyBackendWhileAConnectionOpens(t *testing.T) {
	t.Parallel()
	met, held := newAttemptRecorder(), testpeer.HoldDials(1)
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
	require.Zero(t, met.count(a.Address))
}

// A repeat is decided on, and a request that was held while there was no server for it, and the server chosen is told
// to leave while the connection comes up: nothing is sent there, and the request goes on elsewhere.
func TestDrainWhileARetryOrHeldRequestConnects(t *testing.T) {
	t.Parallel()
	t.Run("a repeat", func(t *testing.T) {
		t.Parallel()
		met, held := newAttemptRecorder(), testpeer.HoldDials(2)
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
		require.Zero(t, met.count(second))
		require.Equal(t, 1, met.count(first))
	})
	t.Run("a held request", func(t *testing.T) {
		t.Parallel()
		met, held := newAttemptRecorder(), testpeer.HoldDials(1)
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
		require.Zero(t, met.count(a.Address))
		n.UpdateEndpoints(a, b)
		require.Equal(t, http.StatusOK, <-answered)
		require.Zero(t, met.count(a.Address))
		require.Equal(t, 1, met.count(b.Address))
	})
}
