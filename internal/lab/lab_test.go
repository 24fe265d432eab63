package lab

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint/internal/migration"
)

func smallCase(seed uint64, fault Fault) MigrationCase {
	s := SmallSetup()
	s.Seed = seed
	p := s.Plan()
	return MigrationCase{Setup: s, Plan: p, Fault: fault, FaultStep: 2, FaultAfter: 6, RunAfterFault: 90,
		MaxDuration: 240,
		Settle:      20}
}

// Guards against nondeterminism: two runs of a seed must agree in every result.
func TestRunsAreDeterministic(t *testing.T) {
	c := smallCase(5, Fault{Slow: 2})
	c.Trace = true
	first, second := c.Run(), c.Run()
	require.Equal(t, fmt.Sprintf("%+v", first), fmt.Sprintf("%+v", second))
	require.NotEmpty(t, first.Trace)
}

// Guards against three nodes together overloading cold backends: at full evening load, all traffic moves to a pool of
// cold backends, and none of them collapses.
func TestColdPoolsDoNotCollapse(t *testing.T) {
	c := smallCase(3, Fault{})
	c.NewBackendsCold, c.Settle, c.FaultStep = true, 0, 99
	r := c.Run()
	require.Equal(t, migration.Done, r.State)
	require.Zero(t, r.Collapsed)
	require.Greater(t, r.MeanService, 0.97)
}

func TestHarmfulMoveGoesBackWithinAMinute(t *testing.T) {
	for _, fault := range []Fault{{Name: "slow", Slow: 2}, {Name: "errors", Errors: 0.2},
		{Name: "dead", NewDead: true}} {
		r := smallCase(7, fault).Run()
		require.Equal(t, migration.Undone, r.State, fault.Name)
		require.LessOrEqual(t, r.ReturnDelay, 60.0, fault.Name)
		require.Greater(t, r.MeanService, 0.9, fault.Name)
	}
}

// Guards against a migration that returns traffic to a dead pool: when the old pool dies, its requests fail over to the
// new pool at once and stay there.
func TestOldPoolDiesDuringMove(t *testing.T) {
	c := smallCase(11, Fault{OldDead: true})
	c.Trace = true
	r := c.Run()
	require.NotEqual(t, migration.Undone, r.State)
	last := r.Trace[len(r.Trace)-1]
	require.GreaterOrEqual(t, last.Share, 0.5)
	_, after := service(r.Seconds, r.FaultAt+15, r.FaultAt+80)
	require.Greater(t, after, 0.9)
}

// Guards against attempts to backends that drain in the middle of a step; the migration continues with the others.
func TestDrainDuringStep(t *testing.T) {
	c := smallCase(13, Fault{DrainOld: 3})
	r := c.Run()
	require.Equal(t, migration.Done, r.State)
	require.Zero(t, r.SendsAfterDrain,
		"attempts that reached a draining backend over 500 ms after its drain was published")
}

// Guards against nodes that together overload a cold backend which joins an overloaded fleet: three nodes learn of it
// at different times, and their attempts together stay below the load that makes it collapse.
func TestAFreshBoxDoesNotCollapse(t *testing.T) {
	for _, r := range (NewBackendStudy{Runs: 4, FirstSeed: 1, Nodes: 3, Backends: 9, Rate: 120,
		MaxListDelay: 0.5}).Run(t.Context()) {
		require.False(t, r.Collapsed)
		require.Less(t, r.PeakPressure, 1.0)
	}
}

// With a report delay, a response carries the report that the backend made that long ago, and none before there is one.
// In a small fleet the attempts of each second are counted by backend.
func TestReportDelayAndAttemptsByBackend(t *testing.T) {
	sim := New(Setup{Seed: 1, Nodes: 1, Rate: 20, OldBackends: 3, ReportDelay: 2})
	b := sim.backends[0]
	require.Nil(t, sim.currentReport(b), "no report is two seconds old yet")
	initial := b.Load(sim.now)
	sim.Run(5)
	require.NotZero(t, b.Load(sim.now).Slots+b.Load(sim.now).Memory, "the backend has work by now")
	late := sim.currentReport(b)
	require.NotNil(t, late)
	oldest := b.recentReports[0]
	require.LessOrEqual(t, oldest.madeAt, 3.0)
	require.Equal(t, oldest.report.Memory, late.MemoryUsage)
	sim.Run(30)
	require.LessOrEqual(t, len(b.recentReports), 8, "reports older than the one that is due are dropped")
	require.Zero(t, initial.Slots)
	sent := 0
	for _, s := range sim.Seconds {
		require.Len(t, s.AttemptsByBackend, 3)
		for _, n := range s.AttemptsByBackend {
			sent += n
		}
	}
	require.Equal(t, sim.attempts, sent)
	large := New(Setup{Seed: 1, Nodes: 1, Rate: 20, OldBackends: maxTrackedBackends + 1})
	large.Run(2)
	require.Nil(t, large.Seconds[0].AttemptsByBackend)
}

// Guards against duplicate names in a large fleet: nodes would know only a part of the backends and overload those.
func TestBackendNamesOfALargeFleetAreUnique(t *testing.T) {
	sim := New(Setup{Seed: 1, Nodes: 1, Rate: 1, OldBackends: 2500})
	require.Len(t, sim.backendsByName, 2500)
	require.Equal(t, "box-007", backendName(7))
}
