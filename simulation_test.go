package standpoint

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// simulation drives a router with random but legal events, and checks its actions against the four rules by records of
// its own.
type simulation struct {
	rng        *rand.Rand
	settings   Settings
	router     *Router
	now        int64
	nextID     int64
	engines    map[string]*Engine
	listedAt   map[string]int64 // when an engine was last listed
	requests   map[int64]*requestRecord
	order      []int64
	timers     []Action
	dueAt      []int64 // by the index in timers
	cold       map[string][]coldSend
	sends      int
	violations []string
}

// coldSend is a request that was sent to an engine which started at start.
type coldSend struct{ now, start int64 }

// requestRecord is what the simulation knows of a request.
type requestRecord struct {
	request  Request
	final    bool
	started  bool
	attempts []attemptRecord
	expires  int64
}

// attemptRecord is what it knows of an attempt: whether it is out, and whether the engine ran it.
type attemptRecord struct {
	engine Engine
	sent   int64
	out    bool
	ran    bool
}

func newSimulation(seed uint64, set Settings) *simulation {
	w := &simulation{
		rng:      rand.New(rand.NewPCG(seed, 3)),
		settings: set,
		now:      1000 * second,
		engines:  map[string]*Engine{},
		listedAt: map[string]int64{},
		requests: map[int64]*requestRecord{},
		cold:     map[string][]coldSend{},
	}
	w.router = New(set, int64(seed))
	for i := range 6 {
		w.engines[engineName(i)] = &Engine{
			Name: engineName(i),
			Zone: i % max(1, set.Zones),
			Kind: i % 2,
			Cell: i / 2,
			Size: 1,
		}
	}
	w.updateEngines(ListFull)
	return w
}

func (w *simulation) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *simulation) updateEngines(kind ListKind, only ...string) []Action {
	l := &EngineList{Kind: kind}
	for i := range 6 {
		e := w.engines[engineName(i)]
		if len(only) > 0 && only[0] != e.Name || kind == ListFull && e.State == Gone {
			continue
		}
		l.Engines = append(l.Engines, *e)
	}
	return w.handle(l)
}

// handle passes one event on and checks every action against the books.
func (w *simulation) handle(ev Event) []Action {
	acts := w.router.Handle(w.now, ev, nil)
	for _, a := range acts {
		switch a.Kind {
		case Timer:
			w.timers = append(w.timers, a)
			w.dueAt = append(w.dueAt, w.now+a.Wait)
		case Send:
			w.checkSend(a)
		case Shed, Fail:
			w.checkFinal(a)
		}
	}
	return acts
}

func (w *simulation) class(b *requestRecord) Class { return w.settings.Classes[b.request.Class] }

func (w *simulation) checkSend(a Action) {
	b, e := w.requests[a.Request], w.engines[a.Engine]
	if b == nil || b.final || b.started {
		w.violation("rule 1: send for a request that is over or begun")
		return
	}
	if e == nil || e.State != Ready && w.now > w.listedAt[a.Engine]+w.settings.DrainGrace {
		w.violation("rule 3: send to %s, told %v ago", a.Engine, w.now-w.listedAt[a.Engine])
		return
	}
	c := w.class(b)
	for _, l := range b.attempts {
		if l.out && !w.settings.SecondCopies {
			w.violation("rule 2: two copies out")
		}
		if (l.ran || l.out) && c.Effect == Unsafe {
			w.violation("rule 2: unsafe repeated")
		}
		if (l.ran || l.out) && c.Effect == Keyed && (!sameZoneOrCell(c.Group, l.engine, *e) ||
			w.now-l.sent >= c.Window) {
			w.violation("rule 2: keyed repeated outside its group or window")
		}
	}
	if len(b.attempts) >= w.settings.MaxAttempts {
		w.violation("more attempts than allowed")
	}
	if e.ReadyAt > 0 && w.now-e.ReadyAt < w.settings.WarmUp {
		w.cold[a.Engine] = append(w.cold[a.Engine], coldSend{w.now, e.ReadyAt})
	}
	w.sends++
	b.attempts = append(b.attempts, attemptRecord{engine: *e, sent: w.now, out: true})
}

