package migration

import "math"

const (
	quietFraction     = 0.5   // of the alarm level; with more evidence than this a step is not passed
	warmMinAnswers    = 5     // on-time answers that the new pool must have given before the first step
	minTrickleChange  = 0.002 // of the share, below which a growing trickle is not put in force
	minStepChange     = 0.005 // of the share, below which a growing step is not
	shareTolerance    = 1e-9  // within which a share counts as reached
	minOfferedDivisor = 1e-9  // keeps a division by an offered weight of 0 defined
)

// observePlanned starts the warm-up once all live nodes follow the record.
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

// attainableShare is the largest share that the new pool's backends can take now.
func (m *Machine) attainableShare(window *Window) float64 {
	return m.record.Plan.maximumShare(window.From.Health, window.To.Health, m.record.FromCapacity)
}

// targetShare is the share that the present step aims at.
func (m *Machine) targetShare() float64 {
	if m.record.Step == warmUpStep {
		return m.record.Plan.WarmUpShare
	}
	return m.record.Plan.Steps[m.record.Step]
}

// advance continues with the present step as far as cold backends, lagging nodes, samples and evidence allow.
func (m *Machine) advance(window *Window) {
	// Backends that restart during a migration are cold again, and never keep more than cold ones can take.
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

// observeWarming starts the first step once the new pool is warm enough and has answered some requests on time.
func (m *Machine) observeWarming(attainable float64) {
	plan := &m.record.Plan
	trickle := min(plan.WarmUpShare, attainable)
	if trickle > m.record.Shares.Share+minTrickleChange {
		m.setShare(trickle)
	}
	answers := m.onTimeAnswers()
	switch {
	case m.record.StateWindows < windowCount(plan.MinWarmUp):
		m.setReason("warming up: at least %v", plan.MinWarmUp)
	case attainable < plan.Steps[0]:
		m.setReason("warming up: the new pool's boxes can take %.1f%% by now", 100*attainable)
	case answers < warmMinAnswers:
		m.setReason("too few samples: %d of %d answers in time from the new pool", answers, warmMinAnswers)
	default:
		m.startNextStep(attainable)
	}
}

// onTimeAnswers estimates how many answers of the new pool were on time since the step began, from their weight.
func (m *Machine) onTimeAnswers() int {
	offered := m.record.StepWeight[0]
	onTime := m.record.StepWeight[1]
	return int(math.Round(float64(m.record.StepRequests[1]) * onTime / max(offered, minOfferedDivisor)))
}

// startNextStep puts the next step in force, as far as it is attainable yet.
func (m *Machine) startNextStep(attainable float64) {
	m.record.Step++
	m.resetStepCounts()
	m.setShare(min(m.targetShare(), attainable))
	m.transition(Stepping, "step %d of %d: %.0f%%", m.record.Step+1, len(m.record.Plan.Steps), 100*m.targetShare())
}

// observeStepping raises the share as the new pool's backends warm up, and holds it once the step is in force at all
// nodes.
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

// observeHolding passes the step once it has been held for long enough, over enough samples, without a sign that the
// new pool is worse.
func (m *Machine) observeHolding(window *Window) {
	plan := &m.record.Plan
	from, _ := m.recent()
	oldUnfit := unfitReason(window.From.Health, from)
	switch {
	case m.record.StateWindows < windowCount(plan.MinHold):
		m.setReason("watched for at least %v", plan.MinHold)
	case len(window.Lagging) > 0:
		m.setReason("waiting for %v", window.Lagging)
	case m.record.StepRequests[1] < plan.MinSamples:
		m.setReason("too few samples: %d of %d from the new pool", m.record.StepRequests[1], plan.MinSamples)
	case oldUnfit != "" && window.From.Health.Ready > 0:
		m.setReason("the old pool %s: nothing to compare with", oldUnfit)
	case m.record.StepRequests[0] < plan.MinSamples && m.record.Shares.Share < 1 && oldUnfit == "":
		m.setReason("too few samples: %d of %d from the old pool", m.record.StepRequests[0], plan.MinSamples)
	case m.analysis.evidence.level() > quietFraction*m.analysis.alarmLevel():
		m.setReason("the new pool looks worse by its %s; not sure yet", processNames[m.analysis.evidence.strongest()])
	case m.record.StepWeight[1] < plan.OnTimeFloor*m.usualOnTime()*m.record.StepWeight[0]:
		onTime := 100 * m.record.StepWeight[1] / m.record.StepWeight[0]
		m.setReason("the new pool answered %.0f%% of its worth in time, under the floor", onTime)
	default:
		m.passStep(window)
	}
}

// passStep goes from a step that has been held to the next one, or ends the migration after the last.
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
