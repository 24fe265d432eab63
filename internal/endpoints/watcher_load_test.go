package endpoints

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/node"
	"standpoint/internal/testpeer/drain"
)

// A few dozen nodes at a discovery that handles the polls which open a watch one after the other, and rejects whoever
// finds the queue full. All watches fall silent at once, and a backend begins to drain: every node knows within 6 s.
func TestNodesKeepTheirPositionInTheQueue(t *testing.T) {
	t.Parallel()
	const nodes = 30
	record := drain.NewRecord(t.Context().Done())
	discovery := drain.NewDiscovery(t, record, firstVersion,
		[]drain.Host{{Host: "s", Dial: "127.0.0.1:1", Health: "ready", Share: 1}})
	informed := make([]chan struct{}, nodes)
	for i := range nodes {
		informed[i] = make(chan struct{})
		once := sync.OnceFunc(func() { close(informed[i]) })
		notify := func(list node.EndpointList) {
			if statesOf(list)["s"] == draining {
				once()
			}
		}
		w := NewWatcher(discovery.Listen(fmt.Sprint("n", i)), names, firstVersion, notify, zap.NewNop())
		runUntilEnd(t, w.Run)
		w.Watch()
	}
	time.Sleep(time.Second) // all watches are established
	discovery.SetQueue(
		drain.Queue{ServiceTime: 120 * time.Millisecond, RejectionTime: 10 * time.Millisecond, Maximum: 20},
	)
	discovery.Forget()
	discovery.Set("s", "draining")
	due := time.After(drain.Due)
	for i := range nodes {
		select {
		case <-informed[i]:
		case <-due:
			t.Fatalf("node %d does not know within %v; polls %v", i, drain.Due, discovery.Counts())
		}
	}
	t.Logf("polls %v", discovery.Counts())
}

// busyDiscovery handles polls one after the other, and rejects those that have waited too long. It cannot be reached
// before reachableAt.
type busyDiscovery struct {
	reachableAt time.Time
	perPoll     time.Duration
	maxWait     time.Duration

	handling sync.Mutex
	polls    atomic.Int32
	rejected atomic.Int32
}

func (d *busyDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.polls.Add(1)
	arrived := time.Now()
	if arrived.Before(d.reachableAt) {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Query().Get("after") == "43" { // the watch of a node that has the change
		respondNothing(w, r)
		return
	}
	d.handling.Lock()
	defer d.handling.Unlock()
	if time.Since(arrived) > d.maxWait {
		d.rejected.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		time.Sleep(d.perPoll / 3) // to reject is work too
		return
	}
	time.Sleep(d.perPoll)
	respondDraining(w, 43)
}

// A busy discovery comes back after all nodes have lost it: the nodes that it rejects do not keep it busy with their
// next polls, and every one has the list within 6 s.
func TestManyNodesShareBusyDiscovery(t *testing.T) {
	t.Parallel()
	const nodes = 100
	discovery := &busyDiscovery{
		reachableAt: time.Now().Add(time.Second),
		perPoll:     15 * time.Millisecond,
		maxWait:     200 * time.Millisecond,
	}
	server := serve(t, discovery.ServeHTTP)
	var all sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for range nodes {
		all.Go(func() {
			if !learns(ctx, server, discovery.reachableAt.Add(6*time.Second)) {
				t.Error("no update within 6 s")
			}
		})
	}
	all.Wait()
	t.Logf("%d polls, %d rejected", discovery.polls.Load(), discovery.rejected.Load())
}

// learns starts a node, and reports whether it has an update in time. The node goes on until ctx ends.
func learns(ctx context.Context, discovery *httptest.Server, deadline time.Time) bool {
	informed := make(chan struct{})
	once := sync.OnceFunc(func() { close(informed) })
	notify := func(list node.EndpointList) {
		if len(list.Endpoints) > 0 {
			once()
		}
	}
	w := NewWatcher(hostPort(discovery), names, firstVersion, notify, zap.NewNop())
	go w.Run(ctx)
	w.Watch()
	select {
	case <-informed:
		return true
	case <-time.After(time.Until(deadline)):
		return false
	}
}
