package migration

import "math"

// criterion is an aspect in which the new pool may be worse than the old one. Its value is an index into Evidence,
// which is stored, so existing values must not change.
type criterion int

const (
	errorsCriterion criterion = iota
	lateWeightCriterion
	firstTokenCriterion
	tokenGapCriterion
	criterionCount
)

// criterionNames are the names of the criteria in reasons and causes shown to operators.
var criterionNames = [criterionCount]string{"errors", "worth in time", "first token", "token pace"}

// detectorsPerCriterion is the number of detectors of each criterion. Each bets a different fraction of its capital.
const detectorsPerCriterion = 3

// betFractions are the fractions of its capital that each detector bets. Failed attempts are rare, so only small bets
// detect a small excess of them.
var betFractions = [criterionCount][detectorsPerCriterion]float64{
	{0.02, 0.08, 0.3},
	{0.1, 0.3, 0.8},
	{0.2, 0.5, 0.9},
	{0.2, 0.5, 0.9},
}

// maxLogCapital limits the logarithm of a capital so that its exponential stays finite.
const maxLogCapital = 600

// Evidence is the evidence that the new pool is worse: the logarithm of each detector's capital.
type Evidence [criterionCount][detectorsPerCriterion]float64

// level returns the logarithm of the mean capital of all detectors.
func (e *Evidence) level() float64 {
	sum := 0.0
	for criterion := range e {
		for _, capital := range e[criterion] {
			sum += math.Exp(min(capital, maxLogCapital))
		}
	}
	return math.Log(sum / float64(criterionCount*detectorsPerCriterion))
}

// strongest returns the criterion with the most evidence.
func (e *Evidence) strongest() criterion {
	highest := math.Inf(-1)
	strongest := errorsCriterion
	for criterion := errorsCriterion; criterion < criterionCount; criterion++ {
		for _, capital := range e[criterion] {
			if capital > highest {
				highest = capital
				strongest = criterion
			}
		}
	}
	return strongest
}

const (
	ratioDecay = 0.98 // factor by which the counts of a long-term ratio shrink in each window
	ratioPrior = 0.02 // estimate of a ratio before any event is counted
)

// ratio counts bad events among all events. The counts may decay with time.
type ratio struct {
	Bad   float64 `json:"bad"`
	Total float64 `json:"all"`
}

// decayAndAdd applies the decay of one window and adds that window's events.
func (r *ratio) decayAndAdd(bad, total float64) {
	r.Bad = r.Bad*ratioDecay + bad
	r.Total = r.Total*ratioDecay + total
}

// plus returns the ratio over the events of r and other together.
func (r ratio) plus(other ratio) ratio {
	return ratio{Bad: r.Bad + other.Bad, Total: r.Total + other.Total}
}

// estimate returns the fraction of bad events, with ratioPrior weighted as one event.
func (r ratio) estimate() float64 { return (r.Bad + ratioPrior) / (r.Total + 1) }
