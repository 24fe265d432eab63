package standpoint

// Decisions that differ in deployments in which gateways get no load reports.

import (
	"math"
)

// Without load reports a gateway learns of the load from other gateways only by how long its own requests
// wait.
const (
	// unreportedMinCrossZonePrice is the price of a cross-zone request up to which a gateway without load
	// reports ranks engines regardless of their zone: it cannot see whether its own zone can carry its
	// traffic.
	unreportedMinCrossZonePrice = 0.1
	wastedWaitHalfLife          = 2.0 // seconds after which a wait without a first token counts half
	// unreportedShedFractionDecay is the fall of the shed fraction per second without load reports. It is
	// small: met objectives show that the load has fallen, the passing of time does not.
	unreportedShedFractionDecay = 0.02
	// unreportedMinRankedRequests and defaultMinRankedRequests are the numbers of requests that must have
	// been ranked by value density before one may be shed, without load reports and with them.
	unreportedMinRankedRequests = 2
	defaultMinRankedRequests    = 8
)

// lacksReports reports whether the deployment has no load reports.
func (r *Router) lacksReports() bool { return r.settings.Reports == ReportNone }

// minCrossZonePrice returns the price of a cross-zone request above which requests prefer the gateway's own
// zone.
func (r *Router) minCrossZonePrice() float64 {
	if r.lacksReports() {
		return unreportedMinCrossZonePrice
	}
	return 0
}

// minExpectedTTFT returns the lower bound, in seconds, of the TTFT that is predicted for the engine. It is
// the larger of the time that the oldest attempt there has waited for its first token and wastedWait, which
// decays. With load reports it is 0.
func (r *Router) minExpectedTTFT(e *engine) float64 {
	if !r.lacksReports() {
		return 0
	}
	minWait := e.wastedWait * math.Exp2(-seconds(r.now-e.wastedWaitAt)/wastedWaitHalfLife)
	if len(e.awaitingFirstToken) > 0 {
		minWait = max(minWait, seconds(r.now-e.awaitingFirstToken[0].sentAt))
	}
	return minWait
}

// cancellingWastesWork reports whether cancelling an attempt is likely to waste work: without load reports,
// in an overloaded fleet, its engine has prefilled the prompt for nothing and another one has to do so again.
func (r *Router) cancellingWastesWork() bool {
	return r.lacksReports() && r.shedFraction > maxShedForHedging
}

// recordWastedWait records, in deployments without load reports, an attempt that ended without a first token.
// If it waited for longer than its latency objective it shows an overload, as a late first token does, and
// its engine's work was wasted besides. It therefore counts as metObjectivesPerMiss missed objectives.
func (r *Router) recordWastedWait(a *attempt, code OutcomeCode) {
	if !r.lacksReports() || a.firstTokenAt != 0 || code != NoAnswer && code != Cancelled {
		return
	}
	waited, objective := seconds(r.now-a.sentAt), r.latencyObjective(a.request)
	decay := math.Exp2(-seconds(r.now-a.engine.wastedWaitAt) / wastedWaitHalfLife)
	a.engine.wastedWait = max(waited, a.engine.wastedWait*decay)
	a.engine.wastedWaitAt = r.now
	for i := 0.0; i < metObjectivesPerMiss && objective > 0 && waited > objective; i++ {
		r.adjustShedding(a.engine, true)
	}
}
