package load

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Duration is a duration in a file, such as "30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Duration(d)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Class describes a class of requests: their share, objectives and sizes, and how its clients retry.
type Class struct {
	Name string `toml:"name"`
	// Weight is the class's weight among all classes' requests.
	Weight float64 `toml:"part"`
	Tenant string  `toml:"tenant"`
	// TTFTObjective is the objective for the time to the first token; TTFTObjectivePer1000Tokens is added to it for
	// each 1,000 prompt tokens. With both 0 there is none.
	TTFTObjective              Duration `toml:"first_token"`
	TTFTObjectivePer1000Tokens Duration `toml:"per_1000_prompt_tokens"`
	// TPOTObjective is the objective for the mean time between tokens; 0: none.
	TPOTObjective Duration `toml:"token_gap"`
	// Timeout is the time-out of an attempt.
	Timeout Duration `toml:"give_up"`
	// Prompt is the mean number of prompt tokens that a turn adds, and Spread the standard deviation of its logarithm.
	Prompt float64 `toml:"prompt_tokens"`
	Spread float64 `toml:"spread"`
	// MaxTokens is the maximum length of a response in tokens.
	MaxTokens float64 `toml:"max_tokens"`
	// Turns is the mean number of turns in a session.
	Turns float64 `toml:"turns"`
	// ThinkTime is the mean time between a response and the session's next turn.
	ThinkTime Duration `toml:"think"`
	// PrefixTokens is the length in tokens of the prompt prefix that sessions share; 0: none.
	PrefixTokens float64 `toml:"shared_tokens"`
	// Prefixes is the number of different shared prefixes.
	Prefixes int `toml:"beginnings"`
	// RetryPolicy is how clients retry: none, at_once, wait or retry_after.
	RetryPolicy string `toml:"habit"`
	// RetryWait is the mean delay before a retry where RetryPolicy is wait, or the response has no Retry-After.
	RetryWait Duration `toml:"wait"`
	// Retries is the maximum number of retries of a request.
	Retries int `toml:"retries"`
}

// Plan is a file that describes a run of the load generator.
type Plan struct {
	Target string `toml:"target"` // host:port
	// Pattern is the request rate over time, in the form that ParsePattern reads.
	Pattern string `toml:"pattern"`
	// EvenlySpaced makes requests follow the pattern evenly instead of as a Poisson process.
	EvenlySpaced bool `toml:"even"`
	// Duration is the duration of the run.
	Duration Duration `toml:"for"`
	Seed     uint64   `toml:"seed"`
	// MaxInFlight is the maximum number of requests in flight; those beyond it are not sent and counted as such.
	MaxInFlight int     `toml:"most_out"`
	Dialect     string  `toml:"dialect"` // platform
	Classes     []Class `toml:"class"`
	// MaxSendLag is the 99th percentile of the send lag above which a run is marked.
	MaxSendLag Duration `toml:"lag"`
	Batch      Batch    `toml:"batch"`
	// Compiled is the parsed Pattern, which Complete sets.
	Compiled *Pattern
}

// Batch describes the batch files that are uploaded during a run.
type Batch struct {
	Every Duration `toml:"every"` // interval between uploads; 0: no batches
	Lines int      `toml:"lines"` // requests in a file
	Class string   `toml:"class"`
}

// The retry policies of clients whose request was rejected or failed.
const (
	NoRetry    = "none"        // no retry
	AtOnce     = "at_once"     // retry immediately
	AfterWait  = "wait"        // retry after Class.RetryWait
	RetryAfter = "retry_after" // retry after the time in Retry-After, or Class.RetryWait without it
)

// The upper bounds of a plan's values.
const (
	maxRunTime       = 24 * time.Hour
	maxInFlightLimit = 50_000
	maxClasses       = 32
	maxBatchLines    = 10_000
)

// ReadPlan reads, validates and completes a plan file. Errors name the key.
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

