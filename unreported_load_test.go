package standpoint

import (
	"testing"
)

// noReportSettings describes a deployment of ten gateways and five zones without load reports.
func noReportSettings() Settings {
	s := testSettings()
	s.Reports, s.HedgedRequests, s.Zones, s.CrossZonePrice, s.Gateways = ReportNone, false, 5, 0.015, 10
	return s
}

// engineListInZones returns a full list of n engines of size 1, assigned to the zones in turn.
func engineListInZones(n, zones int) *EngineList {
	l := &EngineList{Kind: ListFull}
	for i := range n {
		l.Engines = append(l.Engines, Engine{Name: engineName(i), Size: 1, Zone: i % zones})
	}
	return l
}

// Without load reports a gateway does not know whether its own zone can carry its traffic, so it uses the whole fleet
// unless cross-zone requests are expensive. With reports it prefers its own zone.
func TestWithoutReportsOwnZoneIsNotPreferred(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		reports        ReportMode
		price          float64
		prefersOwnZone bool
	}{{ReportNone, 0.015, false}, {ReportNone, 0.3, true}, {ReportResponses, 0.015, true}} {
		s := noReportSettings()
		s.Reports, s.CrossZonePrice, s.WarmUp = c.reports, c.price, 0
		r := New(s, 1)
		list := engineListInZones(50, s.Zones)
		feed(r, second, list)
		inOwnZone, all := 0, 0
		for id := range int64(400) {
			now := second + id*100*ms
			for _, a := range feed(r, now, newRequest(id+1, now+4*second)) {
				if a.Kind == Send {
					all++
					if r.engines[a.Engine].Zone == s.Zone {
						inOwnZone++
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
		fraction := float64(inOwnZone) / float64(all)
		if c.prefersOwnZone != (fraction > 0.6) || !c.prefersOwnZone && fraction > 0.35 {
			t.Errorf("%+v: fraction %.2f of %d requests in the own zone", c, fraction, all)
		}
	}
}

// Without load reports an engine at which an attempt is waiting gets no further requests because of its earlier, faster
// responses: neither by its rank nor because it has the prompt cached. The effect of a wait decays.
func TestWithoutReportsWaitsRevealLoad(t *testing.T) {
	t.Parallel()
	s := noReportSettings()
	s.Zones, s.CrossZonePrice, s.Gateways, s.Cancel = 1, 0, 1, false
	r := New(s, 1)
	feed(r, second, engineList("a", "b"))
	cached := &Request{ID: 1, Deadline: 5 * second, Session: 7, PromptTokens: 4000, MaxTokens: 100}
	first := feed(r, second, cached)
	expect(t, first, "send ")
	busy := first[0].Engine
	feed(
		r,
		second+50*ms,
		&FirstToken{Request: 1, Elapsed: 50 * ms},
		&Outcome{Request: 1, Code: Served, Engine: busy, CachedTokens: 4000, Elapsed: 90 * ms},
	)
	now := 2 * second
	sendNextTurn := func(id int64) string {
		q := *cached
		q.ID, q.Deadline = id, now+4*second
		for _, a := range feed(r, now, &q) {
			if a.Kind == Send {
				return a.Engine
			}
		}
		return ""
	}
	if got := sendNextTurn(2); got != busy {
		t.Fatalf("sent to %q, want %q, which has the prompt cached", got, busy)
	}
	now += 1600 * ms // its first token is late, and it has given no other sign of life
	if got := sendNextTurn(3); got == busy || got == "" {
		t.Fatalf("sent to %q, want an engine other than the one that is silent for 1.6 s", got)
	}
	now += 2500 * ms // the attempts end without a first token
	feed(r, now, &Outcome{Request: 2, Code: NoAnswer, Engine: busy, Elapsed: 4 * second})
	if wait := r.minExpectedTTFT(r.engines[busy]); wait < 4 {
		t.Errorf("wasted wait of %v s just after the attempt ended, want at least 4 s", wait)
	}
	tick(r, now+10*second)
	if wait := r.minExpectedTTFT(r.engines[busy]); wait > 0.2 {
		t.Errorf("wasted wait of %v s after 10 s, want at most 0.2 s", wait)
	}
}

// Without load reports attempts that end without a first token show an overload. Requests are then shed, even soon
// after the start of the gateway, and no attempt is cancelled only to have its prompt prefilled again elsewhere. Met
// objectives end the shedding. With load reports such attempts cause no shedding.
func TestWithoutReportsHopelessRequestsAreShed(t *testing.T) {
	t.Parallel()
	for _, reports := range []ReportMode{ReportNone, ReportResponses} {
		s := noReportSettings()
		s.Reports = reports
		r := New(s, 1)
		feed(r, second, engineListInZones(10, s.Zones))
		id, now := int64(0), second
		run := func(n int, served bool) (shed int) {
			for range n {
				id, now = id+1, now+300*ms
				for _, a := range feed(r, now, newRequest(id, now+4*second)) {
					switch {
					case a.Kind == Shed:
						shed++
					case a.Kind == Send && served:
						feed(
							r,
							now+50*ms,
							&FirstToken{Request: id, Elapsed: 50 * ms},
							&Outcome{Request: id, Code: Served, Engine: a.Engine, Elapsed: 90 * ms},
						)
					case a.Kind == Send:
						r.engines[a.Engine].ttftSlowness = 0 // the whole fleet is slow, not this engine
						feed(
							r,
							now+4*second,
							&Outcome{Request: id, Code: NoAnswer, Last: true, Engine: a.Engine, Elapsed: 4 * second},
						)
					}
				}
			}
			return shed
		}
		shedFirst := run(7, false) // fewer requests than defaultMinRankedRequests
		shedThen := run(8, false)
		if reports == ReportNone && (shedFirst < 1 || shedThen < 2 || !r.cancellingWastesWork()) ||
			reports != ReportNone && shedFirst+shedThen > 0 {
			t.Errorf("report mode %v: %d of the first 7, then %d of 8 requests shed", reports, shedFirst, shedThen)
		}
		run(80, true)
		if shedAfter := run(40, true); shedAfter > 2 {
			t.Errorf("report mode %v: %d of 40 requests shed after met objectives, want at most 2", reports, shedAfter)
		}
	}
}

// The shed fraction falls as objectives are met. Without load reports the passing of time hardly changes it, as the
// next requests find the engines in the same state.
func TestWithoutReportsSheddingDoesNotDecayWithTime(t *testing.T) {
	t.Parallel()
	for reports, minFraction := range map[ReportMode]float64{ReportNone: 0.35, ReportResponses: 0} {
		s := noReportSettings()
		s.Reports = reports
		r := New(s, 1)
		feed(r, second, engineList("a"))
		r.shedFraction, r.shedFractionAt = 0.5, second
		feed(r, 6*second, newRequest(1, 9*second))
		if r.shedFraction < minFraction || minFraction == 0 && r.shedFraction > 0 {
			t.Errorf("report mode %v: shed fraction %.2f after 5 s, was 0.5", reports, r.shedFraction)
		}
	}
}

// Attempts at a silent engine are cancelled and retried elsewhere, but not while a fleet without load reports is
// overloaded, since its engines would prefill the same prompt twice.
func TestWithoutReportsNoCancelInOverload(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		reports      ReportMode
		shedFraction float64
		want         string
	}{{ReportNone, 0, "cancel "}, {ReportNone, 0.5, ""}, {ReportResponses, 0.5, "cancel "}} {
		s := noReportSettings()
		s.Reports, s.Classes[0].LateWeight = c.reports, 0.5
		r := New(s, 1)
		feed(r, second, engineList("a"))
		expect(t, feed(r, second, newRequest(1, 9*second)), "send ")
		feed(r, second, engineList("a", "b", "c", "d"))
		r.shedFraction, r.shedFractionAt = c.shedFraction, second
		expect(t, tick(r, 4*second), c.want)
	}
}

// Cancelling an attempt consumes the retry budget for repeating it, so that no attempt is cancelled whose request could
// then not be retried.
func TestCancelConsumesRetryBudget(t *testing.T) {
	t.Parallel()
	s := testSettings()
	s.HedgedRequests, s.Gateways, s.Classes[0].LateWeight = false, 1, 0.5
	r := New(s, 1)
	feed(r, second, engineList("a"))
	for id := range int64(6) {
		expect(t, feed(r, second, newRequest(id+1, 9*second)), "send ")
	}
	r.retryBudget = 2
	feed(r, second, engineList("a", "b", "c", "d"))
	cancels := feed(r, 8*second, &TimerFired{Token: tokenTick})
	expect(t, cancels, "cancel cancel ")
	for _, a := range cancels {
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
