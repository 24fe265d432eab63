package standpoint

// Which engines are left out but for trials.

import (
	"slices"
)

const (
	trialInterval         = 1500 * ms // pause between trials of a suspect engine
	errorRateWeight       = 0.3       // of an error or rejection in an engine's share of them
	tenantErrorRateWeight = 0.05      // of an error in a tenant's share, over all engines
	maxErrorRate          = 0.5       // share from which it is left out but for trials
	maxSuspectFraction    = 0.5       // more suspects than this share of the fleet: a shared cause, none is
	// Engines in a row that cannot be reached: by chance, with one in eight bad, 1 in 512.
	lostZoneEngines = 3
	minOutage       = 1.0 // seconds; unreachable for less an engine has only paused
)

// recordSignOfLife notes a sign of life of the attempt's engine.
func (r *Router) recordSignOfLife(a *attempt) {
	r.removeUnanswered(a)
	r.recordRecovery(a.engine)
	a.engine.lastSignOfLife = r.now
	a.engine.suspect = false
	a.engine.unreachable = false
	a.engine.errorRate -= errorRateWeight * a.engine.errorRate
	r.tenant(a.request).errorRate *= 1 - tenantErrorRateWeight
}

// recordRecovery takes an engine that answers, after it could not be reached, to have been started anew:
// discovery tells that seconds later, when all have gone back to it. Of a lost zone, all is taken so.
func (r *Router) recordRecovery(e *engine) {
	if e.unreachable {
		for _, o := range r.failureDomain(e) {
			if o.unreachable && seconds(r.now-o.unreachableSince) >= minOutage {
				o.recoveredAt = r.now
				o.firstSeenAt = r.now
				o.slowStartBudget = r.rng.Float64()
				o.slowStartBudgetAt = r.now
			}
			o.suspect = o.suspect && !o.unreachable
			o.unreachable = false
		}
	}
	r.unreachableByZone[e.Zone] = 0
}

// recordUnreachable notes an engine that could not be connected to. Several of a zone in a row, no sign
// of life in between, show that it is lost: one trial then stands for all, or each would have to be found
// out.
func (r *Router) recordUnreachable(e *engine) {
	if !e.unreachable {
		e.unreachable = true
		e.unreachableSince = r.now
		r.unreachableByZone[e.Zone]++
	}
	for _, o := range r.failureDomain(e) {
		if !o.unreachable {
			o.unreachableSince = r.now
		}
		o.suspect = true
		o.unreachable = true
		o.lastTrialAt = r.now
	}
}

// suspect leaves the engine out but for trials. A connection that is refused shows that it is down.
func (r *Router) suspect(e *engine, down bool) {
	if !e.suspect || down {
		e.suspect = true
		e.lastTrialAt = r.now
	}
	if down {
		r.recordUnreachable(e)
	}
}

// onAdvice weighs what others saw: it goes for an engine that has given no sign of life here since.
func (r *Router) onAdvice(a *Advice) {
	for _, d := range a.Suspicions {
		if e := r.engines[d.Engine]; e != nil && e.ReadyAt == d.ReadyAt && e.lastSignOfLife < d.At {
			r.suspect(e, false)
		}
	}
}

// recordRejection notes an error, a rejection or a lost connection. An engine that fails at once carries
// little, looks idle and draws ever more; once most of its answers are such it is left out. What it has
// taken on may still be well. A tenant most of whose requests fail wherever they go has itself to blame,
// not the engines.
func (r *Router) recordRejection(a *attempt, code OutcomeCode) {
	e, t := a.engine, r.tenant(a.request)
	e.lastSignOfLife = r.now
	if code == ServerError {
		t.errorRate += tenantErrorRateWeight * (1 - t.errorRate)
	}
	if t.errorRate > maxErrorRate {
		return
	}
	if e.errorRate += errorRateWeight * (1 - e.errorRate); e.errorRate > maxErrorRate {
		r.suspect(e, false)
	}
}

