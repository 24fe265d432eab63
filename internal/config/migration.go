package config

import (
	"errors"
	"fmt"
	"time"

	"standpoint/internal/migration"
	"standpoint/internal/pool"
)

// Pool is a [[pool]] of backends.
type Pool struct {
	Name     string  `toml:"name"`
	Selector string  `toml:"select"` // an expression over the labels and keys of a backend
	Share    float64 `toml:"share"`  // of the requests; where no pool has a share the first has all
}

// Migration is the section [move]: the plan of a migration between pools, unless its start says otherwise. See
// migration.Plan.
type Migration struct {
	Steps       []float64 `toml:"steps"`
	Trickle     float64   `toml:"trickle"`
	Warm        Duration  `toml:"warm"`
	Hold        Duration  `toml:"hold"`
	Samples     int       `toml:"samples"`
	Floor       float64   `toml:"floor"`
	FirstToken  float64   `toml:"first_token"`
	Pace        float64   `toml:"pace"`
	Errors      float64   `toml:"errors"`
	Stall       Duration  `toml:"stall"`
	Alarm       float64   `toml:"alarm"`
	OnWorse     string    `toml:"on_worse"`
	ReturnSteps int       `toml:"return_steps"`
	ReturnEvery Duration  `toml:"return_every"`
}

func (m *Migration) setDefaults() {
	standard := migration.Default()
	if m.Steps == nil {
		m.Steps = standard.Steps
	}
	trickle := standard.WarmUpShare
	if len(m.Steps) > 0 {
		trickle = min(trickle, m.Steps[0])
	}
	setDefault(&m.Trickle, trickle)
	setDefault(&m.Warm, Duration(standard.MinWarmUp))
	setDefault(&m.Hold, Duration(standard.MinHold))
	setDefault(&m.Samples, standard.MinSamples)
	setDefault(&m.Floor, standard.OnTimeFloor)
	setDefault(&m.FirstToken, standard.FirstTokenFactor)
	setDefault(&m.Pace, standard.TokenGapFactor)
	setDefault(&m.Errors, standard.ErrorAllowance)
	setDefault(&m.Stall, Duration(standard.MaxToleratedStall))
	setDefault(&m.Alarm, standard.FalseAlarmWindows)
	setDefault(&m.OnWorse, standard.OnWorse)
	setDefault(&m.ReturnSteps, standard.ReturnSteps)
	setDefault(&m.ReturnEvery, Duration(standard.ReturnEvery))
}

// parsePools parses the selectors and derives PoolSet.
func (o *OperatorFile) parsePools() error {
	var definitions []pool.Definition
	for i, p := range o.Pools {
		selector, err := pool.Parse(p.Selector)
		if err != nil {
			return fmt.Errorf("%s: %w", indexed("pool", i, "select"), err)
		}
		definitions = append(definitions, pool.Definition{Name: p.Name, Selector: selector, Share: p.Share})
	}
	var err error
	o.PoolSet, err = pool.NewSet(definitions)
	return err
}

// derivePlan derives MigrationPlan from [move] and [module], and validates it.
func (o *OperatorFile) derivePlan() error {
	section := &o.Migration
	o.MigrationPlan = migration.Plan{
		Steps:                section.Steps,
		WarmUpShare:          section.Trickle,
		MinWarmUp:            time.Duration(section.Warm),
		MinHold:              time.Duration(section.Hold),
		MinSamples:           section.Samples,
		OnTimeFloor:          section.Floor,
		FirstTokenFactor:     section.FirstToken,
		TokenGapFactor:       section.Pace,
		ErrorAllowance:       section.Errors,
		MaxToleratedStall:    time.Duration(section.Stall),
		FalseAlarmWindows:    section.Alarm,
		OnWorse:              section.OnWorse,
		ReturnSteps:          section.ReturnSteps,
		ReturnEvery:          time.Duration(section.ReturnEvery),
		ColdCapacityFraction: o.Module.ColdShare,
		SlowStart:            time.Duration(o.Module.WarmUp),
		CollapseFactor:       migration.Default().CollapseFactor,
	}
	var invalid *migration.PlanError
	if !errors.As(o.MigrationPlan.Check(), &invalid) {
		return nil
	}
	prefix := "move."
	if invalid.Key == "cold_share" || invalid.Key == "warm_up" {
		prefix = "module."
	}
	return &KeyError{Key: prefix + invalid.Key, Reason: invalid.Reason}
}

// validateMigrationMembers checks that the members of a store can reach each other's control interface, where their
// reports of a migration go.
func (o *OperatorFile) validateMigrationMembers() error {
	if len(o.Pools) == 0 || o.Store.Kind != StoreRaft || len(o.Store.Members) <= 1 {
		return nil
	}
	const missing = "missing; members that move traffic between pools report to each other there"
	for i, m := range o.Store.Members {
		if m.ControlAddress == "" {
			return keyError(indexed("store.member", i, "control"), missing)
		}
	}
	for i, m := range o.Store.Members {
		if m.ID == o.Store.ID && o.Control.Listen != "" && m.ControlAddress != o.Control.Listen {
			return keyError(indexed("store.member", i, "control"),
				"%q is not control.listen, %q, and this is its own member", m.ControlAddress, o.Control.Listen)
		}
	}
	if o.Control.Listen == "" {
		return keyError("control.listen", missing)
	}
	return nil
}
