// Package experiment runs the variants of an experiment on the same seeds, compares them seed by seed and writes
// reports. It belongs to the lab tools; the daemon does not import it.
package experiment

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"standpoint/internal/lab"
	"standpoint/internal/lab/load"
)

// Parameters are the keys of an experiment that each variant may override.
type Parameters struct {
	Policy   string `toml:"policy" json:"policy,omitempty"` // one of lab.Policies; empty means the module
	Nodes    int    `toml:"nodes" json:"nodes,omitempty"`
	Backends int    `toml:"boxes" json:"boxes,omitempty"`
	Pattern  string `toml:"pattern" json:"pattern,omitempty"` // requests per second over time
	// SpeedSpread is the natural logarithm of the largest factor on a backend's speed. Its default is 0.1.
	SpeedSpread *float64      `toml:"spread" json:"spread,omitempty"`
	ListDelay   load.Duration `toml:"list_late" json:"list_late,omitempty"` // longest delay of an endpoint list
	// ReportDelay is the least age of a load report on arrival. ReportLossRate is the share of load reports that are lost,
	// and AttemptLossRate the share of attempts that never arrive.
	ReportDelay     load.Duration `toml:"report_late" json:"report_late,omitempty"`
	ReportLossRate  float64       `toml:"report_lost" json:"report_lost,omitempty"`
	AttemptLossRate float64       `toml:"message_lost" json:"message_lost,omitempty"`
	// ReportInterval is the time between two load reports of a backend. Responses in between carry the last one.
	ReportInterval load.Duration `toml:"report_every" json:"report_every,omitempty"`
}

// Variant is one of the parameter sets that are compared. The first variant is the reference for the others.
type Variant struct {
	Name string `toml:"name" json:"name"`
	Parameters
}

// File is an experiment's file.
type File struct {
	Name      string        `toml:"name" json:"name"`
	Seeds     int           `toml:"seeds" json:"seeds"`
	FirstSeed uint64        `toml:"first_seed" json:"first_seed"`
	Settle    load.Duration `toml:"settle" json:"settle"` // time at the start that is not measured
	Duration  load.Duration `toml:"for" json:"for"`       // time that is measured after it
	Parameters
	Events []struct {
		At       load.Duration `toml:"at" json:"at"`
		Command  string        `toml:"do" json:"do"`
		Value    float64       `toml:"value" json:"value,omitempty"`
		Backends []int         `toml:"boxes" json:"boxes,omitempty"`
	} `toml:"event" json:"events,omitempty"`
	Variants []Variant `toml:"variant" json:"variants"`
}

// Bounds of an experiment.
const (
	maxSeeds    = 10_000
	maxVariants = 32
	maxBackends = 10_000
	maxNodes    = 200
	maxDuration = 4 * time.Hour // of the measured time, in virtual time
)

// Read reads and checks an experiment's file. Errors name the key.
func Read(path string) (*File, error) {
	f := File{Seeds: 20, FirstSeed: 1, Settle: load.Duration(15 * time.Second)}
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	return &f, f.validate()
}

// validate checks the file's values.
func (f *File) validate() error {
	switch {
	case f.Name == "":
		return errors.New("name: missing")
	case f.Seeds < 1 || f.Seeds > maxSeeds:
		return fmt.Errorf("seeds: %d is not from 1 to %d", f.Seeds, maxSeeds)
	case f.Duration < load.Duration(time.Second) || f.Duration > load.Duration(maxDuration):
		return fmt.Errorf("for: %v is not from 1s to %v", time.Duration(f.Duration), maxDuration)
	case f.Settle < 0 || f.Settle > load.Duration(time.Hour):
		return fmt.Errorf("settle: %v is not from 0s to 1h", time.Duration(f.Settle))
	case len(f.Variants) == 0 || len(f.Variants) > maxVariants:
		return fmt.Errorf("variant: %d variants are not from 1 to %d", len(f.Variants), maxVariants)
	}
	seen := map[string]bool{}
	for i := range f.Variants {
		v := &f.Variants[i]
		if v.Name == "" || seen[v.Name] {
			return fmt.Errorf("variant[%d].name: %q is empty or used by another variant", i, v.Name)
		}
		seen[v.Name] = true
		merged := f.Parameters.override(v.Parameters)
		if _, err := merged.setup(1); err != nil {
			return fmt.Errorf("variant[%d]: %w", i, err)
		}
		if err := lab.CheckEvents(f.faultEvents(), merged.Backends); err != nil {
			return err
		}
	}
	return nil
}

