package migration

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// A stall that is shorter than allowed never ends a move, nor does one of both pools, nor an evening in which both
// get slow.
func TestShortStallsRaiseNoAlarm(t *testing.T) {
	for name, c := range map[string]struct {
		windows  int
		old, new condition
	}{
		"one pool, 2 s":                    {2, condition{health: warm}, condition{stall: true, health: warm}},
		"one pool, 4 s":                    {4, condition{health: warm}, condition{stall: true, health: warm}},
		"one pool, 4 s in which all fails": {4, condition{health: warm}, condition{errors: 1, health: warm}},
		"both, 10 s":                       {10, condition{stall: true, health: warm}, condition{stall: true, health: warm}},
		"both slow, 40 s":                  {40, condition{slow: 2, health: warm}, condition{slow: 2, health: warm}},
	} {
		for seed := range uint64(40) {
			s := newScenario(seed)
			m := startMigration(t, s, nil)
			observeUntil(t, m, s, 400, atStep(int(seed%4)))
			s.old, s.new = c.old, c.new
			for range c.windows {
				m.Observe(clock, s.nextWindow(m))
			}
			s.old, s.new = condition{health: warm}, condition{health: warm}
			observeUntil(t, m, s, 500, inState(Done, Undone, Halted))
			require.Equal(t, Done, m.Record().State, "%s, seed %d: %s", name, seed, m.Record().Cause)
		}
	}
}

// The bound on false alarms holds for windows without end: the alarm is looked at in every one of them.
func TestLongAnalysisRaisesNoFalseAlarm(t *testing.T) {
	alarms, seen := 0, 0
	for seed := range uint64(4) {
		s := newScenario(seed)
		p := Default()
		p.FalseAlarmWindows = 1000
		j := newAnalysis(p)
		for range 1500 {
			j.observe(&Window{From: s.poolWindow(s.old, 0.5), To: s.poolWindow(s.new, 0.5)})
			seen++
			if j.evidence.level() >= j.alarmLevel() {
				alarms++
				j.evidence = Evidence{}
			}
		}
	}
	require.LessOrEqual(t, alarms, seen/1000, "in %d windows", seen)
}

// Evidence goes over with the record: a mover that is killed after every window still finds a pool that fails.
func TestEvidenceSurvivesResume(t *testing.T) {
	s := newScenario(8)
	m := startMigration(t, s, nil)
	observeUntil(t, m, s, 400, atStep(2))
	s.new.errors = 0.3
	for range 40 {
		m.Observe(clock, s.nextWindow(m))
		m = Resume(m.Record())
	}
	require.Equal(t, Undone, m.Record().State)
}

// Lateness of both pools in the same windows is no evidence, also while the old pool's last quarter of a minute, in the
// mean, was still good.
func TestCommonSlowdownIsNoEvidence(t *testing.T) {
	j := newAnalysis(Default())
	window := func(late float64) *Window {
		side := PoolWindow{
			Requests:      10,
			OfferedWeight: 10,
			OnTimeWeight:  10 * (1 - late),
			Attempts:      10,
			Errors:        int(10 * late),
			Health:        warm,
		}
		return &Window{From: side, To: side}
	}
	for range 60 {
		j.observe(window(0))
	}
	for range 12 {
		j.observe(window(0.7))
	}
	for _, process := range []criterion{byErrors, byService} {
		for _, l := range j.evidence[process] {
			require.Less(t, l, 0.7*j.alarmLevel(), processNames[process])
		}
	}
}

// As shares grow the new boxes run fuller than the old ones. Tokens that come slower for that alone are no evidence;
// the same at the same load are.
func TestHigherLoadIsNoEvidence(t *testing.T) {
	level := func(slow float64) float64 {
		rng := rand.New(rand.NewPCG(5, 5))
		j := newAnalysis(Default())
		answers := func(n int, least, most, slow float64) PoolWindow {
			side := PoolWindow{Health: warm}
			for range n {
				load := least + (most-least)*rng.Float64()
				side.Samples = append(
					side.Samples,
					Sample{
						UncachedTokens: 500,
						Load:           load,
						FirstToken:     0.2,
						TokenGap:       slow * 0.018 * (1 + 3*load) * math.Exp(0.05*rng.NormFloat64()),
					},
				)
			}
			return side
		}
		for range 60 {
			j.observe(&Window{From: answers(9, 0, 0.3, 1), To: answers(9, 0.28, 0.5, slow)})
		}
		return j.evidence.level() / j.alarmLevel()
	}
	require.Less(t, level(1), 0.3)
	require.Greater(t, level(2), 1.0)
}
