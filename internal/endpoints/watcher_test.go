package endpoints

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint"
	"standpoint/internal/node"
)

// The next poll follows within 200 ms of each response. After a failed poll the watch is opened again after a short
// pause, without a notification and without a further call of Watch.
func TestWatcherPollsAgainWithoutDelay(t *testing.T) {
	polls := make(chan time.Time, 100)
	var count atomic.Int32
	discovery := serve(t, func(w http.ResponseWriter, r *http.Request) {
		polls <- time.Now()
		switch count.Add(1) {
		case 1:
			require.Equal(t, "41", r.URL.Query().Get("after"))
			fmt.Fprint(w, `{"seq":43,"whole":false,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"b",`+
				`"class":"slow","block":3,"health":"draining","share":2,"born_ms":5}]}`)
		case 2:
			require.Equal(t, "43", r.URL.Query().Get("after"))
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			respondNothing(w, r)
		}
	})
	w, updates := watchServer(t, discovery)
	require.Equal(t, deltaList(node.Endpoint{
		Address: "127.0.0.1:1",
		Engine:  standpoint.Engine{Name: "s", Zone: 1, Kind: 1, Cell: 3, State: draining, Size: 2, StartedAt: 5e6},
	}), receive(t, updates))
	require.Less(t, (<-polls).Sub(<-polls).Abs(), 200*time.Millisecond)
	failed := time.Now()
	require.Less(t, (<-polls).Sub(failed), maxPause)
	w.Watch() // no effect, as there is a watch
	select {
	case <-polls:
		t.Fatal("two polls at once")
	case <-time.After(300 * time.Millisecond):
	}
	require.Empty(t, updates)
}

// If lists are pushed, the watch begins without a call of Watch, and is opened again after failures.
func TestWatcherOfPushedListsNeedsNoRequest(t *testing.T) {
	t.Parallel()
	updates, queries := watchScript(t, 100*time.Millisecond, func(poll int, w http.ResponseWriter, r *http.Request) {
		switch poll {
		case 1, 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			respondDraining(w, 43)
		default:
			respondNothing(w, r)
		}
	})
	require.Equal(t, "s", receive(t, updates).Endpoints[0].Name, "failed polls cause no update")
	require.GreaterOrEqual(t, len(queries), 3)
}

// If discovery's versions restart, its changes belong to another list, so the full list is fetched. Departures in such
// a change are passed on.
func TestWatcherFetchesFullListWhenVersionsRestart(t *testing.T) {
	t.Parallel()
	updates, _ := watchScript(t, 0, func(poll int, w http.ResponseWriter, r *http.Request) {
		switch {
		case poll == 1:
			respondDraining(w, 3)
		case r.URL.RawQuery == "":
			fmt.Fprint(w, `{"seq":4,"whole":true,"hosts":[{"host":"t","dial":"127.0.0.1:2","health":"ready"}]}`)
		default:
			respondNothing(w, r)
		}
	})
	list := receive(t, updates)
	require.Equal(t, deltaList(list.Endpoints...), list)
	require.Equal(t, draining, list.Endpoints[0].State, "a departure is passed on, whatever the version")
	list = receive(t, updates)
	require.Equal(t, standpoint.ListFull, list.Kind)
	require.Equal(t, "t", list.Endpoints[0].Name)
}

// Surplus bytes that discovery sends after a response are not taken for the response to the next poll.
func TestWatcherIgnoresSurplusResponse(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{})
	updates, _ := watchScript(t, 0, func(poll int, w http.ResponseWriter, r *http.Request) {
		if poll == 2 {
			fmt.Fprint(w, `{"seq":44,"whole":false,"hosts":[{"host":"t","dial":"127.0.0.1:2","health":"ready"}]}`)
			return
		}
		if poll > 2 {
			respondNothing(w, r)
			return
		}
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		body := drainingDelta(42)
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		fmt.Fprint(connection, response+response)
		<-ended
	})
	t.Cleanup(func() { close(ended) })
	require.Equal(t, "s", receive(t, updates).Endpoints[0].Name)
	require.Equal(t, "t", receive(t, updates).Endpoints[0].Name, "the second poll's own response")
}

// A response that arrives after its poll has timed out is used, even if the later polls get no response.
func TestLateResponseIsUsed(t *testing.T) {
	t.Parallel()
	updates, _ := watchScript(t, 0, func(poll int, w http.ResponseWriter, r *http.Request) {
		if poll > 1 {
			respondNothing(w, r)
			return
		}
		time.Sleep(openSlack + 400*time.Millisecond)
		respondDraining(w, 42)
	})
	require.Equal(t, states{"s": draining}, statesOf(receive(t, updates)))
}
