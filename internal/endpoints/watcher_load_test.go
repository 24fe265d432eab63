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

// A discovery handles polls that open a watch one at a time, and rejects polls beyond its queue. All watches of 30
// nodes fall silent at once, and a backend begins to drain. A node that loses its position in the queue would be
// notified of the drain too late: every node must be notified within 6 s.
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
	discovery.SilenceWatches()
	discovery.SetHealth("s", "draining")
	due := time.After(drain.NotificationTimeout)
	for i := range nodes {
		select {
		case <-informed[i]:
		case <-due:
			t.Fatalf("node %d was not notified within %v; polls %v", i, drain.NotificationTimeout, discovery.Outcomes())
		}
	}
	t.Logf("polls %v", discovery.Outcomes())
}

// busyDiscovery handles polls one at a time, and rejects those that have been queued for too long. It is unreachable
// before reachableAt.
type busyDiscovery struct {
	reachableAt  time.Time
	serviceTime  time.Duration // the time to handle a poll
	maxQueueTime time.Duration // the time in the queue after which a poll is rejected

	handlingMu sync.Mutex
	polls      atomic.Int32
	rejected   atomic.Int32
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
	d.handlingMu.Lock()
	defer d.handlingMu.Unlock()
	if time.Since(arrived) > d.maxQueueTime {
		d.rejected.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		time.Sleep(d.serviceTime / 3) // a rejection takes time too
		return
	}
	time.Sleep(d.serviceTime)
	respondDraining(w, 43)
}

// All nodes poll a busy discovery when it becomes reachable again. The nodes that it rejects must not overload it with
// their next polls: each of the 100 nodes has the list within 6 s.
func TestManyNodesShareBusyDiscovery(t *testing.T) {
	t.Parallel()
	const nodes = 100
	discovery := &busyDiscovery{
		reachableAt:  time.Now().Add(time.Second),
		serviceTime:  15 * time.Millisecond,
		maxQueueTime: 200 * time.Millisecond,
	}
	server := serve(t, discovery.ServeHTTP)
	var all sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for range nodes {
		all.Go(func() {
			if !receivesUpdateBy(ctx, server, discovery.reachableAt.Add(6*time.Second)) {
				t.Error("no update within 6 s")
			}
		})
	}
	all.Wait()
	t.Logf("%d polls, %d rejected", discovery.polls.Load(), discovery.rejected.Load())
}

// receivesUpdateBy starts a watcher, which runs until ctx ends, and reports whether it passes on endpoints before a
// deadline.
func receivesUpdateBy(ctx context.Context, discovery *httptest.Server, deadline time.Time) bool {
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
