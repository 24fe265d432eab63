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

// A switch fetches the full list of the new discovery, even if a poll of the old one is in flight, the old version is
// higher, and the first poll of the new one fails. The new watch then continues from the new discovery's version.
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
	require.Empty(t, updates, "there is no notification for the old discovery")
}

// A departure that the old discovery reports during a switch is passed on, and is not reversed by the list of the new
// discovery, which does not contain it yet.
func TestDepartureWrittenDuringSwitchCounts(t *testing.T) {
	t.Parallel()
	switched := make(chan struct{})
	endSwitch := sync.OnceFunc(func() { close(switched) })
	polled := make(chan struct{}, 100)
	old := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		select {
		case polled <- struct{}{}:
		default: // the test reads only the first poll
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
		time.Sleep(100 * time.Millisecond) // respond after the old discovery
		fmt.Fprint(w, `{"seq":7,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","health":"ready"},`+
			`{"host":"t","dial":"127.0.0.1:2","health":"ready"}]}`)
	})
	t.Cleanup(endSwitch) // releases the handlers if the test fails
	w, updates := watchServer(t, old)
	<-polled
	w.SetDiscovery(hostPort(next), names)
	require.Eventually(t, func() bool { return len(w.discoveryChanges) == 0 }, 5*time.Second, time.Millisecond)
	endSwitch()
	list := receive(t, updates)
	for ; list.Kind != standpoint.ListFull; list = receive(t, updates) { // the old discovery may report it repeatedly
		require.Equal(t, states{"s": draining}, statesOf(list))
	}
	require.Equal(t, states{"s": draining, "t": ready}, statesOf(list))
}

// The watch at the old discovery continues while the new one rejects the node, and ends once the new discovery has
// returned its list.
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
	require.Equal(t, states{"s": draining}, statesOf(list), "the new list does not reverse the departure")
	time.Sleep(200 * time.Millisecond) // the last poll of the old discovery ends
	for len(queries) > 0 {
		<-queries
	}
	time.Sleep(200 * time.Millisecond)
	require.Empty(t, queries, "the old discovery is no longer polled")
}
