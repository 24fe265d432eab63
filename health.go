package standpoint

// Outlier detection. Suspect engines get no requests except an occasional trial.

import (
	"slices"
)

const (
	trialInterval         = 1500 * ms // minimum time between two trials of a suspect engine
	errorRateWeight       = 0.3       // weight of one response in an engine's moving error rate
	tenantErrorRateWeight = 0.05      // weight of one response in a tenant's error rate over all engines
	maxErrorRate          = 0.5       // an engine above this error rate becomes suspect
	maxSuspectFraction    = 0.5       // above this fraction of the fleet the cause is taken to be shared
	// Consecutive unreachable engines of a zone from which the whole zone is taken to be unreachable. If
	// one engine in eight is bad, three in a row are bad by chance once in 512 cases.
	lostZoneThreshold = 3
	// Seconds. An engine that was unreachable for a shorter time is taken to have paused, not restarted.
	minOutage = 1.0
)

// recordSignOfLife records that the attempt's engine has responded, and clears its suspicion.
func (r *Router) recordSignOfLife(a *attempt) {
	r.removeUnanswered(a)
	r.recordRecovery(a.engine)
	a.engine.lastSignOfLifeAt = r.now
	a.engine.suspect = false
	a.engine.unreachable = false
	a.engine.errorRate -= errorRateWeight * a.engine.errorRate
	r.tenant(a.request).errorRate *= 1 - tenantErrorRateWeight
}

// recordRecovery treats an unreachable engine that responds again as restarted: discovery reports the
// restart only seconds later, when all gateways would already have returned to the engine at full rate. If
// its whole zone was unreachable, this applies to every engine of the zone.
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

// recordUnreachable records a failed connection to an engine. Several such engines of one zone, with no
// sign of life from the zone in between, show that the whole zone is unreachable. One trial then counts
// for all of its engines; otherwise requests would have to fail at each of them first.
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

// markSuspect marks the engine as suspect, so that it gets only trials. down means that no connection to it
// could be established.
func (r *Router) markSuspect(e *engine, down bool) {
	if !e.suspect || down {
		e.suspect = true
		e.lastTrialAt = r.now
	}
	if down {
		r.recordUnreachable(e)
	}
}

// onAdvice applies the suspicions of other gateways. A suspicion counts only if the engine has given this
// gateway no sign of life since the evidence was gathered.
func (r *Router) onAdvice(a *Advice) {
	for _, d := range a.Suspicions {
		if e := r.engines[d.Engine]; e != nil && e.StartedAt == d.StartedAt && e.lastSignOfLifeAt < d.At {
			r.markSuspect(e, false)
		}
	}
}

// recordRejection records an error, a rejection or a lost connection. An engine that fails fast has little
// load, looks idle and attracts ever more requests, so it becomes suspect once most of its responses are
// failures. Attempts already in flight there may still succeed. If most of a tenant's requests fail at
// whichever engine they reach, the cause is the tenant's requests, and the engines are not blamed.
func (r *Router) recordRejection(a *attempt, code OutcomeCode) {
	e, t := a.engine, r.tenant(a.request)
	e.lastSignOfLifeAt = r.now
	if code == ServerError {
		t.errorRate += tenantErrorRateWeight * (1 - t.errorRate)
	}
	if t.errorRate > maxErrorRate {
		return
	}
	if e.errorRate += errorRateWeight * (1 - e.errorRate); e.errorRate > maxErrorRate {
		r.markSuspect(e, false)
	}
}

// avoids reports whether an engine gets no requests, or only trials. ignoreSuspicions is set while a fault
// is shared by most of the fleet; an engine that could not be connected to is avoided even then.
func (r *Router) avoids(e *engine, ignoreSuspicions bool) bool {
	return e.notReady || e.suspect && (e.unreachable || !ignoreSuspicions)
}

// isExcluded reports whether an engine is avoided and not due for a trial. An engine that is suspect for
// its silence, not for its errors, gets one trial at a time.
func (r *Router) isExcluded(e *engine, ignoreSuspicions bool) bool {
	return r.avoids(e, ignoreSuspicions) &&
		(r.now-e.lastTrialAt < trialInterval || len(e.awaitingFirstToken) > 0 && e.errorRate <= maxErrorRate)
}

