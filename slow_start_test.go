package standpoint

import "testing"

// Clocks may be stepped by an hour, this gateway's or the one that tells starts. A start that is heard of after a
// list was told has happened since: the engine is cold, whatever time the start is told to have had.
func TestStartTimesSurviveClockSteps(t *testing.T) {
	const now = 1_000_000 * second
	const hour = 3600 * second
	for name, told := range map[string]int64{"clock right": now, "clock forward": now - hour, "clock back": now + hour} {
		r := New(testSettings(), 1)
		feed(r, now-20*second, engineList("a", "b")) // what it starts with
		feed(r, now-15*second, engineList("a", "b"))
		l := engineList("a", "b")
		l.Engines[0].ReadyAt = told
		feed(r, now, l)
		a, b := r.engines["a"], r.engines["b"]
		if got := r.minCapacityFraction(a); got > r.settings.ColdCapacityFraction+0.01 {
			t.Errorf("%s: just started, and taken to have %.2f of its capacity", name, got)
		}
		if r.minCapacityFraction(b) != 1 {
			t.Errorf("%s: the other one is cold too", name)
		}
		feed(r, now+r.settings.WarmUp+r.settings.OverloadWindow+second, l) // told again, the same start
		if got := r.minCapacityFraction(a); got != 1 {
			t.Errorf("%s: %.2f of its capacity long after the warm-up", name, got)
		}
		if !r.hasSlowStartBudget(a) {
			t.Errorf("%s: no room long after the warm-up", name)
		}
	}
}

// A gateway may start with an old list: what is new in the next one may have started long ago.
func TestStartsBehindOutdatedList(t *testing.T) {
	const now = 1_000_000 * second
	r := New(testSettings(), 1)
	feed(r, now-second, engineList("a"))
	l := engineList("a", "b")
	l.Engines[1].ReadyAt = now - 60*second
	feed(r, now, l)
	if got := r.minCapacityFraction(r.engines["b"]); got != 1 {
		t.Errorf("started a minute ago, and taken to have %.2f of its capacity", got)
	}
}

// In the first list of all a start may be as old as it is told to be; one in the future counts from now.
func TestStartsInTheFirstList(t *testing.T) {
	const now = 1_000_000 * second
	r := New(testSettings(), 1)
	l := engineList("old", "young", "future")
	l.Engines[0].ReadyAt, l.Engines[1].ReadyAt, l.Engines[2].ReadyAt = now-3600*second, now-second, now+3600*second
	feed(r, now, l)
	if r.minCapacityFraction(r.engines["old"]) != 1 || r.minCapacityFraction(r.engines["young"]) > 0.6 ||
		r.minCapacityFraction(r.engines["future"]) > r.settings.ColdCapacityFraction {
		t.Errorf(
			"taken to have %.2f, %.2f and %.2f of their capacity",
			r.minCapacityFraction(r.engines["old"]),
			r.minCapacityFraction(r.engines["young"]),
			r.minCapacityFraction(r.engines["future"]),
		)
	}
	feed(r, now+r.settings.WarmUp+second)
	feed(r, now+r.settings.WarmUp+second, &TimerFired{Token: tokenTick})
	if got := r.minCapacityFraction(r.engines["future"]); got != 1 {
		t.Errorf("%.2f of its capacity after the warm-up", got)
	}
}
