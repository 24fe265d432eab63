package entries

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
)

// watched starts a watcher of a scripted discovery, with short waits. pushed: the list is pushed there.
func watched(t *testing.T, pushed bool, script func(call int, w http.ResponseWriter, r *http.Request)) (*Watcher, chan node.List, chan string) {
	asked, news := make(chan string, 100), make(chan node.List, 100)
	calls := 0
	discovery := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++ // the watcher has one call out
		asked <- r.URL.RawQuery
		script(calls, w, r)
	}))
	discovery.Start()
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	w := NewWatcher(strings.TrimPrefix(discovery.URL, "http://"), names, 41, func(l node.List) { news <- l }, zap.NewNop())
	w.Pushed, w.wait, w.slack = pushed, 300*time.Millisecond, 100*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go w.Run(ctx)
	if !pushed {
		w.Watch()
	}
	return w, news, asked
}

const drain = `{"seq":%d,"whole":false,"hosts":[{"host":"s","dial":"127.0.0.1:1","health":"draining"}]}`

// What discovery may do with a watch, and what the watcher makes of it. A silent one is opened anew at once, without a word
// of a failure; two in a row show that discovery does not answer.
func TestWatchesThatFallSilent(t *testing.T) {
	t.Parallel()
	silent := func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	half := func(w http.ResponseWriter, r *http.Request) { // a head and no more
		w.Header().Set("Content-Length", "1000")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	slow := func(w http.ResponseWriter, r *http.Request) { // late, but within the slack
		time.Sleep(330 * time.Millisecond)
		fmt.Fprintf(w, drain, 42)
	}
	nothing := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		fmt.Fprint(w, `{"seq":41,"whole":false,"hosts":[]}`)
	}
	pieces := func(w http.ResponseWriter, r *http.Request) { // indented, and a few bytes at a time
		for piece := range strings.SplitSeq("{\n  \"seq\": 42,\n  \"whole\": false,\n  \"hosts\": [\n    {\n      \"host\": \"s\",\n\t\"dial\": \"127.0.0.1:1\", \"health\": \"draining\"}\n  ]\n}\n", ",") {
			fmt.Fprint(w, strings.Replace(piece+",", "}\n,", "}\n", 1))
			w.(http.Flusher).Flush()
		}
	}
	for name, first := range map[string]func(http.ResponseWriter, *http.Request){"silent": silent, "half open": half, "slow": slow, "nothing new": nothing, "pieces": pieces} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, news, asked := watched(t, false, func(call int, w http.ResponseWriter, r *http.Request) {
				switch call {
				case 1:
					first(w, r)
				case 2:
					fmt.Fprintf(w, drain, 43)
				default:
					silent(w, r)
				}
			})
			for l := range news {
				require.NotEqual(t, standpoint.ListLost, l.Kind)
				if len(l.Entries) > 0 {
					break
				}
			}
			require.Equal(t, "after=41&wait_ms=300", <-asked)
		})
	}
	t.Run("twice", func(t *testing.T) {
		t.Parallel()
		_, news, asked := watched(t, false, func(_ int, w http.ResponseWriter, r *http.Request) { silent(w, r) })
		require.Equal(t, standpoint.ListLost, (<-news).Kind)
		require.Len(t, asked, 2)
	})
}

// An answer has nothing behind it: what discovery sends later on the connection is not the next call's answer.
func TestASecondAnswerRightBehind(t *testing.T) {
	t.Parallel()
	second := make(chan struct{})
	_, news, _ := watched(t, false, func(call int, w http.ResponseWriter, r *http.Request) {
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
		body := fmt.Sprintf(drain, 42)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		fmt.Fprint(c, answer+answer)
		<-second
	})
	t.Cleanup(func() { close(second) })
	require.Equal(t, "s", (<-news).Entries[0].Name)
	require.Equal(t, "t", (<-news).Entries[0].Name, "the second call's own answer")
}

// Where lists are pushed nobody needs to wish for a watch, and one that fails is opened anew by itself.
func TestPushedLists(t *testing.T) {
	t.Parallel()
	_, news, asked := watched(t, true, func(call int, w http.ResponseWriter, r *http.Request) {
		switch call {
		case 1, 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			fmt.Fprintf(w, drain, 43)
		default:
			<-r.Context().Done()
		}
	})
	require.Equal(t, "s", (<-news).Entries[0].Name, "and no word of what failed: nobody is to ask later for it")
	require.GreaterOrEqual(t, len(asked), 3)
}

// A discovery whose versions have begun anew tells changes of another list: the whole one is asked for.
func TestVersionsThatBeginAnew(t *testing.T) {
	t.Parallel()
	_, news, _ := watched(t, false, func(call int, w http.ResponseWriter, r *http.Request) {
		switch {
		case call == 1:
			fmt.Fprintf(w, drain, 3)
		case r.URL.RawQuery == "":
			fmt.Fprint(w, `{"seq":4,"whole":true,"hosts":[{"host":"t","dial":"127.0.0.1:2","health":"ready"}]}`)
		default:
			<-r.Context().Done()
		}
	})
	l := <-news
	require.Equal(t, standpoint.ListFull, l.Kind)
	require.Equal(t, "t", l.Entries[0].Name)
}
