package server

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"

	"standpoint/internal/lab/emulator"
)

// Range is a figure, or the bounds that it is drawn from.
type Range struct{ Least, Most float64 }

// UnmarshalTOML implements toml.Unmarshaler: a number, or two in a list.
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
		r.Least, r.Most = n, n
		return nil
	}
	if list, ok := v.([]any); ok && len(list) == 2 {
		least, a := number(list[0])
		most, b := number(list[1])
		if a && b && least <= most {
			r.Least, r.Most = least, most
			return nil
		}
	}
	return fmt.Errorf("%v is neither a number nor a list of a least and a greatest", v)
}

func (r Range) draw(rng *rand.Rand) float64 {
	if r.Least > 0 && r.Most/r.Least > 4 { // wide ranges are drawn evenly in proportion
		return r.Least * math.Pow(r.Most/r.Least, rng.Float64())
	}
	return r.Least + rng.Float64()*(r.Most-r.Least)
}

// Group is a number of boxes whose figures are drawn from ranges.
type Group struct {
	Name      string `toml:"name"` // of the boxes, before "-1", "-2" ...
	Count     int    `toml:"count"`
	Address   string `toml:"address"` // of the first; the others have the ports behind it
	Cold      bool   `toml:"cold"`
	Slots     Range  `toml:"slots"`
	Queue     Range  `toml:"queue"`
	Memory    Range  `toml:"memory"`
	Chunk     Range  `toml:"chunk"`
	Step      Range  `toml:"step"`
	PerSeq    Range  `toml:"per_sequence"`
	PerCtx    Range  `toml:"per_context"`
	ReadPerS  Range  `toml:"read_per_s"`
	ColdShare Range  `toml:"cold_share"`
	WarmUp    Range  `toml:"warm_up"`
	Fall      Range  `toml:"fall"`
	Factor    Range  `toml:"fall_factor"`
	Capacity  Range  `toml:"capacity"`
	Report    Range  `toml:"report_every"`
}

const groupMost = 1000

// expand draws the groups' boxes. The same seed gives the same boxes.
func (f *Fleet) expand() error {
	rng := rand.New(rand.NewPCG(f.Seed, 0x6a0))
	for i, g := range f.Groups {
		if g.Name == "" || g.Count < 1 || g.Count > groupMost {
			return fmt.Errorf("group[%d].count: %d boxes of %q; 1 to %d with a name are wanted", i, g.Count, g.Name, groupMost)
		}
		host, text, err := net.SplitHostPort(g.Address)
		port, bad := strconv.Atoi(text)
		if err != nil || bad != nil || port < 1 || port+g.Count > 65536 {
			return fmt.Errorf("group[%d].address: %q is no host:port with room for %d ports behind it", i, g.Address, g.Count)
		}
		for n := range g.Count {
			whole := func(r Range) int { return int(math.Round(r.draw(rng))) }
			f.Boxes = append(f.Boxes, Box{Name: fmt.Sprintf("%s-%d", g.Name, n+1), Address: net.JoinHostPort(host, strconv.Itoa(port+n)), Cold: g.Cold,
				Figures: emulator.Figures{Slots: whole(g.Slots), Queue: whole(g.Queue), Memory: g.Memory.draw(rng), Chunk: g.Chunk.draw(rng),
					Step: g.Step.draw(rng), PerSequence: g.PerSeq.draw(rng), PerContext: g.PerCtx.draw(rng), ReadPerS: g.ReadPerS.draw(rng),
					ColdShare: g.ColdShare.draw(rng), WarmUp: g.WarmUp.draw(rng), Fall: g.Fall.draw(rng), FallFactor: g.Factor.draw(rng),
					Capacity: g.Capacity.draw(rng), ReportEvery: g.Report.draw(rng)}})
		}
	}
	return nil
}
