package standpoint

import (
	"math"
	"math/rand/v2"
	"testing"
)

// longPromptSettings describes a deployment with messages between gateways and without hedged attempts. Prefilling a
// prompt of longPromptRequest takes a large part of its latency objective, so that the load directory is in use.
func longPromptSettings(gateways int) Settings {
	s := testSettings()
	s.Gateways, s.Peers, s.HedgedRequests = gateways, true, false
	return s
}

// longPromptRequest returns a request that arrives at now, with a session of its own and a long shared prefix.
func longPromptRequest(id, now int64, prefix uint64) *Request {
	return &Request{
		ID:           id,
		Deadline:     now + 4*second,
		Session:      uint64(id) * 7919,
		Prefix:       prefix,
		PromptTokens: 6000,
		PrefixTokens: 5000,
		MaxTokens:    200,
	}
}

// gatewayTier is a number of gateways that exchange messages. Each message arrives at once, unless dropMessages is set.
type gatewayTier struct {
	gateways     []*Router
	dropMessages bool
	messages     int // sent so far
}

func newTier(n int, engines ...string) *gatewayTier {
	t := &gatewayTier{}
	for i := range n {
		s := longPromptSettings(n)
		s.Ordinal = i
		r := New(s, int64(i+1))
		feed(r, 1, engineList(engines...))
		t.gateways = append(t.gateways, r)
	}
	return t
}

// deliver passes an event to one gateway and the messages that follow from it to the others. It returns all actions
// except messages and timers.
func (t *gatewayTier) deliver(to int, now int64, ev Event) []Action {
	var others []Action
	for _, a := range feed(t.gateways[to], now, ev) {
		if a.Kind != SendPeer {
			others = append(others, a)
			continue
		}
		t.messages++
		if !t.dropMessages {
			others = append(others, t.deliver(a.Peer, now, &PeerMessage{From: to, Data: a.Data})...)
		}
	}
	return others
}

// Directory messages survive encoding and decoding, truncated ones are rejected, and values out of range are decoded as
// finite ones.
func TestDirectoryMessages(t *testing.T) {
	for _, m := range []directoryMessage{
		{kind: directoryQuery, requestID: 7, engineHash: 1 << 31, sessionHash: 3, prefixHash: 4},
		{kind: directoryAnswer, requestID: 7, engineHash: 9, tokens: 4096, load: engineLoad{1.25, 0.5, 12500}},
		{kind: directoryPromptSent, requestID: 7, engineHash: 9, sessionHash: 3, prefixHash: 4,
			tokens: 1600, promptTokens: 6400, prefixTokens: 4800},
		{kind: directoryPrefillDone, requestID: 7, engineHash: 9},
		{kind: directoryPrefillAborted, requestID: math.MaxUint32, engineHash: 9},
	} {
		text := m.encode()
		if got, ok := decodeDirectoryMessage(text); !ok || got != m || len(text) > 64 {
			t.Errorf("%+v decoded as %+v, %v, in %d bytes", m, got, ok, len(text))
		}
		for cut := range len(text) {
			if _, ok := decodeDirectoryMessage(text[:cut]); ok {
				t.Errorf("%q, the start of %q, was decoded", text[:cut], text)
			}
		}
	}
	outOfRange := directoryMessage{kind: directoryAnswer, tokens: math.Inf(1), load: engineLoad{1e9, -1, math.NaN()}}
	got, ok := decodeDirectoryMessage(outOfRange.encode())
	if !ok || !allFinite(got.load.prefillDelay, got.tokens, got.load.prefillFraction, got.load.prefillSpeed) ||
		got.load.prefillFraction < 0 {
		t.Errorf("values out of range decoded as %+v, %v", got, ok)
	}
}

// Malformed messages from peers cause no actions.
func TestMalformedPeerMessagesChangeNothing(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	tier := newTier(3, "a", "b")
	for i := range 2000 {
		b := make([]byte, rng.IntN(40))
		for j := range b {
			b[j] = byte(rng.IntN(256))
		}
		if got := feed(
			tier.gateways[0], int64(i+2)*ms, &PeerMessage{From: rng.IntN(6) - 1, Data: string(b)},
		); len(got) > 0 {
			t.Fatalf("message %q caused actions %v", b, got)
		}
	}
}

