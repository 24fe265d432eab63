// Package node is the core: requests, attempts, outcomes and deadlines round the decision module. It knows no
// wire. Fronts bring requests, backends' actors carry attempts, the actor of the endpoints brings
// the list; the module's actor is here, and it alone touches the module.
package node

import (
	"container/heap"
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/metrics"
)

// Endpoint is one line of discovery's list: the module's engine and where this node reaches it.
type Endpoint struct {
	standpoint.Engine
	Address string
	Batch   bool              // takes files of requests, not streams
	Labels  map[string]string // what the source tells besides; nil: nothing
	Source  string            // which source of several told it; "" where there is one
}

// EndpointList is news of the endpoints.
type EndpointList struct {
	Kind      standpoint.ListKind
	Endpoints []Endpoint
}

// Backends carries attempts. Neither call may block on a peer.
type Backends interface {
	Update(EndpointList)
	Send(*Attempt) bool // false: not taken, nothing was sent
}

// EndpointWatcher is the actor of the endpoints. Watch must not block.
type EndpointWatcher interface{ Watch() }

// Pools say where requests belong, and hear what came of them. The core calls them from the module's actor alone; no
// call may wait.
type Pools interface {
	// Place says which pool an entry is in, from its labels: 0 for none.
	Place(e *Endpoint) int
	// Listed tells of the entries as the module has them now.
	Listed(l EndpointList)
	// Assign says to which pool a request belongs: 0 for any.
	Assign(r *standpoint.Request) int
	// Sent tells of an attempt.
	Sent(r *standpoint.Request, server string, leg int)
	// Finished tells how an attempt ended.
	Finished(o Observation)
	// Rejected tells that a request was rejected or failed by the module.
	Rejected(r *standpoint.Request)
}

// Fleet is what the nodes of an installation share, as the core needs it. Admit and Settle are called by whoever serves a
// request, the others by the module's actor; none may wait for a peer.
type Fleet interface {
	// Admit takes what a request may cost at the most from the budgets that it counts against. False: there is not enough, and
	// the client should come back after the wait.
	Admit(r *standpoint.Request) (Charge, time.Duration, bool)
	// Settle tells what became of a request that was admitted.
	Settle(r *standpoint.Request, c Charge, a Answer)
	// Again tells whether a further attempt may be made.
	Again() bool
	// Ended tells how an attempt ended.
	Ended(o Observation)
	// Listed tells of the entries as the module has them now.
	Listed(l EndpointList)
}

// Peers carries the module's messages to the other nodes of its tier. Tell must not wait.
type Peers interface {
	Send(to int, data string)
}

// Charge is what a request was admitted for: an amount of a budget in one of its windows. Budget -1: it counts against none.
// Fresh, if not 0, are the tokens of its prompt that nobody has been charged for.
type Charge struct {
	Budget         int
	Window         int64
	Amount         int64
	UncachedTokens float64
}

// Observation is the end of an attempt as the core saw it.
type Observation struct {
	Request           *standpoint.Request
	Backend           string
	Sent              time.Time
	Result            Result
	FirstToken        time.Duration // from the request's arrival to its first event; 0: there was none
	AttemptFirstToken time.Duration // likewise from the attempt's sending
	Decode            time.Duration // from the first event to the last; 0: its client was slow to take it
	Inconclusive      bool          // given up or failed by this node, or its client: it says nothing of the server
}

// ErrBusy is returned for a request beyond what the node, or the request's tenant, may hold at once.
var ErrBusy = errors.New("too many requests at once")

// mailboxSize bounds the module's mailbox. Those who post wait for room; the module's actor itself only
// ever hands on without waiting, so it always comes back to empty it.
const mailboxSize = 1024

// maxPendingLists is how many lists may wait for the module's actor.
const maxPendingLists = 16

// timerSweepMinimum is how many timers there may be before those are looked for that nothing waits for any more.
const timerSweepMinimum = 1024

// healthCountInterval is the pause between two looks at how many backends the module avoids.
const healthCountInterval = 100 * time.Millisecond

// handBackRetryAfter is when a client should come again whose request was handed back; by then it finds another node.
const handBackRetryAfter = 300 * time.Millisecond

// Options are a core's settings and neighbours.
type Options struct {
	Settings    standpoint.Settings
	Seed        int64
	MaxRequests int
	Backends    Backends
	Watcher     EndpointWatcher
	Pools       Pools             // nil: none
	Fleet       Fleet             // nil: this node shares nothing
	Peers       Peers             // nil: the module's messages to other nodes go nowhere
	Metrics     *metrics.Counters // nil: none
	Log         *zap.Logger
}

