package standpoint

// A request's life: its attempts, what follows their ends, and its final answer.

import (
	"slices"
)

const (
	minRetryAfter = 0.3 // seconds after which a refused client may come again at the earliest
	// Of a prompt from which a shared beginning, not the session, says where the request is at home.
	prefixHomeFraction    = 0.5
	overdueFactor         = 4.0      // a first token later than so many predictions is a sign of trouble
	minOverdue            = 800 * ms // and never sooner than this
	retryBudgetPerRequest = 0.15     // further attempts per request, on average
)

func (r *Router) onRequest(ev *Request) {
	q := &request{Request: *ev, arrivedAt: r.now}
	q.PromptTokens = max(1, clamp(q.PromptTokens, 1e9))
	q.PrefixTokens = clamp(q.PrefixTokens, q.PromptTokens)
	q.MaxTokens = max(1, clamp(q.MaxTokens, 1e9))
	if q.Prefix == 0 {
		q.PrefixTokens = 0
	}
	r.meanPrefillBurden.add(r.prefillBurdenOf(q), prefillBurdenWeight)
	q.homeByPrefix = r.usesDirectory(q) && q.Prefix != 0 &&
		q.PrefixTokens >= prefixHomeFraction*q.PromptTokens
	r.requests[q.ID] = q
	r.retryBudget = min(maxRetryBudget, r.retryBudget+retryBudgetPerRequest)
	if r.shedsForDensity(q) {
		r.finishUnserved(q)
		return
	}
	r.countRequest()
	r.emit(Action{
		Kind:  Timer,
		Wait:  max(0, q.Deadline-r.now-2*r.settings.Tick),
		Token: q.ID*tokenStep + tokenExpire,
	})
	if !r.consultDirectory(q) {
		r.dispatch(q)
	}
}

// dispatch sends the request where the pick says, holds it while no engine will do, or ends it.
func (r *Router) dispatch(q *request) {
	if q.settled || q.claimed != nil {
		return
	}
	if len(q.attempts) >= max(1, r.settings.MaxAttempts) || r.hasNoValueLeft(q) || r.mayNotRepeat(q) {
		r.finishUnserved(q)
		return
	}
	best := r.pick(q)
	if best == nil {
		if q.attemptsInFlight() == 0 && !q.queued {
			q.queued = true
			r.queued = append(r.queued, q)
		}
		return
	}
	if len(q.attempts) == 0 && r.isFutile(q, best) {
		r.finishUnserved(q)
		return
	}
	if aim := seconds(r.class(q).TPOTObjective); aim > 0 && len(q.attempts) == 0 {
		upperMissed := best.tpotUpper > aim || best.ttftUpper > r.latencyObjective(q)
		missed := best.tpot > aim || len(q.cachedByEngine) > 0 && upperMissed
		r.adjustShedding(best.engine, missed)
	}
	r.send(q, best)
}

func (r *Router) send(q *request, o *option) {
	e := o.engine
	a := &attempt{
		request:    q,
		number:     len(q.attempts),
		engine:     e,
		sent:       r.now,
		features:   o.features,
		ttft:       o.ttft,
		match:      o.match,
		home:       o.home,
		reinstated: e.reinstated,
		inFlight:   true,
		mayHaveRun: true,
	}
	q.attempts = append(q.attempts, a)
	q.queued = false
	e.attemptsInFlight++
	e.tokensInFlight += q.PromptTokens
	e.unreportedPrefill = r.unreportedPrefill(e) + q.PromptTokens*(1-o.match)
	e.unreportedPrefillAt = r.now
	e.unanswered = append(e.unanswered, a)
	e.lastTrialAt = r.now
	e.reinstated = false
	if e.slowStartBudgetAt != 0 {
		e.slowStartBudget--
	}
	r.recordCachedPrompt(q, e, q.PromptTokens)
	r.notifySent(a)
	r.emit(Action{Kind: Send, Request: q.ID, Engine: e.Name, Deadline: q.Deadline, StartBefore: r.beginBy(q)})
}

// undoSend takes back what was noted as the attempt was decided on: nothing of it reached its engine.
func (r *Router) undoSend(a *attempt) {
	e := a.engine
	if e.slowStartBudgetAt != 0 {
		e.slowStartBudget++
	}
	e.unreportedPrefill = max(0, r.unreportedPrefill(e)-a.request.PromptTokens*(1-a.match))
	e.unreportedPrefillAt = r.now
	e.reinstated = e.reinstated || a.reinstated
	r.forgetCachedPrompt(a)
}

