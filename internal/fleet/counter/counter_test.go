package counter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/quota"
)

const second = int64(time.Second)

const (
	slots      = 4
	clockError = second / 4
)

var maxRates = []int64{50, 1}

// simulation runs nodes that count, and a reader that is up throughout and receives their snapshots in any order.
type simulation struct {
	monitor      *invariant.Monitor
	now          int64
	incarnations []uint64 // latest incarnations by slot
	nodes        []*Table // tables by slot; that of slot 0, the reader's, is not used
	reader       *Table
	snapshots    []Snapshot // all snapshots sent so far
	total        int64      // true sum of the counts of key 0
}

func newSimulation() *simulation {
	s := &simulation{
		monitor:      &invariant.Monitor{},
		now:          1000 * second,
		incarnations: make([]uint64, slots),
		nodes:        make([]*Table, slots),
	}
	for slot := range s.nodes {
		s.start(slot)
	}
	s.reader = New(slots, maxRates, quota.Owner{Slot: 0, Incarnation: 1000}, clockError, s.now, s.monitor)
	return s
}

func (s *simulation) start(slot int) {
	s.incarnations[slot]++
	owner := quota.Owner{Slot: slot, Incarnation: s.incarnations[slot]}
	s.nodes[slot] = New(slots, maxRates, owner, clockError, s.now, s.monitor)
}

// advance advances the time. No node counts faster than its maximum rate, over any time.
func (s *simulation) advance(t *rapid.T) {
	by := rapid.Int64Range(0, second).Draw(t, "by")
	s.now += by
	maxAmount := int64(float64(by) / 1e9 * float64(maxRates[0]))
	for slot := 1; slot < slots; slot++ {
		amount := rapid.Int64Range(0, maxAmount).Draw(t, "amount")
		s.nodes[slot].Add(0, amount)
		s.total += amount
	}
}

func (s *simulation) send(t *rapid.T) {
	node := s.nodes[rapid.IntRange(1, slots-1).Draw(t, "node")]
	at := s.now + rapid.Int64Range(-clockError, clockError).Draw(t, "clock offset")
	s.snapshots = append(s.snapshots, node.OwnSnapshot(at))
}

// receive merges one of the snapshots into the reader's table, perhaps not for the first time.
func (s *simulation) receive(t *rapid.T) {
	if len(s.snapshots) > 0 {
		i := rapid.IntRange(0, len(s.snapshots)-1).Draw(t, "snapshot")
		s.reader.Merge(s.snapshots[i], s.now)
	}
}

// restart restarts a node. The reader receives its last snapshot before, since the counts of an incarnation after its
// last received snapshot are lost.
func (s *simulation) restart(t *rapid.T) {
	slot := rapid.IntRange(1, slots-1).Draw(t, "node")
	s.now += 2 * clockError
	s.reader.Merge(s.nodes[slot].OwnSnapshot(s.now), s.now)
	s.start(slot)
}

func (s *simulation) check(t *rapid.T) {
	reading := s.reader.Read(0, s.now)
	if reading.Lower > s.total || s.total > reading.Upper || len(s.monitor.Violations()) > 0 {
		t.Fatalf("true sum %d, read as %d to %d", s.total, reading.Lower, reading.Upper)
	}
	for slot := range s.reader.slots {
		if len(s.reader.slots[slot].incarnations) > MaxIncarnations {
			t.Fatal("a slot has more than MaxIncarnations incarnations")
		}
	}
}

// The true sum lies within the bounds of a reading although nodes restart, other nodes replace them in the same slot,
// and snapshots are received twice, late or out of order.
func TestReadingBoundsTheTrueSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"advance": s.advance,
			"send":    s.send,
			"receive": s.receive,
			"restart": s.restart,
			"":        s.check,
		})
	})
}

// A node whose snapshot is too old may be up or not, so it counts in the upper bound alone. Snapshots with falling
// counts, older ones and ones from the future are ignored.
func TestLiveMembersAndStaleSnapshots(t *testing.T) {
	table := New(3, []int64{1}, quota.Owner{Slot: 0, Incarnation: 1}, 0, 0, nil)
	merge := func(at, count, now int64) bool {
		return table.Merge(Snapshot{Owner: quota.Owner{Slot: 1, Incarnation: 1}, At: at, Counts: []int64{count}}, now)
	}
	live := func(now int64) Reading { return table.LiveMembers(now, 3*second) }
	require.Equal(t, Reading{Lower: 1, Upper: 3, Reported: 1, Unreported: 2}, live(second))
	require.True(t, merge(second, 5, second))
	require.Equal(t, Reading{Lower: 2, Upper: 3, Age: second, Reported: 2, Unreported: 1}, live(2*second))
	require.Equal(t, Reading{Lower: 1, Upper: 3, Reported: 2, Unreported: 1}, live(9*second))
	require.False(t, merge(2*second, 4, 2*second), "counts fall")
	require.False(t, merge(second/2, 5, 2*second), "an older snapshot")
	age, _ := table.Age(1, 2*second)
	require.Equal(t, second, age)
	require.False(t, merge(90*second, 6, 2*second), "a snapshot from the future")
}
