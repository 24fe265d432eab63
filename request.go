package standpoint

// The course of a request: its attempts, what follows each outcome, and its final response.

import (
	"slices"
)

const (
	minRetryAfter = 0.3 // minimum time, in seconds, after which a rejected client should retry
	// prefixHomeFraction is the fraction of a prompt from which its shared prefix, not the session,
	// determines the home engine.
	prefixHomeFraction = 0.5
	// A first token is overdue after overdueFactor times its predicted time, but not before minOverdue.
	overdueFactor         = 4.0
	minOverdue            = 800 * ms
	retryBudgetPerRequest = 0.15 // retries and hedged attempts allowed per request, on average
)

// onRequest decides on a request that has arrived: it is sent, queued or shed, or waits for directory owners.
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
		Wait:  max(0, q.Deadline-r.now-2*r.settings.EventInterval),
		Token: q.ID*tokenStep + tokenExpire,
	})
	if !r.consultDirectory(q) {
		r.dispatch(q)
	}
}

// dispatch sends the request to the engine that pick returns, queues it if there is none and no attempt is in
// flight, or gives the final response if no attempt may follow. It ignores a request that is over or claimed.
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
	if objective := seconds(r.class(q).TPOTObjective); objective > 0 && len(q.attempts) == 0 {
		missesUpper := best.tpotUpper > objective || best.ttftUpper > r.latencyObjective(q)
		misses := best.tpot > objective || len(q.cachedByEngine) > 0 && missesUpper
		r.adjustShedding(best.engine, misses)
	}
	r.send(q, best)
}

// send starts an attempt at the option's engine and accounts for it.
func (r *Router) send(q *request, o *option) {
	e := o.engine
	a := &attempt{
		request:       q,
		number:        len(q.attempts),
		engine:        e,
		sentAt:        r.now,
		features:      o.features,
		predictedTTFT: o.ttft,
		match:         o.match,
		home:          o.home,
		reinstated:    e.reinstated,
		inFlight:      true,
		mayHaveRun:    true,
	}
	q.attempts = append(q.attempts, a)
	q.queued = false
	e.attemptsInFlight++
	e.tokensInFlight += q.PromptTokens
	e.unreportedPrefill = r.unreportedPrefill(e) + q.PromptTokens*(1-o.match)
	e.unreportedPrefillAt = r.now
	e.awaitingFirstToken = append(e.awaitingFirstToken, a)
	e.lastTrialAt = r.now
	e.reinstated = false
	if e.slowStartBudgetAt != 0 {
		e.slowStartBudget--
	}
	r.recordCachedPrompt(q, e, q.PromptTokens)
	r.notifyPromptSent(a)
	r.emit(Action{
		Kind:        Send,
		Request:     q.ID,
		Engine:      e.Name,
		Deadline:    q.Deadline,
		StartBefore: r.startBefore(q),
	})
}

// undoSend reverts what send recorded about the engine, for an attempt of which nothing reached it.
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

// onFirstToken records that a response has begun. Its attempt claims the request unless that is over.
func (r *Router) onFirstToken(ev *FirstToken) {
	q, a := r.findAttempt(ev.Request, ev.Attempt)
	if a == nil {
		return
	}
	a.firstTokenAt = r.now
	r.notifyPrefillEnd(a, true)
	r.recordSignOfLife(a)
	r.observeTTFT(a, seconds(ev.Elapsed))
	// Only first attempts count: after a failed one, a missed objective is no evidence of the fleet's load.
	if objective := r.latencyObjective(q); objective > 0 && a.number == 0 {
		r.adjustShedding(a.engine, seconds(r.now-q.arrivedAt) > objective)
	}
	if q.settled {
		return
	}
	q.claimed = a
	r.openStreams++
	r.expectedStreams = r.expectedOpenStreams() + 1
	r.expectedStreamsAt = r.now
	r.cancelOthers(q, a)
}

// cancelOthers cancels the request's attempts, other than the winner, whose responses have not begun.
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

// onOutcome records the end of an attempt, and decides what follows for its request.
func (r *Router) onOutcome(ev *Outcome) {
	q, a := r.findAttempt(ev.Request, ev.Attempt)
	if a == nil || !a.inFlight {
		return
	}
	if ev.Report != nil && r.settings.Reports == ReportResponses {
		r.recordReport(a.engine, ev.Report)
	}
	a.inFlight = false
	a.code = ev.Code
	a.mayHaveRun = !ev.Code.NeverRan()
	a.engine.attemptsInFlight--
	a.engine.tokensInFlight = max(0, a.engine.tokensInFlight-q.PromptTokens)
	if q.claimed == a {
		r.openStreams--
	}
	r.notifyPrefillEnd(a, false)
	r.removeAwaitingFirstToken(a)
	r.recordWastedWait(a, ev.Code)
	r.observeOutcome(a, ev)
	if ev.Last || !q.settled && (ev.Code == Served || q.claimed == a) {
		r.finish(q, a)
	}
	if q.settled {
		r.release(q)
	} else if q.claimed == nil {
		r.handleFailedAttempt(q, ev.Code)
	}
}

