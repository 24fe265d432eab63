package standpoint

import (
	"testing"
)

// blind is a deployment whose engines tell nobody their load.
func blind() Settings {
	s := testSettings()
	s.Reports, s.SecondCopies, s.Zones, s.CrossZonePrice, s.Gateways = ReportNone, false, 5, 0.015, 10
	return s
}

// inZones are n engines, one after the other in each zone.
func inZones(n, zones int) *EngineList {
	l := &EngineList{Kind: ListFull}
	for i := range n {
		l.Engines = append(l.Engines, Engine{Name: engineName(i), Size: 1, Zone: i % zones})
	}
	return l
}

// A gateway that sees no load does not know whether its zone bears its traffic: it uses the whole fleet, unless
// crossing costs more than that. With reports it prefers its own zone.
func TestWithoutReportsOwnZoneIsNotPreferred(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		reports ReportMode
		price   float64
		home    bool
	}{{ReportNone, 0.015, false}, {ReportNone, 0.3, true}, {ReportReplies, 0.015, true}} {
		s := blind()
		s.Reports, s.CrossZonePrice, s.WarmUp = c.reports, c.price, 0
		r := New(s, 1)
		list := inZones(50, s.Zones)
		feed(r, second, list)
		own, all := 0, 0
		for id := range int64(400) {
			now := second + id*100*ms
			for _, a := range feed(r, now, newRequest(id+1, now+4*second)) {
				if a.Kind == Send {
					all++
					if r.engines[a.Engine].Zone == s.Zone {
						own++
					}
					feed(
						r,
						now+50*ms,
						&FirstToken{Request: id + 1, Elapsed: 50 * ms},
						&Outcome{Request: id + 1, Code: Served, Engine: a.Engine, Elapsed: 90 * ms},
					)
				}
			}
		}
		share := float64(own) / float64(all)
		if c.home != (share > 0.6) || !c.home && share > 0.35 {
			t.Errorf("%+v: %.2f of %d in the own zone", c, share, all)
		}
	}
}

// An engine that keeps its requests waiting is not sent more on the word of those that it answered before: neither by
// its rank, nor since it keeps the prompt.
func TestWithoutReportsWaitsRevealLoad(t *testing.T) {
	t.Parallel()
	s := blind()
	s.Zones, s.CrossZonePrice, s.Gateways, s.Cancel = 1, 0, 1, false
	r := New(s, 1)
	feed(r, second, engineList("a", "b"))
	kept := &Request{ID: 1, Deadline: 5 * second, Session: 7, PromptTokens: 4000, MaxTokens: 100}
	first := feed(r, second, kept)
	expect(t, first, "send ")
	busy := first[0].Engine
	feed(
		r,
		second+50*ms,
		&FirstToken{Request: 1, Elapsed: 50 * ms},
		&Outcome{Request: 1, Code: Served, Engine: busy, CachedTokens: 4000, Elapsed: 90 * ms},
	)
	now := 2 * second
	again := func(id int64) string {
		q := *kept
		q.ID, q.Deadline = id, now+4*second
		for _, a := range feed(r, now, &q) {
			if a.Kind == Send {
				return a.Engine
			}
		}
		return ""
	}
	if got := again(2); got != busy {
		t.Fatalf("%q, and %q keeps the prompt", got, busy)
	}
	now += 1600 * ms // its first token is late, and no other word has come
	if got := again(3); got == busy || got == "" {
		t.Fatalf("%q has said nothing for 1.6 s", got)
	}
	now += 2500 * ms // both waits are over without a token
	feed(r, now, &Outcome{Request: 2, Code: NoAnswer, Engine: busy, Elapsed: 4 * second})
	if w := r.wastedWaitOf(r.engines[busy]); w < 4 {
		t.Errorf("%v s are forgotten", w)
	}
	tick(r, now+10*second)
	if w := r.wastedWaitOf(r.engines[busy]); w > 0.2 {
		t.Errorf("%v s are remembered for ever", w)
	}
}

