package standpoint

import (
	"math"
	"math/rand/v2"
	"testing"
)

// longPrompts is a deployment of a few gateways whose prompts take a good part of their aims to read.
func longPrompts(gateways int) Settings {
	s := testSettings()
	s.Gateways, s.Peers, s.SecondCopies = gateways, true, false
	return s
}

// long is a request with a long shared beginning.
func long(id, now int64, prefix uint64) *Request {
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

// tier is some gateways that reach each other. Messages arrive within the same moment, unless they are lost.
type tier struct {
	gateways []*Router
	lost     bool
	told     int
}

func newTier(n int, engines ...string) *tier {
	t := &tier{}
	for i := range n {
		s := longPrompts(n)
		s.Ordinal = i
		r := New(s, int64(i+1))
		feed(r, 1, engineList(engines...))
		t.gateways = append(t.gateways, r)
	}
	return t
}

// give hands an event to a gateway, and whatever follows to the others, and returns all actions but messages and
// timers.
func (t *tier) give(to int, now int64, ev Event) []Action {
	var rest []Action
	for _, a := range feed(t.gateways[to], now, ev) {
		if a.Kind != SendPeer {
			rest = append(rest, a)
			continue
		}
		t.told++
		if !t.lost {
			rest = append(rest, t.give(a.Peer, now, &PeerMessage{From: to, Data: a.Data})...)
		}
	}
	return rest
}

// A message says the same after its way, and what is none is not read as one.
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
			t.Errorf("%+v became %+v, %v, in %d bytes", m, got, ok, len(text))
		}
		for cut := range len(text) {
			if _, ok := decodeDirectoryMessage(text[:cut]); ok {
				t.Errorf("%q was read, of %q", text[:cut], text)
			}
		}
	}
	huge := directoryMessage{kind: directoryAnswer, tokens: math.Inf(1), load: engineLoad{1e9, -1, math.NaN()}}
	got, ok := decodeDirectoryMessage(huge.encode())
	if !ok || !allFinite(got.load.prefillDelay, got.tokens, got.load.prefillFraction, got.load.prefillSpeed) ||
		got.load.prefillFraction < 0 {
		t.Errorf("numbers that cannot be became %+v, %v", got, ok)
	}
}

// Whatever bytes come from a peer, they change nothing that a gateway owes.
func TestMalformedPeerMessagesChangeNothing(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	n := newTier(3, "a", "b")
	for i := range 2000 {
		b := make([]byte, rng.IntN(40))
		for j := range b {
			b[j] = byte(rng.IntN(256))
		}
		if got := feed(n.gateways[0], int64(i+2)*ms, &PeerMessage{From: rng.IntN(6) - 1, Data: string(b)}); len(
			got,
		) > 0 {
			t.Fatalf("%q had %v", b, got)
		}
	}
}

// Engines read first come first: an end tells of all prompts before it, and how fast they were read.
func TestPrefillBacklogIsFirstInFirstOut(t *testing.T) {
	var b backlog
	b.prefillSpeed = 10000
	near := func(want, got float64) {
		t.Helper()
		if math.Abs(want-got) > 1e-6 {
			t.Fatalf("%g, want %g", got, want)
		}
	}
	near(0, b.prefillDelay(0))
	for i := range 3 {
		b.add(pendingPrompt{gateway: 1, requestID: uint32(i), uncachedTokens: 5000, sentAt: 0})
	}
	near(1.5, b.prefillDelay(0))
	near(1.25, b.prefillDelay(second/4))
	near(1, b.prefillDelay(5*second)) // of the first alone it is known that it is being read
	b.remove(1, 1, true, 2*second)
	near(1, float64(len(b.prompts)))
	near(10000+prefillSpeedWeight*(5000-10000), b.prefillSpeed)
	b.remove(2, 2, true, 2*second) // another gateway's
	near(1, float64(len(b.prompts)))
	b.remove(1, 2, false, 2*second)
	near(0, b.prefillDelay(2*second))
	near(8000+0.2*5000, b.prefillSpeed)
	b.add(pendingPrompt{requestID: 9, uncachedTokens: 5000, sentAt: 3 * second})
	near(0, b.prefillDelay(3*second+pendingPromptTimeout+1)) // nobody told its end
	for i := range 2 * maxPendingPrompts {
		b.add(pendingPrompt{requestID: uint32(i), sentAt: 20 * second})
	}
	near(maxPendingPrompts, float64(len(b.prompts)))
}

