package standpoint

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
)

// Noisy samples of a linear function bring the fit closer to it, and 500 of them within 8 percent.
func TestFitRecoversLinearLaw(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	trueCoef := featureVector{0.03, 0.2, 0.05, 0.3, 0.01, 0.1, 0.002}
	randomSample := func() featureVector {
		prompt := rng.Float64() * 6
		return featureVector{1, rng.Float64(), rng.Float64() * 10, rng.Float64(), prompt, prompt * rng.Float64(),
			rng.Float64() * 20}
	}
	trueValue := func(x featureVector) (y float64) {
		for i := range x {
			y += trueCoef[i] * x[i]
		}
		return y
	}
	var m model
	m.init(ttftPrior)
	meanError := func() float64 {
		var sum float64
		for range 200 {
			x := randomSample()
			sum += math.Abs(m.predict(&x)-trueValue(x)) / trueValue(x) / 200
		}
		return sum
	}
	errBefore := meanError()
	var errAfter [2]float64
	for round := range errAfter {
		for range 20 + 500*round {
			x := randomSample()
			m.add(&x, trueValue(x)*(0.9+0.2*rng.Float64()))
		}
		m.fit(ttftPrior)
		errAfter[round] = meanError()
	}
	if !(errAfter[0] < errBefore && errAfter[1] < errAfter[0] && errAfter[1] < 0.08) {
		t.Fatalf("relative error %.3f before, %.3f with few, %.3f with many samples",
			errBefore, errAfter[0], errAfter[1])
	}
}

// Samples of light load must not displace those of heavy load, which are rare: each region of the feature space has
// its own window of samples.
func TestFitRetainsRareRegime(t *testing.T) {
	var m model
	m.init(ttftPrior)
	rare := featureVector{1, 0.95, 9, 0.9, 2, 2, 10}
	for range bucketDepth {
		m.add(&rare, 4)
	}
	usual := featureVector{1, 0.15, 0.2, 0.1, 2, 2, 1}
	for range 2000 {
		m.add(&usual, 0.2)
	}
	m.fit(ttftPrior)
	if got := m.predict(&rare); got < 2.5 {
		t.Fatalf("a load seen earlier: %.2f s predicted, measured 4 s", got)
	}
	if got := m.predict(&usual); math.Abs(got-0.2) > 0.08 {
		t.Fatalf("the usual load: %.2f s predicted, measured 0.2 s", got)
	}
}

// Before any sample, the priors make a loaded engine look slower than an idle one.
func TestUntrainedRouterPredictionGrowsWithLoad(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a"))
	q := &request{Request: *newRequest(1, second)}
	e := r.engines["a"]
	light := option{engine: e}
	r.predict(q, &light)
	e.report, e.reportAt, e.tokensInFlight = Report{MemoryUsage: 0.9, PrefillBacklog: 20, SlotUsage: 0.9}, r.now, 50000
	heavy := option{engine: e}
	r.predict(q, &heavy)
	if !(heavy.ttft > 2*light.ttft && heavy.tpot > light.tpot) {
		t.Fatalf("idle and loaded: TTFT %.3f and %.3f s, TPOT %.4f and %.4f s",
			light.ttft, heavy.ttft, light.tpot, heavy.tpot)
	}
}

func TestBestIsLeastPositiveHeadroomElseLowestPrediction(t *testing.T) {
	cases := []struct {
		headrooms   []float64
		hasHeadroom []bool
		want        int
	}{
		{[]float64{0.9, 0.3, 0.6}, []bool{true, true, true}, 1},
		{[]float64{0.9, -0.2, 0.6}, []bool{true, false, true}, 2},
		{[]float64{-0.9, -0.2, -0.6}, []bool{false, false, false}, 1},
	}
	for _, c := range cases {
		var all []option
		for i := range c.headrooms {
			all = append(all, option{headroom: c.headrooms[i], hasHeadroom: c.hasHeadroom[i]})
		}
		if got := bestOption(all, nil); got != &all[c.want] {
			t.Errorf("headrooms %v (counted: %v): best is not option %d", c.headrooms, c.hasHeadroom, c.want)
		}
	}
}

// countAtHolder sends n requests whose prompt is cached at one engine, each through a new router, and returns how many
// go to that engine. prepare may change the router before the request.
func countAtHolder(t *testing.T, n int, prepare func(r *Router, q *Request, holder *engine)) (atHolder int) {
	t.Helper()
	for i := range n {
		r := New(testSettings(), int64(i))
		feed(r, ms, engineList("a", "b", "c", "d"))
		q := newRequest(int64(i+1), 4*second)
		holder := r.engines["c"]
		r.recordCachedPrompt(&request{Request: *q}, holder, q.PromptTokens)
		prepare(r, q, holder)
		acts := feed(r, 10*ms, q)
		expect(t, acts, "send ")
		if acts[0].Engine == "c" {
			atHolder++
		}
	}
	return atHolder
}

// The engine that has the prompt cached is chosen, but for a few requests that explore.
func TestAffinityGateKeepsMatchAndExplores(t *testing.T) {
	const n = 3000
	// The holder has more load, so another engine would be chosen without the gate.
	got := countAtHolder(t, n, func(r *Router, _ *Request, holder *engine) {
		holder.report, holder.reportAt = Report{MemoryUsage: 0.9, PrefillBacklog: 6, SlotUsage: 0.9}, r.now
	})
	if got < n*96/100 || got == n {
		t.Fatalf("%d of %d requests went to the holder, want about 99 in 100", got, n)
	}
}

