package standpoint

// Placement: which engine a request is sent to.
//
// The headroom of an engine is the fraction of the request's objectives that its predicted latency leaves.
// The affinity gate lets the engines through that have most of the prompt cached. Of these, or of all engines
// if there is none, the one with the least positive headroom is chosen, which leaves the faster ones to
// requests that need them.

import (
	"cmp"
	"math"
	"slices"
)

const (
	minGateMatch    = 0.80 // cached fraction of the prompt from which an engine passes the affinity gate
	explorationRate = 0.01 // probability of a decision without the gate, among all candidates
	// defaultAffinityPenalty is the maximum, in seconds, by which the predicted TTFT of the best engine that
	// passes the gate may exceed that of the best overall; see maxAffinityPenalty.
	defaultAffinityPenalty = 5.0
	ttftWeight             = 0.8 // weight of the TTFT in the headroom; the rest is the weight of the TPOT
	// sampleSize is the minimum number of the highest-ranked engines that are evaluated, besides those that
	// pass the gate.
	sampleSize = 3
	// sparseWarmUpFraction is a part of the warm-up: a gateway is sparse if it cannot evaluate each engine
	// once in that time.
	sparseWarmUpFraction = 0.1
	minSparseSpill       = 0.5 // minimum spill of a sparse gateway; see prefersOwnZone
	headroomReserve      = 0.5 // fraction of each objective that must be left for positive headroom
	// headroomReserveEngines is the number of options above which more than headroomReserve must be left: the
	// more options are compared, the less reliable is the prediction of the one with the least headroom.
	headroomReserveEngines = 8.0
	// minHomeAdvantage is the number of prompt tokens above which the assumed home is preferred: those that
	// it, but no other engine, is expected to have cached.
	minHomeAdvantage = 300.0
)

// pick chooses an engine for the request. It returns nil if none may be used.
func (r *Router) pick(q *request) *option {
	explore := r.rng.Float64() < explorationRate
	options := r.buildOptions(q, explore)
	if len(options) == 0 {
		return nil
	}
	overall := bestOption(options, nil)
	gated := bestOption(options, func(o *option) bool { return o.match >= minGateMatch })
	othersMayCache := len(q.cachedByEngine) == 0 && r.settings.Gateways > 1
	if gated == nil && othersMayCache && r.homeAdvantage(q) > minHomeAdvantage {
		// This gateway knows of no engine that has the prompt cached, but earlier turns of the session may
		// have come through other gateways, which assume the same home.
		gated = bestOption(options, func(o *option) bool { return o.home })
	}
	if explore || gated == nil || gated.ttft-overall.ttft > r.maxAffinityPenalty(q) {
		return overall
	}
	return gated
}

// homeAdvantage returns the number of prompt tokens that the request's home engine, but no other engine, is
// expected to have cached.
func (r *Router) homeAdvantage(q *request) float64 {
	cachedTokens := r.expectedHomeMatch(q) * q.PromptTokens
	if q.homeByPrefix {
		return cachedTokens
	}
	return cachedTokens - q.PrefixTokens
}

// bestOption returns the best of the options that the gate lets through: the one with the least positive
// headroom or, if none has positive headroom, the one with the largest headroom. A nil gate lets all through.
// The result is nil if there is no such option.
func bestOption(options []option, gate func(*option) bool) *option {
	var best *option
	for i := range options {
		o := &options[i]
		if gate != nil && !gate(o) {
			continue
		}
		if best == nil || o.isBetterThan(best) {
			best = o
		}
	}
	return best
}

// isBetterThan reports whether o is preferred to other. An option with positive headroom is preferred to one
// without; of two options with it the one with less headroom is preferred, of two without it the one with
// more.
func (o *option) isBetterThan(other *option) bool {
	if o.hasHeadroom != other.hasHeadroom {
		return o.hasHeadroom
	}
	if o.hasHeadroom {
		return o.headroom < other.headroom
	}
	return o.headroom > other.headroom
}

