package backend_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/testpeer"
)

// A client disconnects while the connection for its request opens: the request must not be sent.
func TestClientDisconnectsWhileAConnectionOpens(t *testing.T) {
	t.Parallel()
	for name, failures := range map[string]int{"first attempt": 0, "second attempt": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recorder, dials := newAttemptRecorder(), testpeer.NewDialBlocker(2)
			a, b := testpeer.Endpoint("a", recorder.startBackend(t, failed500)),
				testpeer.Endpoint("b", recorder.startBackend(t, failed500))
			n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), dials.Dial, a, b)
			ctx, disconnect := context.WithCancel(t.Context())
			disconnected := make(chan struct{})
			go func() {
				defer close(disconnected)
				response, err := http.DefaultClient.Do(n.Chat(ctx, nil))
				if err == nil {
					response.Body.Close()
				}
			}()
			for range failures {
				<-dials.Connected
				dials.Release <- struct{}{}
			}
			<-dials.Connected
			disconnect()
			<-disconnected
			require.Eventually(t, func() bool { return n.Core.OpenRequests() == 0 }, 2*time.Second, time.Millisecond)
			dials.Release <- struct{}{}
			n.WaitForCore()
			time.Sleep(20 * time.Millisecond) // time for a request to arrive, which must not happen
			require.Equal(t, failures, recorder.count(a.Address)+recorder.count(b.Address))
		})
	}
}

// A client disconnects while its request is held for lack of a backend, just before an endpoint list names one: no
// attempt may begin.
func TestClientDisconnectsWhileItsRequestIsHeld(t *testing.T) {
	t.Parallel()
	recorder := newAttemptRecorder()
	n := testpeer.Start(t, testpeer.Settings())
	ctx, disconnect := context.WithCancel(t.Context())
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		if response, err := http.DefaultClient.Do(n.Chat(ctx, nil)); err == nil {
			response.Body.Close()
		}
	}()
	require.Eventually(t, func() bool { return n.Core.OpenRequests() == 1 }, time.Second, time.Millisecond)
	disconnect()
	<-disconnected
	a := testpeer.Endpoint("a", recorder.startBackend(t, testpeer.StreamResponse("complete")))
	n.UpdateEndpoints(a) // while the disconnect is being handled
	n.WaitForCore()
	require.Eventually(t, func() bool { return n.Core.OpenRequests() == 0 }, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond) // time for a request to arrive, which must not happen
	require.Zero(t, recorder.count(a.Address))
}
