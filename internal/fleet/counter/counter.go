// Package counter implements counters that all nodes of a fleet add to. Each incarnation of a node counts its own
// events, every node forwards the snapshots that it has received, and a reading gives bounds of the sum over the
// fleet. The package is pure: the time is an argument.
//
// The counts of an incarnation only grow, and a snapshot is replaced by later ones of the same incarnation, as in a
// grow-only counter (G-counter). So a snapshot that is received twice, late or out of order counts once, and so do
// the counts of a node from before its restart.
package counter

import (
	"cmp"
	"slices"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/quota"
)

// MaxIncarnations is the maximum number of incarnations of a slot with a snapshot of their own. The counts of earlier
// ones are summed up.
const MaxIncarnations = 4

// Snapshot has the counts of one incarnation at a time.
type Snapshot struct {
	Owner  quota.Owner `cbor:"1,keyasint"`
	At     int64       `cbor:"2,keyasint"` // Unix nanoseconds, by the owner's clock
	Counts []int64     `cbor:"3,keyasint"` // counts by key
}

// Table has the counts of all nodes, as far as one node knows them. A key is the index of a counter. It is not safe
// for concurrent use.
type Table struct {
	// MaxRates has, for each key, the maximum that an incarnation adds to the count in a second, as configured. The
	// amount that an incarnation has added since its latest snapshot is between 0 and that rate times the age of the
	// snapshot.
	MaxRates   []int64
	ClockError int64 // maximum difference between the clocks of two nodes, in nanoseconds
	Invariants *invariant.Monitor

	own       Snapshot    // this node's own counts
	slots     []slotState // received snapshots by slot
	startedAt int64       // Unix nanoseconds
}

// slotState has the counts of a member slot.
type slotState struct {
	incarnations []Snapshot // snapshots of the latest incarnations, newest incarnation first
	// mergedThrough is the latest incarnation whose counts are summed up in mergedCounts. Snapshots of it and of
	// earlier incarnations are ignored.
	mergedThrough uint64
	mergedCounts  []int64 // sums by key; nil if no incarnation is summed up
}

// New returns the table of an incarnation that starts now, in Unix nanoseconds.
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

// Add adds an amount to one of this node's own counts. Invalid keys and amounts that are not positive are ignored.
func (t *Table) Add(key int, amount int64) {
	if key >= 0 && key < len(t.own.Counts) && amount > 0 {
		t.own.Counts[key] += amount
	}
}

// OwnSnapshot returns the counts of this incarnation, to be sent to other nodes.
func (t *Table) OwnSnapshot(now int64) Snapshot {
	return Snapshot{Owner: t.own.Owner, At: now, Counts: slices.Clone(t.own.Counts)}
}

// Merge adds a received snapshot to the table, and reports whether it did. A snapshot is ignored if it is malformed,
// not newer than the known one of its incarnation, or of an incarnation that is already summed up.
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
	if !snapshot.supersedes(slot.incarnations[position]) {
		return false
	}
	slot.incarnations[position] = snapshot
	return true
}

// wellFormed reports whether another node of this fleet can have taken a snapshot by now.
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

// supersedes reports whether a snapshot was taken after another of the same incarnation. Since counts only grow, a
// snapshot with a lower count is invalid.
func (s Snapshot) supersedes(known Snapshot) bool {
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

// mergeOldest sums up the oldest incarnations if there are more than MaxIncarnations.
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

// Age returns the age of the latest snapshot of a slot in nanoseconds, by this node's clock, or false if there is none.
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

// Latest returns the snapshot of the latest incarnation in another node's slot, or false if there is none.
func (t *Table) Latest(slot int) (Snapshot, bool) {
	known := t.slots[slot].incarnations
	if len(known) == 0 {
		return Snapshot{}, false
	}
	return known[0], true
}
