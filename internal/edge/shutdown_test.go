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

// Clients go on sending on every connection that stays open, up to the kill. What comes once all has been handed back is
// rejected at once, on a kept connection too, and says when to come back; nothing of it is sent on.
func TestRequestsAfterAllIsHandedBack(t *testing.T) {
	sent := make(chan string, 10)
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		sent <- r.Header.Get("X-Trace-Id")
		testpeer.Event(w, "hello")
		testpeer.Finish(w)
	})))
	c := n.Dial()
	in := bufio.NewReader(c)
	ask := func(id string) *http.Response {
		r := n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Trace-Id", id) })
		require.NoError(t, r.Write(c))
		require.NoError(t, c.SetReadDeadline(time.Now().Add(1500*time.Millisecond))) // the request itself has 2 s
		response, err := http.ReadResponse(in, r)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		return response
	}
	require.Equal(t, http.StatusOK, ask("before").StatusCode)
	n.Core.HandBack(true)
	after := ask("after")
	require.Equal(t, http.StatusServiceUnavailable, after.StatusCode)
	require.NotEmpty(t, after.Header.Get("Retry-After"))
	require.Equal(t, "before", <-sent)
	require.Empty(t, sent)
}

// Before the kill the connections without a request are closed, silent ones too; one with a request keeps its answer.
func TestClearedBeforeTheKill(t *testing.T) {
	release, came := make(chan struct{}), make(chan struct{})
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, _ *http.Request) {
		close(came)
		<-release
		testpeer.Event(w, "hello")
		testpeer.Finish(w)
	})))
	silent, busy := n.Dial(), n.Dial()
	r := n.Chat(t.Context(), nil)
	require.NoError(t, r.Write(busy))
	<-came
	n.Room.CloseIdle()
	_, err := silent.Read(make([]byte, 1))
	require.Error(t, err)
	var late net.Error
	require.NotErrorAs(t, err, &late)
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(busy), r)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}
