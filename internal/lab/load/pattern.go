// Package load is an open-loop load generator: requests are sent at the times that a pattern gives, whether or not
// earlier ones have been answered, and their latency counts from the intended time. It is test equipment; the daemon
// does not import it.
package load

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Pattern is a request rate over time, in requests per second: a sum of terms, each with a factor.
//
//	steady(20) + 0.5 * ramp(0, 60, 2m) + burst(100, at=1m, for=10s) + shift_end(40, at=5m, width=30s)
//
// The terms are steady(R); ramp(FROM, TO, SPAN [, at=]); burst(R, at=, for=); shift_end(PEAK, at=, width=), a bell
// curve with its peak at "at" and the standard deviation "width"; wave(MEAN, SWING, PERIOD), a sine; and
// pay_run(PEAK, at=, rise=), which rises linearly for "rise" to its peak at "at" and drops to 0 after it.
type Pattern struct {
	text  string
	terms []term
}

type term struct {
	factor  float64
	rate    func(at float64) float64
	maxRate float64 // upper bound of rate
}

const (
	maxPatternBytes = 4096
	maxTerms        = 64
	maxPatternRate  = 1e6 // requests per second
)

// The grammar of patterns.
type (
	sum struct {
		First product   `parser:"@@"`
		Rest  []product `parser:"( '+' @@ )*"`
	}
	product struct {
		Pos    lexer.Position
		Factor *float64 `parser:"( @Number '*' )?"`
		Name   string   `parser:"@Ident '('"`
		Args   []arg    `parser:"( @@ ( ',' @@ )* )? ')'"`
	}
	arg struct {
		Pos   lexer.Position
		Name  string `parser:"( @Ident '=' )?"`
		Value string `parser:"@( Span | Number )"`
	}
)

