package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"standpoint"

	"github.com/stretchr/testify/require"

	"standpoint/internal/metrics"
	"standpoint/internal/testpeer"
)

// TestMetricsAgreeWithClientsAndBackends guards against metrics that differ from what clients and backends observe:
// requests that are served, rejected, failed, interrupted or retried, and one whose client disconnects. An attempt
// counts once its last byte has been written, long before it ends.
func TestMetricsAgreeWithClientsAndBackends(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	n := startWithBackend(t, scriptedBackend(received, release))
	counts := func(success, busy, failure, attempts, open int) string {
		return fmt.Sprintf("app.calls.chat.success=%d\napp.calls.chat.busy=%d\napp.calls.chat.failure=%d\n"+
			"app.backend_calls=%d\napp.inflight=%d\n"+
			"app.hosts_listed=1\napp.hosts_down=0\n", success, busy, failure, attempts, open)
	}
	requireMetrics := func(want string) {
		hasWanted := func() bool { return strings.HasPrefix(string(n.Metrics.Text()), want) }
		require.Eventually(t, hasWanted, 3*time.Second, time.Millisecond, "%s", want)
	}
	requireMetrics(counts(0, 0, 0, 0, 0))
	for range 5 {
		_, _, _, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
	}
	requireMetrics(counts(5, 0, 0, 5, 0))
	_, _, _, err := n.Do(n.Chat(t.Context(), withTraceID("cut")))
	require.Error(t, err)
	status, _, _, _ := n.Do(n.Chat(t.Context(), withTraceID("wrong")))
	require.Equal(t, http.StatusBadRequest, status)
	status, _, _, _ = n.Do(n.Chat(t.Context(), withHeader("X-Expires-In", "never")))
	require.Equal(t, http.StatusBadRequest, status)
	requireMetrics(counts(5, 0, 3, 7, 0))
	ctx, disconnect := context.WithCancel(t.Context())
	disconnected := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(n.Chat(ctx, withTraceID("held")))
		disconnected <- err
	}()
	<-received
	requireMetrics(counts(5, 0, 3, 8, 1))
	disconnect()
	require.Error(t, <-disconnected)
	requireMetrics(counts(5, 0, 3, 8, 0))
	close(release)
	acquireAll := func() bool { return n.Bodies.Acquire(0, 8<<20) }
	require.Eventually(t, acquireAll, 3*time.Second, time.Millisecond, "body capacity still in use")
	status, header, _, _ := n.Do(n.Chat(t.Context(), nil))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	requireMetrics(counts(5, 1, 3, 8, 0))
}

// scriptedBackend responds according to the trace ID: "held" closes received and waits for release, "cut" is
// interrupted, "wrong" is rejected as invalid, and any other is served.
func scriptedBackend(received chan<- struct{}, release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.Header.Get("X-Trace-Id") {
		case "held":
			close(received)
			<-release
		case "cut":
			testpeer.WriteEvent(w, "half")
			panic(http.ErrAbortHandler)
		case "wrong":
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		testpeer.WriteEvent(w, "x")
		testpeer.WriteStreamEnd(w)
	}
}

// TestAvoidedBackendsAreCounted guards against a wrong count of avoided backends: of four listed, the decision module
// avoids one that drains, one that fails all requests and one that does not listen.
func TestAvoidedBackendsAreCounted(t *testing.T) {
	good := testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		testpeer.WriteEvent(w, "x")
		testpeer.WriteStreamEnd(w)
	})
	bad := testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	})
	drained := testpeer.Endpoint("c", good)
	drained.State = standpoint.Draining
	settings := testpeer.Settings()
	settings.Tenants = append(settings.Tenants, settings.Tenants[0])
	n := testpeer.Start(t, settings, testpeer.Endpoint("a", good), testpeer.Endpoint("b", bad), drained,
		testpeer.Endpoint("d", testpeer.FreeAddress(t)))
	require.Eventually(t, func() bool {
		session := fmt.Sprintf("%x", time.Now().UnixNano())
		_, _, _, _ = n.Do(n.Chat(t.Context(), withHeader("X-Object", session)))
		return n.Metrics.Listed() == 4 && n.Metrics.Avoided() == 3
	}, 10*time.Second, time.Millisecond)
}

// TestSilentClosesAreCountedByCause guards against wrong counts of connections that are closed without a response: each
// is counted by its cause, and one that its client closes is not counted.
func TestSilentClosesAreCountedByCause(t *testing.T) {
	n := testpeer.Start(t, testpeer.Settings())
	count := func(cause metrics.SilentCloseCause) func() bool {
		return func() bool { return n.Metrics.SilentCloseCount(cause) >= 1 }
	}
	closedByClient := n.Dial()
	require.NoError(t, closedByClient.Close())
	incomplete := n.Dial()
	_, err := incomplete.Write([]byte("GET /_health HTTP/1.1\r\nHost:"))
	require.NoError(t, err)
	require.Eventually(t, count(metrics.SlowHeader), 10*time.Second, time.Millisecond)
	n.Connections.Resize(1)
	n.Dial()
	n.Dial()
	require.Eventually(t, count(metrics.NoCapacity), 3*time.Second, time.Millisecond, "%s", n.Metrics.Text())
	n.Connections.Resize(300)
	silent := n.Dial()
	health, err := http.Get(n.URL + "/_health")
	require.NoError(t, err)
	health.Body.Close()
	n.Connections.CloseIdle()
	_, err = silent.Read(make([]byte, 1))
	require.Error(t, err)
	require.Eventually(t, count(metrics.Stopping), 10*time.Second, time.Millisecond)
	require.Zero(t, n.Metrics.SilentCloseCount(metrics.Unreadable))
	require.Contains(t, string(n.Metrics.Text()), "app.closed_unheard.slow_head=1\n")
}
