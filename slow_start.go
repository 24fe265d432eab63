package standpoint

// How much is sent to engines that have just started.

const (
	coldMargin = 0.5 // of rule 4's allowance that the gateways together use
)

// hasSlowStartBudget tells whether the cold budget lets one more request go to a starting engine. All
// gateways see the same start; each takes its share of what the rule allows, measured against its own mean
// rate for each engine, and saves it up from a random beginning so that they do not all send at once.
func (r *Router) hasSlowStartBudget(e *engine) bool {
	start := r.startedAt(e)
	if start <= 0 || r.now-start > r.settings.WarmUp+r.settings.OverloadWindow || r.settings.WarmUp <= 0 {
		e.slowStartBudgetAt = 0
		return true
	}
	if e.slowStartBudgetAt == 0 {
		e.slowStartBudgetAt = r.now
	}
	// The divisor is the fleet's usual size: when most engines are down, what is left of them must not be
	// taken to be able to do all the work (guards against cold engines pushed over in a joint failure).
	perEngine := r.requestRate / max(1, r.usualReadyCount) * r.relativeSize(e)
	refill := perEngine * r.warmFraction(e) * r.settings.OverloadFactor * coldMargin
	e.slowStartBudget += refill * seconds(r.now-e.slowStartBudgetAt)
	e.slowStartBudget = min(e.slowStartBudget, 1.5)
	e.slowStartBudgetAt = r.now
	return e.slowStartBudget >= 1
}

// startedAt is the engine's last start, as told, or as taken from its coming back; 0: long ago. What is
// told of a start comes within the time in which discovery must be asked: one that is not told by then
// was none.
func (r *Router) startedAt(e *engine) int64 {
	told := e.ReadyAt
	if e.substituteStart > 0 {
		told = e.substituteStart
	}
	if e.recoveredAt > told && r.now-e.recoveredAt < r.settings.DiscoveryTimeout {
		return e.recoveredAt
	}
	return told
}

// warmFraction is the part of its capacity that the engine has at the least.
func (r *Router) warmFraction(e *engine) float64 {
	start := r.startedAt(e)
	if start <= 0 || r.settings.WarmUp <= 0 {
		return 1
	}
	age := clamp(float64(r.now-start)/float64(r.settings.WarmUp), 1)
	return r.settings.ColdCapacityFraction + (1-r.settings.ColdCapacityFraction)*age
}