// Of many gateways each sends long prompts with the same beginning to where another sent them before, unless that
// engine has more to read than reading the beginning anew takes: then it goes elsewhere, and that holds the beginning
// too.
func TestGatewaysSharePrefixLocations(t *testing.T) {
	n := newTier(20, "a", "b", "c", "d", "e", "f")
	now, id := second, int64(1)
	send := func(gateway int) string {
		id++
		got := n.give(gateway, now, long(id, now, 77))
		expect(t, got, "send ")
		return got[0].Engine
	}
	home := send(0)
	for i := 1; i < 10; i++ {
		n.give(i-1, now, &FirstToken{Request: id, Elapsed: 100 * ms})
		now += second
		if got := send(i); got != home {
			t.Fatalf("gateway %d sent to %s, and %s keeps the beginning", i, got, home)
		}
	}
	others := map[string]bool{}
	for i := range 10 { // nobody tells of an end: all of these wait at once
		others[send(10+i)] = true
	}
	if len(others) < 2 {
		t.Fatalf("ten prompts at once went to %v alone", others)
	}
}

// Without an answer a request is placed once the wait for it is over, and its registrars are left alone for a while.
func TestUnresponsiveRegistrarsAreSkipped(t *testing.T) {
	n := newTier(20, "a", "b", "c")
	n.lost = true
	expect(t, n.give(0, second, long(1, second, 77)), "")
	told := n.told
	if told == 0 {
		t.Fatal("nobody was asked")
	}
	expect(t, n.give(0, second+consultTimeout, &TimerFired{Token: tokenStep + tokenConsult}), "send ")
	expect(t, n.give(0, second+consultTimeout+ms, long(2, second, 77)), "send ")
	if again := n.give(0, second+consultTimeout+silentOwnerPause+ms, long(3, second, 77)); len(again) > 0 {
		t.Fatalf("after a while they are asked again, and this had %v", again)
	}
	// A client that leaves meanwhile, and an answer behind that, leave nothing.
	n.give(0, second+consultTimeout+silentOwnerPause+2*ms, &ClientDisconnected{Request: 3})
	if r := n.gateways[0]; len(r.awaitingDirectory) != 0 {
		t.Fatalf("%d requests still wait for answers", len(r.awaitingDirectory))
	}
}

// There are no messages where they are not permitted, nobody else is there, or prompts are short for their aims.
func TestDirectoryIsUnusedWhereItDoesNotPay(t *testing.T) {
	alone, barred, blind := longPrompts(1), longPrompts(20), longPrompts(20)
	barred.Peers, blind.Reports = false, ReportNone
	for name, s := range map[string]Settings{"alone": alone, "barred": barred, "no reports": blind} {
		r := New(s, 1)
		feed(r, 1, engineList("a", "b", "c"))
		expect(t, feed(r, second, long(1, second, 77)), "send ")
		t.Log(name)
	}
	r := New(longPrompts(20), 1)
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

// What never left this gateway takes nothing from a cold engine's budget, leaves no trace of a kept prompt, and
// blames nobody.
func TestUnsentAttemptLeavesNoTrace(t *testing.T) {
	s := testSettings()
	s.SecondCopies = false
	r := New(s, 1)
	l := engineList("a")
	l.Engines[0].ReadyAt = second
	feed(r, second, l)
	e := r.engines["a"]
	e.slowStartBudgetAt, e.slowStartBudget = second+ms, 1
	q := newRequest(1, 9*second)
	expect(t, feed(r, second+ms, q), "send ")
	if e.slowStartBudget >= 1 {
		t.Fatal("the budget was not used")
	}
	got := feed(r, second+2*ms, &Outcome{Request: 1, Attempt: 0, Code: NotSent})
	expect(t, got, "send ") // at once, and the budget allows it
	if len(r.matchTable[0]) > 2 {
		t.Fatalf("%d entries of what is kept", len(r.matchTable[0]))
	}
	feed(r, second+3*ms, &Outcome{Request: 1, Attempt: 1, Code: ConnectionLost, LocalFault: true})
	if e.errorRate != 0 || e.suspect || e.unreachable {
		t.Fatalf(
			"a shortage of this gateway's machine was held against the engine: %v %v %v",
			e.errorRate,
			e.suspect,
			e.unreachable,
		)
	}
}

// A request that would come too late wherever it went, as registrars tell, is refused at once with a time to come
// back, and not sent in vain.
func TestRequestThatWouldBeLateIsShed(t *testing.T) {
	n := newTier(20, "a", "b", "c")
	for _, r := range n.gateways {
		r.settings.RetryAfter, r.settings.MaxRetryAfter = true, 2*second
	}
	sent, refused := 0, 0
	for i := range int64(60) { // all at once: nothing is read meanwhile
		for _, a := range n.give(int(i%20), second, long(i+1, second, uint64(100+i))) {
			switch a.Kind {
			case Send:
				sent++
			case Shed:
				refused++
				if a.Wait <= 0 {
					t.Error("refused, and not told when to come back")
				}
			}
		}
	}
	if sent+refused != 60 || sent < 3 || refused < 20 { // each engine reads one prompt within the aim
		t.Errorf("%d sent and %d refused of 60", sent, refused)
	}
	for _, r := range n.gateways { // once the engines have read, the next ones are sent
		for _, e := range r.engines {
			e.backlog.prompts = nil
		}
	}
	expect(t, n.give(0, 3*second, long(100, 3*second, 100)), "send ")
}
