// Package experiment runs variants side by side on the same seeds, compares them pair by pair, and writes reports. It
// belongs to the laboratory; the daemon does not import it.
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

// Parameters is what is tried: the keys that a variant may set otherwise.
type Parameters struct {
	Policy          string    `toml:"policy" json:"policy,omitempty"`
	Nodes           int       `toml:"nodes" json:"nodes,omitempty"`
	Backends        int       `toml:"boxes" json:"boxes,omitempty"`
	Pattern         string    `toml:"pattern" json:"pattern,omitempty"` // requests a second
	SpeedSpread     *float64  `toml:"spread" json:"spread,omitempty"`   // of the boxes' true speeds, as a factor's logarithm
	ListDelay       load.Span `toml:"list_late" json:"list_late,omitempty"`
	ReportDelay     load.Span `toml:"report_late" json:"report_late,omitempty"` // how old reports are, at the least, when they come
	ReportLossRate  float64   `toml:"report_lost" json:"report_lost,omitempty"`
	AttemptLossRate float64   `toml:"message_lost" json:"message_lost,omitempty"`
	// ReportInterval is how often a box makes a new report; what it tells in between is as old.
	ReportInterval load.Span `toml:"report_every" json:"report_every,omitempty"`
}

// Variant is one of the worlds that are compared; the first is what the others are held against.
type Variant struct {
	Name string `toml:"name" json:"name"`
	Parameters
}

// File is an experiment's.
type File struct {
	Name      string    `toml:"name" json:"name"`
	Seeds     int       `toml:"seeds" json:"seeds"`
	FirstSeed uint64    `toml:"first_seed" json:"first_seed"`
	Settle    load.Span `toml:"settle" json:"settle"` // at the start, not counted
	Duration  load.Span `toml:"for" json:"for"`
	Parameters
	Events []struct {
		At       load.Span `toml:"at" json:"at"`
		Command  string    `toml:"do" json:"do"`
		Value    float64   `toml:"value" json:"value,omitempty"`
		Backends []int     `toml:"boxes" json:"boxes,omitempty"`
	} `toml:"event" json:"events,omitempty"`
	Variants []Variant `toml:"variant" json:"variants"`
}

// Bounds of an experiment.
const (
	maxSeeds    = 10_000
	maxVariants = 32
	maxBackends = 10_000
	maxNodes    = 200
	maxDuration = 4 * time.Hour
)

// Read reads and checks an experiment's file; errors name the key.
func Read(path string) (*File, error) {
	f := File{Seeds: 20, FirstSeed: 1, Settle: load.Span(15 * time.Second)}
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	return &f, f.validate()
}

