package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/node"
	"standpoint/internal/testpeer"
)

// The figures are what clients and backends saw: served, refused, failed, cut off, tried again, and a client who
// left; an attempt counts once its last byte is written, long before it ends.
func TestFiguresAgreeWithBothSides(t *testing.T) {
	hold, release := make(chan struct{}), make(chan struct{})
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.Header.Get("X-Trace-Id") {
		case "held":
			close(hold)
			<-release
		case "cut":
			testpeer.Event(w, "half")
			panic(http.ErrAbortHandler)
		case "wrong":
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		testpeer.Event(w, "x")
		testpeer.Finish(w)
	})))
	text := func() string { return string(n.Metrics.Text()) }
	at := func(success, busy, failure, attempts, open int) string {
		return fmt.Sprintf("app.calls.chat.success=%d\napp.calls.chat.busy=%d\napp.calls.chat.failure=%d\napp.backend_calls=%d\napp.inflight=%d\n"+
			"app.hosts_listed=1\napp.hosts_down=0\n", success, busy, failure, attempts, open)
	}
	holds := func(want string) {
		require.Eventually(t, func() bool { return strings.HasPrefix(text(), want) }, 3*time.Second, time.Millisecond, "%s", want)
	}
	holds(at(0, 0, 0, 0, 0))
	named := func(id string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set("X-Trace-Id", id) }
	}
	for range 5 {
		_, _, _, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
	}
	holds(at(5, 0, 0, 5, 0))
	_, _, _, err := n.Do(n.Chat(t.Context(), named("cut")))
	require.Error(t, err)
	status, _, _, _ := n.Do(n.Chat(t.Context(), named("wrong")))
	require.Equal(t, http.StatusBadRequest, status)
	status, _, _, _ = n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "never") }))
	require.Equal(t, http.StatusBadRequest, status)
	holds(at(5, 0, 3, 7, 0))
	ctx, leave := context.WithCancel(t.Context())
	gone := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(n.Chat(ctx, named("held")))
		gone <- err
	}()
	<-hold
	holds(at(5, 0, 3, 8, 1))
	leave()
	require.Error(t, <-gone)
	holds(at(5, 0, 3, 8, 0))
	close(release)
	require.Eventually(t, func() bool { return n.Bodies.Acquire(0, 8<<20) }, 3*time.Second, time.Millisecond, "all room for bodies is taken")
	status, header, _, _ := n.Do(n.Chat(t.Context(), nil))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	holds(at(5, 1, 3, 8, 0))
}

// A server that is drained, and one that fails whatever it gets, are the ones that the module avoids.
func TestServersThatAreAvoidedAreCounted(t *testing.T) {
	good := testpeer.Server(t, func(w http.ResponseWriter, _ *http.Request) {
		testpeer.Event(w, "x")
		testpeer.Finish(w)
	})
	bad := testpeer.Server(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	drained := testpeer.Entry("c", good)
	drained.State = 1
	settings := testpeer.Settings()
	settings.Tenants = append(settings.Tenants, settings.Tenants[0])
	n := testpeer.Start(t, settings, testpeer.Entry("a", good), testpeer.Entry("b", bad), drained, testpeer.Entry("d", testpeer.FreeAddress(t)))
	require.Eventually(t, func() bool {
		_, _, _, _ = n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Object", fmt.Sprintf("%x", time.Now().UnixNano())) }))
		return n.Metrics.Listed() == 4 && n.Metrics.Avoided() == 3
	}, 10*time.Second, time.Millisecond)
}

// idle opens a client connection, has one request answered on it, and keeps it.
func idle(t *testing.T, n *testpeer.Node, id string) (net.Conn, *bufio.Reader) {
	c := n.Dial()
	in := bufio.NewReader(c)
	response := askOn(t, n, c, in, id)
	_, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.False(t, response.Close)
	return c, in
}

func askOn(t *testing.T, n *testpeer.Node, c net.Conn, in *bufio.Reader, id string) *http.Response {
	require.NoError(t, n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Trace-Id", id) }).Write(c))
	response, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	return response
}

// answerOn reads a whole answer.
func answerOn(t *testing.T, c net.Conn, in *bufio.Reader) (status int) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
	response, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.StatusCode
}

// Staff send clients away and call them back: health says no at once, a stream under way runs to its end, a kept
// connection brings one more request and ends with its answer, those that rest or say nothing end, and who comes much
// later is told when to come back. Then all is as before.
func TestDrainedByHand(t *testing.T) {
	release := make(chan struct{})
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		testpeer.Event(w, "x")
		if r.Header.Get("X-Trace-Id") == "stream" {
			<-release
		}
		testpeer.Finish(w)
	})))
	health := func() int {
		response, err := http.Get(n.URL + "/_health")
		require.NoError(t, err)
		response.Body.Close()
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, health())
	stream := n.Dial()
	under := askOn(t, n, stream, bufio.NewReader(stream), "stream")
	_, restsIn := idle(t, n, "rests")
	asks, asksIn := idle(t, n, "asks")
	silent := n.Dial()
	require.NoError(t, n.Life.Enter(node.ManuallyDrained))
	n.Room.SetDraining(true)
	n.Room.SetDraining(true) // the call may be repeated
	began := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, health())
	last := askOn(t, n, asks, asksIn, "last")
	body, err := io.ReadAll(last.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "[DONE]")
	require.True(t, last.Close)
	for _, c := range []io.Reader{restsIn, asksIn, silent} {
		rest, err := io.ReadAll(c)
		require.NoError(t, err, "it ends, and is not reset")
		require.Empty(t, rest)
	}
	require.Less(t, time.Since(began), 2*time.Second)
	require.Eventually(t, func() bool {
		status, header, _, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		require.True(t, status == http.StatusOK || time.Since(began) > 1900*time.Millisecond && header.Get("Retry-After") != "")
		return status == http.StatusServiceUnavailable
	}, 4*time.Second, 20*time.Millisecond)
	close(release)
	whole, err := io.ReadAll(under.Body)
	require.NoError(t, err)
	require.Contains(t, string(whole), "[DONE]")
	// Its answer began before the call and could not say that the connection ends: it ends all the same, and does not rest.
	began = time.Now()
	_, err = io.ReadAll(stream)
	require.NoError(t, err)
	require.Less(t, time.Since(began), 200*time.Millisecond)
	require.NoError(t, n.Life.Enter(node.Serving))
	n.Room.SetDraining(false)
	require.Equal(t, http.StatusOK, health())
	idle(t, n, "again")
	time.Sleep(600 * time.Millisecond) // longer than a connection rests while clients are sent away
	status, _, _, err := n.Do(n.Chat(t.Context(), nil))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}