// Core is the module's actor.
type Core struct {
	Options
	router          *standpoint.Router
	endpointUpdates chan EndpointList // goes before the mailbox: a server's departure must not stand behind ordinary work
	mailbox         chan any
	stopped         chan struct{}
	requests        map[int64]*Request
	timers          timerHeap
	timerSweepAt    int // timers from which those are dropped that nothing waits for
	actions         []standpoint.Action
	pending         []standpoint.Event // events the core itself owes the module
	nextID          int64
	limiter         *TenantLimiter
	healthCountedAt int64 // when the backends were last counted
	handedBack      bool  // all has been handed back: what still comes is rejected at once
}

// Messages of the mailbox.
type (
	updateSettings struct{ settings standpoint.Settings }
	adoptRequest   struct{ request *Request }
	updateAdvice   struct{ advice *standpoint.Advice }
	exportLearned  struct{ reply chan<- *standpoint.Learned }
	peerMessage    struct {
		from int
		data string
	}
	importLearned struct {
		learned *standpoint.Learned
		reply   chan<- error
	}
	handBackRequests   struct{ all bool }
	submitRequest      struct{ request *Request }
	clientDisconnected struct{ request *Request }
	firstEventReceived struct {
		attempt *Attempt
		elapsed time.Duration
	}
	attemptFinished struct {
		attempt *Attempt
		result  Result
		elapsed time.Duration
	}
)

func (m attemptFinished) observation() Observation {
	f := m.attempt.Request
	o := Observation{Request: &f.Spec, Backend: m.attempt.Backend, Sent: m.attempt.Sent, Result: m.result, Inconclusive: m.result.Code == standpoint.Cancelled || m.result.Local}
	if m.attempt.first > 0 {
		o.FirstToken, o.AttemptFirstToken = m.attempt.Sent.Add(m.attempt.first).Sub(f.arrived), m.attempt.first
		if m.result.ClientStall == 0 {
			o.Decode = m.elapsed - m.attempt.first
		}
	}
	return o
}

// New makes a core; Run starts it.
func New(o Options) *Core {
	c := &Core{Options: o, router: standpoint.New(o.Settings, o.Seed), endpointUpdates: make(chan EndpointList, maxPendingLists),
		mailbox: make(chan any, mailboxSize), stopped: make(chan struct{}), requests: map[int64]*Request{}}
	c.limiter = NewTenantLimiter(o.MaxRequests, len(o.Settings.Tenants))
	return c
}

// clock is the module's time. A step of the wall clock does not move it.
func (c *Core) clock() int64 { return clock.Now() }

// Expires turns a span that began at from into the module's time.
func (c *Core) Expires(from time.Time, span time.Duration) int64 {
	return clock.Of(from.Add(span))
}

// ExpiresAt turns a moment into the module's time.
func (c *Core) ExpiresAt(at time.Time) int64 { return clock.Of(at) }

func (c *Core) post(m any) {
	select {
	case c.mailbox <- m:
	case <-c.stopped:
	}
}

// UpdateEndpoints hands a change of the endpoints to the module, before whatever else waits for it.
func (c *Core) UpdateEndpoints(l EndpointList) {
	select {
	case c.endpointUpdates <- l:
	case <-c.stopped:
	}
}

// Adjust takes on new settings. Requests that are open keep the deadlines that they came with.
func (c *Core) Adjust(settings standpoint.Settings, maxFlows int) {
	c.limiter.SetCapacity(maxFlows, len(settings.Tenants))
	c.post(updateSettings{settings})
}

// Advise has the module weigh what other nodes have seen of the backends.
func (c *Core) Advise(a *standpoint.Advice) { c.post(updateAdvice{a}) }

// ReceivePeerMessage takes a message of another node's module. Where the mailbox is full it is lost, as on the way.
func (c *Core) ReceivePeerMessage(from int, data string) {
	select {
	case c.mailbox <- peerMessage{from, data}:
	default:
	}
}

// ExportLearned is a copy of what the module has learned; nil if it is not to be had before ctx ends.
func (c *Core) ExportLearned(ctx context.Context) *standpoint.Learned {
	to := make(chan *standpoint.Learned, 1)
	c.post(exportLearned{to})
	select {
	case l := <-to:
		return l
	case <-ctx.Done():
		return nil
	}
}

