package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const second = int64(time.Second)

func TestDecideGrantsRenewsAndRejectsLeases(t *testing.T) {
	claim := func(incarnation uint64, predecessors ...uint64) Claim {
		return Claim{Slot: "a", Incarnation: incarnation, Predecessors: predecessors, Duration: 10 * time.Second}
	}
	first, err := Decide(Record{}, claim(5), 100*second, time.Second)
	require.NoError(t, err)
	require.Equal(t, Record{Incarnation: 5, FencingToken: 1, ValidFrom: 100 * second, ExpiresAt: 110 * second}, first)
	renewed, err := Decide(first, claim(5), 105*second, time.Second)
	require.NoError(t, err)
	require.Equal(t, Record{Incarnation: 5, FencingToken: 1, ValidFrom: 100 * second, ExpiresAt: 115 * second}, renewed)
	_, err = Decide(renewed, claim(9), 116*second, time.Second)
	require.ErrorIs(t, err, ErrSlotHeld, "the lease has expired, but clocks may differ by a second each way")
	unrelated, err := Decide(renewed, claim(9), 117*second, time.Second)
	require.NoError(t, err)
	want := Record{Incarnation: 9, FencingToken: 2, ValidFrom: 117 * second, ExpiresAt: 127 * second}
	require.Equal(t, want, unrelated)
	successor, err := Decide(renewed, claim(9, 4, 5), 106*second, time.Second)
	require.NoError(t, err)
	require.True(t, successor.Successor)
	_, err = Decide(successor, claim(5), 106*second, time.Second)
	require.ErrorIs(t, err, ErrSlotHeld, "a predecessor cannot claim the slot again")
}

// If neither of two incarnations is the successor of the other, their leases do not overlap, in whatever order and
// by whatever clocks they claim.
func TestLeasesOfDifferentIncarnationsDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var record Record
		expiries := map[uint64]int64{} // by fencing token
		now := second
		for range 50 {
			now += rapid.Int64Range(0, 5*second).Draw(t, "by")
			claim := Claim{
				Incarnation:  rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
				Duration:     time.Duration(rapid.Int64Range(1, 10*second).Draw(t, "duration")),
				ClaimantTime: now + rapid.Int64Range(-second, second).Draw(t, "clock offset"),
			}
			next, err := Decide(record, claim, now, time.Second)
			if err != nil {
				continue
			}
			previousEnd := expiries[record.FencingToken]
			if next.FencingToken != record.FencingToken && record.FencingToken > 0 && next.ValidFrom < previousEnd {
				t.Fatalf("lease %d is valid from %d, but the previous one expires at %d",
					next.FencingToken, next.ValidFrom, previousEnd)
			}
			if next.FencingToken < record.FencingToken {
				t.Fatal("the fencing token fell")
			}
			record = next
			expiries[record.FencingToken] = record.ExpiresAt
		}
	})
}