// A request may come in pieces of any size, with its body in chunks, and is the same request; one that also tells a
// length is not, however its head comes, nor is one whose head came in part behind the request before it.
func TestRequestsInPieces(t *testing.T) {
	bodies := make(chan string, 1)
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- string(body)
		testpeer.Event(w, "x")
		testpeer.Finish(w)
	})))
	head := func(id, more string) string {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + id + "\r\nX-Qos: chat\r\nX-Customer: acme\r\nX-Expires-In: 2000m\r\n" + more + "\r\n"
	}
	const body, chunks = `{"messages":[{"content":"hello"}]}`, "8\r\n{\"messag\r\n1a\r\nes\":[{\"content\":\"hello\"}]}\r\n0\r\n\r\n"
	c := n.Dial()
	in := bufio.NewReader(c)
	write := func(text string, piece int) {
		for i := 0; i < len(text); i += piece {
			_, err := io.WriteString(c, text[i:min(len(text), i+piece)])
			require.NoError(t, err)
		}
	}
	answered := func() int { return answerOn(t, c, in) }
	for i, piece := range []int{1, 7, 1000} {
		write(head(fmt.Sprint("chunks-", i), "Transfer-Encoding: chunked\r\n")+chunks, piece)
		require.Equal(t, http.StatusOK, answered())
		require.Equal(t, body, <-bodies)
		write(head(fmt.Sprint("length-", i), fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body, piece)
		require.Equal(t, http.StatusOK, answered())
		require.Equal(t, body, <-bodies)
	}
	both := head("both", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + chunks
	for piece := range 40 {
		c = n.Dial()
		in = bufio.NewReader(c)
		write(both, piece+1)
		require.Equal(t, http.StatusBadRequest, answered())
	}
	c = n.Dial()
	in = bufio.NewReader(c)
	cut := strings.Index(both, "Transfer")
	write(head("first", fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body+both[:cut], 1000)
	require.Equal(t, http.StatusOK, answered())
	<-bodies
	write(both[cut:], 1000)
	require.Equal(t, http.StatusBadRequest, answered())
	require.Empty(t, bodies)
}

// A client sends its next request as soon as it has the answer, of which the server may learn before it has taken the
// connection to rest. Here the first byte comes even while the answer does; the request is taken as any other.
func TestTheNextRequestComesEarly(t *testing.T) {
	came, release := make(chan struct{}, 9), make(chan struct{})
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, _ *http.Request) {
		came <- struct{}{}
		testpeer.Event(w, "x")
		<-release
		testpeer.Finish(w)
	})))
	request := func(id, how string) string {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + id +
			"\r\nX-Qos: chat\r\nX-Customer: acme\r\nX-Expires-In: 2000m\r\n" + how
	}
	const body = `{"messages":[{"content":"hello"}]}`
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	for i, first := range []string{chunks, length, "GET"} {
		c := n.Dial()
		in := bufio.NewReader(c)
		write := func(text string) {
			_, err := io.WriteString(c, text)
			require.NoError(t, err)
		}
		answered := func() int { return answerOn(t, c, in) }
		next := request(fmt.Sprint("next-", i), chunks)
		if first == "GET" {
			write("GET /_health HTTP/1.1\r\nHost: n\r\n\r\n")
			require.Equal(t, http.StatusOK, answered())
			write(next)
		} else {
			write(request(fmt.Sprint("first-", i), first))
			<-came
			write(next[:1])
			time.Sleep(50 * time.Millisecond) // for the server to read it now; later it proves nothing, and holds all the same
			release <- struct{}{}
			require.Equal(t, http.StatusOK, answered())
			write(next[1:])
		}
		select {
		case <-came:
			release <- struct{}{}
		case <-time.After(2 * time.Second): // it was refused: the answer says how
		}
		require.Equal(t, http.StatusOK, answered())
	}
}
