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

// simulation drives a router with random but legal events, and checks its actions against the rules of the decision
// module by records of its own:
//
//	rule 1: each request gets exactly one final response, by its deadline
//	rule 2: a request is repeated only where its class's effect, group and window permit that
//	rule 3: nothing is sent to an engine that was withdrawn more than the drain grace ago
//	rule 4: a starting engine is not sent more than the overload factor times its capacity
type simulation struct {
	rng            *rand.Rand
	settings       Settings
	router         *Router
	now            int64
	nextID         int64
	engines        map[string]*Engine
	withdrawnAt    map[string]int64 // when an engine was last listed as draining or removed
	requests       map[int64]*requestRecord
	requestIDs     []int64
	timers         []Action
	dueAt          []int64 // due times of timers, by the same index
	slowStartSends map[string][]slowStartSend
	sends          int
	violations     []string
}

// slowStartSend is a request that was sent, during its warm-up, to an engine which started at startedAt.
type slowStartSend struct{ at, startedAt int64 }

// requestRecord is what the simulation knows of a request.
type requestRecord struct {
	request   Request
	answered  bool
	streaming bool
	attempts  []attemptRecord
	deadline  int64
}

// attemptRecord is what the simulation knows of an attempt.
type attemptRecord struct {
	engine   Engine
	sent     int64
	inFlight bool
	ran      bool // the engine may have run it
}

// newSimulation returns a simulation whose router has received a list of six ready engines.
func newSimulation(seed uint64, settings Settings) *simulation {
	sim := &simulation{
		rng:            rand.New(rand.NewPCG(seed, 3)),
		settings:       settings,
		now:            1000 * second,
		engines:        map[string]*Engine{},
		withdrawnAt:    map[string]int64{},
		requests:       map[int64]*requestRecord{},
		slowStartSends: map[string][]slowStartSend{},
	}
	sim.router = New(settings, int64(seed))
	for i := range 6 {
		sim.engines[engineName(i)] = &Engine{
			Name: engineName(i),
			Zone: i % max(1, settings.Zones),
			Kind: i % 2,
			Cell: i / 2,
			Size: 1,
		}
	}
	sim.updateEngines(ListFull)
	return sim
}

