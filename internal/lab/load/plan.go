package load

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Span is a time in a file, such as "30s".
type Span time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Class is a class of requests and what its clients send and do.
type Class struct {
	Name    string  `toml:"name"`
	Part    float64 `toml:"part"` // of the requests
	Tenant  string  `toml:"tenant"`
	Aim     Span    `toml:"first_token"`
	PerK    Span    `toml:"per_1000_prompt_tokens"`
	Gap     Span    `toml:"token_gap"`
	GiveUp  Span    `toml:"give_up"`
	Prompt  float64 `toml:"prompt_tokens"` // that a turn adds, on average
	Spread  float64 `toml:"spread"`        // sigma of its logarithm
	Out     float64 `toml:"max_tokens"`
	Turns   float64 `toml:"turns"` // of a session, on average
	Think   Span    `toml:"think"`
	Shared  float64 `toml:"shared_tokens"` // of its beginning, which others share
	Starts  int     `toml:"beginnings"`    // different ones
	Habit   string  `toml:"habit"`         // none, at_once, wait or retry_after
	Wait    Span    `toml:"wait"`
	Retries int     `toml:"retries"`
}

// Plan is a file of the load generator.
type Plan struct {
	Target   string  `toml:"target"` // host:port
	Pattern  string  `toml:"pattern"`
	Even     bool    `toml:"even"`
	For      Span    `toml:"for"`
	Seed     uint64  `toml:"seed"`
	MostOut  int     `toml:"most_out"` // requests at once; what comes above is counted as not sent
	Dialect  string  `toml:"dialect"`  // platform
	Classes  []Class `toml:"class"`
	Lag      Span    `toml:"lag"` // 99th of the send lag above which a run is marked
	Batch    Batch   `toml:"batch"`
	Compiled *Pattern
}

// Batch is files that are sent beside.
type Batch struct {
	Every Span   `toml:"every"` // 0: none
	Lines int    `toml:"lines"`
	Class string `toml:"class"`
}

// Habits of clients whose request was turned down or failed.
const (
	NoRetry    = "none"
	AtOnce     = "at_once"
	AfterWait  = "wait"
	RetryAfter = "retry_after"
)

const (
	longestRun  = 24 * time.Hour
	outMost     = 50_000
	classesMost = 32
	linesMost   = 10_000
)

// ReadPlan reads and checks a plan's file; errors name the key.
func ReadPlan(path string) (*Plan, error) {
	var p Plan
	meta, err := toml.DecodeFile(path, &p)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key", unknown[0])
	}
	return &p, p.Complete()
}

func or[T comparable](v *T, standard T) {
	var zero T
	if *v == zero {
		*v = standard
	}
}

// Complete checks a plan and fills in what is left out.
func (p *Plan) Complete() (err error) {
	or(&p.Seed, 1)
	or(&p.MostOut, 2000)
	or(&p.Lag, Span(time.Millisecond))
	host, _, err := net.SplitHostPort(p.Target)
	if err != nil {
		return fmt.Errorf("target: %q is no host:port address", p.Target)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("target: %q is no loopback address", p.Target)
	}
	if p.Compiled, err = ParsePattern(p.Pattern); err != nil {
		return fmt.Errorf("pattern: %w", err)
	}
	if p.For <= 0 || p.For > Span(longestRun) {
		return fmt.Errorf("for: %v is not above 0 and up to %v", time.Duration(p.For), longestRun)
	}
	if p.MostOut < 1 || p.MostOut > outMost {
		return fmt.Errorf("most_out: %d is not from 1 to %d", p.MostOut, outMost)
	}
	if len(p.Classes) == 0 || len(p.Classes) > classesMost {
		return fmt.Errorf("class: from 1 to %d are needed", classesMost)
	}
	parts := 0.0
	for i := range p.Classes {
		if err := p.Classes[i].complete(); err != nil {
			return fmt.Errorf("class[%d].%w", i, err)
		}
		parts += p.Classes[i].Part
	}
	if parts <= 0 {
		return errors.New("class[0].part: all parts are 0")
	}
	if b := &p.Batch; b.Every > 0 {
		or(&b.Lines, 20)
		or(&b.Class, p.Classes[0].Name)
		if b.Lines < 1 || b.Lines > linesMost {
			return fmt.Errorf("batch.lines: %d is not from 1 to %d", b.Lines, linesMost)
		}
		if p.class(b.Class) < 0 {
			return fmt.Errorf("batch.class: %q is no class of this file", b.Class)
		}
	}
	return nil
}

func (p *Plan) class(name string) int {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

func (c *Class) complete() error {
	or(&c.Part, 1)
	or(&c.GiveUp, Span(10*time.Second))
	or(&c.Prompt, 500)
	or(&c.Out, 200)
	or(&c.Turns, 1)
	or(&c.Starts, 1)
	or(&c.Habit, RetryAfter)
	or(&c.Wait, Span(500*time.Millisecond))
	if c.Habit != NoRetry {
		or(&c.Retries, 2)
	}
	switch {
	case c.Name == "":
		return errors.New("name: missing")
	case c.Part < 0:
		return fmt.Errorf("part: %g is negative", c.Part)
	case c.Turns < 1 || c.Turns > 50:
		return fmt.Errorf("turns: %g is not from 1 to 50", c.Turns)
	case c.Prompt < 1 || c.Prompt > 60_000:
		return fmt.Errorf("prompt_tokens: %g is not from 1 to 60000", c.Prompt)
	case c.Shared < 0 || c.Shared > 30_000:
		return fmt.Errorf("shared_tokens: %g is not from 0 to 30000", c.Shared)
	case c.Spread < 0 || c.Spread > 3:
		return fmt.Errorf("spread: %g is not from 0 to 3", c.Spread)
	case c.Out < 1 || c.Out > 1e5:
		return fmt.Errorf("max_tokens: %g is not from 1 to 100000", c.Out)
	case c.Starts < 1 || c.Starts > 10_000:
		return fmt.Errorf("beginnings: %d is not from 1 to 10000", c.Starts)
	case !strings.Contains(" none at_once wait retry_after ", " "+c.Habit+" "):
		return fmt.Errorf("habit: %q is none of none, at_once, wait and retry_after", c.Habit)
	case c.Retries < 0 || c.Retries > 20:
		return fmt.Errorf("retries: %d is not from 0 to 20", c.Retries)
	case c.GiveUp <= 0 || c.Wait < 0 || c.Think < 0 || c.Aim < 0 || c.PerK < 0 || c.Gap < 0:
		return errors.New("give_up, wait, think, first_token, per_1000_prompt_tokens, token_gap: no span may be negative")
	}
	return nil
}