// Attempts that end without a first token show an overload: a part is refused at once, soon after the start too, and
// nothing is called off to be read again elsewhere. Aims that are met bring it back. With reports they count as
// before.
func TestWithoutReportsHopelessRequestsAreShed(t *testing.T) {
	t.Parallel()
	for _, reports := range []ReportMode{ReportNone, ReportReplies} {
		s := blind()
		s.Reports = reports
		r := New(s, 1)
		feed(r, second, inZones(10, s.Zones))
		id, now := int64(0), second
		play := func(n int, answered bool) (refused int) {
			for range n {
				id, now = id+1, now+300*ms
				for _, a := range feed(r, now, newRequest(id, now+4*second)) {
					switch {
					case a.Kind == Shed:
						refused++
					case a.Kind == Send && answered:
						feed(
							r,
							now+50*ms,
							&FirstToken{Request: id, Elapsed: 50 * ms},
							&Outcome{Request: id, Code: Served, Engine: a.Engine, Elapsed: 90 * ms},
						)
					case a.Kind == Send:
						r.engines[a.Engine].slowness = 0 // the fleet's trouble, not its own
						feed(
							r,
							now+4*second,
							&Outcome{Request: id, Code: NoAnswer, Last: true, Engine: a.Engine, Elapsed: 4 * second},
						)
					}
				}
			}
			return refused
		}
		early := play(7, false) // before there are as many as others wait for
		soon := play(8, false)
		if reports == ReportNone && (early < 1 || soon < 2 || !r.cancellingWastesWork()) || reports != ReportNone && early+soon > 0 {
			t.Errorf("%v: %d of 7, then %d of 8 refused", reports, early, soon)
		}
		play(80, true)
		if back := play(40, true); back > 2 {
			t.Errorf("%v: %d of 40 refused once all is well", reports, back)
		}
	}
}

// The part that is refused falls as aims are met; where no load is told time alone hardly changes it, for the next
// requests find the servers as the last ones left them.
func TestWithoutReportsSheddingDoesNotDecayWithTime(t *testing.T) {
	t.Parallel()
	for reports, least := range map[ReportMode]float64{ReportNone: 0.35, ReportReplies: 0} {
		s := blind()
		s.Reports = reports
		r := New(s, 1)
		feed(r, second, engineList("a"))
		r.shedFraction, r.shedFractionAt = 0.5, second
		feed(r, 6*second, newRequest(1, 9*second))
		if r.shedFraction < least || least == 0 && r.shedFraction > 0 {
			t.Errorf("%v: %.2f after 5 s", reports, r.shedFraction)
		}
	}
}

// What waits on an engine that says nothing is called off, to be tried elsewhere; not while the fleet is overloaded
// and nobody tells the load, for its engines would read it twice.
func TestWithoutReportsNoCancelInOverload(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		reports ReportMode
		cut     float64
		want    string
	}{{ReportNone, 0, "cancel "}, {ReportNone, 0.5, ""}, {ReportReplies, 0.5, "cancel "}} {
		s := blind()
		s.Reports, s.Classes[0].LateWeight = c.reports, 0.5
		r := New(s, 1)
		feed(r, second, engineList("a"))
		expect(t, feed(r, second, newRequest(1, 9*second)), "send ")
		feed(r, second, engineList("a", "b", "c", "d"))
		r.shedFraction, r.shedFractionAt = c.cut, second
		expect(t, tick(r, 4*second), c.want)
	}
}

// Calling an attempt off is paid for with the right to repeat it: none is called off that then could not be tried
// elsewhere.
func TestCancelConsumesRetryBudget(t *testing.T) {
	t.Parallel()
	s := testSettings()
	s.SecondCopies, s.Gateways, s.Classes[0].LateWeight = false, 1, 0.5
	r := New(s, 1)
	feed(r, second, engineList("a"))
	for id := range int64(6) {
		expect(t, feed(r, second, newRequest(id+1, 9*second)), "send ")
	}
	r.retryBudget = 2
	feed(r, second, engineList("a", "b", "c", "d"))
	called := feed(r, 8*second, &TimerFired{Token: tokenTick})
	expect(t, called, "cancel cancel ")
	for _, a := range called {
		expect(
			t,
			feed(
				r,
				8*second,
				&Outcome{Request: a.Request, Attempt: 0, Code: Cancelled, Engine: "a", Elapsed: 7 * second},
			),
			"send ",
		)
	}
}
