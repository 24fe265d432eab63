package endpoints

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
)

// Whatever discovery does with a watch, the watcher learns of the change that follows. A silent watch is opened again
// at once, without an update for the failure, as often as it takes.
func TestWatcherReopensSilentWatch(t *testing.T) {
	t.Parallel()
	for name, firstResponse := range map[string]func(http.ResponseWriter, *http.Request){
		"silent":      respondNothing,
		"half open":   respondHeaderOnly,
		"slow":        respondWithinSlack,
		"nothing new": respondUnchanged,
		"pieces":      respondInPieces,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			updates, queries := watchScript(t, 0, func(poll int, w http.ResponseWriter, r *http.Request) {
				switch poll {
				case 1:
					firstResponse(w, r)
				case 2:
					respondDraining(w, 43)
				default:
					respondNothing(w, r)
				}
			})
			for changed := false; !changed; {
				list := receive(t, updates)
				require.NotEqual(t, standpoint.ListFailed, list.Kind)
				changed = len(list.Endpoints) > 0
			}
			require.Equal(t, "after=41&wait_ms=100", <-queries, "the poll that opens a watch")
		})
	}
	t.Run("again and again", func(t *testing.T) {
		t.Parallel()
		updates, queries := watchScript(t, 0, func(poll int, w http.ResponseWriter, r *http.Request) {
			if poll < 4 {
				respondNothing(w, r)
			}
			respondDraining(w, 43)
		})
		require.Equal(t, "s", receive(t, updates).Endpoints[0].Name, "and nobody has to request it")
		require.GreaterOrEqual(t, len(queries), 4)
	})
}

// respondHeaderOnly sends the header of a response, and then nothing.
func respondHeaderOnly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "1000")
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// respondWithinSlack answers after the wait, but within the slack.
func respondWithinSlack(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(330 * time.Millisecond)
	respondDraining(w, 42)
}

// respondUnchanged answers that there is no change.
func respondUnchanged(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(300 * time.Millisecond)
	fmt.Fprint(w, `{"seq":41,"whole":false,"hosts":[]}`)
}

// respondInPieces sends an indented response, a few bytes at a time.
func respondInPieces(w http.ResponseWriter, _ *http.Request) {
	const indented = "{\n  \"seq\": 42,\n  \"whole\": false,\n  \"hosts\": [\n    {\n      \"host\": \"s\",\n" +
		"\t\"dial\": \"127.0.0.1:1\", \"health\": \"draining\"}\n  ]\n}\n"
	for piece := range strings.SplitSeq(indented, ",") {
		fmt.Fprint(w, strings.Replace(piece+",", "}\n,", "}\n", 1))
		w.(http.Flusher).Flush()
	}
}

// Starts of responses, for discoveries that fail in the middle of one.
const (
	halfResponse      = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":42,"
	malformedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone"
	rejection         = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	olderVersion      = "HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"seq\":3,\"whole\":false,\"hosts\":[]}"
)

// faultyDiscovery fails from the first poll on, and has a drain to report as long; what comes after the fault reports
// it.
type faultyDiscovery struct {
	pushed bool
	polls  int           // that the fault affects; 0: those of the first lasts
	lasts  time.Duration // of the fault
	within time.Duration // the time to report the drain after the fault; 0: 6 s
	fault  func(net.Conn)
}

// What discovery has is known 6 s after it had it and could be reached, whatever happened to the polls before. The
// times are the watcher's own, on real sockets.
func TestWatcherLearnsOfDrainWithinSixSeconds(t *testing.T) {
	t.Parallel()
	const maximum = 6 * time.Second
	for name, discovery := range map[string]faultyDiscovery{
		"a watch falls silent":               {polls: 1, fault: holdOpen},
		"a watch falls silent, and the next": {polls: 2, fault: holdOpen},
		"three calls in a row fall silent":   {polls: 3, fault: holdOpen},
		"half an answer":                     {polls: 1, fault: respond(halfResponse, holdOpen)},
		"half an answer, then reset":         {polls: 3, fault: respond(halfResponse, resetConnection)},
		"no JSON":                            {polls: 3, fault: respond(malformedResponse, resetConnection)},
		"refused: too many callers":          {polls: 4, fault: respond(rejection, resetConnection)},
		"resets, for 9 s":                    {lasts: 9 * time.Second, fault: resetConnection},
		"refusals, for 9 s":                  {lasts: 9 * time.Second, fault: respond(rejection, resetConnection)},
		"silence, for 9 s":                   {lasts: 9 * time.Second, fault: holdOpen},
		"versions begin anew":                {polls: 1, fault: respond(olderVersion, resetConnection)},
		"pushed: resets, for 3 s": {
			pushed: true, lasts: 3 * time.Second, within: 500 * time.Millisecond, fault: resetConnection,
		},
		"pushed: refusals, for 3 s": {
			pushed: true, lasts: 3 * time.Second, within: time.Second, fault: respond(rejection, resetConnection),
		},
		"pushed: a watch falls silent":        {pushed: true, polls: 1, fault: holdOpen},
		"pushed: two watches, then a refusal": {pushed: true, polls: 2, fault: holdOpen},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started := time.Now()
			address := discovery.start(t, started)
			notify, updates := receiver(t)
			w := NewWatcher(address, names, firstVersion, notify, zap.NewNop())
			if discovery.pushed {
				w.MaxPushedPause = 250 * time.Millisecond
			}
			runUntilEnd(t, w.Run)
			w.Watch()
			within := maximum
			if discovery.within > 0 {
				within = discovery.within
			}
			for {
				select {
				case list := <-updates:
					if len(list.Endpoints) == 1 && list.Endpoints[0].State == draining {
						return
					}
				case <-time.After(time.Until(started.Add(discovery.lasts + within))):
					t.Fatalf("no update %v after discovery could be reached", within)
				}
			}
		})
	}
}

// start serves on an address of its own until the test ends.
func (d faultyDiscovery) start(t *testing.T, started time.Time) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var serving sync.WaitGroup
	serving.Go(func() { // the loop itself counts, so that nothing is added once the end is waited for
		last := started
		for poll := 1; ; poll++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			// Whenever discovery comes back there must be time for two further polls.
			if now := time.Now(); d.lasts > 0 && now.Sub(last) > 7*time.Second/2 {
				t.Errorf("%v between two polls", now.Sub(last))
			}
			last = time.Now()
			faulty := poll <= d.polls || time.Since(started) < d.lasts
			serving.Go(func() {
				defer connection.Close()
				if faulty {
					d.fault(connection)
				} else {
					reportDraining(connection)
				}
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		serving.Wait()
	})
	return listener.Addr().String()
}

// reportDraining reads a poll, and answers that s is draining: with the full list if that is polled.
func reportDraining(connection net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	full := request.URL.RawQuery == ""
	body := fmt.Sprintf(
		`{"seq":43,"whole":%t,"hosts":[{"host":"s","dial":"127.0.0.1:1","health":"draining"}]}`, full)
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// holdOpen sends nothing until the other side closes the connection.
func holdOpen(connection net.Conn) { _, _ = io.Copy(io.Discard, connection) }

// resetConnection has the connection reset when it is closed.
func resetConnection(connection net.Conn) { _ = connection.(*net.TCPConn).SetLinger(0) }

// respond reads a poll and answers it, and continues with then.
func respond(response string, then func(net.Conn)) func(net.Conn) {
	return func(connection net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
			_, _ = io.WriteString(connection, response)
			time.Sleep(20 * time.Millisecond) // or a reset would overtake the response
		}
		then(connection)
	}
}
