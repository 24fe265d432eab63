package migration

import (
	"fmt"
	"math"
)

// The limits of the rules that halt a migration without waiting for evidence, and of those that detect a pool that
// cannot serve traffic.
const (
	// severeWindows is the number of latest windows to which the rules apply.
	severeWindows = 8
	// severeMinRequests is the minimum number of requests that must have ended in these windows: the rule for a new
	// pool far below the floor requires it of the new pool, and uses the long-term ratio of an old pool with fewer.
	severeMinRequests = 10
	// severeMinLateWindows is the minimum number of these windows in which a request of the new pool must be late.
	severeMinLateWindows = 5
	// severeFraction is the fraction of the floor below which the new pool is severely worse. The old pool must serve
	// at least this fraction of its weight on time.
	severeFraction = 0.5
	// severeDeviations is the number of standard deviations that the difference must exceed.
	severeDeviations = 4.5
	// failedMinAttempts is the minimum number of attempts and overflowed requests for a pool to count as failed.
	failedMinAttempts = 6
	// failedFraction is the fraction of these that must have failed.
	failedFraction = 0.5
)

// checkDegradation halts the migration if the new pool is worse than the old one, and starts the return if the plan
// requires it and the old pool can serve the traffic. It reports whether the new pool was found to be worse.
func (m *Machine) checkDegradation(window *Window) bool {
	from, to := m.recent()
	cause := m.degradation(window, to)
	if cause == "" {
		return false
	}
	m.record.Cause = cause
	m.transition(Halted, "%s", cause)
	if m.record.Plan.OnWorse == Stay || unavailableReason(window.From.Health, from) != "" {
		m.observeHalted(window)
		return true
	}
	m.startReturn("returning: %s", cause)
	if m.clientsAffected(window, to) {
		// As much traffic as the old pool can serve returns at once. While clients are not affected, the return takes
		// several steps instead, which gives the old pool time to refill its prompt caches.
		m.setShare(m.minimumReturnShare(window))
	}
	return true
}

// degradation returns in which way the new pool is worse than the old one; empty if it is not known to be worse.
func (m *Machine) degradation(window *Window, to poolSummary) string {
	switch {
	case m.record.Shares.Share > 0 && window.To.Health.Ready == 0:
		return fmt.Sprintf("the new pool %s", unavailableReason(window.To.Health, to))
	case m.farBelowFloor():
		onTime := 100 * to.OnTimeWeight / to.OfferedWeight
		return fmt.Sprintf("the new pool answers %.0f%% of its worth in time, far under the floor", onTime)
	case m.analysis.evidence.level() >= m.analysis.alarmLevel():
		return "the new pool is worse by its " + criterionNames[m.analysis.evidence.strongest()]
	}
	return ""
}

// clientsAffected reports whether the new pool already serves its clients below the plan's floor.
func (m *Machine) clientsAffected(window *Window, to poolSummary) bool {
	return window.To.Health.Ready == 0 ||
		m.farBelowFloor() ||
		to.OnTimeWeight < m.record.Plan.OnTimeFloor*m.expectedOnTime()*to.OfferedWeight
}

// expectedOnTime returns the long-term fraction of the old pool's offered weight that is served on time.
func (m *Machine) expectedOnTime() float64 {
	return 1 - m.analysis.longLate.estimate()
}

// farBelowFloor reports whether the new pool is so far below the floor that no further evidence is needed. The old pool
// must serve well in the same windows; if it has too few requests in them, its long-term ratio is used.
func (m *Machine) farBelowFloor() bool {
	from, to := m.recent()
	if to.Requests < severeMinRequests || to.LateWindows < severeMinLateWindows || to.OfferedWeight <= 0 {
		return false
	}
	expected := m.expectedOnTime()
	if from.Requests >= severeMinRequests {
		expected = from.OnTimeWeight / from.OfferedWeight
	}
	actual := to.OnTimeWeight / to.OfferedWeight
	deviation := math.Sqrt(expected*(1-expected)/float64(to.Requests)) + 1e-9
	return expected >= severeFraction &&
		actual < severeFraction*m.record.Plan.OnTimeFloor*expected &&
		(expected-actual)/deviation > severeDeviations
}

