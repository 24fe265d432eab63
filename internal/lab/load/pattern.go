// Package load is a load generator: clients that come when a pattern says, whether or not answers do, and whose latency
// is counted from the moment at which they were meant to come. It belongs to the laboratory; the daemon does not
// import it.
package load

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Pattern is a rate over time, in requests a second: a sum of terms, each with a factor.
//
//	steady(20) + 0.5 * ramp(0, 60, 2m) + burst(100, at=1m, for=10s) + shift_end(40, at=5m, width=30s)
//
// steady(R); ramp(FROM, TO, SPAN [, at=]); burst(R, at=, for=); shift_end(PEAK, at=, width=): a bell; wave(MEAN, SWING,
// PERIOD); and pay_run(PEAK, at=, rise=): rises evenly to a peak and ends there.
type Pattern struct {
	text  string
	terms []term
}

type term struct {
	factor float64
	rate   func(at float64) float64
	most   float64 // bound of rate
}

const (
	patternMost = 4096
	termsMost   = 64
	rateMost    = 1e6
)

// The grammar.
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

// shape is a function's arguments: their names in order, "?" behind those that may be left out, "~" behind spans.
var shapes = map[string][]string{
	"steady": {"rate"}, "ramp": {"from", "to", "span~", "at~?"}, "burst": {"rate", "at~", "for~"},
	"shift_end": {"peak", "at~", "width~"}, "wave": {"mean", "swing", "period~"}, "pay_run": {"peak", "at~", "rise~"},
}

// ParsePattern reads a pattern; errors name the column.
func ParsePattern(text string) (*Pattern, error) {
	if len(text) > patternMost {
		return nil, fmt.Errorf("the pattern has %d bytes, %d at most", len(text), patternMost)
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
		one, err := t.compile()
		if err != nil {
			return nil, err
		}
		p.terms = append(p.terms, one)
	}
	if len(p.terms) > termsMost {
		return nil, fmt.Errorf("%d terms, %d at most", len(p.terms), termsMost)
	}
	if p.Most() > rateMost {
		return nil, fmt.Errorf("up to %g requests a second, %g at most", p.Most(), rateMost)
	}
	return p, nil
}

func (t product) compile() (term, error) {
	shape, ok := shapes[t.Name]
	if !ok {
		return term{}, fmt.Errorf("column %d: %q is none of steady, ramp, burst, shift_end, wave and pay_run", t.Pos.Column, t.Name)
	}
	values, given := map[string]float64{}, map[string]bool{}
	for i, a := range t.Args {
		name := a.Name
		if name == "" {
			if i >= len(shape) {
				return term{}, fmt.Errorf("column %d: %s has %d arguments at most", a.Pos.Column, t.Name, len(shape))
			}
			name = bare(shape[i])
		}
		kind := ""
		for _, s := range shape {
			if bare(s) == name {
				kind = s
			}
		}
		switch {
		case kind == "":
			return term{}, fmt.Errorf("column %d: %s has no argument %q", a.Pos.Column, t.Name, name)
		case given[name]:
			return term{}, fmt.Errorf("column %d: %s is given twice", a.Pos.Column, name)
		}
		given[name] = true
		v, err := a.value(isSpan(kind))
		if err != nil {
			return term{}, fmt.Errorf("column %d: %s: %w", a.Pos.Column, name, err)
		}
		values[name] = v
	}
	for _, s := range shape {
		if !given[bare(s)] && s[len(s)-1] != '?' {
			return term{}, fmt.Errorf("column %d: %s needs %s", t.Pos.Column, t.Name, bare(s))
		}
	}
	out := term{factor: 1}
	if t.Factor != nil {
		out.factor = *t.Factor
	}
	v := func(name string) float64 { return values[name] }
	for _, name := range []string{"span", "for", "width", "period", "rise"} {
		if given[name] && v(name) <= 0 {
			return term{}, fmt.Errorf("column %d: %s of %s must be above 0", t.Pos.Column, name, t.Name)
		}
	}
	switch t.Name {
	case "steady":
		out.rate, out.most = func(float64) float64 { return v("rate") }, v("rate")
	case "ramp":
		out.most = max(v("from"), v("to"))
		out.rate = func(at float64) float64 {
			part := min(1, max(0, (at-v("at"))/v("span")))
			return v("from") + (v("to")-v("from"))*part
		}
	case "burst":
		out.most = v("rate")
		out.rate = func(at float64) float64 {
			if at >= v("at") && at < v("at")+v("for") {
				return v("rate")
			}
			return 0
		}
	case "shift_end":
		out.most = v("peak")
		out.rate = func(at float64) float64 {
			off := (at - v("at")) / v("width")
			return v("peak") * math.Exp(-off*off/2)
		}
	case "wave":
		if v("swing") > v("mean") {
			return term{}, fmt.Errorf("column %d: the swing of a wave is above its mean", t.Pos.Column)
		}
		out.most = v("mean") + v("swing")
		out.rate = func(at float64) float64 { return v("mean") + v("swing")*math.Sin(2*math.Pi*at/v("period")) }
	case "pay_run":
		out.most = v("peak")
		out.rate = func(at float64) float64 {
			if at > v("at") {
				return 0
			}
			return v("peak") * max(0, 1-(v("at")-at)/v("rise"))
		}
	}
	return out, nil
}

func bare(s string) string {
	for len(s) > 0 && (s[len(s)-1] == '?' || s[len(s)-1] == '~') {
		s = s[:len(s)-1]
	}
	return s
}

func isSpan(s string) bool {
	return s[len(s)-1] == '~' || len(s) > 1 && s[len(s)-2] == '~'
}

func (a arg) value(span bool) (float64, error) {
	if span {
		d, err := time.ParseDuration(a.Value)
		if err != nil {
			return 0, fmt.Errorf("%q is no span such as 30s", a.Value)
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

// Rate is the rate at a time in seconds from the start.
func (p *Pattern) Rate(at float64) (rate float64) {
	for _, t := range p.terms {
		rate += t.factor * t.rate(at)
	}
	return max(0, rate)
}

// Most is a bound of the rate.
func (p *Pattern) Most() (most float64) {
	for _, t := range p.terms {
		most += t.factor * t.most
	}
	return most
}

// Arrivals gives the times of a pattern, one after the other.
type Arrivals struct {
	Pattern *Pattern
	Even    bool           // at the rate's own pace, in place of chance (a Poisson process)
	Draw    func() float64 // from 0 up to 1
	at, sum float64
}

const evenStep = 0.001

// Next is the next time in seconds; beyond until there is none.
func (a *Arrivals) Next(until float64) (at float64, ok bool) {
	if a.Even {
		for a.at <= until {
			a.sum += a.Pattern.Rate(a.at) * evenStep
			a.at += evenStep
			if a.sum >= 1 {
				a.sum--
				return a.at, a.at <= until
			}
		}
		return 0, false
	}
	most := a.Pattern.Most()
	if most <= 0 {
		return 0, false
	}
	for { // thinning (Lewis and Shedler, 1979)
		a.at -= math.Log(1-a.Draw()) / most
		if a.at > until {
			return 0, false
		}
		if a.Draw()*most < a.Pattern.Rate(a.at) {
			return a.at, true
		}
	}
}

// Times is the pattern with all rates times a factor.
func (p *Pattern) Times(factor float64) *Pattern {
	out := &Pattern{text: fmt.Sprintf("%g * (%s)", factor, p.text)}
	for _, t := range p.terms {
		t.factor *= factor
		out.terms = append(out.terms, t)
	}
	return out
}
