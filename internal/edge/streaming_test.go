package edge_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
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

// Guards against events that wait in a buffer: the second event is sent only once the client has the first.
func TestEventsPassOnAsTheyCome(t *testing.T) {
	seen := make(chan struct{})
	var header atomic.Value
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		header.Store(r.Header.Clone())
		testpeer.Event(w, "first")
		<-seen
		testpeer.Finish(w)
	})))
	response, err := http.DefaultClient.Do(n.Chat(t.Context(), nil))
	require.NoError(t, err)
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	first, err := lines.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, first, "first")
	close(seen)
	rest, err := io.ReadAll(lines)
	require.NoError(t, err)
	require.Contains(t, string(rest), "[DONE]")
	sent := header.Load().(http.Header)
	require.Equal(t, "9b1f03aa5c7e2d41", sent.Get("X-Trace-Id"))
	require.Regexp(t, `^1[0-9]{3}m$`, sent.Get("X-Expires-In"), "what is left of the client's 2 s")
}

// Guards against a second attempt after the first event, and against ending a broken stream as if it were
// whole.
func TestBrokenStreamEndsWithoutLastChunk(t *testing.T) {
	var sent atomic.Int32
	breaks := func(w http.ResponseWriter, _ *http.Request) {
		sent.Add(1)
		testpeer.Event(w, "half")
		panic(http.ErrAbortHandler)
	}
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("a", testpeer.Server(t, breaks)),
		testpeer.Entry("b", testpeer.Server(t, breaks)))
	status, _, body, err := n.Do(n.Chat(t.Context(), nil))
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "half")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.EqualValues(t, 1, sent.Load())
}

// Guards against silent resends by the transport: each server that resets sees the request once, on a kept
// connection too, and the module's own further attempts stay within three.
func TestResetsAreNotResentSilently(t *testing.T) {
	var good atomic.Bool
	good.Store(true)
	var sent [4]atomic.Int32
	server := func(i int) string {
		return testpeer.Server(t, func(w http.ResponseWriter, _ *http.Request) {
			sent[i].Add(1)
			if !good.Load() {
				panic(http.ErrAbortHandler)
			}
			testpeer.Event(w, "x")
			testpeer.Finish(w)
		})
	}
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("a", server(0)), testpeer.Entry("b", server(1)),
		testpeer.Entry("c", server(2)), testpeer.Entry("d", server(3)))
	status, _, _, _ := n.Do(n.Chat(t.Context(), nil)) // leaves a connection to keep
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

// A turn-down proves that nothing ran: the request is sent again.
func TestTurnDownIsSentAgain(t *testing.T) {
	var sent atomic.Int32
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("a", testpeer.Server(t, func(w http.ResponseWriter, _ *http.Request) {
		if sent.Add(1) == 1 {
			w.Header().Set("X-Never-Ran", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		testpeer.Event(w, "here")
		testpeer.Finish(w)
	})))
	status, _, body, err := n.Do(n.Chat(t.Context(), nil))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "here")
	require.EqualValues(t, 2, sent.Load())
}

// A silent server must not cost the client its answer: it comes before the client gives up, and says when to
// come back.
func TestAnswerBeforeTheClientGivesUp(t *testing.T) {
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // only then does the server notice a close
		<-r.Context().Done()
	})))
	began := time.Now()
	status, header, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "300000u") }))
	require.Less(t, time.Since(began), 350*time.Millisecond, "the client's 300 ms and the protocol's slack of 50 ms")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
}

// A client that leaves takes its attempt with it.
func TestClientLeaves(t *testing.T) {
	came, gone := make(chan struct{}), make(chan struct{})
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(came)
		<-r.Context().Done()
		close(gone)
	})))
	ctx, leave := context.WithCancel(t.Context())
	go func() { <-came; leave() }()
	_, err := http.DefaultClient.Do(n.Chat(ctx, nil))
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Fatal("the attempt is still out")
	}
	require.Eventually(t, func() bool { return n.Core.OpenRequests() == 0 }, time.Second, time.Millisecond)
}

