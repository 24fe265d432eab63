package migration

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/pool"
)

// scene makes windows of two pools with a share of the traffic each.
type scene struct {
	rng      *rand.Rand
	rate     float64 // flows in a window
	old, new condition
	behind   []string
}

// condition is how a pool does.
type condition struct {
	slow   float64 // factor on its times; 0: 1
	errors float64
	stall  bool
	health Health
}

var warm = Health{Backends: 9, Ready: 9, Capacity: 9, WarmCapacity: 9}

// The same verdict every time: property tests draw from one seed.
func init() {
	_ = flag.Set("rapid.seed", "20261201")
	_ = flag.Set("rapid.checks", "30")
}

func newScene(seed uint64) *scene {
	return &scene{rng: rand.New(rand.NewPCG(seed, 1)), rate: 18, old: condition{health: warm}, new: condition{health: warm}}
}

func (s *scene) poisson(mean float64) int {
	n, p := 0, s.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= s.rng.Float64()
	}
	return n
}

func (s *scene) side(c condition, share float64) PoolWindow {
	side := PoolWindow{Health: c.health}
	slow := max(c.slow, 1)
	for range s.poisson(s.rate * share) {
		side.Requests++
		side.OfferedWeight++
		if c.health.Ready == 0 {
			side.Overflowed++
			side.OnTimeWeight++
			continue
		}
		side.Attempts++
		if s.rng.Float64() < c.errors {
			side.Errors++ // the flow goes elsewhere, and is late half of the time
			if s.rng.IntN(2) == 0 {
				side.OnTimeWeight++
			}
			continue
		}
		a := Sample{Class: s.rng.IntN(2), Kind: s.rng.IntN(3), UncachedTokens: 900 * math.Exp(0.7*s.rng.NormFloat64()), Load: 0.2 + 0.2*s.rng.Float64()}
		a.FirstToken = slow * (0.1 + a.UncachedTokens/15_000) * math.Exp(0.5*s.rng.NormFloat64())
		a.TokenGap = slow * (0.02 + 0.02*a.Load) * math.Exp(0.15*s.rng.NormFloat64())
		if c.stall {
			a.FirstToken, a.TokenGap = a.FirstToken+2, a.TokenGap*2
		}
		if a.FirstToken < 1.5 && a.TokenGap < 0.05 {
			side.OnTimeWeight++
		}
		side.Samples = append(side.Samples, a)
	}
	return side
}

func (s *scene) window(m *Machine) Window {
	share := m.record.Shares.Share
	if m.record.State == Done {
		share = 1
	}
	return Window{From: s.side(s.old, 1-share), To: s.side(s.new, share), Nodes: 3, Lagging: s.behind}
}

var clock = time.Unix(1_800_000_000, 0)

func start(t testing.TB, s *scene, edit func(*Plan)) *Machine {
	p := Default()
	p.From, p.To = "old", "new"
	if edit != nil {
		edit(&p)
	}
	m, err := Start("m-1", p, pool.Shares{}, s.old.health, s.new.health, clock)
	require.NoError(t, err)
	return m
}

// until shows the machine windows until it is in a state, and returns how many.
func until(t testing.TB, m *Machine, s *scene, most int, done func(Record) bool) int {
	for n := range most {
		if done(m.Record()) {
			return n
		}
		m.Observe(clock, s.window(m))
	}
	r := m.Record()
	require.True(t, done(r), "after %d windows the move is %s, step %d, %.3f: %s; %v", most, r.State, r.Step, r.Shares.Share, r.Reason, r.Events)
	return most
}

func in(states ...State) func(Record) bool {
	return func(r Record) bool {
		for _, s := range states {
			if r.State == s {
				return true
			}
		}
		return false
	}
}

func atStep(step int) func(Record) bool {
	return func(r Record) bool { return r.State == Holding && r.Step == step && r.StateWindows >= 7 }
}

func TestAMoveOfPoolsThatAreAlikeIsDone(t *testing.T) {
	for seed := range uint64(40) {
		s := newScene(seed)
		m := start(t, s, nil)
		n := until(t, m, s, 400, in(Done, Undone, Halted))
		require.Equal(t, Done, m.Record().State, "seed %d: %s", seed, m.Record().Cause)
		require.GreaterOrEqual(t, time.Duration(n)*WindowTime, m.Record().Plan.MinimumDuration()-7*WindowTime)
		r := m.Record()
		require.Equal(t, map[string]string{"old": "new"}, r.Shares.Moved)
		require.Equal(t, 1.0, r.CurrentShare())
		require.Equal(t, 1.0, r.Events[len(r.Events)-1].Share)
	}
}

