package standpoint

// Which requests are refused while the fleet cannot serve all in time.

import (
	"math"
)

const (
	tenantRateSpan    = 3.0  // seconds over which a tenant's requests are counted
	overQuotaRatio    = 1.5  // times its quota from which a tenant is taken to be over it
	requestCost       = 100  // work of a request besides its tokens
	outputTokenCost   = 2.0  // work of a token made, in tokens read
	shedStep          = 0.8  // rise of the refused part in a second of missed objectives
	minObjectiveRate  = 12.0 // requests a second that one missed objective is weighed against at the least
	maxShedFraction   = 0.8  // never refuse more
	maxShedOfGroup    = 0.5  // part of a class's, or a tenant's, requests that may be refused for others
	minBandShare      = 0.8  // of a class's answered share, that of its longest prompts
	maxSharedSlowness = 0.7  // log slowness from which an engine's misses are its own
)

// valueDensity is the request's worth for each token of work that it is taken to need.
func (r *Router) valueDensity(q *request) float64 {
	match := 0.0
	for _, e := range r.sampleEngines(q) {
		match = max(match, r.match(q, e))
	}
	if q.Session != 0 {
		match = max(match, r.expectedMatch(q))
	}
	answer := q.MaxTokens * min(1, 1.3*math.Exp(r.classTPOTRatios[r.classIndex(q)].mean)/r.baseTPOT)
	tie := 1 + 0.1*r.rng.Float64() // requests that are alike must not all be refused at once
	work := requestCost + q.PromptTokens*(1-match) + outputTokenCost*answer
	return tie * r.class(q).Weight * r.tenantWeight(q) / work
}

// tenantWeight is what a request counts, as a part of its worth, while its tenant sends more than its
// quota. This gateway takes itself for a typical one, and allows for chance, since it sees few requests.
func (r *Router) tenantWeight(q *request) float64 {
	if q.Tenant >= 0 && q.Tenant < len(r.tenants) {
		r.tenants[q.Tenant].count(r.now)
	}
	over := r.quotaRatio(q)
	if over < overQuotaRatio {
		return 1
	}
	return (1 + (over-1)*r.settings.OverQuotaWeight) / over
}

// shedsForDensity tells that the fleet cannot serve all in time and this request is among the poorest part.
func (r *Router) shedsForDensity(q *request) bool {
	d := r.valueDensity(q)
	below, n := r.rankValueDensity(d)
	r.shedFraction = max(0, r.shedFraction-r.shedDecayRate()*seconds(r.now-r.shedFractionAt))
	r.shedFractionAt = r.now
	poor := n >= r.minRankedRequests() && r.shedFraction > 0 && float64(below) < r.shedFraction*float64(n)
	return r.shed(q, poor)
}

// adjustShedding moves the part that is refused: up with each objective missed, down with each one met.
func (r *Router) adjustShedding(e *engine, missed bool) {
	if e.slowness > maxSharedSlowness {
		return // this engine is slow, not the fleet
	}
	step := shedStep / max(minObjectiveRate, r.requestRate)
	if !missed {
		step /= -r.metObjectiveWeight()
	}
	r.shedFraction = min(maxShedFraction, max(0, r.shedFraction+step))
}

// tenantRate counts a tenant's own recent requests, each second, and how many of them fail.
type tenantRate struct {
	rate      float64
	at        int64
	errorRate float64 // share of errors among its latest answers, from all engines
	shedRate  float64 // share of its latest requests that were refused as the poorest
}

// count takes in a request of the tenant.
func (t *tenantRate) count(now int64) {
	t.rate = t.rate*math.Exp(-seconds(now-t.at)/tenantRateSpan) + 1/tenantRateSpan
	t.at = now
}

// tenant is what is known of a request's tenant. Where there is one alone, or none, it cannot be told from
// the others.
func (r *Router) tenant(q *request) *tenantRate {
	if len(r.tenants) < 2 || q.Tenant < 0 || q.Tenant >= len(r.tenants) {
		r.unknownTenant = tenantRate{}
		return &r.unknownTenant
	}
	return &r.tenants[q.Tenant]
}

// rankValueDensity keeps a request's worth for its work among the latest, and tells how many there were and
// how many of them less.
func (r *Router) rankValueDensity(density float64) (below, all int) {
	for _, other := range r.recentValueDensities {
		if other < density {
			below++
		}
	}
	all = len(r.recentValueDensities)
	if all < maxRankedRequests {
		r.recentValueDensities = append(r.recentValueDensities, density)
		return below, all
	}
	r.recentValueDensities[r.nextValueDensity] = density
	r.nextValueDensity = (r.nextValueDensity + 1) % maxRankedRequests
	return below, all
}