// An engine that has the prompt cached but is slower than the best one by more than defaultAffinityPenalty is not
// chosen.
func TestAffinityBreaksAtItsPenalty(t *testing.T) {
	got := countAtHolder(t, 200, func(r *Router, _ *Request, holder *engine) {
		holder.report, holder.reportAt = Report{MemoryUsage: 1, PrefillBacklog: 200, SlotUsage: 1}, r.now
	})
	if got != 0 {
		t.Fatalf("%d of 200 requests went to a holder that is slower by over %v s", got, defaultAffinityPenalty)
	}
}

// After several responses in a row that found no cached tokens where they were expected, older entries of the match
// table count little, and newer ones fully.
func TestPrefixCacheFlushIsDetected(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a"))
	e := r.engines["a"]
	for i := int64(1); i <= 6; i++ {
		q := &request{Request: *newRequest(i, second)}
		r.recordCachedPrompt(q, e, 1000)
		r.now += second
		if i > 1 {
			r.observeMatch(&attempt{request: q, engine: e, match: 1}, 0)
		}
	}
	old := &request{Request: *newRequest(1, second)}
	if got := r.match(old, e); got > 0.3 {
		t.Fatalf("match %.2f of an entry made before the flush, want at most 0.3", got)
	}
	r.now += second
	fresh := &request{Request: *newRequest(99, second)}
	r.recordCachedPrompt(fresh, e, 1000)
	if got := r.match(fresh, e); got < 0.99 {
		t.Fatalf("match %.2f of an entry made after the flush, want at least 0.99", got)
	}
}

// Gateways that share no state send the same session to the same engine in most cases.
func TestHomeEnginesAgreeAcrossGateways(t *testing.T) {
	a, b := New(testSettings(), 1), New(testSettings(), 2)
	list := engineList("a", "b", "c", "d", "e")
	feed(a, 0, list)
	feed(b, 0, list)
	sameEngine := 0
	for i := int64(1); i <= 200; i++ {
		x, y := feed(a, i*second, newRequest(i, i*second+second)), feed(b, i*second, newRequest(i, i*second+second))
		if x[0].Engine == y[0].Engine {
			sameEngine++
		}
	}
	if sameEngine < 150 {
		t.Fatalf("two gateways sent only %d of 200 sessions to the same engine", sameEngine)
	}
}

// A request that arrives before the first engine list is queued until an engine is listed, or shed shortly before
// its deadline.
func TestRequestWithoutEngineIsQueuedThenShed(t *testing.T) {
	r := New(testSettings(), 1)
	expect(t, feed(r, 0, newRequest(1, second), newRequest(2, second)), "")
	acts := feed(r, 100*ms, engineList("a"))
	expect(t, acts, "send send ")
	r = New(testSettings(), 1)
	expect(t, feed(r, 0, newRequest(1, second)), "")
	expect(t, expire(r, second-8*ms, 1), "shed ")
	expect(t, feed(r, second, engineList("a")), "") // nothing is sent after the final response
}

// A request for which no engine may be used is queued only as long as a response still has value, then shed at once
// with a retry time. Queueing it until its deadline would only keep its client waiting.
func TestQueuedRequestIsShedOnceItHasNoValue(t *testing.T) {
	s := testSettings()
	s.RetryAfter, s.MaxRetryAfter = true, 2*second
	for lateWeight, want := range map[float64]string{0: "shed ", 0.5: ""} {
		s.Classes[0].LateWeight = lateWeight
		r := New(s, 1)
		list := engineList("a")
		list.Engines[0].State = Draining
		feed(r, 0, list, newRequest(1, 4*second))
		for now := int64(0); now <= second; now += 50 * ms {
			expect(t, tick(r, now), "")
		}
		got := tick(r, 1050*ms)
		expect(t, got, want)
		if want != "" && got[0].Wait < int64(minRetryAfter*1e9) {
			t.Errorf("shed without a retry time of at least minRetryAfter: %v", got[0])
		}
	}
}

// Each request gets exactly one final response, whatever the order of outcomes, deadline and disconnect.
func TestEachRequestIsAnsweredOnce(t *testing.T) {
	start := func(change func(*Settings)) *Router {
		s := testSettings()
		s.MaxAttempts = 1
		if change != nil {
			change(&s)
		}
		r := New(s, 1)
		feed(r, 0, engineList("a", "b"))
		expect(t, feed(r, 0, newRequest(1, second)), "send ")
		return r
	}
	t.Run("no response by the deadline", func(t *testing.T) {
		r := start(nil)
		expect(t, feed(r, second, &Outcome{Request: 1, Code: NoAnswer}), "shed ")
		expect(t, expire(r, second, 1), "")
	})
	t.Run("first token before the deadline", func(t *testing.T) {
		r := start(nil)
		feed(r, 500*ms, &FirstToken{Request: 1, Elapsed: 500 * ms})
		expect(t, expire(r, second, 1), "")
		expect(t, feed(r, 3*second, &Outcome{Request: 1, Code: Served, Last: true}), "")
		if len(r.requests) != 0 {
			t.Fatal("a served request is still stored")
		}
	})
	t.Run("broken stream", func(t *testing.T) {
		r := start(func(s *Settings) { s.MaxAttempts = 4 })
		feed(r, 500*ms, &FirstToken{Request: 1, Elapsed: 500 * ms})
		expect(t, feed(r, 600*ms, &Outcome{Request: 1, Code: ConnectionLost, Last: true}), "")
	})
	t.Run("served after the request was shed", func(t *testing.T) {
		r := start(nil)
		expect(t, expire(r, second, 1), "shed cancel ")
		expect(t, feed(r, second+ms, &Outcome{Request: 1, Code: Served, Last: true}), "")
		if len(r.requests) != 0 {
			t.Fatal("a shed request is still stored")
		}
	})
	t.Run("disconnect of an unknown request", func(t *testing.T) {
		r := start(nil)
		feed(r, ms, &Outcome{Request: 1, Code: Served, Last: true},
			&ClientDisconnected{Request: 1}, &ClientDisconnected{Request: 77})
		expect(t, feed(r, 2*ms, &FirstToken{Request: 1}, &Outcome{Request: 1, Code: Served}), "")
	})
}

