package standpoint

// Load shedding: which requests are rejected while the fleet cannot serve all of them in time.

import (
	"math"
)

const (
	tenantRateSpan   = 3.0 // seconds over which a tenant's request rate is averaged
	overQuotaRatio   = 1.5 // multiple of its quota from which a tenant counts as over it
	requestCost      = 100 // work of a request besides its tokens, in prompt tokens
	outputTokenCost  = 2.0 // work of generating one output token, in prompt tokens
	shedFractionStep = 0.8 // rise of the shed fraction in a second in which all objectives are missed
	// minObjectiveRate is the minimum, in requests per second, of the request rate that a step of the shed
	// fraction is divided by: a gateway with few requests must not change it much with a single one.
	minObjectiveRate = 12.0
	maxShedFraction  = 0.8 // upper bound of the shed fraction
	maxGroupShedRate = 0.5 // shed rate of a class or a tenant from which no more of its requests are shed
	// minBandAcceptedFraction is the minimum fraction of a band of prompt lengths that is accepted, relative
	// to the accepted fraction of its class.
	minBandAcceptedFraction = 0.8
	// maxSharedSlowness is the ttftSlowness of an engine, a natural logarithm, above which its missed
	// objectives are no evidence of the fleet's load. It stands for about twice the predicted TTFT.
	maxSharedSlowness = 0.7
)

// valueDensity returns the request's value density: its weight divided by the work that it is expected to
// cause, in prompt tokens.
func (r *Router) valueDensity(q *request) float64 {
	match := 0.0
	for _, e := range r.sampleEngines(q) {
		match = max(match, r.match(q, e))
	}
	if q.Session != 0 {
		match = max(match, r.expectedHomeMatch(q))
	}
	// The part of MaxTokens that responses of the class reach is estimated as their decode time per token of
	// that limit over the base TPOT.
	outputTokens := q.MaxTokens * min(1, 1.3*math.Exp(r.classTPOTRatios[r.classIndex(q)].value)/r.baseTPOT)
	tieBreaker := 1 + 0.1*r.rng.Float64() // of equal requests only a part is to be shed
	work := requestCost + q.PromptTokens*(1-match) + outputTokenCost*outputTokens
	return tieBreaker * r.class(q).Weight * r.tenantWeight(q) / work
}

// tenantWeight counts the request in its tenant's rate and returns the factor by which its weight is reduced
// while the tenant sends at least overQuotaRatio times its quota, else 1. The factor is the mean of 1 for the
// part of the rate within the quota and OverQuotaWeight for the rest. The tenant's total rate is extrapolated
// from this gateway's; overQuotaRatio allows for chance, since one gateway sees few requests.
func (r *Router) tenantWeight(q *request) float64 {
	if q.Tenant >= 0 && q.Tenant < len(r.tenants) {
		r.tenants[q.Tenant].countRequest(r.now)
	}
	ratio := r.quotaRatio(q)
	if ratio < overQuotaRatio {
		return 1
	}
	return (1 + (ratio-1)*r.settings.OverQuotaWeight) / ratio
}

// shedsForDensity reports whether the request is shed because the fleet cannot serve all requests in time and
// this one is in the fraction of the lowest value density.
func (r *Router) shedsForDensity(q *request) bool {
	density := r.valueDensity(q)
	lower, total := r.rankValueDensity(density)
	r.shedFraction = max(0, r.shedFraction-r.shedDecayRate()*seconds(r.now-r.shedFractionAt))
	r.shedFractionAt = r.now
	lowDensity := total >= r.minRankedRequests() && r.shedFraction > 0 &&
		float64(lower) < r.shedFraction*float64(total)
	return r.shed(q, lowDensity)
}

// adjustShedding raises the shed fraction for an objective that was missed, and lowers it for one that was
// met.
func (r *Router) adjustShedding(e *engine, missed bool) {
	if e.ttftSlowness > maxSharedSlowness {
		return // the cause is this engine, not the fleet's load
	}
	step := shedFractionStep / max(minObjectiveRate, r.requestRate)
	if !missed {
		step /= -r.metObjectiveWeight()
	}
	r.shedFraction = min(maxShedFraction, max(0, r.shedFraction+step))
}

// tenantRate is what is known of a tenant's recent requests at this gateway.
type tenantRate struct {
	rate      float64 // requests per second, a moving average, as computed at updatedAt
	updatedAt int64   // in nanoseconds
	errorRate float64 // moving average of server errors among the responses of all engines
	shedRate  float64 // moving average of the fraction of requests that were shed
}

// countRequest counts a request of the tenant.
func (t *tenantRate) countRequest(now int64) {
	t.rate = t.rate*math.Exp(-seconds(now-t.updatedAt)/tenantRateSpan) + 1/tenantRateSpan
	t.updatedAt = now
}

// tenant returns what is known of the request's tenant. With fewer than two tenants, or for an unknown one,
// no tenant can be distinguished from the others, and the result is empty.
func (r *Router) tenant(q *request) *tenantRate {
	if len(r.tenants) < 2 || q.Tenant < 0 || q.Tenant >= len(r.tenants) {
		r.unknownTenant = tenantRate{}
		return &r.unknownTenant
	}
	return &r.tenants[q.Tenant]
}

