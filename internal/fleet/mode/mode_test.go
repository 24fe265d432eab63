package mode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
)

var limits = Limits{Join: 5 * time.Second, Settle: time.Second, Heal: 2 * time.Second}

const second = int64(time.Second)

// The life of a node: it joins, is cut off with another, hears nothing, hears most again and heals by and by.
func TestModes(t *testing.T) {
	m := New(limits, 0, nil)
	is := func(want Mode, at int64, heard int) {
		t.Helper()
		m.Step(at, heard, 4)
		got, _ := m.Now()
		require.Equal(t, want, got)
	}
	is(Joining, second, 1)
	is(Together, 2*second, 2)
	is(Together, 10*second, 1)
	is(Together, 10*second+second/2, 1) // not settled
	is(Together, 10*second+second*3/4, 2)
	is(Together, 11*second, 1) // begins anew: it has heard most in between
	is(Cut, 12*second, 1)
	is(Cut, 13*second, 0)
	is(Nothing, 14*second, 0)
	require.Zero(t, m.Pace(14*second))
	is(Nothing, 20*second, 3)
	is(Healing, 21*second, 3)
	require.InDelta(t, 0.05, m.Pace(21*second), 1e-9)
	is(Healing, 22*second, 3)
	require.InDelta(t, 0.5, m.Pace(22*second), 1e-9)
	is(Together, 23*second, 4)
	require.EqualValues(t, 1, m.Pace(23*second))
	alone := New(limits, 0, nil)
	alone.Step(1, 0, 0)
	got, _ := alone.Now()
	require.Equal(t, Alone, got)
}

// Whatever is heard, and however the clock jumps, each mode follows one that the table names, and nothing changes twice within
// the time to settle, but that joining and healing end.
func TestModesKeepTheirTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &invariant.Guard{}
		m := New(limits, 0, g)
		now, changed := int64(0), -10*second
		others := rapid.IntRange(0, 6).Draw(t, "others")
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(-second, 2*second).Draw(t, "ahead")
			was, _ := m.Now()
			if m.Step(now, rapid.IntRange(0, max(0, others)).Draw(t, "heard"), others) {
				is, since := m.Now()
				if was != Joining && is != Together && since-changed < int64(limits.Settle) && was != Healing {
					t.Fatalf("%v to %v after %v", was, is, time.Duration(since-changed))
				}
				changed = since
			}
			if p := m.Pace(now); p < 0 || p > 1 {
				t.Fatalf("pace %g", p)
			}
		}
		if len(g.Counts()) > 0 {
			t.Fatal(g.Counts())
		}
	})
}
