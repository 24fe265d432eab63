package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
)

const second = int64(time.Second)

var limits = Limits{Doubt: 2 * time.Second, Alone: 5 * time.Second, Settle: time.Second}

// A line that fails for a moment is doubted and forgotten; one that fails for long leaves the site alone until what both lack has come.
func TestSite(t *testing.T) {
	m := New(limits, 0, nil)
	at := func(s int64, heard, lacking bool, want Mode) {
		t.Helper()
		m.Step(s*second, heard, lacking)
		got, _ := m.Now()
		require.Equal(t, want, got)
	}
	at(1, true, true, Alone)
	at(2, true, true, Reconciling)
	at(3, true, false, Connected)
	at(10, false, false, Connected)
	at(12, false, false, Doubtful)
	at(13, true, false, Connected)
	at(20, false, false, Connected)
	at(22, false, false, Doubtful)
	at(27, false, false, Alone)
	at(28, true, true, Alone)
	at(28, false, true, Alone)
	at(29, true, true, Alone)
	at(30, true, true, Reconciling)
	at(31, false, true, Reconciling)
	at(33, false, true, Doubtful)
	at(34, true, true, Connected)
}

func TestSitesKeepTheirTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &invariant.Guard{}
		m := New(limits, 0, g)
		now := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(-second, 3*second).Draw(t, "by")
			was, since := m.Now()
			if m.Step(now, rapid.Bool().Draw(t, "heard"), rapid.Bool().Draw(t, "lacking")) {
				is, at := m.Now()
				if is == Alone && at-since < int64(limits.Alone) {
					t.Fatalf("alone after %v of doubt, from %v", time.Duration(at-since), was)
				}
			}
		}
		if len(g.Counts()) > 0 {
			t.Fatal(g.Counts())
		}
	})
}
