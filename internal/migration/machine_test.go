package migration

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMigrationBetweenEqualPoolsFinishes(t *testing.T) {
	for seed := range uint64(40) {
		s := newScenario(seed)
		m := startMigration(t, s, nil)
		n := observeUntil(t, m, s, 400, inState(Done, Undone, Halted))
		require.Equal(t, Done, m.Record().State, "seed %d: %s", seed, m.Record().Cause)
		require.GreaterOrEqual(t, time.Duration(n)*WindowLength, m.Record().Plan.MinimumDuration()-7*WindowLength)
		r := m.Record()
		require.Equal(t, map[string]string{"old": "new"}, r.Shares.Moved)
		require.Equal(t, 1.0, r.CurrentShare())
		require.Equal(t, 1.0, r.Events[len(r.Events)-1].Share)
	}
}

func TestTooFewSamplesHoldTheStep(t *testing.T) {
	s := newScenario(5)
	s.rate = 1
	m := startMigration(t, s, nil)
	observeUntil(t, m, s, 2000, inState(Holding))
	for range 60 {
		m.Observe(clock, s.nextWindow(m))
	}
	r := m.Record()
	require.Equal(t, 0, r.Step)
	require.Contains(t, r.Reason, "too few samples")
	s.rate = 0
	for range 500 {
		m.Observe(clock, s.nextWindow(m))
	}
	require.Equal(t, r.Step, m.Record().Step, "time alone passes no step")
}

func TestStepWaitsForLaggingNodes(t *testing.T) {
	s := newScenario(6)
	s.behind = []string{"n2"}
	m := startMigration(t, s, nil)
	for range 30 {
		m.Observe(clock, s.nextWindow(m))
	}
	require.Equal(t, Planned, m.Record().State)
	require.Contains(t, m.Record().Reason, "n2")
	s.behind = nil
	observeUntil(t, m, s, 50, inState(Warming))
	s.behind = []string{"n1"}
	for range 100 {
		m.Observe(clock, s.nextWindow(m))
	}
	require.Equal(t, Stepping, m.Record().State, "the step is not in force everywhere, so it is not watched yet")
	s.behind = nil
	observeUntil(t, m, s, 200, atStep(0))
	s.behind = []string{"n3"}
	for range 100 {
		m.Observe(clock, s.nextWindow(m))
	}
	require.Equal(t, 0, m.Record().Step)
	require.Contains(t, m.Record().Reason, "n3")
	s.behind = nil
	observeUntil(t, m, s, 400, inState(Done))
}

// Whatever the boxes' starts, no share is ever in force that cold boxes could not take.
func TestColdBackendsNeverGetMoreThanTheyCanTake(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newScenario(rapid.Uint64().Draw(r, "seed"))
		n := rapid.IntRange(1, 12).Draw(r, "boxes")
		ages := make([]float64, n)
		for i := range ages {
			ages[i] = rapid.Float64Range(0, 25).Draw(r, "age")
		}
		p := Default()
		health := func() Health {
			h := Health{Backends: n, Ready: n, Capacity: float64(n)}
			for _, age := range ages {
				h.WarmCapacity += p.WarmFraction(time.Duration(age * 1e9))
			}
			return h
		}
		s.new.health = health()
		m := startMigration(t, s, nil)
		for i := range 200 {
			if rapid.IntRange(0, 40).Draw(r, "restart") == 0 {
				ages[i%n] = 0
			}
			s.new.health = health()
			m.Observe(clock, s.nextWindow(m))
			h, share := s.new.health, m.record.Shares.Share
			if h.WarmCapacity < warmThreshold*h.Capacity && m.record.State != Returning &&
				share > h.WarmCapacity/9+1e-9 &&
				share > 0.02 {
				r.Fatalf("%.3f in force, and the boxes can do %.2f of 9: %s", share, h.WarmCapacity, m.record.State)
			}
			for j := range ages {
				ages[j]++
			}
		}
	})
}

