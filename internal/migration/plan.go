// Package migration decides how traffic migrates from one pool of backends to another, a step at a time, and when it
// has to return. It has no clock and does no I/O: its time is the number of windows that it has been shown, each
// WindowLength long.
package migration

import (
	"fmt"
	"math"
	"time"
)

// WindowLength is the length of a window.
const WindowLength = time.Second

// The values of Plan.OnWorse: what is done once the new pool is found worse.
const (
	Return = "return" // traffic moves back
	Stay   = "stay"   // the share stays as it is until an operator decides
)

// The limits of a plan's values.
const (
	maxSteps       = 100
	minFloor       = 0.01
	maxFactor      = 100 // of FirstTokenFactor, Pace and CollapseFactor
	minErrors      = 0.0001
	maxErrors      = 0.5
	minAlarm       = 100
	maxAlarm       = 1e9
	maxPlanSamples = 1e6
	minFallFactor  = 0.1
	minHold        = 2 * WindowLength
	maxSpan        = time.Hour
)

// Plan is how a migration is carried out. Durations count in whole windows.
type Plan struct {
	From        string        `json:"from"`
	To          string        `json:"to"`
	Steps       []float64     `json:"steps"`   // shares of From's requests, ascending; the last is 1 for a complete migration
	WarmUpShare float64       `json:"trickle"` // the share while the new pool warms up
	MinWarmUp   time.Duration `json:"warm"`    // minimum duration of the warm-up
	MinHold     time.Duration `json:"hold"`    // minimum duration of the analysis of each step
	MinSamples  int           `json:"samples"` // requests that must have ended in each pool before a step is passed

	// OnTimeFloor is the fraction of the old pool's on-time weight that the new one must reach.
	OnTimeFloor float64 `json:"floor"`
	// FirstTokenFactor and Pace are the factors by which an answer must be slower than a comparable one of the old pool to
	// count against the new one: in its time to first token, and in its time for each token.
	FirstTokenFactor float64 `json:"first_token"`
	TokenGapFactor   float64 `json:"pace"`
	// ErrorAllowance is the fraction of failed attempts that is allowed beyond the old pool's.
	ErrorAllowance float64 `json:"errors"`
	// MaxToleratedStall is the longest disturbance that never ends a migration by itself, however bad it is.
	MaxToleratedStall time.Duration `json:"stall"`
	// FalseAlarmWindows is the minimum mean number of windows between two false alarms while the pools are alike.
	FalseAlarmWindows float64 `json:"alarm"`

	OnWorse     string        `json:"on_worse"`     // Return or Stay
	ReturnSteps int           `json:"return_steps"` // number of steps in which traffic moves back
	ReturnEvery time.Duration `json:"return_every"` // between two of them

	// ColdCapacityFraction is the fraction of its capacity that a backend has at its start, SlowStart the time until it has all of
	// it, and CollapseFactor the multiple of its cold capacity at which it collapses.
	ColdCapacityFraction float64       `json:"cold_share"`
	SlowStart            time.Duration `json:"warm_up"`
	CollapseFactor       float64       `json:"fall_factor"`
}

// Default returns the plan that applies where the configuration says nothing else.
func Default() Plan {
	return Plan{
		Steps:                []float64{0.05, 0.25, 0.5, 0.75, 1},
		WarmUpShare:          0.02,
		MinWarmUp:            10 * time.Second,
		MinHold:              20 * time.Second,
		MinSamples:           30,
		OnTimeFloor:          0.9,
		FirstTokenFactor:     1.25,
		TokenGapFactor:       1.15,
		ErrorAllowance:       0.01,
		MaxToleratedStall:    5 * time.Second,
		FalseAlarmWindows:    10000,
		OnWorse:              Return,
		ReturnSteps:          3,
		ReturnEvery:          2 * time.Second,
		ColdCapacityFraction: 0.13,
		SlowStart:            20 * time.Second,
		CollapseFactor:       4,
	}
}

// PlanError tells which key of a plan is wrong.
type PlanError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *PlanError) Error() string { return e.Key + ": " + e.Reason }

