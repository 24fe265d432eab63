// Package site says how a building site's node stands to the halls: by one table of named modes, with hysteresis. It is pure.
package site

import (
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/invariant"
)

// Mode is how a site stands to the halls.
type Mode uint8

// The modes.
const (
	Connected   Mode = iota // it hears a hall
	Doubtful                // it has heard none for a while: nothing has changed yet
	Alone                   // it goes on by itself: its own boxes, its last list, rights that were granted ahead
	Reconciling             // it hears a hall again, and both take what they lack
)

var words = [...]string{"connected", "doubtful", "alone", "reconciling"}

// String implements fmt.Stringer.
func (m Mode) String() string { return words[m] }

// follows is the table: from which modes each may be entered.
var follows = [...][]Mode{
	Connected:   {Doubtful, Reconciling},
	Doubtful:    {Connected, Reconciling},
	Alone:       {Doubtful},
	Reconciling: {Alone},
}

// Limits are the spans of the machine.
type Limits struct {
	Doubt  time.Duration // without a hall, until the site doubts
	Alone  time.Duration // of doubt, until it is alone
	Settle time.Duration // for which a hall must have been heard, until it is not alone any more
}

// Machine is one site's mode. A site begins alone: it has heard nobody.
type Machine struct {
	Limits
	Guard *invariant.Guard

	mode   Mode
	since  int64
	heard  int64 // since when halls are heard without a break; 0: they are not
	silent int64 // since when none is
}

// New makes the machine of a site that starts now.
func New(l Limits, now int64, g *invariant.Guard) *Machine {
	return &Machine{Limits: l, Guard: g, mode: Alone, since: now, silent: now}
}

// Now is the mode, and since when it holds.
func (m *Machine) Now() (Mode, int64) { return m.mode, m.since }

// Step takes in whether a hall is heard, and whether either side lacks something of the other. It tells whether the mode has
// changed.
func (m *Machine) Step(now int64, heard, lacking bool) bool {
	now = max(now, m.since)
	switch {
	case heard && m.heard == 0:
		m.heard, m.silent = now, 0
	case !heard && m.silent == 0:
		m.heard, m.silent = 0, now
	}
	next := m.mode
	switch m.mode {
	case Connected:
		if !heard && now-m.silent >= int64(m.Doubt) {
			next = Doubtful
		}
	case Doubtful:
		if heard {
			next = Connected
		} else if now-m.since >= int64(m.Alone) {
			next = Alone
		}
	case Alone:
		if heard && now-m.heard >= int64(m.Settle) {
			next = Reconciling
		}
	case Reconciling:
		if !heard && now-m.silent >= int64(m.Doubt) {
			next = Doubtful
		} else if heard && !lacking {
			next = Connected
		}
	}
	if next == m.mode {
		return false
	}
	if !slices.Contains(follows[next], m.mode) {
		m.Guard.Broken(invariant.ModeTable, fmt.Sprintf("site: %v after %v", next, m.mode))
		return false
	}
	m.mode, m.since = next, now
	return true
}
