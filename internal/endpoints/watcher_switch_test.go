package endpoints

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint"
)

// A switch fetches the full list of the new discovery, although the old one's watch is open and its version is higher,
// and although the first poll fails; then the new one's watch continues from its own version.
func TestSwitchFetchesFullList(t *testing.T) {
	old := serve(t, respondNothing)
	queries := make(chan string, 100)
	next := serve(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		switch len(queries) {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			fmt.Fprint(w, `{"seq":7,"whole":true,"hosts":[{"host":"t","dial":"127.0.0.1:2","health":"ready"}]}`)
		default:
			respondNothing(w, r)
		}
	})
	w, updates := watchServer(t, old)
	w.SetDiscovery(hostPort(next), names)
	list := receive(t, updates)
	require.Equal(t, standpoint.ListFull, list.Kind)
	require.Equal(t, "t", list.Endpoints[0].Name)
	require.Eventually(t, func() bool { return len(queries) == 3 }, 5*time.Second, time.Millisecond)
	require.Empty(t, <-queries)
	require.Empty(t, <-queries)
	require.Equal(t, "after=7&wait_ms=500", <-queries)
	require.Empty(t, updates, "a discovery that the node has left is not a failed one")
}

// A departure that a discovery writes while the node switches to another counts, and the other's list, which does not
// have it yet, does not undo it.
func TestDepartureWrittenDuringSwitchCounts(t *testing.T) {
	t.Parallel()
	switched := make(chan struct{})
	endSwitch := sync.OnceFunc(func() { close(switched) })
	polled := make(chan struct{}, 100)
	old := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		select {
		case polled <- struct{}{}:
		default: // a fast machine polls more often than the test reads
		}
		<-switched
		respondDraining(w, 42)
	})
	next := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			respondNothing(w, r)
			return
		}
		<-switched
		time.Sleep(100 * time.Millisecond) // after the old one's last response
		fmt.Fprint(w, `{"seq":7,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","health":"ready"},`+
			`{"host":"t","dial":"127.0.0.1:2","health":"ready"}]}`)
	})
	t.Cleanup(endSwitch) // handlers wait for it
	w, updates := watchServer(t, old)
	<-polled
	w.SetDiscovery(hostPort(next), names)
	require.Eventually(t, func() bool { return len(w.discoveryChanges) == 0 }, 5*time.Second, time.Millisecond)
	endSwitch()
	list := receive(t, updates)
	for ; list.Kind != standpoint.ListFull; list = receive(t, updates) { // as often as the old one reports it
		require.Equal(t, states{"s": draining}, statesOf(list))
	}
	require.Equal(t, states{"s": draining, "t": ready}, statesOf(list))
}

// The watch at the old discovery continues while the new one rejects the node, and ends once that has returned its
// list.
func TestOldWatchContinuesUntilSwitchIsDone(t *testing.T) {
	t.Parallel()
	var polls atomic.Int32
	queries := make(chan string, 100)
	old := serve(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		time.Sleep(50 * time.Millisecond)
		switch polls.Add(1) {
		case 4: // after the switch
			respondDraining(w, 42)
		default:
			fmt.Fprintf(w, `{"seq":%s,"whole":false,"hosts":[]}`, r.URL.Query().Get("after"))
		}
	})
	var admits atomic.Bool
	next := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !admits.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.RawQuery == "":
			fmt.Fprint(w, `{"seq":7,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","health":"ready"}]}`)
		default:
			respondNothing(w, r)
		}
	})
	w, updates := watchServer(t, old)
	<-queries
	w.SetDiscovery(hostPort(next), names)
	for reported := (states{}); reported["s"] != draining; reported = statesOf(receive(t, updates)) {
	}
	admits.Store(true)
	list := receive(t, updates)
	for list.Kind != standpoint.ListFull {
		list = receive(t, updates)
	}
	require.Equal(t, states{"s": draining}, statesOf(list), "the new one does not have it yet")
	time.Sleep(200 * time.Millisecond) // the last poll there ends
	for len(queries) > 0 {
		<-queries
	}
	time.Sleep(200 * time.Millisecond)
	require.Empty(t, queries, "nobody polls the old one any more")
}
