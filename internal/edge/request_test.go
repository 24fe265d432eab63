package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
)

// TestMalformedRequestsAreRejected guards against malformed requests that reach a backend: each gets a response that
// names the fault.
func TestMalformedRequestsAreRejected(t *testing.T) {
	var sent atomic.Int32
	n := startWithBackend(t, func(http.ResponseWriter, *http.Request) { sent.Add(1) })
	for _, test := range []struct {
		name    string
		edit    func(*http.Request)
		status  int
		message string
	}{
		{"no id", withHeader("X-Trace-Id", ""), 400, "X-Trace-Id"},
		{"class", withHeader("X-Qos", "gold"), 400, "X-Qos"},
		{"tenant", withHeader("X-Customer", "nobody"), 400, "X-Customer"},
		{"session", withHeader("X-Object", "zz"), 400, "X-Object"},
		{"no deadline", withHeader("X-Expires-In", ""), 400, "X-Expires-In"},
		{"deadline without unit", withHeader("X-Expires-In", "4800"), 400, "X-Expires-In"},
		{"negative deadline", withHeader("X-Expires-In", "-1m"), 400, "X-Expires-In"},
		{"props", withHeader("X-Props", "prompt_len=many"), 400, "prompt_len"},
		{"id of impossible form", withHeader("X-Trace-Id", "a b"), 400, "X-Trace-Id"},
		{"two ids", func(r *http.Request) { r.Header.Add("X-Trace-Id", "other") }, 400, "X-Trace-Id"},
		{"endless wait", withHeader("X-Expires-In", "3600001m"), 400, "X-Expires-In"},
		{"no number", withHeader("X-Props", "prompt_len=NaN"), 400, "prompt_len"},
		{"infinite", withHeader("X-Props", "max_out=Inf"), 400, "max_out"},
		{"negative", withHeader("X-Props", "prefix_len=-5"), 400, "prefix_len"},
		{"longer than a body", withHeader("X-Props", "prompt_len=65537"), 400, "prompt_len"},
		{"no messages", withBody("{}"), 400, "body"},
		{"no JSON", withBody("hello"), 400, "body"},
		{"too large", withBody(strings.Repeat(" ", 256<<10+1)), 413, "256 KiB"},
		{"path", func(r *http.Request) { r.URL.Path = "/v1/other" }, 404, ""},
		{"method", func(r *http.Request) { r.Method = http.MethodPut }, 405, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, _, body, _ := n.Do(n.Chat(t.Context(), test.edit))
			require.Equal(t, test.status, status)
			require.Contains(t, body, test.message)
		})
	}
	require.Zero(t, sent.Load())
}

// TestDuplicateRequestIDIsRejected guards against a request with the ID of an open or just closed one, since it would
// be taken for a hedged copy of that one.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	release := make(chan struct{})
	var sent atomic.Int32
	n := startWithBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		sent.Add(1)
		testpeer.WriteEvent(w, "begun")
		<-release
		testpeer.WriteStreamEnd(w)
	})
	same := withTraceID("same")
	first, err := http.DefaultClient.Do(n.Chat(t.Context(), same))
	require.NoError(t, err)
	defer first.Body.Close()
	status, _, _, _ := n.Do(n.Chat(t.Context(), same))
	require.Equal(t, http.StatusConflict, status)
	close(release)
	_, err = io.ReadAll(first.Body)
	require.NoError(t, err)
	status, _, _, _ = n.Do(n.Chat(t.Context(), same))
	require.Equal(t, http.StatusConflict, status)
	require.EqualValues(t, 1, sent.Load())
}

// TestIncompleteAndSmuggledRequestsReachNoBackend guards against clients that occupy a connection with an incomplete
// request, and against a request that is smuggled in the body of one with two statements of its length. Each gets an
// error response or a close within 3 s, and no backend gets a request.
func TestIncompleteAndSmuggledRequestsReachNoBackend(t *testing.T) {
	var sent atomic.Int32
	n := startWithBackend(t, func(http.ResponseWriter, *http.Request) { sent.Add(1) })
	var hidden strings.Builder
	require.NoError(t, n.Chat(t.Context(), nil).Write(&hidden))
	head := rawHead("a")
	for name, text := range map[string]string{
		"silence":         "",
		"noise":           "\x00\x01\x02",
		"half a head":     head,
		"half a body":     head + "Content-Length: 100\r\n\r\n{",
		"negative length": head + "Content-Length: -1\r\n\r\n{}",
		"two lengths":     head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
		"length and chunks": head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"0\r\n\r\n" + hidden.String(),
		"chunks and length":  head + "transfer-encoding:chunked\r\ncontent-length : 5\r\n\r\n0\r\n\r\n",
		"empty chunked body": head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"broken chunks":      head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n",
		"chunks without end": head + "Transfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("8000\r\n"+strings.Repeat(" ", 0x8000)+"\r\n", 10),
		"endless head": head + strings.Repeat("X-More: and more\r\n", 4000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := n.Dial()
			_, _ = conn.Write([]byte(text)) // fails if the node has closed the connection already
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
			response, err := io.ReadAll(conn)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			if len(response) > 0 {
				require.Regexp(t, "^HTTP/1.1 4", string(response))
				require.Equal(t, 1, strings.Count(string(response), "HTTP/1.1"))
			}
		})
	}
	t.Cleanup(func() { require.Zero(t, sent.Load()) })
}