// What a pool gets worse by, and in how many windows all traffic is back at the latest. Without the evidence of the
// process that the case is for, it would not be.
func TestAWorsePoolLosesItsTraffic(t *testing.T) {
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
			s := newScene(seed)
			m := start(t, s, nil)
			until(t, m, s, 400, atStep(c.step))
			s.new = c.worse
			n := until(t, m, s, 400, in(Undone, Done))
			require.Equal(t, Undone, m.Record().State, "%s, seed %d", name, seed)
			require.LessOrEqual(t, n, c.most, "%s, seed %d", name, seed)
			require.Zero(t, m.Record().Shares.Share)
			require.NotEmpty(t, m.Record().Cause)
		}
	}
}

// A stall that is shorter than allowed never ends a move, nor does one of both pools, nor an evening in which both
// get slow.
func TestShortStallsAreForgiven(t *testing.T) {
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
			s := newScene(seed)
			m := start(t, s, nil)
			until(t, m, s, 400, atStep(int(seed%4)))
			s.old, s.new = c.old, c.new
			for range c.windows {
				m.Observe(clock, s.window(m))
			}
			s.old, s.new = condition{health: warm}, condition{health: warm}
			until(t, m, s, 500, in(Done, Undone, Halted))
			require.Equal(t, Done, m.Record().State, "%s, seed %d: %s", name, seed, m.Record().Cause)
		}
	}
}

// The bound on false alarms holds for windows without end: the alarm is looked at in every one of them.
func TestLookingOftenRaisesNoAlarms(t *testing.T) {
	alarms, seen := 0, 0
	for seed := range uint64(4) {
		s := newScene(seed)
		p := Default()
		p.Alarm = 1000
		j := newAnalysis(p)
		for range 1500 {
			j.observe(&Window{From: s.side(s.old, 0.5), To: s.side(s.new, 0.5)})
			seen++
			if j.evidence.level() >= j.alarmLevel() {
				alarms++
				j.evidence = Evidence{}
			}
		}
	}
	require.LessOrEqual(t, alarms, seen/1000, "in %d windows", seen)
}

func TestTrafficDoesNotGoBackToADeadPool(t *testing.T) {
	for _, dead := range []condition{{health: Health{Backends: 9}}, {errors: 1, health: warm}} {
		s := newScene(3)
		m := start(t, s, nil)
		until(t, m, s, 400, atStep(2))
		s.old = dead
		for range 30 {
			m.Observe(clock, s.window(m))
			require.GreaterOrEqual(t, m.Record().Shares.Share, 0.5, "the old pool's death is no reason to go back")
		}
		share := m.Record().Shares.Share
		// The new pool gets worse too: still nothing goes to the dead.
		s.new.slow = 3
		until(t, m, s, 60, in(Halted))
		for range 30 {
			m.Observe(clock, s.window(m))
			require.Equal(t, Halted, m.Record().State)
			require.Equal(t, share, m.Record().Shares.Share)
		}
		require.Contains(t, m.Record().Reason, "not returned: the old pool")
		s.old = condition{health: warm}
		until(t, m, s, 60, in(Undone))
	}
}

// Where some of the old boxes are gone, no more goes back than the rest can take.
func TestNoMoreGoesBackThanTheOldPoolCanTake(t *testing.T) {
	s := newScene(4)
	m := start(t, s, nil)
	until(t, m, s, 400, atStep(3))
	s.old.health = Health{Backends: 3, Ready: 3, Capacity: 3, WarmCapacity: 3}
	s.new.slow = 2
	until(t, m, s, 60, in(Returning))
	for range 30 {
		m.Observe(clock, s.window(m))
	}
	r := m.Record()
	require.Equal(t, Returning, r.State)
	require.InDelta(t, 1-3.0/9, r.Shares.Share, 1e-9)
	require.Contains(t, r.Reason, "33% of its size left")
}

func TestTooFewSamplesHoldAndSaySo(t *testing.T) {
	s := newScene(5)
	s.rate = 1
	m := start(t, s, nil)
	until(t, m, s, 2000, in(Holding))
	for range 60 {
		m.Observe(clock, s.window(m))
	}
	r := m.Record()
	require.Equal(t, 0, r.Step)
	require.Contains(t, r.Reason, "too few samples")
	s.rate = 0
	for range 500 {
		m.Observe(clock, s.window(m))
	}
	require.Equal(t, r.Step, m.Record().Step, "time alone passes no step")
}