// ImportLearned has the module take what another process of this node learned.
func (c *Core) ImportLearned(ctx context.Context, l *standpoint.Learned) error {
	done := make(chan error, 1)
	c.post(importLearned{l, done})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// HandBack gives up what this node cannot bring to an end: begun streams, whose clients ask another node for the
// rest, and, with all, requests that still wait, which are rejected, as is from then on whatever comes. Where clients do not ask
// for the rest, streams run on.
func (c *Core) HandBack(all bool) { c.post(handBackRequests{all}) }

// Stopped is closed when the core has stopped.
func (c *Core) Stopped() <-chan struct{} { return c.stopped }

// OpenRequests is the number of requests that wait for their answer.
func (c *Core) OpenRequests() int { return c.limiter.InUse() }

// Serve takes a request on and returns its one final answer. When ctx ends, the client has gone. It is here that the end
// of every request is counted.
func (c *Core) Serve(ctx context.Context, f *Request) (Answer, error) {
	a, err := c.serve(ctx, f)
	if f.Hook != nil {
		f.Hook.Finished(a)
	}
	c.count(f, a, err)
	return a, err
}

func (c *Core) count(f *Request, a Answer, err error) {
	switch {
	case err != nil || a.Kind == Rejected:
		c.Metrics.CountRequest(f.Spec.Class, metrics.Rejected)
	case a.Kind == Served:
		c.Metrics.CountRequest(f.Spec.Class, metrics.Succeeded)
	case a.Kind != ClientGone && a.Kind != Moved: // one that moved ends, and is counted, elsewhere
		if a.Unsent {
			c.Metrics.CountFailedUnsent(metrics.Abandoned)
		}
		c.Metrics.CountRequest(f.Spec.Class, metrics.Failed)
	}
}

// Adopt takes on a request whose answer another process of this node has begun, and returns its end. carry carries it, as the
// one attempt that has claimed it; the module is not asked about it.
func (c *Core) Adopt(ctx context.Context, f *Request, carry func(*Attempt)) (Answer, error) {
	if !c.limiter.Acquire(f.Spec.Tenant, 1) {
		return Answer{}, ErrBusy
	}
	defer c.limiter.Release(f.Spec.Tenant, 1)
	a := &Attempt{Request: f, Sent: time.Now(), post: c.post, inFlight: true, timer: time.NewTimer(0)}
	a.ctx, a.stop = context.WithCancelCause(context.Background())
	f.claimed, f.attempts = a, []*Attempt{a}
	c.post(adoptRequest{f})
	go carry(a)
	answer := Answer{}
	select {
	case answer = <-f.done:
	case <-ctx.Done():
		f.breakOff(ErrClientGone)
		answer = <-f.done
	}
	c.count(f, answer, nil)
	return answer, nil
}

func (c *Core) serve(ctx context.Context, f *Request) (Answer, error) {
	if !c.limiter.Acquire(f.Spec.Tenant, 1) {
		return Answer{}, ErrBusy
	}
	defer c.limiter.Release(f.Spec.Tenant, 1)
	if c.Fleet == nil {
		return c.submit(ctx, f), nil
	}
	charge, wait, ok := c.Fleet.Admit(&f.Spec)
	if !ok {
		return Answer{Kind: Rejected, Wait: wait, Unsent: true}, nil
	}
	charge.UncachedTokens = f.UncachedTokens
	a := c.submit(ctx, f)
	c.Fleet.Settle(&f.Spec, charge, a)
	return a, nil
}

// submit has the module's actor take the request, and waits for its answer.
func (c *Core) submit(ctx context.Context, f *Request) Answer {
	c.post(submitRequest{f})
	select {
	case a := <-f.done:
		return a
	case <-ctx.Done():
	}
	if f.disconnect() {
		c.post(clientDisconnected{f})
	}
	return <-f.done
}

// Run works the news, the mailbox and the timers until ctx ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.stopped)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for c.step(ctx, alarm) {
		if now := c.clock(); now-c.healthCountedAt >= int64(healthCountInterval) {
			c.healthCountedAt = now
			c.Metrics.SetBackends(c.router.Census())
		}
	}
}

// step takes one message or timer, or waits for it; news goes first. False: ctx has ended.
func (c *Core) step(ctx context.Context, alarm *time.Timer) bool {
	select {
	case l := <-c.endpointUpdates:
		c.applyEndpoints(l)
		return true
	default:
	}
	wait := time.Hour
	if len(c.timers) > 0 {
		wait = time.Duration(c.timers[0].at - c.clock())
	}
	alarm.Reset(max(0, wait))
	select {
	case <-ctx.Done():
		return false
	case l := <-c.endpointUpdates:
		c.applyEndpoints(l)
	case m := <-c.mailbox:
		c.receive(m)
	case <-alarm.C:
		if len(c.timers) > 0 && c.timers[0].at <= c.clock() {
			t := heap.Pop(&c.timers).(timer)
			c.decide(&standpoint.TimerFired{Token: t.token})
		}
	}
	return true
}

