package migration

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// What a pool gets worse by, and in how many windows all traffic is back at the latest. Without the evidence of the
// process that the case is for, it would not be.
func TestTrafficReturnsFromAWorsePool(t *testing.T) {
	for name, c := range map[string]struct {
		worse condition
		step  int
		most  int
	}{
		"twice as slow":             {condition{slow: 2, health: warm}, 2, 60},
		"twice as slow, at 5%":      {condition{slow: 2, health: warm}, 0, 60},
		"half as slow again":        {condition{slow: 1.5, health: warm}, 2, 90},
		"errors 5%":                 {condition{errors: 0.05, health: warm}, 2, 150},
		"errors 20%":                {condition{errors: 0.2, health: warm}, 2, 60},
		"errors 50%":                {condition{errors: 0.5, health: warm}, 2, 30},
		"errors 50%, at 5%":         {condition{errors: 0.5, health: warm}, 0, 60},
		"no box is ready":           {condition{health: Health{Backends: 9}}, 2, 5},
		"all attempts fail":         {condition{errors: 1, health: warm}, 2, 20},
		"every answer far too late": {condition{slow: 20, health: warm}, 2, 20},
	} {
		for seed := range uint64(20) {
			s := newScenario(seed)
			m := startMigration(t, s, nil)
			observeUntil(t, m, s, 400, atStep(c.step))
			s.new = c.worse
			n := observeUntil(t, m, s, 400, inState(Undone, Done))
			require.Equal(t, Undone, m.Record().State, "%s, seed %d", name, seed)
			require.LessOrEqual(t, n, c.most, "%s, seed %d", name, seed)
			require.Zero(t, m.Record().Shares.Share)
			require.NotEmpty(t, m.Record().Cause)
		}
	}
}

func TestTrafficDoesNotReturnToAFailedPool(t *testing.T) {
	for _, dead := range []condition{{health: Health{Backends: 9}}, {errors: 1, health: warm}} {
		s := newScenario(3)
		m := startMigration(t, s, nil)
		observeUntil(t, m, s, 400, atStep(2))
		s.old = dead
		for range 30 {
			m.Observe(clock, s.nextWindow(m))
			require.GreaterOrEqual(t, m.Record().Shares.Share, 0.5, "the old pool's death is no reason to go back")
		}
		share := m.Record().Shares.Share
		// The new pool gets worse too: still nothing goes to the dead.
		s.new.slow = 3
		observeUntil(t, m, s, 60, inState(Halted))
		for range 30 {
			m.Observe(clock, s.nextWindow(m))
			require.Equal(t, Halted, m.Record().State)
			require.Equal(t, share, m.Record().Shares.Share)
		}
		require.Contains(t, m.Record().Reason, "not returned: the old pool")
		s.old = condition{health: warm}
		observeUntil(t, m, s, 60, inState(Undone))
	}
}

// Where some of the old boxes are gone, no more goes back than the rest can take.
func TestReturnIsLimitedByTheOldPoolsCapacity(t *testing.T) {
	s := newScenario(4)
	m := startMigration(t, s, nil)
	observeUntil(t, m, s, 400, atStep(3))
	s.old.health = Health{Backends: 3, Ready: 3, Capacity: 3, WarmCapacity: 3}
	s.new.slow = 2
	observeUntil(t, m, s, 60, inState(Returning))
	for range 30 {
		m.Observe(clock, s.nextWindow(m))
	}
	r := m.Record()
	require.Equal(t, Returning, r.State)
	require.InDelta(t, 1-3.0/9, r.Shares.Share, 1e-9)
	require.Contains(t, r.Reason, "33% of its size left")
}