// Nothing new goes to a server once its drain was told.
func TestDrainedServerGetsNothing(t *testing.T) {
	var drained atomic.Int32
	a := testpeer.Entry("a", testpeer.Server(t, func(_ http.ResponseWriter, _ *http.Request) { drained.Add(1) }))
	b := testpeer.Entry("b", testpeer.Server(t, func(w http.ResponseWriter, _ *http.Request) {
		testpeer.Event(w, "b")
		testpeer.Finish(w)
	}))
	n := testpeer.Start(t, testpeer.Settings(), a, b)
	a.State = standpoint.Draining
	n.Tell(a, b)
	for range 20 {
		status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
		require.Equal(t, http.StatusOK, status)
	}
	require.Zero(t, drained.Load())
}

// A malformed request gets a prompt answer that names the fault, and no server ever sees it.
func TestMalformedRequests(t *testing.T) {
	var sent atomic.Int32
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(http.ResponseWriter, *http.Request) { sent.Add(1) })))
	set := func(header, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(header, value) }
	}
	body := func(s string) func(*http.Request) {
		return func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader(s)), int64(len(s)) }
	}
	for _, c := range []struct {
		name   string
		edit   func(*http.Request)
		status int
		says   string
	}{
		{"no id", set("X-Trace-Id", ""), 400, "X-Trace-Id"},
		{"class", set("X-Qos", "gold"), 400, "X-Qos"},
		{"tenant", set("X-Customer", "nobody"), 400, "X-Customer"},
		{"session", set("X-Object", "zz"), 400, "X-Object"},
		{"no deadline", set("X-Expires-In", ""), 400, "X-Expires-In"},
		{"deadline without unit", set("X-Expires-In", "4800"), 400, "X-Expires-In"},
		{"negative deadline", set("X-Expires-In", "-1m"), 400, "X-Expires-In"},
		{"props", set("X-Props", "prompt_len=many"), 400, "prompt_len"},
		{"id of impossible form", set("X-Trace-Id", "a b"), 400, "X-Trace-Id"},
		{"two ids", func(r *http.Request) { r.Header.Add("X-Trace-Id", "other") }, 400, "X-Trace-Id"},
		{"endless wait", set("X-Expires-In", "3600001m"), 400, "X-Expires-In"},
		{"no number", set("X-Props", "prompt_len=NaN"), 400, "prompt_len"},
		{"infinite", set("X-Props", "max_out=Inf"), 400, "max_out"},
		{"negative", set("X-Props", "prefix_len=-5"), 400, "prefix_len"},
		{"longer than a body", set("X-Props", "prompt_len=65537"), 400, "prompt_len"},
		{"no messages", body("{}"), 400, "body"},
		{"no JSON", body("hello"), 400, "body"},
		{"too large", body(strings.Repeat(" ", 256<<10+1)), 413, "256 KiB"},
		{"path", func(r *http.Request) { r.URL.Path = "/v1/other" }, 404, ""},
		{"method", func(r *http.Request) { r.Method = http.MethodPut }, 405, ""},
	} {
		status, _, said, _ := n.Do(n.Chat(t.Context(), c.edit))
		require.Equal(t, c.status, status, c.name)
		require.Contains(t, said, c.says, c.name)
	}
	require.Zero(t, sent.Load())
}

// A server that is not there is told from one that broke off: nothing ran, and others are tried at once.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := l.Addr().String()
	l.Close()
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("a", dead), testpeer.Entry("b", dead),
		testpeer.Entry("c", testpeer.Server(t, func(w http.ResponseWriter, _ *http.Request) {
			testpeer.Event(w, "c")
			testpeer.Finish(w)
		})))
	status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
	require.Equal(t, http.StatusOK, status)
}

// Guards against a request that carries another's id, open or just over: it would be a second copy.
func TestIdOfAnotherRequest(t *testing.T) {
	release := make(chan struct{})
	var sent atomic.Int32
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, _ *http.Request) {
		sent.Add(1)
		testpeer.Event(w, "begun")
		<-release
		testpeer.Finish(w)
	})))
	same := func(r *http.Request) { r.Header.Set("X-Trace-Id", "same") }
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

