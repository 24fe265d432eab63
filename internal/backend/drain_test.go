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

// A backend starts draining, is removed or is replaced while the connection of an attempt opens that was decided on
// before. Nothing of the attempt may be sent, and the request must be sent to another backend.
func TestDrainWhileAConnectionOpens(t *testing.T) {
	t.Parallel()
	for name, withdraw := range map[string]func(n *testpeer.Node, chosen, other node.Endpoint){
		"drains": func(n *testpeer.Node, chosen, other node.Endpoint) {
			chosen.State = standpoint.Draining
			n.UpdateEndpoints(chosen, other)
		},
		"drains, by a delta": func(n *testpeer.Node, chosen, _ node.Endpoint) {
			chosen.State = standpoint.Draining
			n.Core.UpdateEndpoints(node.EndpointList{Kind: standpoint.ListDelta, Endpoints: []node.Endpoint{chosen}})
		},
		"is removed": func(n *testpeer.Node, _, other node.Endpoint) { n.UpdateEndpoints(other) },
		"is removed, by a delta": func(n *testpeer.Node, chosen, _ node.Endpoint) {
			chosen.State = standpoint.Removed
			chosen.Address = ""
			n.Core.UpdateEndpoints(node.EndpointList{Kind: standpoint.ListDelta, Endpoints: []node.Endpoint{chosen}})
		},
		"is another process": func(n *testpeer.Node, chosen, other node.Endpoint) {
			chosen.StartedAt = time.Now().Add(-time.Hour).UnixNano()
			n.UpdateEndpoints(chosen, other)
		},
		"drains and is ready again": func(n *testpeer.Node, chosen, other node.Endpoint) {
			chosen.State = standpoint.Draining
			n.UpdateEndpoints(chosen, other)
			chosen.State = standpoint.Ready
			n.UpdateEndpoints(chosen, other)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recorder, dials := newAttemptRecorder(), testpeer.NewDialBlocker(1)
			a, b := testpeer.Endpoint(
				"a",
				recorder.startBackend(t, testpeer.StreamResponse("complete")),
			), testpeer.Endpoint(
				"b",
				recorder.startBackend(t, testpeer.StreamResponse("complete")),
			)
			n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), dials.Dial, a, b)
			response := make(chan int, 1)
			go func() {
				status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
				response <- status
			}()
			chosen, other := a, b
			if <-dials.Connected == b.Address {
				chosen = b
				other = a
			}
			withdraw(n, chosen, other)
			n.WaitForCore()
			dials.Release <- struct{}{}
			require.Equal(t, http.StatusOK, <-response)
			// A backend that is ready again may get the request, by an attempt that is decided on after its return.
			if name != "drains and is ready again" && name != "is another process" {
				require.Zero(t, recorder.count(chosen.Address))
				require.Equal(t, 1, recorder.count(other.Address))
			}
			require.Equal(t, 1, recorder.count(chosen.Address)+recorder.count(other.Address))
		})
	}
}

// The only backend starts draining while the connection opens: the request must not be sent, and the client must get a
// response by its deadline.
func TestDrainOfTheOnlyBackendWhileAConnectionOpens(t *testing.T) {
	t.Parallel()
	recorder, dials := newAttemptRecorder(), testpeer.NewDialBlocker(1)
	a := testpeer.Endpoint("a", recorder.startBackend(t, testpeer.StreamResponse("complete")))
	n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), dials.Dial, a)
	response := make(chan int, 1)
	go func() {
		status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "600m") }))
		response <- status
	}()
	<-dials.Connected
	a.State = standpoint.Draining
	n.UpdateEndpoints(a)
	n.WaitForCore()
	dials.Release <- struct{}{}
	require.Equal(t, http.StatusServiceUnavailable, <-response)
	require.Zero(t, recorder.count(a.Address))
}

// The chosen backend starts draining while the connection opens for a retry, or for a request that was held for lack of
// a backend. Nothing may be sent to it, and the request must be sent to another backend.
func TestDrainWhileARetryOrHeldRequestConnects(t *testing.T) {
	t.Parallel()
	t.Run("a retry", func(t *testing.T) {
		t.Parallel()
		recorder, dials := newAttemptRecorder(), testpeer.NewDialBlocker(2)
		var endpoints []node.Endpoint
		for _, name := range []string{"a", "b", "c"} {
			endpoints = append(endpoints,
				testpeer.Endpoint(name, recorder.startBackend(t, failed500, testpeer.StreamResponse("complete"))))
		}
		n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), dials.Dial, endpoints...)
		response := make(chan int, 1)
		go func() {
			status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
			response <- status
		}()
		first := <-dials.Connected
		dials.Release <- struct{}{}
		second := <-dials.Connected
		require.NotEqual(t, first, second)
		for i := range endpoints {
			if endpoints[i].Address == second {
				endpoints[i].State = standpoint.Draining
			}
		}
		n.UpdateEndpoints(endpoints...)
		n.WaitForCore()
		dials.Release <- struct{}{}
		<-response // of the third attempt, whatever its status
		require.Zero(t, recorder.count(second))
		require.Equal(t, 1, recorder.count(first))
	})
	t.Run("a held request", func(t *testing.T) {
		t.Parallel()
		recorder, dials := newAttemptRecorder(), testpeer.NewDialBlocker(1)
		a, b := testpeer.Endpoint(
			"a",
			recorder.startBackend(t, testpeer.StreamResponse("complete")),
		), testpeer.Endpoint(
			"b",
			recorder.startBackend(t, testpeer.StreamResponse("complete")),
		)
		a.State = standpoint.Draining
		n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), dials.Dial, a)
		response := make(chan int, 1)
		go func() {
			status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
			response <- status
		}()
		require.Eventually(t, func() bool { return n.Core.OpenRequests() == 1 }, time.Second, time.Millisecond)
		a.State = standpoint.Ready
		n.UpdateEndpoints(a)
		require.Equal(t, a.Address, <-dials.Connected)
		a.State = standpoint.Draining
		n.UpdateEndpoints(a)
		n.WaitForCore()
		dials.Release <- struct{}{}
		n.WaitForCore()
		require.Zero(t, recorder.count(a.Address))
		n.UpdateEndpoints(a, b)
		require.Equal(t, http.StatusOK, <-response)
		require.Zero(t, recorder.count(a.Address))
		require.Equal(t, 1, recorder.count(b.Address))
	})
}
