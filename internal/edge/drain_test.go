package edge_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/node"
	"standpoint/internal/testpeer"
)

// cancelledContext returns a cancelled context, with which Drain closes idle connections once and does not wait.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// idleClosers are the ways in which a node closes idle connections.
var idleClosers = map[string]func(n *testpeer.Node){
	"shutdown":        func(n *testpeer.Node) { _ = n.Connections.Drain(cancelledContext()) },
	"before the kill": func(n *testpeer.Node) { n.Connections.CloseIdle() },
	"connection limit": func(n *testpeer.Node) {
		n.Connections.Resize(1)
		n.Dial()
	},
	"manual drain": func(n *testpeer.Node) {
		n.Connections.SetDraining(true)
		time.Sleep(600 * time.Millisecond) // longer than drainIdleTime
	},
}

// TestRequestReadAsConnectionCloses guards against the loss of a request on an idle connection that the node closes
// just when its bytes have been read from the socket but not yet passed to the server. The request must get a response.
func TestRequestReadAsConnectionCloses(t *testing.T) {
	t.Parallel()
	for name, closeIdle := range idleClosers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reads := testpeer.NewReadBlocker()
			n := testpeer.StartWrapped(
				t,
				reads.Conn,
				nil,
				testpeer.Settings(),
				testpeer.Endpoint("s", testpeer.StartBackend(t, respondAlways)),
			)
			conn := n.Dial()
			reader := bufio.NewReader(conn)
			_, err := conn.Write(rawRequest(t, n, 10, nil))
			require.NoError(t, err)
			status, _ := readResponse(t, conn, reader)
			require.Equal(t, http.StatusOK, status)
			time.Sleep(2100 * time.Millisecond) // until the connection may be evicted; the tracker has no test clock
			reads.BlockNext()
			_, err = conn.Write(rawRequest(t, n, 20<<10, nil))
			require.NoError(t, err)
			<-reads.Received
			closeIdle(n)
			reads.Release <- struct{}{}
			status, _ = readResponse(t, conn, reader)
			require.Equal(t, http.StatusOK, status)
		})
	}
}

// TestHalfReadRequestAsConnectionsClose guards against the loss of a request of which half has been received when the
// node closes idle connections: the other half is read, and the request gets a response.
func TestHalfReadRequestAsConnectionsClose(t *testing.T) {
	t.Parallel()
	for name, closeIdle := range idleClosers {
		if name == "before the kill" { // CloseIdle allows only closeIdleGrace for the rest
			continue
		}
		for part, cut := range map[string]int{"within its head": 30, "within its body": 5000} {
			t.Run(name+", "+part, func(t *testing.T) {
				t.Parallel()
				reads := testpeer.NewReadBlocker()
				n := testpeer.StartWrapped(
					t,
					reads.Conn,
					nil,
					testpeer.Settings(),
					testpeer.Endpoint("s", testpeer.StartBackend(t, respondAlways)),
				)
				conn := n.Dial()
				request := rawRequest(t, n, 20<<10, nil)
				reads.BlockNext()
				_, err := conn.Write(request[:cut])
				require.NoError(t, err)
				<-reads.Received
				reads.Release <- struct{}{}
				closeIdle(n)
				_, err = conn.Write(request[cut:])
				require.NoError(t, err)
				status, _ := readResponse(t, conn, bufio.NewReader(conn))
				require.Equal(t, http.StatusOK, status)
			})
		}
	}
}

// TestFirstRequestAfterListenerClosed guards against the loss of the first request on a connection that was accepted
// before the node stopped listening: the request gets a response, and Drain ends.
func TestFirstRequestAfterListenerClosed(t *testing.T) {
	t.Parallel()
	reads := testpeer.NewReadBlocker()
	n := testpeer.StartWrapped(
		t,
		reads.Conn,
		nil,
		testpeer.Settings(),
		testpeer.Endpoint("s", testpeer.StartBackend(t, respondAlways)),
	)
	conn := n.Dial()
	<-reads.Accepted
	require.NoError(t, n.Lifecycle.Enter(node.Draining))
	drained := make(chan error, 1)
	go func() { drained <- n.Connections.Drain(t.Context()) }()
	require.Eventually(t, func() bool {
		late, err := net.Dial("tcp", n.Address)
		if err == nil {
			late.Close()
		}
		return err != nil
	}, 3*time.Second, time.Millisecond)
	_, err := conn.Write(rawRequest(t, n, 20<<10, nil))
	require.NoError(t, err)
	status, body := readResponse(t, conn, bufio.NewReader(conn))
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "[DONE]")
	require.NoError(t, <-drained, "connections are left")
}

