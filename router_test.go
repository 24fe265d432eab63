package standpoint

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
)

func TestFitRecoversLinearLaw(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	law := featureVector{0.03, 0.2, 0.05, 0.3, 0.01, 0.1, 0.002}
	draw := func() featureVector {
		prompt := rng.Float64() * 6
		return featureVector{1, rng.Float64(), rng.Float64() * 10, rng.Float64(), prompt, prompt * rng.Float64(),
			rng.Float64() * 20}
	}
	value := func(x featureVector) (y float64) {
		for i := range x {
			y += law[i] * x[i]
		}
		return y
	}
	var m model
	m.init(ttftPrior)
	miss := func() float64 {
		var sum float64
		for range 200 {
			x := draw()
			sum += math.Abs(m.at(&x)-value(x)) / value(x) / 200
		}
		return sum
	}
	before := miss()
	var after [2]float64
	for round := range after {
		for range 20 + 500*round {
			x := draw()
			m.add(&x, value(x)*(0.9+0.2*rng.Float64()))
		}
		m.fit(ttftPrior)
		after[round] = miss()
	}
	if !(after[0] < before && after[1] < after[0] && after[1] < 0.08) {
		t.Fatalf("relative error %.3f before, %.3f with few, %.3f with many samples", before, after[0], after[1])
	}
}

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
	if got := m.at(&rare); got < 2.5 {
		t.Fatalf("a regime seen earlier is predicted at %.2f s, was 4 s", got)
	}
	if got := m.at(&usual); math.Abs(got-0.2) > 0.08 {
		t.Fatalf("the usual regime is predicted at %.2f s, is 0.2 s", got)
	}
}

func TestYoungRouterPredictionGrowsWithLoad(t *testing.T) {
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
		t.Fatalf("TTFT %.3f then %.3f, pace %.4f then %.4f", light.ttft, heavy.ttft, light.tpot, heavy.tpot)
	}
}

func TestBestIsLeastPositiveHeadroomElseLowestPrediction(t *testing.T) {
	cases := []struct {
		heads []float64
		ok    []bool
		want  int
	}{
		{[]float64{0.9, 0.3, 0.6}, []bool{true, true, true}, 1},
		{[]float64{0.9, -0.2, 0.6}, []bool{true, false, true}, 2},
		{[]float64{-0.9, -0.2, -0.6}, []bool{false, false, false}, 1},
	}
	for _, c := range cases {
		var all []option
		for i := range c.heads {
			all = append(all, option{headroom: c.heads[i], hasHeadroom: c.ok[i]})
		}
		if got := best(all, nil); got != &all[c.want] {
			t.Errorf("headroom %v (%v): not option %d", c.heads, c.ok, c.want)
		}
	}
}

// picks sends n requests of one known session and counts how often the engine that holds it is taken.
func picks(t *testing.T, n int, prepare func(r *Router, q *Request, holder *engine)) (atHolder int) {
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

func TestAffinityGateKeepsMatchAndExplores(t *testing.T) {
	const n = 3000
	// The holder is busier, so without the gate another engine would be taken.
	got := picks(t, n, func(r *Router, _ *Request, holder *engine) {
		holder.report, holder.reportAt = Report{MemoryUsage: 0.9, PrefillBacklog: 6, SlotUsage: 0.9}, r.now
	})
	if got < n*96/100 || got == n {
		t.Fatalf("the gate kept %d of %d; want about 99 in 100", got, n)
	}
}

func TestAffinityBreaksAtItsPenalty(t *testing.T) {
	got := picks(t, 200, func(r *Router, _ *Request, holder *engine) {
		holder.report, holder.reportAt = Report{MemoryUsage: 1, PrefillBacklog: 200, SlotUsage: 1}, r.now
	})
	if got != 0 {
		t.Fatalf("%d of 200 kept to an engine that is over %v s behind", got, maxAffinityTTFT)
	}
}

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
		t.Fatalf("after a run of shortfalls an old entry still counts %.2f", got)
	}
	r.now += second
	fresh := &request{Request: *newRequest(99, second)}
	r.recordCachedPrompt(fresh, e, 1000)
	if got := r.match(fresh, e); got < 0.99 {
		t.Fatalf("an entry made after the flush counts %.2f", got)
	}
}

