package edge_test

import (
	"bufio"
	"bytes"
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

// startHolding starts a node whose backend holds its responses back until release is closed. received gets a value for
// each of the given number of requests.
func startHolding(t *testing.T, requests int) (n *testpeer.Node, received, release chan struct{}) {
	t.Helper()
	received = make(chan struct{}, requests)
	release = make(chan struct{})
	n = startWithBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		received <- struct{}{}
		<-release
		respondAlways(w, r)
	})
	return n, received, release
}

// TestPipelinedRequestsAreAnsweredInTurn guards against the loss of pipelined requests, which are sent before the
// responses to the earlier ones: requests of various sizes, sent in pieces, get their responses in order, also while
// the node shuts down.
func TestPipelinedRequestsAreAnsweredInTurn(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		sizes  []int
		ending bool
	}{
		"small":           {sizes: []int{10, 10, 10}},
		"medium":          {sizes: []int{10, 20 << 10, 30 << 10, 10}},
		"large":           {sizes: []int{10, 200 << 10, 200 << 10, 10}},
		"during shutdown": {sizes: []int{10, 20 << 10, 20 << 10}, ending: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, received, release := startHolding(t, len(test.sizes))
			conn := n.Dial()
			reader := bufio.NewReader(conn)
			_, err := conn.Write(rawRequest(t, n, test.sizes[0], nil))
			require.NoError(t, err)
			<-received
			sent := make(chan error, 1)
			go func() {
				var all []byte
				for _, size := range test.sizes[1:] {
					all = append(all, rawRequest(t, n, size, nil)...)
				}
				for i := 0; i < len(all); i += 7000 {
					if _, err := conn.Write(all[i:min(len(all), i+7000)]); err != nil {
						sent <- err
						return
					}
				}
				sent <- nil
			}()
			drained := make(chan error, 1)
			if test.ending {
				require.NoError(t, <-sent)
				pipelined := func() bool { return n.Connections.Pipelined() == 1 }
				require.Eventually(t, pipelined, time.Second, time.Millisecond)
				require.NoError(t, n.Lifecycle.Enter(node.Draining))
				go func() { drained <- n.Connections.Drain(t.Context()) }()
			}
			close(release)
			for range test.sizes {
				status, _ := readResponse(t, conn, reader)
				require.Equal(t, http.StatusOK, status)
			}
			if test.ending {
				require.NoError(t, <-drained)
			} else {
				require.NoError(t, <-sent)
			}
		})
	}
}

// TestAnswerBeforeCloseOverUnreadBytes guards against a truncated response to a slow client: a close with unread bytes
// resets the connection, and drops what the client has not read yet.
func TestAnswerBeforeCloseOverUnreadBytes(t *testing.T) {
	t.Parallel()
	const events = 150
	n := startWithBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for range events {
			testpeer.WriteEvent(w, strings.Repeat("y", 10<<10))
		}
		testpeer.WriteStreamEnd(w)
	})
	conn := n.Dial().(*net.TCPConn)
	_, err := conn.Write(rawRequest(t, n, 10, func(r *http.Request) { r.Close = true }))
	require.NoError(t, err)
	_, err = conn.Write(bytes.Repeat([]byte("z"), 300<<10)) // more than is read ahead
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // the client reads late
	status, body := readResponse(t, conn, bufio.NewReader(conn))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, events, strings.Count(body, "yyy\""))
	require.Contains(t, body, "[DONE]")
}

// TestPipelinedRequestInPartIsAnswered guards against a pipelined request that is answered 408, or not at all, because
// only a part of it has been read when its connection is asked to close: it is read completely and gets its response.
func TestPipelinedRequestInPartIsAnswered(t *testing.T) {
	t.Parallel()
	for name, part := range map[string]int{
		"one byte":           1,
		"three bytes":        3,
		"a part of the head": 60,
		"a part of the body": 9 << 10,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, received, release := startHolding(t, 2)
			conn := n.Dial()
			reader := bufio.NewReader(conn)
			_, err := conn.Write(rawRequest(t, n, 10, nil))
			require.NoError(t, err)
			<-received
			next := rawRequest(t, n, 20<<10, nil)
			_, err = conn.Write(next[:part])
			require.NoError(t, err)
			require.Eventually(t, func() bool { return n.Connections.Pipelined() == 1 }, time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond) // until all of it has been read
			require.NoError(t, n.Lifecycle.Enter(node.Draining))
			drained := make(chan error, 1)
			go func() { drained <- n.Connections.Drain(t.Context()) }()
			time.Sleep(30 * time.Millisecond) // until connections close after their responses
			close(release)
			status, _ := readResponse(t, conn, reader)
			require.Equal(t, http.StatusOK, status)
			time.Sleep(30 * time.Millisecond) // until the connection would have been closed
			_, err = conn.Write(next[part:])
			require.NoError(t, err)
			status, _ = readResponse(t, conn, reader)
			require.Equal(t, http.StatusOK, status)
			require.NoError(t, <-drained)
		})
	}
}

// TestPipelinedRequestAfterTheCloseWasDecided guards against a pipelined request that is closed without a response: it
// arrives after the response to the request before it was to close the connection, and before that response begins.
func TestPipelinedRequestAfterTheCloseWasDecided(t *testing.T) {
	t.Parallel()
	n, received, release := startHolding(t, 2)
	require.NoError(t, n.Lifecycle.Enter(node.Draining))
	conn := n.Dial()
	reader := bufio.NewReader(conn)
	_, err := conn.Write(rawRequest(t, n, 10, nil))
	require.NoError(t, err)
	<-received
	_, err = conn.Write(rawRequest(t, n, 10, nil))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond) // until it has arrived
	close(release)
	for range 2 {
		status, _ := readResponse(t, conn, reader)
		require.Equal(t, http.StatusOK, status)
	}
}

// TestEmptyLineBehindARequest guards against a connection that a drain waits for because its client sends an empty line
// behind a body, which some clients do: it does not begin a request, and the connection is closed at once.
func TestEmptyLineBehindARequest(t *testing.T) {
	t.Parallel()
	n, received, release := startHolding(t, 1)
	conn := n.Dial()
	reader := bufio.NewReader(conn)
	_, err := conn.Write(rawRequest(t, n, 10, nil))
	require.NoError(t, err)
	<-received
	_, err = conn.Write([]byte("\r\n"))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond) // until it has been read
	require.NoError(t, n.Lifecycle.Enter(node.Draining))
	drained := make(chan error, 1)
	go func() { drained <- n.Connections.Drain(t.Context()) }()
	close(release)
	status, _ := readResponse(t, conn, reader)
	require.Equal(t, http.StatusOK, status)
	select {
	case err := <-drained:
		require.NoError(t, err)
	case <-time.After(2 * time.Second):
		t.Fatal("the drain still waits 2 s after the response")
	}
}