func sameZoneOrCell(g Group, a, b Engine) bool {
	return g == GroupAll || g == GroupZone && a.Zone == b.Zone || g == GroupCell && a.Cell == b.Cell
}

func (w *simulation) checkFinal(a Action) {
	b := w.requests[a.Request]
	if b == nil || b.final {
		w.violation("rule 1: a second final answer")
		return
	}
	if a.Kind == Shed && w.class(b).Effect != Safe {
		for _, l := range b.attempts {
			if (l.ran || l.out) && !(w.class(b).Effect == Keyed && w.class(b).Group == GroupAll) {
				w.violation("rule 2: refused what may have run")
			}
		}
	}
	b.final = true
}

// step lets a few milliseconds pass with one random happening.
func (w *simulation) step(_ *testing.T) []Action {
	var all []Action
	w.now += w.rng.Int64N(12*ms) + ms
	for i := 0; i < len(w.timers); i++ {
		if w.dueAt[i] <= w.now {
			timer := w.timers[i]
			w.timers = append(w.timers[:i], w.timers[i+1:]...)
			w.dueAt = append(w.dueAt[:i], w.dueAt[i+1:]...)
			all = append(all, w.handle(&TimerFired{Token: timer.Token})...)
			i--
		}
	}
	for _, id := range w.order {
		b := w.requests[id]
		if b != nil && !b.final && !b.started && w.now > b.expires+16*ms {
			w.violation("rule 1: request %d has no answer by its deadline", id)
			b.final = true
		}
	}
	switch k := w.rng.IntN(100); {
	case k < 45:
		w.nextID++
		b := &requestRecord{expires: w.now + 50*ms + w.rng.Int64N(2*second)}
		b.request = Request{ID: w.nextID, Deadline: b.expires, Class: w.rng.IntN(len(w.settings.Classes)),
			Session: w.rng.Uint64N(40), Prefix: w.rng.Uint64N(5), PromptTokens: float64(w.rng.IntN(5000)),
			PrefixTokens: float64(w.rng.IntN(3000)), MaxTokens: float64(w.rng.IntN(500))}
		w.requests[w.nextID] = b
		w.order = append(w.order, w.nextID)
		all = append(all, w.handle(&b.request)...)
	case k < 95:
		all = append(all, w.outcome()...)
	case k < 96:
		e := w.engines[engineName(w.rng.IntN(6))]
		e.State = State(w.rng.IntN(3))
		if e.State == Ready {
			e.ReadyAt = w.now
		} else {
			w.listedAt[e.Name] = w.now
		}
		all = append(all, w.updateEngines(ListDelta, e.Name)...)
	case k < 98:
		all = append(all, w.updateEngines(ListFull)...)
	default:
		all = append(all, w.handle(&EngineList{Kind: ListFailed})...)
	}
	return all
}