// observeOutcome updates what is known of the engine from the outcome of an attempt.
func (r *Router) observeOutcome(a *attempt, ev *Outcome) {
	switch ev.Code {
	case Served:
		r.recordSignOfLife(a)
		r.observeServed(a, ev)
	case ServerError, Rejected, ConnectionLost:
		// One lost connection is little evidence against the engine: whether it is unreachable will show when
		// the next connection is opened.
		if !ev.LocalFault {
			r.recordFailure(a, ev.Code)
		}
	case NotSent:
		r.undoSend(a)
	case NoAnswer, NoConnection:
		if ev.Code == NoConnection || a.overdue(r.now) {
			r.markSuspect(a.engine, ev.Code == NoConnection)
		}
	}
}

// handleFailedAttempt retries the request after a failed attempt, or gives its final response. It does
// nothing while another attempt is in flight.
func (r *Router) handleFailedAttempt(q *request, code OutcomeCode) {
	if q.attemptsInFlight() > 0 {
		return
	}
	// An attempt that was not sent costs no retry budget; for a cancelled one it was charged by
	// hedgeOrCancel.
	freeRetry := code == NotSent || code == Cancelled
	budgetExhausted := r.retryBudget < 1 && code != NoConnection && !freeRetry
	if budgetExhausted || r.now >= q.Deadline-2*r.settings.EventInterval || r.hasNoValueLeft(q) {
		r.finishUnserved(q)
		return
	}
	if !freeRetry {
		r.retryBudget--
	}
	r.dispatch(q)
}

// hasNoValueLeft reports whether the request has missed its latency objective and its class gives late
// requests no weight.
func (r *Router) hasNoValueLeft(q *request) bool {
	objective := r.latencyObjective(q)
	return r.class(q).LateWeight <= 0 && objective > 0 && seconds(r.now-q.arrivedAt) > objective
}

// finishUnserved gives the final response: a rejection if the request is safe to retry, else a failure.
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

// retryAfter returns the time, in nanoseconds, after which a rejected client should retry: the time in which
// the shed fraction decays to 0 at its usual rate, at least minRetryAfter and at most MaxRetryAfter. It is 0
// if no time is to be stated.
func (r *Router) retryAfter(kind ActionKind) int64 {
	if kind != Shed || !r.settings.RetryAfter {
		return 0
	}
	return min(r.settings.MaxRetryAfter, int64(max(minRetryAfter, r.shedFraction/shedFractionDecay)*1e9))
}

// finish marks the request as over and cancels its attempts other than the winner. Its state is removed once
// its last attempt has ended.
func (r *Router) finish(q *request, winner *attempt) {
	if !q.settled {
		q.settled = true
		q.queued = false
		delete(r.awaitingDirectory, uint32(q.ID))
		r.cancelOthers(q, winner)
	}
	r.release(q)
}

// dispatchQueued dispatches the queued requests again. Those for which there is still no engine are queued
// anew.
func (r *Router) dispatchQueued() {
	queued := r.queued
	r.queued = nil
	for _, q := range queued {
		if !q.settled && q.queued {
			q.queued = false
			r.dispatch(q)
		}
	}
}

// attempt is one attempt of a request at an engine. Times are in nanoseconds.
type attempt struct {
	request       *request
	number        int // counted from 0
	engine        *engine
	sentAt        int64         // when the attempt was decided on
	features      featureVector // the inputs that predictedTTFT was predicted from
	predictedTTFT float64       // in seconds
	match         float64       // fraction of the prompt that the engine was expected to have cached
	home          bool          // whether the engine was chosen as the assumed home of the session or prefix
	reinstated    bool          // whether this was the first attempt since the engine was reinstated
	inDirectory   bool          // whether the directory owner was notified of the prompt, but not of its end
	inFlight      bool          // whether the outcome is outstanding
	code          OutcomeCode
	mayHaveRun    bool  // false once the outcome proves that the attempt never ran
	firstTokenAt  int64 // when the response began; 0 if it has not
	cancelling    bool  // whether cancellation was requested
}