// Draining engines and engines missing from a full list get no requests; one that is listed as ready again does.
func TestDrainingEngineGetsNoNewRequests(t *testing.T) {
	delta := func(state State) *EngineList {
		return &EngineList{Kind: ListDelta, Engines: []Engine{{Name: "a", State: state, Size: 1}}}
	}
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a"), delta(Draining))
	expect(t, feed(r, ms, newRequest(1, second)), "") // queued, not sent
	expect(t, feed(r, 2*ms, delta(Removed)), "")
	restarted := delta(Ready)
	restarted.Engines[0].StartedAt = ms // removed, then listed again with a new start
	feed(r, 3*ms, restarted)
	if r.engines["a"] == nil || r.engines["a"].notReady {
		t.Fatal("an engine that is listed as ready again is not used")
	}
	r = New(testSettings(), 1)
	feed(r, 0, engineList("a", "b"), engineList("b")) // removed by a full list
	for i := int64(1); i < 40; i++ {
		for _, a := range feed(r, i*ms, newRequest(i, second)) {
			if a.Engine == "a" {
				t.Fatal("sent to an engine that is missing from a full list")
			}
		}
	}
}

// Failed attempts are retried only where the class's effect, group and window permit, and the final response is a
// rejection only if repeating the request is harmless.
func TestRetryFollowsEffectAndGroup(t *testing.T) {
	cases := []struct {
		name   string
		effect Effect
		group  Group
		window int64
		code   OutcomeCode
		other  Engine // the only other engine
		want   string
	}{
		{"safe is repeated", Safe, GroupAll, 0, ConnectionLost, Engine{Name: "b"}, "send "},
		{"unsafe after no_connection", Unsafe, GroupAll, 0, NoConnection, Engine{Name: "b"}, "send "},
		{
			"unsafe after connection_lost",
			Unsafe,
			GroupAll,
			0,
			ConnectionLost,
			Engine{Name: "b"},
			"fail ",
		}, // at once, as no attempt may follow
		{"keyed inside its zone", Keyed, GroupZone, second, ServerError, Engine{Name: "b"}, "send "},
		{"keyed outside its zone", Keyed, GroupZone, second, ServerError, Engine{Name: "b", Zone: 1}, ""},
		{"keyed outside its cell", Keyed, GroupCell, second, ServerError, Engine{Name: "b", Cell: 1}, ""},
		{"keyed outside, but never ran", Keyed, GroupCell, second, Rejected, Engine{Name: "b", Cell: 1}, "send "},
		{"keyed after its window", Keyed, GroupAll, 10 * ms, ServerError, Engine{Name: "b"}, "shed "},
		{"keyed of a zone, after its window", Keyed, GroupZone, 10 * ms, ServerError, Engine{Name: "b"}, "fail "},
	}
	for _, c := range cases {
		s := testSettings()
		s.Zones = 2
		s.Classes[0].Effect, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = c.effect, c.group, c.window
		r := New(s, 1)
		c.other.Size = 1
		feed(r, 0, engineList("a"))
		expect(t, feed(r, 0, newRequest(1, second)), "send ")
		feed(r, ms, &EngineList{Kind: ListDelta, Engines: []Engine{c.other}})
		if got := kinds(feed(r, 50*ms, &Outcome{Request: 1, Code: c.code, Engine: "a"})); got != c.want {
			t.Errorf("%s: actions %q, want %q", c.name, got, c.want)
		}
		if c.want == "" {
			final := "fail "
			if c.effect == Keyed && c.group == GroupAll {
				final = "shed "
			}
			if got := kinds(expire(r, second-8*ms, 1)); got != final {
				t.Errorf("%s: final response %q, want %q", c.name, got, final)
			}
		}
	}
}

// No hedged attempt is sent for an overdue one where the settings do not allow hedged attempts.
func TestNoHedgingWhereForbidden(t *testing.T) {
	s := testSettings()
	s.HedgedRequests = false
	r := New(s, 1)
	feed(r, 0, engineList("a", "b", "c"))
	expect(t, feed(r, 0, newRequest(1, 3*second)), "send ")
	for now := 50 * ms; now < 3*second; now += 50 * ms {
		for _, a := range tick(r, now) {
			if a.Kind == Send {
				t.Fatal("a hedged attempt was sent")
			}
		}
	}
}

