// Package counter keeps counts that the nodes of a fleet add to together. Each incarnation of a node counts what it
// did itself, every node forwards the snapshots that it has received, and a reading gives the bounds between which
// the sum lies. It is pure: the time is an argument.
//
// The counts of an incarnation only grow, and a snapshot is replaced by later ones of the same incarnation, as in a
// grow-only counter (G-counter). So a snapshot that is received twice, late or out of order counts once, as does
// what a node did before it was restarted.
package counter

import (
	"cmp"
	"slices"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/quota"
)

// MaxIncarnations is how many incarnations of a slot are kept apart. The counts of earlier ones are summed up.
const MaxIncarnations = 4

// Snapshot is the counts of one incarnation at a time of its own clock, in Unix nanoseconds.
type Snapshot struct {
	Owner  quota.Owner `cbor:"1,keyasint"`
	At     int64       `cbor:"2,keyasint"`
	Counts []int64     `cbor:"3,keyasint"`
}

// Table is what one node knows of all counts. A count is named by its key, an index. It is not safe for concurrent use.
type Table struct {
	// MaxRates is what an incarnation adds to each count in a second at the most, as configured. What it has added
	// since its last snapshot lies between 0 and that.
	MaxRates   []int64
	ClockError int64 // nanoseconds by which two clocks may differ
	Invariants *invariant.Monitor

	own       Snapshot
	slots     []slotState
	startedAt int64
}

// slotState is what is known of a member slot.
type slotState struct {
	incarnations []Snapshot // the latest ones, the newest first
	// mergedThrough is the last incarnation that is summed up in mergedCounts. Snapshots of it, or of one before
	// it, change nothing any more.
	mergedThrough uint64
	mergedCounts  []int64 // nil: none
}

// New returns the table of an incarnation that begins now, in Unix nanoseconds.
func New(slots int, maxRates []int64, owner quota.Owner, clockError, now int64, monitor *invariant.Monitor) *Table {
	return &Table{
		MaxRates:   maxRates,
		ClockError: clockError,
		Invariants: monitor,
		own:        Snapshot{Owner: owner, Counts: make([]int64, len(maxRates))},
		slots:      make([]slotState, slots),
		startedAt:  now,
	}
}

// Add adds to one of this node's own counts. Keys that do not exist and amounts that are not positive are ignored.
func (t *Table) Add(key int, amount int64) {
	if key >= 0 && key < len(t.own.Counts) && amount > 0 {
		t.own.Counts[key] += amount
	}
}

// OwnSnapshot returns the counts of this incarnation, to be sent to others.
func (t *Table) OwnSnapshot(now int64) Snapshot {
	return Snapshot{Owner: t.own.Owner, At: now, Counts: slices.Clone(t.own.Counts)}
}

// Merge takes in a snapshot. It reports whether that was news: well-formed, of an incarnation that is still kept
// apart, and later than what is known of it.
func (t *Table) Merge(snapshot Snapshot, now int64) bool {
	if !t.wellFormed(snapshot, now) {
		return false
	}
	slot := &t.slots[snapshot.Owner.Slot]
	incarnation := snapshot.Owner.Incarnation
	if incarnation <= slot.mergedThrough {
		return false
	}
	position, known := slices.BinarySearchFunc(slot.incarnations, incarnation, func(s Snapshot, target uint64) int {
		return -cmp.Compare(s.Owner.Incarnation, target)
	})
	if !known {
		slot.incarnations = slices.Insert(slot.incarnations, position, snapshot)
		slot.mergeOldest()
		return true
	}
	if !snapshot.follows(slot.incarnations[position]) {
		return false
	}
	slot.incarnations[position] = snapshot
	return true
}

// wellFormed reports whether a snapshot is one that another node of this fleet can have taken by now.
func (t *Table) wellFormed(snapshot Snapshot, now int64) bool {
	slot := snapshot.Owner.Slot
	if slot < 0 || slot >= len(t.slots) || snapshot.Owner == t.own.Owner {
		return false
	}
	if len(snapshot.Counts) != len(t.MaxRates) || snapshot.At > now+t.ClockError {
		return false
	}
	return !slices.ContainsFunc(snapshot.Counts, func(count int64) bool { return count < 0 || count > quota.MaxAmount })
}

// follows reports whether a snapshot was taken after another of the same incarnation. Counts do not fall: one with a
// lower count is not of this incarnation at all.
func (s Snapshot) follows(known Snapshot) bool {
	if s.At <= known.At {
		return false
	}
	for key, count := range known.Counts {
		if s.Counts[key] < count {
			return false
		}
	}
	return true
}

// mergeOldest sums up the oldest incarnations where there are more than MaxIncarnations.
func (s *slotState) mergeOldest() {
	for len(s.incarnations) > MaxIncarnations {
		last := len(s.incarnations) - 1
		oldest := s.incarnations[last]
		if s.mergedCounts == nil {
			s.mergedCounts = make([]int64, len(oldest.Counts))
		}
		for key, count := range oldest.Counts {
			s.mergedCounts[key] += count
		}
		s.mergedThrough = oldest.Owner.Incarnation
		s.incarnations = s.incarnations[:last]
	}
}

// Age returns how old the latest snapshot of a slot is, in nanoseconds by this node's clock. False: there is none.
func (t *Table) Age(slot int, now int64) (int64, bool) {
	if slot == t.own.Owner.Slot {
		return 0, true
	}
	latest, ok := t.Latest(slot)
	if !ok {
		return 0, false
	}
	return max(0, now-latest.At), true
}

// Latest returns the snapshot of the latest incarnation in another node's slot. False: there is none.
func (t *Table) Latest(slot int) (Snapshot, bool) {
	known := t.slots[slot].incarnations
	if len(known) == 0 {
		return Snapshot{}, false
	}
	return known[0], true
}
