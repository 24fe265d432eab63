// Package mode says, for one node, how it stands to the others of its fleet: by one table of named modes. It is pure: time
// is passed in, and nothing is drawn here.
package connectivity

import (
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/invariant"
)

// State is how a node stands to the others.
type State uint8

const (
	Joining    State = iota // it has started and has not heard most of the others yet
	Standalone              // no other node is configured
	Majority                // it hears most of the fleet, itself included
	Minority                // it hears some others, and not most
	Isolated                // it hears nobody
	Recovering              // it hears most again, and does its part of everything by and by
)

var stateNames = [...]string{"joining", "alone", "together", "cut off with others", "hearing nothing", "healing"}

// String implements fmt.Stringer.
func (m State) String() string { return stateNames[m] }

// predecessors is the table: from which modes each may be entered.
var predecessors = [...][]State{
	Joining:    {},
	Standalone: {Joining},
	Majority:   {Joining, Recovering},
	Minority:   {Joining, Majority, Isolated, Recovering},
	Isolated:   {Joining, Majority, Minority, Recovering},
	Recovering: {Minority, Isolated},
}

// Timing are the spans of the machine.
type Timing struct {
	JoinTimeout  time.Duration // for which a node that has started looks for the others
	SettleTime   time.Duration // for which what is heard must have changed before the mode does: hysteresis
	RecoveryRamp time.Duration // over which a node that hears most again returns to its usual pace
}

// Machine is one node's mode.
type Machine struct {
	Timing
	Invariants *invariant.Monitor

	state       State
	since       int64 // when it was entered; Unix nanoseconds, as all times here
	target      State // what is heard speaks for this one
	targetSince int64
}

// New makes the machine of a node that starts now.
func New(l Timing, now int64, g *invariant.Monitor) *Machine {
	return &Machine{Timing: l, Invariants: g, since: now, targetSince: now}
}

// Current is the mode, and since when it holds.
func (m *Machine) Current() (State, int64) { return m.state, m.since }

// Update takes in how many of the other seats of the fleet are heard now, and how many there are. It tells whether the mode
// has changed.
func (m *Machine) Update(now int64, heard, others int) bool {
	now = max(now, m.since)
	wish := Isolated
	switch {
	case others == 0:
		wish = Standalone
	case 2*(heard+1) > others+1:
		wish = Majority
	case heard > 0:
		wish = Minority
	}
	if wish != m.target {
		m.target, m.targetSince = wish, now
	}
	settled := now-m.targetSince >= int64(m.SettleTime)
	next := m.state
	switch m.state {
	case Joining:
		if wish == Standalone || wish == Majority || now-m.since >= int64(m.JoinTimeout) {
			next = wish
		}
	case Majority, Minority, Isolated:
		if settled && wish != m.state {
			next = wish
			if wish == Majority {
				next = Recovering
			}
		}
	case Recovering:
		switch {
		case wish != Majority && settled:
			next = wish
		case wish == Majority && now-m.since >= int64(m.RecoveryRamp):
			next = Majority
		}
	}
	return m.transition(now, next)
}

func (m *Machine) transition(now int64, next State) bool {
	if next == m.state {
		return false
	}
	if !slices.Contains(predecessors[next], m.state) {
		m.Invariants.Violated(invariant.StateTransition, fmt.Sprintf("%v after %v", next, m.state))
		return false
	}
	m.state, m.since = next, now
	return true
}

// RateFactor is the part of its usual pace at which the node asks, grants, resumes and retries now: all of it together with the
// others, nothing where nobody hears it, and by and by more while it heals.
func (m *Machine) RateFactor(now int64) float64 {
	switch m.state {
	case Isolated, Standalone:
		return 0
	case Recovering:
		return min(1, max(0.05, float64(now-m.since)/max(1, float64(m.RecoveryRamp))))
	}
	return 1
}
