package standpoint

// Which engine a request goes to.

import (
	"cmp"
	"math"
	"slices"
)

const (
	gateMatch              = 0.80  // share of the prompt kept that opens the gate (DESIGN)
	exploreRate            = 0.01  // chance of leaving the gate out (DESIGN)
	maxAffinityTTFT        = 5.0   // seconds the gated best may trail the best overall (DESIGN)
	ttftWeight             = 0.8   // of headroom; the rest is pace (DESIGN)
	sampleSize             = 3     // engines of the highest rank that are looked at, besides matches
	sparseWait             = 0.1   // of the warm-up: a gateway that weighs each engine in it is not sparse
	sparseSpill            = 0.5   // part of its sessions that a sparse gateway ranks regardless of its zone
	headroomReserve        = 0.5   // share of an objective that must be left for headroom to count
	headroomReserveEngines = 8.0   // engines weighed; of more, the least headroom is a worse guess
	minHomeAdvantage       = 300.0 // prompt tokens expected kept at the assumed home, to go there
)

// pick chooses an engine for the request, or nil.
func (r *Router) pick(q *request) *option {
	wide := r.rng.Float64() < exploreRate
	all := r.buildOptions(q, wide)
	if len(all) == 0 {
		return nil
	}
	top := best(all, nil)
	gated := best(all, func(o *option) bool { return o.match >= gateMatch })
	othersMayKeep := len(q.cachedByEngine) == 0 && r.settings.Gateways > 1
	if gated == nil && othersMayKeep && r.homeAdvantage(q) > minHomeAdvantage {
		// Exception: this gateway knows of no engine that keeps the prompt, but other turns of the session
		// may have come through other gateways, which assume the same home.
		gated = best(all, func(o *option) bool { return o.home })
	}
	if wide || gated == nil || gated.ttft-top.ttft > r.maxAffinityPenalty(q) {
		return top
	}
	return gated
}

// homeAdvantage are the prompt tokens that the request's home is expected to keep, and other engines not.
func (r *Router) homeAdvantage(q *request) float64 {
	kept := r.expectedMatch(q) * q.PromptTokens
	if q.homeByPrefix {
		return kept
	}
	return kept - q.PrefixTokens
}

// best is the least positive headroom, or the lowest prediction where none is positive, of what the gate
// lets through.
func best(all []option, gate func(*option) bool) *option {
	var best *option
	for i := range all {
		o := &all[i]
		if gate != nil && !gate(o) {
			continue
		}
		if best == nil || o.isBetterThan(best) {
			best = o
		}
	}
	return best
}

// isBetterThan compares two options: one with headroom beats one without; of two with headroom the
// smaller one wins, of two without the larger.
func (o *option) isBetterThan(other *option) bool {
	if o.hasHeadroom != other.hasHeadroom {
		return o.hasHeadroom
	}
	if o.hasHeadroom {
		return o.headroom < other.headroom
	}
	return o.headroom > other.headroom
}

