package migration

import "math"

// What makes answers of the two pools comparable.
const (
	maxPairs          = 24   // answers of the old pool that one of the new is compared with
	minPairs          = 4    // below which nothing is said of it
	recentMinAnswers  = 4    // that the old pool must have given
	recentWindows     = 10   // in these latest windows
	baselineWindows   = 45   // for which the old pool's answers are kept
	maxBaseline       = 3000 // of them
	loadBelow         = 0.03 // by how much the load of the old pool's backend may have been lower
	loadAbove         = 0.12 // or higher
	gapLoadRange      = 0.25 // the same, both ways, for the token gap, which is converted to the same load
	gapLoadTolerance  = 0.5  // error of that conversion, for each unit of load between them
	similarityRange   = 0.5  // of a doubling of the tokens to read; classes differ by more
	minSimilarTokens  = 64   // prompts with fewer tokens to read are alike
	slopePrior        = 1.0  // relative rise of the token gap over the range of load, before the old pool shows it
	slopePriorWeight  = 1.0  // its weight, as a sum of squares of load
	minRelativeGap    = 0.1  // to which the fitted token gap may fall
	maxLoadConversion = 2    // factor by which a token gap is converted to another load, and its inverse
)

// observation is what an answer says for one criterion.
type observation struct {
	value      float64 // seconds
	load       float64 // of its backend
	similarity float64 // logarithm of the tokens to read, or the class
	kind       int     // of its backend
	window     int
}

// measure extracts the observation of an answer. The first token waits for the prompt to be read, behind what else
// runs; each further token takes the longer, the more runs.
func measure(sample Sample, criterion criterion, window int) observation {
	o := observation{load: sample.Load, kind: sample.Kind, window: window}
	if criterion == byFirstToken {
		o.value = sample.FirstToken
		o.similarity = math.Log2(sample.UncachedTokens + minSimilarTokens)
	} else {
		o.value = sample.TokenGap
		o.similarity = float64(sample.Class)
	}
	return o
}

// extendBaseline adds the old pool's answers of this window, and drops those that are too old or too many.
func (a *analysis) extendBaseline(samples []Sample, criterion criterion) {
	baseline := a.baseline[criterion]
	for _, sample := range samples {
		if o := measure(sample, criterion, a.window); o.value > 0 {
			baseline = append(baseline, o)
		}
	}
	drop := max(0, len(baseline)-maxBaseline)
	for drop < len(baseline) && baseline[drop].window <= a.window-baselineWindows {
		drop++
	}
	a.baseline[criterion] = baseline[drop:]
}

// fitSlope learns from the old pool how the token gap rises with the load, within each kind of backend.
func (a *analysis) fitSlope() {
	type sums struct{ count, load, value float64 }
	kinds := map[int]*sums{}
	for _, o := range a.baseline[byTokenGap] {
		kind := kinds[o.kind]
		if kind == nil {
			kind = &sums{}
			kinds[o.kind] = kind
		}
		kind.count++
		kind.load += o.load
		kind.value += o.value
	}
	covariance := slopePrior * slopePriorWeight
	variance := slopePriorWeight
	load := 0.0
	count := 0.0
	for _, o := range a.baseline[byTokenGap] {
		kind := kinds[o.kind]
		deviation := o.load - kind.load/kind.count
		covariance += deviation * (o.value*kind.count/kind.value - 1)
		variance += deviation * deviation
		load += o.load
		count++
	}
	a.slope = max(0, covariance/variance)
	a.meanLoad = load / max(count, 1)
}

// loadConversion is the factor by which the token gap at one load exceeds that at another.
func (a *analysis) loadConversion(to, from float64) float64 {
	relativeGap := func(load float64) float64 { return max(minRelativeGap, 1+a.slope*(load-a.meanLoad)) }
	return min(maxLoadConversion, max(1.0/maxLoadConversion, relativeGap(to)/relativeGap(from)))
}

// compareAll compares answers with the baseline, leaving out those that have too little to be compared with.
func (a *analysis) compareAll(samples []Sample, criterion criterion) []float64 {
	var differences []float64
	for _, sample := range samples {
		if difference, ok := a.compare(measure(sample, criterion, a.window), criterion); ok {
			differences = append(differences, difference)
		}
	}
	return differences
}

// comparisons sums how an answer compares with others: one for each that it is slower than, less one for each that it
// is not.
type comparisons struct {
	sum   float64
	count float64
}

func (c *comparisons) add(difference float64) {
	c.sum += difference
	c.count++
}

// compare is how far an answer is slower than comparable ones of the old pool, from -1 to 1: the fraction that it is
// slower than by more than the allowed factor, less the fraction that it is not. A pool that is slower by just the
// factor has a mean of 0, so one that is a little slower, as backends are, gathers no evidence however long it is
// observed. Backends of the same kind are preferred; if the old pool has none, those of other kinds count. It is
// false if there are too few.
func (a *analysis) compare(o observation, criterion criterion) (float64, bool) {
	if o.value <= 0 || !a.hasRecentBaseline(criterion) {
		return 0, false
	}
	var sameKind, anyKind comparisons
	baseline := a.baseline[criterion]
	for i := len(baseline) - 1; i >= 0; i-- {
		if sameKind.count >= maxPairs || anyKind.count >= maxPairs && sameKind.count == 0 {
			break
		}
		difference, ok := a.comparePair(&o, &baseline[i], criterion)
		if !ok {
			continue
		}
		if baseline[i].kind == o.kind {
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

// hasRecentBaseline reports whether the old pool has answered often enough of late to compare with.
func (a *analysis) hasRecentBaseline(criterion criterion) bool {
	baseline := a.baseline[criterion]
	return len(baseline) >= recentMinAnswers &&
		baseline[len(baseline)-recentMinAnswers].window > a.window-recentWindows
}

// comparePair is 1 if an answer is slower than one of the old pool by more than the allowed factor, and -1 if not. It
// is false if the two are not comparable.
func (a *analysis) comparePair(o, old *observation, criterion criterion) (float64, bool) {
	below, above := loadBelow, loadAbove
	factor := a.plan.FirstTokenFactor
	if criterion == byTokenGap {
		below, above = gapLoadRange, gapLoadRange
		factor = a.plan.TokenGapFactor
	}
	excessLoad := o.load - old.load
	if excessLoad > below || excessLoad < -above || math.Abs(o.similarity-old.similarity) > similarityRange {
		return 0, false
	}
	value := old.value
	if criterion == byTokenGap {
		value *= a.loadConversion(o.load, old.load)
		factor *= 1 + gapLoadTolerance*math.Abs(excessLoad)
	}
	if o.value > factor*value {
		return 1, true
	}
	return -1, true
}
