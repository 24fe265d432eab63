package standpoint

import (
	"fmt"
	"math"
	"testing"
)

// testSettings returns the settings of a small deployment, which tests change as they need.
func testSettings() Settings {
	return Settings{Gateways: 2, Zones: 1, Kinds: 2, MaxAttempts: 4, EventInterval: 4 * ms, DrainGrace: 500 * ms,
		WarmUp: 8 * second, OverloadWindow: 3 * second, ColdCapacityFraction: 0.4, OverloadFactor: 3,
		DiscoveryTimeout: 10 * second,
		Reports:          ReportResponses, HedgedRequests: true, Cancel: true,
		Classes: []Class{{Streamed: true, TTFTObjective: 1000 * ms, TPOTObjective: 50 * ms, Deadline: 4 * second,
			Weight: 1}}}
}

// engineList returns a full list of engines of size 1.
func engineList(names ...string) *EngineList {
	l := &EngineList{Kind: ListFull}
	for _, n := range names {
		l.Engines = append(l.Engines, Engine{Name: n, Size: 1})
	}
	return l
}

// feed passes the events to the router at one time and returns the actions, without timers.
func feed(r *Router, now int64, events ...Event) []Action {
	var all []Action
	for _, ev := range events {
		for _, a := range r.Handle(now, ev, nil) {
			if a.Kind != Timer {
				all = append(all, a)
			}
		}
	}
	return all
}

// newRequest returns a request of the first class with a session of its own.
func newRequest(id, deadline int64) *Request {
	return &Request{ID: id, Deadline: deadline, Session: uint64(id) * 7919, PromptTokens: 1000, MaxTokens: 200}
}

// kinds returns the names of the actions' kinds, each followed by a space.
func kinds(actions []Action) string {
	names := map[ActionKind]string{Send: "send", Cancel: "cancel", Shed: "shed", Fail: "fail", Probe: "probe",
		Subscribe: "subscribe", SendPeer: "send_peer"}
	s := ""
	for _, a := range actions {
		s += names[a.Kind] + " "
	}
	return s
}

// expect fails the test unless the actions are of the wanted kinds, in the form that kinds returns.
func expect(t *testing.T, got []Action, want string) {
	t.Helper()
	if k := kinds(got); k != want {
		t.Fatalf("actions %q, want %q", k, want)
	}
}

// tick fires the periodic timer.
func tick(r *Router, now int64) []Action { return feed(r, now, &TimerFired{Token: tokenTick}) }

// expire fires the timer that ends a request shortly before its deadline.
func expire(r *Router, now, id int64) []Action {
	return feed(r, now, &TimerFired{Token: id*tokenStep + tokenExpire})
}

// allFinite reports whether no value is infinite or not a number.
func allFinite(vs ...float64) bool {
	for _, v := range vs {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

// engineName returns the name, an address, of the engine with the number i.
func engineName(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }
