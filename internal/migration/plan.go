// Package mover decides how traffic moves from one pool to another, a step at a time, and when it must go back. It
// has no clock and no I/O: its time is the number of windows that it was shown, a second each.
package migration

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// WindowTime is what one window covers.
const WindowTime = time.Second

// What is done once the new pool is found worse.
const (
	Return = "return" // traffic goes back
	Stay   = "stay"   // the share stays as it is until somebody decides
)

// Plan says how a move is carried on. Spans count in whole windows.
type Plan struct {
	From    string        `json:"from"`
	To      string        `json:"to"`
	Steps   []float64     `json:"steps"`   // shares of From's flows, growing; the last is 1 for a whole move
	Trickle float64       `json:"trickle"` // the share while the new pool warms up
	Warm    time.Duration `json:"warm"`    // for which it does so at the least
	Hold    time.Duration `json:"hold"`    // for which each step is watched at the least
	Samples int           `json:"samples"` // flows that must have ended in each pool before a step is passed

	// What counts as worse. Floor is the part of the old pool's worth in time that the new one must bring; FirstToken
	// and Pace are the factors by which an answer must be slower than a like one of the old pool to count against the
	// new; Errors is the share of failed attempts allowed beyond the old pool's.
	Floor      float64 `json:"floor"`
	FirstToken float64 `json:"first_token"`
	Pace       float64 `json:"pace"`
	Errors     float64 `json:"errors"`
	// Stall is a disturbance that never ends a move by itself, however bad, if it is shorter.
	Stall time.Duration `json:"stall"`
	// Alarm is the mean number of windows between two false alarms, at the least, while the pools are alike.
	Alarm float64 `json:"alarm"`

	OnWorse     string        `json:"on_worse"`
	ReturnSteps int           `json:"return_steps"` // in which traffic goes back
	ReturnEvery time.Duration `json:"return_every"`

	// What a cold box can do (the module's rule on fail-back).
	ColdShare  float64       `json:"cold_share"`
	WarmUp     time.Duration `json:"warm_up"`
	FallFactor float64       `json:"fall_factor"`
}

// Default is the plan that holds where nothing else is said.
func Default() Plan {
	return Plan{Steps: []float64{0.05, 0.25, 0.5, 0.75, 1}, Trickle: 0.02, Warm: 10 * time.Second, Hold: 20 * time.Second,
		Samples: 30, Floor: 0.9, FirstToken: 1.25, Pace: 1.15, Errors: 0.01, Stall: 5 * time.Second, Alarm: 10000,
		OnWorse: Return, ReturnSteps: 3, ReturnEvery: 2 * time.Second, ColdShare: 0.13, WarmUp: 20 * time.Second, FallFactor: 4}
}

// PlanError is a plan's wrong key.
type PlanError struct{ Key, Reason string }

// Error implements error.
func (f *PlanError) Error() string { return f.Key + ": " + f.Reason }

// Check finds the first key of a plan that cannot be carried out. Its errors are *Fault.
func (p Plan) Check() error {
	fault := func(key, form string, args ...any) error { return &PlanError{key, fmt.Sprintf(form, args...)} }
	between := func(v, least, most float64) bool { return v >= least && v <= most } // false for NaN
	switch {
	case p.From == p.To && p.From != "":
		return fault("to", "%q is the pool that traffic is to leave", p.To)
	case len(p.Steps) == 0 || len(p.Steps) > 100:
		return fault("steps", "%d steps are not from 1 to 100", len(p.Steps))
	}
	for i, s := range p.Steps {
		if !between(s, 0, 1) || s == 0 {
			return fault(fmt.Sprintf("steps[%d]", i), "%g is no share above 0 and up to 1", s)
		}
		if i > 0 && s <= p.Steps[i-1] {
			return fault(fmt.Sprintf("steps[%d]", i), "%g is not more than the step before", s)
		}
	}
	switch {
	case !between(p.Trickle, 0, p.Steps[0]):
		return fault("trickle", "%g is not from 0 to the first step", p.Trickle)
	case p.Trickle == 0:
		return fault("trickle", "0 leaves the new pool without requests to warm up with")
	case !between(p.Floor, 0.01, 1):
		return fault("floor", "%g is not from 0.01 to 1", p.Floor)
	case !between(p.FirstToken, 1, 100):
		return fault("first_token", "%g is not from 1 to 100", p.FirstToken)
	case !between(p.Pace, 1, 100):
		return fault("pace", "%g is not from 1 to 100", p.Pace)
	case !between(p.Errors, 0.0001, 0.5):
		return fault("errors", "%g is not from 0.0001 to 0.5", p.Errors)
	case !between(p.Alarm, 100, 1e9):
		return fault("alarm", "%g is not from 100 to 1e9 windows", p.Alarm)
	case p.Samples < 1 || p.Samples > 1e6:
		return fault("samples", "%d is not from 1 to 1000000", p.Samples)
	case p.OnWorse != Return && p.OnWorse != Stay:
		return fault("on_worse", "%q is neither %q nor %q", p.OnWorse, Return, Stay)
	case p.ReturnSteps < 1 || p.ReturnSteps > 100:
		return fault("return_steps", "%d is not from 1 to 100", p.ReturnSteps)
	case !between(p.ColdShare, 0, 1):
		return fault("cold_share", "%g is not from 0 to 1", p.ColdShare)
	case !between(p.FallFactor, 0.1, 100):
		return fault("fall_factor", "%g is not from 0.1 to 100", p.FallFactor)
	}
	for _, s := range []struct {
		key         string
		span, least time.Duration
	}{{"hold", p.Hold, 2 * WindowTime}, {"warm", p.Warm, 0}, {"stall", p.Stall, 0}, {"return_every", p.ReturnEvery, WindowTime},
		{"warm_up", p.WarmUp, 0}} {
		if s.span < s.least || s.span > time.Hour {
			return fault(s.key, "%v is not from %v to 1h", s.span, s.least)
		}
	}
	return nil
}