// An engine that stops responding becomes suspect: its overdue attempt is hedged, and it gets no new requests until it
// responds again.
func TestHungEngineIsSuspectUntilItResponds(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b", "c", "d"))
	acts := feed(r, 0, newRequest(1, 4*second))
	hungEngine := acts[0].Engine
	var hedges []Action
	now := int64(0)
	for ; now < 1200*ms; now += 50 * ms {
		hedges = append(hedges, tick(r, now)...)
	}
	if !r.engines[hungEngine].suspect || len(hedges) == 0 || hedges[0].Kind != Send || hedges[0].Engine == hungEngine {
		t.Fatalf("after 1.2 s of silence: suspect %v, actions %q", r.engines[hungEngine].suspect, kinds(hedges))
	}
	sentToHung := 0
	for i := int64(10); i < 40; i++ {
		for _, a := range feed(r, now, newRequest(i, now+4*second)) {
			if a.Kind == Send && a.Engine == hungEngine {
				sentToHung++
			}
		}
	}
	if sentToHung != 0 {
		t.Fatalf("%d requests went to a suspect engine", sentToHung)
	}
	feed(r, now, &Outcome{Request: 1, Attempt: 0, Code: Served, Engine: hungEngine})
	if r.engines[hungEngine].suspect {
		t.Fatal("still suspect after a response")
	}
}

// If most engines are suspect the cause is shared, and none is avoided.
func TestSharedFaultExcludesNoEngine(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b"))
	for _, e := range r.engines {
		e.suspect = true
	}
	expect(t, feed(r, ms, newRequest(1, second)), "send ")
}

// A starting engine gets requests, but fewer than would overload it.
func TestStartingEngineGetsFewRequests(t *testing.T) {
	s := testSettings()
	r := New(s, 1)
	list := engineList("a", "b", "c", "d")
	list.Engines[0].StartedAt = 100 * second
	now := 100 * second
	feed(r, now, list)
	sent, all := 0, 0
	for ; now < 103*second; now += 20 * ms {
		all++
		q := newRequest(now, now+second)
		for _, a := range feed(r, now, q, &Outcome{Request: q.ID, Code: Rejected, Engine: ""}) {
			if a.Kind == Send && a.Engine == "a" {
				sent++
			}
		}
	}
	// A quarter of the 150 requests is 37. The starting engine has 0.4 of its capacity and is overloaded at 3 times
	// that.
	if limit := float64(all) / 4 * s.ColdCapacityFraction * s.OverloadFactor; sent == 0 || float64(sent) > 0.8*limit {
		t.Fatalf("%d of %d requests went to the starting engine, which %.0f overload", sent, all, limit)
	}
}

// A subscription that fails is retried with back-off, and one that is live is not requested again.
func TestDiscoverySubscriptionBacksOff(t *testing.T) {
	s := testSettings()
	s.SubscribeDiscovery = true
	r := New(s, 1)
	feed(r, 0, engineList("a"))
	subscribes := 0
	for now := int64(0); now < 60*second; now += 50 * ms {
		for _, a := range tick(r, now) {
			if a.Kind == Subscribe {
				subscribes++
				feed(r, now, &EngineList{Kind: ListFailed})
			}
		}
	}
	if subscribes < 4 || subscribes > 30 {
		t.Fatalf("%d subscribe calls in a minute in which all fail, want 4 to 30", subscribes)
	}
	feed(r, 60*second, engineList("a")) // the response may be a full list
	for now := 60 * second; now < 90*second; now += 50 * ms {
		if acts := tick(r, now); len(acts) > 0 {
			t.Fatalf("actions %q while subscribed, want none", kinds(acts))
		}
	}
}

// In an overload, requests with the lowest weight per token of work are shed first.
func TestLeastValuableRequestsAreShedFirst(t *testing.T) {
	s := testSettings()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Weight = 5
	r := New(s, 1)
	feed(r, 0, engineList("a", "b", "c"))
	shed := map[int]int{}
	for i := int64(1); i <= 200; i++ {
		r.shedFraction, r.shedFractionAt = 0.5, i*ms
		q := newRequest(i, 2*second)
		q.Class = int(i % 2)
		for _, a := range feed(r, i*ms, q) {
			if a.Kind == Shed {
				shed[q.Class]++
			}
		}
	}
	if shed[0] < 50 || shed[1] > 10 {
		t.Fatalf("shed %d requests of weight 1 and %d of weight 5, want at least 50 and at most 10", shed[0], shed[1])
	}
}

// Numbers from requests, outcomes and reports that are negative, huge or not finite leave all decision inputs finite.
func TestExtremeInputsStayFinite(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b"))
	extremes := []float64{nan, inf, -inf, -1, 0, 1e300}
	id := int64(0)
	for _, p := range extremes {
		for _, v := range extremes {
			id++
			q := &Request{ID: id, Deadline: second, Session: 1, Prefix: 2, PromptTokens: p, PrefixTokens: v,
				MaxTokens: v, Class: int(id%5) - 2}
			feed(r, id*ms, q, &FirstToken{Request: id, Elapsed: -5},
				&Outcome{Request: id, Code: Served, CachedTokens: v, Elapsed: -9, Engine: "a", Last: true,
					Report: &Report{MemoryUsage: p, PrefillBacklog: v, SlotUsage: p}})
		}
	}
	o := option{engine: r.engines["a"]}
	r.predict(&request{Request: *newRequest(1, second)}, &o)
	if !allFinite(
		o.ttft,
		o.ttftUpper,
		o.tpot,
		r.baseTPOT,
		r.matchTrust,
		r.meanReport.MemoryUsage,
		r.engines["a"].tokensInFlight,
	) {
		t.Fatalf("a decision input is not finite: %+v", o)
	}
}

