package migration

import (
	"fmt"
	"math"
)

// The rules that halt a migration without waiting for evidence, and those that tell a pool to be unable to take
// traffic.
const (
	severeWindows        = 8   // the latest windows that the rules look at
	severeMinRequests    = 10  // that each pool must have ended in them
	severeMinLateWindows = 5   // of them, with a late answer
	severeFraction       = 0.5 // of the floor, below which the new pool is severely worse
	severeDeviations     = 4.5 // standard deviations that the difference must exceed
	failedMinAttempts    = 6   // attempts and overflowed requests that show a pool to fail
	failedFraction       = 0.5 // of them that must have failed
)

// checkDegradation halts the migration if the new pool is worse than the old one, and starts the return if the plan
// wants it and the old pool can take the traffic. It reports whether it did.
func (m *Machine) checkDegradation(window *Window) bool {
	from, to := m.recent()
	cause := m.degradation(window, to)
	if cause == "" {
		return false
	}
	m.record.Cause = cause
	m.transition(Halted, "%s", cause)
	if m.record.Plan.OnWorse == Stay || unfitReason(window.From.Health, from) != "" {
		m.observeHalted(window)
		return true
	}
	m.startReturn("returning: %s", cause)
	if m.clientsAffected(window, to) {
		// Otherwise the return takes its steps, which gives the old pool time to read prompts again that it no longer
		// has cached.
		m.setShare(m.minimumReturnShare(window))
	}
	return true
}

// degradation says in which way the new pool is worse than the old one; empty if it is not known to be.
func (m *Machine) degradation(window *Window, to poolSummary) string {
	switch {
	case m.record.Shares.Share > 0 && window.To.Health.Ready == 0:
		return fmt.Sprintf("the new pool %s", unfitReason(window.To.Health, to))
	case m.farBelowFloor():
		onTime := 100 * to.OnTimeWeight / to.OfferedWeight
		return fmt.Sprintf("the new pool answers %.0f%% of its worth in time, far under the floor", onTime)
	case m.analysis.evidence.level() >= m.analysis.alarmLevel():
		return "the new pool is worse by its " + processNames[m.analysis.evidence.strongest()]
	}
	return ""
}

// clientsAffected reports whether the new pool's clients already get less than the plan's floor.
func (m *Machine) clientsAffected(window *Window, to poolSummary) bool {
	return window.To.Health.Ready == 0 ||
		m.farBelowFloor() ||
		to.OnTimeWeight < m.record.Plan.OnTimeFloor*m.usualOnTime()*to.OfferedWeight
}

// usualOnTime is the fraction of the old pool's offered weight that is usually answered on time.
func (m *Machine) usualOnTime() float64 {
	return 1 - m.analysis.longLate.estimate()
}

// farBelowFloor reports whether the new pool is so far below the floor that evidence need not be waited for. Both
// pools have to be seen in the same windows, and the old one has to do well in them.
func (m *Machine) farBelowFloor() bool {
	from, to := m.recent()
	if to.Requests < severeMinRequests || to.LateWindows < severeMinLateWindows || to.OfferedWeight <= 0 {
		return false
	}
	usual := m.usualOnTime()
	if from.Requests >= severeMinRequests {
		usual = from.OnTimeWeight / from.OfferedWeight
	}
	present := to.OnTimeWeight / to.OfferedWeight
	deviation := math.Sqrt(usual*(1-usual)/float64(to.Requests)) + 1e-9
	return usual >= severeFraction &&
		present < severeFraction*m.record.Plan.OnTimeFloor*usual &&
		(usual-present)/deviation > severeDeviations
}

// unfitReason says why a pool can take no traffic; empty if it can.
func unfitReason(health Health, recent poolSummary) string {
	switch {
	case health.Ready == 0:
		return "has no box that is ready"
	case recent.Attempted >= failedMinAttempts && float64(recent.Failed) >= failedFraction*float64(recent.Attempted):
		return fmt.Sprintf("fails %d of %d attempts", recent.Failed, recent.Attempted)
	}
	return ""
}

// observeHalted waits for an operator. If only the old pool's state prevented the return, it starts once that pool
// has recovered.
func (m *Machine) observeHalted(window *Window) {
	from, _ := m.recent()
	oldUnfit := unfitReason(window.From.Health, from)
	switch {
	case m.record.Plan.OnWorse == Stay && m.record.Cause != "":
		m.setReason("waiting for resume or undo: %s", m.record.Cause)
	case oldUnfit != "":
		m.setReason("not returned: the old pool %s", oldUnfit)
	case m.record.StateWindows >= severeWindows:
		m.startReturn("the old pool is fit again: returning")
	}
}

func (m *Machine) startReturn(format string, args ...any) {
	m.record.ReturnFromShare = m.record.Shares.Share
	m.transition(Returning, format, args...)
}

// observeReturning moves the next part of the traffic back when it is due.
func (m *Machine) observeReturning(window *Window) {
	from, to := m.recent()
	if m.oldPoolFailed(window, from, to) {
		m.record.Cause = "the old pool failed during the return"
		m.transition(Halted, "the old pool %s: no more goes back", unfitReason(window.From.Health, from))
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
		left := 100 * window.From.Health.WarmCapacity / m.record.FromCapacity
		m.setReason("the old pool has %.0f%% of its size left and cannot take more back", left)
	case m.record.StateWindows == 1 || m.record.ShareWindows >= windowCount(m.record.Plan.ReturnEvery):
		m.setShare(max(minimum, m.nextReturnShare(share)))
		m.addEvent("%.0f%% left", 100*m.record.Shares.Share)
	}
}

// oldPoolFailed reports whether the old pool has become unfit during the return, while the new one still serves.
func (m *Machine) oldPoolFailed(window *Window, from, to poolSummary) bool {
	return unfitReason(window.From.Health, from) != "" &&
		window.To.Health.Ready > 0 &&
		m.record.Shares.Share > 0 &&
		(from.Failed > to.Failed || window.From.Health.Ready == 0)
}

// nextReturnShare is the share after the next step of the return. A last step of less than a half is taken with the
// one before it.
func (m *Machine) nextReturnShare(share float64) float64 {
	step := m.record.ReturnFromShare / float64(m.record.Plan.ReturnSteps)
	next := share - step
	if next < step/2 {
		return 0
	}
	return next
}

// minimumReturnShare is the smallest share that the new pool has to keep: if some of the old pool's backends are gone
// by now, not all traffic can return.
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