// Engines prefill prompts first in, first out: a prompt that was prefilled shows that all before it were, and at which
// speed.
func TestPrefillBacklogIsFirstInFirstOut(t *testing.T) {
	var b backlog
	b.prefillSpeed = 10000
	expectNear := func(want, got float64) {
		t.Helper()
		if math.Abs(want-got) > 1e-6 {
			t.Fatalf("%g, want %g", got, want)
		}
	}
	expectNear(0, b.prefillDelay(0))
	for i := range 3 {
		b.add(pendingPrompt{gateway: 1, requestID: uint32(i), uncachedTokens: 5000, sentAt: 0})
	}
	expectNear(1.5, b.prefillDelay(0))
	expectNear(1.25, b.prefillDelay(second/4))
	expectNear(1, b.prefillDelay(5*second)) // only the first prompt is known to be in progress
	b.remove(1, 1, true, 2*second)
	expectNear(1, float64(len(b.prompts)))
	expectNear(10000+prefillSpeedWeight*(5000-10000), b.prefillSpeed)
	b.remove(2, 2, true, 2*second) // of another gateway: no effect
	expectNear(1, float64(len(b.prompts)))
	b.remove(1, 2, false, 2*second)
	expectNear(0, b.prefillDelay(2*second))
	expectNear(8000+0.2*5000, b.prefillSpeed)
	b.add(pendingPrompt{requestID: 9, uncachedTokens: 5000, sentAt: 3 * second})
	expectNear(0, b.prefillDelay(3*second+pendingPromptTimeout+1)) // its end was not reported before the timeout
	for i := range 2 * maxPendingPrompts {
		b.add(pendingPrompt{requestID: uint32(i), sentAt: 20 * second})
	}
	expectNear(maxPendingPrompts, float64(len(b.prompts)))
}

// Each of many gateways sends prompts with the same long prefix to the engine to which another gateway sent them
// before, unless that engine's backlog takes longer than prefilling the prefix again. Then the request goes to another
// engine, which from then on has the prefix cached too.
func TestGatewaysSharePrefixLocations(t *testing.T) {
	tier := newTier(20, "a", "b", "c", "d", "e", "f")
	now, id := second, int64(1)
	send := func(gateway int) string {
		id++
		got := tier.deliver(gateway, now, longPromptRequest(id, now, 77))
		expect(t, got, "send ")
		return got[0].Engine
	}
	home := send(0)
	for i := 1; i < 10; i++ {
		tier.deliver(i-1, now, &FirstToken{Request: id, Elapsed: 100 * ms})
		now += second
		if got := send(i); got != home {
			t.Fatalf("gateway %d sent to %s, want %s, which has the prefix cached", i, got, home)
		}
	}
	engines := map[string]bool{}
	for i := range 10 { // no end is reported: all of these prompts wait at the same time
		engines[send(10+i)] = true
	}
	if len(engines) < 2 {
		t.Fatalf("ten prompts at once all went to %v", engines)
	}
}

// If directory owners do not answer, a request is dispatched after consultTimeout, and these owners are not queried
// again for silentOwnerPause.
func TestUnresponsiveDirectoryOwnersAreSkipped(t *testing.T) {
	tier := newTier(20, "a", "b", "c")
	tier.dropMessages = true
	expect(t, tier.deliver(0, second, longPromptRequest(1, second, 77)), "")
	queries := tier.messages
	if queries == 0 {
		t.Fatal("no directory owner was queried")
	}
	expect(t, tier.deliver(0, second+consultTimeout, &TimerFired{Token: tokenStep + tokenConsult}), "send ")
	expect(t, tier.deliver(0, second+consultTimeout+ms, longPromptRequest(2, second, 77)), "send ")
	if actions := tier.deliver(
		0, second+consultTimeout+silentOwnerPause+ms, longPromptRequest(3, second, 77),
	); len(actions) > 0 {
		t.Fatalf("actions %v after the pause, want the directory owners to be queried first", actions)
	}
	// A client that disconnects while its request waits leaves no state behind.
	tier.deliver(0, second+consultTimeout+silentOwnerPause+2*ms, &ClientDisconnected{Request: 3})
	if r := tier.gateways[0]; len(r.awaitingDirectory) != 0 {
		t.Fatalf("%d requests still wait for directory owners", len(r.awaitingDirectory))
	}
}

