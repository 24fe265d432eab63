package endpoints

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
)

// watched starts a watcher of a scripted discovery, with short waits. pushed, if not 0: the list is pushed there.
func watched(t *testing.T, pushed time.Duration, script func(call int, w http.ResponseWriter, r *http.Request)) (*Watcher, chan node.EndpointList, chan string) {
	asked, news := make(chan string, 100), make(chan node.EndpointList, 100)
	var calls atomic.Int32
	discovery := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := int(calls.Add(1)) // one that came to nothing may still be out
		asked <- r.URL.RawQuery
		script(call, w, r)
	}))
	discovery.Start()
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	w := NewWatcher(strings.TrimPrefix(discovery.URL, "http://"), names, 41, func(l node.EndpointList) { news <- l }, zap.NewNop())
	w.MaxPushedPause, w.watchWait, w.watchSlack = pushed, 300*time.Millisecond, 100*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go w.Run(ctx)
	if pushed == 0 {
		w.Watch()
	}
	return w, news, asked
}

const drainAt = `{"seq":%d,"whole":false,"hosts":[{"host":"s","dial":"127.0.0.1:1","health":"draining"}]}`

// What discovery may do with a watch, and what the watcher makes of it. A silent one is opened anew at once, without
// a word of a failure, and so is each that falls silent behind it.
func TestWatcherReopensSilentWatch(t *testing.T) {
	t.Parallel()
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	half := func(w http.ResponseWriter, r *http.Request) { // a head and no more
		w.Header().Set("Content-Length", "1000")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	slow := func(w http.ResponseWriter, _ *http.Request) { // late, but within the slack
		time.Sleep(330 * time.Millisecond)
		fmt.Fprintf(w, drainAt, 42)
	}
	nothing := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond)
		fmt.Fprint(w, `{"seq":41,"whole":false,"hosts":[]}`)
	}
	pieces := func(w http.ResponseWriter, _ *http.Request) { // indented, and a few bytes at a time
		for piece := range strings.SplitSeq("{\n  \"seq\": 42,\n  \"whole\": false,\n  \"hosts\": [\n    {\n      \"host\": \"s\",\n\t\"dial\": \"127.0.0.1:1\", \"health\": \"draining\"}\n  ]\n}\n", ",") {
			fmt.Fprint(w, strings.Replace(piece+",", "}\n,", "}\n", 1))
			w.(http.Flusher).Flush()
		}
	}
	for name, first := range map[string]func(http.ResponseWriter, *http.Request){"silent": silent, "half open": half, "slow": slow, "nothing new": nothing, "pieces": pieces} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, news, asked := watched(t, 0, func(call int, w http.ResponseWriter, r *http.Request) {
				switch call {
				case 1:
					first(w, r)
				case 2:
					fmt.Fprintf(w, drainAt, 43)
				default:
					silent(w, r)
				}
			})
			for l := range news {
				require.NotEqual(t, standpoint.ListLost, l.Kind)
				if len(l.Endpoints) > 0 {
					break
				}
			}
			require.Equal(t, "after=41&wait_ms=100", <-asked, "a call that opens a watch")
		})
	}
	t.Run("again and again", func(t *testing.T) {
		t.Parallel()
		_, news, asked := watched(t, 0, func(call int, w http.ResponseWriter, r *http.Request) {
			if call < 4 {
				silent(w, r)
			}
			fmt.Fprintf(w, drainAt, 43)
		})
		require.Equal(t, "s", (<-news).Endpoints[0].Name, "and nobody has to wish for it")
		require.GreaterOrEqual(t, len(asked), 4)
	})
}

// What discovery has is heard 6 s after it had it and could be reached, whatever the calls before came to. Each
// discovery here plays its trouble from the first call on, and has a drain to tell from then on; the clock begins
// once it could tell it. These are the watcher's own times, on real sockets.
func TestWatcherLearnsOfDrainWithinSixSeconds(t *testing.T) {
	t.Parallel()
	const most = 6 * time.Second
	for name, c := range map[string]struct {
		pushed bool
		calls  int           // that play the trouble; 0: those of the first so long
		lasts  time.Duration // of the trouble
		within time.Duration // 0: most
		play   func(c net.Conn)
	}{
		"a watch falls silent":                {calls: 1, play: hold},
		"a watch falls silent, and the next":  {calls: 2, play: hold},
		"three calls in a row fall silent":    {calls: 3, play: hold},
		"half an answer":                      {calls: 1, play: say("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":42,", hold)},
		"half an answer, then reset":          {calls: 3, play: say("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":42,", reset)},
		"no JSON":                             {calls: 3, play: say("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone", reset)},
		"refused: too many callers":           {calls: 4, play: say(busy503, reset)},
		"resets, for 9 s":                     {lasts: 9 * time.Second, play: reset},
		"refusals, for 9 s":                   {lasts: 9 * time.Second, play: say(busy503, reset)},
		"silence, for 9 s":                    {lasts: 9 * time.Second, play: hold},
		"versions begin anew":                 {calls: 1, play: say("HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"seq\":3,\"whole\":false,\"hosts\":[]}", reset)},
		"pushed: resets, for 3 s":             {pushed: true, lasts: 3 * time.Second, play: reset, within: 500 * time.Millisecond},
		"pushed: refusals, for 3 s":           {pushed: true, lasts: 3 * time.Second, play: say(busy503, reset), within: time.Second},
		"pushed: a watch falls silent":        {pushed: true, calls: 1, play: hold},
		"pushed: two watches, then a refusal": {pushed: true, calls: 2, play: hold},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			began := time.Now()
			news := make(chan node.EndpointList, 100)
			w := NewWatcher(l.Addr().String(), names, 41, func(l node.EndpointList) { news <- l }, zap.NewNop())
			if c.pushed {
				w.MaxPushedPause = 250 * time.Millisecond
			}
			var open sync.WaitGroup
			open.Go(func() { // itself counted, so that none is added once the end is waited for
				last := began
				for call := 1; ; call++ {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					// Whenever discovery comes back there must be time for two further calls.
					if now := time.Now(); c.lasts > 0 && now.Sub(last) > 7*time.Second/2 {
						t.Errorf("%v between two calls", now.Sub(last))
					}
					last = time.Now()
					troubled := call <= c.calls || time.Since(began) < c.lasts
					open.Go(func() {
						defer conn.Close()
						if troubled {
							c.play(conn)
							return
						}
						r, err := http.ReadRequest(bufio.NewReader(conn))
						if err != nil {
							return
						}
						body := fmt.Sprintf(`{"seq":43,"whole":%t,"hosts":[{"host":"s","dial":"127.0.0.1:1","health":"draining"}]}`, r.URL.RawQuery == "")
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					})
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			open.Go(func() { w.Run(ctx) })
			t.Cleanup(func() {
				cancel()
				l.Close()
				open.Wait()
			})
			w.Watch()
			within := most
			if c.within > 0 {
				within = c.within
			}
			for {
				select {
				case l := <-news:
					if len(l.Endpoints) == 1 && l.Endpoints[0].State == standpoint.Draining {
						return
					}
				case <-time.After(time.Until(began.Add(c.lasts + within))):
					t.Fatalf("not told %v after discovery could be reached", within)
				}
			}
		})
	}
}

const busy503 = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

// hold says nothing until the other side lets go.
func hold(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

func reset(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

// say reads the call, answers it so, and goes on with then.
func say(answer string, then func(net.Conn)) func(net.Conn) {
	return func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answer)
			time.Sleep(20 * time.Millisecond) // or the reset would go before it
		}
		then(c)
	}
}

// An answer has nothing behind it: what discovery sends later on the connection is not the next call's answer.
func TestWatcherIgnoresSurplusResponse(t *testing.T) {
	t.Parallel()
	second := make(chan struct{})
	_, news, _ := watched(t, 0, func(call int, w http.ResponseWriter, r *http.Request) {
		if call == 2 {
			fmt.Fprint(w, `{"seq":44,"whole":false,"hosts":[{"host":"t","dial":"127.0.0.1:2","health":"ready"}]}`)
			return
		}
		if call > 2 {
			<-r.Context().Done()
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		body := fmt.Sprintf(drainAt, 42)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		fmt.Fprint(c, answer+answer)
		<-second
	})
	t.Cleanup(func() { close(second) })
	require.Equal(t, "s", (<-news).Endpoints[0].Name)
	require.Equal(t, "t", (<-news).Endpoints[0].Name, "the second call's own answer")
}

// Where lists are pushed nobody needs to wish for a watch, and one that fails is opened anew by itself.
func TestWatcherOfPushedListsNeedsNoRequest(t *testing.T) {
	t.Parallel()
	_, news, asked := watched(t, 100*time.Millisecond, func(call int, w http.ResponseWriter, r *http.Request) {
		switch call {
		case 1, 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			fmt.Fprintf(w, drainAt, 43)
		default:
			<-r.Context().Done()
		}
	})
	require.Equal(t, "s", (<-news).Endpoints[0].Name, "and no word of what failed: nobody is to ask later for it")
	require.GreaterOrEqual(t, len(asked), 3)
}

// A discovery whose versions have begun anew tells changes of another list: the whole one is asked for.
func TestWatcherFetchesFullListWhenVersionsRestart(t *testing.T) {
	t.Parallel()
	_, news, _ := watched(t, 0, func(call int, w http.ResponseWriter, r *http.Request) {
		switch {
		case call == 1:
			fmt.Fprintf(w, drainAt, 3)
		case r.URL.RawQuery == "":
			fmt.Fprint(w, `{"seq":4,"whole":true,"hosts":[{"host":"t","dial":"127.0.0.1:2","health":"ready"}]}`)
		default:
			<-r.Context().Done()
		}
	})
	l := <-news
	require.Equal(t, node.EndpointList{Kind: standpoint.ListDelta, Endpoints: l.Endpoints}, l)
	require.Equal(t, standpoint.Draining, l.Endpoints[0].State, "that it is written counts, of whatever list it is")
	l = <-news
	require.Equal(t, standpoint.ListFull, l.Kind)
	require.Equal(t, "t", l.Endpoints[0].Name)
}

// A discovery that handles calls in turn and turns away whoever waited too long, back after all nodes lost it: those
// that it refuses do not keep it busy with their next calls, and every one has the list within 6 s.
func TestManyNodesShareBusyDiscovery(t *testing.T) {
	t.Parallel()
	const nodes, each, patience = 100, 15 * time.Millisecond, 200 * time.Millisecond
	var turn sync.Mutex
	var calls, refused atomic.Int32
	back := time.Now().Add(time.Second)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		came := time.Now()
		if came.Before(back) {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Query().Get("after") == "43" {
			<-r.Context().Done() // a watch of one that has it
			return
		}
		turn.Lock()
		defer turn.Unlock()
		if time.Since(came) > patience {
			refused.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			time.Sleep(each / 3) // to turn it away is work too
			return
		}
		time.Sleep(each)
		fmt.Fprintf(w, drainAt, 43)
	}))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	var all sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	for range nodes {
		all.Go(func() {
			heard := make(chan struct{})
			var once sync.Once
			w := NewWatcher(strings.TrimPrefix(discovery.URL, "http://"), names, 41, func(l node.EndpointList) {
				if len(l.Endpoints) > 0 {
					once.Do(func() { close(heard) })
				}
			}, zap.NewNop())
			go w.Run(ctx)
			w.Watch()
			select {
			case <-heard:
			case <-time.After(time.Until(back.Add(6 * time.Second))):
				t.Error("not told within 6 s")
			}
		})
	}
	all.Wait()
	cancel()
	t.Logf("%d calls, %d refused", calls.Load(), refused.Load())
}