func TestHomeEnginesAgreeAcrossNodes(t *testing.T) {
	a, b := New(testSettings(), 1), New(testSettings(), 2)
	list := engineList("a", "b", "c", "d", "e")
	feed(a, 0, list)
	feed(b, 0, list)
	same := 0
	for i := int64(1); i <= 200; i++ {
		x, y := feed(a, i*second, newRequest(i, i*second+second)), feed(b, i*second, newRequest(i, i*second+second))
		if x[0].Engine == y[0].Engine {
			same++
		}
	}
	if same < 150 {
		t.Fatalf("two nodes sent only %d of 200 sessions to the same engine", same)
	}
}

func TestRequestWithoutEngineIsHeldThenShed(t *testing.T) {
	r := New(testSettings(), 1)
	expect(t, feed(r, 0, newRequest(1, second), newRequest(2, second)), "")
	acts := feed(r, 100*ms, engineList("a"))
	expect(t, acts, "send send ")
	r = New(testSettings(), 1)
	expect(t, feed(r, 0, newRequest(1, second)), "")
	expect(t, expire(r, second-8*ms, 1), "shed ")
	expect(t, feed(r, second, engineList("a")), "") // nothing is sent after the answer
}

// A request that nothing may be used for waits as long as something can be earned by it, and is then refused at once
// with a time to come back; it is not kept for its deadline so that its client stays quiet.
func TestHeldRequestIsShedOnceItIsWorthNothing(t *testing.T) {
	s := testSettings()
	s.RetryAfter, s.MaxRetryAfter = true, 2*second
	for worth, want := range map[float64]string{0: "shed ", 0.5: ""} {
		s.Classes[0].LateWeight = worth
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
			t.Errorf("refused without a time to come back: %v", got[0])
		}
	}
}

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
	t.Run("no_answer at the deadline still owes one", func(t *testing.T) {
		r := start(nil)
		expect(t, feed(r, second, &Outcome{Request: 1, Code: NoAnswer}), "shed ")
		expect(t, expire(r, second, 1), "")
	})
	t.Run("a first token ends the deadline", func(t *testing.T) {
		r := start(nil)
		feed(r, 500*ms, &FirstToken{Request: 1, Elapsed: 500 * ms})
		expect(t, expire(r, second, 1), "")
		expect(t, feed(r, 3*second, &Outcome{Request: 1, Code: Served, Last: true}), "")
		if len(r.requests) != 0 {
			t.Fatal("a served request is still held")
		}
	})
	t.Run("a broken stream ends the request", func(t *testing.T) {
		r := start(func(s *Settings) { s.MaxAttempts = 4 })
		feed(r, 500*ms, &FirstToken{Request: 1, Elapsed: 500 * ms})
		expect(t, feed(r, 600*ms, &Outcome{Request: 1, Code: ConnectionLost, Last: true}), "")
	})
	t.Run("served after our own answer", func(t *testing.T) {
		r := start(nil)
		expect(t, expire(r, second, 1), "shed cancel ")
		expect(t, feed(r, second+ms, &Outcome{Request: 1, Code: Served, Last: true}), "")
		if len(r.requests) != 0 {
			t.Fatal("the request is still held")
		}
	})
	t.Run("left for a dropped id", func(t *testing.T) {
		r := start(nil)
		feed(r, ms, &Outcome{Request: 1, Code: Served, Last: true}, &ClientDisconnected{Request: 1}, &ClientDisconnected{Request: 77})
		expect(t, feed(r, 2*ms, &FirstToken{Request: 1}, &Outcome{Request: 1, Code: Served}), "")
	})
}