// rankValueDensity adds a request's value density to the latest ones. It returns how many of those were
// lower, and how many there were in total.
func (r *Router) rankValueDensity(density float64) (lower, total int) {
	for _, other := range r.recentValueDensities {
		if other < density {
			lower++
		}
	}
	total = len(r.recentValueDensities)
	if total < maxRankedRequests {
		r.recentValueDensities = append(r.recentValueDensities, density)
		return lower, total
	}
	r.recentValueDensities[r.nextValueDensity] = density
	r.nextValueDensity = (r.nextValueDensity + 1) % maxRankedRequests
	return lower, total
}

// quotaRatio returns the estimated request rate of the request's tenant over all gateways as a multiple of
// its quota; 0 if it has none.
func (r *Router) quotaRatio(q *request) float64 {
	if q.Tenant < 0 || q.Tenant >= len(r.tenants) || !(r.settings.Tenants[q.Tenant].QuotaRPS > 0) {
		return 0
	}
	return r.tenants[q.Tenant].rate * float64(r.settings.Gateways) / r.settings.Tenants[q.Tenant].QuotaRPS
}

// shedRateWeight is the weight of the latest request in the moving averages of shed requests.
const shedRateWeight = 0.05

// promptBandBounds divide a class's requests by prompt length, longest first, into bands: the longest tenth,
// the next fifth, the next three tenths and the shortest two fifths. Each is the upper bound of a band, as a
// fraction of the requests.
var promptBandBounds = [...]float64{0.1, 0.3, 0.6, 1}

// classShedRates are moving averages of the fractions of a class's requests that were shed.
type classShedRates struct {
	overall float64
	bands   [len(promptBandBounds)]float64
	// promptLengths are the prompt lengths of the latest requests, which determine the bands: a ring buffer
	// whose oldest entry, once it is full, is at nextPromptLength.
	promptLengths    []float64
	nextPromptLength int
}

// band returns the band that a prompt length falls into, and adds the length to the latest ones.
func (c *classShedRates) band(prompt float64) int {
	longer := 0
	for _, other := range c.promptLengths {
		if other > prompt {
			longer++
		}
	}
	fraction := float64(longer) / max(1, float64(len(c.promptLengths)))
	if len(c.promptLengths) < maxRankedRequests {
		c.promptLengths = append(c.promptLengths, prompt)
	} else {
		c.promptLengths[c.nextPromptLength] = prompt
		c.nextPromptLength = (c.nextPromptLength + 1) % maxRankedRequests
	}
	for i, bound := range promptBandBounds {
		if fraction < bound {
			return i
		}
	}
	return len(promptBandBounds) - 1
}

// shed reports whether a request is shed, and updates the shed rates. wanted says whether it should be shed,
// for its value density or its lateness. Requests of a tenant that is over its quota may all be shed, and are
// left out of the rates. Of the others, no more than about maxGroupShedRate of a class or a tenant is shed;
// and the longest prompts of a class, which have the lowest value for their work, are not shed much more
// often than the class as a whole.
func (r *Router) shed(q *request, wanted bool) bool {
	if r.quotaRatio(q) >= overQuotaRatio {
		return wanted
	}
	class, tenant := &r.shedRates[r.classIndex(q)], &r.tenant(q).shedRate
	band := &class.bands[class.band(q.PromptTokens)]
	isShed := wanted && max(class.overall, *tenant) < maxGroupShedRate &&
		1-*band > minBandAcceptedFraction*(1-class.overall)
	sample := 0.0
	if isShed {
		sample = 1
	}
	for _, rate := range []*float64{&class.overall, tenant, band} {
		*rate += shedRateWeight * (sample - *rate)
	}
	return isShed
}

// shedDecayRate returns by how much the shed fraction falls per second.
func (r *Router) shedDecayRate() float64 {
	if r.lacksReports() {
		return unreportedShedFractionDecay
	}
	// A gateway that sees few requests must not forget an overload while it sees none.
	if r.hasRecentDirectoryAnswer() && r.requestRate < minObjectiveRate {
		return shedFractionDecay * min(1, r.requestRate/minObjectiveRate)
	}
	return shedFractionDecay
}

// metObjectiveWeight returns how many met objectives offset one missed objective.
func (r *Router) metObjectiveWeight() float64 {
	if r.hasRecentDirectoryAnswer() && r.requestRate < minObjectiveRate {
		return sparseMetObjectivesPerMiss
	}
	return metObjectivesPerMiss
}

// minRankedRequests returns how many requests must have been ranked before one is shed for its value density.
// Without load reports it is smaller, so that a gateway that has just started does not add to an overload for
// long.
func (r *Router) minRankedRequests() int {
	if r.lacksReports() {
		return unreportedMinRankedRequests
	}
	return defaultMinRankedRequests
}

// isFutile reports whether the request is shed because, by the prefill backlog that the directory owner
// reported, it would miss its latency objective even at the best engine: its work would only delay others. It
// counts as a missed objective. The bounds on what is shed of a class, a tenant or a band hold here too.
func (r *Router) isFutile(q *request, best *option) bool {
	objective := r.latencyObjective(q)
	if objective <= 0 || r.class(q).LateWeight > 0 ||
		best.unloadedTTFT+seconds(r.now-q.arrivedAt) <= objective {
		return false
	}
	r.adjustShedding(best.engine, true)
	return r.shed(q, true)
}
