package migration

import (
	"math"
)

// The judge gathers evidence that the new pool is worse than the old one, seen in the same windows. Each of its
// processes is an e-detector (Shin, Ramdas, Rinaldo 2022): in every window a bet against "the new pool is no worse"
// multiplies a capital by a factor of mean 1 at the most, where that is true; the capital begins anew at 1 whenever
// it has fallen below. So the mean number of windows up to a false alarm is at least the capital that raises one,
// however often it is looked at. Limiting what one window may win keeps that, and lets no short stall win enough.
//
//   - errors: failed attempts, one by one, against the old pool's share of them and what is allowed beyond it;
//   - service: the part of the worth not answered in time, against the old pool's and the floor;
//   - first, pace: each answer against those of the old pool that are alike, nearest in time: the same class, prompt
//     tokens to read and load; less what the old pool itself has become slower by meanwhile. Only whether it is slower
//     by more than the factor allowed counts, so that no heavy tail and no single long prompt weighs more than any
//     other answer.

// Names of the processes, in the order of Evidence.
const (
	byErrors = iota
	byService
	byFirstToken
	byTokenGap
	processes
)

var processNames = [processes]string{"errors", "worth in time", "first token", "token pace"}

// bets are the parts of a process's capital that are staked, one detector each. Failed attempts are rare, so that a
// small excess of them shows only to small stakes.
var bets = [processes][betsPerProcess]float64{{0.02, 0.08, 0.3}, {0.1, 0.3, 0.8}, {0.2, 0.5, 0.9}, {0.2, 0.5, 0.9}}

const (
	betsPerProcess     = 3
	toleratedAdvantage = 0.1 // mean advantage, from -1 to 1, that the old pool may have without meaning
	maxPairs           = 24  // answers of the old pool that one of the new is compared with
	minPairs           = 4
	recentMinAnswers   = 4    // answers that the old pool must have given in the latest
	recentWindows      = 10   // windows, for there to be anything to compare with
	baselineWindows    = 45   // for which the old pool's answers are kept to compare with
	maxBaseline        = 3000 // of them
	loadBelow          = 0.03 // by how much an answer of the old pool may come from a box with less load
	loadAbove          = 0.12 // or with more, to be alike
	gapLoadRange       = 0.25 // likewise, both ways, for the pace, which is reckoned to the same load
	gapLoadTolerance   = 0.5  // what that reckoning may be wrong by, for each unit of load between them
	slopePrior         = 1.0  // relative rise of the token gap over the whole range of load, before the old pool has shown it
	slopePriorWeight   = 1.0  // and what that weighs: a sum of squares of load
	referenceWindows   = 15   // over which the old pool's share of errors and worth is taken
	referenceMinimum   = 12.0 // flows or attempts that it must rest on; else the longer memory is used
	referenceDecay     = 0.98 // of that memory, a window
	commonWindows      = 3    // the latest, in which both pools may suffer together
	commonMinimum      = 6.0  // flows or attempts that must have ended in them
	answersPerBet      = 2    // answers of the new pool that make a bet, where a window has as many
	maxBets            = 4    // of one process in a window
	stallAftermath     = 2    // windows after a stall in which answers that it held up still end
)

// Evidence is what a judge holds: the logarithms of its capitals.
type Evidence [processes][betsPerProcess]float64

// level is the logarithm of the mean capital.
func (e *Evidence) level() float64 {
	sum := 0.0
	for i := range e {
		for _, l := range e[i] {
			sum += math.Exp(min(l, 600))
		}
	}
	return math.Log(sum / float64(processes*betsPerProcess))
}

// strongest is the process with the most evidence.
func (e *Evidence) strongest() int {
	best, at := math.Inf(-1), 0
	for i := range e {
		for _, l := range e[i] {
			if l > best {
				best, at = l, i
			}
		}
	}
	return at
}

// ratio is a share that fades.
type ratio struct {
	Bad   float64 `json:"bad"`
	Total float64 `json:"all"`
}

func (t *ratio) add(bad, all float64) {
	t.Bad, t.Total = t.Bad*referenceDecay+bad, t.Total*referenceDecay+all
}

// estimate pads against chance by a half of one in one.
func (t ratio) estimate(prior float64) float64 { return (t.Bad + prior) / (t.Total + 1) }

type analysis struct {
	plan     Plan
	evidence Evidence
	// Of the old pool: what it does over the move, and in the last windows.
	longErrors, longLate ratio
	errors, late         [referenceWindows]ratio
	baseline             [processes][]observation
	slope, meanLoad      float64                         // of the old pool's token gap over the load, relative to its mean at the middle load
	drift                [processes][commonWindows]ratio // how much slower the old pool is than it was, window by window
	window               int                             // windows seen
}

