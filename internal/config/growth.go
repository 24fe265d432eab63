package config

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"standpoint/internal/migration"
	"standpoint/internal/pool"
)

// setMigrationDefaults fills the keys of [move] from the mover's own defaults.
func (o *OperatorFile) setMigrationDefaults() {
	d, m := migration.Default(), &o.Migration
	if m.Steps == nil {
		m.Steps = d.Steps
	}
	setDefault(&m.Trickle, min(d.Trickle, m.firstStep(d.Trickle)))
	setDefault(&m.Warm, Duration(d.Warm))
	setDefault(&m.Hold, Duration(d.Hold))
	setDefault(&m.Samples, d.Samples)
	setDefault(&m.Floor, d.Floor)
	setDefault(&m.FirstToken, d.FirstToken)
	setDefault(&m.Pace, d.Pace)
	setDefault(&m.Errors, d.Errors)
	setDefault(&m.Stall, Duration(d.Stall))
	setDefault(&m.Alarm, d.Alarm)
	setDefault(&m.OnWorse, d.OnWorse)
	setDefault(&m.ReturnSteps, d.ReturnSteps)
	setDefault(&m.ReturnEvery, Duration(d.ReturnEvery))
}

func (m *Migration) firstStep(standard float64) float64 {
	if len(m.Steps) == 0 {
		return standard
	}
	return m.Steps[0]
}

func (o *OperatorFile) validateLog() error {
	if _, err := zapcore.ParseLevel(o.Log.Level); err != nil {
		return fmt.Errorf("log.level: %q is none of debug, info, warn and error", o.Log.Level)
	}
	if o.Log.Form != "json" && o.Log.Form != "console" {
		return fmt.Errorf("log.form: %q is neither \"json\" nor \"console\"", o.Log.Form)
	}
	return nil
}

func (o *OperatorFile) validateControl() error {
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
	if err := validateLoopback("control.listen", c.Listen); err != nil {
		return err
	}
	if c.TokenFile == "" {
		return fmt.Errorf("control.token_file: missing; a TCP listener needs a token")
	}
	return nil
}

// validatePools reads the selectors and makes the plan that moves start from.
func (o *OperatorFile) validatePools() error {
	var all []pool.Definition
	for i, p := range o.Pools {
		s, err := pool.Parse(p.Selector)
		if err != nil {
			return fmt.Errorf("pool[%d].select: %w", i, err)
		}
		all = append(all, pool.Definition{Name: p.Name, Select: s, Share: p.Share})
	}
	var err error
	if o.PoolSet, err = pool.NewSet(all); err != nil {
		return err
	}
	m := o.Migration
	o.MigrationPlan = migration.Plan{Steps: m.Steps, Trickle: m.Trickle, Warm: time.Duration(m.Warm), Hold: time.Duration(m.Hold),
		Samples: m.Samples, Floor: m.Floor, FirstToken: m.FirstToken, Pace: m.Pace, Errors: m.Errors,
		Stall: time.Duration(m.Stall), Alarm: m.Alarm, OnWorse: m.OnWorse, ReturnSteps: m.ReturnSteps,
		ReturnEvery: time.Duration(m.ReturnEvery), ColdShare: o.Module.ColdShare, WarmUp: time.Duration(o.Module.WarmUp),
		FallFactor: migration.Default().FallFactor}
	var fault *migration.PlanError
	if err := o.MigrationPlan.Check(); errors.As(err, &fault) {
		section := "move."
		if fault.Key == "cold_share" || fault.Key == "warm_up" {
			section = "module."
		}
		return fmt.Errorf("%s%s: %s", section, fault.Key, fault.Reason)
	}
	if len(o.Pools) > 0 && o.Store.Kind == "raft" && len(o.Store.Members) > 1 {
		for i, m := range o.Store.Members {
			if m.ControlAddress == "" {
				return fmt.Errorf("store.member[%d].control: missing; members that move traffic between pools report to each other there", i)
			}
		}
		for i, m := range o.Store.Members {
			if m.ID == o.Store.ID && o.Control.Listen != "" && m.ControlAddress != o.Control.Listen {
				return fmt.Errorf("store.member[%d].control: %q is not control.listen, %q, and this is its own member", i, m.ControlAddress, o.Control.Listen)
			}
		}
		if o.Control.Listen == "" {
			return errors.New("control.listen: missing; members that move traffic between pools report to each other there")
		}
	}
	return nil
}
