package standpoint

// Decisions where no load is told of the engines.

import (
	"math"
)

// Where no load is told of the engines, a gateway knows of what the others send from its own waits alone.
const (
	// Of a cross-zone request, below which such a gateway ranks without regard to its zone: it cannot
	// see whether that bears its traffic.
	unreportedCrossPrice = 0.1
	vainWaitHalfLife     = 2.0 // seconds in which what was waited in vain counts half
	// Fall of the refused part in a second: objectives that are met tell of the load, time does not.
	unreportedShedFractionDecay = 0.02
	unreportedMinRankedRequests = 2 // requests that the poorest are found among; others need knownLeast
	defaultMinRankedRequests    = 8
)

func (r *Router) lacksReports() bool { return r.settings.Reports == ReportNone }

// minCrossZonePrice is the price of a cross-zone request from which the own zone comes first.
func (r *Router) minCrossZonePrice() float64 {
	if r.lacksReports() {
		return unreportedCrossPrice
	}
	return 0
}

// wastedWaitOf is how long a first token takes at the engine at the least, in seconds, where no load is
// told: as long as the oldest attempt there has waited, or as one did that ended without.
func (r *Router) wastedWaitOf(e *engine) float64 {
	if !r.lacksReports() {
		return 0
	}
	least := e.wastedWait * math.Exp2(-seconds(r.now-e.wastedWaitAt)/vainWaitHalfLife)
	if len(e.unanswered) > 0 {
		least = max(least, seconds(r.now-e.unanswered[0].sent))
	}
	return least
}

// cancellingWastesWork tells that what is called off is likely lost: the servers of an overloaded fleet,
// whose load nobody tells, have read it for nothing, and read it again elsewhere.
func (r *Router) cancellingWastesWork() bool {
	return r.lacksReports() && r.shedFraction > maxShedForHedging
}

// recordWastedWait notes, where no load is told, an attempt that ended without a first token. Behind its
// objective that shows an overload as a late one does, and more: its server's work was in vain, so as
// many objectives are set against it as undo one.
func (r *Router) recordWastedWait(a *attempt, code OutcomeCode) {
	if !r.lacksReports() || a.firstTokenAt != 0 || code != NoAnswer && code != Cancelled {
		return
	}
	waited, aim := seconds(r.now-a.sent), r.latencyObjective(a.request)
	decay := math.Exp2(-seconds(r.now-a.engine.wastedWaitAt) / vainWaitHalfLife)
	a.engine.wastedWait = max(waited, a.engine.wastedWait*decay)
	a.engine.wastedWaitAt = r.now
	for i := 0.0; i < metObjectivesPerMiss && aim > 0 && waited > aim; i++ {
		r.adjustShedding(a.engine, true)
	}
}