// hasSharedFault reports whether so many engines are suspect that the cause must be shared. Then no engine
// is avoided for a suspicion. In a large fleet the result is reused for a fifth of a tick.
func (r *Router) hasSharedFault() bool {
	if len(r.ready) > maxFullScan && r.now-r.sharedFaultAt < tickInterval/5 {
		return r.sharedFault
	}
	suspects := 0
	for _, e := range r.ready {
		if e.suspect && !e.unreachable {
			suspects++
		}
	}
	r.sharedFault = float64(suspects) > maxSuspectFraction*float64(len(r.ready))
	r.sharedFaultAt = r.now
	return r.sharedFault
}

// checkHealth marks silent engines as suspect, and hedges or cancels the attempts that wait at suspect
// engines.
func (r *Router) checkHealth() {
	shared := r.hasSharedFault()
	for _, e := range r.ready {
		if e.isSilent(r.now) {
			r.markSuspect(e, false)
		}
		if e.suspect && !shared {
			for _, a := range append([]*attempt(nil), e.awaitingFirstToken...) {
				r.hedgeOrCancel(a)
			}
		}
	}
}

// isSilent reports whether the engine's oldest unanswered attempt is overdue and the engine has given no
// sign of life since that attempt was sent.
func (e *engine) isSilent(now int64) bool {
	if len(e.awaitingFirstToken) == 0 {
		return false
	}
	oldest := e.awaitingFirstToken[0]
	return oldest.overdue(now) && e.lastSignOfLifeAt <= oldest.sentAt
}

// hedgeOrCancel moves an overdue attempt at a suspect engine elsewhere: it sends a second copy where the
// settings permit that, else it cancels the attempt, so that the request is retried.
func (r *Router) hedgeOrCancel(a *attempt) {
	q := a.request
	if q.settled || q.claimed != nil || a.cancelling || !a.overdue(r.now) || r.retryBudget < 1 {
		return
	}
	mayHedge := r.settings.HedgedRequests && q.attemptsInFlight() == 1
	switch {
	case mayHedge && !r.hasNoValueLeft(q) && r.shedFraction <= maxShedForHedging:
		r.retryBudget--
		r.dispatch(q)
	case !r.settings.HedgedRequests && r.settings.Cancel && r.class(q).Effect == Safe &&
		!r.cancellingWastesWork():
		r.retryBudget--
		a.cancelling = true
		r.emit(Action{Kind: Cancel, Request: q.ID, Attempt: a.number})
	}
}

// removeUnanswered removes an attempt from its engine's list of unanswered attempts.
func (r *Router) removeUnanswered(a *attempt) {
	for i, other := range a.engine.awaitingFirstToken {
		if other == a {
			a.engine.awaitingFirstToken = append(
				a.engine.awaitingFirstToken[:i],
				a.engine.awaitingFirstToken[i+1:]...,
			)
			return
		}
	}
}

// CountEngines returns the number of listed engines and how many of these are avoided, either because
// discovery lists them as not ready or because this gateway suspects them.
func (r *Router) CountEngines() (listed, avoided int) {
	ignoreSuspicions := r.hasSharedFault()
	for _, e := range r.engines {
		if e.State == Removed {
			continue
		}
		listed++
		if r.avoids(e, ignoreSuspicions) {
			avoided++
		}
	}
	return listed, avoided
}

// failureDomain returns the engines that are taken to fail together with e: e alone, or every ready engine
// of its zone if the whole zone is unreachable.
func (r *Router) failureDomain(e *engine) []*engine {
	if r.unreachableByZone[e.Zone] < lostZoneThreshold || r.settings.Zones < 2 {
		return []*engine{e}
	}
	elsewhere := func(o *engine) bool { return o.Zone != e.Zone && o != e }
	return slices.DeleteFunc(slices.Clone(r.ready), elsewhere)
}
