// Package tally is counts that a fleet's nodes keep together: each life of a node counts what it did itself, everybody passes on
// what it has heard, and a reading says between which bounds the sum lies. It is pure: time is passed in.
//
// A life's counts only grow, and are replaced by later ones of the same life; so what is told twice, late or out of order, and
// what a node that was started anew told before, counts once.
package tally

import (
	"cmp"
	"fmt"
	"slices"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/rights"
)

// LivesMost is how many lives of a seat are kept apart; earlier ones are added up.
const LivesMost = 4

// Row is one life's counts, as it told them at a time of its own clock.
type Row struct {
	Owner  rights.Owner `cbor:"1,keyasint"`
	At     int64        `cbor:"2,keyasint"`
	Counts []int64      `cbor:"3,keyasint"`
}

// seat is what is known of a seat: its latest lives, the newest first, and those before them added up. Lives up to past are
// in there; what is told of them any more changes nothing.
type seat struct {
	lives []Row
	past  uint64
	sums  []int64
	heard int64 // by this node's clock, when news of the seat came last
}

// Table is what one node knows of all counts.
type Table struct {
	Most  []int64 // by key: what a life can add in a second, as configured; what is not heard lies between 0 and that
	Error int64   // of clocks
	Guard *invariant.Guard

	own   Row
	seats []seat
	began int64
}

// New makes the table of a life that begins now.
func New(seats int, most []int64, own rights.Owner, clockError, now int64, g *invariant.Guard) *Table {
	return &Table{Most: most, Error: clockError, Guard: g, own: Row{Owner: own, Counts: make([]int64, len(most))}, seats: make([]seat, seats), began: now}
}

// Add counts something that this node did.
func (t *Table) Add(key int, n int64) {
	if key >= 0 && key < len(t.own.Counts) && n > 0 {
		t.own.Counts[key] += n
	}
}

// Own is this life's row, to be passed on.
func (t *Table) Own(now int64) Row {
	r := t.own
	r.At, r.Counts = now, slices.Clone(r.Counts)
	return r
}

// Hear takes in a row. It tells whether it was news: of a life that is not over and done with, and later than what is known.
func (t *Table) Hear(r Row, now int64) bool {
	if r.Owner.Seat < 0 || r.Owner.Seat >= len(t.seats) || r.Owner == t.own.Owner || len(r.Counts) != len(t.Most) || r.At > now+t.Error {
		return false
	}
	if slices.ContainsFunc(r.Counts, func(n int64) bool { return n < 0 || n > rights.AmountMost }) {
		return false
	}
	s := &t.seats[r.Owner.Seat]
	if r.Owner.Inc <= s.past {
		return false
	}
	i, known := slices.BinarySearchFunc(s.lives, r.Owner.Inc, func(a Row, inc uint64) int { return -cmp.Compare(a.Owner.Inc, inc) })
	if known {
		if r.At <= s.lives[i].At {
			return false
		}
		for k, n := range s.lives[i].Counts {
			if r.Counts[k] < n { // a life's counts do not fall: this is none of its rows
				return false
			}
		}
		s.lives[i] = r
	} else {
		s.lives = slices.Insert(s.lives, i, r)
	}
	if i == 0 {
		s.heard = now
	}
	for len(s.lives) > LivesMost {
		last := s.lives[len(s.lives)-1]
		if s.sums == nil {
			s.sums = make([]int64, len(t.Most))
		}
		for k, n := range last.Counts {
			s.sums[k] += n
		}
		s.past, s.lives = last.Owner.Inc, s.lives[:len(s.lives)-1]
	}
	return true
}

// Age is how old the newest row of a seat is, by this node's clock; false: there is none.
func (t *Table) Age(seat int, now int64) (int64, bool) {
	if seat == t.own.Owner.Seat {
		return 0, true
	}
	s := &t.seats[seat]
	if len(s.lives) == 0 {
		return 0, false
	}
	return max(0, now-s.lives[0].At), true
}

// Newest is the newest row of a seat; false: there is none.
func (t *Table) Newest(seat int) (Row, bool) {
	if s := &t.seats[seat]; len(s.lives) > 0 {
		return s.lives[0], true
	}
	return Row{}, false
}

// Reading is a sum over the fleet. The true one was between Lower and Upper; Upper has all that seats can have added since they
// were last heard, and those that never were since this node began.
type Reading struct {
	Lower  int64 `json:"lower"`
	Upper  int64 `json:"upper"`
	Age    int64 `json:"age"`    // nanoseconds: of the oldest row in it
	Heard  int   `json:"heard"`  // seats whose rows are in it
	Silent int   `json:"silent"` // those that were never heard
}

// Read sums a count up.
func (t *Table) Read(key int, now int64) Reading {
	var r Reading
	if key < 0 || key >= len(t.Most) {
		return r
	}
	add := func(n int64) { r.Lower, r.Upper = r.Lower+n, r.Upper+n }
	widen := func(age int64) {
		r.Upper += int64(float64(age+2*t.Error) / 1e9 * float64(t.Most[key]))
		r.Age = max(r.Age, age)
	}
	for i := range t.seats {
		s := &t.seats[i]
		if i == t.own.Owner.Seat {
			add(t.own.Counts[key])
			r.Heard++
		}
		if s.sums != nil {
			add(s.sums[key])
		}
		for _, l := range s.lives {
			add(l.Counts[key])
		}
		switch {
		case i == t.own.Owner.Seat:
		case len(s.lives) > 0:
			r.Heard++
			widen(max(0, now-s.lives[0].At))
		default:
			r.Silent++
			widen(max(0, now-t.began))
		}
	}
	if r.Lower > r.Upper || r.Lower < 0 {
		t.Guard.Broken(invariant.CountBounds, fmt.Sprintf("key %d: from %d to %d", key, r.Lower, r.Upper))
	}
	return r
}

// Live is how many nodes are up: at least those heard within so long, at most all but those that have never been heard.
func (t *Table) Live(now, within int64) Reading {
	r := Reading{Lower: 1, Upper: 1, Heard: 1}
	for i := range t.seats {
		if i == t.own.Owner.Seat {
			continue
		}
		age, heard := t.Age(i, now)
		if !heard {
			r.Silent++
			r.Upper++
			continue
		}
		r.Heard++
		r.Upper++
		if age <= within {
			r.Lower++
			r.Age = max(r.Age, age)
		}
	}
	return r
}
