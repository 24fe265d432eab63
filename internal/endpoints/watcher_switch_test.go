package endpoints

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"standpoint"
	"standpoint/internal/handover"
	"standpoint/internal/node"
	"standpoint/internal/testpeer/drain"
)

// watching starts a watcher of a discovery.
func watching(t *testing.T, discovery *httptest.Server) (*Watcher, chan node.EndpointList) {
	news := make(chan node.EndpointList, 100)
	w := NewWatcher(strings.TrimPrefix(discovery.URL, "http://"), names, 41, func(l node.EndpointList) { news <- l }, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go w.Run(ctx)
	w.Watch()
	return w, news
}

// What a discovery writes as the node moves to another counts as told, and the other's list, which does not know of
// it yet, does not take it back.
func TestDepartureWrittenDuringSwitchCounts(t *testing.T) {
	t.Parallel()
	moved, asked := make(chan struct{}), make(chan struct{}, 100)
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select { // on a fast machine it is asked more often than anybody looks
		case asked <- struct{}{}:
		default:
		}
		<-moved
		fmt.Fprintf(w, drainAt, 42)
	}))
	t.Cleanup(old.Close)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		<-moved
		time.Sleep(100 * time.Millisecond) // behind the old one's last word
		fmt.Fprint(w, `{"seq":7,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","health":"ready"},{"host":"t","dial":"127.0.0.1:2","health":"ready"}]}`)
	}))
	t.Cleanup(func() { next.CloseClientConnections(); next.Close() })
	w, news := watching(t, old)
	<-asked
	w.SetDiscovery(strings.TrimPrefix(next.URL, "http://"), names)
	require.Eventually(t, func() bool { return len(w.discoveryChanges) == 0 }, 5*time.Second, time.Millisecond)
	close(moved)
	l := <-news
	for ; l.Kind != standpoint.ListFull; l = <-news { // as often as the old one says it
		require.Equal(t, map[string]standpoint.State{"s": standpoint.Draining}, statesOf(l))
	}
	require.Equal(t, map[string]standpoint.State{"s": standpoint.Draining, "t": standpoint.Ready}, statesOf(l))
}

// The watch at the discovery that was left goes on while the new one turns the node away, and leaves off once that
// has told its list.
func TestOldWatchContinuesUntilSwitchIsDone(t *testing.T) {
	t.Parallel()
	var calls atomic.Int32
	asked := make(chan string, 100)
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		time.Sleep(50 * time.Millisecond)
		switch n := calls.Add(1); n {
		case 4: // behind the move
			fmt.Fprintf(w, drainAt, 42)
		default:
			fmt.Fprintf(w, `{"seq":%s,"whole":false,"hosts":[]}`, r.URL.Query().Get("after"))
		}
	}))
	t.Cleanup(old.Close)
	var open atomic.Bool
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !open.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.RawQuery == "":
			fmt.Fprint(w, `{"seq":7,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","health":"ready"}]}`)
		default:
			<-r.Context().Done()
		}
	}))
	t.Cleanup(func() { next.CloseClientConnections(); next.Close() })
	w, news := watching(t, old)
	<-asked
	w.SetDiscovery(strings.TrimPrefix(next.URL, "http://"), names)
	for states := map[string]standpoint.State{}; states["s"] != standpoint.Draining; states = statesOf(<-news) {
	}
	open.Store(true)
	var l node.EndpointList
	for l = <-news; l.Kind != standpoint.ListFull; l = <-news {
	}
	require.Equal(t, map[string]standpoint.State{"s": standpoint.Draining}, statesOf(l), "the new one does not know yet")
	time.Sleep(200 * time.Millisecond) // the last call there ends
	for len(asked) > 0 {
		<-asked
	}
	time.Sleep(200 * time.Millisecond)
	require.Empty(t, asked, "nobody asks the old one any more")
}

// An answer that comes once its call was given up is taken, though the calls behind it bring nothing.
func TestLateResponseIsUsed(t *testing.T) {
	t.Parallel()
	_, news, _ := watched(t, 0, func(call int, w http.ResponseWriter, r *http.Request) {
		if call > 1 {
			<-r.Context().Done()
			return
		}
		time.Sleep(openSlack + 400*time.Millisecond)
		fmt.Fprintf(w, drainAt, 42)
	})
	require.Equal(t, map[string]standpoint.State{"s": standpoint.Draining}, statesOf(<-news))
}

