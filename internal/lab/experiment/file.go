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

// World is what is tried: the keys that a variant may set otherwise.
type World struct {
	Policy      string    `toml:"policy" json:"policy,omitempty"`
	Nodes       int       `toml:"nodes" json:"nodes,omitempty"`
	Boxes       int       `toml:"boxes" json:"boxes,omitempty"`
	Pattern     string    `toml:"pattern" json:"pattern,omitempty"` // requests a second
	Spread      *float64  `toml:"spread" json:"spread,omitempty"`   // of the boxes' true speeds, as a factor's logarithm
	ListLate    load.Span `toml:"list_late" json:"list_late,omitempty"`
	ReportLate  load.Span `toml:"report_late" json:"report_late,omitempty"` // how old reports are, at the least, when they come
	ReportLost  float64   `toml:"report_lost" json:"report_lost,omitempty"`
	MessageLost float64   `toml:"message_lost" json:"message_lost,omitempty"`
	// ReportEvery is how often a box makes a new report; what it tells in between is as old.
	ReportEvery load.Span `toml:"report_every" json:"report_every,omitempty"`
}

// Variant is one of the worlds that are compared; the first is what the others are held against.
type Variant struct {
	Name string `toml:"name" json:"name"`
	World
}

// File is an experiment's.
type File struct {
	Name   string    `toml:"name" json:"name"`
	Seeds  int       `toml:"seeds" json:"seeds"`
	First  uint64    `toml:"first_seed" json:"first_seed"`
	Settle load.Span `toml:"settle" json:"settle"` // at the start, not counted
	For    load.Span `toml:"for" json:"for"`
	World
	Events []struct {
		At    load.Span `toml:"at" json:"at"`
		Do    string    `toml:"do" json:"do"`
		Value float64   `toml:"value" json:"value,omitempty"`
		Boxes []int     `toml:"boxes" json:"boxes,omitempty"`
	} `toml:"event" json:"events,omitempty"`
	Variants []Variant `toml:"variant" json:"variants"`
}

// Bounds of an experiment.
const (
	seedsMost    = 10_000
	variantsMost = 32
	boxesMost    = 10_000
	nodesMost    = 200
	spanMost     = 4 * time.Hour
)

// Read reads and checks an experiment's file; errors name the key.
func Read(path string) (*File, error) {
	f := File{Seeds: 20, First: 1, Settle: load.Span(15 * time.Second)}
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	return &f, f.check()
}

func (f *File) check() error {
	switch {
	case f.Name == "":
		return errors.New("name: missing")
	case f.Seeds < 1 || f.Seeds > seedsMost:
		return fmt.Errorf("seeds: %d is not from 1 to %d", f.Seeds, seedsMost)
	case f.For < load.Span(time.Second) || f.For > load.Span(spanMost):
		return fmt.Errorf("for: %v is not from 1s to %v", time.Duration(f.For), spanMost)
	case f.Settle < 0 || f.Settle > load.Span(time.Hour):
		return fmt.Errorf("settle: %v is not from 0s to 1h", time.Duration(f.Settle))
	case len(f.Variants) == 0 || len(f.Variants) > variantsMost:
		return fmt.Errorf("variant: from 1 to %d are needed", variantsMost)
	}
	seen := map[string]bool{}
	for i := range f.Variants {
		v := &f.Variants[i]
		if v.Name == "" || seen[v.Name] {
			return fmt.Errorf("variant[%d].name: %q is missing, or another variant's", i, v.Name)
		}
		seen[v.Name] = true
		w := f.World.with(v.World)
		if _, err := w.setup(1); err != nil {
			return fmt.Errorf("variant[%d]: %w", i, err)
		}
		if err := lab.CheckEvents(f.events(), w.Boxes); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) events() (all []lab.Happening) {
	for _, e := range f.Events {
		all = append(all, lab.Happening{At: time.Duration(e.At).Seconds(), Do: e.Do, Value: e.Value, Boxes: e.Boxes})
	}
	return all
}

// with is the world where a variant's keys, as far as given, stand in for it.
func (w World) with(v World) World {
	pick := func(to *string, from string) {
		if from != "" {
			*to = from
		}
	}
	pick(&w.Policy, v.Policy)
	pick(&w.Pattern, v.Pattern)
	if v.Nodes != 0 {
		w.Nodes = v.Nodes
	}
	if v.Boxes != 0 {
		w.Boxes = v.Boxes
	}
	if v.Spread != nil {
		w.Spread = v.Spread
	}
	if v.ListLate != 0 {
		w.ListLate = v.ListLate
	}
	if v.ReportLate != 0 {
		w.ReportLate = v.ReportLate
	}
	if v.ReportLost != 0 {
		w.ReportLost = v.ReportLost
	}
	if v.MessageLost != 0 {
		w.MessageLost = v.MessageLost
	}
	if v.ReportEvery != 0 {
		w.ReportEvery = v.ReportEvery
	}
	return w
}

// setup is the world for the laboratory.
func (w World) setup(seed uint64) (lab.Setup, error) {
	s := lab.Setup{Seed: seed, Nodes: w.Nodes, Old: w.Boxes, Spread: 0.1, Policy: w.Policy, ListLate: time.Duration(w.ListLate).Seconds(),
		ReportLate: time.Duration(w.ReportLate).Seconds(), ReportLost: w.ReportLost, MessageLost: w.MessageLost}
	if s.Policy == "" {
		s.Policy = "module"
	}
	if s.Nodes == 0 {
		s.Nodes = 3
	}
	if w.Spread != nil {
		s.Spread = *w.Spread
	}
	part := func(v float64) bool { return v >= 0 && v < 1 }
	switch {
	case !slices.Contains(lab.Policies, s.Policy):
		return s, fmt.Errorf("policy: %q is none of %v", s.Policy, lab.Policies)
	case s.Nodes < 1 || s.Nodes > nodesMost:
		return s, fmt.Errorf("nodes: %d is not from 1 to %d", s.Nodes, nodesMost)
	case s.Old < 1 || s.Old > boxesMost:
		return s, fmt.Errorf("boxes: %d is not from 1 to %d", s.Old, boxesMost)
	case !(s.Spread >= 0 && s.Spread <= 3):
		return s, fmt.Errorf("spread: %g is not from 0 to 3", s.Spread)
	case s.ListLate < 0 || s.ListLate > 60:
		return s, fmt.Errorf("list_late: %g s is not from 0 to 60", s.ListLate)
	case w.ReportEvery < 0 || w.ReportEvery > load.Span(time.Minute):
		return s, fmt.Errorf("report_every: %v is not from 0s to 1m", time.Duration(w.ReportEvery))
	case s.ReportLate < 0 || s.ReportLate > 60:
		return s, fmt.Errorf("report_late: %g s is not from 0 to 60", s.ReportLate)
	case !part(s.ReportLost):
		return s, fmt.Errorf("report_lost: %g is not from 0 to below 1", s.ReportLost)
	case !part(s.MessageLost):
		return s, fmt.Errorf("message_lost: %g is not from 0 to below 1", s.MessageLost)
	}
	p, err := load.ParsePattern(w.Pattern)
	if err != nil {
		return s, fmt.Errorf("pattern: %w", err)
	}
	s.Pattern, s.Rate = p, p.Most()
	if w.ReportEvery > 0 {
		s.Kinds = lab.Kinds()
		for i := range s.Kinds {
			s.Kinds[i].ReportEvery = time.Duration(w.ReportEvery).Seconds()
		}
	}
	return s, nil
}