// TestAnswerUnderWayClosesItsConnection guards against a connection that stays open after a response that began before
// the shutdown, without a "Connection: close" header: it closes with the response. A client that sends its next request
// at once either gets a response or finds a closed connection on which nothing of the request was read.
func TestAnswerUnderWayClosesItsConnection(t *testing.T) {
	t.Parallel()
	begun, release := make(chan struct{}), make(chan struct{})
	n := startWithBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		testpeer.WriteEvent(w, "begun")
		begun <- struct{}{}
		<-release
		testpeer.WriteStreamEnd(w)
	})
	conn := n.Dial()
	_, err := conn.Write(rawRequest(t, n, 10, nil))
	require.NoError(t, err)
	<-begun
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.False(t, response.Close)
	drained := make(chan error, 1)
	go func() { drained <- n.Connections.Drain(t.Context()) }()
	close(release)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "[DONE]")
	require.NoError(t, <-drained)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// openIdleConnection opens a client connection on which one request has been served.
func openIdleConnection(t *testing.T, n *testpeer.Node, id string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn := n.Dial()
	reader := bufio.NewReader(conn)
	response := sendOn(t, n, conn, reader, id)
	_, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.False(t, response.Close)
	return conn, reader
}

// healthStatus returns the HTTP status of the health check.
func healthStatus(t *testing.T, n *testpeer.Node) int {
	t.Helper()
	response, err := http.Get(n.URL + "/_health")
	require.NoError(t, err)
	response.Body.Close()
	return response.StatusCode
}

// TestManualDrain drains a node manually and undoes it. During the drain the health check fails at once, an open stream
// continues to its end, an idle connection serves one more request and closes with the response, idle and silent
// connections close, and requests that arrive much later are rejected with a Retry-After. After the drain all of this
// is undone.
func TestManualDrain(t *testing.T) {
	release := make(chan struct{})
	n := startWithBackend(t, func(w http.ResponseWriter, r *http.Request) {
		testpeer.WriteEvent(w, "x")
		if r.Header.Get("X-Trace-Id") == "stream" {
			<-release
		}
		testpeer.WriteStreamEnd(w)
	})
	health := func() int { return healthStatus(t, n) }
	require.Equal(t, http.StatusOK, health())
	stream := n.Dial()
	streaming := sendOn(t, n, stream, bufio.NewReader(stream), "stream")
	_, idleReader := openIdleConnection(t, n, "idle")
	reused, reusedReader := openIdleConnection(t, n, "reused")
	silent := n.Dial()
	require.NoError(t, n.Lifecycle.Enter(node.ManuallyDrained))
	n.Connections.SetDraining(true)
	n.Connections.SetDraining(true) // a repeated call has no effect
	began := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, health())
	last := sendOn(t, n, reused, reusedReader, "last")
	lastBody, err := io.ReadAll(last.Body)
	require.NoError(t, err)
	require.Contains(t, string(lastBody), "[DONE]")
	require.True(t, last.Close)
	for _, conn := range []io.Reader{idleReader, reusedReader, silent} {
		rest, err := io.ReadAll(conn)
		require.NoError(t, err, "the connection must be closed, not reset")
		require.Empty(t, rest)
	}
	require.Less(t, time.Since(began), 2*time.Second)
	require.Eventually(t, func() bool {
		status, header, _, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		rejected := time.Since(began) > 1900*time.Millisecond && header.Get("Retry-After") != ""
		require.True(t, status == http.StatusOK || rejected)
		return status == http.StatusServiceUnavailable
	}, 4*time.Second, 20*time.Millisecond)
	close(release)
	streamBody, err := io.ReadAll(streaming.Body)
	require.NoError(t, err)
	require.Contains(t, string(streamBody), "[DONE]")
	// The response began before the drain, without a "Connection: close" header. The connection closes all the same,
	// and without an idle time.
	began = time.Now()
	_, err = io.ReadAll(stream)
	require.NoError(t, err)
	require.Less(t, time.Since(began), 200*time.Millisecond)
	require.NoError(t, n.Lifecycle.Enter(node.Serving))
	n.Connections.SetDraining(false)
	require.Equal(t, http.StatusOK, health())
	openIdleConnection(t, n, "again")
	time.Sleep(600 * time.Millisecond) // longer than drainIdleTime
	status, _, _, err := n.Do(n.Chat(t.Context(), nil))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}
