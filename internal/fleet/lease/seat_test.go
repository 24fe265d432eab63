package lease

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const second = int64(time.Second)

func TestDecideGrantsRenewsAndRefusesLeases(t *testing.T) {
	claim := func(inc uint64, before ...uint64) Claim {
		return Claim{Slot: "a", Incarnation: inc, Predecessors: before, Duration: 10 * time.Second}
	}
	first, err := Decide(Record{}, claim(5), 100*second, time.Second)
	require.NoError(t, err)
	require.Equal(t, Record{Incarnation: 5, FencingToken: 1, ValidFrom: 100 * second, ExpiresAt: 110 * second}, first)
	again, err := Decide(first, claim(5), 105*second, time.Second)
	require.NoError(t, err)
	require.Equal(t, Record{Incarnation: 5, FencingToken: 1, ValidFrom: 100 * second, ExpiresAt: 115 * second}, again)
	_, err = Decide(again, claim(9), 116*second, time.Second)
	require.ErrorIs(t, err, ErrHeld, "clocks may differ by a second each way")
	stranger, err := Decide(again, claim(9), 117*second, time.Second)
	require.NoError(t, err)
	require.Equal(t, Record{Incarnation: 9, FencingToken: 2, ValidFrom: 117 * second, ExpiresAt: 127 * second}, stranger)
	heir, err := Decide(again, claim(9, 4, 5), 106*second, time.Second)
	require.NoError(t, err)
	require.True(t, heir.Successor)
	_, err = Decide(heir, claim(5), 106*second, time.Second)
	require.ErrorIs(t, err, ErrHeld, "the life before does not come back")
}

// Of two lives that are no heirs of each other, the second's hold begins after the first's end, however they claim.
func TestLeasesOfDifferentIncarnationsDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Record
		ends := map[uint64]int64{} // by epoch
		now := second
		for range 50 {
			now += rapid.Int64Range(0, 5*second).Draw(t, "by")
			c := Claim{Incarnation: rapid.Uint64Range(1, 4).Draw(t, "life"), Duration: time.Duration(rapid.Int64Range(1, 10*second).Draw(t, "for")), ClaimantTime: now + rapid.Int64Range(-second, second).Draw(t, "off")}
			next, err := Decide(r, c, now, time.Second)
			if err != nil {
				continue
			}
			if next.FencingToken != r.FencingToken && r.FencingToken > 0 && next.ValidFrom < ends[r.FencingToken] {
				t.Fatalf("epoch %d begins at %d, the one before ended at %d", next.FencingToken, next.ValidFrom, ends[r.FencingToken])
			}
			if next.FencingToken < r.FencingToken {
				t.Fatal("the fence went back")
			}
			r = next
			ends[r.FencingToken] = r.ExpiresAt
		}
	})
}

// Each life has a number of its own, later than those before it, whatever the clock says; they are known until the seat is its own.
func TestDirectoryNumbersIncarnations(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "fleet")
	f, one, before, err := Open(dir, 50)
	require.NoError(t, err)
	require.Empty(t, before)
	_, _, _, err = Open(dir, 60)
	require.ErrorContains(t, err, "another program")
	require.NoError(t, f.Close())
	f, two, before, err := Open(dir, 10)
	require.NoError(t, err)
	require.Greater(t, two, one)
	require.Equal(t, []uint64{one}, before)
	require.NoError(t, f.Close())
	f, three, before, err := Open(dir, 10)
	require.NoError(t, err)
	require.Equal(t, []uint64{one, two}, before)
	require.NoError(t, f.ConfirmGrant(three))
	require.NoError(t, f.Close())
	f, _, before, err = Open(dir, 10)
	require.NoError(t, err)
	require.Equal(t, []uint64{three}, before)
	require.NoError(t, f.Close())
	require.NoError(t, os.WriteFile(filepath.Join(dir, "seat.json"), []byte(`{"lives":[1`), 0o600))
	_, _, _, err = Open(dir, 10)
	require.ErrorContains(t, err, "cannot be read")
}
