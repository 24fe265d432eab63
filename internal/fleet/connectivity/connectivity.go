// Package connectivity tells, for one node, how it is connected to the other nodes of its fleet. It is a pure state
// machine with one table of transitions: the time is an argument, and nothing is random.
package connectivity

import (
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/invariant"
)

// State is how a node is connected to the others.
type State uint8

// The states.
const (
	Joining    State = iota // it has started, and has not heard a majority yet
	Standalone              // no other node is configured
	Majority                // it hears a majority of the fleet, itself included
	Minority                // it hears some others, but no majority
	Isolated                // it hears nobody
	Recovering              // it hears a majority again, and ramps up to its usual rate
)

// stateNames are read by operators, and must not change.
var stateNames = [...]string{
	Joining:    "joining",
	Standalone: "alone",
	Majority:   "together",
	Minority:   "cut off with others",
	Isolated:   "hearing nothing",
	Recovering: "healing",
}

// String implements fmt.Stringer.
func (s State) String() string { return stateNames[s] }

// predecessors is the table of transitions: the states from which each may be entered.
var predecessors = [...][]State{
	Joining:    {},
	Standalone: {Joining},
	Majority:   {Joining, Recovering},
	Minority:   {Joining, Majority, Isolated, Recovering},
	Isolated:   {Joining, Majority, Minority, Recovering},
	Recovering: {Minority, Isolated},
}

// Timing configures a Machine.
type Timing struct {
	JoinTimeout  time.Duration // for which a node that has started waits for a majority
	SettleTime   time.Duration // for which what is heard must have changed before the state does: hysteresis
	RecoveryRamp time.Duration // over which a node that hears a majority again returns to its usual rate
}

// Machine is the state machine of one node. Times are Unix nanoseconds. It is not safe for concurrent use.
type Machine struct {
	Timing
	Invariants *invariant.Monitor

	state       State
	since       int64
	target      State // that what is heard now speaks for
	targetSince int64
}

// New returns the machine of a node that starts now, in Joining.
func New(timing Timing, now int64, monitor *invariant.Monitor) *Machine {
	return &Machine{Timing: timing, Invariants: monitor, since: now, targetSince: now}
}

// Current returns the state, and since when it holds.
func (m *Machine) Current() (state State, since int64) { return m.state, m.since }

// Update takes in how many of the other member slots are live, of so many. It reports whether the state has
// changed.
func (m *Machine) Update(now int64, live, others int) bool {
	now = max(now, m.since)
	if target := stateFor(live, others); target != m.target {
		m.target = target
		m.targetSince = now
	}
	return m.transition(now, m.next(now))
}

// stateFor is the state that a number of live slots speaks for, apart from any history.
func stateFor(live, others int) State {
	switch {
	case others == 0:
		return Standalone
	case 2*(live+1) > others+1:
		return Majority
	case live > 0:
		return Minority
	}
	return Isolated
}

// next is the state that follows from the target and the time.
func (m *Machine) next(now int64) State {
	settled := now-m.targetSince >= int64(m.SettleTime)
	switch m.state {
	case Joining:
		if m.target == Standalone || m.target == Majority || now-m.since >= int64(m.JoinTimeout) {
			return m.target
		}
	case Majority, Minority, Isolated:
		if settled && m.target != m.state {
			if m.target == Majority {
				return Recovering
			}
			return m.target
		}
	case Recovering:
		if m.target != Majority && settled {
			return m.target
		}
		if m.target == Majority && now-m.since >= int64(m.RecoveryRamp) {
			return Majority
		}
	}
	return m.state
}

// transition enters the next state, if the table allows that.
func (m *Machine) transition(now int64, next State) bool {
	if next == m.state {
		return false
	}
	if !slices.Contains(predecessors[next], m.state) {
		m.Invariants.Violated(invariant.StateTransition, fmt.Sprintf("%v after %v", next, m.state))
		return false
	}
	m.state = next
	m.since = now
	return true
}

// minRampFactor is where the ramp of a recovering node begins.
const minRampFactor = 0.05

// RateFactor is the part of its usual rate, from 0 to 1, at which the node requests and grants quota, resumes
// sessions and retries now: 0 where nobody hears it, and growing while it recovers.
func (m *Machine) RateFactor(now int64) float64 {
	switch m.state {
	case Isolated, Standalone:
		return 0
	case Recovering:
		elapsed := float64(now - m.since)
		return min(1, max(minRampFactor, elapsed/max(1, float64(m.RecoveryRamp))))
	}
	return 1
}
