// Package node is the core of a node: requests, attempts, their outcomes and deadlines, around the decision module.
// It knows no wire protocol. Fronts submit requests, backends carry attempts, and a watcher brings the endpoint list;
// the Core owns the decision module and is the only one to call it.
package node

import (
	"container/heap"
	"context"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/metrics"
)

const (
	// mailboxSize bounds the mailbox. Senders wait for room in it; the Core itself never waits for anybody, so it
	// always comes back to empty it.
	mailboxSize = 1024
	// maxPendingLists is how many endpoint lists may wait.
	maxPendingLists = 16
	// healthCountInterval is the pause between two counts of the backends that the module avoids.
	healthCountInterval = 100 * time.Millisecond
	// idleWait is how long the Core sleeps if there is no timer.
	idleWait = time.Hour
)

// Options are the settings of a Core and the parts of the node that it works with.
type Options struct {
	Settings    standpoint.Settings
	Seed        int64
	MaxRequests int // open at once
	Backends    Backends
	Watcher     EndpointWatcher
	Pools       Pools             // nil: there are no pools
	Fleet       Fleet             // nil: this node shares nothing
	Peers       Peers             // nil: the module's messages to other nodes are dropped
	Metrics     *metrics.Counters // nil: nothing is counted
	Log         *zap.Logger
}

// Core runs the decision module. Its methods are safe for concurrent use.
type Core struct {
	Options
	limiter *TenantLimiter
	stopped chan struct{}
	mailbox chan message
	// endpointUpdates are taken before the mailbox: the departure of a backend must not wait behind ordinary work.
	endpointUpdates chan EndpointList

	// The rest belongs to the goroutine of Run.
	router          *standpoint.Router
	requests        map[int64]*Request // by ID: those that are open, or have an attempt in flight
	nextID          int64
	timers          timerHeap
	timerSweepAt    int // number of timers from which the expired ones are looked for
	actions         []standpoint.Action
	pending         []standpoint.Event // that the Core itself owes the module
	healthCountedAt int64
	handedBack      bool // all requests have been handed back: what still arrives is rejected at once
}

// New creates a Core; Run starts it.
func New(options Options) *Core {
	return &Core{
		Options:         options,
		limiter:         NewTenantLimiter(options.MaxRequests, len(options.Settings.Tenants)),
		stopped:         make(chan struct{}),
		mailbox:         make(chan message, mailboxSize),
		endpointUpdates: make(chan EndpointList, maxPendingLists),
		router:          standpoint.New(options.Settings, options.Seed),
		requests:        map[int64]*Request{},
	}
}

// clock is the module's time. A step of the wall clock does not change it.
func (c *Core) clock() int64 { return clock.Now() }

// Expires converts the end of a span that began at from to the module's time.
func (c *Core) Expires(from time.Time, span time.Duration) int64 {
	return clock.Of(from.Add(span))
}

// ExpiresAt converts a time of this process to the module's time.
func (c *Core) ExpiresAt(at time.Time) int64 { return clock.Of(at) }

// Stopped is closed when Run has returned.
func (c *Core) Stopped() <-chan struct{} { return c.stopped }

// OpenRequests is the number of requests that wait for their answer.
func (c *Core) OpenRequests() int { return c.limiter.InUse() }

// Run handles endpoint lists, messages and timers until ctx ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.stopped)
	alarm := time.NewTimer(idleWait)
	defer alarm.Stop()
	for c.step(ctx, alarm) {
		if now := c.clock(); now-c.healthCountedAt >= int64(healthCountInterval) {
			c.healthCountedAt = now
			c.Metrics.SetBackends(c.router.CountEngines())
		}
	}
}

// step handles one list, message or timer, or waits for one; lists go first. It is false if ctx has ended.
func (c *Core) step(ctx context.Context, alarm *time.Timer) bool {
	select {
	case list := <-c.endpointUpdates:
		c.applyEndpoints(list)
		return true
	default:
	}
	alarm.Reset(c.nextTimer())
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

// nextTimer is how long it is until the next timer.
func (c *Core) nextTimer() time.Duration {
	if len(c.timers) == 0 {
		return idleWait
	}
	return max(0, time.Duration(c.timers[0].at-c.clock()))
}

// fireTimer hands the module the next timer, if its time has come.
func (c *Core) fireTimer() {
	if len(c.timers) == 0 || c.timers[0].at > c.clock() {
		return
	}
	due := heap.Pop(&c.timers).(timer)
	c.decide(&standpoint.TimerFired{Token: due.token})
}

// applyEndpoints takes an endpoint list in. The backends get it first: no attempt that was decided before begins at a
// backend that drains.
func (c *Core) applyEndpoints(list EndpointList) {
	c.Backends.Update(list)
	if c.Pools != nil {
		for i := range list.Endpoints {
			list.Endpoints[i].Pool = c.Pools.Place(&list.Endpoints[i])
		}
		c.Pools.Listed(list)
	}
	if c.Fleet != nil {
		c.Fleet.Listed(list)
	}
	update := &standpoint.EngineList{Kind: list.Kind}
	for _, endpoint := range list.Endpoints {
		update.Engines = append(update.Engines, endpoint.Engine)
	}
	c.decide(update)
}