func TestNoStepGoesOnBeforeAllNodesHaveTheLast(t *testing.T) {
	s := newScene(6)
	s.behind = []string{"n2"}
	m := start(t, s, nil)
	for range 30 {
		m.Observe(clock, s.window(m))
	}
	require.Equal(t, Planned, m.Record().State)
	require.Contains(t, m.Record().Reason, "n2")
	s.behind = nil
	until(t, m, s, 50, in(Warming))
	s.behind = []string{"n1"}
	for range 100 {
		m.Observe(clock, s.window(m))
	}
	require.Equal(t, Stepping, m.Record().State, "the step is not in force everywhere, so it is not watched yet")
	s.behind = nil
	until(t, m, s, 200, atStep(0))
	s.behind = []string{"n3"}
	for range 100 {
		m.Observe(clock, s.window(m))
	}
	require.Equal(t, 0, m.Record().Step)
	require.Contains(t, m.Record().Reason, "n3")
	s.behind = nil
	until(t, m, s, 400, in(Done))
}

// Whatever the boxes' starts, no share is ever in force that cold boxes could not take.
func TestColdBoxesAreNeverGrantedMoreThanTheyCan(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newScene(rapid.Uint64().Draw(r, "seed"))
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
		m := start(t, s, nil)
		for i := range 200 {
			if rapid.IntRange(0, 40).Draw(r, "restart") == 0 {
				ages[i%n] = 0
			}
			s.new.health = health()
			m.Observe(clock, s.window(m))
			h, share := s.new.health, m.record.Shares.Share
			if h.WarmCapacity < warmThreshold*h.Capacity && m.record.State != Returning && share > h.WarmCapacity/9+1e-9 && share > 0.02 {
				r.Fatalf("%.3f in force, and the boxes can do %.2f of 9: %s", share, h.WarmCapacity, m.record.State)
			}
			for j := range ages {
				ages[j]++
			}
		}
	})
}

// Every wish in every state: what it leads to, or that it is refused and changes nothing.
func TestWishesInEveryState(t *testing.T) {
	reach := map[State]func() (*Machine, *scene){}
	bringTo := func(state State, bring func(m *Machine, s *scene)) {
		reach[state] = func() (*Machine, *scene) {
			s := newScene(9)
			m := start(t, s, func(p *Plan) {
				if state == Halted {
					p.OnWorse = Stay
				}
			})
			bring(m, s)
			require.Equal(t, state, m.Record().State)
			return m, s
		}
	}
	bringTo(Planned, func(*Machine, *scene) {})
	bringTo(Warming, func(m *Machine, s *scene) { until(t, m, s, 50, in(Warming)) })
	bringTo(Stepping, func(m *Machine, s *scene) { until(t, m, s, 100, in(Stepping)) })
	bringTo(Holding, func(m *Machine, s *scene) { until(t, m, s, 300, atStep(1)) })
	worse := func(end ...State) func(m *Machine, s *scene) {
		return func(m *Machine, s *scene) {
			until(t, m, s, 300, atStep(2))
			s.new.slow = 3
			until(t, m, s, 60, in(end...))
		}
	}
	bringTo(Halted, worse(Halted))
	bringTo(Returning, worse(Returning))
	bringTo(Undone, worse(Undone))
	bringTo(Done, func(m *Machine, s *scene) { until(t, m, s, 400, in(Done)) })
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
					m.Observe(clock, s.window(m))
				}
				require.Equal(t, want, m.Record().State, "paused while %s", state)
				s.new.slow = 3 // the watch goes on
				if state == Holding {
					until(t, m, s, 60, in(Undone))
				}
			}
			if want == Returning {
				s.new = condition{health: warm}
				until(t, m, s, 60, in(Undone))
				require.Zero(t, m.Record().Shares.Share)
				require.Empty(t, m.Record().Shares.Moved)
			}
		}
		require.ErrorContains(t, func() error { m, _ := reach[state](); return m.Execute(clock, "jump") }(), "jump")
	}
}

