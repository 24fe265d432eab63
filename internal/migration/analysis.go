package migration

import "math"

// The analysis collects evidence that the new pool is worse than the old one in the same windows. Each criterion has
// several e-detectors (Shin, Ramdas, Rinaldo 2022), each with a capital: in every window a bet against the hypothesis
// "the new pool is not worse" multiplies the capital by a factor whose mean is at most 1 while the hypothesis is true,
// and a capital below 1 restarts at 1. The alarm depends on the mean capital of all detectors. The mean number of
// windows until a false alarm is therefore at least the capital that raises the alarm, however often it is checked.
// Limiting the gain of a single window preserves this bound and prevents a short stall from raising the alarm.
//
//   - errors: each failed attempt, against the old pool's fraction of failed attempts plus the allowed excess;
//   - late weight: the fraction of the weight that is not served on time, against the old pool's fraction and the
//     floor;
//   - first token, token gap: each response against comparable ones of the old pool, the most recent first (similar
//     uncached prompt tokens or the same class, and similar load), corrected for the slowdown of the old pool itself in
//     the meantime. Only whether the response is slower by more than the allowed factor counts, so a long tail or a
//     single long prompt has no more weight than any other response.
const (
	// toleratedAdvantage is the mean advantage of the old pool, from -1 to 1, that is not evidence.
	toleratedAdvantage = 0.1
	// referenceWindows is the number of recent windows that define the old pool's fractions of errors and late weight.
	referenceWindows = 15
	// referenceMinEvents is the minimum number of requests or attempts in these windows. With fewer the long-term ratio
	// is used.
	referenceMinEvents = 12.0
	// commonWindows is the number of latest windows in which a disturbance of both pools is recognised.
	commonWindows = 3
	// commonMinEvents is the minimum number of requests or attempts in these windows.
	commonMinEvents = 6.0
	// responsesPerBet is the number of responses of the new pool that are combined into one bet. It is exceeded if a
	// window has more responses than maxBetsPerWindow bets of this size.
	responsesPerBet = 2
	// maxBetsPerWindow is the maximum number of bets on one response-time criterion in a window.
	maxBetsPerWindow = 4
	// stallAftermathWindows is the number of windows after a stall in which responses that it delayed still end.
	stallAftermathWindows = 2
	// maxExpectedErrors is the upper limit of the expected fraction of failed attempts.
	maxExpectedErrors = 0.9
	// minAllowedLate is the minimum fraction of late weight to divide by. It limits the gain of a bet on late weight.
	minAllowedLate = 0.05
)

// analysis compares the pools of one migration window by window.
type analysis struct {
	plan     Plan
	evidence Evidence
	window   int // number of the latest window, from 1

	// The old pool's performance. longErrors and longLate are decaying ratios over the whole migration. errors and late
	// are the ratios of each of the latest windows, at the index window % referenceWindows. baseline has the recent
	// responses, oldest first.
	longErrors ratio
	longLate   ratio
	errors     [referenceWindows]ratio
	late       [referenceWindows]ratio
	baseline   [criterionCount][]observation

	// slope is the relative increase of the old pool's token gap per unit of load, around the mean gap at meanLoad.
	slope    float64
	meanLoad float64
	// drift is the slowdown of the old pool's responses against its own earlier ones, for each of the latest windows:
	// Bad is the sum of the results of compare, and Total their number.
	drift [criterionCount][commonWindows]ratio
}

func newAnalysis(plan Plan) *analysis { return &analysis{plan: plan} }

// alarmLevel returns the logarithm of the mean capital that raises the alarm.
func (a *analysis) alarmLevel() float64 { return math.Log(a.plan.FalseAlarmWindows) }

// windowLimit returns the maximum that one window may add to the logarithm of a capital, so that a stall of the
// tolerated length does not raise the alarm. A single capital that grows while the others do not must reach the alarm
// level times the number of capitals.
func (a *analysis) windowLimit() float64 {
	singleCapitalAlarm := a.alarmLevel() + math.Log(float64(criterionCount*detectorsPerCriterion))
	return singleCapitalAlarm / float64(windowCount(a.plan.MaxToleratedStall)+stallAftermathWindows)
}

