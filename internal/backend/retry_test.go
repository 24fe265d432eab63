package backend_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/testpeer"
)

// A repeat is decided on in time, and its connection comes up when the window in which repeats are dropped is over.
// It is not sent, and the client hears at once what has become of its request.
func TestIdempotencyWindowClosesWhileARetryConnects(t *testing.T) {
	t.Parallel()
	met, held := newAttemptRecorder(), testpeer.HoldDials(2)
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
	require.Equal(t, 1, met.count(a.Address)+met.count(b.Address))
}

// What this node hands back before it ends: that trying again is harmless is said only of what may be tried again.
func TestHandBackPromisesOnlyWhatIsTrue(t *testing.T) {
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
