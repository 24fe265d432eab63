package lab

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"standpoint"
	"standpoint/internal/lab/emulator"
)

// Policy is what decides at a node: the module, or one that it is measured against.
type Policy interface {
	Handle(now int64, ev standpoint.Event, acts []standpoint.Action) []standpoint.Action
}

// Policies are the names of those that there are.
var Policies = []string{"module", "random", "round_robin", "least_loaded", "two_choices", "prefix", "ceiling"}

// baseline is a policy of the field. Each sends at once, tries elsewhere what failed, three times in all, and fails
// what has no box left; none turns down.
type baseline struct {
	kind  string
	set   standpoint.Settings
	rng   *rand.Rand
	names []string // ready, in order
	pools map[string]int
	out   map[string]int // own attempts out
	open  map[int64]*flight
	turn  int
	now   int64
	acts  []standpoint.Action
	truth func(name string, q *standpoint.Request) float64 // of the ceiling: seconds to the first token
}

type flight struct {
	standpoint.Request
	tried []string
	live  string
	begun bool
	over  bool
}

const (
	expireToken = 1
	loadBound   = 1.25 // of the prefix policy: the most of the mean load that a box may have (bounded loads)
)

func newBaseline(kind string, set standpoint.Settings, seed int64, truth func(string, *standpoint.Request) float64) *baseline {
	return &baseline{kind: kind, set: set, rng: rand.New(rand.NewPCG(uint64(seed), 0xba5e)), pools: map[string]int{}, out: map[string]int{},
		open: map[int64]*flight{}, truth: truth}
}

// Handle implements Policy.
func (b *baseline) Handle(now int64, ev standpoint.Event, acts []standpoint.Action) []standpoint.Action {
	b.now, b.acts = now, acts
	switch ev := ev.(type) {
	case *standpoint.EngineList:
		b.list(ev)
	case *standpoint.Request:
		f := &flight{Request: *ev}
		b.open[ev.ID] = f
		b.acts = append(b.acts, standpoint.Action{Kind: standpoint.Timer, Wait: max(0, ev.Deadline-now-2*b.set.EventInterval), Token: ev.ID*4 + expireToken})
		b.place(f)
	case *standpoint.FirstToken:
		if f := b.open[ev.Request]; f != nil {
			f.begun = true
		}
	case *standpoint.Outcome:
		b.outcome(ev)
	case *standpoint.ClientDisconnected:
		if f := b.open[ev.Request]; f != nil {
			f.over = true
		}
	case *standpoint.TimerFired:
		if f := b.open[ev.Token/4]; f != nil && !f.begun && !f.over {
			f.over = true
			if f.live != "" {
				b.acts = append(b.acts, standpoint.Action{Kind: standpoint.Cancel, Request: f.ID, Attempt: len(f.tried) - 1})
			}
			b.acts = append(b.acts, standpoint.Action{Kind: standpoint.Fail, Request: f.ID})
			b.forget(f)
		}
	}
	acts, b.acts = b.acts, nil
	return acts
}

func (b *baseline) list(l *standpoint.EngineList) {
	ready := map[string]bool{}
	if l.Kind != standpoint.ListFull {
		for _, n := range b.names {
			ready[n] = true
		}
	}
	for _, e := range l.Engines {
		ready[e.Name] = e.State == standpoint.Ready
		b.pools[e.Name] = e.Pool
	}
	b.names = b.names[:0]
	for n, ok := range ready {
		if ok {
			b.names = append(b.names, n)
		}
	}
	slices.Sort(b.names)
}

func (b *baseline) outcome(ev *standpoint.Outcome) {
	f := b.open[ev.Request]
	if f == nil {
		return
	}
	if f.live != "" && ev.Attempt == len(f.tried)-1 {
		b.out[f.live]--
		f.live = ""
	}
	if !f.over && !f.begun && ev.Code != standpoint.Served {
		b.place(f)
		return
	}
	f.over = true
	b.forget(f)
}

func (b *baseline) forget(f *flight) {
	if f.live == "" {
		delete(b.open, f.ID)
	}
}

