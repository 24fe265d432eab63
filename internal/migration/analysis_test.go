package migration

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a rollback because of a stall shorter than Plan.MaxToleratedStall, a stall of both pools, or a
// slowdown of both pools.
func TestShortStallsRaiseNoAlarm(t *testing.T) {
	for name, c := range map[string]struct {
		windows  int
		old, new condition
	}{
		"one pool, 2 s":                    {2, condition{health: warm}, condition{stall: true, health: warm}},
		"one pool, 4 s":                    {4, condition{health: warm}, condition{stall: true, health: warm}},
		"one pool, 4 s in which all fails": {4, condition{health: warm}, condition{errorRate: 1, health: warm}},
		"both, 10 s": {
			10, condition{stall: true, health: warm}, condition{stall: true, health: warm},
		},
		"both slow, 40 s": {40, condition{slowdown: 2, health: warm}, condition{slowdown: 2, health: warm}},
	} {
		for seed := range uint64(40) {
			sim := newSimulation(seed)
			machine := startMigration(t, sim, nil)
			observeUntil(t, machine, sim, 400, atStep(int(seed%4)))
			sim.old, sim.new = c.old, c.new
			for range c.windows {
				machine.Observe(clock, sim.nextWindow(machine))
			}
			sim.old, sim.new = condition{health: warm}, condition{health: warm}
			observeUntil(t, machine, sim, 500, inState(Done, Undone, Halted))
			require.Equal(t, Done, machine.Record().State, "%s, seed %d: %s", name, seed, machine.Record().Cause)
		}
	}
}

// The bound on the mean number of windows between false alarms must hold over many windows, although the alarm is
// checked in each of them.
func TestLongAnalysisRaisesNoFalseAlarm(t *testing.T) {
	alarms, observed := 0, 0
	for seed := range uint64(4) {
		sim := newSimulation(seed)
		p := Default()
		p.FalseAlarmWindows = 1000
		analysis := newAnalysis(p)
		for range 1500 {
			analysis.observe(&Window{From: sim.poolWindow(sim.old, 0.5), To: sim.poolWindow(sim.new, 0.5)})
			observed++
			if analysis.evidence.level() >= analysis.alarmLevel() {
				alarms++
				analysis.evidence = Evidence{}
			}
		}
	}
	require.LessOrEqual(t, alarms, observed/1000, "false alarms in %d windows", observed)
}

// Guards against the loss of evidence when the machine is resumed from its record: a pool that fails must be detected
// even if the machine is resumed after every window.
func TestEvidenceSurvivesResume(t *testing.T) {
	sim := newSimulation(8)
	machine := startMigration(t, sim, nil)
	observeUntil(t, machine, sim, 400, atStep(2))
	sim.new.errorRate = 0.3
	for range 40 {
		machine.Observe(clock, sim.nextWindow(machine))
		machine = Resume(machine.Record())
	}
	require.Equal(t, Undone, machine.Record().State)
}

// Late responses and errors of both pools in the same windows must not be evidence, even while the old pool's mean over
// the last 15 windows is still good.
func TestCommonSlowdownIsNoEvidence(t *testing.T) {
	analysis := newAnalysis(Default())
	window := func(late float64) *Window {
		poolWindow := PoolWindow{
			Requests:      10,
			OfferedWeight: 10,
			OnTimeWeight:  10 * (1 - late),
			Attempts:      10,
			Errors:        int(10 * late),
			Health:        warm,
		}
		return &Window{From: poolWindow, To: poolWindow}
	}
	for range 60 {
		analysis.observe(window(0))
	}
	for range 12 {
		analysis.observe(window(0.7))
	}
	for _, criterion := range []criterion{errorsCriterion, lateWeightCriterion} {
		for _, l := range analysis.evidence[criterion] {
			require.Less(t, l, 0.7*analysis.alarmLevel(), criterionNames[criterion])
		}
	}
}

// With a growing share the new pool's backends have a higher load than the old pool's. A token gap that is longer only
// because of the load must not be evidence; one that is longer at the same load must be.
func TestHigherLoadIsNoEvidence(t *testing.T) {
	level := func(slowdown float64) float64 {
		rng := rand.New(rand.NewPCG(5, 5))
		analysis := newAnalysis(Default())
		poolWindow := func(n int, minLoad, maxLoad, slowdown float64) PoolWindow {
			window := PoolWindow{Health: warm}
			for range n {
				load := minLoad + (maxLoad-minLoad)*rng.Float64()
				window.Samples = append(
					window.Samples,
					Sample{
						UncachedTokens: 500,
						Load:           load,
						FirstToken:     0.2,
						TokenGap:       slowdown * 0.018 * (1 + 3*load) * math.Exp(0.05*rng.NormFloat64()),
					},
				)
			}
			return window
		}
		for range 60 {
			analysis.observe(&Window{From: poolWindow(9, 0, 0.3, 1), To: poolWindow(9, 0.28, 0.5, slowdown)})
		}
		return analysis.evidence.level() / analysis.alarmLevel()
	}
	require.Less(t, level(1), 0.3)
	require.Greater(t, level(2), 1.0)
}
