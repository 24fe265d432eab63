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

// simulation generates windows of two pools, each with a share of the traffic.
type simulation struct {
	rng      *rand.Rand
	rate     float64 // mean number of requests in a window, over both pools
	old, new condition
	lagging  []string
}

// condition describes how a simulated pool performs.
type condition struct {
	slowdown  float64 // factor by which response times increase; 0 stands for 1
	errorRate float64
	stall     bool
	health    Health
}

var warm = Health{Backends: 9, Ready: 9, Capacity: 9, WarmCapacity: 9}

// Property tests use a fixed seed so that their result is reproducible.
func init() {
	_ = flag.Set("rapid.seed", "20261201")
	_ = flag.Set("rapid.checks", "30")
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		rng:  rand.New(rand.NewPCG(seed, 1)),
		rate: 18,
		old:  condition{health: warm},
		new:  condition{health: warm},
	}
}

func (sim *simulation) poisson(mean float64) int {
	n, p := 0, sim.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= sim.rng.Float64()
	}
	return n
}

func (sim *simulation) poolWindow(c condition, share float64) PoolWindow {
	window := PoolWindow{Health: c.health}
	slow := max(c.slowdown, 1)
	for range sim.poisson(sim.rate * share) {
		window.Requests++
		window.OfferedWeight++
		if c.health.Ready == 0 {
			window.Overflowed++
			window.OnTimeWeight++
			continue
		}
		window.Attempts++
		if sim.rng.Float64() < c.errorRate {
			window.Errors++ // the request is retried elsewhere, and is late in half of the cases
			if sim.rng.IntN(2) == 0 {
				window.OnTimeWeight++
			}
			continue
		}
		a := Sample{
			Class:          sim.rng.IntN(2),
			Kind:           sim.rng.IntN(3),
			UncachedTokens: 900 * math.Exp(0.7*sim.rng.NormFloat64()),
			Load:           0.2 + 0.2*sim.rng.Float64(),
		}
		a.FirstToken = slow * (0.1 + a.UncachedTokens/15_000) * math.Exp(0.5*sim.rng.NormFloat64())
		a.TokenGap = slow * (0.02 + 0.02*a.Load) * math.Exp(0.15*sim.rng.NormFloat64())
		if c.stall {
			a.FirstToken, a.TokenGap = a.FirstToken+2, a.TokenGap*2
		}
		if a.FirstToken < 1.5 && a.TokenGap < 0.05 {
			window.OnTimeWeight++
		}
		window.Samples = append(window.Samples, a)
	}
	return window
}

func (sim *simulation) nextWindow(machine *Machine) Window {
	share := machine.record.Shares.Share
	if machine.record.State == Done {
		share = 1
	}
	return Window{
		From:    sim.poolWindow(sim.old, 1-share),
		To:      sim.poolWindow(sim.new, share),
		Nodes:   3,
		Lagging: sim.lagging,
	}
}

var clock = time.Unix(1_800_000_000, 0)

func startMigration(t testing.TB, sim *simulation, edit func(*Plan)) *Machine {
	p := Default()
	p.From, p.To = "old", "new"
	if edit != nil {
		edit(&p)
	}
	machine, err := Start("m-1", p, pool.Shares{}, sim.old.health, sim.new.health, clock)
	require.NoError(t, err)
	return machine
}

// observeUntil passes windows to the machine until done is true for its record, and returns their number.
func observeUntil(t testing.TB, machine *Machine, sim *simulation, maxWindows int, done func(Record) bool) int {
	for n := range maxWindows {
		if done(machine.Record()) {
			return n
		}
		machine.Observe(clock, sim.nextWindow(machine))
	}
	r := machine.Record()
	require.True(
		t,
		done(r),
		"after %d windows the migration is in state %s, step %d, share %.3f: %s; events %v",
		maxWindows,
		r.State,
		r.Step,
		r.Shares.Share,
		r.Reason,
		r.Events,
	)
	return maxWindows
}

func inState(states ...State) func(Record) bool {
	return func(r Record) bool {
		for _, state := range states {
			if r.State == state {
				return true
			}
		}
		return false
	}
}

func atStep(step int) func(Record) bool {
	return func(r Record) bool { return r.State == Holding && r.Step == step && r.StateWindows >= 7 }
}