// faultEvents returns the file's events for the simulation.
func (f *File) faultEvents() (all []lab.FaultEvent) {
	for _, e := range f.Events {
		all = append(all, lab.FaultEvent{At: time.Duration(e.At).Seconds(), Command: e.Command, Value: e.Value,
			Backends: e.Backends})
	}
	return all
}

// override returns the parameters with the values that a variant sets in place of the experiment's own.
func (p Parameters) override(variant Parameters) Parameters {
	set := func(to *string, from string) {
		if from != "" {
			*to = from
		}
	}
	set(&p.Policy, variant.Policy)
	set(&p.Pattern, variant.Pattern)
	if variant.Nodes != 0 {
		p.Nodes = variant.Nodes
	}
	if variant.Backends != 0 {
		p.Backends = variant.Backends
	}
	if variant.SpeedSpread != nil {
		p.SpeedSpread = variant.SpeedSpread
	}
	if variant.ListDelay != 0 {
		p.ListDelay = variant.ListDelay
	}
	if variant.ReportDelay != 0 {
		p.ReportDelay = variant.ReportDelay
	}
	if variant.ReportLossRate != 0 {
		p.ReportLossRate = variant.ReportLossRate
	}
	if variant.AttemptLossRate != 0 {
		p.AttemptLossRate = variant.AttemptLossRate
	}
	if variant.ReportInterval != 0 {
		p.ReportInterval = variant.ReportInterval
	}
	return p
}

// setup returns the simulation's setup, after checking the parameters.
func (p Parameters) setup(seed uint64) (lab.Setup, error) {
	s := lab.Setup{Seed: seed, Nodes: p.Nodes, OldBackends: p.Backends, SpeedSpread: 0.1, Policy: p.Policy,
		ListDelay:   time.Duration(p.ListDelay).Seconds(),
		ReportDelay: time.Duration(p.ReportDelay).Seconds(), ReportLossRate: p.ReportLossRate,
		AttemptLossRate: p.AttemptLossRate}
	if s.Policy == "" {
		s.Policy = "module"
	}
	if s.Nodes == 0 {
		s.Nodes = 3
	}
	if p.SpeedSpread != nil {
		s.SpeedSpread = *p.SpeedSpread
	}
	validRate := func(v float64) bool { return v >= 0 && v < 1 }
	switch {
	case !slices.Contains(lab.Policies, s.Policy):
		return s, fmt.Errorf("policy: %q is not one of %v", s.Policy, lab.Policies)
	case s.Nodes < 1 || s.Nodes > maxNodes:
		return s, fmt.Errorf("nodes: %d is not from 1 to %d", s.Nodes, maxNodes)
	case s.OldBackends < 1 || s.OldBackends > maxBackends:
		return s, fmt.Errorf("boxes: %d is not from 1 to %d", s.OldBackends, maxBackends)
	case !(s.SpeedSpread >= 0 && s.SpeedSpread <= 3):
		return s, fmt.Errorf("spread: %g is not from 0 to 3", s.SpeedSpread)
	case s.ListDelay < 0 || s.ListDelay > 60:
		return s, fmt.Errorf("list_late: %g s is not from 0 to 60", s.ListDelay)
	case p.ReportInterval < 0 || p.ReportInterval > load.Duration(time.Minute):
		return s, fmt.Errorf("report_every: %v is not from 0s to 1m", time.Duration(p.ReportInterval))
	case s.ReportDelay < 0 || s.ReportDelay > 60:
		return s, fmt.Errorf("report_late: %g s is not from 0 to 60", s.ReportDelay)
	case !validRate(s.ReportLossRate):
		return s, fmt.Errorf("report_lost: %g is not from 0 to below 1", s.ReportLossRate)
	case !validRate(s.AttemptLossRate):
		return s, fmt.Errorf("message_lost: %g is not from 0 to below 1", s.AttemptLossRate)
	}
	pattern, err := load.ParsePattern(p.Pattern)
	if err != nil {
		return s, fmt.Errorf("pattern: %w", err)
	}
	s.Pattern, s.Rate = pattern, pattern.MaxRate()
	if p.ReportInterval > 0 {
		s.Kinds = lab.BackendKinds()
		for i := range s.Kinds {
			s.Kinds[i].ReportInterval = time.Duration(p.ReportInterval).Seconds()
		}
	}
	return s, nil
}
