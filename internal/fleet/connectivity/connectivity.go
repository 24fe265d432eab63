// Package connectivity determines how one node is connected to the other nodes of its fleet. It is a pure state machine
// with a single transition table: the time is an argument, and nothing is random.
package connectivity

import (
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/invariant"
)

// State is the state of a node's connections to the others.
type State uint8

// The connectivity states. Another node is connected if its heartbeats arrive.
const (
	Joining    State = iota // the node has started, and was not connected to a majority yet
	Standalone              // no other node is configured
	Majority                // the node is in a connected majority of the fleet
	Minority                // the node is connected to others, but not to a majority
	Isolated                // the node is connected to no other node
	Recovering              // the node is in a majority again, and increases its rate to the usual one
)

// stateNames are part of the status that operators read, and must not change.
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

// predecessors is the transition table: it has the states from which each state may be entered.
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
	JoinTimeout  time.Duration // maximum time for which a node stays in Joining
	SettleTime   time.Duration // time for which a new target state must persist before it is entered: hysteresis
	RecoveryRamp time.Duration // time in which a recovering node increases its rate to the usual one
}

// Machine is the state machine of one node. Times are Unix nanoseconds. It is not safe for concurrent use.
type Machine struct {
	Timing
	Invariants *invariant.Monitor

	state       State
	enteredAt   int64 // time at which state was entered
	target      State // state by the number of live slots at present
	targetSince int64 // time from which target is the same
}

// New returns the machine of a node that starts now, in Joining.
func New(timing Timing, now int64, monitor *invariant.Monitor) *Machine {
	return &Machine{Timing: timing, Invariants: monitor, enteredAt: now, targetSince: now}
}

// Current returns the state and the time at which it was entered.
func (m *Machine) Current() (state State, enteredAt int64) { return m.state, m.enteredAt }

// Update updates the state by the number of live slots among the other member slots, and reports whether the state has
// changed.
func (m *Machine) Update(now int64, live, others int) bool {
	now = max(now, m.enteredAt)
	if target := stateFor(live, others); target != m.target {
		m.target = target
		m.targetSince = now
	}
	return m.transition(now, m.next(now))
}

// stateFor returns the state for a number of live slots, regardless of earlier states.
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

// next returns the state that follows from the target and the time.
func (m *Machine) next(now int64) State {
	settled := now-m.targetSince >= int64(m.SettleTime)
	switch m.state {
	case Joining:
		if m.target == Standalone || m.target == Majority || now-m.enteredAt >= int64(m.JoinTimeout) {
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
		if m.target == Majority && now-m.enteredAt >= int64(m.RecoveryRamp) {
			return Majority
		}
	}
	return m.state
}

// transition enters the next state if the transition table allows it, and reports whether it did.
func (m *Machine) transition(now int64, next State) bool {
	if next == m.state {
		return false
	}
	if !slices.Contains(predecessors[next], m.state) {
		m.Invariants.RecordViolation(invariant.StateTransition,
			fmt.Sprintf("connectivity: %q entered from %q", next, m.state))
		return false
	}
	m.state = next
	m.enteredAt = now
	return true
}

// minRampFactor is the rate factor at the beginning of a recovery.
const minRampFactor = 0.05

// RateFactor returns the fraction of the usual rate, from 0 to 1, at which the node requests and grants quota, resumes
// sessions and retries now. It is 0 in Isolated and Standalone, grows in Recovering, and is 1 in all other states.
func (m *Machine) RateFactor(now int64) float64 {
	switch m.state {
	case Isolated, Standalone:
		return 0
	case Recovering:
		elapsed := float64(now - m.enteredAt)
		return min(1, max(minRampFactor, elapsed/max(1, float64(m.RecoveryRamp))))
	}
	return 1
}
