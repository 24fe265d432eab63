package edge_test

import (
	"bufio"
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

	"standpoint/internal/testpeer"
)

// TestEventsAreForwardedAsTheyArrive guards against buffered events: the backend sends the second event only once the
// client has got the first.
func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	firstRead := make(chan struct{})
	var header atomic.Value
	n := startWithBackend(t, func(w http.ResponseWriter, r *http.Request) {
		header.Store(r.Header.Clone())
		testpeer.WriteEvent(w, "first")
		<-firstRead
		testpeer.WriteStreamEnd(w)
	})
	response, err := http.DefaultClient.Do(n.Chat(t.Context(), nil))
	require.NoError(t, err)
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	first, err := lines.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, first, "first")
	close(firstRead)
	rest, err := io.ReadAll(lines)
	require.NoError(t, err)
	require.Contains(t, string(rest), "[DONE]")
	sent := header.Load().(http.Header)
	require.Equal(t, "9b1f03aa5c7e2d41", sent.Get("X-Trace-Id"))
	require.Regexp(t, `^1[0-9]{3}m$`, sent.Get("X-Expires-In"), "the rest of the client's timeout of 2 s")
}

// TestBrokenStreamEndsWithoutLastChunk guards against a second attempt after the first event, and against ending a
// broken stream as if it were complete.
func TestBrokenStreamEndsWithoutLastChunk(t *testing.T) {
	var sent atomic.Int32
	breaks := func(w http.ResponseWriter, _ *http.Request) {
		sent.Add(1)
		testpeer.WriteEvent(w, "half")
		panic(http.ErrAbortHandler)
	}
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("a", testpeer.StartBackend(t, breaks)),
		testpeer.Endpoint("b", testpeer.StartBackend(t, breaks)))
	status, _, body, err := n.Do(n.Chat(t.Context(), nil))
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "half")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.EqualValues(t, 1, sent.Load())
}

// TestRejectionOnReusedConnection guards against a write deadline that stays set after its response: a rejection that
// is written on a reused connection after that deadline still reaches the client. Only net/http resets the deadline.
func TestRejectionOnReusedConnection(t *testing.T) {
	t.Parallel()
	n := startWithBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Header.Get("X-Trace-Id") == "silent" {
			<-r.Context().Done()
			return
		}
		testpeer.WriteEvent(w, "x")
		testpeer.WriteStreamEnd(w)
	})
	conn := n.Dial()
	reader := bufio.NewReader(conn)
	require.Equal(t, http.StatusOK, requestOver(t, n, conn, reader, "first", "2000m"))
	require.Equal(t, http.StatusServiceUnavailable, requestOver(t, n, conn, reader, "silent", "4300m"))
}

// requestOver sends a request on a connection, reads the complete response and returns its status.
func requestOver(t *testing.T, n *testpeer.Node, conn net.Conn, reader *bufio.Reader, id, timeout string) int {
	t.Helper()
	r := n.Chat(t.Context(), func(r *http.Request) {
		r.Header.Set("X-Trace-Id", id)
		r.Header.Set("X-Expires-In", timeout)
	})
	require.NoError(t, r.Write(conn))
	response, err := http.ReadResponse(reader, r)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.StatusCode
}

// largeStreamBackend starts a backend that streams more than fits into all buffers on the way. It sends the error that
// ended the stream to ended; nil if the stream is complete.
func largeStreamBackend(t *testing.T, ended chan<- error) string {
	t.Helper()
	event := strings.Repeat("x", 48<<10)
	return testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for range 300 {
			testpeer.WriteEvent(w, event)
			if r.Context().Err() != nil {
				break
			}
		}
		testpeer.WriteStreamEnd(w)
		ended <- r.Context().Err()
	})
}

// TestPausingClientGetsCompleteAnswer guards against a client's pause that is mistaken for a silent backend: a client
// that stops reading for a while gets its complete response.
func TestPausingClientGetsCompleteAnswer(t *testing.T) {
	t.Parallel()
	logCore, logs := observer.New(zap.InfoLevel)
	n := testpeer.StartLogged(t, zap.New(logCore), testpeer.Settings(),
		testpeer.Endpoint("s", largeStreamBackend(t, make(chan error, 1))))
	response, err := http.DefaultClient.Do(n.Chat(t.Context(), nil))
	require.NoError(t, err)
	defer response.Body.Close()
	time.Sleep(3300 * time.Millisecond) // the client's pause: longer than a backend may be silent
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body[len(body)-100:]), "Endpoint-Load-Metrics")
	require.Empty(t, logs.FilterMessage("attempt failed").All())
}

// TestSlowClientIsCutOffInTotal guards against a client that occupies a backend without limit by reading each event
// late, but within the write timeout: the timeout applies to the total.
func TestSlowClientIsCutOffInTotal(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", largeStreamBackend(t, ended)))
	conn := n.Dial()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(16<<10))
	require.NoError(t, n.Chat(t.Context(), nil).Write(conn))
	go func() {
		piece := make([]byte, 128<<10)
		for {
			if _, err := io.ReadFull(conn, piece); err != nil {
				return
			}
			time.Sleep(300 * time.Millisecond) // the client's delay before each read
		}
	}()
	select {
	case err := <-ended:
		require.Error(t, err, "the stream must be interrupted")
	case <-time.After(12 * time.Second):
		t.Fatal("the backend is still occupied")
	}
}
