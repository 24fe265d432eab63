package config

import (
	"errors"
	"fmt"
	"time"

	"standpoint/internal/migration"
	"standpoint/internal/pool"
)

// Pool is a [[pool]] of backends, between which traffic can be divided and migrated.
type Pool struct {
	Name     string  `toml:"name"`
	Selector string  `toml:"select"` // expression over the labels and keys of a backend
	Share    float64 `toml:"share"`  // fraction of the requests; if no pool has a share, the first gets all
}

// Migration is the section [move]: the default plan of migrations between pools. The start of a migration may override
// a part of it, see controller.StartRequest. Each field sets a field of migration.Plan.
type Migration struct {
	Steps       []float64 `toml:"steps"`        // share of the requests at each step, ascending, above 0 and at most 1
	Trickle     float64   `toml:"trickle"`      // share of the requests while the new pool warms up
	Warm        Duration  `toml:"warm"`         // minimum duration of the warm-up
	Hold        Duration  `toml:"hold"`         // minimum duration of the analysis of each step
	Samples     int       `toml:"samples"`      // number of ended requests that each pool needs before a step is passed
	Floor       float64   `toml:"floor"`        // minimum of the new pool's on-time weight, as a fraction of the old one's
	FirstToken  float64   `toml:"first_token"`  // tolerated factor of the time to first token
	Pace        float64   `toml:"pace"`         // tolerated factor of the time per token
	Errors      float64   `toml:"errors"`       // tolerated fraction of failed attempts beyond the old pool's
	Stall       Duration  `toml:"stall"`        // duration up to which no disturbance ends the migration by itself
	Alarm       float64   `toml:"alarm"`        // minimum mean number of windows between false alarms
	OnWorse     string    `toml:"on_worse"`     // migration.Return or migration.Stay
	ReturnSteps int       `toml:"return_steps"` // number of steps in which traffic returns
	ReturnEvery Duration  `toml:"return_every"` // interval between these steps
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

// parsePools parses the selectors of the pools and sets PoolSet.
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

// derivePlan sets MigrationPlan from [move] and [module], and validates it.
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

// validateMigrationMembers checks that every member of a store states the address of its control interface, to which
// the others send reports about a migration, and that this node listens at the address that it states.
func (o *OperatorFile) validateMigrationMembers() error {
	if len(o.Pools) == 0 || o.Store.Kind != StoreRaft || len(o.Store.Members) <= 1 {
		return nil
	}
	const missing = "missing; store members with pools send migration reports to this address"
	for i, m := range o.Store.Members {
		if m.ControlAddress == "" {
			return keyError(indexed("store.member", i, "control"), missing)
		}
	}
	for i, m := range o.Store.Members {
		if m.ID == o.Store.ID && o.Control.Listen != "" && m.ControlAddress != o.Control.Listen {
			return keyError(indexed("store.member", i, "control"),
				"%q differs from this node's control.listen, %q", m.ControlAddress, o.Control.Listen)
		}
	}
	if o.Control.Listen == "" {
		return keyError("control.listen", missing)
	}
	return nil
}