// outcome moves one attempt on: a first token, an end, or a client that leaves.
func (w *simulation) outcome() []Action {
	if len(w.order) == 0 {
		return nil
	}
	id := w.order[max(0, len(w.order)-1-w.rng.IntN(60))]
	b := w.requests[id]
	if b == nil {
		return nil
	}
	var out []int
	for i, l := range b.attempts {
		if l.out {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		return nil
	}
	i := out[w.rng.IntN(len(out))]
	l := &b.attempts[i]
	if !b.final && !b.started && w.rng.IntN(3) == 0 {
		b.started = true
		return w.handle(&FirstToken{Request: id, Attempt: i, Elapsed: w.now - l.sent})
	}
	if w.rng.IntN(40) == 0 && !b.final {
		b.final = true
		return w.handle(&ClientDisconnected{Request: id})
	}
	l.out = false
	code := OutcomeCode(w.rng.IntN(8))
	l.ran = !code.NeverRan()
	last := b.final
	if code == Served && !b.final || b.started {
		last, b.final = true, true
	}
	return w.handle(&Outcome{Request: id, Attempt: i, Code: code, Last: last, Engine: l.engine.Name,
		Elapsed: w.now - l.sent, CachedTokens: float64(w.rng.IntN(3000)),
		Report: &Report{MemoryUsage: w.rng.Float64(), PrefillBacklog: w.rng.Float64() * 20, SlotUsage: w.rng.Float64()}})
}

// allEffects has a class for every effect and group.
func allEffects() Settings {
	s := testSettings()
	s.Zones, s.MaxAttempts, s.CrossZonePrice = 2, 5, 0.05
	s.WarmUp, s.OverloadWindow = 2*second, second
	c := s.Classes[0]
	s.Classes = nil
	for _, e := range []Effect{Safe, Keyed, Unsafe} {
		for _, g := range []Group{GroupAll, GroupZone, GroupCell} {
			c.Effect, c.Group, c.Window = e, g, 300*ms
			s.Classes = append(s.Classes, c)
		}
	}
	return s
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		s := allEffects()
		s.SecondCopies = seed%2 == 0
		s.Cancel = seed%3 != 0
		s.SubscribeDiscovery = seed%4 == 0
		s.Probes = seed%5 == 0
		s.Reports = ReportMode(seed % 3)
		w := newSimulation(seed, s)
		for range 6000 {
			w.step(t)
			if len(w.violations) > 0 {
				t.Fatalf("seed %d: %s", seed, strings.Join(w.violations, "; "))
			}
		}
		if w.sends < 200 {
			t.Fatalf("seed %d: only %d sends, the test shows nothing", seed, w.sends)
		}
		// What an engine can do when warm: its part of the traffic, at half load.
		can := 2 * float64(len(w.requests)) / 6 / seconds(w.now-1000*second)
		for engine, times := range w.cold {
			for i := range times {
				n := 0
				for _, at := range times[i:] {
					if at.now-times[i].now < s.OverloadWindow {
						n++
					}
				}
				share := s.ColdCapacityFraction + (1-s.ColdCapacityFraction)*min(1, seconds(times[i].now-times[i].start)/seconds(s.WarmUp))
				if edge := can * share * s.OverloadFactor * seconds(s.OverloadWindow); float64(n) > edge+1 { // one for chance
					t.Fatalf("seed %d: rule 4: %d sends to cold %s in a fall window, edge %.1f", seed, n, engine, edge)
				}
			}
		}
		w.checkBounded(t)
	}
}

// checkBounded ends every attempt and sees that nothing of the past is held.
func (w *simulation) checkBounded(t *testing.T) {
	for _, id := range w.order {
		b := w.requests[id]
		for i := 0; i < len(b.attempts); i++ { // an end may bring a further attempt
			if b.attempts[i].out {
				b.attempts[i].out = false
				w.handle(
					&Outcome{Request: id, Attempt: i, Code: NotSent, Last: b.final, Engine: b.attempts[i].engine.Name},
				)
			}
		}
		w.handle(&ClientDisconnected{Request: id})
	}
	w.handle(&TimerFired{Token: tokenTick})
	if len(w.router.requests) != 0 || len(w.router.queued) != 0 {
		t.Fatalf("%d requests and %d held remain", len(w.router.requests), len(w.router.queued))
	}
	for _, e := range w.router.engines {
		if e.attemptsInFlight != 0 || len(e.unanswered) != 0 {
			t.Fatalf("%s: %d out, %d waiting remain", e.Name, e.attemptsInFlight, len(e.unanswered))
		}
	}
	if n := len(w.router.matchTable[0]) + len(w.router.matchTable[1]); n > 2*matchTableSize {
		t.Fatalf("match table of %d entries", n)
	}
}

// decisionFiles are the files that hold the decisions, as the deploy file lists them.
func decisionFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(text)
	if list == nil {
		t.Fatal("the deploy file names no policy")
	}
	return strings.Split(strings.NewReplacer(`"`, "", " ", "").Replace(string(list[1])), ",")
}

// Every file of decisions is short, and so are its lines. None that decides is missing from the deploy file.
func TestModuleStaysReadable(t *testing.T) {
	const linesMost, widthMost = 450, 110
	listed := decisionFiles(t)
	for _, name := range listed {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		for i, l := range lines {
			if n := len([]rune(strings.ReplaceAll(l, "\t", "    "))); n > widthMost {
				t.Errorf("%s:%d is %d characters long", name, i+1, n)
			}
		}
		if len(lines) > linesMost {
			t.Errorf("%s has %d lines, %d at most", name, len(lines), linesMost)
		}
	}
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	noDecisions := []string{"api.go", "hash.go", "learned_state.go", "regression.go"}
	for _, name := range all {
		if !strings.HasSuffix(name, "_test.go") && !slices.Contains(noDecisions, name) &&
			!slices.Contains(listed, name) {
			t.Errorf("%s is not listed as policy", name)
		}
	}
}