func TestDrainingEngineGetsNoNewRequests(t *testing.T) {
	one := func(state State) *EngineList {
		return &EngineList{Kind: ListDelta, Engines: []Engine{{Name: "a", State: state, Size: 1}}}
	}
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a"), one(Draining))
	expect(t, feed(r, ms, newRequest(1, second)), "") // held, not sent
	expect(t, feed(r, 2*ms, one(Gone)), "")
	back := one(Ready)
	back.Engines[0].ReadyAt = ms // gone, then back with a new start
	feed(r, 3*ms, back)
	if r.engines["a"] == nil || r.engines["a"].notReady {
		t.Fatal("an engine that came back is not used")
	}
	r = New(testSettings(), 1)
	feed(r, 0, engineList("a", "b"), engineList("b")) // removed by a full list
	for i := int64(1); i < 40; i++ {
		for _, a := range feed(r, i*ms, newRequest(i, second)) {
			if a.Engine == "a" {
				t.Fatal("sent to an engine that a full list left out")
			}
		}
	}
}

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
		}, // at once: nothing may follow
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
		s.Classes[0].Effect, s.Classes[0].Group, s.Classes[0].Window = c.effect, c.group, c.window
		r := New(s, 1)
		c.other.Size = 1
		feed(r, 0, engineList("a"))
		expect(t, feed(r, 0, newRequest(1, second)), "send ")
		feed(r, ms, &EngineList{Kind: ListDelta, Engines: []Engine{c.other}})
		if got := kinds(feed(r, 50*ms, &Outcome{Request: 1, Code: c.code, Engine: "a"})); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
		if c.want == "" {
			final := "fail "
			if c.effect == Keyed && c.group == GroupAll {
				final = "shed "
			}
			if got := kinds(expire(r, second-8*ms, 1)); got != final {
				t.Errorf("%s: final answer %q, want %q", c.name, got, final)
			}
		}
	}
}

func TestNoHedgingWhereForbidden(t *testing.T) {
	s := testSettings()
	s.SecondCopies = false
	r := New(s, 1)
	feed(r, 0, engineList("a", "b", "c"))
	expect(t, feed(r, 0, newRequest(1, 3*second)), "send ")
	for now := 50 * ms; now < 3*second; now += 50 * ms {
		for _, a := range tick(r, now) {
			if a.Kind == Send {
				t.Fatal("a second copy is out")
			}
		}
	}
}

func TestHungEngineIsEjectedAndProbed(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b", "c", "d"))
	acts := feed(r, 0, newRequest(1, 4*second))
	hung := acts[0].Engine
	var moved []Action
	now := int64(0)
	for ; now < 1200*ms; now += 50 * ms {
		moved = append(moved, tick(r, now)...)
	}
	if !r.engines[hung].suspect || len(moved) == 0 || moved[0].Kind != Send || moved[0].Engine == hung {
		t.Fatalf("after 1.2 s of silence: suspect %v, actions %q", r.engines[hung].suspect, kinds(moved))
	}
	to := 0
	for i := int64(10); i < 40; i++ {
		for _, a := range feed(r, now, newRequest(i, now+4*second)) {
			if a.Kind == Send && a.Engine == hung {
				to++
			}
		}
	}
	if to != 0 {
		t.Fatalf("%d requests went to a suspect engine", to)
	}
	feed(r, now, &Outcome{Request: 1, Attempt: 0, Code: Served, Engine: hung})
	if r.engines[hung].suspect {
		t.Fatal("a sign of life did not clear the suspicion")
	}
}

func TestCommonFaultEjectsNoEngine(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b"))
	for _, e := range r.engines {
		e.suspect = true
	}
	expect(t, feed(r, ms, newRequest(1, second)), "send ")
}

