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

// Policy decides at a node: the decision module, or a policy that it is compared with.
type Policy interface {
	Handle(now int64, ev standpoint.Event, acts []standpoint.Action) []standpoint.Action
}

// Policies are the names of all policies.
var Policies = []string{"module", "random", "round_robin", "least_loaded", "two_choices", "prefix", "ceiling"}

// baseline is a common load-balancing policy to compare the module with. It sends each request at once, retries failed
// attempts on other backends, up to three attempts in all, and fails a request without a further backend. It never
// rejects a request.
type baseline struct {
	kind         string
	settings     standpoint.Settings
	rng          *rand.Rand
	ready        []string // names of the ready backends, sorted
	pools        map[string]int
	inFlight     map[string]int // number of this node's attempts in flight, by backend
	openRequests map[int64]*baselineRequest
	lastIndex    int
	now          int64
	actions      []standpoint.Action
	// trueWait returns, for the policy "ceiling", the true time to first token, in seconds
	trueWait func(name string, q *standpoint.Request) float64
}

// baselineRequest is an open request of a baseline policy.
type baselineRequest struct {
	standpoint.Request
	attempted      []string
	current        string
	firstTokenSeen bool
	finished       bool
}

const (
	expireToken   = 1
	maxLoadFactor = 1.25 // for the policy "prefix": largest load of a backend over the mean load (bounded loads)
)

func newBaseline(kind string, settings standpoint.Settings, seed int64,
	trueWait func(string, *standpoint.Request) float64) *baseline {
	return &baseline{kind: kind, settings: settings, rng: rand.New(rand.NewPCG(uint64(seed), 0xba5e)),
		pools: map[string]int{}, inFlight: map[string]int{},
		openRequests: map[int64]*baselineRequest{}, trueWait: trueWait}
}

// Handle implements Policy.
func (b *baseline) Handle(now int64, ev standpoint.Event, acts []standpoint.Action) []standpoint.Action {
	b.now, b.actions = now, acts
	switch ev := ev.(type) {
	case *standpoint.EngineList:
		b.updateList(ev)
	case *standpoint.Request:
		req := &baselineRequest{Request: *ev}
		b.openRequests[ev.ID] = req
		b.actions = append(b.actions, standpoint.Action{Kind: standpoint.Timer,
			Wait: max(0, ev.Deadline-now-2*b.settings.EventInterval), Token: ev.ID*4 + expireToken})
		b.dispatch(req)
	case *standpoint.FirstToken:
		if req := b.openRequests[ev.Request]; req != nil {
			req.firstTokenSeen = true
		}
	case *standpoint.Outcome:
		b.outcome(ev)
	case *standpoint.ClientDisconnected:
		if req := b.openRequests[ev.Request]; req != nil {
			req.finished = true
		}
	case *standpoint.TimerFired:
		if req := b.openRequests[ev.Token/4]; req != nil && !req.firstTokenSeen && !req.finished {
			req.finished = true
			if req.current != "" {
				b.actions = append(b.actions, standpoint.Action{Kind: standpoint.Cancel, Request: req.ID,
					Attempt: len(req.attempted) - 1})
			}
			b.actions = append(b.actions, standpoint.Action{Kind: standpoint.Fail, Request: req.ID})
			b.removeIfFinished(req)
		}
	}
	acts, b.actions = b.actions, nil
	return acts
}

// updateList processes an endpoint list.
func (b *baseline) updateList(l *standpoint.EngineList) {
	ready := map[string]bool{}
	if l.Kind != standpoint.ListFull {
		for _, n := range b.ready {
			ready[n] = true
		}
	}
	for _, e := range l.Engines {
		ready[e.Name] = e.State == standpoint.Ready
		b.pools[e.Name] = e.Pool
	}
	b.ready = b.ready[:0]
	for n, ok := range ready {
		if ok {
			b.ready = append(b.ready, n)
		}
	}
	slices.Sort(b.ready)
}

// outcome processes the end of an attempt: a request that failed before its first token gets another attempt.
func (b *baseline) outcome(ev *standpoint.Outcome) {
	req := b.openRequests[ev.Request]
	if req == nil {
		return
	}
	if req.current != "" && ev.Attempt == len(req.attempted)-1 {
		b.inFlight[req.current]--
		req.current = ""
	}
	if !req.finished && !req.firstTokenSeen && ev.Code != standpoint.Served {
		b.dispatch(req)
		return
	}
	req.finished = true
	b.removeIfFinished(req)
}

// removeIfFinished removes a request without an attempt in flight.
func (b *baseline) removeIfFinished(req *baselineRequest) {
	if req.current == "" {
		delete(b.openRequests, req.ID)
	}
}

