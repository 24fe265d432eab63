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
		sim := newSimulation(seed)
		machine := startMigration(t, sim, nil)
		n := observeUntil(t, machine, sim, 400, inState(Done, Undone, Halted))
		require.Equal(t, Done, machine.Record().State, "seed %d: %s", seed, machine.Record().Cause)
		require.GreaterOrEqual(t, time.Duration(n)*WindowLength, machine.Record().Plan.MinimumDuration()-7*WindowLength)
		r := machine.Record()
		require.Equal(t, map[string]string{"old": "new"}, r.Shares.Moved)
		require.Equal(t, 1.0, r.CurrentShare())
		require.Equal(t, 1.0, r.Events[len(r.Events)-1].Share)
	}
}

func TestTooFewSamplesHoldTheStep(t *testing.T) {
	sim := newSimulation(5)
	sim.rate = 1
	machine := startMigration(t, sim, nil)
	observeUntil(t, machine, sim, 2000, inState(Holding))
	for range 60 {
		machine.Observe(clock, sim.nextWindow(machine))
	}
	r := machine.Record()
	require.Equal(t, 0, r.Step)
	require.Contains(t, r.Reason, "too few samples")
	sim.rate = 0
	for range 500 {
		machine.Observe(clock, sim.nextWindow(machine))
	}
	require.Equal(t, r.Step, machine.Record().Step, "a step must not be passed without requests")
}

func TestStepWaitsForLaggingNodes(t *testing.T) {
	sim := newSimulation(6)
	sim.lagging = []string{"n2"}
	machine := startMigration(t, sim, nil)
	for range 30 {
		machine.Observe(clock, sim.nextWindow(machine))
	}
	require.Equal(t, Planned, machine.Record().State)
	require.Contains(t, machine.Record().Reason, "n2")
	sim.lagging = nil
	observeUntil(t, machine, sim, 50, inState(Warming))
	sim.lagging = []string{"n1"}
	for range 100 {
		machine.Observe(clock, sim.nextWindow(machine))
	}
	require.Equal(t, Stepping, machine.Record().State, "a step must not be held before all nodes have applied it")
	sim.lagging = nil
	observeUntil(t, machine, sim, 200, atStep(0))
	sim.lagging = []string{"n3"}
	for range 100 {
		machine.Observe(clock, sim.nextWindow(machine))
	}
	require.Equal(t, 0, machine.Record().Step)
	require.Contains(t, machine.Record().Reason, "n3")
	sim.lagging = nil
	observeUntil(t, machine, sim, 400, inState(Done))
}

// Guards against a share above what cold backends can handle, for random ages and restarts of the new pool's backends.
func TestColdBackendsNeverGetMoreThanTheyCanTake(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(r, "seed"))
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
		sim.new.health = health()
		machine := startMigration(t, sim, nil)
		for i := range 200 {
			if rapid.IntRange(0, 40).Draw(r, "restart") == 0 {
				ages[i%n] = 0
			}
			sim.new.health = health()
			machine.Observe(clock, sim.nextWindow(machine))
			present, share := sim.new.health, machine.record.Shares.Share
			if present.WarmCapacity < warmThreshold*present.Capacity && machine.record.State != Returning &&
				share > present.WarmCapacity/9+1e-9 &&
				share > 0.02 {
				r.Fatalf("share %.3f with a warm capacity of %.2f of 9, state %s",
					share, present.WarmCapacity, machine.record.State)
			}
			for j := range ages {
				ages[j]++
			}
		}
	})
}