func TestColdBudget(t *testing.T) {
	s := testSettings()
	r := New(s, 1)
	list := engineList("a", "b", "c", "d")
	list.Engines[0].ReadyAt = 100 * second
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
	// A quarter of the traffic would be 37; the cold engine can take 0.4 of that, times 3, at the rule's edge.
	if limit := float64(all) / 4 * s.ColdCapacityFraction * s.OverloadFactor; sent == 0 || float64(sent) > 0.8*limit {
		t.Fatalf("%d of %d went to the cold engine; the rule's edge is %.0f", sent, all, limit)
	}
}

func TestDiscoveryIsAskedForAndBacksOff(t *testing.T) {
	s := testSettings()
	s.SubscribeDiscovery = true
	r := New(s, 1)
	feed(r, 0, engineList("a"))
	asks := 0
	for now := int64(0); now < 60*second; now += 50 * ms {
		for _, a := range tick(r, now) {
			if a.Kind == Subscribe {
				asks++
				feed(r, now, &EngineList{Kind: ListFailed})
			}
		}
	}
	if asks < 4 || asks > 30 {
		t.Fatalf("%d calls in a minute in which all fail", asks)
	}
	feed(r, 60*second, engineList("a")) // the whole list may answer
	for now := 60 * second; now < 90*second; now += 50 * ms {
		if acts := tick(r, now); len(acts) > 0 {
			t.Fatalf("a live subscription is asked for again: %q", kinds(acts))
		}
	}
}

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
		t.Fatalf("refused %d of low and %d of high worth", shed[0], shed[1])
	}
}