// MinimumDuration is how long a move takes that nothing holds up.
func (p Plan) MinimumDuration() time.Duration {
	return p.Warm + time.Duration(len(p.Steps))*(p.Hold+2*WindowTime)
}

func windowCount(span time.Duration) int { return int(math.Ceil(float64(span) / float64(WindowTime))) }

// Health is what is known of a pool's boxes.
type Health struct {
	Backends     int     `json:"boxes"` // listed, draining ones included
	Ready        int     `json:"ready"`
	Capacity     float64 `json:"size"` // of the ready ones together
	WarmCapacity float64 `json:"able"` // likewise, each counted by the part of its capacity that it has by now
}

// WarmFraction is the part of a box's capacity that it has, a time after its start.
func (p Plan) WarmFraction(age time.Duration) float64 {
	if p.WarmUp <= 0 || age >= p.WarmUp {
		return 1
	}
	return p.ColdShare + (1-p.ColdShare)*max(0, float64(age)/float64(p.WarmUp))
}

// warmThreshold is the part of its capacity from which a pool counts as warm: it is then no longer capped.
const warmThreshold = 0.9

// coldBudgetFraction is the part of rule 4's allowance that a move grants a cold pool, all nodes together; the modules grant
// their own starting boxes as much (coldMargin in router.go).
const coldBudgetFraction = 0.4

// maximumShare is the greatest share of From's flows that To can take now. What a box can do is not told; what the boxes of
// the old pool carry by their size is the guide, and a cold box is taken to do its warm part of that. Never more than
// it can do, and less where it would fall over from less than that.
func (p Plan) maximumShare(from, to Health, fromSize float64) float64 {
	if to.Capacity <= 0 {
		return 0
	}
	if to.WarmCapacity >= warmThreshold*to.Capacity {
		return 1
	}
	return min(1, min(1, coldBudgetFraction*p.FallFactor)*to.WarmCapacity/max(from.Capacity, fromSize, 1e-9))
}

// Sample is an answer served whole, as it is compared with those of the other pool.
type Sample struct {
	Class          int     `json:"c"`
	Kind           int     `json:"k"`
	UncachedTokens float64 `json:"u"` // prompt tokens that the box had to read
	Load           float64 `json:"l"` // share of its slots in use
	FirstToken     float64 `json:"f"` // seconds to the first token
	TokenGap       float64 `json:"g"` // seconds a token after that; 0: not known
}

// MaxSamples bounds the samples of one pool in one window.
const MaxSamples = 64

// PoolWindow is one pool in one window. Flows count for the pool that they were assigned to, attempts for the pool that the
// box is in.
type PoolWindow struct {
	Requests      int      `json:"flows"` // ended
	OfferedWeight float64  `json:"asked"` // worth of those
	OnTimeWeight  float64  `json:"in_time"`
	Rejected      int      `json:"refused"`  // flows turned down, or failed without a box
	Overflowed    int      `json:"fallen"`   // flows that went to another pool, nothing being fit in theirs
	Attempts      int      `json:"attempts"` // ended, those called off left out
	Errors        int      `json:"errors"`   // of them
	Samples       []Sample `json:"samples,omitempty"`
	Health        Health   `json:"health"`
}

// Add joins what another node saw in the same window.
func (s PoolWindow) Add(o PoolWindow) PoolWindow {
	s.Requests += o.Requests
	s.OfferedWeight += o.OfferedWeight
	s.OnTimeWeight += o.OnTimeWeight
	s.Rejected += o.Rejected
	s.Overflowed += o.Overflowed
	s.Attempts += o.Attempts
	s.Errors += o.Errors
	s.Samples = append(slices.Clip(s.Samples), o.Samples...)
	s.Health = s.Health.merge(o.Health)
	return s
}

// merge makes one view of two nodes'. A node that has lost sight of a pool does not speak for the others, who see it;
// of how warm its boxes are the colder view holds.
func (h Health) merge(o Health) Health {
	if o.Capacity == 0 || h.Capacity == 0 {
		if h.Capacity == 0 {
			o.Backends = max(h.Backends, o.Backends)
			return o
		}
		h.Backends = max(h.Backends, o.Backends)
		return h
	}
	warm := min(h.WarmCapacity/h.Capacity, o.WarmCapacity/o.Capacity)
	size := max(h.Capacity, o.Capacity)
	return Health{max(h.Backends, o.Backends), max(h.Ready, o.Ready), size, warm * size}
}

// Window is what all live nodes saw in one window.
type Window struct {
	From, To PoolWindow
	Nodes    int
	Lagging  []string // live nodes that have not taken the shares in force
}
