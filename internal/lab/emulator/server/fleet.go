package server

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"

	"standpoint/internal/lab/emulator"
)

// Fleet is a file of emulated boxes and of what happens to them.
type Fleet struct {
	Seed   uint64  `toml:"seed"`
	Out    float64 `toml:"out_tokens"`
	Spread float64 `toml:"out_spread"`
	Boxes  []Box   `toml:"box"`
	Groups []Group `toml:"group"`
	Events []Event `toml:"event"`
}

// Box is one box of a fleet's file.
type Box struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Cold    bool   `toml:"cold"`
	emulator.Figures
}

// Event is something that happens to some boxes at a time.
type Event struct {
	At    Span     `toml:"at"`
	Boxes []string `toml:"boxes"` // none: all
	Do    string   `toml:"do"`
	Value float64  `toml:"value"`
}

// Span is a time in a fleet's file, such as "30s".
type Span time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// Deeds are what can be done to a box, and what its value is.
var Deeds = map[string]string{"slow": "a factor on its steps' time", "errors": "the share of requests that fail", "pause": "seconds",
	"kill": "", "restart": "", "drain": "",
	"reset": "the share of requests whose connection is reset", "silence": "the share of requests that are never answered",
	"garbage": "the share of requests answered with bytes that mean nothing", "half": "the share of answers that break off half-way"}

// ReadFleet reads and checks a fleet's file; errors name the key.
func ReadFleet(path string) (*Fleet, error) {
	var f Fleet
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	if err := f.expand(); err != nil {
		return nil, err
	}
	return &f, f.check()
}

func (f *Fleet) check() error {
	if len(f.Boxes) == 0 {
		return errors.New("box: at least one is needed")
	}
	names := map[string]bool{}
	for i, b := range f.Boxes {
		key := func(name string) string { return fmt.Sprintf("box[%d].%s", i, name) }
		if b.Name == "" || names[b.Name] {
			return fmt.Errorf("%s: %q is missing, or another box's", key("name"), b.Name)
		}
		names[b.Name] = true
		for _, v := range []struct {
			name        string
			value       float64
			least, most float64
		}{{"slots", float64(b.Slots), 1, 4096}, {"queue", float64(b.Queue), 0, 65536}, {"memory", b.Memory, 1000, 1e9}, {"chunk", b.Chunk, 1, 1e6},
			{"step", b.Step, 1e-4, 10}, {"per_sequence", b.PerSequence, 0, 1}, {"per_context", b.PerContext, 0, 1}, {"read_per_s", b.ReadPerS, 1, 1e9},
			{"cold_share", b.ColdShare, 0, 1}, {"warm_up", b.WarmUp, 0, 3600}, {"fall_factor", b.FallFactor, 0, 1000}, {"fall", b.Fall, 0, 3600},
			{"report_every", b.ReportEvery, 0, 60}} {
			if !(v.value >= v.least && v.value <= v.most) {
				return fmt.Errorf("%s: %g is not from %g to %g", key(v.name), v.value, v.least, v.most)
			}
		}
	}
	for i, e := range f.Events {
		if _, ok := Deeds[e.Do]; !ok {
			return fmt.Errorf("event[%d].do: %q is nothing that can be done to a box", i, e.Do)
		}
		for _, name := range e.Boxes {
			if !names[name] {
				return fmt.Errorf("event[%d].boxes: there is no box %q", i, name)
			}
		}
	}
	return nil
}

// Running is a fleet that serves.
type Running struct {
	Servers []*Server
	timers  []*time.Timer
}

// Start starts all boxes and their timetable. On an error those that were started are ended.
func (f *Fleet) Start() (*Running, error) {
	r := &Running{}
	for i, b := range f.Boxes {
		s, err := Start(Options{Name: b.Name, Listen: b.Address, Figures: b.Figures, Seed: f.Seed + uint64(i), Cold: b.Cold, Out: f.Out, Spread: f.Spread})
		if err != nil {
			return nil, errors.Join(err, r.Close())
		}
		r.Servers = append(r.Servers, s)
	}
	for _, e := range f.Events {
		r.timers = append(r.timers, time.AfterFunc(time.Duration(e.At), func() { _ = r.Do(e.Do, strconv.FormatFloat(e.Value, 'g', -1, 64), e.Boxes...) }))
	}
	return r, nil
}

// Close ends all boxes.
func (r *Running) Close() error {
	for _, t := range r.timers {
		t.Stop()
	}
	var all []error
	for _, s := range r.Servers {
		all = append(all, s.Close())
	}
	return errors.Join(all...)
}

// Do does something to the boxes of these names, or to all.
func (r *Running) Do(deed, value string, names ...string) error {
	unit, ok := Deeds[deed]
	if !ok {
		return fmt.Errorf("%q is nothing that can be done to a box", deed)
	}
	v := 0.0
	if unit != "" {
		var err error
		if v, err = strconv.ParseFloat(value, 64); err != nil || v < 0 || v > 1000 {
			return fmt.Errorf("%s: %q is not %s", deed, value, unit)
		}
	}
	found := 0
	for _, s := range r.Servers {
		if len(names) > 0 && !slices.Contains(names, s.Name) {
			continue
		}
		found++
		switch deed {
		case "slow":
			s.Do(func(b *emulator.Box, _ float64) { b.Slow(v) })
		case "errors":
			s.Do(func(b *emulator.Box, _ float64) { b.Fail(v) })
		case "pause":
			s.Do(func(b *emulator.Box, now float64) { b.Pause(now, now+v) })
		case "drain":
			s.Do(func(b *emulator.Box, _ float64) { b.Drain() })
		case "reset", "silence", "garbage", "half":
			s.Spoil(deed, v)
		case "kill":
			s.Kill()
		case "restart":
			s.Restart()
		}
	}
	if found == 0 {
		return fmt.Errorf("no box of these names: %v", names)
	}
	return nil
}
