package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"standpoint"
	"standpoint/internal/lab/emulator"
	"standpoint/internal/node"
)

// FreshStudy is runs in which one box appears, cold, before others that are overloaded; each node hears of it at a time
// of its own.
type FreshStudy struct {
	Runs  int
	First uint64
	Nodes int
	Old   int
	Rate  float64 // requests a second
	Late  float64 // seconds: the latest that a node hears of it
	// Reckoned is the number of nodes that each takes there to be; 0: as many as there are.
	Reckoned int
}

// FreshResult is what came of one run.
type FreshResult struct {
	Peak   float64 // greatest part of what would have pushed the box over that reached it
	Fell   bool
	Full   float64 // seconds from its start until it had as much as a fair part, over 5 s; 0: not within 60 s
	Before float64 // service in the 10 s before it came, and in the 30 s after
	After  float64
}

const (
	freshAt   = 20.0
	freshFor  = 60.0
	fullPart  = 0.9
	fullOver  = 5.0
	freshTick = 0.05
)

// Run runs the study on all cores.
func (s FreshStudy) Run(ctx context.Context) []FreshResult {
	results := make([]FreshResult, s.Runs)
	parallel(ctx, s.Runs, func(i int) { results[i] = s.one(s.First + uint64(i)) })
	return results
}

func (s FreshStudy) one(seed uint64) (r FreshResult) {
	w := New(Setup{Seed: seed, Nodes: s.Nodes, Rate: s.Rate, Old: s.Old, Spread: 0.1})
	for _, g := range w.nodes {
		if s.Reckoned > 0 {
			g.reckon(s.Reckoned)
		}
	}
	rng := rand.New(rand.NewPCG(seed, 0xf5e5))
	var fresh *machine
	w.At(freshAt, func() {
		kind := int(seed) % len(w.Kinds)
		f := w.Kinds[kind]
		f.Capacity = f.Able(700, 1500, 105, 0.05)
		fresh = &machine{Box: emulator.New(f, seed*1000+999, w.now), name: "fresh", kind: kind, jobs: map[int64]*try{}, readyAt: w.clock()}
		w.boxes, w.byName[fresh.name] = append(w.boxes, fresh), fresh
		for _, g := range w.nodes {
			w.At(w.now+s.Late*rng.Float64(), func() {
				g.news(node.EndpointList{Kind: standpoint.ListDelta, Endpoints: []node.Endpoint{{Address: fresh.name,
					Engine: standpoint.Engine{Name: fresh.name, Kind: kind, Size: 1, StartedAt: fresh.readyAt}}}})
			})
		}
	})
	counts := func() (of, mean float64) {
		for _, m := range w.boxes {
			if m == fresh {
				of = float64(m.Came())
			} else {
				mean += float64(m.Came()) / float64(s.Old)
			}
		}
		return of, mean
	}
	type count struct{ of, mean float64 }
	var history []count
	for at := freshAt; at < freshAt+freshFor; at += freshTick {
		w.Run(at)
		if fresh == nil {
			continue
		}
		r.Peak = max(r.Peak, fresh.Pressure(w.now))
		r.Fell = r.Fell || !fresh.Alive()
		of, mean := counts()
		history = append(history, count{of, mean})
		if n := len(history) - 1 - int(fullOver/freshTick); n >= 0 && r.Full == 0 &&
			of-history[n].of >= fullPart*(mean-history[n].mean) && mean > history[n].mean {
			r.Full = w.now - freshAt
		}
	}
	_, r.Before = service(w.Seconds, freshAt-10, freshAt+12)
	_, r.After = service(w.Seconds, freshAt, freshAt+42)
	return r
}

// WriteFresh writes a line for a study.
func WriteFresh(w io.Writer, s FreshStudy, all []FreshResult) {
	var peaks, fulls []float64
	fell, soon := 0, 0
	before, after := 0.0, 0.0
	for _, r := range all {
		peaks = append(peaks, r.Peak)
		if r.Fell {
			fell++
		}
		full := r.Full
		if full == 0 {
			full = freshFor
		}
		if fulls = append(fulls, full); full <= 30 {
			soon++
		}
		before, after = before+r.Before/float64(len(all)), after+r.After/float64(len(all))
	}
	slices.Sort(peaks)
	slices.Sort(fulls)
	fmt.Fprintf(w, "%d nodes, %d boxes, %g/s, heard up to %g s apart, %d runs: greatest part of the cold budget median %.2f, most %.2f; fell %d; "+
		"full share after median %.1f s, most %.1f s, within 30 s %d; service %.3f before, %.3f after\n",
		s.Nodes, s.Old, s.Rate, s.Late, len(all), quantile(peaks, 0.5), peaks[len(peaks)-1], fell, quantile(fulls, 0.5), fulls[len(fulls)-1], soon, before, after)
}
