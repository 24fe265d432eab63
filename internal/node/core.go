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

// List is news of the endpoints.
type List struct {
	Kind    standpoint.ListKind
	Entries []Endpoint
}

// Backends carries attempts. Neither call may block on a peer.
type Backends interface {
	Update(List)
	Send(*Attempt) bool // false: not taken, nothing was sent
}

// Entries is the actor of the endpoints. Watch must not block.
type Entries interface{ Watch() }

// Pools say where requests belong, and hear what came of them. The core calls them from the module's actor alone; no
// call may wait.
type Pools interface {
	// Place says which pool an entry is in, from its labels: 0 for none.
	Place(e *Endpoint) int
	// Listed tells of the entries as the module has them now.
	Listed(l List)
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
	// AllowRetry reports whether a retry may be made.
	AllowRetry() bool
	// Finished tells how an attempt ended.
	Finished(o Observation)
	// Listed tells of the entries as the module has them now.
	Listed(l List)
}

// Peers carries the module's messages to the other nodes of its tier. Tell must not wait.
type Peers interface {
	Tell(to int, data string)
}

// Charge is what a request was admitted for: an amount of a budget in one of its windows. Budget -1: it counts against none.
// Fresh, if not 0, are the tokens of its prompt that nobody has been charged for.
type Charge struct {
	Budget int
	Window int64
	Amount int64
	Fresh  float64
}

// Observation is the end of an attempt as the core saw it.
type Observation struct {
	Request *standpoint.Request
	Server  string
	Sent    time.Time
	Result  Result
	First   time.Duration // from the request's arrival to its first event; 0: there was none
	Own     time.Duration // likewise from the attempt's sending
	Decode  time.Duration // from the first event to the last; 0: its client was slow to take it
	Asked   bool          // given up or failed by this node, or its client: it says nothing of the server
}

// ErrBusy is returned for a request beyond what the node, or the request's tenant, may hold at once.
var ErrBusy = errors.New("too many requests at once")

// mailboxSize bounds the module's mailbox. Those who post wait for room; the module's actor itself only
// ever hands on without waiting, so it always comes back to empty it.
const mailboxSize = 1024

// newsMost is how many lists may wait for the module's actor.
const newsMost = 16

// timersLeast is how many timers there may be before those are looked for that nothing waits for any more.
const timersLeast = 1024

// censusEvery is the pause between two looks at how many backends the module avoids.
const censusEvery = 100 * time.Millisecond

// handBackWait is when a client should come again whose request was handed back; by then it finds another node.
const handBackWait = 300 * time.Millisecond

// Options are a core's settings and neighbours.
type Options struct {
	Settings    standpoint.Settings
	Seed        int64
	MaxRequests int
	Servers     Backends
	Entries     Entries
	Pools       Pools             // nil: none
	Fleet       Fleet             // nil: this node shares nothing
	Peers       Peers             // nil: the module's messages to other nodes go nowhere
	Metrics     *metrics.Counters // nil: none
	Log         *zap.Logger
}

// Core is the module's actor.
type Core struct {
	Options
	router   *standpoint.Router
	news     chan List // goes before the mailbox: a server's departure must not stand behind ordinary work
	mail     chan any
	stopped  chan struct{}
	requests map[int64]*Request
	timers   timerHeap
	thin     int // timers from which those are dropped that nothing waits for
	actions  []standpoint.Action
	pending  []standpoint.Event // events the core itself owes the module
	nextID   int64
	places   *Shares
	census   int64 // when the backends were last counted
	leaving  bool  // all has been handed back: what still comes is rejected at once
}

// Messages of the mailbox.
type (
	adjusted    struct{ settings standpoint.Settings }
	adopted     struct{ f *Request }
	advised     struct{ a *standpoint.Advice }
	learned     struct{ to chan<- *standpoint.Learned }
	peerMessage struct {
		from int
		data string
	}
	recalled struct {
		l    *standpoint.Learned
		done chan<- error
	}
	handBack   struct{ all bool }
	taken      struct{ f *Request }
	left       struct{ f *Request }
	firstEvent struct {
		a       *Attempt
		elapsed time.Duration
	}
	ended struct {
		a       *Attempt
		r       Result
		elapsed time.Duration
	}
)

