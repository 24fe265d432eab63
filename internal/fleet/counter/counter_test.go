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

// A restart, a node replaced under the same seat, a message told twice, late or out of order: nothing counts twice, and the true
// sum lies within the bounds, wider the longer nothing is heard.
func TestReadingBoundsTheTrueSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const seats, clockError = 4, second / 4
		g := &invariant.Monitor{}
		most := []int64{50, 1}
		now := 1000 * second
		inc := make([]uint64, seats)
		start := func(i int) *Table {
			inc[i]++
			return New(seats, most, quota.Owner{Slot: i, Incarnation: inc[i]}, clockError, now, g)
		}
		nodes := make([]*Table, seats)
		for i := range nodes {
			nodes[i] = start(i)
		}
		reader := New(seats, most, quota.Owner{Slot: 0, Incarnation: 1000}, clockError, now, g) // it lives throughout
		var mail []Snapshot
		total := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				by := rapid.Int64Range(0, second).Draw(t, "by")
				now += by
				// Nobody adds faster than its stated rate, over any time.
				for i := 1; i < seats; i++ {
					n := rapid.Int64Range(0, int64(float64(by)/1e9*float64(most[0]))).Draw(t, "n")
					nodes[i].Add(0, n)
					total += n
				}
			},
			"tell": func(t *rapid.T) {
				mail = append(mail, nodes[rapid.IntRange(1, seats-1).Draw(t, "node")].OwnSnapshot(now+rapid.Int64Range(-clockError, clockError).Draw(t, "off")))
			},
			"hear": func(t *rapid.T) {
				if len(mail) > 0 {
					reader.Merge(mail[rapid.IntRange(0, len(mail)-1).Draw(t, "row")], now) // any of them, any number of times
				}
			},
			"restart": func(t *rapid.T) {
				// Its last row is heard first: what a life that ended unheard did is not known to anybody.
				i := rapid.IntRange(1, seats-1).Draw(t, "node")
				now += 2 * clockError
				reader.Merge(nodes[i].OwnSnapshot(now), now)
				nodes[i] = start(i)
			},
			"": func(t *rapid.T) {
				r := reader.Read(0, now)
				if r.Lower > total || total > r.Upper || len(g.Violations()) > 0 {
					t.Fatalf("%d counted, read as %d to %d", total, r.Lower, r.Upper)
				}
				for i := range reader.slots {
					if len(reader.slots[i].incarnations) > MaxIncarnations {
						t.Fatal("too many lives are kept")
					}
				}
			},
		})
	})
}

// Who is up, as far as known: a node that fell silent may be up or not.
func TestLiveMembersAndStaleSnapshots(t *testing.T) {
	a := New(3, []int64{1}, quota.Owner{Slot: 0, Incarnation: 1}, 0, 0, nil)
	require.Equal(t, Reading{Lower: 1, Upper: 3, Reported: 1, Unreported: 2}, a.LiveMembers(second, 3*second))
	require.True(t, a.Merge(Snapshot{Owner: quota.Owner{Slot: 1, Incarnation: 1}, At: second, Counts: []int64{5}}, second))
	require.Equal(t, Reading{Lower: 2, Upper: 3, Age: second, Reported: 2, Unreported: 1}, a.LiveMembers(2*second, 3*second))
	require.Equal(t, Reading{Lower: 1, Upper: 3, Reported: 2, Unreported: 1}, a.LiveMembers(9*second, 3*second))
	require.False(t, a.Merge(Snapshot{Owner: quota.Owner{Slot: 1, Incarnation: 1}, At: 2 * second, Counts: []int64{4}}, 2*second), "counts that fall")
	require.False(t, a.Merge(Snapshot{Owner: quota.Owner{Slot: 1, Incarnation: 1}, At: second / 2, Counts: []int64{5}}, 2*second), "older news")
	age, _ := a.Age(1, 2*second)
	require.Equal(t, second, age)
	require.False(t, a.Merge(Snapshot{Owner: quota.Owner{Slot: 1, Incarnation: 1}, At: 90 * second, Counts: []int64{6}}, 2*second), "told from the time to come")
}