// setDefault sets *v to value if it is the zero value.
func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Complete sets the defaults of a plan and validates it. Errors name the key.
func (p *Plan) Complete() (err error) {
	setDefault(&p.Seed, 1)
	setDefault(&p.MaxInFlight, 2000)
	setDefault(&p.MaxSendLag, Duration(time.Millisecond))
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
	if p.Duration <= 0 || p.Duration > Duration(maxRunTime) {
		return fmt.Errorf("for: %v is not above 0 and up to %v", time.Duration(p.Duration), maxRunTime)
	}
	if p.MaxInFlight < 1 || p.MaxInFlight > maxInFlightLimit {
		return fmt.Errorf("most_out: %d is not from 1 to %d", p.MaxInFlight, maxInFlightLimit)
	}
	if len(p.Classes) == 0 || len(p.Classes) > maxClasses {
		return fmt.Errorf("class: from 1 to %d are needed", maxClasses)
	}
	totalWeight := 0.0
	for i := range p.Classes {
		if err := p.Classes[i].complete(); err != nil {
			return fmt.Errorf("class[%d].%w", i, err)
		}
		totalWeight += p.Classes[i].Weight
	}
	if totalWeight <= 0 {
		return errors.New("class[0].part: all parts are 0")
	}
	if b := &p.Batch; b.Every > 0 {
		setDefault(&b.Lines, 20)
		setDefault(&b.Class, p.Classes[0].Name)
		if b.Lines < 1 || b.Lines > maxBatchLines {
			return fmt.Errorf("batch.lines: %d is not from 1 to %d", b.Lines, maxBatchLines)
		}
		if p.classIndex(b.Class) < 0 {
			return fmt.Errorf("batch.class: %q is no class of this file", b.Class)
		}
	}
	return nil
}

// classIndex returns the index of the class with the given name, or -1.
func (p *Plan) classIndex(name string) int {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// complete sets the defaults of a class and validates it.
func (c *Class) complete() error {
	setDefault(&c.Weight, 1)
	setDefault(&c.Timeout, Duration(10*time.Second))
	setDefault(&c.Prompt, 500)
	setDefault(&c.MaxTokens, 200)
	setDefault(&c.Turns, 1)
	setDefault(&c.Prefixes, 1)
	setDefault(&c.RetryPolicy, RetryAfter)
	setDefault(&c.RetryWait, Duration(500*time.Millisecond))
	if c.RetryPolicy != NoRetry {
		setDefault(&c.Retries, 2)
	}
	switch {
	case c.Name == "":
		return errors.New("name: missing")
	case c.Weight < 0:
		return fmt.Errorf("part: %g is negative", c.Weight)
	case c.Turns < 1 || c.Turns > 50:
		return fmt.Errorf("turns: %g is not from 1 to 50", c.Turns)
	case c.Prompt < 1 || c.Prompt > 60_000:
		return fmt.Errorf("prompt_tokens: %g is not from 1 to 60000", c.Prompt)
	case c.PrefixTokens < 0 || c.PrefixTokens > 30_000:
		return fmt.Errorf("shared_tokens: %g is not from 0 to 30000", c.PrefixTokens)
	case c.Spread < 0 || c.Spread > 3:
		return fmt.Errorf("spread: %g is not from 0 to 3", c.Spread)
	case c.MaxTokens < 1 || c.MaxTokens > 1e5:
		return fmt.Errorf("max_tokens: %g is not from 1 to 100000", c.MaxTokens)
	case c.Prefixes < 1 || c.Prefixes > 10_000:
		return fmt.Errorf("beginnings: %d is not from 1 to 10000", c.Prefixes)
	case !strings.Contains(" none at_once wait retry_after ", " "+c.RetryPolicy+" "):
		return fmt.Errorf("habit: %q is none of \"none\", \"at_once\", \"wait\" and \"retry_after\"", c.RetryPolicy)
	case c.Retries < 0 || c.Retries > 20:
		return fmt.Errorf("retries: %d is not from 0 to 20", c.Retries)
	case c.Timeout <= 0 || c.RetryWait < 0 || c.ThinkTime < 0 || c.TTFTObjective < 0 ||
		c.TTFTObjectivePer1000Tokens < 0 || c.TPOTObjective < 0:
		return errors.New("give_up, wait, think, first_token, per_1000_prompt_tokens, token_gap: " +
			"no duration may be negative")
	}
	return nil
}
