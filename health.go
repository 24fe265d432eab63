package standpoint

// Outlier detection. Suspect engines get no requests except an occasional trial.

import (
	"slices"
)

const (
	trialInterval         = 1500 * ms // minimum time between two trials of a suspect engine
	errorRateWeight       = 0.3       // weight of one response in an engine's error rate
	tenantErrorRateWeight = 0.05      // weight of one response in a tenant's error rate over all engines
	maxErrorRate          = 0.5       // error rate above which an engine becomes suspect
	maxSuspectFraction    = 0.5       // fraction of suspect engines above which they have a shared cause
	// unreachableZoneThreshold is the number of consecutive unreachable engines of a zone from which the
	// whole zone is taken to be unreachable. If one engine in eight is unreachable, three in a row are so by
	// chance once in 512 cases.
	unreachableZoneThreshold = 3
	// minOutage is the time in seconds for which an engine must have been unreachable to be taken to have
	// restarted. After a shorter time it is taken to have paused.
	minOutage = 1.0
)

// recordSignOfLife records that the attempt's engine has responded, and clears its suspicion.
func (r *Router) recordSignOfLife(a *attempt) {
	r.removeAwaitingFirstToken(a)
	r.recordRecovery(a.engine)
	a.engine.lastSignOfLifeAt = r.now
	a.engine.suspect = false
	a.engine.unreachable = false
	a.engine.errorRate -= errorRateWeight * a.engine.errorRate
	r.tenant(a.request).errorRate *= 1 - tenantErrorRateWeight
}

// recordRecovery treats an engine that responds again after it was unreachable as restarted, unless it was
// unreachable for less than minOutage: discovery reports a restart only seconds later, when all gateways
// would already have returned to the engine at full rate. If its whole zone was unreachable, this applies to
// every engine of the zone.
func (r *Router) recordRecovery(e *engine) {
	if e.unreachable {
		for _, other := range r.failureDomain(e) {
			if other.unreachable && seconds(r.now-other.unreachableSince) >= minOutage {
				other.recoveredAt = r.now
				other.firstSeenAt = r.now
				other.slowStartBudget = r.rng.Float64()
				other.slowStartBudgetAt = r.now
			}
			other.suspect = other.suspect && !other.unreachable
			other.unreachable = false
		}
	}
	r.unreachableByZone[e.Zone] = 0
}

// recordUnreachable records a failed connection to an engine. unreachableZoneThreshold such engines of one
// zone, with no response from the zone in between, show that the whole zone is unreachable. One trial then
// counts for all of its engines; otherwise requests would have to fail at each of them first.
func (r *Router) recordUnreachable(e *engine) {
	if !e.unreachable {
		e.unreachable = true
		e.unreachableSince = r.now
		r.unreachableByZone[e.Zone]++
	}
	for _, other := range r.failureDomain(e) {
		if !other.unreachable {
			other.unreachableSince = r.now
		}
		other.suspect = true
		other.unreachable = true
		other.lastTrialAt = r.now
	}
}

// markSuspect marks the engine as suspect, so that it gets only trials. unreachable says that no connection
// to it could be opened.
func (r *Router) markSuspect(e *engine, unreachable bool) {
	if !e.suspect || unreachable {
		e.suspect = true
		e.lastTrialAt = r.now
	}
	if unreachable {
		r.recordUnreachable(e)
	}
}

// onAdvice applies the suspicions of other gateways. A suspicion counts only if this gateway has seen no sign
// of life of the engine since the evidence was gathered.
func (r *Router) onAdvice(a *Advice) {
	for _, suspicion := range a.Suspicions {
		if e := r.engines[suspicion.Engine]; e != nil && e.StartedAt == suspicion.StartedAt &&
			e.lastSignOfLifeAt < suspicion.At {
			r.markSuspect(e, false)
		}
	}
}

// recordFailure records a server error, a rejection or a lost connection. An engine that fails fast has
// little load, looks idle and attracts ever more requests, so it becomes suspect once its error rate exceeds
// maxErrorRate. Attempts in flight there may still succeed. If most of a tenant's requests end in server
// errors, whichever engine they reach, the cause is the tenant's requests, and the engines are not blamed.
func (r *Router) recordFailure(a *attempt, code OutcomeCode) {
	e, tenant := a.engine, r.tenant(a.request)
	e.lastSignOfLifeAt = r.now
	if code == ServerError {
		tenant.errorRate += tenantErrorRateWeight * (1 - tenant.errorRate)
	}
	if tenant.errorRate > maxErrorRate {
		return
	}
	if e.errorRate += errorRateWeight * (1 - e.errorRate); e.errorRate > maxErrorRate {
		r.markSuspect(e, false)
	}
}

// avoids reports whether an engine gets no requests, or only trials. ignoreSuspicions is set while most of
// the fleet is suspect; an unreachable engine is avoided even then.
func (r *Router) avoids(e *engine, ignoreSuspicions bool) bool {
	return e.notReady || e.suspect && (e.unreachable || !ignoreSuspicions)
}

// isExcluded reports whether an engine is avoided and not due for a trial. An engine that is not suspect for
// its error rate gets no further trial while an attempt there waits for its first token.
func (r *Router) isExcluded(e *engine, ignoreSuspicions bool) bool {
	return r.avoids(e, ignoreSuspicions) &&
		(r.now-e.lastTrialAt < trialInterval || len(e.awaitingFirstToken) > 0 && e.errorRate <= maxErrorRate)
}

// hasSharedFault reports whether so many engines are suspect, not counting unreachable ones, that the cause
// must be shared. Then no engine is avoided for a suspicion. In a large fleet the result is reused for a
// fifth of tickInterval.
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

// checkHealth marks silent engines as suspect, and hedges or cancels the overdue attempts at suspect engines.
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

// isSilent reports whether the engine's oldest attempt without a first token is overdue and the engine has
// given no sign of life since that attempt was sent.
func (e *engine) isSilent(now int64) bool {
	if len(e.awaitingFirstToken) == 0 {
		return false
	}
	oldest := e.awaitingFirstToken[0]
	return oldest.overdue(now) && e.lastSignOfLifeAt <= oldest.sentAt
}

// hedgeOrCancel acts on an overdue attempt at a suspect engine, as far as the retry budget and the load
// permit: where the settings allow hedged attempts it sends one, else it cancels the attempt if the request's
// class is safe, so that the request is retried.
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

// removeAwaitingFirstToken removes an attempt from those that wait for their first token at its engine.
func (r *Router) removeAwaitingFirstToken(a *attempt) {
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
// discovery lists them as draining or because this gateway suspects them.
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

// failureDomain returns the engines that are taken to fail together with e: e alone or, if the whole zone is
// taken to be unreachable, every ready engine of the zone.
func (r *Router) failureDomain(e *engine) []*engine {
	if r.unreachableByZone[e.Zone] < unreachableZoneThreshold || r.settings.Zones < 2 {
		return []*engine{e}
	}
	elsewhere := func(o *engine) bool { return o.Zone != e.Zone && o != e }
	return slices.DeleteFunc(slices.Clone(r.ready), elsewhere)
}