var patternParser = participle.MustBuild[sum](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Span", Pattern: `[0-9]+(\.[0-9]+)?(ms|s|m|h)([0-9]+(\.[0-9]+)?(ms|s|m))*`},
		{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?`},
		{Name: "Ident", Pattern: `[a-z_]+`},
		{Name: "Sign", Pattern: `[-+*(),=]`},
		{Name: "space", Pattern: `\s+`},
	})))

// signatures are the functions' parameters, in order. A name that ends in "?" is optional, one with "~" is a duration.
var signatures = map[string][]string{
	"steady": {"rate"}, "ramp": {"from", "to", "span~", "at~?"}, "burst": {"rate", "at~", "for~"},
	"shift_end": {"peak", "at~", "width~"}, "wave": {"mean", "swing", "period~"}, "pay_run": {"peak", "at~", "rise~"},
}

// ParsePattern parses a pattern. Errors name the column.
func ParsePattern(text string) (*Pattern, error) {
	if len(text) > maxPatternBytes {
		return nil, fmt.Errorf("pattern has %d bytes, %d at most", len(text), maxPatternBytes)
	}
	tree, err := patternParser.ParseString("", text)
	if err != nil {
		var at participle.Error
		if errors.As(err, &at) {
			return nil, fmt.Errorf("column %d: %s", at.Position().Column, at.Message())
		}
		return nil, err
	}
	p := &Pattern{text: text}
	for _, t := range append([]product{tree.First}, tree.Rest...) {
		compiled, err := t.compile()
		if err != nil {
			return nil, err
		}
		p.terms = append(p.terms, compiled)
	}
	if len(p.terms) > maxTerms {
		return nil, fmt.Errorf("pattern has %d terms, %d at most", len(p.terms), maxTerms)
	}
	if p.MaxRate() > maxPatternRate {
		return nil, fmt.Errorf("pattern reaches %g requests a second, %g at most", p.MaxRate(), maxPatternRate)
	}
	return p, nil
}

// compile checks the arguments of a term and makes its rate function.
func (t product) compile() (term, error) {
	signature, ok := signatures[t.Name]
	if !ok {
		return term{}, fmt.Errorf("column %d: %q is none of steady, ramp, burst, shift_end, wave and pay_run",
			t.Pos.Column, t.Name)
	}
	values, given := map[string]float64{}, map[string]bool{}
	for i, a := range t.Args {
		name := a.Name
		if name == "" {
			if i >= len(signature) {
				return term{}, fmt.Errorf("column %d: %s takes %d arguments at most",
					a.Pos.Column, t.Name, len(signature))
			}
			name = argumentName(signature[i])
		}
		parameter := ""
		for _, s := range signature {
			if argumentName(s) == name {
				parameter = s
			}
		}
		switch {
		case parameter == "":
			return term{}, fmt.Errorf("column %d: %s has no argument %q", a.Pos.Column, t.Name, name)
		case given[name]:
			return term{}, fmt.Errorf("column %d: %s is given twice", a.Pos.Column, name)
		}
		given[name] = true
		v, err := a.value(isDuration(parameter))
		if err != nil {
			return term{}, fmt.Errorf("column %d: %s: %w", a.Pos.Column, name, err)
		}
		values[name] = v
	}
	for _, s := range signature {
		if !given[argumentName(s)] && s[len(s)-1] != '?' {
			return term{}, fmt.Errorf("column %d: %s needs %s", t.Pos.Column, t.Name, argumentName(s))
		}
	}
	compiled := term{factor: 1}
	if t.Factor != nil {
		compiled.factor = *t.Factor
	}
	v := func(name string) float64 { return values[name] }
	for _, name := range []string{"span", "for", "width", "period", "rise"} {
		if given[name] && v(name) <= 0 {
			return term{}, fmt.Errorf("column %d: %s of %s must be above 0", t.Pos.Column, name, t.Name)
		}
	}
	switch t.Name {
	case "steady":
		compiled.rate, compiled.maxRate = func(float64) float64 { return v("rate") }, v("rate")
	case "ramp":
		compiled.maxRate = max(v("from"), v("to"))
		compiled.rate = func(at float64) float64 {
			progress := min(1, max(0, (at-v("at"))/v("span")))
			return v("from") + (v("to")-v("from"))*progress
		}
	case "burst":
		compiled.maxRate = v("rate")
		compiled.rate = func(at float64) float64 {
			if at >= v("at") && at < v("at")+v("for") {
				return v("rate")
			}
			return 0
		}
	case "shift_end":
		compiled.maxRate = v("peak")
		compiled.rate = func(at float64) float64 {
			deviation := (at - v("at")) / v("width")
			return v("peak") * math.Exp(-deviation*deviation/2)
		}
	case "wave":
		if v("swing") > v("mean") {
			return term{}, fmt.Errorf("column %d: the swing of a wave is above its mean", t.Pos.Column)
		}
		compiled.maxRate = v("mean") + v("swing")
		compiled.rate = func(at float64) float64 { return v("mean") + v("swing")*math.Sin(2*math.Pi*at/v("period")) }
	case "pay_run":
		compiled.maxRate = v("peak")
		compiled.rate = func(at float64) float64 {
			if at > v("at") {
				return 0
			}
			return v("peak") * max(0, 1-(v("at")-at)/v("rise"))
		}
	}
	return compiled, nil
}

// argumentName returns a parameter's name without its markers.
func argumentName(s string) string {
	for len(s) > 0 && (s[len(s)-1] == '?' || s[len(s)-1] == '~') {
		s = s[:len(s)-1]
	}
	return s
}

// isDuration reports whether a parameter takes a duration.
func isDuration(s string) bool {
	return s[len(s)-1] == '~' || len(s) > 1 && s[len(s)-2] == '~'
}

// value returns the argument as a number, durations in seconds.
func (a arg) value(duration bool) (float64, error) {
	if duration {
		d, err := time.ParseDuration(a.Value)
		if err != nil {
			return 0, fmt.Errorf("%q is no duration such as 30s", a.Value)
		}
		return d.Seconds(), nil
	}
	var v float64
	var rest string
	if n, _ := fmt.Sscanf(a.Value, "%g%s", &v, &rest); n != 1 {
		return 0, fmt.Errorf("%q is no number", a.Value)
	}
	return v, nil
}

// String implements fmt.Stringer.
func (p *Pattern) String() string { return p.text }

// Rate returns the rate in requests per second at a time in seconds since the start.
func (p *Pattern) Rate(at float64) (rate float64) {
	for _, t := range p.terms {
		rate += t.factor * t.rate(at)
	}
	return max(0, rate)
}

// MaxRate returns an upper bound of the rate.
func (p *Pattern) MaxRate() (maximum float64) {
	for _, t := range p.terms {
		maximum += t.factor * t.maxRate
	}
	return maximum
}

// Arrivals generates the arrival times of a pattern, in order.
type Arrivals struct {
	Pattern         *Pattern
	EvenlySpaced    bool           // evenly spaced at the present rate instead of a Poisson process
	Random          func() float64 // uniform random numbers from 0 up to, but excluding, 1
	at, accumulated float64
}

// evenTimeStep is the time step in seconds with which the rate is integrated for evenly spaced arrivals.
const evenTimeStep = 0.001

// Next returns the next arrival time in seconds, and false when it would be after until.
func (a *Arrivals) Next(until float64) (at float64, ok bool) {
	if a.EvenlySpaced {
		for a.at <= until {
			a.accumulated += a.Pattern.Rate(a.at) * evenTimeStep
			a.at += evenTimeStep
			if a.accumulated >= 1 {
				a.accumulated--
				return a.at, a.at <= until
			}
		}
		return 0, false
	}
	maximum := a.Pattern.MaxRate()
	if maximum <= 0 {
		return 0, false
	}
	for { // thinning (Lewis and Shedler, 1979)
		a.at -= math.Log(1-a.Random()) / maximum
		if a.at > until {
			return 0, false
		}
		if a.Random()*maximum < a.Pattern.Rate(a.at) {
			return a.at, true
		}
	}
}

// Scaled returns the pattern with all rates multiplied by a factor.
func (p *Pattern) Scaled(factor float64) *Pattern {
	scaled := &Pattern{text: fmt.Sprintf("%g * (%s)", factor, p.text)}
	for _, t := range p.terms {
		t.factor *= factor
		scaled.terms = append(scaled.terms, t)
	}
	return scaled
}
