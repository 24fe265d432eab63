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

// TestEventsAreForwardedAsTheyArrive guards against events that wait in a buffer: the second is sent only once the
// client has the first.
func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	firstRead := make(chan struct{})
	var header atomic.Value
	n := startWithBackend(t, func(w http.ResponseWriter, r *http.Request) {
		header.Store(r.Header.Clone())
		testpeer.Event(w, "first")
		<-firstRead
		testpeer.Finish(w)
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
	require.Regexp(t, `^1[0-9]{3}m$`, sent.Get("X-Expires-In"), "what is left of the client's 2 s")
}

// TestBrokenStreamEndsWithoutLastChunk guards against a second attempt after the first event, and against ending a
// broken stream as if it were complete.
func TestBrokenStreamEndsWithoutLastChunk(t *testing.T) {
	var sent atomic.Int32
	breaks := func(w http.ResponseWriter, _ *http.Request) {
		sent.Add(1)
		testpeer.Event(w, "half")
		panic(http.ErrAbortHandler)
	}
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("a", testpeer.Backend(t, breaks)),
		testpeer.Endpoint("b", testpeer.Backend(t, breaks)))
	status, _, body, err := n.Do(n.Chat(t.Context(), nil))
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "half")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.EqualValues(t, 1, sent.Load())
}

// TestRejectionOnReusedConnection guards against a write deadline that outlives its answer: a rejection that comes
// later than that on a reused connection is written all the same. net/http sees to that; nothing else here does.
func TestRejectionOnReusedConnection(t *testing.T) {
	t.Parallel()
	n := startWithBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Header.Get("X-Trace-Id") == "silent" {
			<-r.Context().Done()
			return
		}
		testpeer.Event(w, "x")
		testpeer.Finish(w)
	})
	conn := n.Dial()
	reader := bufio.NewReader(conn)
	require.Equal(t, http.StatusOK, requestOver(t, n, conn, reader, "first", "2000m"))
	require.Equal(t, http.StatusServiceUnavailable, requestOver(t, n, conn, reader, "silent", "4300m"))
}

// requestOver sends a request on a connection and reads its complete answer, of which it returns the status.
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

// largeStreamBackend starts a backend that streams more than all buffers on the way hold, and sends why it ended: nil
// if its stream is complete.
func largeStreamBackend(t *testing.T, ended chan<- error) string {
	t.Helper()
	event := strings.Repeat("x", 48<<10)
	return testpeer.Backend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for range 300 {
			testpeer.Event(w, event)
			if r.Context().Err() != nil {
				break
			}
		}
		testpeer.Finish(w)
		ended <- r.Context().Err()
	})
}

// TestPausingClientGetsCompleteAnswer has a client stop reading for a while: it gets its complete answer, and the
// backend is not taken for a silent one.
func TestPausingClientGetsCompleteAnswer(t *testing.T) {
	t.Parallel()
	logCore, logs := observer.New(zap.InfoLevel)
	n := testpeer.StartLogged(t, zap.New(logCore), testpeer.Settings(),
		testpeer.Endpoint("s", largeStreamBackend(t, make(chan error, 1))))
	response, err := http.DefaultClient.Do(n.Chat(t.Context(), nil))
	require.NoError(t, err)
	defer response.Body.Close()
	time.Sleep(3300 * time.Millisecond) // longer than a backend may be silent; the client's own pause is what is tested
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body[len(body)-100:]), "Endpoint-Load-Metrics")
	require.Empty(t, logs.FilterMessage("attempt failed").All())
}

// TestSlowClientIsCutOffInTotal has a client take each event late, but just in time: it occupies the backend for a
// bounded time in all.
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
			time.Sleep(300 * time.Millisecond) // the habit that is tested
		}
	}()
	select {
	case err := <-ended:
		require.Error(t, err, "its stream was ended")
	case <-time.After(12 * time.Second):
		t.Fatal("the backend is still occupied")
	}
}
