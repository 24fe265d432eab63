package migration

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// For each kind of degradation of the new pool, all traffic must be back in the old pool within maxWindows windows.
// Without the evidence of the criterion that the case is for, it would not be.
func TestTrafficReturnsFromAWorsePool(t *testing.T) {
	for name, c := range map[string]struct {
		worse      condition
		step       int
		maxWindows int
	}{
		"twice as slow":             {condition{slowdown: 2, health: warm}, 2, 60},
		"twice as slow, at 5%":      {condition{slowdown: 2, health: warm}, 0, 60},
		"half as slow again":        {condition{slowdown: 1.5, health: warm}, 2, 90},
		"errors 5%":                 {condition{errorRate: 0.05, health: warm}, 2, 150},
		"errors 20%":                {condition{errorRate: 0.2, health: warm}, 2, 60},
		"errors 50%":                {condition{errorRate: 0.5, health: warm}, 2, 30},
		"errors 50%, at 5%":         {condition{errorRate: 0.5, health: warm}, 0, 60},
		"no backend is ready":       {condition{health: Health{Backends: 9}}, 2, 5},
		"all attempts fail":         {condition{errorRate: 1, health: warm}, 2, 20},
		"every answer far too late": {condition{slowdown: 20, health: warm}, 2, 20},
	} {
		for seed := range uint64(20) {
			sim := newSimulation(seed)
			machine := startMigration(t, sim, nil)
			observeUntil(t, machine, sim, 400, atStep(c.step))
			sim.new = c.worse
			n := observeUntil(t, machine, sim, 400, inState(Undone, Done))
			require.Equal(t, Undone, machine.Record().State, "%s, seed %d", name, seed)
			require.LessOrEqual(t, n, c.maxWindows, "%s, seed %d", name, seed)
			require.Zero(t, machine.Record().Shares.Share)
			require.NotEmpty(t, machine.Record().Cause)
		}
	}
}

func TestTrafficDoesNotReturnToAFailedPool(t *testing.T) {
	for _, failed := range []condition{{health: Health{Backends: 9}}, {errorRate: 1, health: warm}} {
		sim := newSimulation(3)
		machine := startMigration(t, sim, nil)
		observeUntil(t, machine, sim, 400, atStep(2))
		sim.old = failed
		for range 30 {
			machine.Observe(clock, sim.nextWindow(machine))
			require.GreaterOrEqual(t, machine.Record().Shares.Share, 0.5, "a failed old pool must not cause a return")
		}
		share := machine.Record().Shares.Share
		// The new pool degrades too: still no traffic returns to the failed pool.
		sim.new.slowdown = 3
		observeUntil(t, machine, sim, 60, inState(Halted))
		for range 30 {
			machine.Observe(clock, sim.nextWindow(machine))
			require.Equal(t, Halted, machine.Record().State)
			require.Equal(t, share, machine.Record().Shares.Share)
		}
		require.Contains(t, machine.Record().Reason, "not returned: the old pool")
		sim.old = condition{health: warm}
		observeUntil(t, machine, sim, 60, inState(Undone))
	}
}

// If some of the old pool's backends were removed during the migration, only as much traffic returns as the remaining
// ones can serve.
func TestReturnIsLimitedByTheOldPoolsCapacity(t *testing.T) {
	sim := newSimulation(4)
	machine := startMigration(t, sim, nil)
	observeUntil(t, machine, sim, 400, atStep(3))
	sim.old.health = Health{Backends: 3, Ready: 3, Capacity: 3, WarmCapacity: 3}
	sim.new.slowdown = 2
	observeUntil(t, machine, sim, 60, inState(Returning))
	for range 30 {
		machine.Observe(clock, sim.nextWindow(machine))
	}
	r := machine.Record()
	require.Equal(t, Returning, r.State)
	require.InDelta(t, 1-3.0/9, r.Shares.Share, 1e-9)
	require.Contains(t, r.Reason, "33% of its size left")
}