// unavailableReason returns why a pool cannot serve traffic; empty if it can.
func unavailableReason(health Health, recent poolSummary) string {
	switch {
	case health.Ready == 0:
		return "has no box that is ready"
	case recent.Attempted >= failedMinAttempts && float64(recent.Failed) >= failedFraction*float64(recent.Attempted):
		return fmt.Sprintf("fails %d of %d attempts", recent.Failed, recent.Attempted)
	}
	return ""
}

// observeHalted waits for an operator. If only the old pool's state prevents the return, the return starts once that
// pool has recovered, severeWindows windows after the halt at the earliest.
func (m *Machine) observeHalted(window *Window) {
	from, _ := m.recent()
	oldUnavailable := unavailableReason(window.From.Health, from)
	switch {
	case m.record.Plan.OnWorse == Stay && m.record.Cause != "":
		m.setReason("waiting for resume or undo: %s", m.record.Cause)
	case oldUnavailable != "":
		m.setReason("not returned: the old pool %s", oldUnavailable)
	case m.record.StateWindows >= severeWindows:
		m.startReturn("the old pool is fit again: returning")
	}
}

func (m *Machine) startReturn(format string, args ...any) {
	m.record.ReturnFromShare = m.record.Shares.Share
	m.transition(Returning, format, args...)
}

// observeReturning shifts the next part of the traffic back when it is due.
func (m *Machine) observeReturning(window *Window) {
	from, to := m.recent()
	if m.oldPoolFailed(window, from, to) {
		m.record.Cause = "the old pool failed during the return"
		m.transition(Halted, "the old pool %s: no more goes back", unavailableReason(window.From.Health, from))
		return
	}
	share := m.record.Shares.Share
	minimum := m.minimumReturnShare(window)
	switch {
	case share <= 0 && len(window.Lagging) == 0:
		m.finishUndone("all traffic is back")
	case share <= 0:
		m.setReason("waiting for %v", window.Lagging)
	case share <= minimum:
		remaining := 100 * window.From.Health.WarmCapacity / m.record.FromCapacity
		m.setReason("the old pool has %.0f%% of its size left and cannot take more back", remaining)
	case m.record.StateWindows == 1 || m.record.ShareWindows >= windowCount(m.record.Plan.ReturnEvery):
		m.setShare(max(minimum, m.nextReturnShare(share)))
		m.addEvent("%.0f%% left", 100*m.record.Shares.Share)
	}
}

// oldPoolFailed reports whether the old pool has become unavailable during the return while the new one still serves.
// An old pool with ready backends must also have more failures than the new one.
func (m *Machine) oldPoolFailed(window *Window, from, to poolSummary) bool {
	return unavailableReason(window.From.Health, from) != "" &&
		window.To.Health.Ready > 0 &&
		m.record.Shares.Share > 0 &&
		(from.Failed > to.Failed || window.From.Health.Ready == 0)
}

// nextReturnShare returns the share after the next step of the return. A last step of less than half a step is combined
// with the one before it.
func (m *Machine) nextReturnShare(share float64) float64 {
	step := m.record.ReturnFromShare / float64(m.record.Plan.ReturnSteps)
	next := share - step
	if next < step/2 {
		return 0
	}
	return next
}

// minimumReturnShare returns the smallest share that the new pool must continue to serve: if less than warmThreshold of
// the old pool's capacity at the start of the migration is left, not all traffic can return.
func (m *Machine) minimumReturnShare(window *Window) float64 {
	if m.record.FromCapacity <= 0 {
		return 0
	}
	remaining := min(1, window.From.Health.WarmCapacity/m.record.FromCapacity)
	if remaining >= warmThreshold {
		return 0
	}
	return min(m.record.ReturnFromShare, 1-remaining)
}

func (m *Machine) finishUndone(text string) {
	m.record.Shares = m.record.Shares.WithoutMigration()
	m.record.Version++
	m.transition(Undone, "%s", text)
}
