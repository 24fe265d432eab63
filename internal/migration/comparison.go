package migration

import "math"

// The limits within which responses of the two pools are comparable.
const (
	// maxPairs is the number of comparable old-pool responses after which no more are looked for: of the same kind of
	// backend, or of any kind as long as none is of the same.
	maxPairs = 24
	// minPairs is the minimum number of comparable responses. With fewer a response is not used.
	minPairs = 4
	// recentMinResponses is the number of responses that the old pool must have given in the last
	// recentWindows windows.
	recentMinResponses = 4
	// recentWindows is the number of windows that count as recent for recentMinResponses.
	recentWindows = 10
	// baselineWindows is the number of windows for which the old pool's responses are retained.
	baselineWindows = 45
	// maxBaseline is the maximum number of retained responses of the old pool.
	maxBaseline = 3000
	// loadBelow is the maximum difference by which the load of the old pool's backend may have been lower, as a
	// fraction of its slots.
	loadBelow = 0.03
	// loadAbove is the maximum difference by which the load of the old pool's backend may have been higher.
	loadAbove = 0.12
	// gapLoadRange is the maximum difference of load in either direction for token gaps, which are converted to
	// the same load.
	gapLoadRange = 0.25
	// gapLoadTolerance is the relative error of that conversion per unit of difference in load.
	gapLoadTolerance = 0.5
	// similarityRange is the maximum difference of similarity: for long prompts, a factor of the square root of 2 in
	// the uncached prompt tokens. Two classes always differ by more.
	similarityRange = 0.5
	// similarityOffsetTokens is added to the uncached prompt tokens before their logarithm is taken, so that short
	// prompts which differ by a few tokens count as similar.
	similarityOffsetTokens = 64
	// slopePrior is the relative increase of the token gap from load 0 to load 1 that is assumed before the old pool
	// has responses to fit it to.
	slopePrior = 1.0
	// slopePriorWeight is the weight of slopePrior in the fit, as a sum of squared load deviations.
	slopePriorWeight = 1.0
	// minRelativeGap is the minimum of the fitted token gap relative to its mean.
	minRelativeGap = 0.1
	// maxLoadConversion is the maximum factor by which a token gap is converted to another load; its inverse is the
	// minimum.
	maxLoadConversion = 2
)

// observation is the value of a response for one criterion, with the properties that make it comparable.
type observation struct {
	value      float64 // time to first token or time per token, in seconds
	load       float64 // fraction of the backend's slots in use
	similarity float64 // binary logarithm of similarityOffsetTokens plus the uncached prompt tokens, or the class
	kind       int     // kind of the backend
	window     int     // number of the window in which the response was observed
}

// measure extracts a response's observation for a criterion. The time to first token depends on the uncached prompt
// tokens to process, behind the backend's other work; the time per token increases with the load.
func measure(sample Sample, criterion criterion, window int) observation {
	measured := observation{load: sample.Load, kind: sample.Kind, window: window}
	if criterion == firstTokenCriterion {
		measured.value = sample.FirstToken
		measured.similarity = math.Log2(sample.UncachedTokens + similarityOffsetTokens)
	} else {
		measured.value = sample.TokenGap
		measured.similarity = float64(sample.Class)
	}
	return measured
}

// extendBaseline adds the old pool's responses of this window and drops the oldest ones beyond baselineWindows and
// maxBaseline.
func (a *analysis) extendBaseline(samples []Sample, criterion criterion) {
	baseline := a.baseline[criterion]
	for _, sample := range samples {
		if measured := measure(sample, criterion, a.window); measured.value > 0 {
			baseline = append(baseline, measured)
		}
	}
	drop := max(0, len(baseline)-maxBaseline)
	for drop < len(baseline) && baseline[drop].window <= a.window-baselineWindows {
		drop++
	}
	a.baseline[criterion] = baseline[drop:]
}