func TestExtremeInputsStayFinite(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b"))
	odd := []float64{nan, inf, -inf, -1, 0, 1e300}
	id := int64(0)
	for _, p := range odd {
		for _, v := range odd {
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

func TestWithoutObjectivesLowestPredictionIsChosen(t *testing.T) {
	s := testSettings()
	s.Classes = []Class{{Streamed: true}}
	r := New(s, 1)
	feed(r, 0, engineList("a", "b"))
	r.engines["a"].report, r.engines["a"].reportAt = Report{MemoryUsage: 0.9, PrefillBacklog: 30, SlotUsage: 0.9}, 1
	r.sessionGain[0] = 0
	toB := 0
	for i := int64(1); i <= 20; i++ {
		acts := feed(r, ms, newRequest(i, second))
		if acts[0].Engine == "b" {
			toB++
		}
	}
	if toB < 15 {
		t.Fatalf("%d of 20 went to the idle engine", toB)
	}
}

func TestSameSeedSameActions(t *testing.T) {
	run := func() []Action {
		var all []Action
		w := newSimulation(5, testSettings())
		for range 600 {
			all = append(all, w.step(nil)...)
		}
		return all
	}
	a, b := run(), run()
	if len(a) < 300 || !reflect.DeepEqual(a, b) {
		t.Fatalf("two runs of one seed differ (%d and %d actions)", len(a), len(b))
	}
}

// Incident i1270be: a zone was lost, and "most look bad, so eject none" went on sending to it.
func TestDownEnginesAreEjectedEvenIfMostAre(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b", "c"))
	for i, e := range r.ready[:2] {
		q := newRequest(int64(i+1), 4*second)
		feed(r, 0, q)
		a := r.requests[q.ID].attempts[0]
		a.engine = e
		r.suspect(e, true)
	}
	for i := int64(10); i < 40; i++ {
		for _, a := range feed(r, 10*ms, newRequest(i, 4*second)) {
			if a.Kind == Send && a.Engine != "c" {
				t.Fatalf("sent to %s, which is down", a.Engine)
			}
		}
	}
}

// Incidents ie6d3d0 and i3e9f87: the pace was known only when answers ended, seconds after it had dropped.
func TestRunningStreamsSlowThePredictedPace(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b"))
	now, id := int64(0), int64(0)
	start := func() int64 {
		id++
		feed(r, now, newRequest(id, now+4*second))
		feed(r, now, &FirstToken{Request: id, Elapsed: 50 * ms})
		return id
	}
	end := func(id int64) {
		feed(r, now, &Outcome{Request: id, Code: Served, Last: true, Elapsed: second + 50*ms})
	}
	var running []int64
	for now = second; now < 20*second; now += 100 * ms {
		running = append(running, start())
		if len(running) > 10 { // each runs for a second
			end(running[0])
			running = running[1:]
		}
	}
	calm := r.tpotDrift()
	for until := now + 3*second; now < until; now += 100 * ms {
		start() // none ends any more
	}
	if r.tpotDrift() < calm+0.3 {
		t.Fatalf("pace is taken %.2f slower (log) after 3 s in which no stream ended, was %.2f", r.tpotDrift(), calm)
	}
}

// Incidents ie6d3d0 and id6991c: second copies took what an overloaded fleet lacked.
func TestNoHedgingWhileShedding(t *testing.T) {
	for _, cut := range []float64{0, 0.5} {
		r := New(testSettings(), 1)
		feed(r, 0, engineList("a", "b", "c"))
		feed(r, 0, newRequest(1, 4*second))
		r.shedFraction, r.now, r.requests[1].attempts[0].ttft = cut, second, 0.01
		r.hedgeOrCancel(r.requests[1].attempts[0])
		if got := len(r.requests[1].attempts); (cut > 0) != (got == 1) {
			t.Fatalf("refused part %.1f: %d attempts", cut, got)
		}
	}
}

// Requests that are alike must be thinned, not all refused.
func TestAlikeRequestsAreShedInPart(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b", "c"))
	refused := 0
	for i := int64(1); i <= 300; i++ {
		r.shedFraction, r.shedFractionAt = 0.4, r.now
		q := newRequest(i, 2*second)
		q.Session = 0
		if kinds(feed(r, i*ms, q)) == "shed " {
			refused++
		}
	}
	if refused < 60 || refused > 180 {
		t.Fatalf("%d of 300 like requests refused at a part of 0.4", refused)
	}
}

// A joint failure: what is left of the fleet, cold, must not be taken to be able to do all the work. A gateway that
// is one of many has budget for a cold engine once in a while. The next request uses it, whatever its rank says, but
// for one whose prompt another engine keeps.
func TestColdBudgetIsUsedByLowTrafficGateways(t *testing.T) {
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
		list.Engines[40].ReadyAt = 101 * second
		feed(r, 101*second, list)
		for i := range r.ready {
			r.ready[i].slowStartBudget = 1
		}
		again := newRequest(2, 105*second)
		again.Session = 7919 // the first one's
		if got := feed(r, 101*second, again); got[0].Engine != first[0].Engine {
			t.Fatalf("seed %d: a kept prompt went to %s, it is kept at %s", seed, got[0].Engine, first[0].Engine)
		}
		if got := feed(r, 101*second, newRequest(3, 105*second)); got[0].Engine != "cold" {
			t.Fatalf("seed %d: the budget was not used: %v", seed, got)
		}
		if got := feed(r, 101*second, newRequest(4, 105*second)); got[0].Engine == "cold" {
			t.Fatalf("seed %d: the budget was used twice", seed)
		}
	}
}

// A gateway with much traffic weighs cold engines as it does others: forced on them, its whole budget would be all that
// they can bear.
func TestColdBudgetIsNotForcedByBusyGateways(t *testing.T) {
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
		list.Engines[7].ReadyAt = now
		feed(r, now, list)
		r.engines["cold"].slowStartBudget = 1
		if got := feed(r, now, newRequest(1000, now+4*second)); got[0].Engine == "cold" {
			forced++
		}
	}
	if forced > 15 {
		t.Fatalf("%d of 20 requests went to a cold engine; of eight it is one", forced)
	}
}

func TestColdBudgetInJointFailure(t *testing.T) {
	r := New(testSettings(), 1)
	feed(r, 0, engineList("a", "b", "c", "d", "e", "f"))
	now := 10 * second
	for i := int64(1); i < 200; i++ {
		now += 20 * ms
		feed(r, now, newRequest(i, now+second), &Outcome{Request: i, Code: Rejected})
	}
	left := engineList("a")
	left.Engines[0].ReadyAt = now
	feed(r, now, left)
	sent := 0
	for i := int64(1000); i < 1150; i++ {
		now += 20 * ms
		for _, a := range feed(r, now, newRequest(i, now+second)) {
			if a.Kind == Send {
				sent++
			}
		}
	}
	// A sixth of 150 requests, times 3, times a capacity that rises from 0.4 to 0.63: 25 to 48 is the edge.
	if sent < 5 || sent > 25 {
		t.Fatalf("%d of 150 sent to the one cold engine left", sent)
	}
}

// Hunt day h7ec13f: one tenant sent several times its quota, and the others were refused alike.
func TestOverQuotaIsRefusedFirst(t *testing.T) {
	s := testSettings()
	s.Gateways, s.OverQuotaWeight = 1, 0.1
	s.Tenants = []Tenant{{QuotaRPS: 20}, {QuotaRPS: 20}}
	r := New(s, 1)
	feed(r, 0, engineList("a", "b", "c"))
	refused := [2]int{}
	for i := int64(1); i <= 600; i++ { // 100 a second: 83 of tenant 0, 17 of tenant 1
		now := i * 10 * ms
		r.shedFraction, r.shedFractionAt = 0.3, now
		q := newRequest(i, now+2*second)
		if i%6 == 0 {
			q.Tenant = 1
		}
		if kinds(feed(r, now, q)) == "shed " {
			refused[q.Tenant]++
		}
	}
	if refused[0] < 100 || refused[1] > 10 {
		t.Fatalf("refused %d over and %d within the quota", refused[0], refused[1])
	}
}

// Twins of one gateway and six engines stood below random choice: three engines of six were looked at.
func TestLoneGatewayConsidersAllEngines(t *testing.T) {
	for balancers, want := range map[int]int{1: 8, 2: 4, 30: sampleSize} {
		s := testSettings()
		s.Gateways = balancers
		r := New(s, 1)
		feed(r, 0, engineList("a", "b", "c", "d", "e", "f", "g", "h"))
		if got := len(r.buildOptions(&request{Request: *newRequest(1, second)}, false)); got != want {
			t.Errorf("%d gateways: %d engines looked at, want %d", balancers, got, want)
		}
	}
}

// Of many engines the one with the least headroom is the one whose prediction is most wrong: more of the aim must be
// left.
func TestSafetyMarginGrowsWithCandidates(t *testing.T) {
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
		idle := r.buildOptions(q, false)[0].ttftUpper
		for _, e := range r.ready {
			e.slowness = math.Log(0.4 / idle) // of an aim of 1 s
		}
		if o := r.buildOptions(q, false)[0]; math.Abs(o.ttftUpper-0.4) > 0.01 || o.hasHeadroom != want {
			t.Errorf(
				"%d engines: 0.6 of the aim left (predicted %.2f s) counts as headroom: %v",
				n,
				o.ttftUpper,
				o.hasHeadroom,
			)
		}
	}
}

