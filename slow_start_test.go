package standpoint

import "testing"

// Clocks may be stepped by an hour, this gateway's or the one that start times are taken from. A start that is missing
// from one list and contained in the next happened in between, so the engine is in slow start, whatever its listed
// start time is.
func TestStartTimesSurviveClockSteps(t *testing.T) {
	const now = 1_000_000 * second
	const hour = 3600 * second
	for name, startedAt := range map[string]int64{
		"clock right": now, "clock forward": now - hour, "clock back": now + hour,
	} {
		r := New(testSettings(), 1)
		feed(r, now-20*second, engineList("a", "b")) // the first list, which may be of any age
		feed(r, now-15*second, engineList("a", "b"))
		l := engineList("a", "b")
		l.Engines[0].StartedAt = startedAt
		feed(r, now, l)
		a, b := r.engines["a"], r.engines["b"]
		if got := r.minCapacityFraction(a); got > r.settings.ColdCapacityFraction+0.01 {
			t.Errorf("%s: capacity fraction %.2f just after the start", name, got)
		}
		if r.minCapacityFraction(b) != 1 {
			t.Errorf("%s: the other engine is in slow start too", name)
		}
		feed(r, now+r.settings.WarmUp+r.settings.OverloadWindow+second, l) // the same start, listed again
		if got := r.minCapacityFraction(a); got != 1 {
			t.Errorf("%s: capacity fraction %.2f long after the warm-up, want 1", name, got)
		}
		if !r.hasSlowStartBudget(a) {
			t.Errorf("%s: no slow-start budget long after the warm-up", name)
		}
	}
}

// A gateway's first list may be outdated, so an engine that is new in the second one may have started long ago.
func TestStartsBehindOutdatedList(t *testing.T) {
	const now = 1_000_000 * second
	r := New(testSettings(), 1)
	feed(r, now-second, engineList("a"))
	l := engineList("a", "b")
	l.Engines[1].StartedAt = now - 60*second
	feed(r, now, l)
	if got := r.minCapacityFraction(r.engines["b"]); got != 1 {
		t.Errorf("capacity fraction %.2f a minute after the start, want 1", got)
	}
}

// Start times in the first list are taken as listed, however old; one in the future counts as now.
func TestStartsInTheFirstList(t *testing.T) {
	const now = 1_000_000 * second
	r := New(testSettings(), 1)
	l := engineList("old", "young", "future")
	l.Engines[0].StartedAt, l.Engines[1].StartedAt, l.Engines[2].StartedAt =
		now-3600*second, now-second, now+3600*second
	feed(r, now, l)
	if r.minCapacityFraction(r.engines["old"]) != 1 || r.minCapacityFraction(r.engines["young"]) > 0.6 ||
		r.minCapacityFraction(r.engines["future"]) > r.settings.ColdCapacityFraction {
		t.Errorf(
			"capacity fractions %.2f, %.2f and %.2f of engines started an hour ago, 1 s ago and in the future",
			r.minCapacityFraction(r.engines["old"]),
			r.minCapacityFraction(r.engines["young"]),
			r.minCapacityFraction(r.engines["future"]),
		)
	}
	feed(r, now+r.settings.WarmUp+second)
	feed(r, now+r.settings.WarmUp+second, &TimerFired{Token: tokenTick})
	if got := r.minCapacityFraction(r.engines["future"]); got != 1 {
		t.Errorf("capacity fraction %.2f after the warm-up, want 1", got)
	}
}