func (sim *simulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// updateEngines passes an engine list to the router: of all engines, or of the first name alone if there is one.
func (sim *simulation) updateEngines(kind ListKind, names ...string) []Action {
	list := &EngineList{Kind: kind}
	for i := range 6 {
		e := sim.engines[engineName(i)]
		if len(names) > 0 && names[0] != e.Name || kind == ListFull && e.State == Removed {
			continue
		}
		list.Engines = append(list.Engines, *e)
	}
	return sim.handle(list)
}

// handle passes one event to the router and checks every action against the records.
func (sim *simulation) handle(ev Event) []Action {
	actions := sim.router.Handle(sim.now, ev, nil)
	for _, a := range actions {
		switch a.Kind {
		case Timer:
			sim.timers = append(sim.timers, a)
			sim.dueAt = append(sim.dueAt, sim.now+a.Wait)
		case Send:
			sim.checkSend(a)
		case Shed, Fail:
			sim.checkFinal(a)
		}
	}
	return actions
}

func (sim *simulation) class(record *requestRecord) Class {
	return sim.settings.Classes[record.request.Class]
}

// checkSend checks a send against all rules but the fourth, for which it records sends to starting engines.
func (sim *simulation) checkSend(a Action) {
	record, e := sim.requests[a.Request], sim.engines[a.Engine]
	if record == nil || record.answered || record.streaming {
		sim.violation("rule 1: send for a request that is unknown, over or streaming")
		return
	}
	if e == nil || e.State != Ready && sim.now > sim.withdrawnAt[a.Engine]+sim.settings.DrainGrace {
		sim.violation("rule 3: send to %s, withdrawn %v ns ago", a.Engine, sim.now-sim.withdrawnAt[a.Engine])
		return
	}
	c := sim.class(record)
	for _, previous := range record.attempts {
		if previous.inFlight && !sim.settings.HedgedRequests {
			sim.violation("rule 2: two attempts of a request in flight")
		}
		if (previous.ran || previous.inFlight) && c.Effect == Unsafe {
			sim.violation("rule 2: unsafe request repeated")
		}
		if (previous.ran || previous.inFlight) && c.Effect == Keyed &&
			(!sameZoneOrCell(c.DedupScope, previous.engine, *e) || sim.now-previous.sent >= c.DedupWindow) {
			sim.violation("rule 2: keyed request repeated outside its group or window")
		}
	}
	if len(record.attempts) >= sim.settings.MaxAttempts {
		sim.violation("a request has more attempts than allowed")
	}
	if e.StartedAt > 0 && sim.now-e.StartedAt < sim.settings.WarmUp {
		sim.slowStartSends[a.Engine] = append(sim.slowStartSends[a.Engine], slowStartSend{sim.now, e.StartedAt})
	}
	sim.sends++
	record.attempts = append(record.attempts, attemptRecord{engine: *e, sent: sim.now, inFlight: true})
}

// sameZoneOrCell reports whether both engines are in the same group, by an implementation other than the router's.
func sameZoneOrCell(g Group, a, b Engine) bool {
	return g == GroupAll || g == GroupZone && a.Zone == b.Zone || g == GroupCell && a.Cell == b.Cell
}

// checkFinal checks a final response against rules 1 and 2.
func (sim *simulation) checkFinal(a Action) {
	record := sim.requests[a.Request]
	if record == nil || record.answered {
		sim.violation("rule 1: a second final response to a request")
		return
	}
	if a.Kind == Shed && sim.class(record).Effect != Safe {
		for _, previous := range record.attempts {
			if (previous.ran || previous.inFlight) &&
				!(sim.class(record).Effect == Keyed && sim.class(record).DedupScope == GroupAll) {
				sim.violation("rule 2: request shed though it may have run")
			}
		}
	}
	record.answered = true
}

// step lets a few milliseconds pass, fires the timers that are due, and causes one random event.
func (sim *simulation) step(_ *testing.T) []Action {
	var all []Action
	sim.now += sim.rng.Int64N(12*ms) + ms
	for i := 0; i < len(sim.timers); i++ {
		if sim.dueAt[i] <= sim.now {
			timer := sim.timers[i]
			sim.timers = append(sim.timers[:i], sim.timers[i+1:]...)
			sim.dueAt = append(sim.dueAt[:i], sim.dueAt[i+1:]...)
			all = append(all, sim.handle(&TimerFired{Token: timer.Token})...)
			i--
		}
	}
	for _, id := range sim.requestIDs {
		record := sim.requests[id]
		if record != nil && !record.answered && !record.streaming && sim.now > record.deadline+16*ms {
			sim.violation("rule 1: request %d has no response by its deadline", id)
			record.answered = true
		}
	}
	switch dice := sim.rng.IntN(100); {
	case dice < 45:
		sim.nextID++
		record := &requestRecord{deadline: sim.now + 50*ms + sim.rng.Int64N(2*second)}
		record.request = Request{ID: sim.nextID, Deadline: record.deadline,
			Class:   sim.rng.IntN(len(sim.settings.Classes)),
			Session: sim.rng.Uint64N(40), Prefix: sim.rng.Uint64N(5), PromptTokens: float64(sim.rng.IntN(5000)),
			PrefixTokens: float64(sim.rng.IntN(3000)), MaxTokens: float64(sim.rng.IntN(500))}
		sim.requests[sim.nextID] = record
		sim.requestIDs = append(sim.requestIDs, sim.nextID)
		all = append(all, sim.handle(&record.request)...)
	case dice < 95:
		all = append(all, sim.outcome()...)
	case dice < 96:
		e := sim.engines[engineName(sim.rng.IntN(6))]
		e.State = State(sim.rng.IntN(3))
		if e.State == Ready {
			e.StartedAt = sim.now
		} else {
			sim.withdrawnAt[e.Name] = sim.now
		}
		all = append(all, sim.updateEngines(ListDelta, e.Name)...)
	case dice < 98:
		all = append(all, sim.updateEngines(ListFull)...)
	default:
		all = append(all, sim.handle(&EngineList{Kind: ListFailed})...)
	}
	return all
}

// outcome advances one random attempt in flight: by a first token, its end, or a disconnect of its client.
func (sim *simulation) outcome() []Action {
	if len(sim.requestIDs) == 0 {
		return nil
	}
	id := sim.requestIDs[max(0, len(sim.requestIDs)-1-sim.rng.IntN(60))]
	record := sim.requests[id]
	if record == nil {
		return nil
	}
	var inFlight []int
	for i, attempted := range record.attempts {
		if attempted.inFlight {
			inFlight = append(inFlight, i)
		}
	}
	if len(inFlight) == 0 {
		return nil
	}
	i := inFlight[sim.rng.IntN(len(inFlight))]
	attempted := &record.attempts[i]
	if !record.answered && !record.streaming && sim.rng.IntN(3) == 0 {
		record.streaming = true
		return sim.handle(&FirstToken{Request: id, Attempt: i, Elapsed: sim.now - attempted.sent})
	}
	if sim.rng.IntN(40) == 0 && !record.answered {
		record.answered = true
		return sim.handle(&ClientDisconnected{Request: id})
	}
	attempted.inFlight = false
	code := OutcomeCode(sim.rng.IntN(8))
	attempted.ran = !code.NeverRan()
	last := record.answered
	if code == Served && !record.answered || record.streaming {
		last, record.answered = true, true
	}
	return sim.handle(&Outcome{Request: id, Attempt: i, Code: code, Last: last, Engine: attempted.engine.Name,
		Elapsed: sim.now - attempted.sent, CachedTokens: float64(sim.rng.IntN(3000)),
		Report: &Report{MemoryUsage: sim.rng.Float64(), PrefillBacklog: sim.rng.Float64() * 20,
			SlotUsage: sim.rng.Float64()}})
}

// allEffects returns settings with a class for every combination of effect and group.
func allEffects() Settings {
	s := testSettings()
	s.Zones, s.MaxAttempts, s.CrossZonePrice = 2, 5, 0.05
	s.WarmUp, s.OverloadWindow = 2*second, second
	c := s.Classes[0]
	s.Classes = nil
	for _, e := range []Effect{Safe, Keyed, Unsafe} {
		for _, g := range []Group{GroupAll, GroupZone, GroupCell} {
			c.Effect, c.DedupScope, c.DedupWindow = e, g, 300*ms
			s.Classes = append(s.Classes, c)
		}
	}
	return s
}

// The router keeps the rules under random events, with and without hedged attempts, cancellation, subscriptions, probes
// and load reports.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		s := allEffects()
		s.HedgedRequests = seed%2 == 0
		s.Cancel = seed%3 != 0
		s.SubscribeDiscovery = seed%4 == 0
		s.Probes = seed%5 == 0
		s.Reports = ReportMode(seed % 3)
		sim := newSimulation(seed, s)
		for range 6000 {
			sim.step(t)
			if len(sim.violations) > 0 {
				t.Fatalf("seed %d: %s", seed, strings.Join(sim.violations, "; "))
			}
		}
		if sim.sends < 200 {
			t.Fatalf("seed %d: %d sends, want at least 200 for the test to show anything", seed, sim.sends)
		}
		// Requests a second that a warm engine can serve: twice its share of the traffic, as the fleet is at half load.
		warmRate := 2 * float64(len(sim.requests)) / 6 / seconds(sim.now-1000*second)
		for engine, sends := range sim.slowStartSends {
			for i := range sends {
				n := 0
				for _, send := range sends[i:] {
					if send.at-sends[i].at < s.OverloadWindow {
						n++
					}
				}
				capacity := s.ColdCapacityFraction + (1-s.ColdCapacityFraction)*
					min(1, seconds(sends[i].at-sends[i].startedAt)/seconds(s.WarmUp))
				// One more than the limit may be chance.
				if limit := warmRate * capacity * s.OverloadFactor * seconds(s.OverloadWindow); float64(n) > limit+1 {
					t.Fatalf("seed %d: rule 4: %d sends to starting %s in an overload window, limit %.1f",
						seed, n, engine, limit)
				}
			}
		}
		sim.checkBounded(t)
	}
}

