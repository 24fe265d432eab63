package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
)

const second = int64(time.Second)

var limits = Timing{SuspectAfter: 2 * time.Second, IsolatedAfter: 5 * time.Second, SettleTime: time.Second}

// A line that fails for a moment is doubted and forgotten; one that fails for long leaves the site alone until what both lack has come.
func TestStatesOfASite(t *testing.T) {
	m := New(limits, 0, nil)
	at := func(s int64, heard, lacking bool, want State) {
		t.Helper()
		m.Update(s*second, heard, lacking)
		got, _ := m.Current()
		require.Equal(t, want, got)
	}
	at(1, true, true, Isolated)
	at(2, true, true, Reconciling)
	at(3, true, false, Connected)
	at(10, false, false, Connected)
	at(12, false, false, Suspect)
	at(13, true, false, Connected)
	at(20, false, false, Connected)
	at(22, false, false, Suspect)
	at(27, false, false, Isolated)
	at(28, true, true, Isolated)
	at(28, false, true, Isolated)
	at(29, true, true, Isolated)
	at(30, true, true, Reconciling)
	at(31, false, true, Reconciling)
	at(33, false, true, Suspect)
	at(34, true, true, Connected)
}

func TestTransitionsFollowTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &invariant.Monitor{}
		m := New(limits, 0, g)
		now := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(-second, 3*second).Draw(t, "by")
			was, since := m.Current()
			if m.Update(now, rapid.Bool().Draw(t, "heard"), rapid.Bool().Draw(t, "lacking")) {
				is, at := m.Current()
				if is == Isolated && at-since < int64(limits.IsolatedAfter) {
					t.Fatalf("alone after %v of doubt, from %v", time.Duration(at-since), was)
				}
			}
		}
		if len(g.Violations()) > 0 {
			t.Fatal(g.Violations())
		}
	})
}