// buildOptions predicts the latency at the engines that are evaluated for the request: those of the highest
// rank and those that pass the affinity gate, or all candidates if explore is set. The result is valid until
// the next call.
func (r *Router) buildOptions(q *request, explore bool) []option {
	candidates := r.preferredCandidates(q)
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	// The larger this gateway's part of the traffic, the more engines it knows well enough to compare.
	sampleCount := max(sampleSize, len(candidates)/max(1, r.settings.Gateways))
	options := r.options[:0]
	for i, c := range candidates {
		if i < sampleCount || c.match >= minGateMatch || explore {
			options = append(options, option{engine: c.engine, match: c.match, home: i == 0})
		}
	}
	objective := r.latencyObjective(q)
	class := r.class(q)
	for i := range options {
		o := &options[i]
		if _, known := q.cachedByEngine[o.engine]; o.home && !known && (q.Session != 0 || q.homeByPrefix) {
			o.match = max(o.match, min(minGateMatch-0.01, r.expectedHomeMatch(q)))
		}
		r.predict(q, o)
		r.setHeadroom(q, o, objective, class, len(options))
	}
	r.options = options
	return options
}

// preferredCandidates returns the engines that the request may be sent to. One preference after another
// reduces them to those that meet it, unless none does.
func (r *Router) preferredCandidates(q *request) []candidate {
	ignoreSuspicions := r.hasSharedFault()
	candidates := r.eligibleCandidates(q, r.sampleEngines(q), ignoreSuspicions)
	if len(candidates) == 0 {
		candidates = r.eligibleCandidates(q, r.ready, ignoreSuspicions)
	}
	if len(q.attempts) > 0 { // a retry avoids engines that were tried, and zones that were not reached
		candidates = prefer(candidates, func(e *engine) bool { return !q.hasAttemptAt(e) })
		candidates = prefer(candidates, func(e *engine) bool { return q.mayReach(e) })
	}
	candidates = prefer(candidates, func(e *engine) bool { return !e.Stale })
	candidates = prefer(candidates, func(e *engine) bool { return e.reinstated })
	// A sparse gateway uses its slow-start budget for an engine on the first request that may go there,
	// unless the prompt is cached elsewhere.
	if r.isSparse() &&
		!slices.ContainsFunc(candidates, func(c candidate) bool { return c.match >= minGateMatch }) {
		candidates = prefer(candidates, func(e *engine) bool { return e.slowStartBudgetAt != 0 })
	}
	if q.Pool != 0 { // a pool without any candidate fails over to the others at once
		candidates = prefer(candidates, func(e *engine) bool { return e.Pool == q.Pool })
	}
	return candidates
}

// setHeadroom computes the headroom of one of optionCount options: the weighted fraction of the objectives
// that is left after the predicted latency. Without a latency objective it is the negative of the predicted
// latency, and never counts as positive.
func (r *Router) setHeadroom(q *request, o *option, objective float64, class *Class, optionCount int) {
	if objective <= 0 {
		o.headroom = -ttftWeight*o.ttftUpper - (1-ttftWeight)*o.tpotUpper*q.MaxTokens
		return
	}
	remaining := objective - seconds(r.now-q.arrivedAt)
	o.headroom = ttftWeight * (remaining - o.ttftUpper) / objective
	margin := (remaining - o.ttftUpper) / objective
	if class.TPOTObjective > 0 {
		tpotHeadroom := 1 - o.tpotUpper/seconds(class.TPOTObjective)
		o.headroom += (1 - ttftWeight) * tpotHeadroom
		margin = min(margin, tpotHeadroom)
	}
	reserveScale := min(1, headroomReserveEngines/float64(optionCount))
	o.hasHeadroom = margin > 1-(1-headroomReserve)*math.Sqrt(reserveScale)
}

// eligibleCandidates returns those of the engines that the request may be sent to by the rules of its class,
// slow start and health, with their ranks. The result is valid until the next call.
func (r *Router) eligibleCandidates(q *request, engines []*engine, ignoreSuspicions bool) []candidate {
	eligible, ownZoneFirst := r.candidates[:0], r.prefersOwnZone(q)
	for _, e := range engines {
		if r.mayUse(q, e) && r.hasSlowStartBudget(e) && !r.isExcluded(e, ignoreSuspicions) {
			c := candidate{e, r.match(q, e), rendezvousScore(q.affinityKey(), e)}
			if ownZoneFirst && !r.isInOwnZone(e) { // ranked after all of the own zone, in the same order
				c.rank = -1 / c.rank
			}
			eligible = append(eligible, c)
		}
	}
	r.candidates = eligible
	return eligible
}

