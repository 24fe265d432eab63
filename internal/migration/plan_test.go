package migration

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestInvalidPlansNameTheKey(t *testing.T) {
	for key, edit := range map[string]func(*Plan){
		"to":           func(p *Plan) { p.To = p.From },
		"steps":        func(p *Plan) { p.Steps = nil },
		"steps[1]":     func(p *Plan) { p.Steps = []float64{0.5, 0.5} },
		"steps[0]":     func(p *Plan) { p.Steps = []float64{math.NaN()} },
		"trickle":      func(p *Plan) { p.WarmUpShare = 0.2 },
		"floor":        func(p *Plan) { p.OnTimeFloor = 1.5 },
		"first_token":  func(p *Plan) { p.FirstTokenFactor = 0.5 },
		"pace":         func(p *Plan) { p.TokenGapFactor = math.Inf(1) },
		"errors":       func(p *Plan) { p.ErrorAllowance = 0 },
		"alarm":        func(p *Plan) { p.FalseAlarmWindows = 1 },
		"samples":      func(p *Plan) { p.MinSamples = 0 },
		"on_worse":     func(p *Plan) { p.OnWorse = "panic" },
		"return_steps": func(p *Plan) { p.ReturnSteps = 0 },
		"hold":         func(p *Plan) { p.MinHold = time.Millisecond },
		"stall":        func(p *Plan) { p.MaxToleratedStall = -1 },
		"warm_up":      func(p *Plan) { p.SlowStart = 48 * time.Hour },
	} {
		p := Default()
		p.From, p.To = "old", "new"
		require.NoError(t, p.Check())
		edit(&p)
		var fault *PlanError
		require.ErrorAs(t, p.Check(), &fault, key)
		require.Equal(t, key, fault.Key, fmt.Sprint(fault))
	}
}
