// Package mode says, for one node, how it stands to the others of its fleet: by one table of named modes. It is pure: time
// is passed in, and nothing is drawn here.
package mode

import (
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/invariant"
)

// Mode is how a node stands to the others.
type Mode uint8

const (
	Joining  Mode = iota // it has started and has not heard most of the others yet
	Alone                // no other node is configured
	Together             // it hears most of the fleet, itself included
	Cut                  // it hears some others, and not most
	Nothing              // it hears nobody
	Healing              // it hears most again, and does its part of everything by and by
)

var words = [...]string{"joining", "alone", "together", "cut off with others", "hearing nothing", "healing"}

// String implements fmt.Stringer.
func (m Mode) String() string { return words[m] }

// follows is the table: from which modes each may be entered.
var follows = [...][]Mode{
	Joining:  {},
	Alone:    {Joining},
	Together: {Joining, Healing},
	Cut:      {Joining, Together, Nothing, Healing},
	Nothing:  {Joining, Together, Cut, Healing},
	Healing:  {Cut, Nothing},
}

// Limits are the spans of the machine.
type Limits struct {
	Join   time.Duration // for which a node that has started looks for the others
	Settle time.Duration // for which what is heard must have changed before the mode does: hysteresis
	Heal   time.Duration // over which a node that hears most again returns to its usual pace
}

// Machine is one node's mode.
type Machine struct {
	Limits
	Guard *invariant.Guard

	mode    Mode
	since   int64 // when it was entered; Unix nanoseconds, as all times here
	wish    Mode  // what is heard speaks for this one
	wishing int64
}

// New makes the machine of a node that starts now.
func New(l Limits, now int64, g *invariant.Guard) *Machine {
	return &Machine{Limits: l, Guard: g, since: now, wishing: now}
}

// Now is the mode, and since when it holds.
func (m *Machine) Now() (Mode, int64) { return m.mode, m.since }

// Step takes in how many of the other seats of the fleet are heard now, and how many there are. It tells whether the mode
// has changed.
func (m *Machine) Step(now int64, heard, others int) bool {
	now = max(now, m.since)
	wish := Nothing
	switch {
	case others == 0:
		wish = Alone
	case 2*(heard+1) > others+1:
		wish = Together
	case heard > 0:
		wish = Cut
	}
	if wish != m.wish {
		m.wish, m.wishing = wish, now
	}
	settled := now-m.wishing >= int64(m.Settle)
	next := m.mode
	switch m.mode {
	case Joining:
		if wish == Alone || wish == Together || now-m.since >= int64(m.Join) {
			next = wish
		}
	case Together, Cut, Nothing:
		if settled && wish != m.mode {
			next = wish
			if wish == Together {
				next = Healing
			}
		}
	case Healing:
		switch {
		case wish != Together && settled:
			next = wish
		case wish == Together && now-m.since >= int64(m.Heal):
			next = Together
		}
	}
	return m.enter(now, next)
}

func (m *Machine) enter(now int64, next Mode) bool {
	if next == m.mode {
		return false
	}
	if !slices.Contains(follows[next], m.mode) {
		m.Guard.Broken(invariant.ModeTable, fmt.Sprintf("%v after %v", next, m.mode))
		return false
	}
	m.mode, m.since = next, now
	return true
}

// Pace is the part of its usual pace at which the node asks, grants, resumes and retries now: all of it together with the
// others, nothing where nobody hears it, and by and by more while it heals.
func (m *Machine) Pace(now int64) float64 {
	switch m.mode {
	case Nothing, Alone:
		return 0
	case Healing:
		return min(1, max(0.05, float64(now-m.since)/max(1, float64(m.Heal))))
	}
	return 1
}