// prefer returns the candidates that are accepted, or all if none is. It may modify the slice.
func prefer(candidates []candidate, accept func(*engine) bool) []candidate {
	if !slices.ContainsFunc(candidates, func(c candidate) bool { return accept(c.engine) }) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c candidate) bool { return !accept(c.engine) })
}

// isSparse reports whether this gateway has so few requests for the size of the fleet that it rarely
// evaluates any given engine, and so knows little of its load.
func (r *Router) isSparse() bool {
	return r.requestRate*sampleSize*sparseWarmUpFraction*seconds(r.settings.WarmUp) < float64(len(r.ready))
}

// prefersOwnZone reports whether engines of the gateway's own zone are ranked before all others for the
// request. No request prefers it if CrossZonePrice is not above minCrossZonePrice. Otherwise all sessions do
// except a fraction, the spill, by which the size of the own zone falls short of an even share of the
// fleet's. While engines are warming up the spill of a sparse gateway is at least minSparseSpill: it cannot
// see whether its zone can carry its traffic, and the gateways of one zone would together overload the
// engines of that zone.
func (r *Router) prefersOwnZone(q *request) bool {
	spill := 1 - r.ownZoneFraction*float64(r.settings.Zones)
	if r.isSparse() && r.now < r.fleetWarmUpEnd {
		spill = max(spill, minSparseSpill)
	}
	if q.homeByPrefix {
		// All gateways must agree on the home: a second cached copy of a long prefix costs more than requests
		// to another zone.
		return false
	}
	return r.settings.CrossZonePrice > r.minCrossZonePrice() &&
		r.settings.Zones > 1 &&
		unitInterval(mix(q.affinityKey(), prefixSalt)) >= spill
}

// candidate is an engine that a request may be sent to, before its latency is predicted.
type candidate struct {
	engine *engine
	match  float64 // fraction of the prompt that the engine is expected to have cached
	rank   float64 // rendezvous score of the affinity key; the highest is the assumed home
}

// option is a candidate with its predicted latency.
type option struct {
	engine *engine
	// features are the inputs of the predictions.
	features featureVector
	// match is the fraction of the prompt that the engine is expected to have cached.
	match float64
	// home is set for the assumed home of the session or prefix, the candidate of the highest rank.
	home bool
	// unloadedTTFT is the predicted TTFT, in seconds, from the directory owner's recent load, before it is
	// scaled by the fraction of time that the engine spends on prefill; 0 if there is no recent load.
	unloadedTTFT float64
	// ttft is the predicted TTFT, in seconds; ttftUpper adds the mean prediction error.
	ttft, ttftUpper float64
	// tpot is the predicted TPOT, in seconds; tpotUpper adds the mean prediction error if output lengths are
	// known, or if hardly any stream has ended.
	tpot      float64
	tpotUpper float64
	// headroom is the weighted fraction of the objectives that is left; see setHeadroom.
	headroom float64
	// hasHeadroom is set if the headroom counts as positive: enough is left of each objective.
	hasHeadroom bool
}

// relativeSize returns the engine's registered size relative to the mean of the ready engines; 1 if either is
// unknown.
func (r *Router) relativeSize(e *engine) float64 {
	if !(e.Size > 0) || !(r.meanSize > 0) {
		return 1
	}
	return e.Size / r.meanSize
}

func (r *Router) isInOwnZone(e *engine) bool { return e.Zone == r.settings.Zone }

// maxAffinityPenalty returns by how many seconds the predicted TTFT of the best option that passes the
// affinity gate may exceed that of the best overall. Without load reports that is at most the latency
// objective: the prediction then follows from waits of earlier attempts, and so lags behind the load.
func (r *Router) maxAffinityPenalty(q *request) float64 {
	if len(q.cachedByEngine) > 0 {
		return directoryAffinityPenalty
	}
	if objective := r.latencyObjective(q); r.lacksReports() && objective > 0 {
		return min(defaultAffinityPenalty, objective)
	}
	return defaultAffinityPenalty
}
