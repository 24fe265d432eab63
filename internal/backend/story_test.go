package backend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"standpoint/internal/node"
	"standpoint/internal/testpeer"
)

var begun = testpeer.StreamHead + testpeer.Chunk("data: {\"choices\":[{}]}\n\n")

// What cannot be read before the first event is a failed attempt: the request goes out again, and what the server
// sent does not reach the client.
func TestSpoiltOpenings(t *testing.T) {
	for name, text := range map[string]string{
		"noise":             "\x00\x9c noise\r\n\r\n",
		"status":            "HTTP/1.1 2x0 what\r\n\r\n",
		"endless head":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: and more\r\n", 2000),
		"chunk size":        testpeer.StreamHead + "zz\r\ndata: {}\n\n\r\n",
		"no event":          testpeer.StreamHead + testpeer.Chunk("noise\n\n"),
		"half a JSON value": testpeer.StreamHead + testpeer.Chunk("data: {\n\n"),
		"endless event":     testpeer.StreamHead + "b2d05e00\r\ndata: " + strings.Repeat("x", 100<<10),
		"end at once":       testpeer.StreamHead + "0\r\n\r\n",
		"silence":           testpeer.StreamHead,
	} {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int32
			server := testpeer.RawBackend(t, func(c net.Conn) {
				if asked.Add(1) == 1 {
					_, _ = io.WriteString(c, text)
				} else {
					_, _ = io.WriteString(c, testpeer.StreamAnswer("whole"))
				}
			})
			n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("a", server), testpeer.Endpoint("b", server))
			status, _, body, err := n.Do(n.Chat(t.Context(), nil))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Contains(t, body, "whole")
			require.EqualValues(t, 2, asked.Load())
		})
	}
}

// What is spoilt after the first event ends the client's connection soon, and without the last chunk.
func TestSpoiltLater(t *testing.T) {
	for name, text := range map[string]string{
		"chunk size":          "zz\r\ndata: {}\n\n\r\n0\r\n\r\n",
		"chunk too short":     "4\r\ndata: {\"choices\":[{}]}\n\n\r\n0\r\n\r\n",
		"chunk too long":      "30\r\ndata: {\"choices\":[{}]}\n\n\r\n17\r\ndata: {\"choices\":[{}]}\n\n\r\n0\r\n\r\n",
		"3 GB that keep on":   "b2d05e00\r\n" + strings.Repeat("\x01\x02noise", 20<<10),
		"3 GB without a line": "b2d05e00\r\ndata: " + strings.Repeat("x", 100<<10),
		"no last event":       "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.RawBackend(t, func(c net.Conn) {
				_, _ = io.WriteString(c, begun+text)
			})))
			from := time.Now()
			status, _, body, err := n.Do(n.Chat(t.Context(), nil))
			require.Equal(t, http.StatusOK, status)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Less(t, time.Since(from), 5*time.Second)
			require.NotContains(t, body, "noise")
		})
	}
}

// Seen on zone+vast: 125 streams of a lost zone were found silent after 3 s, all at once, with no pace left to keep.
// Where clients ask for the rest a stream is silent by its own measure; where they do not, cutting one whose events
// still come would lose it.
func TestSilentStreams(t *testing.T) {
	event := testpeer.Chunk("data: {\"choices\":[{}]}\n\n")
	for name, c := range map[string]struct {
		resume      bool
		pause, stop time.Duration // between the first events; and before the answer's end
		whole       bool
		least, most time.Duration
	}{
		"the rest is asked for":     {true, 20 * time.Millisecond, time.Hour, false, time.Second, 2500 * time.Millisecond},
		"the rest is not asked for": {false, 20 * time.Millisecond, time.Hour, false, 2900 * time.Millisecond, 5 * time.Second},
		"a slow server":             {true, 500 * time.Millisecond, 1300 * time.Millisecond, true, 0, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			settings := testpeer.Settings()
			settings.Resume = c.resume
			n := testpeer.Start(t, settings, testpeer.Endpoint("s", testpeer.RawBackend(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, testpeer.StreamHead+event)
				for range 2 {
					time.Sleep(c.pause)
					_, _ = io.WriteString(conn, event)
				}
				select {
				case <-time.After(c.stop):
					_, _ = io.WriteString(conn, testpeer.Chunk("data: [DONE]\n\n")+"0\r\n\r\n")
				case <-t.Context().Done():
				}
			})))
			from := time.Now()
			_, _, _, err := n.Do(n.Chat(t.Context(), nil))
			took := time.Since(from)
			require.Equal(t, c.whole, err == nil, err)
			require.True(t, took >= c.least && took < c.most, took)
		})
	}
}

// Good answers that bring more than belongs to them are passed on, and what they bring is taken for nobody's.
func TestGoodAnswersWithMore(t *testing.T) {
	for name, script := range map[string]func(io.Writer, string){
		"1xx ahead": func(w io.Writer, answer string) {
			_, _ = io.WriteString(w, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"+answer)
		},
		"unreadable report": func(w io.Writer, answer string) {
			report := testpeer.Chunk(": Endpoint-Load-Metrics: TEXT x0=NaN, x1=, util=-3\n\n")
			_, _ = io.WriteString(w, strings.Replace(answer, "0\r\n\r\n", report+"0\r\n\r\n", 1))
		},
		"second answer behind": func(w io.Writer, answer string) {
			_, _ = io.WriteString(w, answer+testpeer.StreamAnswer("stray"))
		},
		"and in pieces": func(w io.Writer, answer string) {
			_, _ = io.WriteString(w, answer)
			_, _ = io.WriteString(w, testpeer.StreamAnswer("stray"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.RawBackend(t, func(c net.Conn) {
				script(c, testpeer.StreamAnswer("own"))
			})))
			for range 20 {
				status, _, body, err := n.Do(n.Chat(t.Context(), nil))
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				require.Contains(t, body, "own")
				require.NotContains(t, body, "stray")
			}
		})
	}
}

