package connectivity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
)

var timing = Timing{JoinTimeout: 5 * time.Second, SettleTime: time.Second, RecoveryRamp: 2 * time.Second}

const second = int64(time.Second)

// A node joins, is cut off in a minority, is isolated, is connected to a majority again and recovers.
func TestConnectivityStates(t *testing.T) {
	machine := New(timing, 0, nil)
	expect := func(want State, at int64, live int) {
		t.Helper()
		machine.Update(at, live, 4)
		state, _ := machine.Current()
		require.Equal(t, want, state)
	}
	expect(Joining, second, 1)
	expect(Majority, 2*second, 2)
	expect(Majority, 10*second, 1)
	expect(Majority, 10*second+second/2, 1) // the settle time has not passed
	expect(Majority, 10*second+second*3/4, 2)
	expect(Majority, 11*second, 1) // the settle time begins again: there was a majority in between
	expect(Minority, 12*second, 1)
	expect(Minority, 13*second, 0)
	expect(Isolated, 14*second, 0)
	require.Zero(t, machine.RateFactor(14*second))
	expect(Isolated, 20*second, 3)
	expect(Recovering, 21*second, 3)
	require.InDelta(t, 0.05, machine.RateFactor(21*second), 1e-9)
	expect(Recovering, 22*second, 3)
	require.InDelta(t, 0.5, machine.RateFactor(22*second), 1e-9)
	expect(Majority, 23*second, 4)
	require.EqualValues(t, 1, machine.RateFactor(23*second))
	standalone := New(timing, 0, nil)
	standalone.Update(1, 0, 0)
	state, _ := standalone.Current()
	require.Equal(t, Standalone, state)
}

// With any number of live slots and a clock that jumps, each transition is one of the table. Two changes are at least
// the settle time apart, except for the ends of joining and recovering.
func TestTransitionsFollowTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		monitor := &invariant.Monitor{}
		machine := New(timing, 0, monitor)
		now, lastChange := int64(0), -10*second
		others := rapid.IntRange(0, 6).Draw(t, "others")
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(-second, 2*second).Draw(t, "ahead")
			before, _ := machine.Current()
			if machine.Update(now, rapid.IntRange(0, max(0, others)).Draw(t, "live"), others) {
				after, enteredAt := machine.Current()
				unsettled := enteredAt-lastChange < int64(timing.SettleTime)
				if before != Joining && before != Recovering && after != Majority && unsettled {
					t.Fatalf("transition from %v to %v only %v after the one before",
						before, after, time.Duration(enteredAt-lastChange))
				}
				lastChange = enteredAt
			}
			if factor := machine.RateFactor(now); factor < 0 || factor > 1 {
				t.Fatalf("rate factor %g", factor)
			}
		}
		if len(monitor.Violations()) > 0 {
			t.Fatal(monitor.Violations())
		}
	})
}