// An engine that was last heard of long ago and not told anew gets nothing while another can be used, and is tried
// before nothing is.
func TestStaleEnginesAreUsedLast(t *testing.T) {
	r := New(testSettings(), 1)
	list := &EngineList{Kind: ListFull}
	for _, name := range []string{"a", "b", "c"} {
		list.Engines = append(list.Engines, Engine{Name: name, Size: 1, Stale: name != "c"})
	}
	sent := func(id int64) (to string) {
		for _, a := range r.Handle(id*ms, &Request{ID: id, Deadline: id*ms + 5000*ms, PromptTokens: 10, MaxTokens: 10}, nil) {
			if a.Kind == Send {
				to = a.Engine
			}
		}
		return to
	}
	r.Handle(0, list, nil)
	for id := int64(1); id <= 20; id++ {
		if to := sent(id); to != "c" {
			t.Fatalf("request %d went to %q", id, to)
		}
	}
	list.Engines = list.Engines[:2]
	r.Handle(100*ms, list, nil)
	if sent(200) == "" {
		t.Fatal("nothing is tried where all are stale")
	}
	list.Engines[0].Stale = false
	r.Handle(300*ms, list, nil)
	for id := int64(301); id <= 310; id++ {
		if to := sent(id); to != "a" {
			t.Fatalf("request %d went to %q", id, to)
		}
	}
}