// Whoever takes the record over carries the same move on: no step is left out, none granted twice.
func TestARecordCanBeTakenOverAtAnyTime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newScene(rapid.Uint64().Draw(r, "seed"))
		m := start(t, s, nil)
		step, version := -1, uint64(1)
		worse := rapid.IntRange(0, 300).Draw(r, "worse from")
		for n := 0; n < 400 && !m.record.State.Terminal(); n++ {
			if n == worse {
				s.new.slow = 2.5
			}
			m.Observe(clock, s.window(m))
			if rapid.IntRange(0, 9).Draw(r, "killed") == 0 {
				raw, err := json.Marshal(m.Record())
				require.NoError(t, err)
				var back Record
				require.NoError(t, json.Unmarshal(raw, &back))
				m = Resume(back)
			}
			if m.record.Step > step+1 || m.record.Step < step || m.record.Version < version {
				r.Fatalf("from step %d, version %d to step %d, version %d", step, version, m.record.Step, m.record.Version)
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

// Evidence goes over with the record: a mover that is killed after every window still finds a pool that fails.
func TestEvidenceIsHandedOver(t *testing.T) {
	s := newScene(8)
	m := start(t, s, nil)
	until(t, m, s, 400, atStep(2))
	s.new.errors = 0.3
	for range 40 {
		m.Observe(clock, s.window(m))
		m = Resume(m.Record())
	}
	require.Equal(t, Undone, m.Record().State)
}

// Lateness of both pools in the same windows is no evidence, also while the old pool's last quarter of a minute, in the
// mean, was still good.
func TestWhatBothPoolsSufferIsNotHeldAgainstTheNew(t *testing.T) {
	j := newAnalysis(Default())
	window := func(late float64) *Window {
		side := PoolWindow{Requests: 10, OfferedWeight: 10, OnTimeWeight: 10 * (1 - late), Attempts: 10, Errors: int(10 * late), Health: warm}
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

// As shares grow the new boxes run fuller than the old ones. Tokens that come slower for that alone are no evidence; the
// same at the same load are.
func TestLoadIsNotHeldAgainstTheNewPool(t *testing.T) {
	level := func(slow float64) float64 {
		rng := rand.New(rand.NewPCG(5, 5))
		j := newAnalysis(Default())
		answers := func(n int, least, most, slow float64) PoolWindow {
			side := PoolWindow{Health: warm}
			for range n {
				load := least + (most-least)*rng.Float64()
				side.Samples = append(side.Samples, Sample{UncachedTokens: 500, Load: load, FirstToken: 0.2, TokenGap: slow * 0.018 * (1 + 3*load) * math.Exp(0.05*rng.NormFloat64())})
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

func TestTheHistoryOfAMoveIsBounded(t *testing.T) {
	s := newScene(7)
	m := start(t, s, nil)
	until(t, m, s, 100, in(Holding))
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

func TestFaultyPlansNameTheKey(t *testing.T) {
	for key, edit := range map[string]func(*Plan){
		"to":           func(p *Plan) { p.To = p.From },
		"steps":        func(p *Plan) { p.Steps = nil },
		"steps[1]":     func(p *Plan) { p.Steps = []float64{0.5, 0.5} },
		"steps[0]":     func(p *Plan) { p.Steps = []float64{math.NaN()} },
		"trickle":      func(p *Plan) { p.Trickle = 0.2 },
		"floor":        func(p *Plan) { p.Floor = 1.5 },
		"first_token":  func(p *Plan) { p.FirstToken = 0.5 },
		"pace":         func(p *Plan) { p.Pace = math.Inf(1) },
		"errors":       func(p *Plan) { p.Errors = 0 },
		"alarm":        func(p *Plan) { p.Alarm = 1 },
		"samples":      func(p *Plan) { p.Samples = 0 },
		"on_worse":     func(p *Plan) { p.OnWorse = "panic" },
		"return_steps": func(p *Plan) { p.ReturnSteps = 0 },
		"hold":         func(p *Plan) { p.Hold = time.Millisecond },
		"stall":        func(p *Plan) { p.Stall = -1 },
		"warm_up":      func(p *Plan) { p.WarmUp = 48 * time.Hour },
	} {
		p := Default()
		p.From, p.To = "old", "new"
		require.NoError(t, p.Check())
		edit(&p)
		var fault *PlanError
		require.ErrorAs(t, p.Check(), &fault, key)
		require.Equal(t, key, fault.Key, fmt.Sprint(fault))
	}
}

// A node that has lost sight of the boxes must not speak for the others, and the colder view of their warmth holds.
func TestViewsOfSeveralNodes(t *testing.T) {
	seen, cold, blind := Health{Backends: 4, Ready: 4, Capacity: 4, WarmCapacity: 4}, Health{Backends: 3, Ready: 3, Capacity: 3, WarmCapacity: 1.5}, Health{}
	for _, order := range [][]Health{{seen, cold, blind}, {blind, cold, seen}, {cold, blind, seen}} {
		var s PoolWindow
		for _, h := range order {
			s = s.Add(PoolWindow{Health: h})
		}
		require.Equal(t, Health{Backends: 4, Ready: 4, Capacity: 4, WarmCapacity: 2}, s.Health)
	}
	require.Zero(t, PoolWindow{}.Add(PoolWindow{Health: Health{Backends: 2}}).Health.Ready)
}
