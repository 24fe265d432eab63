package endpoints

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
	"standpoint/internal/store"
)

var names = Names{Zones: []string{"a", "b"}, Kinds: []string{"fast", "slow"}}

// The next watch follows within 200 ms of each answer. A failed one is made anew behind a short rest, without a word
// to the core: what discovery has counts as told soon, whoever asked last, and nobody else would ask in time.
func TestWatcherPollsAgainWithoutDelay(t *testing.T) {
	calls := make(chan time.Time, 100)
	var n int
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- time.Now()
		n++
		switch n {
		case 1:
			require.Equal(t, "41", r.URL.Query().Get("after"))
			fmt.Fprint(w, `{"seq":43,"whole":false,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"b","class":"slow",`+
				`"block":3,"health":"draining","share":2,"born_ms":5}]}`)
		case 2:
			require.Equal(t, "43", r.URL.Query().Get("after"))
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			<-r.Context().Done()
		}
	}))
	defer discovery.Close()
	news := make(chan node.EndpointList, 10)
	w := NewWatcher(strings.TrimPrefix(discovery.URL, "http://"), names, 41, func(l node.EndpointList) { news <- l }, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	w.Watch()
	first := <-news
	require.Equal(t, node.EndpointList{Kind: standpoint.ListDelta, Endpoints: []node.Endpoint{{Address: "127.0.0.1:1",
		Engine: standpoint.Engine{Name: "s", Zone: 1, Kind: 1, Cell: 3, State: standpoint.Draining, Size: 2, ReadyAt: 5e6}}}}, first)
	require.Less(t, (<-calls).Sub(<-calls).Abs(), 200*time.Millisecond)
	failed := time.Now()
	require.Less(t, (<-calls).Sub(failed), maxPause)
	w.Watch() // once a watch stands, a wish is no second one
	select {
	case <-calls:
		t.Fatal("two calls at once")
	case <-time.After(300 * time.Millisecond):
	}
	require.Empty(t, news)
}

func TestDecodeReportsInvalidEntries(t *testing.T) {
	for entry, says := range map[string]string{
		`{"host":"s-1","dial":"a","health":"ill"}`:                                 `endpoint "s-1": unknown health "ill"`,
		`{"host":"s-1","dial":"a","health":"ready","born_ms":9223372036854775807}`: `endpoint "s-1": born_ms`,
		`{"host":"s-1","dial":"a","health":"ready","share":-1}`:                    `endpoint "s-1": share`,
		`{"host":"s-1","health":"ready"}`:                                          `endpoint "s-1": dial`,
	} {
		_, l, faults, err := Decode([]byte(`{"seq":1,"hosts":[`+entry+`,{"host":"s-2","dial":"b","health":"draining"}]}`), names)
		require.NoError(t, err)
		require.Len(t, faults, 1)
		require.ErrorContains(t, faults[0], says)
		require.Len(t, l.Endpoints, 2, "the other's drain is heard")
		require.Equal(t, standpoint.Draining, l.Endpoints[0].State, "it gets nothing new")
	}
}

// What the keeper wrote is there for the next start, without what has gone.
func TestCachePersistsList(t *testing.T) {
	keys := store.NewMemory()
	k := NewCache(keys, zap.NewNop())
	go k.Run(t.Context())
	entry := func(name string, state standpoint.State) node.Endpoint {
		return node.Endpoint{Engine: standpoint.Engine{Name: name, State: state}}
	}
	k.Store(node.EndpointList{Kind: standpoint.ListFull, Endpoints: []node.Endpoint{entry("a", standpoint.Ready), entry("b", standpoint.Ready)}})
	k.Store(node.EndpointList{Kind: standpoint.ListDelta, Endpoints: []node.Endpoint{entry("a", standpoint.Gone)}})
	require.Eventually(t, func() bool {
		l, ok := NewCache(keys, zap.NewNop()).Load(time.Now())
		return ok && len(l.Endpoints) == 1 && l.Endpoints[0].Name == "b"
	}, time.Second, time.Millisecond)
}

// A move takes the whole list of the new discovery, though the old one's watch is open and its version is higher,
// and though the first call fails; then the new one's watch goes on from its own version.
func TestSwitchFetchesFullList(t *testing.T) {
	old := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer old.Close()
	asked := make(chan string, 100)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		switch len(asked) {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			fmt.Fprint(w, `{"seq":7,"whole":true,"hosts":[{"host":"t","dial":"127.0.0.1:2","health":"ready"}]}`)
		default:
			<-r.Context().Done()
		}
	}))
	defer next.Close()
	news := make(chan node.EndpointList, 10)
	w := NewWatcher(strings.TrimPrefix(old.URL, "http://"), names, 41, func(l node.EndpointList) { news <- l }, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	w.Watch()
	w.SetDiscovery(strings.TrimPrefix(next.URL, "http://"), names)
	l := <-news
	require.Equal(t, standpoint.ListFull, l.Kind)
	require.Equal(t, "t", l.Endpoints[0].Name)
	require.Eventually(t, func() bool { return len(asked) == 3 }, 5*time.Second, time.Millisecond)
	require.Empty(t, <-asked)
	require.Empty(t, <-asked)
	require.Equal(t, "after=7&wait_ms=500", <-asked)
	require.Empty(t, news, "a discovery that was left is not a failed one")
}