func (b *baseline) place(f *flight) {
	if len(f.tried) < max(1, b.set.MaxAttempts) && b.now < f.Deadline-2*b.set.EventInterval {
		if name := b.choose(f); name != "" {
			f.tried, f.live = append(f.tried, name), name
			b.out[name]++
			b.acts = append(b.acts, standpoint.Action{Kind: standpoint.Send, Request: f.ID, Engine: name, Deadline: f.Deadline})
			return
		}
	}
	f.over = true
	b.acts = append(b.acts, standpoint.Action{Kind: standpoint.Fail, Request: f.ID})
	b.forget(f)
}

func (b *baseline) choose(f *flight) string {
	fit := make([]string, 0, len(b.names))
	for _, n := range b.names {
		if (f.Pool == 0 || b.pools[n] == f.Pool) && !slices.Contains(f.tried, n) {
			fit = append(fit, n)
		}
	}
	if len(fit) == 0 {
		return ""
	}
	least := func(cost func(string) float64) string {
		best, low := "", math.Inf(1)
		from := b.rng.IntN(len(fit)) // ties fall where chance has it
		for i := range fit {
			if n := fit[(from+i)%len(fit)]; cost(n) < low || best == "" {
				best, low = n, cost(n)
			}
		}
		return best
	}
	load := func(n string) float64 { return float64(b.out[n]) }
	switch b.kind {
	case "random":
		return fit[b.rng.IntN(len(fit))]
	case "round_robin":
		b.turn++
		return fit[b.turn%len(fit)]
	case "least_loaded":
		return least(load)
	case "two_choices":
		x, y := fit[b.rng.IntN(len(fit))], fit[b.rng.IntN(len(fit))]
		if load(y) < load(x) {
			return y
		}
		return x
	case "prefix":
		return b.bounded(f, fit)
	}
	return least(func(n string) float64 { return b.truth(n, &f.Request) })
}

// bounded is rendezvous hashing by the session, else the shared beginning, with bounded loads: a box that has more than
// its part is passed over.
func (b *baseline) bounded(f *flight, fit []string) string {
	key := f.Session
	if key == 0 {
		key = f.Prefix
	}
	total := 0
	for _, n := range fit {
		total += b.out[n]
	}
	most := int(math.Ceil(loadBound * float64(total+1) / float64(len(fit))))
	best, high := "", uint64(0)
	fallback, low := "", math.MaxInt
	for _, n := range fit {
		if b.out[n] < low {
			fallback, low = n, b.out[n]
		}
		if r := splitmix(key ^ xxhash.Sum64String(n)); b.out[n] < most && (best == "" || r > high) {
			best, high = n, r
		}
	}
	if best == "" {
		return fallback
	}
	return best
}

// truth is how long a request would wait for its first token at a box.
func (w *World) truth(name string, q *standpoint.Request) float64 {
	m := w.byName[name]
	if m == nil {
		return math.Inf(1)
	}
	return m.Wait(w.now, emulator.Job{Session: q.Session, Prefix: q.Prefix, Prompt: q.PromptTokens, Shared: q.PrefixTokens, Out: 100}) + float64(m.coming)*0.02
}

// policy makes the one of a node.
func (w *World) policy(set standpoint.Settings, seed int64) Policy {
	if w.Policy == "" || w.Policy == "module" {
		return standpoint.New(set, seed)
	}
	return newBaseline(w.Policy, set, seed, w.truth)
}

// Rate over time, where a setup has one in place of a steady rate.
type rateOver interface {
	Rate(at float64) float64
	Most() float64
}

// wait is the time to the next session.
func (w *World) wait(turns float64) float64 {
	if w.Pattern == nil {
		return w.rng.ExpFloat64() / (w.Rate * turns)
	}
	at, most := w.now, w.Pattern.Most()
	for at < w.now+float64(time.Hour/time.Second) {
		at += w.rng.ExpFloat64() / (most * turns)
		if w.rng.Float64()*most < w.Pattern.Rate(at) {
			break
		}
	}
	return at - w.now
}