// Every wish in every state: what it leads to, or that it is refused and changes nothing.
func TestCommandsInEveryState(t *testing.T) {
	reach := map[State]func() (*Machine, *scenario){}
	bringTo := func(state State, bring func(m *Machine, s *scenario)) {
		reach[state] = func() (*Machine, *scenario) {
			s := newScenario(9)
			m := startMigration(t, s, func(p *Plan) {
				if state == Halted {
					p.OnWorse = Stay
				}
			})
			bring(m, s)
			require.Equal(t, state, m.Record().State)
			return m, s
		}
	}
	bringTo(Planned, func(*Machine, *scenario) {})
	bringTo(Warming, func(m *Machine, s *scenario) { observeUntil(t, m, s, 50, inState(Warming)) })
	bringTo(Stepping, func(m *Machine, s *scenario) { observeUntil(t, m, s, 100, inState(Stepping)) })
	bringTo(Holding, func(m *Machine, s *scenario) { observeUntil(t, m, s, 300, atStep(1)) })
	worse := func(end ...State) func(m *Machine, s *scenario) {
		return func(m *Machine, s *scenario) {
			observeUntil(t, m, s, 300, atStep(2))
			s.new.slow = 3
			observeUntil(t, m, s, 60, inState(end...))
		}
	}
	bringTo(Halted, worse(Halted))
	bringTo(Returning, worse(Returning))
	bringTo(Undone, worse(Undone))
	bringTo(Done, func(m *Machine, s *scenario) { observeUntil(t, m, s, 400, inState(Done)) })
	for state, wishes := range map[State]map[string]State{
		Planned:   {"pause": Planned, "resume": Planned, "undo": Undone},
		Warming:   {"pause": Warming, "resume": Warming, "undo": Returning},
		Stepping:  {"pause": Stepping, "resume": Stepping, "undo": Returning},
		Holding:   {"pause": Holding, "resume": Holding, "undo": Returning},
		Halted:    {"pause": "", "resume": Holding, "undo": Returning},
		Returning: {"pause": "", "resume": "", "undo": Returning},
		Undone:    {"pause": "", "resume": "", "undo": ""},
		Done:      {"pause": "", "resume": "", "undo": Returning},
	} {
		for wish, want := range wishes {
			m, s := reach[state]()
			before := m.Record()
			err := m.Execute(clock, Command(wish))
			if want == "" {
				require.Error(t, err, "%s while %s", wish, state)
				require.Equal(t, before, m.Record(), "%s while %s", wish, state)
				continue
			}
			require.NoError(t, err, "%s while %s", wish, state)
			require.Equal(t, want, m.Record().State, "%s while %s", wish, state)
			if wish == "pause" {
				for range 100 {
					m.Observe(clock, s.nextWindow(m))
				}
				require.Equal(t, want, m.Record().State, "paused while %s", state)
				s.new.slow = 3 // the watch goes on
				if state == Holding {
					observeUntil(t, m, s, 60, inState(Undone))
				}
			}
			if want == Returning {
				s.new = condition{health: warm}
				observeUntil(t, m, s, 60, inState(Undone))
				require.Zero(t, m.Record().Shares.Share)
				require.Empty(t, m.Record().Shares.Moved)
			}
		}
		require.ErrorContains(t, func() error { m, _ := reach[state](); return m.Execute(clock, "jump") }(), "jump")
	}
}

// Whoever takes the record over carries the same move on: no step is left out, none granted twice.
func TestRecordCanBeResumedAtAnyTime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newScenario(rapid.Uint64().Draw(r, "seed"))
		m := startMigration(t, s, nil)
		step, version := -1, uint64(1)
		worse := rapid.IntRange(0, 300).Draw(r, "worse from")
		for n := 0; n < 400 && !m.record.State.Terminal(); n++ {
			if n == worse {
				s.new.slow = 2.5
			}
			m.Observe(clock, s.nextWindow(m))
			if rapid.IntRange(0, 9).Draw(r, "killed") == 0 {
				raw, err := json.Marshal(m.Record())
				require.NoError(t, err)
				var back Record
				require.NoError(t, json.Unmarshal(raw, &back))
				m = Resume(back)
			}
			if m.record.Step > step+1 || m.record.Step < step || m.record.Version < version {
				r.Fatalf(
					"from step %d, version %d to step %d, version %d",
					step,
					version,
					m.record.Step,
					m.record.Version,
				)
			}
			step, version = m.record.Step, m.record.Version
		}
		if !m.record.State.Terminal() {
			r.Fatalf("%s after 400 windows: %s", m.record.State, m.record.Reason)
		}
		if worse < 60 && m.record.State != Undone {
			r.Fatalf("worse from window %d on, and %s", worse, m.record.State)
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	s := newScenario(7)
	m := startMigration(t, s, nil)
	observeUntil(t, m, s, 100, inState(Holding))
	for range 500 {
		require.NoError(t, m.Execute(clock, CommandPause))
		require.NoError(t, m.Execute(clock, CommandResume))
	}
	require.Len(t, m.Record().Events, maxEvents)
	require.Equal(t, "planned", m.Record().Events[0].Text)
	raw, err := json.Marshal(m.Record())
	require.NoError(t, err)
	require.Less(t, len(raw), 16<<10)
}
