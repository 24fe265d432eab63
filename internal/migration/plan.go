// Package migration implements the state machine of a progressive traffic migration from one pool of backends to
// another: it decides when the next share of the traffic is shifted and when a degradation requires a rollback. It
// reads no clock and does no I/O: it measures time in observed windows, each WindowLength long.
package migration

import (
	"fmt"
	"math"
	"time"
)

// WindowLength is the length of an observation window.
const WindowLength = time.Second

// The values of Plan.OnWorse: how a migration reacts once the new pool is found to be worse than the old one.
const (
	Return = "return" // traffic is shifted back to the old pool
	Stay   = "stay"   // the share remains unchanged until an operator decides
)

// The limits of a plan's values.
const (
	maxSteps          = 100 // entries of Steps, and ReturnSteps
	minFloor          = 0.01
	maxFactor         = 100 // upper limit of FirstTokenFactor, TokenGapFactor and CollapseFactor
	minErrorAllowance = 0.0001
	maxErrorAllowance = 0.5
	minAlarmWindows   = 100
	maxAlarmWindows   = 1e9
	maxPlanSamples    = 1e6
	minCollapseFactor = 0.1
	minHold           = 2 * WindowLength
	maxDuration       = time.Hour
)

// Plan describes how a migration is carried out. Durations except SlowStart are rounded up to whole windows.
type Plan struct {
	From string `json:"from"` // the old pool, which the traffic leaves
	To   string `json:"to"`   // the new pool
	// Steps are the shares of From's requests that To gets, in ascending order; the last is 1 for a complete migration.
	Steps       []float64     `json:"steps"`
	WarmUpShare float64       `json:"trickle"` // share of From's requests that To gets while it warms up
	MinWarmUp   time.Duration `json:"warm"`    // minimum duration of the warm-up
	MinHold     time.Duration `json:"hold"`    // minimum duration for which each step is analysed
	// MinSamples is the number of requests that must have ended in each pool before a step is passed. None are required
	// of an old pool that no longer gets requests or has no ready backend.
	MinSamples int `json:"samples"`

	// OnTimeFloor is the part of the old pool's on-time fraction that the new pool must reach. The on-time fraction of
	// a pool is the fraction of its offered priority weight that is served on time.
	OnTimeFloor float64 `json:"floor"`
	// FirstTokenFactor and TokenGapFactor are the factors by which a response must be slower than a comparable one of
	// the old pool to count against the new pool: FirstTokenFactor applies to the time to first token, TokenGapFactor
	// to the time per output token.
	FirstTokenFactor float64 `json:"first_token"`
	TokenGapFactor   float64 `json:"pace"`
	// ErrorAllowance is the fraction of failed attempts that is allowed in addition to the old pool's.
	ErrorAllowance float64 `json:"errors"`
	// MaxToleratedStall is the longest disturbance whose evidence never raises the alarm by itself, however severe it
	// is. A new pool that has no ready backend or is far below the floor halts the migration without evidence.
	MaxToleratedStall time.Duration `json:"stall"`
	// FalseAlarmWindows is the minimum mean number of windows between two false alarms while both pools perform
	// equally.
	FalseAlarmWindows float64 `json:"alarm"`

	OnWorse     string        `json:"on_worse"`     // Return or Stay
	ReturnSteps int           `json:"return_steps"` // number of steps of a return, unless clients are affected
	ReturnEvery time.Duration `json:"return_every"` // time between two of these steps

	// ColdCapacityFraction is the fraction of its capacity that a backend has when it starts, SlowStart the time until
	// it has its full capacity, and CollapseFactor the multiple of its cold capacity at which it collapses.
	ColdCapacityFraction float64       `json:"cold_share"`
	SlowStart            time.Duration `json:"warm_up"`
	CollapseFactor       float64       `json:"fall_factor"`
}

// Default returns the plan that applies to all values that the configuration does not set.
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

// PlanError reports which key of a plan is invalid, and why.
type PlanError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *PlanError) Error() string { return e.Key + ": " + e.Reason }

func planError(key, format string, args ...any) error {
	return &PlanError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// Check returns a *PlanError for the first invalid key of the plan.
func (p Plan) Check() error {
	for _, check := range []func() error{p.checkSteps, p.checkAnalysis, p.checkReturn, p.checkDurations} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// inRange reports whether value is from minimum to maximum. It is false for NaN.
func inRange(value, minimum, maximum float64) bool { return value >= minimum && value <= maximum }

func (p Plan) checkSteps() error {
	if p.From == p.To && p.From != "" {
		return planError("to", "%q is the pool that traffic is to leave", p.To)
	}
	if len(p.Steps) == 0 || len(p.Steps) > maxSteps {
		return planError("steps", "%d steps are not from 1 to 100", len(p.Steps))
	}
	for i, step := range p.Steps {
		if !inRange(step, 0, 1) || step == 0 {
			return planError(fmt.Sprintf("steps[%d]", i), "%g is no share above 0 and up to 1", step)
		}
		if i > 0 && step <= p.Steps[i-1] {
			return planError(fmt.Sprintf("steps[%d]", i), "%g is not more than the step before", step)
		}
	}
	if !inRange(p.WarmUpShare, 0, p.Steps[0]) {
		return planError("trickle", "%g is not from 0 to the first step", p.WarmUpShare)
	}
	if p.WarmUpShare == 0 {
		return planError("trickle", "0 leaves the new pool without requests to warm up with")
	}
	return nil
}

func (p Plan) checkAnalysis() error {
	switch {
	case !inRange(p.OnTimeFloor, minFloor, 1):
		return planError("floor", "%g is not from 0.01 to 1", p.OnTimeFloor)
	case !inRange(p.FirstTokenFactor, 1, maxFactor):
		return planError("first_token", "%g is not from 1 to 100", p.FirstTokenFactor)
	case !inRange(p.TokenGapFactor, 1, maxFactor):
		return planError("pace", "%g is not from 1 to 100", p.TokenGapFactor)
	case !inRange(p.ErrorAllowance, minErrorAllowance, maxErrorAllowance):
		return planError("errors", "%g is not from 0.0001 to 0.5", p.ErrorAllowance)
	case !inRange(p.FalseAlarmWindows, minAlarmWindows, maxAlarmWindows):
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
	case !inRange(p.ColdCapacityFraction, 0, 1):
		return planError("cold_share", "%g is not from 0 to 1", p.ColdCapacityFraction)
	case !inRange(p.CollapseFactor, minCollapseFactor, maxFactor):
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
		if duration.value < duration.minimum || duration.value > maxDuration {
			return planError(duration.key, "%v is not from %v to 1h", duration.value, duration.minimum)
		}
	}
	return nil
}

// MinimumDuration returns how long a migration takes if nothing delays it.
func (p Plan) MinimumDuration() time.Duration {
	return p.MinWarmUp + time.Duration(len(p.Steps))*(p.MinHold+2*WindowLength)
}

// windowCount returns the number of windows that cover a duration, rounded up.
func windowCount(duration time.Duration) int {
	return int(math.Ceil(float64(duration) / float64(WindowLength)))
}