// applyEndpoints takes in a change of the endpoints. The servers hear of it first: nothing that was decided on before begins at one that
// leaves.
func (c *Core) applyEndpoints(l EndpointList) {
	c.Backends.Update(l)
	if c.Pools != nil {
		for i := range l.Endpoints {
			l.Endpoints[i].Pool = c.Pools.Place(&l.Endpoints[i])
		}
		c.Pools.Listed(l)
	}
	if c.Fleet != nil {
		c.Fleet.Listed(l)
	}
	news := &standpoint.EngineList{Kind: l.Kind}
	for _, e := range l.Endpoints {
		news.Engines = append(news.Engines, e.Engine)
	}
	c.decide(news)
}

func (c *Core) receive(m any) {
	switch m := m.(type) {
	case updateSettings:
		c.Settings = m.settings
		c.router.Adjust(m.settings)
	case adoptRequest:
		c.nextID++
		m.request.Spec.ID = c.nextID
		c.requests[c.nextID] = m.request
		m.request.arrived = time.Now()
		if c.handedBack { // another process passed it on as this one gave back all that it has
			c.handBackRequest(m.request, true)
		}
	case peerMessage:
		c.decide(&standpoint.PeerMessage{From: m.from, Data: m.data})
	case updateAdvice:
		c.decide(m.advice)
	case exportLearned:
		m.reply <- c.router.Learned()
	case importLearned:
		m.reply <- c.router.Recall(m.learned, c.clock())
	case handBackRequests:
		c.handedBack = c.handedBack || m.all
		for _, f := range c.requests {
			c.handBackRequest(f, m.all)
		}
	case submitRequest:
		// Clients go on sending on every connection that is open until the kill, which is near.
		if c.handedBack && m.request.settle(Answer{Kind: Rejected, Wait: handBackRetryAfter}) {
			close(m.request.idle)
			return
		}
		c.nextID++
		m.request.Spec.ID = c.nextID
		c.requests[c.nextID] = m.request
		if c.Pools != nil {
			m.request.Spec.Pool = c.Pools.Assign(&m.request.Spec)
		}
		m.request.arrived = time.Now()
		if m.request.CacheHolder != "" {
			c.router.Holds(&m.request.Spec, m.request.CacheHolder, m.request.HolderStartedAt, m.request.HeldTokens, c.clock())
		}
		request := m.request.Spec
		c.decide(&request)
		c.release(m.request)
	case clientDisconnected:
		c.decide(&standpoint.Left{Request: m.request.Spec.ID})
		c.release(m.request)
	case firstEventReceived:
		m.attempt.first = m.elapsed
		c.decide(&standpoint.FirstToken{Request: m.attempt.Request.Spec.ID, Attempt: m.attempt.Number,
			Elapsed: int64(m.elapsed)})
	case attemptFinished:
		m.attempt.inFlight = false
		if c.Pools != nil {
			c.Pools.Finished(m.observation())
		}
		if c.Fleet != nil {
			c.Fleet.Ended(m.observation())
		}
		c.decide(&standpoint.Outcome{Request: m.attempt.Request.Spec.ID, Attempt: m.attempt.Number, Last: m.attempt.Request.isSettled(),
			Code: m.result.Code, Kept: m.result.CachedTokens, Tokens: m.result.OutputTokens, Engine: m.attempt.Backend, Elapsed: int64(m.elapsed), Held: m.result.ClientStall > 0,
			Report: m.result.Report, Local: m.result.Local})
		c.release(m.attempt.Request)
	}
}

// handBackRequest ends a request that this node cannot bring to an end: one that has begun, where its client asks another node for the rest,
// and, with all, one that waits. That trying again is harmless is said only where it is true: an attempt may have run.
func (c *Core) handBackRequest(f *Request, all bool) {
	var answer *Answer
	switch {
	case all && c.router.MayShed(f.Spec.ID):
		answer = &Answer{Kind: Rejected, Wait: handBackRetryAfter, Unsent: len(f.attempts) == 0}
	case all:
		answer = &Answer{Kind: Failed}
	}
	if f.handBack(answer, c.Settings.Resume) {
		c.decide(&standpoint.Left{Request: f.Spec.ID})
		c.release(f)
	}
}