// fitSlope fits from the old pool's responses how the token gap increases with the load within each kind of backend.
func (a *analysis) fitSlope() {
	type sums struct{ count, load, value float64 }
	kinds := map[int]*sums{}
	for _, response := range a.baseline[tokenGapCriterion] {
		kind := kinds[response.kind]
		if kind == nil {
			kind = &sums{}
			kinds[response.kind] = kind
		}
		kind.count++
		kind.load += response.load
		kind.value += response.value
	}
	covariance := slopePrior * slopePriorWeight
	variance := slopePriorWeight
	load := 0.0
	count := 0.0
	for _, response := range a.baseline[tokenGapCriterion] {
		kind := kinds[response.kind]
		deviation := response.load - kind.load/kind.count
		covariance += deviation * (response.value*kind.count/kind.value - 1)
		variance += deviation * deviation
		load += response.load
		count++
	}
	a.slope = max(0, covariance/variance)
	a.meanLoad = load / max(count, 1)
}

// loadConversion returns the factor that converts a token gap at the load from to the expected gap at the load to.
func (a *analysis) loadConversion(to, from float64) float64 {
	relativeGap := func(load float64) float64 { return max(minRelativeGap, 1+a.slope*(load-a.meanLoad)) }
	return min(maxLoadConversion, max(1.0/maxLoadConversion, relativeGap(to)/relativeGap(from)))
}

// compareAll compares responses with the baseline and omits those with too few comparable ones.
func (a *analysis) compareAll(samples []Sample, criterion criterion) []float64 {
	var differences []float64
	for _, sample := range samples {
		if difference, ok := a.compare(measure(sample, criterion, a.window), criterion); ok {
			differences = append(differences, difference)
		}
	}
	return differences
}

// comparisons accumulates the comparisons of a response: +1 for each response that it is slower than, -1 for each
// other.
type comparisons struct {
	sum   float64
	count float64
}

func (c *comparisons) add(difference float64) {
	c.sum += difference
	c.count++
}

// compare returns how much slower a response is than comparable ones of the old pool, from -1 to 1: the fraction of
// them that it is slower than by more than the allowed factor, minus the remaining fraction. A pool that is slower by
// exactly the factor has a mean of 0, so a slightly slower pool, which is within normal variation, accumulates no
// evidence however long it is observed. Responses of backends of the same kind are preferred; if there are fewer than
// minPairs, those of all kinds are used. The second result is false if there are too few comparable responses.
func (a *analysis) compare(candidate observation, criterion criterion) (float64, bool) {
	if candidate.value <= 0 || !a.hasRecentBaseline(criterion) {
		return 0, false
	}
	var sameKind, anyKind comparisons
	baseline := a.baseline[criterion]
	for i := len(baseline) - 1; i >= 0; i-- {
		if sameKind.count >= maxPairs || anyKind.count >= maxPairs && sameKind.count == 0 {
			break
		}
		difference, ok := a.comparePair(&candidate, &baseline[i], criterion)
		if !ok {
			continue
		}
		if baseline[i].kind == candidate.kind {
			sameKind.add(difference)
		}
		anyKind.add(difference)
	}
	for _, c := range []comparisons{sameKind, anyKind} {
		if c.count >= minPairs {
			return c.sum / c.count, true
		}
	}
	return 0, false
}

// hasRecentBaseline reports whether the old pool has given enough responses in the latest windows to compare with.
func (a *analysis) hasRecentBaseline(criterion criterion) bool {
	baseline := a.baseline[criterion]
	return len(baseline) >= recentMinResponses &&
		baseline[len(baseline)-recentMinResponses].window > a.window-recentWindows
}

// comparePair returns 1 if a response is slower than one of the old pool by more than the allowed factor, and -1 if
// not. The second result is false if the two are not comparable.
func (a *analysis) comparePair(candidate, reference *observation, criterion criterion) (float64, bool) {
	below, above := loadBelow, loadAbove
	factor := a.plan.FirstTokenFactor
	if criterion == tokenGapCriterion {
		below, above = gapLoadRange, gapLoadRange
		factor = a.plan.TokenGapFactor
	}
	excessLoad := candidate.load - reference.load
	if excessLoad > below || excessLoad < -above ||
		math.Abs(candidate.similarity-reference.similarity) > similarityRange {
		return 0, false
	}
	value := reference.value
	if criterion == tokenGapCriterion {
		value *= a.loadConversion(candidate.load, reference.load)
		factor *= 1 + gapLoadTolerance*math.Abs(excessLoad)
	}
	if candidate.value > factor*value {
		return 1, true
	}
	return -1, true
}
