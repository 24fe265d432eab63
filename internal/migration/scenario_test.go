package migration

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/pool"
)

// scenario makes windows of two pools with a share of the traffic each.
type scenario struct {
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

func newScenario(seed uint64) *scenario {
	return &scenario{
		rng:  rand.New(rand.NewPCG(seed, 1)),
		rate: 18,
		old:  condition{health: warm},
		new:  condition{health: warm},
	}
}

func (s *scenario) poisson(mean float64) int {
	n, p := 0, s.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= s.rng.Float64()
	}
	return n
}

func (s *scenario) poolWindow(c condition, share float64) PoolWindow {
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
		a := Sample{
			Class:          s.rng.IntN(2),
			Kind:           s.rng.IntN(3),
			UncachedTokens: 900 * math.Exp(0.7*s.rng.NormFloat64()),
			Load:           0.2 + 0.2*s.rng.Float64(),
		}
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

func (s *scenario) nextWindow(m *Machine) Window {
	share := m.record.Shares.Share
	if m.record.State == Done {
		share = 1
	}
	return Window{From: s.poolWindow(s.old, 1-share), To: s.poolWindow(s.new, share), Nodes: 3, Lagging: s.behind}
}

var clock = time.Unix(1_800_000_000, 0)

func startMigration(t testing.TB, s *scenario, edit func(*Plan)) *Machine {
	p := Default()
	p.From, p.To = "old", "new"
	if edit != nil {
		edit(&p)
	}
	m, err := Start("m-1", p, pool.Shares{}, s.old.health, s.new.health, clock)
	require.NoError(t, err)
	return m
}

// observeUntil shows the machine windows until it is in a state, and returns how many.
func observeUntil(t testing.TB, m *Machine, s *scenario, most int, done func(Record) bool) int {
	for n := range most {
		if done(m.Record()) {
			return n
		}
		m.Observe(clock, s.nextWindow(m))
	}
	r := m.Record()
	require.True(
		t,
		done(r),
		"after %d windows the move is %s, step %d, %.3f: %s; %v",
		most,
		r.State,
		r.Step,
		r.Shares.Share,
		r.Reason,
		r.Events,
	)
	return most
}

func inState(states ...State) func(Record) bool {
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
