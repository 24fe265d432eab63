package edge_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
)

// TestRequestsAfterHandBackAreRejected guards against requests that get no response because the process is killed while
// clients still send on open connections: a request that arrives after all have been handed back is rejected at once
// with a Retry-After, even on a reused connection, and is not forwarded.
func TestRequestsAfterHandBackAreRejected(t *testing.T) {
	sent := make(chan string, 10)
	n := startWithBackend(t, func(w http.ResponseWriter, r *http.Request) {
		sent <- r.Header.Get("X-Trace-Id")
		testpeer.WriteEvent(w, "hello")
		testpeer.WriteStreamEnd(w)
	})
	conn := n.Dial()
	reader := bufio.NewReader(conn)
	send := func(id string) *http.Response {
		r := n.Chat(t.Context(), withTraceID(id))
		require.NoError(t, r.Write(conn))
		// The deadline is shorter than the request's timeout of 2 s.
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(1500*time.Millisecond)))
		response, err := http.ReadResponse(reader, r)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		return response
	}
	require.Equal(t, http.StatusOK, send("before").StatusCode)
	n.Core.HandBack(true)
	after := send("after")
	require.Equal(t, http.StatusServiceUnavailable, after.StatusCode)
	require.NotEmpty(t, after.Header.Get("Retry-After"))
	require.Equal(t, "before", <-sent)
	require.Empty(t, sent)
}

// TestCloseIdleKeepsOpenRequests guards against the loss of an open request in CloseIdle, which closes the connections
// without a request, including those on which nothing was sent.
func TestCloseIdleKeepsOpenRequests(t *testing.T) {
	release, received := make(chan struct{}), make(chan struct{})
	n := startWithBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		close(received)
		<-release
		testpeer.WriteEvent(w, "hello")
		testpeer.WriteStreamEnd(w)
	})
	silent, busy := n.Dial(), n.Dial()
	r := n.Chat(t.Context(), nil)
	require.NoError(t, r.Write(busy))
	<-received
	n.Connections.CloseIdle()
	_, err := silent.Read(make([]byte, 1))
	require.Error(t, err)
	var timeout net.Error
	require.NotErrorAs(t, err, &timeout)
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(busy), r)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// TestHandBackOfOpenRequests guards against requests that are lost when the process is killed. The hand-back ends begun
// streams without the last chunk, so that their clients resume them at another node, and rejects waiting requests. If
// clients do not resume, streams continue.
func TestHandBackOfOpenRequests(t *testing.T) {
	for _, resume := range []bool{true, false} {
		settings := testpeer.Settings()
		settings.Resume = resume
		release, received := make(chan struct{}), make(chan struct{}, 2)
		n := testpeer.Start(
			t,
			settings,
			testpeer.Endpoint("s", testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				received <- struct{}{}
				if r.Header.Get("X-Trace-Id") == "waits" {
					<-r.Context().Done()
					return
				}
				testpeer.WriteEvent(w, "begun")
				select {
				case <-release:
					testpeer.WriteStreamEnd(w)
				case <-r.Context().Done():
				}
			})),
		)
		begun, err := http.DefaultClient.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		defer begun.Body.Close()
		go func() {
			<-received
			<-received
			n.Core.HandBack(true)
		}()
		status, header, _, _ := n.Do(n.Chat(t.Context(), withTraceID("waits")))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, header.Get("Retry-After"))
		if !resume {
			close(release)
		}
		start := time.Now()
		body, err := io.ReadAll(begun.Body)
		if resume {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Less(t, time.Since(start), 2*time.Second,
				"ended by the hand-back, not by the limit of 3 s for silent backends")
		} else {
			require.Contains(t, string(body), "[DONE]")
		}
	}
}