// A large fleet is not gone over whole: a session is weighed among the same engines whatever else comes and goes, and
// with all of those unusable it still finds one.
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
	looked := func(r *Router) map[string]bool {
		names := map[string]bool{}
		for _, e := range r.sampleEngines(q) {
			if e.Pool != 2 {
				t.Fatalf("%s is of another pool", e.Name)
			}
			if names[e.Name] {
				t.Fatalf("%s is looked at twice", e.Name)
			}
			names[e.Name] = true
		}
		return names
	}
	a, b := New(testSettings(), 1), New(testSettings(), 2)
	a.Handle(0, list, nil)
	b.Handle(0, list, nil)
	first := looked(a)
	if len(first) < sampleByKey || len(first) > sampleByKey+2*sampleByPrefix {
		t.Fatalf("%d engines are looked at", len(first))
	}
	for name := range looked(b) {
		if !first[name] {
			t.Fatalf("another gateway looks at %s", name)
		}
	}
	// One that goes is made up for by one other.
	for name := range first {
		a.Handle(
			1,
			&EngineList{Kind: ListDelta, Engines: []Engine{{Name: name, Size: 1, Pool: 2, State: Draining}}},
			nil,
		)
		same := 0
		for other := range looked(a) {
			if first[other] {
				same++
			}
		}
		if same < len(first)-1 {
			t.Fatalf("%d of %d are looked at still", same, len(first))
		}
		break
	}
	// All that it would look at are starting, and may not be sent more.
	for name := range first {
		b.Handle(ms, &EngineList{Kind: ListDelta, Engines: []Engine{{Name: name, Size: 1, Pool: 2, ReadyAt: ms}}}, nil)
	}
	b.settings.WarmUp, b.settings.OverloadFactor = 20*second, 4
	sent := false
	for _, act := range b.Handle(2*ms, &Request{ID: 9, Deadline: second, Session: 77, Prefix: 5, PromptTokens: 10, Pool: 2}, nil) {
		sent = sent || act.Kind == Send
	}
	if !sent {
		t.Fatal("nothing was sent")
	}
}