// Each command in each state either leads to the given state or is rejected and changes nothing.
func TestCommandsInEveryState(t *testing.T) {
	reach := map[State]func() (*Machine, *simulation){}
	bringTo := func(state State, bring func(machine *Machine, sim *simulation)) {
		reach[state] = func() (*Machine, *simulation) {
			sim := newSimulation(9)
			machine := startMigration(t, sim, func(p *Plan) {
				if state == Halted {
					p.OnWorse = Stay
				}
			})
			bring(machine, sim)
			require.Equal(t, state, machine.Record().State)
			return machine, sim
		}
	}
	bringTo(Planned, func(*Machine, *simulation) {})
	bringTo(Warming, func(machine *Machine, sim *simulation) { observeUntil(t, machine, sim, 50, inState(Warming)) })
	bringTo(Stepping, func(machine *Machine, sim *simulation) { observeUntil(t, machine, sim, 100, inState(Stepping)) })
	bringTo(Holding, func(machine *Machine, sim *simulation) { observeUntil(t, machine, sim, 300, atStep(1)) })
	worse := func(end ...State) func(machine *Machine, sim *simulation) {
		return func(machine *Machine, sim *simulation) {
			observeUntil(t, machine, sim, 300, atStep(2))
			sim.new.slowdown = 3
			observeUntil(t, machine, sim, 60, inState(end...))
		}
	}
	bringTo(Halted, worse(Halted))
	bringTo(Returning, worse(Returning))
	bringTo(Undone, worse(Undone))
	bringTo(Done, func(machine *Machine, sim *simulation) { observeUntil(t, machine, sim, 400, inState(Done)) })
	for state, commands := range map[State]map[string]State{
		Planned:   {"pause": Planned, "resume": Planned, "undo": Undone},
		Warming:   {"pause": Warming, "resume": Warming, "undo": Returning},
		Stepping:  {"pause": Stepping, "resume": Stepping, "undo": Returning},
		Holding:   {"pause": Holding, "resume": Holding, "undo": Returning},
		Halted:    {"pause": "", "resume": Holding, "undo": Returning},
		Returning: {"pause": "", "resume": "", "undo": Returning},
		Undone:    {"pause": "", "resume": "", "undo": ""},
		Done:      {"pause": "", "resume": "", "undo": Returning},
	} {
		for command, want := range commands {
			machine, sim := reach[state]()
			before := machine.Record()
			err := machine.Execute(clock, Command(command))
			if want == "" {
				require.Error(t, err, "%s while %s", command, state)
				require.Equal(t, before, machine.Record(), "%s while %s", command, state)
				continue
			}
			require.NoError(t, err, "%s while %s", command, state)
			require.Equal(t, want, machine.Record().State, "%s while %s", command, state)
			if command == "pause" {
				for range 100 {
					machine.Observe(clock, sim.nextWindow(machine))
				}
				require.Equal(t, want, machine.Record().State, "paused while %s", state)
				sim.new.slowdown = 3 // the analysis continues while paused
				if state == Holding {
					observeUntil(t, machine, sim, 60, inState(Undone))
				}
			}
			if want == Returning {
				sim.new = condition{health: warm}
				observeUntil(t, machine, sim, 60, inState(Undone))
				require.Zero(t, machine.Record().Shares.Share)
				require.Empty(t, machine.Record().Shares.Moved)
			}
		}
		require.ErrorContains(t, func() error {
			machine, _ := reach[state]()
			return machine.Execute(clock, "jump")
		}(), "jump")
	}
}

// A machine that is resumed from the stored record at any time must continue the same migration: no step is skipped, no
// step is repeated, and the version never decreases.
func TestRecordCanBeResumedAtAnyTime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(r, "seed"))
		machine := startMigration(t, sim, nil)
		step, version := -1, uint64(1)
		worse := rapid.IntRange(0, 300).Draw(r, "worse from")
		for n := 0; n < 400 && !machine.record.State.Terminal(); n++ {
			if n == worse {
				sim.new.slowdown = 2.5
			}
			machine.Observe(clock, sim.nextWindow(machine))
			if rapid.IntRange(0, 9).Draw(r, "killed") == 0 {
				raw, err := json.Marshal(machine.Record())
				require.NoError(t, err)
				var back Record
				require.NoError(t, json.Unmarshal(raw, &back))
				machine = Resume(back)
			}
			if machine.record.Step > step+1 || machine.record.Step < step || machine.record.Version < version {
				r.Fatalf(
					"changed from step %d, version %d to step %d, version %d",
					step,
					version,
					machine.record.Step,
					machine.record.Version,
				)
			}
			step, version = machine.record.Step, machine.record.Version
		}
		if !machine.record.State.Terminal() {
			r.Fatalf("state %s after 400 windows: %s", machine.record.State, machine.record.Reason)
		}
		if worse < 60 && machine.record.State != Undone {
			r.Fatalf("new pool worse from window %d on, but the migration is %s", worse, machine.record.State)
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	sim := newSimulation(7)
	machine := startMigration(t, sim, nil)
	observeUntil(t, machine, sim, 100, inState(Holding))
	for range 500 {
		require.NoError(t, machine.Execute(clock, CommandPause))
		require.NoError(t, machine.Execute(clock, CommandResume))
	}
	require.Len(t, machine.Record().Events, maxEvents)
	require.Equal(t, "planned", machine.Record().Events[0].Text)
	raw, err := json.Marshal(machine.Record())
	require.NoError(t, err)
	require.Less(t, len(raw), 16<<10)
}
