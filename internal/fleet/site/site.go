// Package site tells how the node of a remote site is connected to the core sites, whose store decides for the
// fleet ("halls" in the operator's file). It is a pure state machine with one table of transitions, and hysteresis:
// the time is an argument.
package site

import (
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/invariant"
)

// State is how a site is connected to the core.
type State uint8

// The states.
const (
	Connected State = iota // it hears a core node
	Suspect                // it has heard none for a while; nothing has changed yet
	// Isolated: it goes on by itself, with its own backends, the last endpoint list and quota that was granted ahead.
	Isolated
	Reconciling // it hears a core node again, and both sides fetch what they lack
)

// stateNames are read by operators, and must not change.
var stateNames = [...]string{
	Connected:   "connected",
	Suspect:     "doubtful",
	Isolated:    "alone",
	Reconciling: "reconciling",
}

// String implements fmt.Stringer.
func (s State) String() string { return stateNames[s] }

// predecessors is the table of transitions: the states from which each may be entered.
var predecessors = [...][]State{
	Connected:   {Suspect, Reconciling},
	Suspect:     {Connected, Reconciling},
	Isolated:    {Suspect},
	Reconciling: {Isolated},
}

// Timing configures a Machine.
type Timing struct {
	SuspectAfter  time.Duration // without a core node, until a connected site is suspect
	IsolatedAfter time.Duration // of being suspect, until the site is isolated
	SettleTime    time.Duration // for which a core node must have been heard until an isolated site reconciles
}

// Machine is the state machine of one site. Times are Unix nanoseconds. It is not safe for concurrent use.
type Machine struct {
	Timing
	Invariants *invariant.Monitor

	state            State
	since            int64
	reachableSince   int64 // since when core nodes are heard without a break; 0: they are not
	unreachableSince int64 // since when none is heard; 0: one is
}

// New returns the machine of a site that starts now. It has heard nobody, so it begins isolated.
func New(timing Timing, now int64, monitor *invariant.Monitor) *Machine {
	return &Machine{Timing: timing, Invariants: monitor, state: Isolated, since: now, unreachableSince: now}
}

// Current returns the state, and since when it holds.
func (m *Machine) Current() (state State, since int64) { return m.state, m.since }

// Update takes in whether a core node is heard, and whether either side still lacks data of the other. It reports
// whether the state has changed.
func (m *Machine) Update(now int64, coreReachable, dataMissing bool) bool {
	now = max(now, m.since)
	switch {
	case coreReachable && m.reachableSince == 0:
		m.reachableSince = now
		m.unreachableSince = 0
	case !coreReachable && m.unreachableSince == 0:
		m.reachableSince = 0
		m.unreachableSince = now
	}
	return m.transition(now, m.next(now, coreReachable, dataMissing))
}

// next is the state that follows from what is heard and the time.
func (m *Machine) next(now int64, coreReachable, dataMissing bool) State {
	lost := !coreReachable && now-m.unreachableSince >= int64(m.SuspectAfter)
	switch m.state {
	case Connected:
		if lost {
			return Suspect
		}
	case Suspect:
		if coreReachable {
			return Connected
		}
		if now-m.since >= int64(m.IsolatedAfter) {
			return Isolated
		}
	case Isolated:
		if coreReachable && now-m.reachableSince >= int64(m.SettleTime) {
			return Reconciling
		}
	case Reconciling:
		if lost {
			return Suspect
		}
		if coreReachable && !dataMissing {
			return Connected
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
		m.Invariants.Violated(invariant.StateTransition, fmt.Sprintf("site: %v after %v", next, m.state))
		return false
	}
	m.state = next
	m.since = now
	return true
}
