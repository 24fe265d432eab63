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

// NewBackendStudy simulates runs in which a cold backend is added to a fleet that is overloaded. Each node learns of it
// at a different time.
type NewBackendStudy struct {
	Runs         int
	FirstSeed    uint64
	Nodes        int
	Backends     int     // number of backends before the new one
	Rate         float64 // requests per second
	MaxListDelay float64 // seconds after which all nodes know of the new backend
	// AssumedNodes is the number of nodes that each node assumes; 0 means the true number.
	AssumedNodes int
}

// NewBackendResult has the results of one run.
type NewBackendResult struct {
	PeakPressure float64 // highest load of the new backend, as a share of the load that makes it collapse
	Collapsed    bool
	// FullShareAfter is the time in seconds from its start until it got a fair share of the attempts of 5 s. It is 0 if
	// that took longer than 60 s.
	FullShareAfter float64
	ServiceBefore  float64 // service in the 10 s before it was added
	ServiceAfter   float64 // service in the 30 s after it was added
}

const (
	appearsAt         = 20.0 // when the new backend is added, in seconds
	observeFor        = 60.0 // how long it is observed, in seconds
	fullShareFraction = 0.9  // share of the other backends' mean number of attempts that counts as a fair share
	fullShareWindow   = 5.0  // time over which attempts are counted for this, in seconds
	sampleInterval    = 0.05 // seconds
)

// Run runs the study on all cores.
func (s NewBackendStudy) Run(ctx context.Context) []NewBackendResult {
	results := make([]NewBackendResult, s.Runs)
	parallel(ctx, s.Runs, func(i int) { results[i] = s.runSeed(s.FirstSeed + uint64(i)) })
	return results
}

// runSeed simulates one run.
func (s NewBackendStudy) runSeed(seed uint64) (r NewBackendResult) {
	sim := New(Setup{Seed: seed, Nodes: s.Nodes, Rate: s.Rate, OldBackends: s.Backends, SpeedSpread: 0.1})
	for _, n := range sim.nodes {
		if s.AssumedNodes > 0 {
			n.setNodeCount(s.AssumedNodes)
		}
	}
	rng := rand.New(rand.NewPCG(seed, 0xf5e5))
	var added *backend
	sim.At(appearsAt, func() {
		kind := int(seed) % len(sim.Kinds)
		parameters := sim.Kinds[kind]
		parameters.Capacity = parameters.MaxRate(700, 1500, 105, 0.05)
		added = &backend{Backend: emulator.New(parameters, seed*1000+999, sim.now), name: "fresh", kind: kind,
			attempts: map[int64]*attempt{}, readyAt: sim.clock()}
		sim.backends, sim.backendsByName[added.name] = append(sim.backends, added), added
		for _, n := range sim.nodes {
			sim.At(sim.now+s.MaxListDelay*rng.Float64(), func() {
				n.updateEndpoints(node.EndpointList{Kind: standpoint.ListDelta,
					Endpoints: []node.Endpoint{{Address: added.name,
						Engine: standpoint.Engine{Name: added.name, Kind: kind, Size: 1, StartedAt: added.readyAt}}}})
			})
		}
	})
	counts := func() (ofAdded, meanOfOthers float64) {
		for _, b := range sim.backends {
			if b == added {
				ofAdded = float64(b.Received())
			} else {
				meanOfOthers += float64(b.Received()) / float64(s.Backends)
			}
		}
		return ofAdded, meanOfOthers
	}
	type count struct{ ofAdded, meanOfOthers float64 }
	var history []count
	for at := appearsAt; at < appearsAt+observeFor; at += sampleInterval {
		sim.Run(at)
		if added == nil {
			continue
		}
		r.PeakPressure = max(r.PeakPressure, added.Overload(sim.now))
		r.Collapsed = r.Collapsed || !added.Alive()
		ofAdded, meanOfOthers := counts()
		history = append(history, count{ofAdded, meanOfOthers})
		if n := len(history) - 1 - int(fullShareWindow/sampleInterval); n >= 0 && r.FullShareAfter == 0 &&
			ofAdded-history[n].ofAdded >= fullShareFraction*(meanOfOthers-history[n].meanOfOthers) &&
			meanOfOthers > history[n].meanOfOthers {
			r.FullShareAfter = sim.now - appearsAt
		}
	}
	_, r.ServiceBefore = service(sim.Seconds, appearsAt-10, appearsAt+12)
	_, r.ServiceAfter = service(sim.Seconds, appearsAt, appearsAt+42)
	return r
}

// WriteNewBackendResults writes one line with the results of a study.
func WriteNewBackendResults(w io.Writer, s NewBackendStudy, all []NewBackendResult) {
	var peaks, fullAfter []float64
	collapsed, within30 := 0, 0
	before, after := 0.0, 0.0
	for _, r := range all {
		peaks = append(peaks, r.PeakPressure)
		if r.Collapsed {
			collapsed++
		}
		full := r.FullShareAfter
		if full == 0 {
			full = observeFor
		}
		if fullAfter = append(fullAfter, full); full <= 30 {
			within30++
		}
		before, after = before+r.ServiceBefore/float64(len(all)), after+r.ServiceAfter/float64(len(all))
	}
	slices.Sort(peaks)
	slices.Sort(fullAfter)
	fmt.Fprintf(w,
		"%d nodes, %d boxes, %g/s, heard up to %g s apart, %d runs: "+
			"greatest part of the cold budget median %.2f, most %.2f; fell %d; "+
			"full share after median %.1f s, most %.1f s, within 30 s %d; service %.3f before, %.3f after\n",
		s.Nodes, s.Backends, s.Rate, s.MaxListDelay, len(all), quantile(peaks, 0.5), peaks[len(peaks)-1], collapsed,
		quantile(fullAfter, 0.5), fullAfter[len(fullAfter)-1], within30, before, after)
}
