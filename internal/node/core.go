// Package node is the core of a node. It manages requests, attempts, their outcomes and deadlines around the decision
// module. It knows no wire protocol: fronts submit requests, backends carry attempts, and a watcher supplies the
// endpoint list. Only the Core calls the decision module.
package node

import (
	"container/heap"
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/metrics"
)

const (
	// mailboxSize is the capacity of the mailbox, in messages. Senders block while it is full. The Core never blocks on
	// them, so it always returns to empty the mailbox.
	mailboxSize = 1024
	// maxPendingLists is the maximum number of endpoint lists that wait to be handled; further senders block.
	maxPendingLists = 16
	// healthCountInterval is the minimum time between two counts of the backends that the decision module avoids.
	healthCountInterval = 100 * time.Millisecond
	// idleWait is how long the Core sleeps while no timer is set.
	idleWait = time.Hour
)

// Options are the settings of a Core and the parts of the node that it works with.
type Options struct {
	Settings    standpoint.Settings
	Seed        int64
	MaxRequests int // maximum number of open requests
	Backends    Backends
	Watcher     EndpointWatcher
	Pools       Pools             // nil if there are no pools
	Fleet       Fleet             // nil if this node shares no state with others
	Peers       Peers             // nil drops the decision module's messages to other nodes
	Metrics     *metrics.Counters // nil if nothing is counted
	Log         *zap.Logger
}

// Core runs the decision module. Its methods are safe for concurrent use.
type Core struct {
	Options
	limiter *TenantLimiter
	// clientsResume is Settings.Resume, for other goroutines than that of Run.
	clientsResume atomic.Bool
	stopped       chan struct{}
	mailbox       chan message
	// endpointUpdates is read before the mailbox, so that the removal of a backend does not wait behind other messages.
	endpointUpdates chan EndpointList

	// Only the goroutine of Run uses the fields below.
	router          *standpoint.Router
	requests        map[int64]*Request // by ID; requests that are open or have an attempt in flight
	nextID          int64
	timers          timerHeap
	nextTimerSweep  int // number of timers at which the next sweep is due
	actions         []standpoint.Action
	pendingEvents   []standpoint.Event // events that the decision module has yet to handle
	healthCountedAt int64
	handedBack      bool // all requests have been handed back; new ones are rejected at once
}

// New creates a Core, which Run starts.
func New(options Options) *Core {
	c := &Core{
		Options:         options,
		limiter:         NewTenantLimiter(options.MaxRequests, len(options.Settings.Tenants)),
		stopped:         make(chan struct{}),
		mailbox:         make(chan message, mailboxSize),
		endpointUpdates: make(chan EndpointList, maxPendingLists),
		router:          standpoint.New(options.Settings, options.Seed),
		requests:        map[int64]*Request{},
	}
	c.clientsResume.Store(options.Settings.Resume)
	return c
}

// now returns the decision module's time, in nanoseconds. Steps of the wall clock do not affect it.
func (c *Core) now() int64 { return clock.Now() }

// Expires returns the end of a span that starts at from, in the decision module's time.
func (c *Core) Expires(from time.Time, span time.Duration) int64 {
	return clock.Of(from.Add(span))
}

// ModuleTime converts a time of this process to the decision module's time.
func (c *Core) ModuleTime(at time.Time) int64 { return clock.Of(at) }

// Stopped returns a channel that is closed when Run has returned.
func (c *Core) Stopped() <-chan struct{} { return c.stopped }

// OpenRequests returns the number of requests without a final answer.
func (c *Core) OpenRequests() int { return c.limiter.InUse() }

// Run handles endpoint lists, messages and timers until ctx is done.
func (c *Core) Run(ctx context.Context) {
	defer close(c.stopped)
	alarm := time.NewTimer(idleWait)
	defer alarm.Stop()
	for c.step(ctx, alarm) {
		if now := c.now(); now-c.healthCountedAt >= int64(healthCountInterval) {
			c.healthCountedAt = now
			c.Metrics.SetBackends(c.router.CountEngines())
		}
	}
}

// step waits for and handles one list, message or timer, lists first. It returns false if ctx is done.
func (c *Core) step(ctx context.Context, alarm *time.Timer) bool {
	select {
	case list := <-c.endpointUpdates:
		c.applyEndpoints(list)
		return true
	default:
	}
	alarm.Reset(c.untilNextTimer())
	select {
	case <-ctx.Done():
		return false
	case list := <-c.endpointUpdates:
		c.applyEndpoints(list)
	case m := <-c.mailbox:
		c.receive(m)
	case <-alarm.C:
		c.fireTimer()
	}
	return true
}

// untilNextTimer returns the time until the next timer is due; idleWait if none is set.
func (c *Core) untilNextTimer() time.Duration {
	if len(c.timers) == 0 {
		return idleWait
	}
	return max(0, time.Duration(c.timers[0].due-c.now()))
}

// fireTimer passes the next timer to the decision module if it is due.
func (c *Core) fireTimer() {
	if len(c.timers) == 0 || c.timers[0].due > c.now() {
		return
	}
	due := heap.Pop(&c.timers).(timer)
	c.decide(&standpoint.TimerFired{Token: due.token})
}

// applyEndpoints applies an endpoint list. The Backends get it first, so that no attempt that was decided on earlier
// starts at a draining backend.
func (c *Core) applyEndpoints(list EndpointList) {
	c.Backends.Update(list)
	if c.Pools != nil {
		for i := range list.Endpoints {
			list.Endpoints[i].Pool = c.Pools.Place(&list.Endpoints[i])
		}
		c.Pools.UpdateEndpoints(list)
	}
	if c.Fleet != nil {
		c.Fleet.UpdateEndpoints(list)
	}
	update := &standpoint.EngineList{Kind: list.Kind}
	for _, endpoint := range list.Endpoints {
		update.Engines = append(update.Engines, endpoint.Engine)
	}
	c.decide(update)
}