// For a class without latency objectives the engine with the lowest prediction is chosen.
func TestWithoutObjectivesLowestPredictionIsChosen(t *testing.T) {
	s := testSettings()
	s.Classes = []Class{{Streamed: true}}
	r := New(s, 1)
	feed(r, 0, engineList("a", "b"))
	r.engines["a"].report, r.engines["a"].reportAt = Report{MemoryUsage: 0.9, PrefillBacklog: 30, SlotUsage: 0.9}, 1
	r.homeCachedFraction[0] = 0
	sentToB := 0
	for i := int64(1); i <= 20; i++ {
		acts := feed(r, ms, newRequest(i, second))
		if acts[0].Engine == "b" {
			sentToB++
		}
	}
	if sentToB < 15 {
		t.Fatalf("%d of 20 requests went to the idle engine, want at least 15", sentToB)
	}
}

// Two routers with the same seed, settings and events return the same actions.
func TestSameSeedSameActions(t *testing.T) {
	run := func() []Action {
		var all []Action
		sim := newSimulation(5, testSettings())
		for range 600 {
			all = append(all, sim.step(nil)...)
		}
		return all
	}
	a, b := run(), run()
	if len(a) < 300 || !reflect.DeepEqual(a, b) {
		t.Fatalf("two runs of one seed differ (%d and %d actions)", len(a), len(b))
	}
}

// Guards against sending to an unreachable zone: with a zone unreachable most engines are suspect, and the rule for
// shared faults, which then avoids none, must not apply to engines that no connection can be made to.
func TestUnreachableEnginesAreExcludedEvenIfMostAre(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b", "c"))
	for i, e := range r.ready[:2] {
		q := newRequest(int64(i+1), 4*second)
		feed(r, 0, q)
		a := r.requests[q.ID].attempts[0]
		a.engine = e
		r.markSuspect(e, true)
	}
	for i := int64(10); i < 40; i++ {
		for _, a := range feed(r, 10*ms, newRequest(i, 4*second)) {
			if a.Kind == Send && a.Engine != "c" {
				t.Fatalf("sent to %s, which is unreachable", a.Engine)
			}
		}
	}
}

// Guards against a predicted TPOT that lags behind a slowdown: decode times are known only when streams end, seconds
// after the slowdown began. Streams that run longer than usual must raise the predicted TPOT before that.
func TestRunningStreamsRaisePredictedTPOT(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b"))
	now, id := int64(0), int64(0)
	startStream := func() int64 {
		id++
		feed(r, now, newRequest(id, now+4*second))
		feed(r, now, &FirstToken{Request: id, Elapsed: 50 * ms})
		return id
	}
	endStream := func(id int64) {
		feed(r, now, &Outcome{Request: id, Code: Served, Last: true, Elapsed: second + 50*ms})
	}
	var running []int64
	for now = second; now < 20*second; now += 100 * ms {
		running = append(running, startStream())
		if len(running) > 10 { // each stream lasts a second
			endStream(running[0])
			running = running[1:]
		}
	}
	driftBefore := r.tpotDrift()
	for until := now + 3*second; now < until; now += 100 * ms {
		startStream() // no stream ends from here on
	}
	if r.tpotDrift() < driftBefore+0.3 {
		t.Fatalf("TPOT drift (log) %.2f after 3 s in which no stream ended, %.2f before", r.tpotDrift(), driftBefore)
	}
}

// Guards against hedged attempts that take capacity from an overloaded fleet: none is sent while requests are shed.
func TestNoHedgingWhileShedding(t *testing.T) {
	for _, shedFraction := range []float64{0, 0.5} {
		r := New(testSettings(), 1)
		feed(r, 0, engineList("a", "b", "c"))
		feed(r, 0, newRequest(1, 4*second))
		r.shedFraction, r.now, r.requests[1].attempts[0].predictedTTFT = shedFraction, second, 0.01
		r.hedgeOrCancel(r.requests[1].attempts[0])
		if got := len(r.requests[1].attempts); (shedFraction > 0) != (got == 1) {
			t.Fatalf("shed fraction %.1f: %d attempts", shedFraction, got)
		}
	}
}

// Of requests with equal value only the shed fraction is shed, not all of them.
func TestEqualRequestsAreShedInPart(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b", "c"))
	shed := 0
	for i := int64(1); i <= 300; i++ {
		r.shedFraction, r.shedFractionAt = 0.4, r.now
		q := newRequest(i, 2*second)
		q.Session = 0
		if kinds(feed(r, i*ms, q)) == "shed " {
			shed++
		}
	}
	if shed < 60 || shed > 180 {
		t.Fatalf("%d of 300 equal requests shed at a shed fraction of 0.4, want 60 to 180", shed)
	}
}