// checkBounded ends every attempt and checks that the router then stores no requests or attempts, and a match table of
// bounded size.
func (sim *simulation) checkBounded(t *testing.T) {
	for _, id := range sim.requestIDs {
		record := sim.requests[id]
		for i := 0; i < len(record.attempts); i++ { // the end of an attempt may cause another one
			if record.attempts[i].inFlight {
				record.attempts[i].inFlight = false
				sim.handle(
					&Outcome{Request: id, Attempt: i, Code: NotSent, Last: record.answered,
						Engine: record.attempts[i].engine.Name},
				)
			}
		}
		sim.handle(&ClientDisconnected{Request: id})
	}
	sim.handle(&TimerFired{Token: tokenTick})
	if len(sim.router.requests) != 0 || len(sim.router.queued) != 0 {
		t.Fatalf("%d requests and %d queued ones remain", len(sim.router.requests), len(sim.router.queued))
	}
	for _, e := range sim.router.engines {
		if e.attemptsInFlight != 0 || len(e.awaitingFirstToken) != 0 {
			t.Fatalf("%s: %d attempts in flight, %d waiting for a first token remain",
				e.Name, e.attemptsInFlight, len(e.awaitingFirstToken))
		}
	}
	if n := len(sim.router.matchTable[0]) + len(sim.router.matchTable[1]); n > 2*matchTableSize {
		t.Fatalf("match table has %d entries, want at most two generations", n)
	}
}

// decisionFiles returns the names of the files that make the decisions, as deploy/balancer.toml lists them.
func decisionFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	policyLine := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(text)
	if policyLine == nil {
		t.Fatal("deploy/balancer.toml: no policy line")
	}
	return strings.Split(strings.NewReplacer(`"`, "", " ", "").Replace(string(policyLine[1])), ",")
}

