package server

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"

	"standpoint/internal/lab/emulator"
)

// Range is a number, or the bounds between which it is drawn.
type Range struct{ Min, Max float64 }

// UnmarshalTOML implements toml.Unmarshaler. It takes a number, or a list of two.
func (r *Range) UnmarshalTOML(v any) error {
	number := func(v any) (float64, bool) {
		switch v := v.(type) {
		case float64:
			return v, true
		case int64:
			return float64(v), true
		}
		return 0, false
	}
	if n, ok := number(v); ok {
		r.Min, r.Max = n, n
		return nil
	}
	if list, ok := v.([]any); ok && len(list) == 2 {
		minimum, minimumOK := number(list[0])
		maximum, maximumOK := number(list[1])
		if minimumOK && maximumOK && minimum <= maximum {
			r.Min, r.Max = minimum, maximum
			return nil
		}
	}
	return fmt.Errorf("%v is neither a number nor a list of a minimum and a maximum", v)
}

// draw draws a number from the range.
func (r Range) draw(rng *rand.Rand) float64 {
	if r.Min > 0 && r.Max/r.Min > 4 { // if the bounds differ by more than a factor of 4: log-uniform
		return r.Min * math.Pow(r.Max/r.Min, rng.Float64())
	}
	return r.Min + rng.Float64()*(r.Max-r.Min)
}

// Group is a number of emulated backends whose parameters are drawn from ranges. See emulator.Parameters for
// their meaning.
type Group struct {
	Name              string `toml:"name"` // prefix of the backends' names, which continue with "-1", "-2" ...
	Count             int    `toml:"count"`
	Address           string `toml:"address"` // host:port of the first backend; the others have the ports that follow
	Cold              bool   `toml:"cold"`
	Slots             Range  `toml:"slots"`
	Queue             Range  `toml:"queue"`
	Memory            Range  `toml:"memory"`
	Chunk             Range  `toml:"chunk"`
	Step              Range  `toml:"step"`
	PerSequence       Range  `toml:"per_sequence"`
	PerContext        Range  `toml:"per_context"`
	PrefillRate       Range  `toml:"read_per_s"`
	ColdSpeedFactor   Range  `toml:"cold_share"`
	WarmUp            Range  `toml:"warm_up"`
	OverloadTolerance Range  `toml:"fall"`
	OverloadFactor    Range  `toml:"fall_factor"`
	Capacity          Range  `toml:"capacity"`
	ReportInterval    Range  `toml:"report_every"`
}

// maxGroupSize is the maximum number of backends in a group.
const maxGroupSize = 1000

// expandGroups draws the groups' backends and appends them to f.Backends. The same seed gives the same backends.
func (f *Fleet) expandGroups() error {
	rng := rand.New(rand.NewPCG(f.Seed, 0x6a0))
	for i, g := range f.Groups {
		if g.Name == "" || g.Count < 1 || g.Count > maxGroupSize {
			return fmt.Errorf("group[%d].count: %d boxes named %q; a name and from 1 to %d boxes are needed",
				i, g.Count, g.Name, maxGroupSize)
		}
		host, portText, err := net.SplitHostPort(g.Address)
		port, portErr := strconv.Atoi(portText)
		if err != nil || portErr != nil || port < 1 || port+g.Count > 65536 {
			return fmt.Errorf("group[%d].address: %q is no host:port address with %d consecutive ports from it on",
				i, g.Address, g.Count)
		}
		for n := range g.Count {
			drawInt := func(r Range) int { return int(math.Round(r.draw(rng))) }
			f.Backends = append(f.Backends, Backend{Name: fmt.Sprintf("%s-%d", g.Name, n+1),
				Address: net.JoinHostPort(host, strconv.Itoa(port+n)), Cold: g.Cold,
				Parameters: emulator.Parameters{Slots: drawInt(g.Slots), Queue: drawInt(g.Queue), Memory: g.Memory.draw(rng),
					Chunk: g.Chunk.draw(rng), Step: g.Step.draw(rng), PerSequence: g.PerSequence.draw(rng),
					PerContext: g.PerContext.draw(rng), PrefillRate: g.PrefillRate.draw(rng),
					ColdSpeedFactor: g.ColdSpeedFactor.draw(rng), WarmUp: g.WarmUp.draw(rng),
					OverloadTolerance: g.OverloadTolerance.draw(rng), OverloadFactor: g.OverloadFactor.draw(rng),
					Capacity: g.Capacity.draw(rng), ReportInterval: g.ReportInterval.draw(rng)}})
		}
	}
	return nil
}
