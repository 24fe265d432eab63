// Package site determines how the node of a remote site is connected to the core, that is, the nodes in core slots
// ("halls" in the operator's file), whose store decides for the fleet. It is a pure state machine with a single
// transition table and hysteresis: the time is an argument.
package site

import (
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/invariant"
)

// State is the state of a site's connection to the core.
type State uint8

// The states of a site. The core is reachable if heartbeats of a core node arrive.
const (
	Connected State = iota // the core is reachable
	Suspect                // the core has not been reachable for SuspectAfter; the site operates as if connected
	// Isolated is the state of a site that operates by itself, with its own backends, the last endpoint list and quota
	// that was granted in advance.
	Isolated
	Reconciling // the core is reachable again, and both sides fetch the data that they lack
)

// stateNames are part of the status that operators read, and must not change.
var stateNames = [...]string{
	Connected:   "connected",
	Suspect:     "doubtful",
	Isolated:    "alone",
	Reconciling: "reconciling",
}

// String implements fmt.Stringer.
func (s State) String() string { return stateNames[s] }

// predecessors is the transition table: it has the states from which each state may be entered.
var predecessors = [...][]State{
	Connected:   {Suspect, Reconciling},
	Suspect:     {Connected, Reconciling},
	Isolated:    {Suspect},
	Reconciling: {Isolated},
}

// Timing configures a Machine.
type Timing struct {
	SuspectAfter  time.Duration // time without a reachable core after which a site is suspect
	IsolatedAfter time.Duration // time after which a suspect site is isolated
	SettleTime    time.Duration // time for which the core must be reachable before an isolated site reconciles
}

// Machine is the state machine of one site. Times are Unix nanoseconds. It is not safe for concurrent use.
type Machine struct {
	Timing
	Invariants *invariant.Monitor

	state            State
	enteredAt        int64 // time at which state was entered
	reachableSince   int64 // time from which the core is reachable without a break; 0 while it is not
	unreachableSince int64 // time from which the core is not reachable; 0 while it is
}

// New returns the machine of a site that starts now, in Isolated, since the core was not reachable yet.
func New(timing Timing, now int64, monitor *invariant.Monitor) *Machine {
	return &Machine{Timing: timing, Invariants: monitor, state: Isolated, enteredAt: now, unreachableSince: now}
}

// Current returns the state and the time at which it was entered.
func (m *Machine) Current() (state State, enteredAt int64) { return m.state, m.enteredAt }

// Update updates the state by whether the core is reachable, and whether either side lacks data of the other. It
// reports whether the state has changed.
func (m *Machine) Update(now int64, coreReachable, dataMissing bool) bool {
	now = max(now, m.enteredAt)
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

// next returns the state that follows from the inputs of Update.
func (m *Machine) next(now int64, coreReachable, dataMissing bool) State {
	coreUnreachable := !coreReachable && now-m.unreachableSince >= int64(m.SuspectAfter)
	switch m.state {
	case Connected:
		if coreUnreachable {
			return Suspect
		}
	case Suspect:
		if coreReachable {
			return Connected
		}
		if now-m.enteredAt >= int64(m.IsolatedAfter) {
			return Isolated
		}
	case Isolated:
		if coreReachable && now-m.reachableSince >= int64(m.SettleTime) {
			return Reconciling
		}
	case Reconciling:
		if coreUnreachable {
			return Suspect
		}
		if coreReachable && !dataMissing {
			return Connected
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
		m.Invariants.RecordViolation(invariant.StateTransition, fmt.Sprintf("site: %q entered from %q", next, m.state))
		return false
	}
	m.state = next
	m.enteredAt = now
	return true
}