func (r *Router) onFirstToken(ev *FirstToken) {
	q, a := r.attempt(ev.Request, ev.Attempt)
	if a == nil {
		return
	}
	a.firstTokenAt = r.now
	r.notifyPrefillEnd(a, true)
	r.recordSignOfLife(a)
	r.observeTTFT(a, seconds(ev.Elapsed))
	// A miss after a failed attempt is not the fleet's load.
	if aim := r.latencyObjective(q); aim > 0 && a.number == 0 {
		r.adjustShedding(a.engine, seconds(r.now-q.arrivedAt) > aim)
	}
	if q.settled {
		return
	}
	q.claimed = a
	r.streams++
	r.expectedStreams = r.usualStreams() + 1
	r.expectedStreamsAt = r.now
	r.cancelOthers(q, a)
}

// cancelOthers stops waiting for the attempts that lost.
func (r *Router) cancelOthers(q *request, winner *attempt) {
	if !r.settings.Cancel {
		return
	}
	for _, a := range q.attempts {
		if a != winner && a.inFlight && !a.cancelling && a.firstTokenAt == 0 {
			a.cancelling = true
			r.emit(Action{Kind: Cancel, Request: q.ID, Attempt: a.number})
		}
	}
}

// onOutcome takes the end of an attempt in, and decides what follows for its request.
func (r *Router) onOutcome(ev *Outcome) {
	q, a := r.attempt(ev.Request, ev.Attempt)
	if a == nil || !a.inFlight {
		return
	}
	if ev.Report != nil && r.settings.Reports == ReportReplies {
		r.recordReport(a.engine, ev.Report)
	}
	a.inFlight = false
	a.code = ev.Code
	a.mayHaveRun = !ev.Code.NeverRan()
	a.engine.attemptsInFlight--
	a.engine.tokensInFlight = max(0, a.engine.tokensInFlight-q.PromptTokens)
	if q.claimed == a {
		r.streams--
	}
	r.notifyPrefillEnd(a, false)
	r.removeUnanswered(a)
	r.recordWastedWait(a, ev.Code)
	r.learnFrom(a, ev)
	if ev.Last || !q.settled && (ev.Code == Served || q.claimed == a) {
		r.finish(q, a)
	}
	if q.settled {
		r.release(q)
	} else if q.claimed == nil {
		r.afterFailure(q, ev.Code)
	}
}

// learnFrom takes in what the end of an attempt says of its engine.
func (r *Router) learnFrom(a *attempt, ev *Outcome) {
	switch ev.Code {
	case Served:
		r.recordSignOfLife(a)
		r.observeServed(a, ev)
	case ServerError, Rejected, ConnectionLost:
		// One lost connection says little of the engine: the next connect will tell.
		if !ev.LocalFault {
			r.recordRejection(a, ev.Code)
		}
	case NotSent:
		r.undoSend(a)
	case NoAnswer, NoConnection:
		if ev.Code == NoConnection || a.overdue(r.now) {
			r.suspect(a.engine, ev.Code == NoConnection)
		}
	}
}

// afterFailure decides what follows an attempt that failed.
func (r *Router) afterFailure(q *request, code OutcomeCode) {
	if q.attemptsInFlight() > 0 {
		return
	}
	paid := code == NotSent || code == Cancelled // it cost nothing, or was paid for as it was called off
	poor := r.retryBudget < 1 && code != NoConnection && !paid
	if poor || r.now >= q.Deadline-2*r.settings.Tick || r.hasNoValueLeft(q) {
		r.finishUnserved(q)
		return
	}
	if !paid {
		r.retryBudget--
	}
	r.dispatch(q)
}

// hasNoValueLeft tells that no worth is left to earn.
func (r *Router) hasNoValueLeft(q *request) bool {
	objective := r.latencyObjective(q)
	return r.class(q).LateWeight <= 0 && objective > 0 && seconds(r.now-q.arrivedAt) > objective
}

// finishUnserved gives the final answer: a rejection where that is true, else a failure.
func (r *Router) finishUnserved(q *request) {
	if q.settled || q.claimed != nil {
		return
	}
	kind := Fail
	if r.mayShed(q) {
		kind = Shed
	}
	r.emit(Action{Kind: kind, Request: q.ID, Wait: r.retryAfter(kind)})
	r.finish(q, nil)
}

// retryAfter is when a client that was refused should try again: once the part that is refused has faded.
func (r *Router) retryAfter(kind ActionKind) int64 {
	if kind != Shed || !r.settings.RetryAfter {
		return 0
	}
	return min(r.settings.MaxRetryAfter, int64(max(minRetryAfter, r.shedFraction/shedFractionDecay)*1e9))
}

// finish marks the request as over; it is forgotten once its last attempt has ended.
func (r *Router) finish(q *request, winner *attempt) {
	if !q.settled {
		q.settled = true
		q.queued = false
		delete(r.awaitingDirectory, uint32(q.ID))
		r.cancelOthers(q, winner)
	}
	r.release(q)
}