// buildOptions predicts for every engine that may be used.
func (r *Router) buildOptions(q *request, wide bool) []option {
	some := r.preferred(q)
	slices.SortStableFunc(some, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	// The more of the traffic this gateway sees, the more of the fleet it can tell apart.
	scored := max(sampleSize, len(some)/max(1, r.settings.Gateways))
	all := r.options[:0]
	for i, c := range some {
		if i < scored || c.match >= gateMatch || wide {
			all = append(all, option{engine: c.engine, match: c.match, home: i == 0})
		}
	}
	objective := r.latencyObjective(q)
	class := r.class(q)
	for i := range all {
		o := &all[i]
		if _, told := q.cachedByEngine[o.engine]; o.home && !told && (q.Session != 0 || q.homeByPrefix) {
			o.match = max(o.match, min(gateMatch-0.01, r.expectedMatch(q)))
		}
		r.predict(q, o)
		r.rate(q, o, objective, class, len(all))
	}
	r.options = all
	return all
}

// preferred are the engines that may be used, but for those to which others are preferred.
func (r *Router) preferred(q *request) []candidate {
	ignore := r.hasSharedFault()
	some := r.eligibleCandidates(q, r.sampleEngines(q), ignore)
	if len(some) == 0 {
		some = r.eligibleCandidates(q, r.ready, ignore)
	}
	if len(q.attempts) > 0 { // not where it failed, nor in a zone that it could not reach, if others do
		some = prefer(some, func(e *engine) bool { return !q.wasTriedAt(e) })
		some = prefer(some, func(e *engine) bool { return q.mayReach(e) })
	}
	some = prefer(some, func(e *engine) bool { return !e.Stale })
	some = prefer(some, func(e *engine) bool { return e.reinstated })
	// A sparse gateway uses its budget for a cold engine with the first request that may.
	if r.isSparse() && !slices.ContainsFunc(some, func(c candidate) bool { return c.match >= gateMatch }) {
		some = prefer(some, func(e *engine) bool { return e.slowStartBudgetAt != 0 })
	}
	if q.Pool != 0 { // a pool in which nothing will do falls over to the others at once
		some = prefer(some, func(e *engine) bool { return e.Pool == q.Pool })
	}
	return some
}

// rate sets the headroom of an option among so many, by the objective and the class of its request.
func (r *Router) rate(q *request, o *option, objective float64, class *Class, options int) {
	if objective <= 0 {
		o.headroom = -ttftWeight*o.ttftUpper - (1-ttftWeight)*o.tpotUpper*q.MaxTokens
		return
	}
	left := objective - seconds(r.now-q.arrivedAt)
	o.headroom = ttftWeight * (left - o.ttftUpper) / objective
	room := (left - o.ttftUpper) / objective
	if class.TPOTObjective > 0 {
		pace := 1 - o.tpotUpper/seconds(class.TPOTObjective)
		o.headroom += (1 - ttftWeight) * pace
		room = min(room, pace)
	}
	few := min(1, headroomReserveEngines/float64(options))
	o.hasHeadroom = room > 1-(1-headroomReserve)*math.Sqrt(few)
}

// eligibleCandidates are the engines that the rules and their state let a request go to.
func (r *Router) eligibleCandidates(q *request, among []*engine, ignore bool) []candidate {
	some, home := r.candidates[:0], r.prefersOwnZone(q)
	for _, e := range among {
		if r.mayUse(q, e) && r.hasSlowStartBudget(e) && !r.isExcluded(e, ignore) {
			c := candidate{e, r.match(q, e), rank(q.key(), e)}
			if home && !r.isInOwnZone(e) { // below all of the own zone, in their own order
				c.rank = -1 / c.rank
			}
			some = append(some, c)
		}
	}
	r.candidates = some
	return some
}

// prefer keeps the candidates that the test lets through, or all where it lets none through.
func prefer(all []candidate, test func(*engine) bool) []candidate {
	if !slices.ContainsFunc(all, func(c candidate) bool { return test(c.engine) }) {
		return all
	}
	return slices.DeleteFunc(all, func(c candidate) bool { return !test(c.engine) })
}

// isSparse tells that this gateway weighs a given engine but seldom, and so knows little of its load.
func (r *Router) isSparse() bool {
	return r.requestRate*sampleSize*sparseWait*seconds(r.settings.WarmUp) < float64(len(r.ready))
}

// prefersOwnZone tells whether the session is ranked in the own zone first: none where a cross-zone
// request is free, else all but what the own zone lacks of an even share of the fleet's size. While
// engines are cold a sparse gateway cannot see whether its zone bears its traffic, and all of that zone
// would press on what is left together.
func (r *Router) prefersOwnZone(q *request) bool {
	spill := 1 - r.ownZoneFraction*float64(r.settings.Zones)
	if r.isSparse() && r.now < r.fleetWarmUpEnd {
		spill = max(spill, sparseSpill)
	}
	if q.homeByPrefix {
		// One home for all gateways: a second copy of a long beginning costs more than cross-zone requests.
		return false
	}
	return r.settings.CrossZonePrice > r.minCrossZonePrice() &&
		r.settings.Zones > 1 &&
		unit(mix(q.key(), prefixSalt)) >= spill
}

// candidate is an engine that a request may go to, before anything is predicted of it.
type candidate struct {
	engine *engine
	match  float64 // share of the prompt that it is taken to keep
	rank   float64
}

type option struct {
	engine   *engine
	features featureVector
	match    float64
	home     bool
	// Predicted seconds to the first token by what directory owners told, before that is weighed; 0:
	// nothing was told.
	unloadedTTFT    float64
	ttft, ttftUpper float64 // predicted seconds to the first token; and widened by the measured error
	tpot            float64
	tpotUpper       float64 // that widened likewise
	headroom        float64
	hasHeadroom     bool // headroom is positive
}

// relativeSize is an engine's registered size, in that of the ready ones' mean.
func (r *Router) relativeSize(e *engine) float64 {
	if !(e.Size > 0) || !(r.meanSize > 0) {
		return 1
	}
	return e.Size / r.meanSize
}

func (r *Router) isInOwnZone(e *engine) bool { return e.Zone == r.settings.Zone }

// maxAffinityPenalty is how far, in seconds, the gated best may trail the best overall: where no load is
// told no further than the objective, for what is known of it comes from waits that are over.
func (r *Router) maxAffinityPenalty(q *request) float64 {
	if len(q.cachedByEngine) > 0 {
		return directoryAffinityPenalty
	}
	if aim := r.latencyObjective(q); r.lacksReports() && aim > 0 {
		return min(maxAffinityTTFT, aim)
	}
	return maxAffinityTTFT
}