func (m ended) observation() Observation {
	f := m.a.Request
	o := Observation{Request: &f.Spec, Server: m.a.Server, Sent: m.a.Sent, Result: m.r, Asked: m.r.Code == standpoint.Cancelled || m.r.Local}
	if m.a.first > 0 {
		o.First, o.Own = m.a.Sent.Add(m.a.first).Sub(f.arrived), m.a.first
		if m.r.Held == 0 {
			o.Decode = m.elapsed - m.a.first
		}
	}
	return o
}

// New makes a core; Run starts it.
func New(o Options) *Core {
	c := &Core{Options: o, router: standpoint.New(o.Settings, o.Seed), news: make(chan List, newsMost),
		mail: make(chan any, mailboxSize), stopped: make(chan struct{}), requests: map[int64]*Request{}}
	c.places = NewShares(o.MaxRequests, len(o.Settings.Tenants))
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
	case c.mail <- m:
	case <-c.stopped:
	}
}

// News hands a change of the endpoints to the module, before whatever else waits for it.
func (c *Core) News(l List) {
	select {
	case c.news <- l:
	case <-c.stopped:
	}
}

// Adjust takes on new settings. Requests that are open keep the deadlines that they came with.
func (c *Core) Adjust(settings standpoint.Settings, maxFlows int) {
	c.places.Set(maxFlows, len(settings.Tenants))
	c.post(adjusted{settings})
}

// Advise has the module weigh what other nodes have seen of the backends.
func (c *Core) Advise(a *standpoint.Advice) { c.post(advised{a}) }

// Heard takes a message of another node's module. Where the mailbox is full it is lost, as on the way.
func (c *Core) Heard(from int, data string) {
	select {
	case c.mail <- peerMessage{from, data}:
	default:
	}
}

// Learned is a copy of what the module has learned; nil if it is not to be had before ctx ends.
func (c *Core) Learned(ctx context.Context) *standpoint.Learned {
	to := make(chan *standpoint.Learned, 1)
	c.post(learned{to})
	select {
	case l := <-to:
		return l
	case <-ctx.Done():
		return nil
	}
}

// Recall has the module take what another process of this node learned.
func (c *Core) Recall(ctx context.Context, l *standpoint.Learned) error {
	done := make(chan error, 1)
	c.post(recalled{l, done})
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
func (c *Core) HandBack(all bool) { c.post(handBack{all}) }

// Stopped is closed when the core has stopped.
func (c *Core) Stopped() <-chan struct{} { return c.stopped }

// Open is the number of requests that wait for their answer.
func (c *Core) Open() int { return c.places.Taken() }

// Serve takes a request on and returns its one final answer. When ctx ends, the client has gone. It is here that the end
// of every request is counted.
func (c *Core) Serve(ctx context.Context, f *Request) (Answer, error) {
	a, err := c.serve(ctx, f)
	if f.Hook != nil {
		f.Hook.Over(a)
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
	if !c.places.Take(f.Spec.Tenant, 1) {
		return Answer{}, ErrBusy
	}
	defer c.places.Give(f.Spec.Tenant, 1)
	a := &Attempt{Request: f, Sent: time.Now(), post: c.post, out: true, timer: time.NewTimer(0)}
	a.ctx, a.stop = context.WithCancelCause(context.Background())
	f.claimed, f.attempts = a, []*Attempt{a}
	c.post(adopted{f})
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
	if !c.places.Take(f.Spec.Tenant, 1) {
		return Answer{}, ErrBusy
	}
	defer c.places.Give(f.Spec.Tenant, 1)
	if c.Fleet == nil {
		return c.carry(ctx, f), nil
	}
	charge, wait, ok := c.Fleet.Admit(&f.Spec)
	if !ok {
		return Answer{Kind: Rejected, Wait: wait, Unsent: true}, nil
	}
	charge.Fresh = f.Fresh
	a := c.carry(ctx, f)
	c.Fleet.Settle(&f.Spec, charge, a)
	return a, nil
}

// carry has the module's actor take the request, and waits for its answer.
func (c *Core) carry(ctx context.Context, f *Request) Answer {
	c.post(taken{f})
	select {
	case a := <-f.done:
		return a
	case <-ctx.Done():
	}
	if f.leave() {
		c.post(left{f})
	}
	return <-f.done
}

// Run works the news, the mailbox and the timers until ctx ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.stopped)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for c.step(ctx, alarm) {
		if now := c.clock(); now-c.census >= int64(censusEvery) {
			c.census = now
			c.Metrics.SetBackends(c.router.Census())
		}
	}
}