// TestRequestBodyBytesAreBounded guards against unbounded memory for the bodies of waiting requests: beyond the limit,
// a request is rejected at once with a Retry-After. Bodies that are announced but not sent use no capacity.
func TestRequestBodyBytesAreBounded(t *testing.T) {
	received := make(chan struct{}, 3)
	n := startWithBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		received <- struct{}{}
		<-r.Context().Done()
	})
	n.Bodies.SetCapacity(500<<10, 1)
	body := `{"messages":["` + strings.Repeat("x", 200<<10) + `"]}`
	large := func(ctx context.Context) *http.Request {
		return n.Chat(ctx, withBody(body))
	}
	for range 10 {
		_, err := n.Dial().Write([]byte(rawHead("a") + "Content-Length: 200000\r\n\r\n{"))
		require.NoError(t, err)
	}
	ctx, disconnect := context.WithCancel(t.Context())
	for range 2 {
		go func() {
			if response, err := http.DefaultClient.Do(large(ctx)); err == nil {
				response.Body.Close()
			}
		}()
		<-received
	}
	status, header, _, _ := n.Do(large(t.Context()))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	disconnect()
	require.Eventually(t, func() bool { return n.Bodies.InUse() == 0 }, 5*time.Second, time.Millisecond)
}

// TestRequestInPiecesIsDecoded guards against a head parser that depends on how a request is split into reads. Requests
// with a length or in chunks are served. A request with both is rejected, however its head is split, and even if the
// start of its head was read together with the request before it.
func TestRequestInPiecesIsDecoded(t *testing.T) {
	bodies := make(chan string, 1)
	n := startWithBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- string(body)
		testpeer.WriteEvent(w, "x")
		testpeer.WriteStreamEnd(w)
	})
	head := func(id, more string) string { return rawHead(id) + more + "\r\n" }
	const (
		body   = `{"messages":[{"content":"hello"}]}`
		chunks = "8\r\n{\"messag\r\n1a\r\nes\":[{\"content\":\"hello\"}]}\r\n0\r\n\r\n"
	)
	conn := n.Dial()
	reader := bufio.NewReader(conn)
	write := func(text string, piece int) {
		for i := 0; i < len(text); i += piece {
			_, err := io.WriteString(conn, text[i:min(len(text), i+piece)])
			require.NoError(t, err)
		}
	}
	responseStatus := func() int { return readStatus(t, conn, reader) }
	for i, piece := range []int{1, 7, 1000} {
		write(head(fmt.Sprint("chunks-", i), "Transfer-Encoding: chunked\r\n")+chunks, piece)
		require.Equal(t, http.StatusOK, responseStatus())
		require.Equal(t, body, <-bodies)
		write(head(fmt.Sprint("length-", i), fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body, piece)
		require.Equal(t, http.StatusOK, responseStatus())
		require.Equal(t, body, <-bodies)
	}
	both := head("both", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + chunks
	for piece := range 40 {
		conn = n.Dial()
		reader = bufio.NewReader(conn)
		write(both, piece+1)
		require.Equal(t, http.StatusBadRequest, responseStatus())
	}
	conn = n.Dial()
	reader = bufio.NewReader(conn)
	cut := strings.Index(both, "Transfer")
	write(head("first", fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body+both[:cut], 1000)
	require.Equal(t, http.StatusOK, responseStatus())
	<-bodies
	write(both[cut:], 1000)
	require.Equal(t, http.StatusBadRequest, responseStatus())
	require.Empty(t, bodies)
}

// TestNextRequestBeforeConnectionIsIdle guards against the rejection of a request that a client sends as soon as it has
// the response to the one before, so that the server may read it before it marks the connection idle. Here the first
// byte arrives even before the end of that response. The request is served as any other.
func TestNextRequestBeforeConnectionIsIdle(t *testing.T) {
	received, release := make(chan struct{}, 9), make(chan struct{})
	n := startWithBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		received <- struct{}{}
		testpeer.WriteEvent(w, "x")
		<-release
		testpeer.WriteStreamEnd(w)
	})
	const body = `{"messages":[{"content":"hello"}]}`
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	for i, first := range []string{chunks, length, "GET"} {
		conn := n.Dial()
		reader := bufio.NewReader(conn)
		write := func(text string) {
			_, err := io.WriteString(conn, text)
			require.NoError(t, err)
		}
		responseStatus := func() int { return readStatus(t, conn, reader) }
		next := rawHead(fmt.Sprint("next-", i)) + chunks
		if first == "GET" {
			write("GET /_health HTTP/1.1\r\nHost: n\r\n\r\n")
			require.Equal(t, http.StatusOK, responseStatus())
			write(next)
		} else {
			write(rawHead(fmt.Sprint("first-", i)) + first)
			<-received
			write(next[:1])
			time.Sleep(50 * time.Millisecond) // time for the server to read the byte; if it does not, nothing is tested
			release <- struct{}{}
			require.Equal(t, http.StatusOK, responseStatus())
			write(next[1:])
		}
		select {
		case <-received:
			release <- struct{}{}
		case <-time.After(2 * time.Second): // the request was rejected; its response says why
		}
		require.Equal(t, http.StatusOK, responseStatus())
	}
}
