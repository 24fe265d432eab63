package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
)

const second = int64(time.Second)

var timing = Timing{SuspectAfter: 2 * time.Second, IsolatedAfter: 5 * time.Second, SettleTime: time.Second}

// A short outage of the link to the core makes a site suspect and no more. A long one isolates it, until the link is
// up again and both sides have fetched the data that they lack.
func TestSiteStates(t *testing.T) {
	machine := New(timing, 0, nil)
	expect := func(at int64, coreReachable, dataMissing bool, want State) {
		t.Helper()
		machine.Update(at*second, coreReachable, dataMissing)
		state, _ := machine.Current()
		require.Equal(t, want, state)
	}
	expect(1, true, true, Isolated)
	expect(2, true, true, Reconciling)
	expect(3, true, false, Connected)
	expect(10, false, false, Connected)
	expect(12, false, false, Suspect)
	expect(13, true, false, Connected)
	expect(20, false, false, Connected)
	expect(22, false, false, Suspect)
	expect(27, false, false, Isolated)
	expect(28, true, true, Isolated)
	expect(28, false, true, Isolated)
	expect(29, true, true, Isolated)
	expect(30, true, true, Reconciling)
	expect(31, false, true, Reconciling)
	expect(33, false, true, Suspect)
	expect(34, true, true, Connected)
}

func TestTransitionsFollowTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		monitor := &invariant.Monitor{}
		machine := New(timing, 0, monitor)
		now := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(-second, 3*second).Draw(t, "by")
			before, enteredBefore := machine.Current()
			if machine.Update(now, rapid.Bool().Draw(t, "core reachable"), rapid.Bool().Draw(t, "data missing")) {
				after, enteredAt := machine.Current()
				if after == Isolated && enteredAt-enteredBefore < int64(timing.IsolatedAfter) {
					t.Fatalf("isolated after %v in state %v", time.Duration(enteredAt-enteredBefore), before)
				}
			}
		}
		if len(monitor.Violations()) > 0 {
			t.Fatal(monitor.Violations())
		}
	})
}