// A gateway that is one of many only rarely has slow-start budget for a starting engine. The next request uses it,
// whatever engine ranks first for that request, unless another engine has its prompt cached.
func TestSlowStartBudgetIsUsedByLowTrafficGateways(t *testing.T) {
	for seed := range int64(20) {
		s := testSettings()
		s.Gateways = 300
		r := New(s, seed)
		var names []string
		for i := range 40 {
			names = append(names, engineName(i))
		}
		feed(r, 100*second, engineList(names...))
		first := feed(r, 100*second, newRequest(1, 104*second))
		feed(r, 100*second, &Outcome{Request: 1, Code: Served, CachedTokens: 0, Elapsed: 10 * ms, Last: true})
		list := engineList(append(names, "cold")...)
		list.Engines[40].StartedAt = 101 * second
		feed(r, 101*second, list)
		for i := range r.ready {
			r.ready[i].slowStartBudget = 1
		}
		secondTurn := newRequest(2, 105*second)
		secondTurn.Session = 7919 // session of the first request
		if got := feed(r, 101*second, secondTurn); got[0].Engine != first[0].Engine {
			t.Fatalf("seed %d: a request went to %s, its prompt is cached at %s", seed, got[0].Engine, first[0].Engine)
		}
		if got := feed(r, 101*second, newRequest(3, 105*second)); got[0].Engine != "cold" {
			t.Fatalf("seed %d: the slow-start budget was not used: %v", seed, got)
		}
		if got := feed(r, 101*second, newRequest(4, 105*second)); got[0].Engine == "cold" {
			t.Fatalf("seed %d: the slow-start budget was used twice", seed)
		}
	}
}

// A gateway with much traffic treats starting engines like others. Were it to prefer them, it would use all of its
// budget, which is as much as they can bear.
func TestSlowStartBudgetIsNotForcedByBusyGateways(t *testing.T) {
	forced := 0
	for seed := range int64(20) {
		r := New(testSettings(), seed)
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		feed(r, 100*second, engineList(names...))
		now := 100 * second
		for i := int64(1); i <= 40; i++ {
			now += 100 * ms
			feed(r, now, newRequest(i, now+4*second), &Outcome{Request: i, Code: Served, Elapsed: 10 * ms, Last: true})
		}
		list := engineList(append(names, "cold")...)
		list.Engines[7].StartedAt = now
		feed(r, now, list)
		r.engines["cold"].slowStartBudget = 1
		if got := feed(r, now, newRequest(1000, now+4*second)); got[0].Engine == "cold" {
			forced++
		}
	}
	if forced > 15 {
		t.Fatalf("%d of 20 requests went to the one starting engine of eight, want at most 15", forced)
	}
}

// Guards against overloading the last engine of a fleet that failed as a whole. It is starting, and must not get the
// traffic of all.
func TestSlowStartBudgetInJointFailure(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b", "c", "d", "e", "f"))
	now := 10 * second
	for i := int64(1); i < 200; i++ {
		now += 20 * ms
		feed(r, now, newRequest(i, now+second), &Outcome{Request: i, Code: Rejected})
	}
	remaining := engineList("a")
	remaining.Engines[0].StartedAt = now
	feed(r, now, remaining)
	sent := 0
	for i := int64(1000); i < 1150; i++ {
		now += 20 * ms
		for _, a := range feed(r, now, newRequest(i, now+second)) {
			if a.Kind == Send {
				sent++
			}
		}
	}
	// A sixth of 150 requests, times 3, times a capacity that rises from 0.4 to 0.63: it is overloaded at 25 to 48.
	if sent < 5 || sent > 25 {
		t.Fatalf("%d of 150 requests sent to the one starting engine that remains, want 5 to 25", sent)
	}
}

// Guards against shedding that hits all tenants alike while one of them sends several times its quota.
func TestOverQuotaRequestsAreShedFirst(t *testing.T) {
	s := testSettings()
	s.Gateways, s.OverQuotaWeight = 1, 0.1
	s.Tenants = []Tenant{{QuotaRPS: 20}, {QuotaRPS: 20}}
	r := New(s, 1)
	feed(r, 0, engineList("a", "b", "c"))
	shed := [2]int{}
	for i := int64(1); i <= 600; i++ { // 100 a second: 83 of tenant 0, 17 of tenant 1
		now := i * 10 * ms
		r.shedFraction, r.shedFractionAt = 0.3, now
		q := newRequest(i, now+2*second)
		if i%6 == 0 {
			q.Tenant = 1
		}
		if kinds(feed(r, now, q)) == "shed " {
			shed[q.Tenant]++
		}
	}
	if shed[0] < 100 || shed[1] > 10 {
		t.Fatalf("shed %d requests over and %d within quota, want at least 100 and at most 10", shed[0], shed[1])
	}
}

// Guards against ranking too few engines where there are few gateways: with one gateway and six engines, of which only
// three were considered, the choice was worse than random.
func TestLoneGatewayConsidersAllEngines(t *testing.T) {
	for gateways, want := range map[int]int{1: 8, 2: 4, 30: sampleSize} {
		s := testSettings()
		s.Gateways = gateways
		r := New(s, 1)
		feed(r, 0, engineList("a", "b", "c", "d", "e", "f", "g", "h"))
		if got := len(r.buildOptions(&request{Request: *newRequest(1, second)}, false)); got != want {
			t.Errorf("%d gateways: %d engines considered, want %d", gateways, got, want)
		}
	}
}

