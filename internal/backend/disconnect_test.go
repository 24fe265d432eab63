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

// A client goes while the connection for its request comes up.
func TestClientDisconnectsWhileAConnectionOpens(t *testing.T) {
	t.Parallel()
	for name, fails := range map[string]int{"first attempt": 0, "second attempt": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			met, held := newAttemptRecorder(), testpeer.HoldDials(2)
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
			require.Equal(t, fails, met.count(a.Address)+met.count(b.Address))
		})
	}
}

// A client goes while its request is held, and the list brings a server in that moment: nothing begins for it.
func TestClientDisconnectsWhileItsRequestIsHeld(t *testing.T) {
	t.Parallel()
	met := newAttemptRecorder()
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
	require.Zero(t, met.count(a.Address))
}