// A server that drops rested links without a word costs a few attempts, not one each time: links rest less then.
func TestDroppedLinks(t *testing.T) {
	var mu sync.Mutex
	asked := map[net.Conn]bool{}
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.RawBackend(t, func(c net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		if asked[c] {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			return
		}
		asked[c] = true
		_, _ = io.WriteString(c, testpeer.StreamAnswer("own"))
	})))
	var lost []int
	for i := range 12 {
		status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "200m") }))
		if status != http.StatusOK {
			lost = append(lost, i)
		}
		time.Sleep(60 * time.Millisecond)
	}
	require.LessOrEqual(t, len(lost), 4, lost)
}

// A server that answers before the request's last byte is heard, and not taken for one that cannot be reached.
func TestAnswerBeforeTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	log, logs := observer.New(zap.InfoLevel)
	n := testpeer.StartLogged(t, zap.New(log), testpeer.Settings(), testpeer.Endpoint("s", listener.Addr().String()))
	body := `{"messages":["` + strings.Repeat("x", 200<<10) + `"]}`
	status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
		r.Header.Set("X-Expires-In", "300m")
	}))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "answered 500 No", logs.FilterMessage("attempt failed").All()[0].ContextMap()["error"])
}

// A process started anew at the same address gets connections of its own: those kept to the one before lead nowhere.
func TestLinksOfTheProcessBefore(t *testing.T) {
	var links sync.Map
	server := testpeer.RawBackend(t, func(c net.Conn) {
		links.Store(c, true)
		_, _ = io.WriteString(c, testpeer.StreamAnswer("own"))
	})
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", server))
	used := func() (all int) {
		status, _, _, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		links.Range(func(any, any) bool { all++; return true })
		return all
	}
	require.Equal(t, 1, used())
	require.Equal(t, 1, used(), "a kept one")
	again := testpeer.Endpoint("s", server)
	again.ReadyAt = time.Now().Add(-time.Hour).UnixNano()
	n.UpdateEndpoints(again)
	require.Equal(t, 2, used())
}

// A box of another kind under the same name is spoken to in its own way.
func TestAnotherKindUnderTheSameName(t *testing.T) {
	files := testpeer.NewBatchBackend(t, testpeer.NewAttemptLedger(), func(string, int) int { return http.StatusOK })
	streams := testpeer.Endpoint(
		"s",
		testpeer.RawBackend(t, func(c net.Conn) { _, _ = io.WriteString(c, testpeer.StreamAnswer("own")) }),
	)
	settings := testpeer.Settings()
	settings.Cancel = false
	n := testpeer.Start(t, settings, streams)
	replaced := testpeer.Endpoint("s", files.Address)
	replaced.Batch = true
	for _, e := range []node.Endpoint{streams, replaced, streams} {
		n.UpdateEndpoints(e)
		status, _, body, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
	}
}

// Events may be parted by carriage returns and line feeds too, as the standard for event streams has it.
func TestEventsWithCarriageReturns(t *testing.T) {
	answer := testpeer.StreamHead + testpeer.Chunk(
		"data: {\"choices\":[{}]}\r\n\r\n",
	) + testpeer.Chunk(
		"data: [DONE]\r\n\r\n",
	) + "0\r\n\r\n"
	n := testpeer.Start(
		t,
		testpeer.Settings(),
		testpeer.Endpoint("s", testpeer.RawBackend(t, func(c net.Conn) { _, _ = io.WriteString(c, answer) })),
	)
	for range 2 { // on a kept connection too
		status, _, body, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "data: {\"choices\":[{}]}\r\n\r\ndata: [DONE]\r\n\r\n", body, "unchanged")
	}
}

// A second answer that comes some milliseconds behind the first, on its own, is nobody's: the next request, which may
// be there before it, gets its own answer. A server that is itself too late for that, on a busy machine, sends no
// second answer, and the turn does not count.
func TestASecondAnswerThatComesLate(t *testing.T) {
	const turns, late, most = 5, 11 * time.Millisecond, 13 * time.Millisecond
	var played atomic.Int64
	var count atomic.Int64
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.RawBackend(t, func(c net.Conn) {
		number := count.Add(1)
		began := time.Now()
		_, _ = io.WriteString(c, testpeer.StreamAnswer(fmt.Sprintf("own %d.", number)))
		time.Sleep(late)
		if time.Since(began) < most {
			_, _ = io.WriteString(c, testpeer.StreamAnswer("nobody's"))
			played.Add(1)
		}
	})))
	for i := 1; played.Load() < turns; i++ { // each asks before the second answer to the one before
		require.Less(t, i, 200, "the machine is too busy: %d turns of %d", played.Load(), turns)
		status, _, body, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Contains(t, body, fmt.Sprintf("own %d.", i))
		require.NotContains(t, body, "nobody's")
	}
}