// request is the state of a request.
type request struct {
	Request
	// arrivedAt is when the request arrived, in nanoseconds.
	arrivedAt int64
	// attempts are all attempts, by number.
	attempts []*attempt
	// claimed is the attempt whose response the client gets; nil until one has begun.
	claimed *attempt
	// settled is set once the request is over: it got its final response, or its client disconnected.
	settled bool
	// queued is set while the request waits for an engine that may be used.
	queued bool
	// homeByPrefix is set if the shared prefix, which is then the larger part of the prompt, determines the
	// home engine.
	homeByPrefix bool
	// consulted is set once directory owners were queried.
	consulted bool
	// awaitedEngines are the engines whose directory owners were queried and have not answered yet.
	awaitedEngines []*engine
	// cachedByEngine are the cached tokens of the prompt that directory owners reported.
	cachedByEngine map[*engine]float64
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

// hasAttemptAt reports whether an attempt of the request was sent to e.
func (q *request) hasAttemptAt(e *engine) bool {
	for _, a := range q.attempts {
		if a.engine == e {
			return true
		}
	}
	return false
}

// mayReach reports whether a retry at e is promising: no attempt of the request failed to connect to an
// engine of the same zone, and e belongs to the request's pool if the request has one.
func (q *request) mayReach(e *engine) bool {
	for _, a := range q.attempts {
		if !a.inFlight && a.code == NoConnection && a.engine.Zone == e.Zone {
			return false
		}
	}
	return q.Pool == 0 || e.Pool == q.Pool
}

// affinityKey returns the key by which engines are ranked for the request: the shared prefix, the session or,
// without either, the request's own ID.
func (q *request) affinityKey() uint64 {
	if q.homeByPrefix {
		return q.Prefix
	}
	if q.Session != 0 {
		return q.Session
	}
	return uint64(q.ID)
}

// release removes the request's state unless an attempt is in flight.
func (r *Router) release(q *request) {
	if q.attemptsInFlight() == 0 {
		delete(r.requests, q.ID)
	}
}

// class returns the request's class. A request of an unknown class is unsafe and has no objectives.
func (r *Router) class(q *request) *Class {
	if q.Class < 0 || q.Class >= len(r.settings.Classes) {
		return &Class{Effect: Unsafe}
	}
	return &r.settings.Classes[q.Class]
}

// classIndex returns the index of the request's class in state that is kept by class; unknown classes share
// the last index.
func (r *Router) classIndex(q *request) int {
	if q.Class < 0 || q.Class >= len(r.homeCachedFraction) {
		return len(r.homeCachedFraction) - 1
	}
	return q.Class
}

// latencyObjective returns the objective for the time from arrival to the first token, in seconds; 0 for
// none.
func (r *Router) latencyObjective(q *request) float64 {
	c := r.class(q)
	return seconds(c.TTFTObjective) + seconds(c.TTFTObjectivePer1000Tokens)*q.PromptTokens/1000
}

// overdue reports whether the attempt's first token is so late that the engine may be in trouble.
func (a *attempt) overdue(now int64) bool {
	return now-a.sentAt > max(minOverdue, int64(overdueFactor*a.predictedTTFT*1e9))
}

// findAttempt returns a request and its attempt with this number; both are nil if there is none.
func (r *Router) findAttempt(id int64, number int) (*request, *attempt) {
	q := r.requests[id]
	if q == nil || number < 0 || number >= len(q.attempts) {
		return nil, nil
	}
	return q, q.attempts[number]
}

// mayNotRepeat reports whether no further attempt is allowed at any engine: an earlier one may have run, and
// it is unsafe to repeat or its deduplication window has closed. It is false while an attempt is in flight.
func (r *Router) mayNotRepeat(q *request) bool {
	c := r.class(q)
	return q.attemptsInFlight() == 0 && slices.ContainsFunc(q.attempts, func(a *attempt) bool {
		return a.mayHaveRun && (c.Effect == Unsafe || c.Effect == Keyed && r.now-a.sentAt >= c.DedupWindow)
	})
}

// startBefore returns the time, in nanoseconds, from which a further attempt of the request may no longer
// begin, shortly before the deduplication window of an earlier one closes; 0 for none. It matters because a
// repeat that is sent within the window may have to wait for a connection.
func (r *Router) startBefore(q *request) int64 {
	earliest, c := int64(0), r.class(q)
	for _, a := range q.attempts {
		windowEnd := a.sentAt + c.DedupWindow - 2*r.settings.EventInterval
		if a.mayHaveRun && !a.inFlight && c.Effect == Keyed && (earliest == 0 || windowEnd < earliest) {
			earliest = windowEnd
		}
	}
	return earliest
}
