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

// Fleet is a file that describes emulated backends and the faults to apply to them.
type Fleet struct {
	Seed        uint64    `toml:"seed"`
	MeanTokens  float64   `toml:"out_tokens"` // mean length of a response in tokens; 0: 100
	TokenSpread float64   `toml:"out_spread"` // standard deviation of the logarithm of that length
	Backends    []Backend `toml:"box"`
	Groups      []Group   `toml:"group"`
	Events      []Event   `toml:"event"`
}

// Backend is one emulated backend of a fleet file.
type Backend struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Cold    bool   `toml:"cold"`
	emulator.Parameters
}

// Event is a fault command that is applied to backends at a set time.
type Event struct {
	At       Duration `toml:"at"`    // time since the start
	Backends []string `toml:"boxes"` // names of the backends; none: all
	Do       string   `toml:"do"`    // a key of FaultCommands
	Value    float64  `toml:"value"`
}

// Duration is a duration in a fleet file, such as "30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Duration(d)
	return err
}

// FaultCommands maps the fault commands for emulated backends to descriptions of their values; "": the command has no
// value.
var FaultCommands = map[string]string{
	"slow": "the factor by which steps take longer", "errors": "the share of requests that fail",
	"pause": "a number of seconds", "kill": "", "restart": "", "drain": "",
	"reset":   "the share of requests whose connection is reset",
	"silence": "the share of requests that are never answered",
	"garbage": "the share of requests answered with malformed events",
	"half":    "the share of responses that break off half-way"}

// ReadFleet reads and validates a fleet file. Errors name the key.
func ReadFleet(path string) (*Fleet, error) {
	var f Fleet
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	if err := f.expandGroups(); err != nil {
		return nil, err
	}
	return &f, f.check()
}

// check validates the backends and events. Errors name the key.
func (f *Fleet) check() error {
	if len(f.Backends) == 0 {
		return errors.New("box: at least one is needed")
	}
	names := map[string]bool{}
	for i, b := range f.Backends {
		key := func(name string) string { return fmt.Sprintf("box[%d].%s", i, name) }
		if b.Name == "" || names[b.Name] {
			return fmt.Errorf("%s: %q is missing or the name of another box", key("name"), b.Name)
		}
		names[b.Name] = true
		for _, v := range []struct {
			name             string
			value            float64
			minimum, maximum float64
		}{{"slots", float64(b.Slots), 1, 4096}, {"queue", float64(b.Queue), 0, 65536}, {"memory", b.Memory, 1000, 1e9},
			{"chunk", b.Chunk, 1, 1e6}, {"step", b.Step, 1e-4, 10}, {"per_sequence", b.PerSequence, 0, 1},
			{"per_context", b.PerContext, 0, 1}, {"read_per_s", b.PrefillRate, 1, 1e9}, {"cold_share", b.ColdSpeedFactor, 0, 1},
			{"warm_up", b.WarmUp, 0, 3600}, {"fall_factor", b.OverloadFactor, 0, 1000}, {"fall", b.OverloadTolerance, 0, 3600},
			{"report_every", b.ReportInterval, 0, 60}} {
			if !(v.value >= v.minimum && v.value <= v.maximum) {
				return fmt.Errorf("%s: %g is not from %g to %g", key(v.name), v.value, v.minimum, v.maximum)
			}
		}
	}
	for i, e := range f.Events {
		if _, ok := FaultCommands[e.Do]; !ok {
			return fmt.Errorf("event[%d].do: unknown fault command %q", i, e.Do)
		}
		for _, name := range e.Backends {
			if !names[name] {
				return fmt.Errorf("event[%d].boxes: no box is named %q", i, name)
			}
		}
	}
	return nil
}

// RunningFleet is a fleet whose servers run.
type RunningFleet struct {
	Servers []*Server
	timers  []*time.Timer
}

// Start starts all backends and schedules the events. On an error it stops the backends that it has started.
func (f *Fleet) Start() (*RunningFleet, error) {
	r := &RunningFleet{}
	for i, b := range f.Backends {
		s, err := Start(Options{Name: b.Name, Listen: b.Address, Parameters: b.Parameters, Seed: f.Seed + uint64(i),
			Cold: b.Cold, MeanTokens: f.MeanTokens, TokenSpread: f.TokenSpread})
		if err != nil {
			return nil, errors.Join(err, r.Close())
		}
		r.Servers = append(r.Servers, s)
	}
	for _, e := range f.Events {
		r.timers = append(r.timers, time.AfterFunc(time.Duration(e.At), func() {
			_ = r.Apply(e.Do, strconv.FormatFloat(e.Value, 'g', -1, 64), e.Backends...)
		}))
	}
	return r, nil
}

// Close cancels the scheduled events and stops all backends.
func (r *RunningFleet) Close() error {
	for _, t := range r.timers {
		t.Stop()
	}
	var errs []error
	for _, s := range r.Servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// Apply applies a fault command to the backends with the given names; without names, to all.
func (r *RunningFleet) Apply(command, value string, names ...string) error {
	unit, ok := FaultCommands[command]
	if !ok {
		return fmt.Errorf("unknown fault command %q", command)
	}
	number := 0.0
	if unit != "" {
		var err error
		if number, err = strconv.ParseFloat(value, 64); err != nil || number < 0 || number > 1000 {
			return fmt.Errorf("%s: %q is not %s, from 0 to 1000", command, value, unit)
		}
	}
	found := 0
	for _, s := range r.Servers {
		if len(names) > 0 && !slices.Contains(names, s.Name) {
			continue
		}
		found++
		switch command {
		case "slow":
			s.Update(func(b *emulator.Backend, _ float64) { b.SetSlowdown(number) })
		case "errors":
			s.Update(func(b *emulator.Backend, _ float64) { b.SetErrorShare(number) })
		case "pause":
			s.Update(func(b *emulator.Backend, now float64) { b.Pause(now, now+number) })
		case "drain":
			s.Update(func(b *emulator.Backend, _ float64) { b.Drain() })
		case "reset", "silence", "garbage", "half":
			s.SetWireFault(command, number)
		case "kill":
			s.Kill()
		case "restart":
			s.Restart()
		}
	}
	if found == 0 {
		return fmt.Errorf("no box has one of the names %v", names)
	}
	return nil
}
