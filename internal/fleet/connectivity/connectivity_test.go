package connectivity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
)

var limits = Timing{JoinTimeout: 5 * time.Second, SettleTime: time.Second, RecoveryRamp: 2 * time.Second}

const second = int64(time.Second)

// The life of a node: it joins, is cut off with another, hears nothing, hears most again and heals by and by.
func TestStatesOfANode(t *testing.T) {
	m := New(limits, 0, nil)
	is := func(want State, at int64, heard int) {
		t.Helper()
		m.Update(at, heard, 4)
		got, _ := m.Current()
		require.Equal(t, want, got)
	}
	is(Joining, second, 1)
	is(Majority, 2*second, 2)
	is(Majority, 10*second, 1)
	is(Majority, 10*second+second/2, 1) // not settled
	is(Majority, 10*second+second*3/4, 2)
	is(Majority, 11*second, 1) // begins anew: it has heard most in between
	is(Minority, 12*second, 1)
	is(Minority, 13*second, 0)
	is(Isolated, 14*second, 0)
	require.Zero(t, m.RateFactor(14*second))
	is(Isolated, 20*second, 3)
	is(Recovering, 21*second, 3)
	require.InDelta(t, 0.05, m.RateFactor(21*second), 1e-9)
	is(Recovering, 22*second, 3)
	require.InDelta(t, 0.5, m.RateFactor(22*second), 1e-9)
	is(Majority, 23*second, 4)
	require.EqualValues(t, 1, m.RateFactor(23*second))
	alone := New(limits, 0, nil)
	alone.Update(1, 0, 0)
	got, _ := alone.Current()
	require.Equal(t, Standalone, got)
}

// Whatever is heard, and however the clock jumps, each mode follows one that the table names, and nothing changes twice within
// the time to settle, but that joining and healing end.
func TestTransitionsFollowTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &invariant.Monitor{}
		m := New(limits, 0, g)
		now, changed := int64(0), -10*second
		others := rapid.IntRange(0, 6).Draw(t, "others")
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(-second, 2*second).Draw(t, "ahead")
			was, _ := m.Current()
			if m.Update(now, rapid.IntRange(0, max(0, others)).Draw(t, "heard"), others) {
				is, since := m.Current()
				if was != Joining && is != Majority && since-changed < int64(limits.SettleTime) && was != Recovering {
					t.Fatalf("%v to %v after %v", was, is, time.Duration(since-changed))
				}
				changed = since
			}
			if p := m.RateFactor(now); p < 0 || p > 1 {
				t.Fatalf("pace %g", p)
			}
		}
		if len(g.Violations()) > 0 {
			t.Fatal(g.Violations())
		}
	})
}