func newAnalysis(p Plan) *analysis { return &analysis{plan: p} }

// alarmLevel is the logarithm of the mean capital that raises an alarm.
func (j *analysis) alarmLevel() float64 { return math.Log(j.plan.Alarm) }

// windowLimit is the most that one window may add to one capital, so that no stall of the length allowed is enough. One
// capital that stands alone has to make up for the others' parts in the mean too.
func (j *analysis) windowLimit() float64 {
	alone := j.alarmLevel() + math.Log(float64(processes*betsPerProcess))
	return alone / float64(windowCount(j.plan.Stall)+stallAftermath)
}

// observe takes a window in.
func (j *analysis) observe(w *Window) {
	j.window++
	slot := j.window % referenceWindows
	j.errors[slot] = ratio{float64(w.From.Errors), float64(w.From.Attempts)}
	j.late[slot] = ratio{w.From.OfferedWeight - w.From.OnTimeWeight, w.From.OfferedWeight}
	j.longErrors.add(float64(w.From.Errors), float64(w.From.Attempts))
	j.longLate.add(w.From.OfferedWeight-w.From.OnTimeWeight, w.From.OfferedWeight)
	for process := byFirstToken; process <= byTokenGap; process++ {
		z := j.compareAll(w.From.Samples, process)
		j.drift[process][j.window%commonWindows] = ratio{}
		if len(z) > 0 {
			j.drift[process][j.window%commonWindows] = ratio{mean(z) * float64(len(z)), float64(len(z))}
		}
		old := j.baseline[process]
		for _, s := range w.From.Samples {
			if d := measure(s, process, j.window); d.value > 0 {
				old = append(old, d)
			}
		}
		drop := max(0, len(old)-maxBaseline)
		for drop < len(old) && old[drop].window <= j.window-baselineWindows {
			drop++
		}
		j.baseline[process] = old[drop:]
	}
	j.fitSlope()
	j.betOnErrors(w)
	j.betOnService(w)
	j.betOnAnswers(w)
}

// reference is the old pool's share: of late, or over the move where there is too little; and not less than in the very
// same windows, so that what both pools suffer together is not held against the new one. unit is what one flow weighs.
func (j *analysis) reference(recent *[referenceWindows]ratio, long ratio, unit float64) float64 {
	var sum, now ratio
	for i := range referenceWindows {
		t := recent[((j.window-i)%referenceWindows+referenceWindows)%referenceWindows]
		sum.Bad, sum.Total = sum.Bad+t.Bad, sum.Total+t.Total
		if i == commonWindows-1 {
			now = sum
		}
	}
	usual := long.estimate(0.02)
	if sum.Total >= referenceMinimum*unit {
		usual = sum.estimate(0.02)
	}
	if now.Total >= commonMinimum*unit {
		usual = max(usual, now.Bad/now.Total)
	}
	return usual
}

// addEvidence adds to a process's capitals what its bets have won in this window.
func (j *analysis) addEvidence(process int, won func(bet float64) float64) {
	most := j.windowLimit()
	for i, bet := range bets[process] {
		l := &j.evidence[process][i]
		*l = max(0, *l) + min(most, won(bet))
	}
}

// betOnErrors takes a flow that fell over for a failed attempt, once the new pool is warm: nothing there was fit.
func (j *analysis) betOnErrors(w *Window) {
	bad, all := w.To.Errors, w.To.Attempts
	if w.To.Health.WarmCapacity >= warmThreshold*w.To.Health.Capacity {
		bad, all = bad+w.To.Overflowed, all+w.To.Overflowed
	}
	if all == 0 {
		return
	}
	usual := min(0.9, j.reference(&j.errors, j.longErrors, 1)+j.plan.Errors)
	j.addEvidence(byErrors, func(bet float64) float64 {
		return float64(bad)*math.Log1p(bet*(1-usual)/usual) + float64(all-bad)*math.Log1p(-bet)
	})
}

func (j *analysis) betOnService(w *Window) {
	if w.To.OfferedWeight <= 0 {
		return
	}
	usual := j.reference(&j.late, j.longLate, w.To.OfferedWeight/float64(max(1, w.To.Requests)))
	allowed := 1 - j.plan.Floor*(1-usual)
	late := 1 - w.To.OnTimeWeight/w.To.OfferedWeight
	j.addEvidence(byService, func(bet float64) float64 {
		return math.Log1p(bet * (late - allowed) / max(allowed, 0.05))
	})
}

