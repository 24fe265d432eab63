package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
)

var begun = testpeer.StreamHead + testpeer.Chunk("data: {\"choices\":[{}]}\n\n")

// What cannot be read before the first event is a failed attempt: the request goes out again, and what the server
// sent does not reach the client.
func TestMalformedAnswersBeforeTheFirstEvent(t *testing.T) {
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
func TestMalformedAnswersAfterTheFirstEvent(t *testing.T) {
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
func TestSilentStreamsAreBroken(t *testing.T) {
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

// Events may be parted by carriage returns and line feeds too, as the standard for event streams has it.
func TestEventsWithCRLF(t *testing.T) {
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

// Events are passed on one by one, as they come: the server writes each only once the client has the one before. One
// that comes in halves waits for its second half, and for nothing else.
func TestEventsAreForwardedAsTheyCome(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]string{"LF": "\n", "CR LF": "\r\n"} {
		for _, halves := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", in halves ", halves), func(t *testing.T) {
				t.Parallel()
				next := make(chan struct{}, 1)
				event := func(i int) string { return fmt.Sprintf("data: {\"choices\":[{\"index\":%d}]}%s%s", i, end, end) }
				const events = 20
				n := testpeer.Start(
					t,
					testpeer.Settings(),
					testpeer.Endpoint("s", testpeer.RawBackend(t, func(c net.Conn) {
						_, _ = io.WriteString(c, testpeer.StreamHead)
						for i := range events {
							text := event(i)
							if halves {
								_, _ = io.WriteString(c, testpeer.Chunk(text[:len(text)-len(end)-3]))
								time.Sleep(5 * time.Millisecond)
								text = text[len(text)-len(end)-3:]
							}
							_, _ = io.WriteString(c, testpeer.Chunk(text))
							<-next
						}
						_, _ = io.WriteString(c, testpeer.Chunk("data: [DONE]"+end+end)+"0\r\n\r\n")
					})),
				)
				response, err := http.DefaultClient.Do(n.Chat(t.Context(), nil))
				require.NoError(t, err)
				defer response.Body.Close()
				in := bufio.NewReader(response.Body)
				for i := range events {
					began := time.Now()
					got := make([]byte, len(event(i)))
					_, err := io.ReadFull(in, got)
					require.NoError(t, err)
					require.Equal(t, event(i), string(got))
					require.Less(t, time.Since(began), 300*time.Millisecond)
					require.Zero(t, in.Buffered(), "two events in one")
					next <- struct{}{}
				}
				rest, err := io.ReadAll(in)
				require.NoError(t, err)
				require.Contains(t, string(rest), "[DONE]")
			})
		}
	}
}

// Answers that never end, each in another way: the request is tried elsewhere where nothing of it has reached the
// client, else the client's answer ends, broken and in bounded time, and nothing more goes out.
func TestEndlessAnswersAreBroken(t *testing.T) {
	t.Parallel()
	event := testpeer.Chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"}}]}\n\n")
	forever := func(piece string, pause time.Duration) func(c net.Conn) {
		return func(c net.Conn) {
			for began := time.Now(); time.Since(began) < 6*time.Second; {
				if _, err := io.WriteString(c, piece); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}
	}
	for name, c := range map[string]struct {
		begins string
		then   func(c net.Conn)
		begun  bool // something of it reaches the client
	}{
		"a head":               {"HTTP/1.1 200 OK\r\n", forever("X-More: and more\r\n", time.Millisecond), false},
		"early heads":          {"", forever("HTTP/1.1 103 Early\r\n\r\n", time.Millisecond), false},
		"a first line":         {testpeer.StreamHead, forever(testpeer.Chunk("data"), time.Millisecond), false},
		"a chunk's size":       {testpeer.StreamHead, forever("0", time.Millisecond), false},
		"a line behind events": {testpeer.StreamHead + event, forever(testpeer.Chunk("data"), time.Millisecond), true},
		"events":               {testpeer.StreamHead + event, forever(event, time.Millisecond), true},
		"comments":             {testpeer.StreamHead + event, forever(testpeer.Chunk(": there\n\n"), 10*time.Millisecond), true},
		"nothing behind half a line": {testpeer.StreamHead + event + testpeer.Chunk("data: {\"choi"),
			func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, true},
		"nothing behind the last event": {testpeer.StreamHead + event + testpeer.Chunk("data: [DONE]\n\n"),
			func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, true},
		"trailers": {testpeer.StreamHead + event + testpeer.Chunk("data: [DONE]\n\n") + "0\r\n", forever("X-More: and more\r\n", time.Millisecond), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var asked atomic.Int32
			server := func() string {
				return testpeer.RawBackend(t, func(conn net.Conn) {
					if asked.Add(1) > 1 {
						_, _ = io.WriteString(conn, testpeer.StreamAnswer("good"))
						return
					}
					_, _ = io.WriteString(conn, c.begins)
					c.then(conn)
				})
			}
			n := testpeer.Start(
				t,
				testpeer.Settings(),
				testpeer.Endpoint("a", server()),
				testpeer.Endpoint("b", server()),
			)
			began := time.Now()
			response, err := http.DefaultClient.Do(n.Chat(t.Context(), func(r *http.Request) {
				body := `{"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`
				r.Body = io.NopCloser(strings.NewReader(body))
				r.ContentLength = int64(len(body))
				r.Header.Set("X-Expires-In", "6000m")
			}))
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusOK, response.StatusCode)
			body, err := io.ReadAll(response.Body)
			if c.begun {
				require.Error(t, err, "broken off: it was never whole")
				require.Equal(t, int32(1), asked.Load())
			} else {
				require.NoError(t, err)
				require.Contains(t, string(body), "good")
				require.Equal(t, int32(2), asked.Load())
			}
			require.Less(t, time.Since(began), 4*time.Second)
		})
	}
}
