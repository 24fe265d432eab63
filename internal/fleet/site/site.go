// Package site says how a building site's node stands to the halls: by one table of named modes, with hysteresis. It is pure.
package site

import (
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/invariant"
)

// State is how a site stands to the halls.
type State uint8

// The modes.
const (
	Connected   State = iota // it hears a hall
	Suspect                  // it has heard none for a while: nothing has changed yet
	Isolated                 // it goes on by itself: its own boxes, its last list, rights that were granted ahead
	Reconciling              // it hears a hall again, and both take what they lack
)

var stateNames = [...]string{"connected", "doubtful", "alone", "reconciling"}

// String implements fmt.Stringer.
func (m State) String() string { return stateNames[m] }

// predecessors is the table: from which modes each may be entered.
var predecessors = [...][]State{
	Connected:   {Suspect, Reconciling},
	Suspect:     {Connected, Reconciling},
	Isolated:    {Suspect},
	Reconciling: {Isolated},
}

// Timing are the spans of the machine.
type Timing struct {
	SuspectAfter  time.Duration // without a hall, until the site doubts
	IsolatedAfter time.Duration // of doubt, until it is alone
	SettleTime    time.Duration // for which a hall must have been heard, until it is not alone any more
}

// Machine is one site's mode. A site begins alone: it has heard nobody.
type Machine struct {
	Timing
	Invariants *invariant.Monitor

	state            State
	since            int64
	reachableSince   int64 // since when halls are heard without a break; 0: they are not
	unreachableSince int64 // since when none is
}

// New makes the machine of a site that starts now.
func New(l Timing, now int64, g *invariant.Monitor) *Machine {
	return &Machine{Timing: l, Invariants: g, state: Isolated, since: now, unreachableSince: now}
}

// Current is the mode, and since when it holds.
func (m *Machine) Current() (State, int64) { return m.state, m.since }

// Update takes in whether a hall is heard, and whether either side lacks something of the other. It tells whether the mode has
// changed.
func (m *Machine) Update(now int64, heard, lacking bool) bool {
	now = max(now, m.since)
	switch {
	case heard && m.reachableSince == 0:
		m.reachableSince, m.unreachableSince = now, 0
	case !heard && m.unreachableSince == 0:
		m.reachableSince, m.unreachableSince = 0, now
	}
	next := m.state
	switch m.state {
	case Connected:
		if !heard && now-m.unreachableSince >= int64(m.SuspectAfter) {
			next = Suspect
		}
	case Suspect:
		if heard {
			next = Connected
		} else if now-m.since >= int64(m.IsolatedAfter) {
			next = Isolated
		}
	case Isolated:
		if heard && now-m.reachableSince >= int64(m.SettleTime) {
			next = Reconciling
		}
	case Reconciling:
		if !heard && now-m.unreachableSince >= int64(m.SuspectAfter) {
			next = Suspect
		} else if heard && !lacking {
			next = Connected
		}
	}
	if next == m.state {
		return false
	}
	if !slices.Contains(predecessors[next], m.state) {
		m.Invariants.Violated(invariant.StateTransition, fmt.Sprintf("site: %v after %v", next, m.state))
		return false
	}
	m.state, m.since = next, now
	return true
}