// Where servers tell how long answers were, the pace of each is learned from its own, long answers or short.
func TestReportedTokenCountsTeachPace(t *testing.T) {
	set := testSettings()
	set.SecondCopies, set.Gateways = false, 1
	r := New(set, 1)
	feed(r, second, engineList("fast", "slow"))
	now, id := second, int64(0)
	for range 12 {
		for name, gap := range map[string]int64{"fast": 10 * ms, "slow": 45 * ms} {
			id++
			now += 5 * second
			q := &request{Request: *newRequest(id, now+9*second)}
			r.now, r.requests[id] = now, q
			r.send(q, &option{engine: r.engines[name], features: featureVector{1}})
			feed(r, now+100*ms, &FirstToken{Request: id, Elapsed: 100 * ms})
			tokens := 20 + id%3*40
			feed(r, now+4*second, &Outcome{Request: id, Last: true, Engine: name, OutputTokens: float64(tokens),
				Elapsed: 100*ms + tokens*gap})
		}
	}
	q := &request{Request: *newRequest(999, now+9*second)}
	for name, gap := range map[string]float64{"fast": 0.010, "slow": 0.045} {
		o := option{engine: r.engines[name]}
		if r.predict(q, &o); o.tpot < gap*0.6 || o.tpot > gap*1.7 {
			t.Errorf("%s: %.3f s between tokens predicted, are %.3f", name, o.tpot, gap)
		}
	}
}

// One lost connection is not the engine's end, but errors in a row have it left out until a trial.
func TestConsecutiveErrorsEjectEngine(t *testing.T) {
	set := testSettings()
	set.SecondCopies, set.Gateways = false, 1
	r := New(set, 1)
	feed(r, second, engineList("a", "b", "c"))
	a := r.engines["a"]
	for i, code := range []OutcomeCode{ConnectionLost, Rejected, ServerError} {
		q := &request{Request: *newRequest(int64(i+1), 9*second)}
		r.requests[q.ID] = q
		r.send(q, &option{engine: a})
		feed(r, second, &Outcome{Request: q.ID, Code: code, Engine: "a"})
		if shut := r.isExcluded(a, false); shut != (i > 0) {
			t.Fatalf("left out after %d: %v", i+1, shut)
		}
	}
	r.now += trialInterval
	if r.isExcluded(a, false) {
		t.Fatal("no trial")
	}
}

// New settings keep what was learned where they can, and a class that is gone is no fault for what is open.
func TestAdjustKeepsLearnedState(t *testing.T) {
	set := testSettings()
	set.Classes = append(set.Classes, set.Classes[0])
	set.Tenants = []Tenant{{Share: 1, QuotaRPS: 1}}
	r := New(set, 1)
	feed(r, second, engineList("a", "b"))
	q := newRequest(1, 5*second)
	q.Class = 1
	expect(t, feed(r, second, q), "send ")
	r.sessionGain[0], r.ttftModels[0].coefficients[0] = 0.9, 7
	set.Tenants[0].QuotaRPS = 5
	r.UpdateSettings(set)
	if r.sessionGain[0] != 0.9 || r.ttftModels[0].coefficients[0] != 7 || r.settings.Tenants[0].QuotaRPS != 5 {
		t.Fatal("what was learned is lost, or the new figure not taken")
	}
	set.Classes, set.Tenants, set.Kinds = set.Classes[:1], nil, 1
	r.UpdateSettings(set)
	e := feed(r, second, newRequest(2, 5*second))
	expect(t, e, "send ")
	feed(r, 2*second, &FirstToken{Request: 1, Elapsed: second}, &Outcome{Request: 1, Last: true, Engine: e[0].Engine})
	if len(r.requests) != 1 || len(r.ttftModels) != 2 || len(r.sessionGain) != 2 {
		t.Fatalf("%d open, %d models, %d gains", len(r.requests), len(r.ttftModels), len(r.sessionGain))
	}
}