func (f *File) validate() error {
	switch {
	case f.Name == "":
		return errors.New("name: missing")
	case f.Seeds < 1 || f.Seeds > maxSeeds:
		return fmt.Errorf("seeds: %d is not from 1 to %d", f.Seeds, maxSeeds)
	case f.Duration < load.Span(time.Second) || f.Duration > load.Span(maxDuration):
		return fmt.Errorf("for: %v is not from 1s to %v", time.Duration(f.Duration), maxDuration)
	case f.Settle < 0 || f.Settle > load.Span(time.Hour):
		return fmt.Errorf("settle: %v is not from 0s to 1h", time.Duration(f.Settle))
	case len(f.Variants) == 0 || len(f.Variants) > maxVariants:
		return fmt.Errorf("variant: from 1 to %d are needed", maxVariants)
	}
	seen := map[string]bool{}
	for i := range f.Variants {
		v := &f.Variants[i]
		if v.Name == "" || seen[v.Name] {
			return fmt.Errorf("variant[%d].name: %q is missing, or another variant's", i, v.Name)
		}
		seen[v.Name] = true
		w := f.Parameters.override(v.Parameters)
		if _, err := w.setup(1); err != nil {
			return fmt.Errorf("variant[%d]: %w", i, err)
		}
		if err := lab.CheckEvents(f.faultEvents(), w.Backends); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) faultEvents() (all []lab.FaultEvent) {
	for _, e := range f.Events {
		all = append(all, lab.FaultEvent{At: time.Duration(e.At).Seconds(), Command: e.Command, Value: e.Value, Backends: e.Backends})
	}
	return all
}

// override is the world where a variant's keys, as far as given, stand in for it.
func (w Parameters) override(v Parameters) Parameters {
	set := func(to *string, from string) {
		if from != "" {
			*to = from
		}
	}
	set(&w.Policy, v.Policy)
	set(&w.Pattern, v.Pattern)
	if v.Nodes != 0 {
		w.Nodes = v.Nodes
	}
	if v.Backends != 0 {
		w.Backends = v.Backends
	}
	if v.SpeedSpread != nil {
		w.SpeedSpread = v.SpeedSpread
	}
	if v.ListDelay != 0 {
		w.ListDelay = v.ListDelay
	}
	if v.ReportDelay != 0 {
		w.ReportDelay = v.ReportDelay
	}
	if v.ReportLossRate != 0 {
		w.ReportLossRate = v.ReportLossRate
	}
	if v.AttemptLossRate != 0 {
		w.AttemptLossRate = v.AttemptLossRate
	}
	if v.ReportInterval != 0 {
		w.ReportInterval = v.ReportInterval
	}
	return w
}

// setup is the world for the laboratory.
func (w Parameters) setup(seed uint64) (lab.Setup, error) {
	s := lab.Setup{Seed: seed, Nodes: w.Nodes, OldBackends: w.Backends, SpeedSpread: 0.1, Policy: w.Policy, ListDelay: time.Duration(w.ListDelay).Seconds(),
		ReportDelay: time.Duration(w.ReportDelay).Seconds(), ReportLossRate: w.ReportLossRate, AttemptLossRate: w.AttemptLossRate}
	if s.Policy == "" {
		s.Policy = "module"
	}
	if s.Nodes == 0 {
		s.Nodes = 3
	}
	if w.SpeedSpread != nil {
		s.SpeedSpread = *w.SpeedSpread
	}
	validRate := func(v float64) bool { return v >= 0 && v < 1 }
	switch {
	case !slices.Contains(lab.Policies, s.Policy):
		return s, fmt.Errorf("policy: %q is none of %v", s.Policy, lab.Policies)
	case s.Nodes < 1 || s.Nodes > maxNodes:
		return s, fmt.Errorf("nodes: %d is not from 1 to %d", s.Nodes, maxNodes)
	case s.OldBackends < 1 || s.OldBackends > maxBackends:
		return s, fmt.Errorf("boxes: %d is not from 1 to %d", s.OldBackends, maxBackends)
	case !(s.SpeedSpread >= 0 && s.SpeedSpread <= 3):
		return s, fmt.Errorf("spread: %g is not from 0 to 3", s.SpeedSpread)
	case s.ListDelay < 0 || s.ListDelay > 60:
		return s, fmt.Errorf("list_late: %g s is not from 0 to 60", s.ListDelay)
	case w.ReportInterval < 0 || w.ReportInterval > load.Span(time.Minute):
		return s, fmt.Errorf("report_every: %v is not from 0s to 1m", time.Duration(w.ReportInterval))
	case s.ReportDelay < 0 || s.ReportDelay > 60:
		return s, fmt.Errorf("report_late: %g s is not from 0 to 60", s.ReportDelay)
	case !validRate(s.ReportLossRate):
		return s, fmt.Errorf("report_lost: %g is not from 0 to below 1", s.ReportLossRate)
	case !validRate(s.AttemptLossRate):
		return s, fmt.Errorf("message_lost: %g is not from 0 to below 1", s.AttemptLossRate)
	}
	p, err := load.ParsePattern(w.Pattern)
	if err != nil {
		return s, fmt.Errorf("pattern: %w", err)
	}
	s.Pattern, s.Rate = p, p.Most()
	if w.ReportInterval > 0 {
		s.Kinds = lab.BackendKinds()
		for i := range s.Kinds {
			s.Kinds[i].ReportEvery = time.Duration(w.ReportInterval).Seconds()
		}
	}
	return s, nil
}
