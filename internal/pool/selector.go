// Package pool divides real servers into pools and flows among them. It decides alone: no clock, no I/O.
package pool

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Bounds of a selector's text.
const (
	textMost  = 4096
	depthMost = 32 // of parentheses and negations
)

// Box is what an endpoint tells of a real server.
type Box struct {
	Name, Address, Site, Kind, Mode string
	Cell                            int
	Size                            float64
	Labels                          map[string]string
}

// field is a box's word for a key: one of its own, or a label. ok is false where the box has no such label.
func (b Box) field(key string) (text string, ok bool) {
	switch key {
	case "name":
		return b.Name, true
	case "address":
		return b.Address, true
	case "site", "zone":
		return b.Site, true
	case "kind", "class":
		return b.Kind, true
	case "mode":
		return b.Mode, true
	case "cell", "block":
		return strconv.Itoa(b.Cell), true
	case "size", "share":
		return strconv.FormatFloat(b.Size, 'g', -1, 64), true
	}
	text, ok = b.Labels[key]
	return text, ok
}

// SyntaxError says where a selector's text is wrong. Column counts characters from 1.
type SyntaxError struct {
	Line, Column int
	Reason       string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	if e.Line > 1 {
		return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Reason)
	}
	return fmt.Sprintf("column %d: %s", e.Column, e.Reason)
}

// The grammar:
//
//	either  = all { "||" all } .
//	all     = term { "&&" term } .
//	term    = "!" term | "(" either ")" | "has" "(" key ")" | "true" | "false" | compare .
//	compare = key ( ("==" | "!=") value | ("=~" | "!~") string | ("<" | "<=" | ">" | ">=") number
//	              | [ "not" ] "in" "[" value { "," value } "]" ) .
type (
	either struct {
		All []*all `parser:"@@ ( '||' @@ )*"`
	}
	all struct {
		Terms []*term `parser:"@@ ( '&&' @@ )*"`
	}
	term struct {
		Not     *term    `parser:"  '!' @@"`
		Group   *either  `parser:"| '(' @@ ')'"`
		Has     *string  `parser:"| 'has' '(' @Key ')'"`
		Truth   *truth   `parser:"| @( 'true' | 'false' )"`
		Compare *compare `parser:"| @@"`
	}
	compare struct {
		Pos     lexer.Position
		Key     string   `parser:"@Key"`
		Equal   *equal   `parser:"( @@"`
		Matches *matches `parser:"| @@"`
		Order   *order   `parser:"| @@"`
		In      *in      `parser:"| @@ )"`
	}
	equal struct {
		Sign  string `parser:"@( '==' | '!=' )"`
		Value value  `parser:"@@"`
	}
	matches struct {
		Pos  lexer.Position
		Sign string `parser:"@( '=~' | '!~' )"`
		Text string `parser:"@Text"`
		form *regexp.Regexp
	}
	order struct {
		Sign   string  `parser:"@( '<=' | '>=' | '<' | '>' )"`
		Number float64 `parser:"@Number"`
	}
	in struct {
		Not    bool    `parser:"@'not'? 'in' '['"`
		Values []value `parser:"@@ ( ',' @@ )* ','? ']'"`
	}
	value struct {
		Text   *string  `parser:"  @Text"`
		Number *float64 `parser:"| @Number"`
	}
	truth bool
)

// Capture implements participle.Capture.
func (t *truth) Capture(words []string) error {
	*t = words[0] == "true"
	return nil
}

var parser = participle.MustBuild[either](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Space", Pattern: `\s+`},
		{Name: "Text", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Number", Pattern: `-?\d+(\.\d+)?`},
		{Name: "Sign", Pattern: `\|\||&&|==|!=|=~|!~|<=|>=|[<>!()\[\],]`},
		{Name: "Key", Pattern: `[A-Za-z_][A-Za-z0-9_.-]*`},
	})),
	participle.Elide("Space"), participle.Unquote("Text"), participle.UseLookahead(3))

// Selector says which boxes belong.
type Selector struct {
	text string
	root *either
}

// Parse reads a selector, such as
//
//	kind == "fast" && site in ["hall-a"] && version == "v2"
//
// Its errors are *SyntaxError.
func Parse(text string) (Selector, error) {
	if len(text) > textMost {
		return Selector{}, &SyntaxError{1, textMost, fmt.Sprintf("longer than %d characters", textMost)}
	}
	depth := 0
	for i, c := range text {
		switch c {
		case '(', '!':
			depth++
		case ')':
			depth = max(0, depth-1)
		}
		if depth > depthMost {
			return Selector{}, &SyntaxError{1, i + 1, fmt.Sprintf("nested more than %d deep", depthMost)}
		}
	}
	root, err := parser.ParseString("", text)
	if err != nil {
		var at participle.Error
		if errors.As(err, &at) {
			return Selector{}, &SyntaxError{max(1, at.Position().Line), max(1, at.Position().Column), at.Message()}
		}
		return Selector{}, &SyntaxError{1, 1, err.Error()}
	}
	if err := root.check(); err != nil {
		return Selector{}, err
	}
	return Selector{text, root}, nil
}

// String is the text as written.
func (s Selector) String() string { return s.text }

// Match tells whether a box belongs. An empty selector takes none. A comparison with a label that the box does not
// have is false, whatever its sign; has(label) asks for the label itself.
func (s Selector) Match(b Box) bool { return s.root != nil && s.root.match(b) }

func (e *either) check() error {
	for _, a := range e.All {
		for _, t := range a.Terms {
			if err := t.check(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *term) check() (err error) {
	switch {
	case t.Not != nil:
		return t.Not.check()
	case t.Group != nil:
		return t.Group.check()
	case t.Compare != nil && t.Compare.Matches != nil:
		m := t.Compare.Matches
		if m.form, err = regexp.Compile("^(?:" + m.Text + ")$"); err != nil {
			return &SyntaxError{m.Pos.Line, m.Pos.Column, fmt.Sprintf("%q is no regular expression: %v", m.Text, err)}
		}
	}
	return nil
}

func (e *either) match(b Box) bool {
	return slices.ContainsFunc(e.All, func(a *all) bool {
		return !slices.ContainsFunc(a.Terms, func(t *term) bool { return !t.match(b) })
	})
}

func (t *term) match(b Box) bool {
	switch {
	case t.Not != nil:
		return !t.Not.match(b)
	case t.Group != nil:
		return t.Group.match(b)
	case t.Has != nil:
		_, ok := b.field(*t.Has)
		return ok
	case t.Truth != nil:
		return bool(*t.Truth)
	}
	return t.Compare.match(b)
}

func (c *compare) match(b Box) bool {
	own, ok := b.field(c.Key)
	if !ok {
		return false
	}
	switch {
	case c.Equal != nil:
		return c.Equal.Value.is(own) == (c.Equal.Sign == "==")
	case c.Matches != nil:
		return c.Matches.form.MatchString(own) == (c.Matches.Sign == "=~")
	case c.In != nil:
		return slices.ContainsFunc(c.In.Values, func(v value) bool { return v.is(own) }) != c.In.Not
	}
	n, err := strconv.ParseFloat(own, 64)
	if err != nil {
		return false
	}
	switch c.Order.Sign {
	case "<":
		return n < c.Order.Number
	case "<=":
		return n <= c.Order.Number
	case ">":
		return n > c.Order.Number
	}
	return n >= c.Order.Number
}

func (v value) is(own string) bool {
	if v.Text != nil {
		return *v.Text == own
	}
	n, err := strconv.ParseFloat(own, 64)
	return err == nil && n == *v.Number
}