// The files that make decisions stay readable: they have short lines and not too many of them. None is missing from the
// list in deploy/balancer.toml.
func TestModuleStaysReadable(t *testing.T) {
	const maxLines, maxWidth = 450, 110
	listed := decisionFiles(t)
	for _, name := range listed {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		for i, line := range lines {
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > maxWidth {
				t.Errorf("%s:%d has %d columns, want at most maxWidth", name, i+1, width)
			}
		}
		if len(lines) > maxLines {
			t.Errorf("%s has %d lines, want at most %d", name, len(lines), maxLines)
		}
	}
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	notPolicy := []string{"api.go", "hash.go", "learned_state.go", "regression.go"}
	for _, name := range all {
		if !strings.HasSuffix(name, "_test.go") && !slices.Contains(notPolicy, name) &&
			!slices.Contains(listed, name) {
			t.Errorf("%s is missing from policy in deploy/balancer.toml", name)
		}
	}
}

// Where engines report the number of output tokens, the TPOT of each is learned from its own responses, whether these
// are long or short.
func TestReportedOutputLengthsTeachTPOT(t *testing.T) {
	s := testSettings()
	s.HedgedRequests, s.Gateways = false, 1
	r := New(s, 1)
	feed(r, second, engineList("fast", "slow"))
	now, id := second, int64(0)
	for range 12 {
		for name, tpot := range map[string]int64{"fast": 10 * ms, "slow": 45 * ms} {
			id++
			now += 5 * second
			q := &request{Request: *newRequest(id, now+9*second)}
			r.now, r.requests[id] = now, q
			r.send(q, &option{engine: r.engines[name], features: featureVector{1}})
			feed(r, now+100*ms, &FirstToken{Request: id, Elapsed: 100 * ms})
			tokens := 20 + id%3*40
			feed(r, now+4*second, &Outcome{Request: id, Last: true, Engine: name, OutputTokens: float64(tokens),
				Elapsed: 100*ms + tokens*tpot})
		}
	}
	q := &request{Request: *newRequest(999, now+9*second)}
	for name, tpot := range map[string]float64{"fast": 0.010, "slow": 0.045} {
		o := option{engine: r.engines[name]}
		if r.predict(q, &o); o.tpot < tpot*0.6 || o.tpot > tpot*1.7 {
			t.Errorf("%s: TPOT %.3f s predicted, measured %.3f s", name, o.tpot, tpot)
		}
	}
}

// One lost connection does not exclude an engine. A second error in a row does, until a trial is due.
func TestConsecutiveErrorsExcludeEngine(t *testing.T) {
	s := testSettings()
	s.HedgedRequests, s.Gateways = false, 1
	r := New(s, 1)
	feed(r, second, engineList("a", "b", "c"))
	a := r.engines["a"]
	for i, code := range []OutcomeCode{ConnectionLost, Rejected, ServerError} {
		q := &request{Request: *newRequest(int64(i+1), 9*second)}
		r.requests[q.ID] = q
		r.send(q, &option{engine: a})
		feed(r, second, &Outcome{Request: q.ID, Code: code, Engine: "a"})
		if excluded := r.isExcluded(a, false); excluded != (i > 0) {
			t.Fatalf("excluded after %d errors: %v", i+1, excluded)
		}
	}
	r.now += trialInterval
	if r.isExcluded(a, false) {
		t.Fatal("excluded though a trial is due")
	}
}

// New settings keep what was learned where classes, kinds and tenants stay the same. Open requests of a class that was
// removed still end.
func TestUpdateSettingsKeepsLearnedState(t *testing.T) {
	s := testSettings()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Tenants = []Tenant{{Share: 1, QuotaRPS: 1}}
	r := New(s, 1)
	feed(r, second, engineList("a", "b"))
	q := newRequest(1, 5*second)
	q.Class = 1
	expect(t, feed(r, second, q), "send ")
	r.homeCachedFraction[0], r.ttftModels[0].coefficients[0] = 0.9, 7
	s.Tenants[0].QuotaRPS = 5
	r.UpdateSettings(s)
	if r.homeCachedFraction[0] != 0.9 || r.ttftModels[0].coefficients[0] != 7 || r.settings.Tenants[0].QuotaRPS != 5 {
		t.Fatal("learned state lost, or the new quota not applied")
	}
	s.Classes, s.Tenants, s.Kinds = s.Classes[:1], nil, 1
	r.UpdateSettings(s)
	actions := feed(r, second, newRequest(2, 5*second))
	expect(t, actions, "send ")
	feed(r, 2*second, &FirstToken{Request: 1, Elapsed: second},
		&Outcome{Request: 1, Last: true, Engine: actions[0].Engine})
	if len(r.requests) != 1 || len(r.ttftModels) != 2 || len(r.homeCachedFraction) != 2 {
		t.Fatalf("%d open requests, %d models, %d cached fractions, want 1, 2 and 2",
			len(r.requests), len(r.ttftModels), len(r.homeCachedFraction))
	}
}
