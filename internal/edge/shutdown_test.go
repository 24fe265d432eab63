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

// TestRequestsAfterHandBackAreRejected guards clients that go on sending on every open connection up to the kill: a
// request that comes once all have been handed back is rejected at once, on a reused connection too, with a
// Retry-After, and is not forwarded.
func TestRequestsAfterHandBackAreRejected(t *testing.T) {
	sent := make(chan string, 10)
	n := startWithBackend(t, func(w http.ResponseWriter, r *http.Request) {
		sent <- r.Header.Get("X-Trace-Id")
		testpeer.Event(w, "hello")
		testpeer.Finish(w)
	})
	conn := n.Dial()
	reader := bufio.NewReader(conn)
	send := func(id string) *http.Response {
		r := n.Chat(t.Context(), withTraceID(id))
		require.NoError(t, r.Write(conn))
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(1500*time.Millisecond))) // the request itself has 2 s
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

// TestCloseIdleKeepsOpenRequests closes the connections without a request, silent ones too; one with a request gets its
// answer.
func TestCloseIdleKeepsOpenRequests(t *testing.T) {
	release, received := make(chan struct{}), make(chan struct{})
	n := startWithBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		close(received)
		<-release
		testpeer.Event(w, "hello")
		testpeer.Finish(w)
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

// TestHandBackOfOpenRequests ends begun streams without the last chunk before the kill, so that their clients resume
// elsewhere, and rejects what still waits; where clients do not resume, streams run on.
func TestHandBackOfOpenRequests(t *testing.T) {
	for _, resume := range []bool{true, false} {
		settings := testpeer.Settings()
		settings.Resume = resume
		release, received := make(chan struct{}), make(chan struct{}, 2)
		n := testpeer.Start(
			t,
			settings,
			testpeer.Endpoint("s", testpeer.Backend(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				received <- struct{}{}
				if r.Header.Get("X-Trace-Id") == "waits" {
					<-r.Context().Done()
					return
				}
				testpeer.Event(w, "begun")
				select {
				case <-release:
					testpeer.Finish(w)
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
			require.Less(t, time.Since(start), 2*time.Second, "handed back, not found silent after 3 s")
		} else {
			require.Contains(t, string(body), "[DONE]")
		}
	}
}
