package migration

import "math"

// The analysis gathers evidence that the new pool is worse than the old one in the same windows. Each criterion is an
// e-detector (Shin, Ramdas, Rinaldo 2022): in every window a bet against "the new pool is no worse" multiplies a
// capital by a factor whose mean is at most 1 while that is true, and a capital below 1 starts again at 1. So the
// mean number of windows up to a false alarm is at least the capital that raises one, however often it is looked at.
// Limiting what one window may win preserves that, and keeps a short stall from winning enough.
//
//   - errors: failed attempts, one by one, against the old pool's fraction of them and what is allowed beyond it;
//   - service: the fraction of the weight that is not answered on time, against the old pool's and the floor;
//   - first token, token gap: each answer against comparable ones of the old pool, the nearest in time first (the same
//     class, prompt tokens to read and load), less what the old pool itself has slowed down meanwhile. Only whether it
//     is slower by more than the allowed factor counts, so a long tail or a single long prompt weighs no more than any
//     other answer.
const (
	toleratedAdvantage = 0.1  // mean advantage of the old pool, from -1 to 1, that means nothing
	referenceWindows   = 15   // over which the old pool's errors and late weight are taken
	referenceMinimum   = 12.0 // requests or attempts in them; with fewer the long-term ratio is used
	commonWindows      = 3    // the latest, in which both pools may suffer together
	commonMinimum      = 6.0  // requests or attempts in them
	answersPerBet      = 2    // answers of the new pool that make a bet
	maxBets            = 4    // of one criterion in a window
	stallAftermath     = 2    // windows after a stall in which answers that it delayed still end
	maxUsualErrors     = 0.9  // of attempts, beyond which errors are no evidence
	minAllowedLate     = 0.05 // of the weight: keeps a bet on late answers from winning without bound
)

// analysis compares the pools of one migration window by window.
type analysis struct {
	plan     Plan
	evidence Evidence
	window   int // windows observed

	// What the old pool does: over the whole migration, in the latest windows, and answer by answer.
	longErrors ratio
	longLate   ratio
	errors     [referenceWindows]ratio
	late       [referenceWindows]ratio
	baseline   [criteria][]observation

	// slope is the relative rise of the old pool's token gap with the load, around its mean at meanLoad.
	slope    float64
	meanLoad float64
	// drift is how much slower the old pool's answers have become, for each of the latest windows.
	drift [criteria][commonWindows]ratio
}

func newAnalysis(plan Plan) *analysis { return &analysis{plan: plan} }

// alarmLevel is the logarithm of the mean capital that raises an alarm.
func (a *analysis) alarmLevel() float64 { return math.Log(a.plan.FalseAlarmWindows) }

// windowLimit is the most that one window may add to one capital, so that no stall of the tolerated length is enough.
// A capital that is alone in growing has to make up for the others' part of the mean too.
func (a *analysis) windowLimit() float64 {
	alone := a.alarmLevel() + math.Log(float64(criteria*betsPerCriterion))
	return alone / float64(windowCount(a.plan.MaxToleratedStall)+stallAftermath)
}

// observe takes a window in and updates the evidence.
func (a *analysis) observe(window *Window) {
	a.window++
	a.observeRatios(&window.From)
	for criterion := byFirstToken; criterion <= byTokenGap; criterion++ {
		a.observeDrift(window.From.Samples, criterion)
		a.extendBaseline(window.From.Samples, criterion)
	}
	a.fitSlope()
	a.betOnErrors(&window.To)
	a.betOnService(&window.To)
	a.betOnAnswers(&window.To)
}

func (a *analysis) observeRatios(old *PoolWindow) {
	slot := a.window % referenceWindows
	errors := ratio{Bad: float64(old.Errors), Total: float64(old.Attempts)}
	late := ratio{Bad: old.OfferedWeight - old.OnTimeWeight, Total: old.OfferedWeight}
	a.errors[slot] = errors
	a.late[slot] = late
	a.longErrors.decayAndAdd(errors.Bad, errors.Total)
	a.longLate.decayAndAdd(late.Bad, late.Total)
}

// observeDrift compares the old pool's answers with its own earlier ones.
func (a *analysis) observeDrift(samples []Sample, criterion criterion) {
	differences := a.compareAll(samples, criterion)
	count := float64(len(differences))
	var drift ratio
	if count > 0 {
		drift = ratio{Bad: mean(differences) * count, Total: count}
	}
	a.drift[criterion][a.window%commonWindows] = drift
}

// reference is the old pool's fraction of bad events: in the latest windows, or over the migration if there are too
// few; and not less than in the very same windows, so that what both pools suffer together is not held against the
// new one. unit is the weight of one event.
func (a *analysis) reference(recent *[referenceWindows]ratio, longTerm ratio, unit float64) float64 {
	var sum, common ratio
	for i := range referenceWindows {
		slot := ((a.window-i)%referenceWindows + referenceWindows) % referenceWindows
		sum = sum.plus(recent[slot])
		if i == commonWindows-1 {
			common = sum
		}
	}
	usual := longTerm.estimate()
	if sum.Total >= referenceMinimum*unit {
		usual = sum.estimate()
	}
	if common.Total >= commonMinimum*unit {
		usual = max(usual, common.Bad/common.Total)
	}
	return usual
}

// addEvidence adds to a criterion's capitals what each of its bets has won in this window.
func (a *analysis) addEvidence(criterion criterion, won func(bet float64) float64) {
	limit := a.windowLimit()
	for i, bet := range bets[criterion] {
		capital := &a.evidence[criterion][i]
		*capital = max(0, *capital) + min(limit, won(bet))
	}
}

// betOnErrors counts a request that overflowed as a failed attempt once the new pool is warm, since none of its
// backends was eligible.
func (a *analysis) betOnErrors(pool *PoolWindow) {
	failed := pool.Errors
	attempts := pool.Attempts
	if pool.Health.WarmCapacity >= warmThreshold*pool.Health.Capacity {
		failed += pool.Overflowed
		attempts += pool.Overflowed
	}
	if attempts == 0 {
		return
	}
	usual := min(maxUsualErrors, a.reference(&a.errors, a.longErrors, 1)+a.plan.ErrorAllowance)
	a.addEvidence(byErrors, func(bet float64) float64 {
		return float64(failed)*math.Log1p(bet*(1-usual)/usual) + float64(attempts-failed)*math.Log1p(-bet)
	})
}

func (a *analysis) betOnService(pool *PoolWindow) {
	if pool.OfferedWeight <= 0 {
		return
	}
	usual := a.reference(&a.late, a.longLate, pool.OfferedWeight/float64(max(1, pool.Requests)))
	allowed := 1 - a.plan.OnTimeFloor*(1-usual)
	late := 1 - pool.OnTimeWeight/pool.OfferedWeight
	a.addEvidence(byService, func(bet float64) float64 {
		return math.Log1p(bet * (late - allowed) / max(allowed, minAllowedLate))
	})
}

func (a *analysis) betOnAnswers(pool *PoolWindow) {
	for criterion := byFirstToken; criterion <= byTokenGap; criterion++ {
		differences := a.compareAll(pool.Samples, criterion)
		if len(differences) == 0 {
			continue
		}
		common := a.commonSlowdown(criterion)
		count := len(differences)
		groups := min(maxBets, max(1, count/answersPerBet))
		a.addEvidence(criterion, func(bet float64) float64 {
			won := 0.0
			for i := range groups {
				group := differences[i*count/groups : (i+1)*count/groups]
				excess := max(-1, mean(group)-common)
				won += math.Log1p(bet * (excess - toleratedAdvantage) / (1 + toleratedAdvantage))
			}
			return won
		})
	}
}

// commonSlowdown is what has slowed the old pool down too, and is not held against the new one.
func (a *analysis) commonSlowdown(criterion criterion) float64 {
	var drift ratio
	for _, window := range a.drift[criterion] {
		drift = drift.plus(window)
	}
	return max(0, drift.Bad/max(drift.Total, 1))
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