// No messages are sent where the settings forbid them, there is one gateway, there are no load reports, or prompts are
// short for their objectives.
func TestDirectoryIsUnusedWhereItDoesNotPay(t *testing.T) {
	single, peersForbidden, noReports := longPromptSettings(1), longPromptSettings(20), longPromptSettings(20)
	peersForbidden.Peers, noReports.Reports = false, ReportNone
	for name, s := range map[string]Settings{
		"one gateway": single, "messages forbidden": peersForbidden, "no reports": noReports,
	} {
		r := New(s, 1)
		feed(r, 1, engineList("a", "b", "c"))
		expect(t, feed(r, second, longPromptRequest(1, second, 77)), "send ")
		t.Log(name)
	}
	r := New(longPromptSettings(20), 1)
	feed(r, 1, engineList("a", "b", "c"))
	for i := range int64(20) {
		expect(
			t,
			feed(
				r,
				second+i*ms,
				&Request{ID: i + 1, Deadline: 9 * second, Session: uint64(i), PromptTokens: 800, MaxTokens: 100},
			),
			"send ",
		)
	}
}

// An attempt that never left this gateway uses no slow-start budget and records no cached prompt, and one that failed
// for a fault of the gateway's own machine does not count as an error of the engine.
func TestUnsentAttemptLeavesNoTrace(t *testing.T) {
	s := testSettings()
	s.HedgedRequests = false
	r := New(s, 1)
	l := engineList("a")
	l.Engines[0].StartedAt = second
	feed(r, second, l)
	e := r.engines["a"]
	e.slowStartBudgetAt, e.slowStartBudget = second+ms, 1
	q := newRequest(1, 9*second)
	expect(t, feed(r, second+ms, q), "send ")
	if e.slowStartBudget >= 1 {
		t.Fatal("the budget was not used")
	}
	got := feed(r, second+2*ms, &Outcome{Request: 1, Attempt: 0, Code: NotSent})
	expect(t, got, "send ") // at once, as the budget was refunded
	if len(r.matchTable[0]) > 2 {
		t.Fatalf("%d entries in the match table, want at most 2", len(r.matchTable[0]))
	}
	feed(r, second+3*ms, &Outcome{Request: 1, Attempt: 1, Code: ConnectionLost, LocalFault: true})
	if e.errorRate != 0 || e.suspect || e.unreachable {
		t.Fatalf(
			"a fault of the gateway's machine counts against the engine: error rate %v, suspect %v, unreachable %v",
			e.errorRate,
			e.suspect,
			e.unreachable,
		)
	}
}

// A request that would miss its objective at every engine, by what directory owners report, is shed at once with a
// retry time instead of being sent for nothing.
func TestRequestThatWouldBeLateIsShed(t *testing.T) {
	tier := newTier(20, "a", "b", "c")
	for _, r := range tier.gateways {
		r.settings.RetryAfter, r.settings.MaxRetryAfter = true, 2*second
	}
	sent, shed := 0, 0
	for i := range int64(60) { // all at the same time, so no prompt is prefilled meanwhile
		for _, a := range tier.deliver(int(i%20), second, longPromptRequest(i+1, second, uint64(100+i))) {
			switch a.Kind {
			case Send:
				sent++
			case Shed:
				shed++
				if a.Wait <= 0 {
					t.Error("shed without a retry time")
				}
			}
		}
	}
	if sent+shed != 60 || sent < 3 || shed < 20 { // each engine can prefill one prompt within the objective
		t.Errorf("%d sent and %d shed of 60 requests, want at least 3 and 20", sent, shed)
	}
	for _, r := range tier.gateways { // once the engines have prefilled their prompts, requests are sent again
		for _, e := range r.engines {
			e.backlog.prompts = nil
		}
	}
	expect(t, tier.deliver(0, 3*second, longPromptRequest(100, 3*second, 100)), "send ")
}