// observe updates the evidence with a window.
func (a *analysis) observe(window *Window) {
	a.window++
	a.observeRatios(&window.From)
	for criterion := firstTokenCriterion; criterion <= tokenGapCriterion; criterion++ {
		a.observeDrift(window.From.Samples, criterion)
		a.extendBaseline(window.From.Samples, criterion)
	}
	a.fitSlope()
	a.betOnErrors(&window.To)
	a.betOnLateWeight(&window.To)
	a.betOnResponses(&window.To)
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

// observeDrift compares the old pool's responses with its own earlier ones.
func (a *analysis) observeDrift(samples []Sample, criterion criterion) {
	differences := a.compareAll(samples, criterion)
	count := float64(len(differences))
	var drift ratio
	if count > 0 {
		drift = ratio{Bad: mean(differences) * count, Total: count}
	}
	a.drift[criterion][a.window%commonWindows] = drift
}

// expectedFraction returns the old pool's fraction of bad events in the reference windows, or over the whole migration
// if these have too few events. It is not less than the fraction in the latest commonWindows, if these have enough
// events, so that a disturbance of both pools does not count against the new one. unit is the mean weight of an event.
func (a *analysis) expectedFraction(recent *[referenceWindows]ratio, longTerm ratio, unit float64) float64 {
	var sum, common ratio
	for i := range referenceWindows {
		slot := ((a.window-i)%referenceWindows + referenceWindows) % referenceWindows
		sum = sum.plus(recent[slot])
		if i == commonWindows-1 {
			common = sum
		}
	}
	expected := longTerm.estimate()
	if sum.Total >= referenceMinEvents*unit {
		expected = sum.estimate()
	}
	if common.Total >= commonMinEvents*unit {
		expected = max(expected, common.Bad/common.Total)
	}
	return expected
}

// addEvidence adds each bet's gain in this window to the logarithms of a criterion's capitals.
func (a *analysis) addEvidence(criterion criterion, logGain func(bet float64) float64) {
	limit := a.windowLimit()
	for i, bet := range betFractions[criterion] {
		capital := &a.evidence[criterion][i]
		*capital = max(0, *capital) + min(limit, logGain(bet))
	}
}

// betOnErrors updates the evidence of failed attempts. Once the new pool is warm, an overflowed request counts as a
// failed attempt, since none of the pool's backends was eligible.
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
	expected := min(maxExpectedErrors, a.expectedFraction(&a.errors, a.longErrors, 1)+a.plan.ErrorAllowance)
	a.addEvidence(errorsCriterion, func(bet float64) float64 {
		return float64(failed)*math.Log1p(bet*(1-expected)/expected) + float64(attempts-failed)*math.Log1p(-bet)
	})
}

// betOnLateWeight updates the evidence of weight that is not served on time.
func (a *analysis) betOnLateWeight(pool *PoolWindow) {
	if pool.OfferedWeight <= 0 {
		return
	}
	expected := a.expectedFraction(&a.late, a.longLate, pool.OfferedWeight/float64(max(1, pool.Requests)))
	allowed := 1 - a.plan.OnTimeFloor*(1-expected)
	late := 1 - pool.OnTimeWeight/pool.OfferedWeight
	a.addEvidence(lateWeightCriterion, func(bet float64) float64 {
		return math.Log1p(bet * (late - allowed) / max(allowed, minAllowedLate))
	})
}

// betOnResponses updates the evidence of slow responses, with one bet for each group of responses.
func (a *analysis) betOnResponses(pool *PoolWindow) {
	for criterion := firstTokenCriterion; criterion <= tokenGapCriterion; criterion++ {
		differences := a.compareAll(pool.Samples, criterion)
		if len(differences) == 0 {
			continue
		}
		common := a.sharedSlowdown(criterion)
		count := len(differences)
		groups := min(maxBetsPerWindow, max(1, count/responsesPerBet))
		a.addEvidence(criterion, func(bet float64) float64 {
			logGain := 0.0
			for i := range groups {
				group := differences[i*count/groups : (i+1)*count/groups]
				excess := max(-1, mean(group)-common)
				logGain += math.Log1p(bet * (excess - toleratedAdvantage) / (1 + toleratedAdvantage))
			}
			return logGain
		})
	}
}

// sharedSlowdown returns the old pool's own slowdown, which does not count against the new pool.
func (a *analysis) sharedSlowdown(criterion criterion) float64 {
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
