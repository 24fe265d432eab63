// Package tally is counts that a fleet's nodes keep together: each life of a node counts what it did itself, everybody passes on
// what it has heard, and a reading says between which bounds the sum lies. It is pure: time is passed in.
//
// A life's counts only grow, and are replaced by later ones of the same life; so what is told twice, late or out of order, and
// what a node that was started anew told before, counts once.
package counter

import (
	"cmp"
	"fmt"
	"slices"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/quota"
)

// MaxIncarnations is how many lives of a seat are kept apart; earlier ones are added up.
const MaxIncarnations = 4

// Snapshot is one life's counts, as it told them at a time of its own clock.
type Snapshot struct {
	Owner  quota.Owner `cbor:"1,keyasint"`
	At     int64       `cbor:"2,keyasint"`
	Counts []int64     `cbor:"3,keyasint"`
}

// slotState is what is known of a seat: its latest lives, the newest first, and those before them added up. Lives up to past are
// in there; what is told of them any more changes nothing.
type slotState struct {
	incarnations  []Snapshot
	mergedThrough uint64
	sums          []int64
	heard         int64 // by this node's clock, when news of the seat came last
}

// Table is what one node knows of all counts.
type Table struct {
	MaxRates   []int64 // by key: what a life can add in a second, as configured; what is not heard lies between 0 and that
	ClockError int64   // of clocks
	Invariants *invariant.Monitor

	own       Snapshot
	slots     []slotState
	startedAt int64
}

// New makes the table of a life that begins now.
func New(seats int, most []int64, own quota.Owner, clockError, now int64, g *invariant.Monitor) *Table {
	return &Table{MaxRates: most, ClockError: clockError, Invariants: g, own: Snapshot{Owner: own, Counts: make([]int64, len(most))}, slots: make([]slotState, seats), startedAt: now}
}

// Add counts something that this node did.
func (t *Table) Add(key int, n int64) {
	if key >= 0 && key < len(t.own.Counts) && n > 0 {
		t.own.Counts[key] += n
	}
}

// OwnSnapshot is this life's row, to be passed on.
func (t *Table) OwnSnapshot(now int64) Snapshot {
	r := t.own
	r.At, r.Counts = now, slices.Clone(r.Counts)
	return r
}

// Merge takes in a row. It tells whether it was news: of a life that is not over and done with, and later than what is known.
func (t *Table) Merge(r Snapshot, now int64) bool {
	if r.Owner.Slot < 0 || r.Owner.Slot >= len(t.slots) || r.Owner == t.own.Owner || len(r.Counts) != len(t.MaxRates) || r.At > now+t.ClockError {
		return false
	}
	if slices.ContainsFunc(r.Counts, func(n int64) bool { return n < 0 || n > quota.MaxAmount }) {
		return false
	}
	s := &t.slots[r.Owner.Slot]
	if r.Owner.Incarnation <= s.mergedThrough {
		return false
	}
	i, known := slices.BinarySearchFunc(s.incarnations, r.Owner.Incarnation, func(a Snapshot, inc uint64) int { return -cmp.Compare(a.Owner.Incarnation, inc) })
	if known {
		if r.At <= s.incarnations[i].At {
			return false
		}
		for k, n := range s.incarnations[i].Counts {
			if r.Counts[k] < n { // a life's counts do not fall: this is none of its rows
				return false
			}
		}
		s.incarnations[i] = r
	} else {
		s.incarnations = slices.Insert(s.incarnations, i, r)
	}
	if i == 0 {
		s.heard = now
	}
	for len(s.incarnations) > MaxIncarnations {
		last := s.incarnations[len(s.incarnations)-1]
		if s.sums == nil {
			s.sums = make([]int64, len(t.MaxRates))
		}
		for k, n := range last.Counts {
			s.sums[k] += n
		}
		s.mergedThrough, s.incarnations = last.Owner.Incarnation, s.incarnations[:len(s.incarnations)-1]
	}
	return true
}

// Age is how old the newest row of a seat is, by this node's clock; false: there is none.
func (t *Table) Age(seat int, now int64) (int64, bool) {
	if seat == t.own.Owner.Slot {
		return 0, true
	}
	s := &t.slots[seat]
	if len(s.incarnations) == 0 {
		return 0, false
	}
	return max(0, now-s.incarnations[0].At), true
}

// Latest is the newest row of a seat; false: there is none.
func (t *Table) Latest(seat int) (Snapshot, bool) {
	if s := &t.slots[seat]; len(s.incarnations) > 0 {
		return s.incarnations[0], true
	}
	return Snapshot{}, false
}

// Reading is a sum over the fleet. The true one was between Lower and Upper; Upper has all that seats can have added since they
// were last heard, and those that never were since this node began.
type Reading struct {
	Lower      int64 `json:"lower"`
	Upper      int64 `json:"upper"`
	Age        int64 `json:"age"`    // nanoseconds: of the oldest row in it
	Reported   int   `json:"heard"`  // seats whose rows are in it
	Unreported int   `json:"silent"` // those that were never heard
}

// Read sums a count up.
func (t *Table) Read(key int, now int64) Reading {
	var r Reading
	if key < 0 || key >= len(t.MaxRates) {
		return r
	}
	add := func(n int64) { r.Lower, r.Upper = r.Lower+n, r.Upper+n }
	widen := func(age int64) {
		r.Upper += int64(float64(age+2*t.ClockError) / 1e9 * float64(t.MaxRates[key]))
		r.Age = max(r.Age, age)
	}
	for i := range t.slots {
		s := &t.slots[i]
		if i == t.own.Owner.Slot {
			add(t.own.Counts[key])
			r.Reported++
		}
		if s.sums != nil {
			add(s.sums[key])
		}
		for _, l := range s.incarnations {
			add(l.Counts[key])
		}
		switch {
		case i == t.own.Owner.Slot:
		case len(s.incarnations) > 0:
			r.Reported++
			widen(max(0, now-s.incarnations[0].At))
		default:
			r.Unreported++
			widen(max(0, now-t.startedAt))
		}
	}
	if r.Lower > r.Upper || r.Lower < 0 {
		t.Invariants.Violated(invariant.CounterBounds, fmt.Sprintf("key %d: from %d to %d", key, r.Lower, r.Upper))
	}
	return r
}

// LiveMembers is how many nodes are up: at least those heard within so long, at most all but those that have never been heard.
func (t *Table) LiveMembers(now, within int64) Reading {
	r := Reading{Lower: 1, Upper: 1, Reported: 1}
	for i := range t.slots {
		if i == t.own.Owner.Slot {
			continue
		}
		age, heard := t.Age(i, now)
		if !heard {
			r.Unreported++
			r.Upper++
			continue
		}
		r.Reported++
		r.Upper++
		if age <= within {
			r.Lower++
			r.Age = max(r.Age, age)
		}
	}
	return r
}