// dispatch sends a request's next attempt, or fails the request if no attempt, time or backend is left.
func (b *baseline) dispatch(req *baselineRequest) {
	if len(req.attempted) < max(1, b.settings.MaxAttempts) && b.now < req.Deadline-2*b.settings.EventInterval {
		if name := b.choose(req); name != "" {
			req.attempted, req.current = append(req.attempted, name), name
			b.inFlight[name]++
			b.actions = append(b.actions, standpoint.Action{Kind: standpoint.Send, Request: req.ID, Engine: name,
				Deadline: req.Deadline})
			return
		}
	}
	req.finished = true
	b.actions = append(b.actions, standpoint.Action{Kind: standpoint.Fail, Request: req.ID})
	b.removeIfFinished(req)
}

// choose returns the backend for a request's next attempt, or "" if none is left.
func (b *baseline) choose(req *baselineRequest) string {
	candidates := make([]string, 0, len(b.ready))
	for _, n := range b.ready {
		if (req.Pool == 0 || b.pools[n] == req.Pool) && !slices.Contains(req.attempted, n) {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	cheapest := func(cost func(string) float64) string {
		best, lowest := "", math.Inf(1)
		from := b.rng.IntN(len(candidates)) // breaks ties at random
		for i := range candidates {
			if n := candidates[(from+i)%len(candidates)]; cost(n) < lowest || best == "" {
				best, lowest = n, cost(n)
			}
		}
		return best
	}
	load := func(n string) float64 { return float64(b.inFlight[n]) }
	switch b.kind {
	case "random":
		return candidates[b.rng.IntN(len(candidates))]
	case "round_robin":
		b.lastIndex++
		return candidates[b.lastIndex%len(candidates)]
	case "least_loaded":
		return cheapest(load)
	case "two_choices":
		x, y := candidates[b.rng.IntN(len(candidates))], candidates[b.rng.IntN(len(candidates))]
		if load(y) < load(x) {
			return y
		}
		return x
	case "prefix":
		return b.boundedHash(req, candidates)
	}
	return cheapest(func(n string) float64 { return b.trueWait(n, &req.Request) })
}

// boundedHash chooses by rendezvous hashing of the session, or of the shared prefix without a session, with bounded
// loads: it passes over backends whose load is at maxLoadFactor times the mean.
func (b *baseline) boundedHash(req *baselineRequest, candidates []string) string {
	key := req.Session
	if key == 0 {
		key = req.Prefix
	}
	total := 0
	for _, n := range candidates {
		total += b.inFlight[n]
	}
	maxLoad := int(math.Ceil(maxLoadFactor * float64(total+1) / float64(len(candidates))))
	best, bestHash := "", uint64(0)
	fallback, fallbackLoad := "", math.MaxInt
	for _, n := range candidates {
		if b.inFlight[n] < fallbackLoad {
			fallback, fallbackLoad = n, b.inFlight[n]
		}
		if r := splitmix(key ^ xxhash.Sum64String(n)); b.inFlight[n] < maxLoad && (best == "" || r > bestHash) {
			best, bestHash = n, r
		}
	}
	if best == "" {
		return fallback
	}
	return best
}

// trueWait returns how long a request would wait for its first token at a backend, in seconds.
func (sim *Simulation) trueWait(name string, q *standpoint.Request) float64 {
	b := sim.backendsByName[name]
	if b == nil {
		return math.Inf(1)
	}
	return b.ExpectedWait(sim.now, emulator.Job{Session: q.Session, Prefix: q.Prefix, Prompt: q.PromptTokens,
		PrefixTokens: q.PrefixTokens, OutputTokens: 100}) + float64(b.inTransit)*0.02
}

// newPolicy returns the policy of a node.
func (sim *Simulation) newPolicy(settings standpoint.Settings, seed int64) Policy {
	if sim.Policy == "" || sim.Policy == "module" {
		return standpoint.New(settings, seed)
	}
	return newBaseline(sim.Policy, settings, seed, sim.trueWait)
}

// ratePattern is a rate of requests over time, with its maximum.
type ratePattern interface {
	Rate(at float64) float64
	MaxRate() float64
}

// nextSessionDelay returns the time until the next session, in seconds.
func (sim *Simulation) nextSessionDelay(sessionsPerRequest float64) float64 {
	if sim.Pattern == nil {
		return sim.rng.ExpFloat64() / (sim.Rate * sessionsPerRequest)
	}
	at, maxRate := sim.now, sim.Pattern.MaxRate()
	for at < sim.now+float64(time.Hour/time.Second) {
		at += sim.rng.ExpFloat64() / (maxRate * sessionsPerRequest)
		if sim.rng.Float64()*maxRate < sim.Pattern.Rate(at) {
			break
		}
	}
	return at - sim.now
}
