package standpoint

import (
	"encoding/json"
	"math"
	"testing"
)

// taught is a router that has served for a while: "a" is quick, "b" slow, and a conversation is kept at one of them.
func taught(s Settings) (*Router, int64) {
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
					Elapsed: took + 100*ms, OutputTokens: 20, Report: &Report{MemoryUsage: 0.3, PrefillBacklog: 1, SlotUsage: 0.4}},
			)
		}
	}
	return r, now
}

// What one router learned, another goes on by: predictions, paces, what is believed of engines, and what they keep.
func TestRecallRestoresLearnedState(t *testing.T) {
	s := testSettings()
	r, now := taught(s)
	raw, err := json.Marshal(r.Learned())
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > 1<<20 {
		t.Fatalf("%d bytes", len(raw))
	}
	var l Learned
	if err := json.Unmarshal(raw, &l); err != nil {
		t.Fatal(err)
	}
	next := New(s, 2)
	feed(next, now, engineList("a", "b", "c"))
	if err := next.RestoreLearned(&l, now); err != nil {
		t.Fatal(err)
	}
	near := func(what string, a, b, most float64) {
		if math.Abs(a-b) > most*math.Abs(a) {
			t.Errorf("%s: %g, and %g after", what, a, b)
		}
	}
	for i := int64(1); i <= 20; i++ { // the same question to both
		q := &request{Request: *newRequest(i*20, now+4*second), arrivedAt: now}
		for _, name := range []string{"a", "b"} {
			was, is := option{engine: r.engines[name]}, option{engine: next.engines[name]}
			was.match, is.match = r.match(q, was.engine), next.match(q, is.engine)
			near("match", was.match, is.match, 1e-3)
			r.predict(q, &was)
			next.predict(q, &is)
			near("first token at "+name, was.ttftUpper, is.ttftUpper, 1e-3)
			near("pace at "+name, was.tpotUpper, is.tpotUpper, 0.15)
		}
	}
	near("rate", r.requestRate, next.requestRate, 1e-3)
	if next.engines["b"].slowness <= next.engines["a"].slowness {
		t.Error("the slow one is not known")
	}
	if c := next.engines["c"]; c.slowness != 0 || c.reportAt != 0 {
		t.Error("something is believed of one that nobody knew")
	}
	restarted := New(s, 3)
	feed(restarted, now, &EngineList{Kind: ListFull, Engines: []Engine{{Name: "b", Size: 1, ReadyAt: now - second}}})
	if err := restarted.RestoreLearned(&l, now); err != nil || restarted.engines["b"].slowness != 0 {
		t.Errorf("%v: believed of another process", err)
	}
}

// What does not hold is not taken, in no part of it.
func TestRecallRejectsInvalidState(t *testing.T) {
	s := testSettings()
	r, now := taught(s)
	for name, spoil := range map[string]func(*Learned){
		"version":  func(l *Learned) { l.Version++ },
		"age":      func(l *Learned) { l.ExportedAt -= 2 * maxLearnedAge },
		"future":   func(l *Learned) { l.ExportedAt += 2 * second },
		"kinds":    func(l *Learned) { l.KindCount++ },
		"models":   func(l *Learned) { l.TTFTModels = l.TTFTModels[1:] },
		"sample":   func(l *Learned) { l.TPOTModels[0].Samples[0] = nil },
		"number":   func(l *Learned) { l.TTFTModels[0].Coefficients[2] = math.NaN() },
		"gap":      func(l *Learned) { l.BaseTPOT = 0 },
		"endless":  func(l *Learned) { l.Engines[0].Slowness = math.Inf(1) },
		"too many": func(l *Learned) { l.RecentValueDensities = make([]float64, maxRankedRequests+1) },
	} {
		l := r.Learned()
		spoil(l)
		next := New(s, 2)
		feed(next, now, engineList("a", "b"))
		if err := next.RestoreLearned(l, now); err == nil {
			t.Errorf("%s: taken", name)
		}
		if next.baseTPOT != New(s, 2).baseTPOT || next.engines["b"].slowness != 0 {
			t.Errorf("%s: taken in part", name)
		}
	}
}

func FuzzRecall(f *testing.F) {
	s := testSettings()
	r, now := taught(s)
	raw, err := json.Marshal(r.Learned())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var l Learned
		if json.Unmarshal(raw, &l) != nil {
			return
		}
		next := New(s, 2)
		feed(next, now, engineList("a", "b"))
		if next.RestoreLearned(&l, now) != nil {
			return
		}
		for id := int64(1); id < 20; id++ {
			sent := 0
			for _, a := range feed(next, now+id*10*ms, newRequest(id, now+4*second)) {
				if a.Kind == Send || a.Kind == Shed {
					sent++
				}
			}
			if sent > 1 {
				t.Fatal("more than one answer to a request")
			}
		}
	})
}