// decide hands an event to the module and carries out what it wants, until nothing more follows.
func (c *Core) decide(ev standpoint.Event) {
	c.pending = append(c.pending, ev)
	for len(c.pending) > 0 {
		ev, c.pending = c.pending[0], c.pending[1:]
		c.actions = c.router.Handle(c.clock(), ev, c.actions[:0])
		for _, a := range c.actions {
			c.execute(a)
		}
	}
}

func (c *Core) execute(a standpoint.Action) {
	switch a.Kind {
	case standpoint.Timer:
		if len(c.timers) >= max(c.timerSweepAt, timerSweepMinimum) {
			c.timers = slices.DeleteFunc(c.timers, func(t timer) bool { return !c.router.Awaits(t.token) })
			heap.Init(&c.timers)
			c.timerSweepAt = 2 * len(c.timers)
		}
		heap.Push(&c.timers, timer{c.clock() + a.Wait, a.Token})
	case standpoint.Tell:
		if c.Peers != nil {
			c.Peers.Send(a.Peer, a.Data)
		}
	case standpoint.Subscribe:
		c.Watcher.Watch()
	case standpoint.Send:
		c.send(c.requests[a.Request], a)
	case standpoint.Cancel:
		if f := c.requests[a.Request]; f != nil && a.Attempt < len(f.attempts) {
			f.attempts[a.Attempt].giveUp(ErrCancelled)
		}
	case standpoint.Shed, standpoint.Fail:
		answer := Answer{Kind: Failed}
		if a.Kind == standpoint.Shed {
			answer = Answer{Kind: Rejected, Wait: time.Duration(a.Wait)}
		}
		if f := c.requests[a.Request]; f != nil {
			answer.Unsent = len(f.attempts) == 0
			// At once; one that an attempt claimed a moment ago goes on with its stream.
			if f.settle(answer) && c.Pools != nil {
				c.Pools.Rejected(&f.Spec)
			}
			c.release(f)
		}
	default:
		c.Log.Warn("the module asked for what this node does not do", zap.Uint8("action", uint8(a.Kind)))
	}
}

// send starts an attempt. Whatever the module may think, a request never has two attempts out, nor more than
// MaxAttempts in all, and none once it is answered.
func (c *Core) send(f *Request, act standpoint.Action) {
	if f == nil {
		return
	}
	a := &Attempt{Request: f, Number: len(f.attempts), Backend: act.Engine, Sent: time.Now(), ClientResumes: c.Settings.Resume, post: c.post}
	a.Until = a.Sent.Add(time.Duration(act.Until - c.clock()))
	if act.By != 0 {
		a.BeginBy = a.Sent.Add(time.Duration(act.By - c.clock()))
	}
	refuse := f.isSettled() || !a.Until.After(a.Sent) || c.attemptsSpent(f)
	for _, other := range f.attempts {
		refuse = refuse || other.inFlight && !c.Settings.SecondCopies
	}
	refuse = refuse || a.Number > 0 && c.Fleet != nil && !c.Fleet.Again()
	f.attempts = append(f.attempts, a)
	a.ctx, a.stop = context.WithCancelCause(context.Background())
	a.timer = time.AfterFunc(time.Until(a.Until), func() { a.giveUp(ErrNoAnswer) })
	a.inFlight = true
	if !refuse && c.Backends.Send(a) {
		if c.Pools != nil {
			c.Pools.Sent(&f.Spec, act.Engine, a.Number)
		}
		return
	}
	a.inFlight = false
	a.timer.Stop()
	a.stop(nil)
	c.pending = append(c.pending, &standpoint.Outcome{Request: act.Request, Attempt: a.Number, Last: f.isSettled(),
		Code: standpoint.NotSent, Engine: act.Engine})
}

// attemptsSpent tells that the request may have no further attempt.
func (c *Core) attemptsSpent(f *Request) bool {
	return c.Settings.MaxAttempts > 0 && len(f.attempts) >= c.Settings.MaxAttempts
}

// release drops a request that is over once none of its attempts is out. Those that are have nobody to answer
// any more and are given up.
func (c *Core) release(f *Request) {
	if !f.isSettled() {
		return
	}
	waits := false
	for _, a := range f.attempts {
		if a.inFlight {
			waits = true
			a.giveUp(ErrCancelled)
		}
	}
	if !waits && c.requests[f.Spec.ID] == f {
		delete(c.requests, f.Spec.ID)
		close(f.idle)
	}
}

type timer struct{ at, token int64 }

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
