package migration

import "math"

const (
	// maxPassEvidence is the maximum evidence with which a step is passed, as a fraction of the alarm level.
	maxPassEvidence = 0.5
	// warmUpMinResponses is the number of on-time responses of the new pool that the first step requires.
	warmUpMinResponses = 5
	// minWarmUpShareChange is the minimum increase of the share during the warm-up. Smaller increases are not applied.
	minWarmUpShareChange = 0.002
	// minStepChange is the minimum increase of the share during a step. Smaller increases are not applied.
	minStepChange = 0.005
	// shareTolerance is the difference within which a share counts as reached.
	shareTolerance = 1e-9
	// minOfferedDivisor avoids a division by zero if the offered weight is 0.
	minOfferedDivisor = 1e-9
)

// observePlanned starts the warm-up once all live nodes follow the record, unless the migration is paused.
func (m *Machine) observePlanned(window *Window) {
	switch {
	case m.record.Paused:
		m.setReason("paused")
	case len(window.Lagging) > 0:
		m.setReason("waiting for %v", window.Lagging)
	default:
		m.resetStepCounts()
		m.transition(Warming, "a trickle goes to the new pool")
		m.setShare(min(m.record.Plan.WarmUpShare, m.attainableShare(window)))
	}
}

// attainableShare returns the largest share that the new pool's backends can handle now.
func (m *Machine) attainableShare(window *Window) float64 {
	return m.record.Plan.maximumShare(window.From.Health, window.To.Health, m.record.FromCapacity)
}

// targetShare returns the share that the current step is to reach.
func (m *Machine) targetShare() float64 {
	if m.record.Step == warmUpStep {
		return m.record.Plan.WarmUpShare
	}
	return m.record.Plan.Steps[m.record.Step]
}

// advance continues with the current step as far as cold backends, lagging nodes, samples and evidence allow.
func (m *Machine) advance(window *Window) {
	// Backends that restart during a migration are cold again, so the share is reduced to what they can handle.
	attainable := m.attainableShare(window)
	if share := min(m.targetShare(), attainable); share < m.record.Shares.Share {
		m.setShare(share)
		if m.record.State == Holding {
			m.transition(Stepping, "the new pool's boxes are cold: %.0f%% for now", 100*share)
		}
		return
	}
	if m.record.Paused {
		m.setReason("paused")
		return
	}
	switch m.record.State {
	case Warming:
		m.observeWarming(attainable)
	case Stepping:
		m.observeStepping(window, attainable)
	case Holding:
		m.observeHolding(window)
	}
}

// observeWarming starts the first step once Plan.MinWarmUp has passed, the new pool is warm enough for the step's
// share, and it has given warmUpMinResponses responses on time.
func (m *Machine) observeWarming(attainable float64) {
	plan := &m.record.Plan
	warmUpShare := min(plan.WarmUpShare, attainable)
	if warmUpShare > m.record.Shares.Share+minWarmUpShareChange {
		m.setShare(warmUpShare)
	}
	responses := m.onTimeResponses()
	switch {
	case m.record.StateWindows < windowCount(plan.MinWarmUp):
		m.setReason("warming up: at least %v", plan.MinWarmUp)
	case attainable < plan.Steps[0]:
		m.setReason("warming up: the new pool's boxes can take %.1f%% by now", 100*attainable)
	case responses < warmUpMinResponses:
		m.setReason("too few samples: %d of %d answers in time from the new pool", responses, warmUpMinResponses)
	default:
		m.startNextStep(attainable)
	}
}

// onTimeResponses estimates from their weight how many responses of the new pool have been on time since the step
// began.
func (m *Machine) onTimeResponses() int {
	offered := m.record.StepWeight[0]
	onTime := m.record.StepWeight[1]
	return int(math.Round(float64(m.record.StepRequests[1]) * onTime / max(offered, minOfferedDivisor)))
}

// startNextStep applies the share of the next step, limited to the attainable share.
func (m *Machine) startNextStep(attainable float64) {
	m.record.Step++
	m.resetStepCounts()
	m.setShare(min(m.targetShare(), attainable))
	m.transition(Stepping, "step %d of %d: %.0f%%", m.record.Step+1, len(m.record.Plan.Steps), 100*m.targetShare())
}

// observeStepping raises the share as the new pool's backends warm up. Once the target is reached and all live nodes
// have applied it, the step is held and analysed.
func (m *Machine) observeStepping(window *Window, attainable float64) {
	target := m.targetShare()
	share := m.record.Shares.Share
	switch {
	case share < target-shareTolerance:
		if attainable > share+minStepChange {
			m.setShare(min(target, attainable))
		}
		m.setReason("the new pool's boxes are cold: %.0f%% of %.0f%%", 100*m.record.Shares.Share, 100*target)
	case len(window.Lagging) > 0:
		m.setReason("waiting for %v", window.Lagging)
	default:
		m.resetStepCounts()
		m.transition(Holding, "%.0f%% is in force at %d nodes", 100*target, window.Nodes)
	}
}

// observeHolding passes the step once it has been held for Plan.MinHold, all live nodes follow the record, both pools
// have enough samples and the new pool is not below the floor, unless there is evidence that the new pool is worse. The
// old pool needs no samples at a share of 1 or without a ready backend.
func (m *Machine) observeHolding(window *Window) {
	plan := &m.record.Plan
	from, _ := m.recent()
	oldUnavailable := unavailableReason(window.From.Health, from)
	switch {
	case m.record.StateWindows < windowCount(plan.MinHold):
		m.setReason("watched for at least %v", plan.MinHold)
	case len(window.Lagging) > 0:
		m.setReason("waiting for %v", window.Lagging)
	case m.record.StepRequests[1] < plan.MinSamples:
		m.setReason("too few samples: %d of %d from the new pool", m.record.StepRequests[1], plan.MinSamples)
	case oldUnavailable != "" && window.From.Health.Ready > 0:
		m.setReason("the old pool %s: nothing to compare with", oldUnavailable)
	case m.record.StepRequests[0] < plan.MinSamples && m.record.Shares.Share < 1 && oldUnavailable == "":
		m.setReason("too few samples: %d of %d from the old pool", m.record.StepRequests[0], plan.MinSamples)
	case m.analysis.evidence.level() > maxPassEvidence*m.analysis.alarmLevel():
		m.setReason("the new pool looks worse by its %s; not sure yet", criterionNames[m.analysis.evidence.strongest()])
	case m.record.StepWeight[1] < plan.OnTimeFloor*m.expectedOnTime()*m.record.StepWeight[0]:
		onTime := 100 * m.record.StepWeight[1] / m.record.StepWeight[0]
		m.setReason("the new pool answered %.0f%% of its worth in time, under the floor", onTime)
	default:
		m.passStep(window)
	}
}

// passStep starts the next step, or ends the migration after the last one.
func (m *Machine) passStep(window *Window) {
	switch {
	case m.record.Step < len(m.record.Plan.Steps)-1:
		m.startNextStep(m.attainableShare(window))
	case m.record.Shares.Share < 1:
		m.setReason("the last step is held until undo, or a move with further steps")
	default:
		m.record.Shares = m.record.Shares.Finish()
		m.record.Version++
		m.transition(Done, "all traffic has moved")
	}
}