func (j *analysis) betOnAnswers(w *Window) {
	for process := byFirstToken; process <= byTokenGap; process++ {
		z := j.compareAll(w.To.Samples, process)
		if len(z) == 0 {
			continue
		}
		// What slows both pools down is not held against the new one.
		var drift ratio
		for _, d := range j.drift[process] {
			drift.Bad, drift.Total = drift.Bad+d.Bad, drift.Total+d.Total
		}
		both := max(0, drift.Bad/max(drift.Total, 1))
		n := min(maxBets, max(1, len(z)/answersPerBet))
		j.addEvidence(process, func(bet float64) float64 {
			won := 0.0
			for i := range n {
				ahead := max(-1, mean(z[i*len(z)/n:(i+1)*len(z)/n])-both)
				won += math.Log1p(bet * (ahead - toleratedAdvantage) / (1 + toleratedAdvantage))
			}
			return won
		})
	}
}

func mean(all []float64) float64 {
	sum := 0.0
	for _, v := range all {
		sum += v
	}
	return sum / float64(len(all))
}

// compareAll is what compare says of some answers, without those that it can say nothing of.
func (j *analysis) compareAll(all []Sample, process int) []float64 {
	var z []float64
	for _, s := range all {
		if v, ok := j.compare(measure(s, process, j.window), process); ok {
			z = append(z, v)
		}
	}
	return z
}

// observation is what an answer says for one process, with its window.
type observation struct {
	value      float64 // seconds
	load       float64
	similarity float64 // the logarithm of what was to be read, or the class
	kind       int
	window     int
}

func measure(s Sample, process, at int) observation {
	if process == byFirstToken { // the first token waits for the prompt to be read, behind what else runs
		return observation{s.FirstToken, s.Load, math.Log2(s.UncachedTokens + 64), s.Kind, at}
	}
	// Tokens come in steps that take the longer the more runs.
	return observation{s.TokenGap, s.Load, float64(s.Class), s.Kind, at}
}

// fitSlope learns from the old pool how the token gap rises with the load, within each kind of box.
func (j *analysis) fitSlope() {
	type sums struct{ n, load, value float64 }
	kinds := map[int]*sums{}
	for _, o := range j.baseline[byTokenGap] {
		k := kinds[o.kind]
		if k == nil {
			k = &sums{}
			kinds[o.kind] = k
		}
		k.n, k.load, k.value = k.n+1, k.load+o.load, k.value+o.value
	}
	xy, xx, load, n := slopePrior*slopePriorWeight, slopePriorWeight, 0.0, 0.0
	for _, o := range j.baseline[byTokenGap] {
		k := kinds[o.kind]
		d := o.load - k.load/k.n
		xy, xx = xy+d*(o.value*k.n/k.value-1), xx+d*d
		load, n = load+o.load, n+1
	}
	j.slope, j.meanLoad = max(0, xy/xx), load/max(n, 1)
}

// loadFactor is how much longer the token gap is taken to be at one load than at another.
func (j *analysis) loadFactor(at, from float64) float64 {
	return min(2, max(0.5, max(0.1, 1+j.slope*(at-j.meanLoad))/max(0.1, 1+j.slope*(from-j.meanLoad))))
}

const similarityRange = 0.5 // of a doubling of what was to be read; classes differ by more

// compare is how far an answer is slower than those of the old pool that are alike, from -1 to 1: the part that it is
// slower than by more than the factor allowed, less the part that it is not. A pool that is slower by the factor has a
// mean of 0, so that one that is a little slower, as boxes are, gathers no evidence however long it is watched. Boxes of the same kind are preferred; where the old pool has none, those
// of other kinds serve. false: there are too few.
func (j *analysis) compare(s observation, process int) (float64, bool) {
	if s.value <= 0 {
		return 0, false
	}
	factor := j.plan.FirstToken
	if process == byTokenGap {
		factor = j.plan.Pace
	}
	var z, n [2]float64 // of the same kind; of any
	old := j.baseline[process]
	if len(old) < recentMinAnswers || old[len(old)-recentMinAnswers].window <= j.window-recentWindows {
		return 0, false
	}
	under, over := loadBelow, loadAbove
	if process == byTokenGap {
		under, over = gapLoadRange, gapLoadRange
	}
	for i := len(old) - 1; i >= 0 && n[0] < maxPairs && (n[1] < maxPairs || n[0] > 0); i-- {
		o := &old[i]
		more := s.load - o.load
		if more > under || more < -over || math.Abs(s.similarity-o.similarity) > similarityRange {
			continue
		}
		value, allowed := o.value, factor
		if process == byTokenGap {
			value *= j.loadFactor(s.load, o.load)
			allowed *= 1 + gapLoadTolerance*math.Abs(more)
		}
		sign := -1.0
		if s.value > allowed*value {
			sign = 1
		}
		if o.kind == s.kind {
			z[0], n[0] = z[0]+sign, n[0]+1
		}
		z[1], n[1] = z[1]+sign, n[1]+1
	}
	for k := range z {
		if n[k] >= minPairs {
			return z[k] / n[k], true
		}
	}
	return 0, false
}
