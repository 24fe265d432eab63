package config

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"standpoint/internal/mover"
	"standpoint/internal/pool"
)

// completeMove fills the keys of [move] from the mover's own defaults.
func (o *Operator) completeMove() {
	d, m := mover.Default(), &o.Move
	if m.Steps == nil {
		m.Steps = d.Steps
	}
	or(&m.Trickle, min(d.Trickle, m.firstStep(d.Trickle)))
	or(&m.Warm, Duration(d.Warm))
	or(&m.Hold, Duration(d.Hold))
	or(&m.Samples, d.Samples)
	or(&m.Floor, d.Floor)
	or(&m.FirstToken, d.FirstToken)
	or(&m.Pace, d.Pace)
	or(&m.Errors, d.Errors)
	or(&m.Stall, Duration(d.Stall))
	or(&m.Alarm, d.Alarm)
	or(&m.OnWorse, d.OnWorse)
	or(&m.ReturnSteps, d.ReturnSteps)
	or(&m.ReturnEvery, Duration(d.ReturnEvery))
}

func (m *Move) firstStep(standard float64) float64 {
	if len(m.Steps) == 0 {
		return standard
	}
	return m.Steps[0]
}

func (o *Operator) checkLog() error {
	if _, err := zapcore.ParseLevel(o.Log.Level); err != nil {
		return fmt.Errorf("log.level: %q is none of debug, info, warn and error", o.Log.Level)
	}
	if o.Log.Form != "json" && o.Log.Form != "console" {
		return fmt.Errorf("log.form: %q is neither \"json\" nor \"console\"", o.Log.Form)
	}
	return nil
}

func (o *Operator) checkControl() error {
	c := o.Control
	switch {
	case c.Listen == "":
		return nil
	case strings.HasPrefix(c.Listen, "unix:"):
		if len(c.Listen) == len("unix:") {
			return fmt.Errorf("control.listen: the path behind unix: is missing")
		}
		return nil
	}
	if err := loopback("control.listen", c.Listen); err != nil {
		return err
	}
	if c.TokenFile == "" {
		return fmt.Errorf("control.token_file: missing; a TCP listener needs a token")
	}
	return nil
}

// checkPools reads the selectors and makes the plan that moves start from.
func (o *Operator) checkPools() error {
	var all []pool.Definition
	for i, p := range o.Pools {
		s, err := pool.Parse(p.Select)
		if err != nil {
			return fmt.Errorf("pool[%d].select: %w", i, err)
		}
		all = append(all, pool.Definition{Name: p.Name, Select: s, Share: p.Share})
	}
	var err error
	if o.PoolSet, err = pool.NewSet(all); err != nil {
		return err
	}
	m := o.Move
	o.Plan = mover.Plan{Steps: m.Steps, Trickle: m.Trickle, Warm: time.Duration(m.Warm), Hold: time.Duration(m.Hold),
		Samples: m.Samples, Floor: m.Floor, FirstToken: m.FirstToken, Pace: m.Pace, Errors: m.Errors,
		Stall: time.Duration(m.Stall), Alarm: m.Alarm, OnWorse: m.OnWorse, ReturnSteps: m.ReturnSteps,
		ReturnEvery: time.Duration(m.ReturnEvery), ColdShare: o.Module.ColdShare, WarmUp: time.Duration(o.Module.WarmUp),
		FallFactor: mover.Default().FallFactor}
	var fault *mover.Fault
	if err := o.Plan.Check(); errors.As(err, &fault) {
		section := "move."
		if fault.Key == "cold_share" || fault.Key == "warm_up" {
			section = "module."
		}
		return fmt.Errorf("%s%s: %s", section, fault.Key, fault.Reason)
	}
	if len(o.Pools) > 0 && o.Store.Kind == "raft" && len(o.Store.Members) > 1 {
		for i, m := range o.Store.Members {
			if m.Control == "" {
				return fmt.Errorf("store.member[%d].control: missing; members that move traffic between pools report to each other there", i)
			}
		}
		for i, m := range o.Store.Members {
			if m.ID == o.Store.ID && o.Control.Listen != "" && m.Control != o.Control.Listen {
				return fmt.Errorf("store.member[%d].control: %q is not control.listen, %q, and this is its own member", i, m.Control, o.Control.Listen)
			}
		}
		if o.Control.Listen == "" {
			return errors.New("control.listen: missing; members that move traffic between pools report to each other there")
		}
	}
	return nil
}
