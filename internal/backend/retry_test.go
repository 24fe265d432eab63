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

// A retry is decided on in time, but its connection opens only after the idempotency window, within which backends drop
// duplicates, has closed. The retry must not be sent, and the client must get a response at once.
func TestIdempotencyWindowClosesWhileARetryConnects(t *testing.T) {
	t.Parallel()
	recorder, dials := newAttemptRecorder(), testpeer.NewDialBlocker(2)
	a, b := testpeer.Endpoint("a", recorder.startBackend(t, failed500)),
		testpeer.Endpoint("b", recorder.startBackend(t, failed500))
	settings := testpeer.Settings()
	window := 300 * time.Millisecond
	class := &settings.Classes[0]
	class.Effect = standpoint.Keyed
	class.DedupScope = standpoint.GroupZone
	class.DedupWindow = int64(window)
	n := testpeer.StartDialing(t, zap.NewNop(), settings, dials.Dial, a, b)
	response := make(chan int, 1)
	started := time.Now()
	go func() {
		status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "9000m") }))
		response <- status
	}()
	<-dials.Connected
	dials.Release <- struct{}{}
	<-dials.Connected
	time.Sleep(time.Until(started.Add(window + 50*time.Millisecond))) // the idempotency window runs in real time
	dials.Release <- struct{}{}
	require.Equal(
		t,
		http.StatusBadGateway,
		<-response,
		"an attempt has run, so the response must not say that a retry is harmless",
	)
	require.Less(t, time.Since(started), 2*time.Second)
	require.Equal(t, 1, recorder.count(a.Address)+recorder.count(b.Address))
}

// A node hands its open requests back before it ends. Its response may say that a retry is harmless only if the
// request's class allows one.
func TestHandBackPromisesOnlyWhatIsTrue(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
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
			received := make(chan struct{})
			settings := testpeer.Settings()
			settings.Classes[0].Effect = test.effect
			settings.Classes[0].DedupScope = test.group
			settings.Classes[0].DedupWindow = int64(time.Second)
			n := testpeer.Start(
				t,
				settings,
				testpeer.Endpoint("s", testpeer.StartBackend(t, func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					close(received)
					<-r.Context().Done()
				})),
			)
			go func() {
				<-received
				n.Core.HandBack(true)
			}()
			status, header, _, err := n.Do(n.Chat(t.Context(), nil))
			require.NoError(t, err)
			require.Equal(t, test.status, status)
			require.Equal(t, test.status == http.StatusServiceUnavailable, header.Get("Retry-After") != "")
		})
	}
}