// Guards against clients that hold a place with what is no whole request, and against a request hidden in the body
// of one that states its length twice: each gets an error or a close within 3 s, and no server sees anything.
func TestHalfAndHiddenRequests(t *testing.T) {
	var sent atomic.Int32
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(http.ResponseWriter, *http.Request) { sent.Add(1) })))
	var hidden strings.Builder
	require.NoError(t, n.Chat(t.Context(), nil).Write(&hidden))
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nX-Trace-Id: a\r\nX-Qos: chat\r\nX-Customer: acme\r\nX-Expires-In: 2000m\r\n"
	for name, text := range map[string]string{
		"silence":         "",
		"noise":           "\x00\x01\x02",
		"half a head":     head,
		"half a body":     head + "Content-Length: 100\r\n\r\n{",
		"negative length": head + "Content-Length: -1\r\n\r\n{}",
		"two lengths":     head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
		"length and chunks": head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"0\r\n\r\n" + hidden.String(),
		"chunks and length":       head + "transfer-encoding:chunked\r\ncontent-length : 5\r\n\r\n0\r\n\r\n",
		"chunks that say nothing": head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"broken chunks":           head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n",
		"chunks without end": head + "Transfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("8000\r\n"+strings.Repeat(" ", 0x8000)+"\r\n", 10),
		"endless head": head + strings.Repeat("X-More: and more\r\n", 4000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := n.Dial()
			_, _ = c.Write([]byte(text)) // the node may have closed before the end
			require.NoError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
			answer, err := io.ReadAll(c)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			if len(answer) > 0 {
				require.Regexp(t, "^HTTP/1.1 4", string(answer))
				require.Equal(t, 1, strings.Count(string(answer), "HTTP/1.1"))
			}
		})
	}
	t.Cleanup(func() { require.Zero(t, sent.Load()) })
}

// Before a node is killed, begun streams are handed back without the last chunk, so that their clients go on
// elsewhere, and what still waits is rejected; where clients do not ask for the rest, streams run on.
func TestHandBack(t *testing.T) {
	for _, resume := range []bool{true, false} {
		settings := testpeer.Settings()
		settings.Resume = resume
		release, came := make(chan struct{}), make(chan struct{}, 2)
		n := testpeer.Start(t, settings, testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			came <- struct{}{}
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
		})))
		begun, err := http.DefaultClient.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		defer begun.Body.Close()
		go func() { <-came; <-came; n.Core.HandBack(true) }()
		status, header, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Trace-Id", "waits") }))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, header.Get("Retry-After"))
		if !resume {
			close(release)
		}
		from := time.Now()
		body, err := io.ReadAll(begun.Body)
		if resume {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Less(t, time.Since(from), 2*time.Second, "handed back, not found silent after 3 s")
		} else {
			require.Contains(t, string(body), "[DONE]")
		}
	}
}

// A deadline for an answer's events does not outlive it: on a kept connection a refusal that comes later than the last
// answer's events could wait is written all the same. net/http sees to that; nothing else here does.
func TestRefusalOnAKeptConnection(t *testing.T) {
	t.Parallel()
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Header.Get("X-Trace-Id") == "silent" {
			<-r.Context().Done()
			return
		}
		testpeer.Event(w, "x")
		testpeer.Finish(w)
	})))
	c := n.Dial()
	in := bufio.NewReader(c)
	require.Equal(t, http.StatusOK, over(t, n, c, in, "first", "2000m"))
	require.Equal(t, http.StatusServiceUnavailable, over(t, n, c, in, "silent", "4300m"))
}

// over sends a request on a connection that is there and reads its whole answer.
func over(t *testing.T, n *testpeer.Node, c net.Conn, in *bufio.Reader, trace, wait string) int {
	r := n.Chat(t.Context(), func(r *http.Request) {
		r.Header.Set("X-Trace-Id", trace)
		r.Header.Set("X-Expires-In", wait)
	})
	require.NoError(t, r.Write(c))
	response, err := http.ReadResponse(in, r)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.StatusCode
}