// step takes one message or timer, or waits for it; news goes first. False: ctx has ended.
func (c *Core) step(ctx context.Context, alarm *time.Timer) bool {
	select {
	case l := <-c.news:
		c.listed(l)
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
	case l := <-c.news:
		c.listed(l)
	case m := <-c.mail:
		c.receive(m)
	case <-alarm.C:
		if len(c.timers) > 0 && c.timers[0].at <= c.clock() {
			t := heap.Pop(&c.timers).(timer)
			c.decide(&standpoint.TimerFired{Token: t.token})
		}
	}
	return true
}

// listed takes in a change of the endpoints. The servers hear of it first: nothing that was decided on before begins at one that
// leaves.
func (c *Core) listed(l List) {
	c.Servers.Update(l)
	if c.Pools != nil {
		for i := range l.Entries {
			l.Entries[i].Pool = c.Pools.Place(&l.Entries[i])
		}
		c.Pools.Listed(l)
	}
	if c.Fleet != nil {
		c.Fleet.Listed(l)
	}
	news := &standpoint.EngineList{Kind: l.Kind}
	for _, e := range l.Entries {
		news.Engines = append(news.Engines, e.Engine)
	}
	c.decide(news)
}

func (c *Core) receive(m any) {
	switch m := m.(type) {
	case adjusted:
		c.Settings = m.settings
		c.router.Adjust(m.settings)
	case adopted:
		c.nextID++
		m.f.Spec.ID = c.nextID
		c.requests[c.nextID] = m.f
		m.f.arrived = time.Now()
		if c.leaving { // another process passed it on as this one gave back all that it has
			c.giveBack(m.f, true)
		}
	case peerMessage:
		c.decide(&standpoint.PeerMessage{From: m.from, Data: m.data})
	case advised:
		c.decide(m.a)
	case learned:
		m.to <- c.router.Learned()
	case recalled:
		m.done <- c.router.Recall(m.l, c.clock())
	case handBack:
		c.leaving = c.leaving || m.all
		for _, f := range c.requests {
			c.giveBack(f, m.all)
		}
	case taken:
		// Clients go on sending on every connection that is open until the kill, which is near.
		if c.leaving && m.f.settle(Answer{Kind: Rejected, Wait: handBackWait}) {
			close(m.f.idle)
			return
		}
		c.nextID++
		m.f.Spec.ID = c.nextID
		c.requests[c.nextID] = m.f
		if c.Pools != nil {
			m.f.Spec.Pool = c.Pools.Assign(&m.f.Spec)
		}
		m.f.arrived = time.Now()
		if m.f.Holder != "" {
			c.router.Holds(&m.f.Spec, m.f.Holder, m.f.Start, m.f.Holds, c.clock())
		}
		request := m.f.Spec
		c.decide(&request)
		c.forget(m.f)
	case left:
		c.decide(&standpoint.Left{Request: m.f.Spec.ID})
		c.forget(m.f)
	case firstEvent:
		m.a.first = m.elapsed
		c.decide(&standpoint.FirstToken{Request: m.a.Request.Spec.ID, Attempt: m.a.Leg,
			Elapsed: int64(m.elapsed)})
	case ended:
		m.a.out = false
		if c.Pools != nil {
			c.Pools.Finished(m.observation())
		}
		if c.Fleet != nil {
			c.Fleet.Finished(m.observation())
		}
		c.decide(&standpoint.Outcome{Request: m.a.Request.Spec.ID, Attempt: m.a.Leg, Last: m.a.Request.isOver(),
			Code: m.r.Code, Kept: m.r.Kept, Tokens: m.r.Tokens, Engine: m.a.Server, Elapsed: int64(m.elapsed), Held: m.r.Held > 0,
			Report: m.r.Report, Local: m.r.Local})
		c.forget(m.a.Request)
	}
}