func (r *Router) dispatchQueued() {
	waiting := r.queued
	r.queued = nil
	for _, q := range waiting {
		if !q.settled && q.queued {
			q.queued = false
			r.dispatch(q)
		}
	}
}

type attempt struct {
	request      *request
	number       int
	engine       *engine
	sent         int64
	features     featureVector
	ttft         float64 // predicted, seconds
	match        float64
	home         bool        // chosen as the session's assumed home
	reinstated   bool        // its engine was put back by hand, and not in use since
	inDirectory  bool        // its engine's directory owner counts its prompt as unread
	inFlight     bool        // no outcome yet
	code         OutcomeCode // how it ended
	mayHaveRun   bool        // may have run
	firstTokenAt int64
	cancelling   bool // cancel asked for
}

type request struct {
	Request
	arrivedAt int64
	attempts  []*attempt
	claimed   *attempt
	settled   bool // final answer given or known
	queued    bool // waiting for an engine
	// Its home hangs on its shared beginning, which is the larger part of its prompt.
	homeByPrefix   bool
	consulted      bool                // directory owners were asked
	awaitedEngines []*engine           // those of which nothing has been told yet
	cachedByEngine map[*engine]float64 // prompt tokens kept, as directory owners told
}

func (q *request) attemptsInFlight() int {
	n := 0
	for _, a := range q.attempts {
		if a.inFlight {
			n++
		}
	}
	return n
}

// wasTriedAt tells that an attempt of the request went to e.
func (q *request) wasTriedAt(e *engine) bool {
	for _, a := range q.attempts {
		if a.engine == e {
			return true
		}
	}
	return false
}

// mayReach tells that no attempt of the request failed to connect to a server of the engine's zone. A request
// that belongs to a pool looks for others there alone.
func (q *request) mayReach(e *engine) bool {
	for _, a := range q.attempts {
		if !a.inFlight && a.code == NoConnection && a.engine.Zone == e.Zone {
			return false
		}
	}
	return q.Pool == 0 || e.Pool == q.Pool
}

// key is what the request's rank among the engines hangs on.
func (q *request) key() uint64 {
	if q.homeByPrefix {
		return q.Prefix
	}
	if q.Session != 0 {
		return q.Session
	}
	return uint64(q.ID)
}

func (r *Router) release(q *request) {
	if q.attemptsInFlight() == 0 {
		delete(r.requests, q.ID)
	}
}

func (r *Router) class(q *request) *Class {
	if q.Class < 0 || q.Class >= len(r.settings.Classes) {
		return &Class{Effect: Unsafe}
	}
	return &r.settings.Classes[q.Class]
}

func (r *Router) classIndex(q *request) int {
	if q.Class < 0 || q.Class >= len(r.sessionGain) {
		return len(r.sessionGain) - 1
	}
	return q.Class
}

// latencyObjective is the time wanted to the first token, in seconds from arrival; 0: none.
func (r *Router) latencyObjective(q *request) float64 {
	c := r.class(q)
	return seconds(c.TTFTObjective) + seconds(c.TTFTObjectivePer1000Tokens)*q.PromptTokens/1000
}

func (a *attempt) overdue(now int64) bool {
	return now-a.sent > max(minOverdue, int64(overdueFactor*a.ttft*1e9))
}

// attempt is one of a request's, and the request; nil where there is none such.
func (r *Router) attempt(id int64, leg int) (*request, *attempt) {
	q := r.requests[id]
	if q == nil || leg < 0 || leg >= len(q.attempts) {
		return nil, nil
	}
	return q, q.attempts[leg]
}

// mayNotRepeat tells that no attempt may follow, wherever: one may have run whose class must not be
// repeated, or not any more.
func (r *Router) mayNotRepeat(q *request) bool {
	c := r.class(q)
	return q.attemptsInFlight() == 0 && slices.ContainsFunc(q.attempts, func(a *attempt) bool {
		return a.mayHaveRun && (c.Effect == Unsafe || c.Effect == Keyed && r.now-a.sent >= c.Window)
	})
}

// beginBy is the moment from which a further attempt of the request may not begin any more; 0: there is none.
// A repeat that is decided on in time may still be on its way to a connection when the window closes.
func (r *Router) beginBy(q *request) int64 {
	by, c := int64(0), r.class(q)
	for _, a := range q.attempts {
		until := a.sent + c.Window - 2*r.settings.Tick
		if a.mayHaveRun && !a.inFlight && c.Effect == Keyed && (by == 0 || until < by) {
			by = until
		}
	}
	return by
}