// Of many engines the one with the least headroom is likely the one whose prediction errs most. The more engines are
// considered, the more of the objective must therefore be left for headroom to count.
func TestHeadroomReserveGrowsWithOptions(t *testing.T) {
	for n, want := range map[int]bool{8: true, 40: false} {
		s := testSettings()
		s.Gateways, s.Classes[0].TPOTObjective = 1, 0
		r := New(s, 1)
		var names []string
		for i := range n {
			names = append(names, engineName(i))
		}
		feed(r, 0, engineList(names...))
		q := &request{Request: *newRequest(1, second)}
		idleTTFT := r.buildOptions(q, false)[0].ttftUpper
		for _, e := range r.ready {
			e.ttftSlowness = math.Log(0.4 / idleTTFT) // predicts 0.4 s, of an objective of 1 s
		}
		if o := r.buildOptions(q, false)[0]; math.Abs(o.ttftUpper-0.4) > 0.01 || o.hasHeadroom != want {
			t.Errorf(
				"%d engines: 0.6 of the objective left (predicted %.2f s) counts as headroom: %v",
				n,
				o.ttftUpper,
				o.hasHeadroom,
			)
		}
	}
}

// An engine whose listing is stale gets no requests while another engine can be used, and is used if all are stale.
func TestStaleEnginesAreUsedLast(t *testing.T) {
	r := New(testSettings(), 1)
	list := &EngineList{Kind: ListFull}
	for _, name := range []string{"a", "b", "c"} {
		list.Engines = append(list.Engines, Engine{Name: name, Size: 1, Stale: name != "c"})
	}
	sendRequest := func(id int64) (engine string) {
		for _, a := range r.Handle(
			id*ms, &Request{ID: id, Deadline: id*ms + 5000*ms, PromptTokens: 10, MaxTokens: 10}, nil,
		) {
			if a.Kind == Send {
				engine = a.Engine
			}
		}
		return engine
	}
	r.Handle(0, list, nil)
	for id := int64(1); id <= 20; id++ {
		if to := sendRequest(id); to != "c" {
			t.Fatalf("request %d went to %q", id, to)
		}
	}
	list.Engines = list.Engines[:2]
	r.Handle(100*ms, list, nil)
	if sendRequest(200) == "" {
		t.Fatal("nothing was sent though only stale engines are listed")
	}
	list.Engines[0].Stale = false
	r.Handle(300*ms, list, nil)
	for id := int64(301); id <= 310; id++ {
		if to := sendRequest(id); to != "a" {
			t.Fatalf("request %d went to %q", id, to)
		}
	}
}

// In a large fleet only a sample of the engines is considered for a request. All gateways draw the same sample for a
// session, a change of the fleet changes it little, and if no engine of it can be used another one is found.
func TestLargeFleet(t *testing.T) {
	const n = 1000
	list := &EngineList{Kind: ListFull}
	for i := range n {
		list.Engines = append(
			list.Engines,
			Engine{
				Name: "e" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676)),
				Size: 1,
				Pool: 1 + i%2,
			},
		)
	}
	q := &request{Request: Request{ID: 1, Session: 77, Prefix: 5, PromptTokens: 10, Pool: 2}}
	sampledNames := func(r *Router) map[string]bool {
		names := map[string]bool{}
		for _, e := range r.sampleEngines(q) {
			if e.Pool != 2 {
				t.Fatalf("%s is not of pool 2", e.Name)
			}
			if names[e.Name] {
				t.Fatalf("%s is sampled twice", e.Name)
			}
			names[e.Name] = true
		}
		return names
	}
	a, b := New(testSettings(), 1), New(testSettings(), 2)
	a.Handle(0, list, nil)
	b.Handle(0, list, nil)
	first := sampledNames(a)
	if len(first) < keySampleSize || len(first) > keySampleSize+2*prefixSampleSize {
		t.Fatalf("%d engines sampled, want keySampleSize, and at most 2*prefixSampleSize more", len(first))
	}
	for name := range sampledNames(b) {
		if !first[name] {
			t.Fatalf("only the second gateway samples %s", name)
		}
	}
	// Draining one engine of the sample replaces just that one.
	for name := range first {
		a.Handle(
			1,
			&EngineList{Kind: ListDelta, Engines: []Engine{{Name: name, Size: 1, Pool: 2, State: Draining}}},
			nil,
		)
		stillSampled := 0
		for other := range sampledNames(a) {
			if first[other] {
				stillSampled++
			}
		}
		if stillSampled < len(first)-1 {
			t.Fatalf("%d of %d engines still sampled after one was drained", stillSampled, len(first))
		}
		break
	}
	// All engines of the sample are starting, and their slow-start budget is used up.
	for name := range first {
		b.Handle(
			ms,
			&EngineList{Kind: ListDelta, Engines: []Engine{{Name: name, Size: 1, Pool: 2, StartedAt: ms}}},
			nil,
		)
	}
	b.settings.WarmUp, b.settings.OverloadFactor = 20*second, 4
	sent := false
	for _, act := range b.Handle(
		2*ms, &Request{ID: 9, Deadline: second, Session: 77, Prefix: 5, PromptTokens: 10, Pool: 2}, nil,
	) {
		sent = sent || act.Kind == Send
	}
	if !sent {
		t.Fatal("nothing was sent")
	}
}

