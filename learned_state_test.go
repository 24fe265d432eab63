package standpoint

import (
	"encoding/json"
	"math"
	"testing"
)

// trainedRouter returns a router that has served 400 requests at 20 a second, and the time after them. Engine "a" is
// fast and "b" slow, and each session's prompt is cached at one of them.
func trainedRouter(s Settings) (*Router, int64) {
	r := New(s, 1)
	now := int64(1000) * second
	feed(r, now, engineList("a", "b"))
	for id := int64(1); id <= 400; id++ {
		now += 50 * ms
		for _, a := range feed(r, now, newRequest(id, now+4*second)) {
			if a.Kind != Send {
				continue
			}
			took := 50 * ms
			if a.Engine == "b" {
				took = 700 * ms
			}
			feed(
				r,
				now+took,
				&FirstToken{Request: id, Elapsed: took},
				&Outcome{Request: id, Last: true, Code: Served, Engine: a.Engine,
					Elapsed: took + 100*ms, OutputTokens: 20,
					Report: &Report{MemoryUsage: 0.3, PrefillBacklog: 1, SlotUsage: 0.4}},
			)
		}
	}
	return r, now
}

// A router that restores the learned state of another makes the same predictions and has the same view of the engines
// and of the prompts that they have cached. Engines unknown to the first router, and restarted ones, inherit nothing.
func TestRestoreLearnedRestoresState(t *testing.T) {
	s := testSettings()
	r, now := trainedRouter(s)
	raw, err := json.Marshal(r.Learned())
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > 1<<20 {
		t.Fatalf("learned state of %d bytes, want at most 1 MiB", len(raw))
	}
	var learned Learned
	if err := json.Unmarshal(raw, &learned); err != nil {
		t.Fatal(err)
	}
	successor := New(s, 2)
	feed(successor, now, engineList("a", "b", "c"))
	if err := successor.RestoreLearned(&learned, now); err != nil {
		t.Fatal(err)
	}
	expectNear := func(what string, a, b, tolerance float64) {
		if math.Abs(a-b) > tolerance*math.Abs(a) {
			t.Errorf("%s: %g before and %g after the restore", what, a, b)
		}
	}
	for i := int64(1); i <= 20; i++ { // the same request to both routers
		q := &request{Request: *newRequest(i*20, now+4*second), arrivedAt: now}
		for _, name := range []string{"a", "b"} {
			before, after := option{engine: r.engines[name]}, option{engine: successor.engines[name]}
			before.match, after.match = r.match(q, before.engine), successor.match(q, after.engine)
			expectNear("match", before.match, after.match, 1e-3)
			r.predict(q, &before)
			successor.predict(q, &after)
			expectNear("TTFT at "+name, before.ttftUpper, after.ttftUpper, 1e-3)
			expectNear("TPOT at "+name, before.tpotUpper, after.tpotUpper, 0.15)
		}
	}
	expectNear("request rate", r.requestRate, successor.requestRate, 1e-3)
	if successor.engines["b"].ttftSlowness <= successor.engines["a"].ttftSlowness {
		t.Error("the slow engine is not known as slower than the fast one")
	}
	if c := successor.engines["c"]; c.ttftSlowness != 0 || c.reportAt != 0 {
		t.Error("state restored for an engine that the first router did not know")
	}
	restarted := New(s, 3)
	feed(restarted, now, &EngineList{Kind: ListFull, Engines: []Engine{{Name: "b", Size: 1, StartedAt: now - second}}})
	if err := restarted.RestoreLearned(&learned, now); err != nil || restarted.engines["b"].ttftSlowness != 0 {
		t.Errorf("state restored for a restarted engine, error %v", err)
	}
}

// Invalid learned state is rejected, and no part of it is restored.
func TestRestoreLearnedRejectsInvalidState(t *testing.T) {
	s := testSettings()
	r, now := trainedRouter(s)
	for name, invalidate := range map[string]func(*Learned){
		"version":  func(l *Learned) { l.Version++ },
		"age":      func(l *Learned) { l.ExportedAt -= 2 * maxLearnedAge },
		"future":   func(l *Learned) { l.ExportedAt += 2 * second },
		"kinds":    func(l *Learned) { l.KindCount++ },
		"models":   func(l *Learned) { l.TTFTModels = l.TTFTModels[1:] },
		"sample":   func(l *Learned) { l.TPOTModels[0].Samples[0] = nil },
		"number":   func(l *Learned) { l.TTFTModels[0].Coefficients[2] = math.NaN() },
		"gap":      func(l *Learned) { l.BaseTPOT = 0 },
		"infinite": func(l *Learned) { l.Engines[0].Slowness = math.Inf(1) },
		"too many": func(l *Learned) { l.RecentValueDensities = make([]float64, maxRankedRequests+1) },
	} {
		l := r.Learned()
		invalidate(l)
		successor := New(s, 2)
		feed(successor, now, engineList("a", "b"))
		if err := successor.RestoreLearned(l, now); err == nil {
			t.Errorf("%s: no error", name)
		}
		if successor.baseTPOT != New(s, 2).baseTPOT || successor.engines["b"].ttftSlowness != 0 {
			t.Errorf("%s: restored in part", name)
		}
	}
}

// A router that has restored any learned state that passes the check gives at most one response to each request.
func FuzzRestoreLearned(f *testing.F) {
	s := testSettings()
	r, now := trainedRouter(s)
	raw, err := json.Marshal(r.Learned())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var learned Learned
		if json.Unmarshal(raw, &learned) != nil {
			return
		}
		successor := New(s, 2)
		feed(successor, now, engineList("a", "b"))
		if successor.RestoreLearned(&learned, now) != nil {
			return
		}
		for id := int64(1); id < 20; id++ {
			responses := 0
			for _, a := range feed(successor, now+id*10*ms, newRequest(id, now+4*second)) {
				if a.Kind == Send || a.Kind == Shed {
					responses++
				}
			}
			if responses > 1 {
				t.Fatal("more than one send or shed for a request")
			}
		}
	})
}