// giveBack ends a request that this node cannot bring to an end: one that has begun, where its client asks another node for the rest,
// and, with all, one that waits. That trying again is harmless is said only where it is true: an attempt may have run.
func (c *Core) giveBack(f *Request, all bool) {
	var answer *Answer
	switch {
	case all && c.router.MayShed(f.Spec.ID):
		answer = &Answer{Kind: Rejected, Wait: handBackWait, Unsent: len(f.attempts) == 0}
	case all:
		answer = &Answer{Kind: Failed}
	}
	if f.handBack(answer, c.Settings.Resume) {
		c.decide(&standpoint.Left{Request: f.Spec.ID})
		c.forget(f)
	}
}

// decide hands an event to the module and carries out what it wants, until nothing more follows.
func (c *Core) decide(ev standpoint.Event) {
	c.pending = append(c.pending, ev)
	for len(c.pending) > 0 {
		ev, c.pending = c.pending[0], c.pending[1:]
		c.actions = c.router.Handle(c.clock(), ev, c.actions[:0])
		for _, a := range c.actions {
			c.carryOut(a)
		}
	}
}

func (c *Core) carryOut(a standpoint.Action) {
	switch a.Kind {
	case standpoint.Timer:
		if len(c.timers) >= max(c.thin, timersLeast) {
			c.timers = slices.DeleteFunc(c.timers, func(t timer) bool { return !c.router.Awaits(t.token) })
			heap.Init(&c.timers)
			c.thin = 2 * len(c.timers)
		}
		heap.Push(&c.timers, timer{c.clock() + a.Wait, a.Token})
	case standpoint.Tell:
		if c.Peers != nil {
			c.Peers.Tell(a.Peer, a.Data)
		}
	case standpoint.Subscribe:
		c.Entries.Watch()
	case standpoint.Send:
		c.send(c.requests[a.Request], a)
	case standpoint.Cancel:
		if f := c.requests[a.Request]; f != nil && a.Attempt < len(f.attempts) {
			f.attempts[a.Attempt].giveUp(ErrCalledOff)
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
			c.forget(f)
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
	a := &Attempt{Request: f, Leg: len(f.attempts), Server: act.Engine, Sent: time.Now(), Resumes: c.Settings.Resume, post: c.post}
	a.Until = a.Sent.Add(time.Duration(act.Until - c.clock()))
	if act.By != 0 {
		a.By = a.Sent.Add(time.Duration(act.By - c.clock()))
	}
	refuse := f.isOver() || !a.Until.After(a.Sent) || c.attemptsSpent(f)
	for _, other := range f.attempts {
		refuse = refuse || other.out && !c.Settings.SecondCopies
	}
	refuse = refuse || a.Leg > 0 && c.Fleet != nil && !c.Fleet.AllowRetry()
	f.attempts = append(f.attempts, a)
	a.ctx, a.stop = context.WithCancelCause(context.Background())
	a.timer = time.AfterFunc(time.Until(a.Until), func() { a.giveUp(ErrNoAnswer) })
	a.out = true
	if !refuse && c.Servers.Send(a) {
		if c.Pools != nil {
			c.Pools.Sent(&f.Spec, act.Engine, a.Leg)
		}
		return
	}
	a.out = false
	a.timer.Stop()
	a.stop(nil)
	c.pending = append(c.pending, &standpoint.Outcome{Request: act.Request, Attempt: a.Leg, Last: f.isOver(),
		Code: standpoint.NotSent, Engine: act.Engine})
}

// attemptsSpent tells that the request may have no further attempt.
func (c *Core) attemptsSpent(f *Request) bool {
	return c.Settings.MaxAttempts > 0 && len(f.attempts) >= c.Settings.MaxAttempts
}

// forget drops a request that is over once none of its attempts is out. Those that are have nobody to answer
// any more and are given up.
func (c *Core) forget(f *Request) {
	if !f.isOver() {
		return
	}
	waits := false
	for _, a := range f.attempts {
		if a.out {
			waits = true
			a.giveUp(ErrCalledOff)
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