// A process that was started anew under the same name is neither trusted nor blamed for what is still out at the one
// before: not its late report, nor what it kept, nor its silence, nor its errors; and it is cold.
func TestRestartedEngineInheritsNothing(t *testing.T) {
	set := testSettings()
	set.SecondCopies, set.Gateways = false, 1
	r := New(set, 1)
	now := 100 * second
	feed(r, now, engineList("a", "b"))
	send := func(id int64, start int64) *request {
		q := &request{Request: *newRequest(id, now+9*second), arrivedAt: now}
		q.Prefix, q.PrefixTokens = 77, 500
		r.now, r.requests[id] = start, q
		r.send(q, &option{engine: r.engines["a"], features: featureVector{1}, ttft: 0.1})
		return q
	}
	for id := int64(1); id <= 6; id++ {
		send(id, now)
	}
	old := r.engines["a"]
	now += second
	feed(r, now, &EngineList{Kind: ListDelta, Engines: []Engine{{Name: "a", Size: 1, ReadyAt: now - 100*ms}}})
	a := r.engines["a"]
	if a.tokensInFlight != 0 || a.attemptsInFlight != 0 || a.slowStartBudgetAt == 0 {
		t.Fatalf(
			"the new process has %v tokens of the old one, %d out, cold %v",
			a.tokensInFlight,
			a.attemptsInFlight,
			a.slowStartBudgetAt,
		)
	}
	report := &Report{MemoryUsage: 0.9, PrefillBacklog: 50, SlotUsage: 0.9}
	now += second
	feed(r, now, &FirstToken{Request: 1, Elapsed: 2 * second},
		&Outcome{Request: 1, Last: true, Engine: "a", CachedTokens: 900, OutputTokens: 50, Elapsed: 3 * second, Report: report})
	for id, code := range map[int64]OutcomeCode{2: ServerError, 3: ServerError, 4: ConnectionLost, 5: NoConnection} {
		feed(r, now, &Outcome{Request: id, Last: true, Code: code, Engine: "a", Report: report})
	}
	tick(r, now+5*second)
	q := &request{Request: *newRequest(1, now+9*second)}
	q.Prefix, q.PrefixTokens = 77, 500
	if a.reportAt != 0 || a.slowness != 0 || a.tpotSlowness.n != 0 || a.errorRate != 0 || a.suspect ||
		r.match(q, a) != 0 {
		t.Fatalf(
			"told of the old process and held of the new: report %v, speed %v, drag %v, sour %v, suspect %v, match %v",
			a.reportAt,
			a.slowness,
			a.tpotSlowness.n,
			a.errorRate,
			a.suspect,
			r.match(q, a),
		)
	}
	if old.attemptsInFlight != 1 || a.attemptsInFlight != 0 {
		t.Fatalf("%d out at the old process, %d at the new", old.attemptsInFlight, a.attemptsInFlight)
	}
}

// What one request says of a shared beginning's length is not believed for another's.
func TestPrefixLengthIsNotTrustedAcrossRequests(t *testing.T) {
	set := testSettings()
	set.Gateways = 1
	r := New(set, 1)
	feed(r, second, engineList("a"))
	a := r.engines["a"]
	with := func(length float64) *request {
		q := &request{Request: *newRequest(1, 9*second)}
		q.Session, q.Prefix, q.PrefixTokens = 0, 77, length
		return q
	}
	honest := with(400)
	r.recordCachedPrompt(with(1000), a, 1000) // far more than the beginning has
	if m := r.match(honest, a); m != 0.4 {
		t.Fatalf("match %v of a prompt of 1,000 tokens that begins with 400 shared ones", m)
	}
	r.recordCachedPrompt(honest, a, 1000)
	r.recordCachedPrompt(with(0), a, 1000) // takes nothing away
	if m := r.match(honest, a); m != 0.4 {
		t.Fatalf("match %v after another said that there is no beginning", m)
	}
}

// A stream that its client was slow to take says nothing of the engine's pace.
func TestStreamsSlowedByClientsTeachNoPace(t *testing.T) {
	set := testSettings()
	set.SecondCopies, set.Gateways = false, 1
	pace := func(held bool) float64 {
		r := New(set, 1)
		feed(r, second, engineList("a"))
		now := second
		for id := int64(1); id <= 60; id++ {
			now += 5 * second
			send := feed(r, now, newRequest(id, now+9*second))
			gap := 20 * ms
			if loud := id%2 == 0; loud && held {
				gap = 200 * ms
			}
			feed(r, now+100*ms, &FirstToken{Request: id, Elapsed: 100 * ms})
			feed(
				r,
				now+4*second,
				&Outcome{Request: id, Last: true, Engine: send[0].Engine, OutputTokens: 50, Elapsed: 100*ms + 50*gap,
					ClientStalled: gap > 20*ms},
			)
		}
		o := option{engine: r.engines["a"]}
		r.predict(&request{Request: *newRequest(999, now+9*second)}, &o)
		return o.tpot
	}
	if quiet, loud := pace(false), pace(true); loud > 1.2*quiet {
		t.Fatalf("%.4f s a token beside a slow reader, %.4f without", loud, quiet)
	}
}
