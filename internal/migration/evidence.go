package migration

import "math"

// criterion is something in which the new pool may be worse than the old one. Its value is an index into Evidence,
// which is stored.
type criterion int

const (
	byErrors criterion = iota
	byService
	byFirstToken
	byTokenGap
	criteria
)

// processNames are the criteria as operators read them.
var processNames = [criteria]string{"errors", "worth in time", "first token", "token pace"}

// betsPerCriterion is the number of detectors of a criterion, each with a stake of its own.
const betsPerCriterion = 3

// bets are the fractions of the capital that each detector stakes. Failed attempts are rare, so a small excess of
// them shows only to small stakes.
var bets = [criteria][betsPerCriterion]float64{
	{0.02, 0.08, 0.3},
	{0.1, 0.3, 0.8},
	{0.2, 0.5, 0.9},
	{0.2, 0.5, 0.9},
}

// maxLogCapital keeps the exponential of a capital finite.
const maxLogCapital = 600

// Evidence is the evidence against the new pool: the logarithm of each detector's capital.
type Evidence [criteria][betsPerCriterion]float64

// level is the logarithm of the mean capital.
func (e *Evidence) level() float64 {
	sum := 0.0
	for criterion := range e {
		for _, capital := range e[criterion] {
			sum += math.Exp(min(capital, maxLogCapital))
		}
	}
	return math.Log(sum / float64(criteria*betsPerCriterion))
}

// strongest is the criterion with the most evidence.
func (e *Evidence) strongest() criterion {
	highest := math.Inf(-1)
	strongest := byErrors
	for criterion := byErrors; criterion < criteria; criterion++ {
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
	ratioDecay = 0.98 // of a long-term ratio, for each window
	ratioPrior = 0.02 // what a ratio is taken to be before anything is counted
)

// ratio is a fraction of bad events among all, which may decay.
type ratio struct {
	Bad   float64 `json:"bad"`
	Total float64 `json:"all"`
}

// decayAndAdd ages the ratio by a window and adds that window's events.
func (r *ratio) decayAndAdd(bad, total float64) {
	r.Bad = r.Bad*ratioDecay + bad
	r.Total = r.Total*ratioDecay + total
}

// plus is the ratio over both counts.
func (r ratio) plus(other ratio) ratio {
	return ratio{Bad: r.Bad + other.Bad, Total: r.Total + other.Total}
}

// estimate is the fraction, drawn towards the prior by the weight of one event.
func (r ratio) estimate() float64 { return (r.Bad + ratioPrior) / (r.Total + 1) }