// A restarted engine, which has the same name, is in slow start, and events that concern attempts at the previous
// process do not change what is known of the new one: late reports, cached prompts, silence and errors.
func TestRestartedEngineInheritsNothing(t *testing.T) {
	s := testSettings()
	s.HedgedRequests, s.Gateways = false, 1
	r := New(s, 1)
	now := 100 * second
	feed(r, now, engineList("a", "b"))
	sendToA := func(id int64, at int64) *request {
		q := &request{Request: *newRequest(id, now+9*second), arrivedAt: now}
		q.Prefix, q.PrefixTokens = 77, 500
		r.now, r.requests[id] = at, q
		r.send(q, &option{engine: r.engines["a"], features: featureVector{1}, ttft: 0.1})
		return q
	}
	for id := int64(1); id <= 6; id++ {
		sendToA(id, now)
	}
	oldProcess := r.engines["a"]
	now += second
	feed(r, now, &EngineList{Kind: ListDelta, Engines: []Engine{{Name: "a", Size: 1, StartedAt: now - 100*ms}}})
	newProcess := r.engines["a"]
	if newProcess.tokensInFlight != 0 || newProcess.attemptsInFlight != 0 || newProcess.slowStartBudgetAt == 0 {
		t.Fatalf(
			"new process: %v tokens and %d attempts in flight, slow-start budget since %v",
			newProcess.tokensInFlight,
			newProcess.attemptsInFlight,
			newProcess.slowStartBudgetAt,
		)
	}
	report := &Report{MemoryUsage: 0.9, PrefillBacklog: 50, SlotUsage: 0.9}
	now += second
	feed(r, now, &FirstToken{Request: 1, Elapsed: 2 * second},
		&Outcome{Request: 1, Last: true, Engine: "a", CachedTokens: 900, OutputTokens: 50, Elapsed: 3 * second,
			Report: report})
	for id, code := range map[int64]OutcomeCode{2: ServerError, 3: ServerError, 4: ConnectionLost, 5: NoConnection} {
		feed(r, now, &Outcome{Request: id, Last: true, Code: code, Engine: "a", Report: report})
	}
	tick(r, now+5*second)
	q := &request{Request: *newRequest(1, now+9*second)}
	q.Prefix, q.PrefixTokens = 77, 500
	if newProcess.reportAt != 0 || newProcess.ttftSlowness != 0 || newProcess.tpotSlowness.count != 0 ||
		newProcess.errorRate != 0 || newProcess.suspect ||
		r.match(q, newProcess) != 0 {
		t.Fatalf(
			"new process after outcomes of the old one: report at %v, slowness %v, TPOT samples %v, error rate %v, "+
				"suspect %v, match %v",
			newProcess.reportAt,
			newProcess.ttftSlowness,
			newProcess.tpotSlowness.count,
			newProcess.errorRate,
			newProcess.suspect,
			r.match(q, newProcess),
		)
	}
	if oldProcess.attemptsInFlight != 1 || newProcess.attemptsInFlight != 0 {
		t.Fatalf("%d attempts in flight at the old process and %d at the new, want 1 and 0",
			oldProcess.attemptsInFlight, newProcess.attemptsInFlight)
	}
}

// The length of a shared prefix that one request states is not used for other requests with the same prefix key.
func TestPrefixLengthIsNotTrustedAcrossRequests(t *testing.T) {
	s := testSettings()
	s.Gateways = 1
	r := New(s, 1)
	feed(r, second, engineList("a"))
	a := r.engines["a"]
	requestWithPrefix := func(length float64) *request {
		q := &request{Request: *newRequest(1, 9*second)}
		q.Session, q.Prefix, q.PrefixTokens = 0, 77, length
		return q
	}
	honest := requestWithPrefix(400)
	r.recordCachedPrompt(requestWithPrefix(1000), a, 1000) // far longer than the prefix is
	if m := r.match(honest, a); m != 0.4 {
		t.Fatalf("match %v of a prompt of 1,000 tokens with a shared prefix of 400, want 0.4", m)
	}
	r.recordCachedPrompt(honest, a, 1000)
	r.recordCachedPrompt(requestWithPrefix(0), a, 1000) // must not lower what is recorded
	if m := r.match(honest, a); m != 0.4 {
		t.Fatalf("match %v after another request stated a prefix of 0 tokens, want 0.4", m)
	}
}

// A stream that its client read slowly must not change the predicted TPOT of the engine.
func TestStreamsSlowedByClientsTeachNoTPOT(t *testing.T) {
	s := testSettings()
	s.HedgedRequests, s.Gateways = false, 1
	predictedTPOT := func(stallClient bool) float64 {
		r := New(s, 1)
		feed(r, second, engineList("a"))
		now := second
		for id := int64(1); id <= 60; id++ {
			now += 5 * second
			send := feed(r, now, newRequest(id, now+9*second))
			tpot := 20 * ms
			if stalls := id%2 == 0; stalls && stallClient {
				tpot = 200 * ms
			}
			feed(r, now+100*ms, &FirstToken{Request: id, Elapsed: 100 * ms})
			feed(
				r,
				now+4*second,
				&Outcome{Request: id, Last: true, Engine: send[0].Engine, OutputTokens: 50, Elapsed: 100*ms + 50*tpot,
					ClientStalled: tpot > 20*ms},
			)
		}
		o := option{engine: r.engines["a"]}
		r.predict(&request{Request: *newRequest(999, now+9*second)}, &o)
		return o.tpot
	}
	if withoutStalls, withStalls := predictedTPOT(false), predictedTPOT(true); withStalls > 1.2*withoutStalls {
		t.Fatalf("TPOT %.4f s predicted with slow clients, %.4f s without", withStalls, withoutStalls)
	}
}