// quotaRatio is what the request's tenant sends, in times its quota, as this gateway takes it; 0 where it
// has none.
func (r *Router) quotaRatio(q *request) float64 {
	if q.Tenant < 0 || q.Tenant >= len(r.tenants) || !(r.settings.Tenants[q.Tenant].QuotaRPS > 0) {
		return 0
	}
	return r.tenants[q.Tenant].rate * float64(r.settings.Gateways) / r.settings.Tenants[q.Tenant].QuotaRPS
}

// shedRateWeight is that of a request in the shares refused.
const shedRateWeight = 0.05

// promptBands are the parts of a class's requests by their prompts: the longest tenth, the next fifth,
// further ones, and the shortest.
var promptBands = [...]float64{0.1, 0.3, 0.6, 1}

// classShedRates are the shares of a class's latest requests that were refused as the poorest: of all,
// and of each band.
type classShedRates struct {
	all        float64
	bands      [len(promptBands)]float64
	prompts    []float64 // lengths of the latest, by which the bands go
	nextPrompt int
}

// band tells in which band a prompt is, and keeps its length among the latest.
func (c *classShedRates) band(prompt float64) int {
	longer := 0
	for _, other := range c.prompts {
		if other > prompt {
			longer++
		}
	}
	share := float64(longer) / max(1, float64(len(c.prompts)))
	if len(c.prompts) < maxRankedRequests {
		c.prompts = append(c.prompts, prompt)
	} else {
		c.prompts[c.nextPrompt] = prompt
		c.nextPrompt = (c.nextPrompt + 1) % maxRankedRequests
	}
	for i, most := range promptBands {
		if share < most {
			return i
		}
	}
	return len(promptBands) - 1
}

// shed tells whether a request that is among the poorest is refused, and takes that in. What is beyond its
// tenant's quota may be refused whole; else neither its class nor its tenant loses too much, nor those with
// the longest prompts of its class, which promise the least for their work, much more than the class does.
func (r *Router) shed(q *request, poor bool) bool {
	if r.quotaRatio(q) >= overQuotaRatio {
		return poor
	}
	class, tenant := &r.shedRates[r.classIndex(q)], &r.tenant(q).shedRate
	band := &class.bands[class.band(q.PromptTokens)]
	refused := poor && max(class.all, *tenant) < maxShedOfGroup && 1-*band > minBandShare*(1-class.all)
	x := 0.0
	if refused {
		x = 1
	}
	for _, share := range []*float64{&class.all, tenant, band} {
		*share += shedRateWeight * (x - *share)
	}
	return refused
}

// shedDecayRate is how fast the refused part falls, in parts a second.
func (r *Router) shedDecayRate() float64 {
	if r.lacksReports() {
		return unreportedShedFractionDecay
	}
	// What a sparse gateway has seen is not undone by time in which it sees nothing.
	if r.hasRecentDirectoryAnswer() && r.requestRate < minObjectiveRate {
		return shedFractionDecay * min(1, r.requestRate/minObjectiveRate)
	}
	return shedFractionDecay
}

// metObjectiveWeight is how many objectives met undo one missed.
func (r *Router) metObjectiveWeight() float64 {
	if r.hasRecentDirectoryAnswer() && r.requestRate < minObjectiveRate {
		return sparseMetObjectivesPerMiss
	}
	return metObjectivesPerMiss
}

// minRankedRequests is how many requests must have come before the poorest are refused. Where no load is
// told a gateway that has just started must not add to an overload for long.
func (r *Router) minRankedRequests() int {
	if r.lacksReports() {
		return unreportedMinRankedRequests
	}
	return defaultMinRankedRequests
}

// isFutile tells that the request would come too late even at the best engine, by what directory owners
// told of the prompts that wait there, and is refused: its work would only make others late. No class,
// tenant or length loses too much by it.
func (r *Router) isFutile(q *request, best *option) bool {
	aim := r.latencyObjective(q)
	if aim <= 0 || r.class(q).LateWeight > 0 || best.unloadedTTFT+seconds(r.now-q.arrivedAt) <= aim {
		return false
	}
	r.adjustShedding(best.engine, true)
	return r.shed(q, true)
}