func planError(key, format string, args ...any) error {
	return &PlanError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// Check returns a *PlanError for the first key of the plan that cannot be carried out.
func (p Plan) Check() error {
	for _, check := range []func() error{p.checkSteps, p.checkAnalysis, p.checkReturn, p.checkDurations} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// between is false for a value that is not a number.
func between(value, minimum, maximum float64) bool { return value >= minimum && value <= maximum }

func (p Plan) checkSteps() error {
	if p.From == p.To && p.From != "" {
		return planError("to", "%q is the pool that traffic is to leave", p.To)
	}
	if len(p.Steps) == 0 || len(p.Steps) > maxSteps {
		return planError("steps", "%d steps are not from 1 to 100", len(p.Steps))
	}
	for i, step := range p.Steps {
		if !between(step, 0, 1) || step == 0 {
			return planError(fmt.Sprintf("steps[%d]", i), "%g is no share above 0 and up to 1", step)
		}
		if i > 0 && step <= p.Steps[i-1] {
			return planError(fmt.Sprintf("steps[%d]", i), "%g is not more than the step before", step)
		}
	}
	if !between(p.WarmUpShare, 0, p.Steps[0]) {
		return planError("trickle", "%g is not from 0 to the first step", p.WarmUpShare)
	}
	if p.WarmUpShare == 0 {
		return planError("trickle", "0 leaves the new pool without requests to warm up with")
	}
	return nil
}

func (p Plan) checkAnalysis() error {
	switch {
	case !between(p.OnTimeFloor, minFloor, 1):
		return planError("floor", "%g is not from 0.01 to 1", p.OnTimeFloor)
	case !between(p.FirstTokenFactor, 1, maxFactor):
		return planError("first_token", "%g is not from 1 to 100", p.FirstTokenFactor)
	case !between(p.TokenGapFactor, 1, maxFactor):
		return planError("pace", "%g is not from 1 to 100", p.TokenGapFactor)
	case !between(p.ErrorAllowance, minErrors, maxErrors):
		return planError("errors", "%g is not from 0.0001 to 0.5", p.ErrorAllowance)
	case !between(p.FalseAlarmWindows, minAlarm, maxAlarm):
		return planError("alarm", "%g is not from 100 to 1e9 windows", p.FalseAlarmWindows)
	case p.MinSamples < 1 || p.MinSamples > maxPlanSamples:
		return planError("samples", "%d is not from 1 to 1000000", p.MinSamples)
	}
	return nil
}

func (p Plan) checkReturn() error {
	switch {
	case p.OnWorse != Return && p.OnWorse != Stay:
		return planError("on_worse", "%q is neither %q nor %q", p.OnWorse, Return, Stay)
	case p.ReturnSteps < 1 || p.ReturnSteps > maxSteps:
		return planError("return_steps", "%d is not from 1 to 100", p.ReturnSteps)
	case !between(p.ColdCapacityFraction, 0, 1):
		return planError("cold_share", "%g is not from 0 to 1", p.ColdCapacityFraction)
	case !between(p.CollapseFactor, minFallFactor, maxFactor):
		return planError("fall_factor", "%g is not from 0.1 to 100", p.CollapseFactor)
	}
	return nil
}

func (p Plan) checkDurations() error {
	for _, duration := range []struct {
		key     string
		value   time.Duration
		minimum time.Duration
	}{
		{"hold", p.MinHold, minHold},
		{"warm", p.MinWarmUp, 0},
		{"stall", p.MaxToleratedStall, 0},
		{"return_every", p.ReturnEvery, WindowLength},
		{"warm_up", p.SlowStart, 0},
	} {
		if duration.value < duration.minimum || duration.value > maxSpan {
			return planError(duration.key, "%v is not from %v to 1h", duration.value, duration.minimum)
		}
	}
	return nil
}

// MinimumDuration is how long a migration takes if nothing delays it.
func (p Plan) MinimumDuration() time.Duration {
	return p.MinWarmUp + time.Duration(len(p.Steps))*(p.MinHold+2*WindowLength)
}

// windowCount is the number of windows that cover a span.
func windowCount(span time.Duration) int {
	return int(math.Ceil(float64(span) / float64(WindowLength)))
}