// avoids tells that an engine gets nothing, or nothing but trials.
func (r *Router) avoids(e *engine, ignore bool) bool {
	return e.notReady || e.suspect && (e.unreachable || !ignore)
}

// isExcluded tells that a suspect engine is not due for a trial. One that is silent gets a single trial
// at a time.
func (r *Router) isExcluded(e *engine, ignore bool) bool {
	return r.avoids(e, ignore) &&
		(r.now-e.lastTrialAt < trialInterval || len(e.unanswered) > 0 && e.errorRate <= maxErrorRate)
}

// hasSharedFault tells that so many engines look bad that the cause must be shared; then none is left out.
func (r *Router) hasSharedFault() bool {
	if len(r.ready) > maxFullScan && r.now-r.sharedFaultAt < tickInterval/5 {
		return r.sharedFault
	}
	n := 0
	for _, e := range r.ready {
		if e.suspect && !e.unreachable {
			n++
		}
	}
	r.sharedFault = float64(n) > maxSuspectFraction*float64(len(r.ready))
	r.sharedFaultAt = r.now
	return r.sharedFault
}

// checkHealth suspects engines that owe a first token for long and gave no sign of life since, and moves
// what waits there.
func (r *Router) checkHealth() {
	shared := r.hasSharedFault()
	for _, e := range r.ready {
		if e.isSilent(r.now) {
			r.suspect(e, false)
		}
		if e.suspect && !shared {
			for _, a := range append([]*attempt(nil), e.unanswered...) {
				r.rescue(a)
			}
		}
	}
}

// isSilent tells that the engine owes a first token for long, and gave no sign of life since it got the
// request.
func (e *engine) isSilent(now int64) bool {
	if len(e.unanswered) == 0 {
		return false
	}
	oldest := e.unanswered[0]
	return oldest.overdue(now) && e.lastSignOfLife <= oldest.sent
}

// rescue tries elsewhere what waits on a suspect engine.
func (r *Router) rescue(a *attempt) {
	q := a.request
	if q.settled || q.claimed != nil || a.cancelling || !a.overdue(r.now) || r.retryBudget < 1 {
		return
	}
	mayHedge := r.settings.SecondCopies && q.attemptsInFlight() == 1
	switch {
	case mayHedge && !r.hasNoValueLeft(q) && r.shedFraction <= maxShedForHedging:
		r.retryBudget--
		r.dispatch(q)
	case !r.settings.SecondCopies && r.settings.Cancel && r.class(q).Effect == Safe &&
		!r.cancellingWastesWork():
		r.retryBudget--
		a.cancelling = true
		r.emit(Action{Kind: Cancel, Request: q.ID, Attempt: a.number})
	}
}

func (r *Router) removeUnanswered(a *attempt) {
	for i, w := range a.engine.unanswered {
		if w == a {
			a.engine.unanswered = append(a.engine.unanswered[:i], a.engine.unanswered[i+1:]...)
			return
		}
	}
}

// CountEngines returns how many engines are listed, and how many of these are avoided: because discovery
// lists them as not ready, or because this gateway suspects them.
func (r *Router) CountEngines() (listed, avoided int) {
	ignore := r.hasSharedFault()
	for _, e := range r.engines {
		if e.State == Gone {
			continue
		}
		listed++
		if r.avoids(e, ignore) {
			avoided++
		}
	}
	return listed, avoided
}

// failureDomain is an engine, and all of its zone where that is lost.
func (r *Router) failureDomain(e *engine) []*engine {
	if r.unreachableByZone[e.Zone] < lostZoneEngines || r.settings.Zones < 2 {
		return []*engine{e}
	}
	elsewhere := func(o *engine) bool { return o.Zone != e.Zone && o != e }
	return slices.DeleteFunc(slices.Clone(r.ready), elsewhere)
}
