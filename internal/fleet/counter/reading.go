package counter

import (
	"fmt"

	"standpoint/internal/fleet/invariant"
)

// Reading is a sum over the fleet. The true sum is from Lower to Upper. Upper includes all that slots can have
// added since their latest snapshot, or, where there is none, since this node began.
type Reading struct {
	Lower      int64 `json:"lower"`
	Upper      int64 `json:"upper"`
	Age        int64 `json:"age"`    // nanoseconds, of the oldest snapshot in it
	Reported   int   `json:"heard"`  // slots whose snapshots are in it
	Unreported int   `json:"silent"` // slots of which there is no snapshot
}

// Read sums up the count of a key. A key that does not exist reads as zero.
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
		detail := fmt.Sprintf("key %d: from %d to %d", key, reading.Lower, reading.Upper)
		t.Invariants.Violated(invariant.CounterBounds, detail)
	}
	return reading
}

func (r *Reading) add(count int64) {
	r.Lower += count
	r.Upper += count
}

// knownCount is what all incarnations of a slot have counted, as far as this node knows.
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

// possibleGrowth is what a slot can have added to a count since its latest snapshot, which is so old by this node's
// clock.
func (t *Table) possibleGrowth(key int, age int64) int64 {
	return int64(float64(age+2*t.ClockError) / 1e9 * float64(t.MaxRates[key]))
}

// LiveMembers counts the nodes that are up: at least those of which there is a snapshot no older than maxAge, in
// nanoseconds; at most all of them.
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
