package standpoint

// Slow start: how many requests go to engines that have just started.

const (
	// slowStartMargin is the fraction of a starting engine's permitted load that all gateways together use.
	// The permitted load is Settings.OverloadFactor times the engine's capacity at the time.
	slowStartMargin = 0.5
)

// hasSlowStartBudget reports whether the slow-start budget permits one more request to a starting engine.
// All gateways see the same start. Each takes a share of the permitted load in proportion to its own request
// rate per engine, and accumulates it from a random initial value so that the gateways do not all send at
// once.
func (r *Router) hasSlowStartBudget(e *engine) bool {
	start := r.startedAt(e)
	if start <= 0 || r.now-start > r.settings.WarmUp+r.settings.OverloadWindow || r.settings.WarmUp <= 0 {
		e.slowStartBudgetAt = 0
		return true
	}
	if e.slowStartBudgetAt == 0 {
		e.slowStartBudgetAt = r.now
	}
	// The rate is divided by the usual number of ready engines, not by the present one: when most of the
	// fleet has failed, the few starting engines that remain cannot take over all of its work.
	perEngine := r.requestRate / max(1, r.usualReadyCount) * r.relativeSize(e)
	refill := perEngine * r.minCapacityFraction(e) * r.settings.OverloadFactor * slowStartMargin
	e.slowStartBudget += refill * seconds(r.now-e.slowStartBudgetAt)
	e.slowStartBudget = min(e.slowStartBudget, 1.5) // at most one request can be sent at once
	e.slowStartBudgetAt = r.now
	return e.slowStartBudget >= 1
}

// startedAt returns the time of the engine's last start; 0 means long ago. It is the start that discovery
// reported, or a later time at which the engine responded again after it was unreachable. Discovery reports a
// real restart within DiscoveryTimeout, so a recovery without such a report was no restart.
func (r *Router) startedAt(e *engine) int64 {
	start := e.StartedAt
	if e.substituteStartAt > 0 {
		start = e.substituteStartAt
	}
	if e.recoveredAt > start && r.now-e.recoveredAt < r.settings.DiscoveryTimeout {
		return e.recoveredAt
	}
	return start
}

// minCapacityFraction returns the fraction of its full capacity that the engine has at least. It rises
// linearly during the warm-up.
func (r *Router) minCapacityFraction(e *engine) float64 {
	start := r.startedAt(e)
	if start <= 0 || r.settings.WarmUp <= 0 {
		return 1
	}
	warmUpProgress := clamp(float64(r.now-start)/float64(r.settings.WarmUp), 1)
	return r.settings.ColdCapacityFraction + (1-r.settings.ColdCapacityFraction)*warmUpProgress
}
