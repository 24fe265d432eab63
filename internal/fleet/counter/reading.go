package counter

import (
	"fmt"

	"standpoint/internal/fleet/invariant"
)

// Reading is a sum over the fleet, given by its bounds. Upper includes the maximum that slots can have added since
// their latest snapshots or, for a slot without a snapshot, since this node started.
type Reading struct {
	Lower      int64 `json:"lower"`  // lower bound of the sum
	Upper      int64 `json:"upper"`  // upper bound of the sum
	Age        int64 `json:"age"`    // age in nanoseconds of the oldest snapshot, see Read and LiveMembers
	Reported   int   `json:"heard"`  // number of slots with a snapshot
	Unreported int   `json:"silent"` // number of slots without a snapshot
}

// Read returns the sum of the counts of a key. The sum for an invalid key is zero. For the age of the reading, a slot
// without a snapshot counts as one whose snapshot was taken when this node started.
func (t *Table) Read(key int, now int64) Reading {
	var reading Reading
	if key < 0 || key >= len(t.MaxRates) {
		return reading
	}
	for slot := range t.slots {
		reading.add(t.knownCount(slot, key))
		age, ok := t.Age(slot, now)
		if !ok {
			age = max(0, now-t.startedAt)
			reading.Unreported++
		} else {
			reading.Reported++
		}
		if slot != t.own.Owner.Slot {
			reading.Upper += t.possibleGrowth(key, age)
			reading.Age = max(reading.Age, age)
		}
	}
	if reading.Lower > reading.Upper || reading.Lower < 0 {
		detail := fmt.Sprintf("counter %d: lower bound %d, upper bound %d", key, reading.Lower, reading.Upper)
		t.Invariants.RecordViolation(invariant.CounterBounds, detail)
	}
	return reading
}

// add adds a known count to both bounds.
func (r *Reading) add(count int64) {
	r.Lower += count
	r.Upper += count
}

// knownCount returns the sum of the counts of all incarnations of a slot, as far as this node knows them.
func (t *Table) knownCount(slot, key int) int64 {
	state := &t.slots[slot]
	total := int64(0)
	if slot == t.own.Owner.Slot {
		total += t.own.Counts[key]
	}
	if state.mergedCounts != nil {
		total += state.mergedCounts[key]
	}
	for _, snapshot := range state.incarnations {
		total += snapshot.Counts[key]
	}
	return total
}

// possibleGrowth returns the maximum that a slot can have added to a count since its latest snapshot, whose age in
// nanoseconds is given by this node's clock.
func (t *Table) possibleGrowth(key int, age int64) int64 {
	return int64(float64(age+2*t.ClockError) / 1e9 * float64(t.MaxRates[key]))
}

// LiveMembers returns bounds of the number of nodes that are up. The lower bound is the number of those, this node
// included, whose snapshot is no older than maxAge, in nanoseconds; the upper bound is the number of all nodes. The
// age is that of the oldest snapshot that the lower bound includes.
func (t *Table) LiveMembers(now, maxAge int64) Reading {
	reading := Reading{Lower: 1, Upper: 1, Reported: 1} // this node
	for slot := range t.slots {
		if slot == t.own.Owner.Slot {
			continue
		}
		reading.Upper++
		age, ok := t.Age(slot, now)
		if !ok {
			reading.Unreported++
			continue
		}
		reading.Reported++
		if age <= maxAge {
			reading.Lower++
			reading.Age = max(reading.Age, age)
		}
	}
	return reading
}