// A few dozen nodes before a discovery that handles what opens a watch in turn, and turns away whoever finds the line
// full. All watches fall silent at once, and a server begins to drain: every node hears of it within 6 s.
func TestNodesKeepTheirPositionInTheQueue(t *testing.T) {
	t.Parallel()
	const nodes = 30
	record := drain.NewRecord(t.Context().Done())
	d := drain.NewDiscovery(t, record, 41, []drain.Host{{Host: "s", Dial: "127.0.0.1:1", Health: "ready", Share: 1}})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	heard := make([]chan struct{}, nodes)
	for i := range nodes {
		heard[i] = make(chan struct{})
		once := sync.OnceFunc(func() { close(heard[i]) })
		w := NewWatcher(d.Listen(fmt.Sprint("n", i)), names, 41, func(l node.EndpointList) {
			if statesOf(l)["s"] == standpoint.Draining {
				once()
			}
		}, zap.NewNop())
		go w.Run(ctx)
		w.Watch()
	}
	time.Sleep(time.Second) // all watches stand
	d.Handle(drain.Line{Each: 120 * time.Millisecond, Refused: 10 * time.Millisecond, Most: 20})
	d.Forget()
	d.Set("s", "draining")
	due := time.After(drain.Due)
	for i := range nodes {
		select {
		case <-heard[i]:
		case <-due:
			t.Fatalf("node %d has not heard within %v; calls %v", i, drain.Due, d.Counts())
		}
	}
	t.Logf("calls %v", d.Counts())
}

// An entry that cannot be read costs itself alone, whatever stands in its place; of one that is listed twice the
// departure counts.
func TestDecodeIsolatesUnreadableEntries(t *testing.T) {
	t.Parallel()
	for _, bad := range []string{
		`{"host":"bad","dial":"a","health":"ready","share":"much"}`, `{"host":"bad","dial":"a","health":"ready","born_ms":1.5}`,
		`{"host":"bad","dial":["a"],"health":"ready"}`, `{"host":"bad","dial":"a","health":{"is":"ready"}}`,
		`{"host":"bad","dial":"a","health":"ready","born_ms":99999999999999999999}`,
	} {
		_, l, faults, err := Decode([]byte(`{"seq":1,"whole":true,"hosts":[`+bad+`,{"host":"s","dial":"b","health":"draining"},{"host":"t","dial":"c","health":"ready"}]}`), names)
		require.NoError(t, err, bad)
		require.Len(t, faults, 1, bad)
		require.ErrorContains(t, faults[0], `"bad"`)
		require.Equal(t, map[string]standpoint.State{"bad": standpoint.Draining, "s": standpoint.Draining, "t": standpoint.Ready}, statesOf(l), bad)
	}
	for _, nameless := range []string{`7`, `null`, `"s"`, `{"host":7,"health":"ready"}`, `[]`} {
		_, l, faults, err := Decode([]byte(`{"seq":1,"hosts":[`+nameless+`,{"host":"s","dial":"b","health":"gone"}]}`), names)
		require.NoError(t, err, nameless)
		require.Len(t, faults, 1, nameless)
		require.Equal(t, map[string]standpoint.State{"s": standpoint.Gone}, statesOf(l), nameless)
	}
	for _, twice := range []string{`"draining"},{"host":"s","dial":"b","health":"ready"`, `"ready"},{"host":"s","dial":"b","health":"draining"`} {
		_, l, faults, err := Decode([]byte(`{"seq":1,"hosts":[{"host":"s","dial":"b","health":`+twice+`}]}`), names)
		require.NoError(t, err)
		require.Len(t, faults, 1)
		require.Equal(t, map[string]standpoint.State{"s": standpoint.Draining}, statesOf(l))
		require.Len(t, l.Endpoints, 1)
	}
}

// The process beside this one holds the lock of the file that they share, and does not let go: lists are told all the
// same, and what staff say here holds here at once.
func TestOverridesPassListsOnWhileSharedFileIsLocked(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	share, err := handover.Open(dir, "n")
	require.NoError(t, err)
	t.Cleanup(func() { _ = share.Close() })
	told := make(chan node.EndpointList, 10)
	b := NewOverrides(NewCache(nil, zap.NewNop()), func(l node.EndpointList) { told <- l }, share, zap.NewNop())
	b.Update(whole(endpoint("s", standpoint.Ready, 0), endpoint("t", standpoint.Ready, 0)))
	<-told
	require.NoError(t, b.Enable("s")) // makes the file of the lock
	locks, err := filepath.Glob(filepath.Join(dir, "*.lock"))
	require.NoError(t, err)
	require.Len(t, locks, 1)
	lock, err := os.Open(locks[0])
	require.NoError(t, err)
	defer func() { _ = lock.Close() }()
	require.NoError(t, unix.Flock(int(lock.Fd()), unix.LOCK_EX))
	done := make(chan error, 1)
	go func() { done <- b.Disable("t") }()
	require.Equal(t, map[string]standpoint.State{"t": standpoint.Draining}, statesOf(<-told))
	b.Sync()
	b.Update(changes(endpoint("s", standpoint.Draining, 0)))
	require.Equal(t, map[string]standpoint.State{"s": standpoint.Draining}, statesOf(<-told))
	require.Empty(t, done)
	require.NoError(t, unix.Flock(int(lock.Fd()), unix.LOCK_UN))
	require.NoError(t, <-done)
}