// large is a server that streams more than all buffers on the way hold, and tells when it was done, or its stream ended.
func large(t *testing.T, ended chan<- error) string {
	event := strings.Repeat("x", 48<<10)
	return testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
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

// A client that stops reading for a while gets its whole answer, and the server is not taken for a silent one.
func TestReaderThatPauses(t *testing.T) {
	t.Parallel()
	seen, logs := observer.New(zap.InfoLevel)
	n := testpeer.StartLogged(t, zap.New(seen), testpeer.Settings(), testpeer.Entry("s", large(t, make(chan error, 1))))
	response, err := http.DefaultClient.Do(n.Chat(t.Context(), nil))
	require.NoError(t, err)
	defer response.Body.Close()
	time.Sleep(3300 * time.Millisecond) // longer than a server may be silent; the client's own pause is what is tested
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body[len(body)-100:]), "Endpoint-Load-Metrics")
	require.Empty(t, logs.FilterMessage("attempt failed").All())
}

// A client that takes each event late, but just in time, holds its place at the server for a bounded time in all.
func TestReaderThatDrips(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", large(t, ended)))
	c := n.Dial()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(16<<10))
	require.NoError(t, n.Chat(t.Context(), nil).Write(c))
	go func() {
		piece := make([]byte, 128<<10)
		for {
			if _, err := io.ReadFull(c, piece); err != nil {
				return
			}
			time.Sleep(300 * time.Millisecond) // the habit that is tested
		}
	}()
	select {
	case err := <-ended:
		require.Error(t, err, "its stream was ended")
	case <-time.After(12 * time.Second):
		t.Fatal("the server is still held")
	}
}

// What a backend finds wrong with a request itself is the client's answer: no second server is asked, and none is
// left out for it.
func TestRequestsThatServersReject(t *testing.T) {
	var rejected, served atomic.Int32
	server := func(w http.ResponseWriter, r *http.Request) {
		if raw, _ := io.ReadAll(r.Body); strings.Contains(string(raw), "poison") {
			rejected.Add(1)
			w.WriteHeader(http.StatusUnprocessableEntity)
			return
		}
		served.Add(1)
		testpeer.Event(w, "x")
		testpeer.Finish(w)
	}
	seen, logs := observer.New(zap.InfoLevel)
	n := testpeer.StartLogged(t, zap.New(seen), testpeer.Settings(), testpeer.Entry("a", testpeer.Server(t, server)), testpeer.Entry("b", testpeer.Server(t, server)))
	const poison = `{"messages":["poison"]}`
	for range 10 {
		status, _, said, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(poison)), int64(len(poison))
		}))
		require.Equal(t, http.StatusUnprocessableEntity, status)
		require.Contains(t, said, "request itself")
	}
	require.EqualValues(t, 10, rejected.Load(), "one attempt each")
	for range 10 {
		status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
		require.Equal(t, http.StatusOK, status)
	}
	require.EqualValues(t, 10, served.Load())
	require.Len(t, logs.FilterMessage("attempt failed").All(), 0)
}

// Bodies that are held while their requests wait are bounded by the node's memory: beyond that a request is rejected at
// once and told when to come back. Bodies that are announced and do not come take nothing.
func TestBodiesAreBounded(t *testing.T) {
	came := make(chan struct{}, 3)
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		came <- struct{}{}
		<-r.Context().Done()
	})))
	n.Bodies.SetCapacity(500<<10, 1)
	body := `{"messages":["` + strings.Repeat("x", 200<<10) + `"]}`
	large := func(ctx context.Context) *http.Request {
		return n.Chat(ctx, func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		})
	}
	for range 10 {
		_, err := n.Dial().Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nX-Trace-Id: a\r\nX-Qos: chat\r\nX-Customer: acme\r\n" +
			"X-Expires-In: 2000m\r\nContent-Length: 200000\r\n\r\n{"))
		require.NoError(t, err)
	}
	ctx, leave := context.WithCancel(t.Context())
	for range 2 {
		go func() {
			if response, err := http.DefaultClient.Do(large(ctx)); err == nil {
				response.Body.Close()
			}
		}()
		<-came
	}
	status, header, _, _ := n.Do(large(t.Context()))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	leave()
	require.Eventually(t, func() bool { return n.Bodies.InUse() == 0 }, 5*time.Second, time.Millisecond)
}
