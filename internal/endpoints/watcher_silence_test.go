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

// However discovery treats the first poll of a watch, the watcher receives the change that follows. A silent watch is
// opened again at once, as often as necessary, and without a notification of the failure.
func TestWatcherReopensSilentWatch(t *testing.T) {
	t.Parallel()
	for name, firstResponse := range map[string]func(http.ResponseWriter, *http.Request){
		"silent":    respondNothing,
		"half open": respondHeaderOnly,
		"slow":      respondWithinSlack,
		"no change": respondUnchanged,
		"pieces":    respondInPieces,
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
	t.Run("repeatedly silent", func(t *testing.T) {
		t.Parallel()
		updates, queries := watchScript(t, 0, func(poll int, w http.ResponseWriter, r *http.Request) {
			if poll < 4 {
				respondNothing(w, r)
			}
			respondDraining(w, 43)
		})
		require.Equal(t, "s", receive(t, updates).Endpoints[0].Name, "no call of Watch is needed")
		require.GreaterOrEqual(t, len(queries), 4)
	})
}

// respondHeaderOnly sends only the header of a response.
func respondHeaderOnly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "1000")
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// respondWithinSlack responds after the wait, but within the slack.
func respondWithinSlack(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(330 * time.Millisecond)
	respondDraining(w, 42)
}

// respondUnchanged responds with an empty change after the wait.
func respondUnchanged(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(300 * time.Millisecond)
	fmt.Fprint(w, `{"seq":41,"whole":false,"hosts":[]}`)
}

// respondInPieces sends an indented response in several small writes.
func respondInPieces(w http.ResponseWriter, _ *http.Request) {
	const indented = "{\n  \"seq\": 42,\n  \"whole\": false,\n  \"hosts\": [\n    {\n      \"host\": \"s\",\n" +
		"\t\"dial\": \"127.0.0.1:1\", \"health\": \"draining\"}\n  ]\n}\n"
	for piece := range strings.SplitSeq(indented, ",") {
		fmt.Fprint(w, strings.Replace(piece+",", "}\n,", "}\n", 1))
		w.(http.Flusher).Flush()
	}
}

// Raw HTTP responses of a faulty discovery, complete or truncated.
const (
	halfResponse      = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":42,"
	malformedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone"
	rejection         = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	olderVersion      = "HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"seq\":3,\"whole\":false,\"hosts\":[]}"
)

// faultyDiscovery has a drain to report from its start, but handles the first polls with a fault. Later polls get the
// drain.
type faultyDiscovery struct {
	pushed        bool
	faultyPolls   int           // number of polls with the fault; if 0, all within faultDuration of the start
	faultDuration time.Duration // how long polls get the fault
	reportWithin  time.Duration // the bound on the update after faultDuration; 0 stands for 6 s
	fault         func(net.Conn)
}

// The watcher passes on a change within 6 s of the time at which discovery has it and can be reached, whatever happened
// to the previous polls. The test uses the watcher's real timing and real sockets.
func TestWatcherLearnsOfDrainWithinSixSeconds(t *testing.T) {
	t.Parallel()
	const maximum = 6 * time.Second
	for name, discovery := range map[string]faultyDiscovery{
		"one poll without a response":         {faultyPolls: 1, fault: holdOpen},
		"two polls without a response":        {faultyPolls: 2, fault: holdOpen},
		"three polls without a response":      {faultyPolls: 3, fault: holdOpen},
		"truncated response, connection open": {faultyPolls: 1, fault: respond(halfResponse, holdOpen)},
		"truncated response, then reset":      {faultyPolls: 3, fault: respond(halfResponse, resetConnection)},
		"malformed JSON":                      {faultyPolls: 3, fault: respond(malformedResponse, resetConnection)},
		"four rejections":                     {faultyPolls: 4, fault: respond(rejection, resetConnection)},
		"resets, for 9 s":                     {faultDuration: 9 * time.Second, fault: resetConnection},
		"rejections, for 9 s": {
			faultDuration: 9 * time.Second, fault: respond(rejection, resetConnection),
		},
		"no responses, for 9 s": {faultDuration: 9 * time.Second, fault: holdOpen},
		"versions restart":      {faultyPolls: 1, fault: respond(olderVersion, resetConnection)},
		"pushed: resets, for 3 s": {
			pushed: true, faultDuration: 3 * time.Second, reportWithin: 500 * time.Millisecond, fault: resetConnection,
		},
		"pushed: rejections, for 3 s": {
			pushed: true, faultDuration: 3 * time.Second, reportWithin: time.Second,
			fault: respond(rejection, resetConnection),
		},
		"pushed: one poll without a response":  {pushed: true, faultyPolls: 1, fault: holdOpen},
		"pushed: two polls without a response": {pushed: true, faultyPolls: 2, fault: holdOpen},
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
			if discovery.reportWithin > 0 {
				within = discovery.reportWithin
			}
			for {
				select {
				case list := <-updates:
					if len(list.Endpoints) == 1 && list.Endpoints[0].State == draining {
						return
					}
				case <-time.After(time.Until(started.Add(discovery.faultDuration + within))):
					t.Fatalf("no update %v after discovery could be reached", within)
				}
			}
		})
	}
}

// start serves on a free port of the loopback address until the test ends.
func (d faultyDiscovery) start(t *testing.T, started time.Time) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var serving sync.WaitGroup
	serving.Go(func() { // the loop is counted too, so that no connection is added after Wait has returned
		last := started
		for poll := 1; ; poll++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			// The gap between polls must be short enough to leave time for two further polls once discovery recovers.
			if now := time.Now(); d.faultDuration > 0 && now.Sub(last) > 7*time.Second/2 {
				t.Errorf("%v between two polls", now.Sub(last))
			}
			last = time.Now()
			faulty := poll <= d.faultyPolls || time.Since(started) < d.faultDuration
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

// reportDraining reads a poll, and responds that s is draining, with the full list if the poll requests it.
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

// holdOpen sends nothing until the client closes the connection.
func holdOpen(connection net.Conn) { _, _ = io.Copy(io.Discard, connection) }

// resetConnection makes a later close reset the connection.
func resetConnection(connection net.Conn) { _ = connection.(*net.TCPConn).SetLinger(0) }

// respond returns a handler that reads a poll, writes a raw response, and then calls then.
func respond(response string, then func(net.Conn)) func(net.Conn) {
	return func(connection net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
			_, _ = io.WriteString(connection, response)
			time.Sleep(20 * time.Millisecond) // without it, a reset could discard the response
		}
		then(connection)
	}
}
