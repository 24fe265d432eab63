package edge_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"standpoint"
	"standpoint/internal/testpeer"
)

// TestResetsAreNotRetriedByTransport guards against retries made by the HTTP transport: each backend that resets the
// connection gets the request once, even on a reused connection, and there are at most three attempts, all made by the
// decision module.
func TestResetsAreNotRetriedByTransport(t *testing.T) {
	var good atomic.Bool
	good.Store(true)
	var sent [4]atomic.Int32
	server := func(i int) string {
		return testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			sent[i].Add(1)
			if !good.Load() {
				panic(http.ErrAbortHandler)
			}
			testpeer.WriteEvent(w, "x")
			testpeer.WriteStreamEnd(w)
		})
	}
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("a", server(0)), testpeer.Endpoint("b", server(1)),
		testpeer.Endpoint("c", server(2)), testpeer.Endpoint("d", server(3)))
	status, _, _, _ := n.Do(n.Chat(t.Context(), nil)) // leaves an idle connection
	require.Equal(t, http.StatusOK, status)
	good.Store(false)
	var before, after int32
	for i := range sent {
		before += sent[i].Swap(0)
	}
	require.EqualValues(t, 1, before)
	status, _, _, _ = n.Do(n.Chat(t.Context(), nil))
	require.Equal(t, http.StatusServiceUnavailable, status)
	for i := range sent {
		require.LessOrEqual(t, sent[i].Load(), int32(1))
		after += sent[i].Load()
	}
	require.LessOrEqual(t, after, int32(3))
}

// TestRejectedAttemptIsRetried guards against giving up on a request that a backend has rejected with the header
// X-Never-Ran, which states that nothing ran: it is retried.
func TestRejectedAttemptIsRetried(t *testing.T) {
	var sent atomic.Int32
	n := startWithBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		if sent.Add(1) == 1 {
			w.Header().Set("X-Never-Ran", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		testpeer.WriteEvent(w, "here")
		testpeer.WriteStreamEnd(w)
	})
	status, _, body, err := n.Do(n.Chat(t.Context(), nil))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "here")
	require.EqualValues(t, 2, sent.Load())
}

// TestAnswerBeforeClientTimeout guards against a silent backend that leaves the client without a response: the client
// gets one, with a Retry-After, before its timeout.
func TestAnswerBeforeClientTimeout(t *testing.T) {
	n := startWithBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a close only after the body
		<-r.Context().Done()
	})
	start := time.Now()
	status, header, _, _ := n.Do(n.Chat(t.Context(), withHeader("X-Expires-In", "300000u")))
	require.Less(t, time.Since(start), 350*time.Millisecond,
		"the client's timeout of 300 ms and the protocol's tolerance of 50 ms")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
}

// TestDrainingBackendGetsNoRequests guards against requests to a backend that is listed as draining.
func TestDrainingBackendGetsNoRequests(t *testing.T) {
	var drained atomic.Int32
	a := testpeer.Endpoint("a", testpeer.StartBackend(t, func(_ http.ResponseWriter, _ *http.Request) { drained.Add(1) }))
	b := testpeer.Endpoint("b", testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		testpeer.WriteEvent(w, "b")
		testpeer.WriteStreamEnd(w)
	}))
	n := testpeer.Start(t, testpeer.Settings(), a, b)
	a.State = standpoint.Draining
	n.UpdateEndpoints(a, b)
	for range 20 {
		status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
		require.Equal(t, http.StatusOK, status)
	}
	require.Zero(t, drained.Load())
}

// TestRefusedConnectionIsRetried guards against a failed request because listed backends do not listen: nothing ran, so
// the others are tried at once.
func TestRefusedConnectionIsRetried(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := listener.Addr().String()
	listener.Close()
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("a", dead), testpeer.Endpoint("b", dead),
		testpeer.Endpoint("c", testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			testpeer.WriteEvent(w, "c")
			testpeer.WriteStreamEnd(w)
		})))
	status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
	require.Equal(t, http.StatusOK, status)
}

// TestInvalidRequestIsNotRetried guards against retries of a request that a backend has rejected as invalid, and
// against avoiding backends for it. The client gets the backend's status.
func TestInvalidRequestIsNotRetried(t *testing.T) {
	var rejected, served atomic.Int32
	server := func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		if strings.Contains(string(raw), "poison") {
			rejected.Add(1)
			w.WriteHeader(http.StatusUnprocessableEntity)
			return
		}
		served.Add(1)
		testpeer.WriteEvent(w, "x")
		testpeer.WriteStreamEnd(w)
	}
	logCore, logs := observer.New(zap.InfoLevel)
	n := testpeer.StartLogged(t, zap.New(logCore), testpeer.Settings(),
		testpeer.Endpoint("a", testpeer.StartBackend(t, server)), testpeer.Endpoint("b", testpeer.StartBackend(t, server)))
	const poison = `{"messages":["poison"]}`
	for range 10 {
		status, _, body, _ := n.Do(n.Chat(t.Context(), withBody(poison)))
		require.Equal(t, http.StatusUnprocessableEntity, status)
		require.Contains(t, body, "request itself")
	}
	require.EqualValues(t, 10, rejected.Load(), "one attempt each")
	for range 10 {
		status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
		require.Equal(t, http.StatusOK, status)
	}
	require.EqualValues(t, 10, served.Load())
	require.Len(t, logs.FilterMessage("attempt failed").All(), 0)
}
