package pool

import (
	"errors"
	"fmt"
	"regexp"

	"github.com/alecthomas/participle/v2"
)

// Bounds of a selector's text.
const (
	maxTextLength = 4096 // maximum length in bytes
	maxDepth      = 32   // maximum nesting, as counted by checkDepth
)

// SyntaxError reports the position and the reason of an error in a selector's text. Line and Column count from 1.
// Columns are counted in characters, except in a text that is too long or nested too deeply: there Line is 1, and
// Column counts the bytes of the whole text.
type SyntaxError struct {
	Line   int
	Column int
	Reason string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	if e.Line > 1 {
		return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Reason)
	}
	return fmt.Sprintf("column %d: %s", e.Column, e.Reason)
}

// newSyntaxError converts a parser's error, whose position may be missing, to a SyntaxError.
func newSyntaxError(err error) *SyntaxError {
	var positioned participle.Error
	if !errors.As(err, &positioned) {
		return &SyntaxError{Line: 1, Column: 1, Reason: err.Error()}
	}
	at := positioned.Position()
	return &SyntaxError{Line: max(1, at.Line), Column: max(1, at.Column), Reason: positioned.Message()}
}

// Selector selects backends. The zero value selects none.
type Selector struct {
	text string
	root *either
}

// Parse parses a selector, such as
//
//	kind == "fast" && site in ["hall-a"] && version == "v2"
//
// Its errors are *SyntaxError.
func Parse(text string) (Selector, error) {
	if len(text) > maxTextLength {
		return Selector{}, &SyntaxError{
			Line:   1,
			Column: maxTextLength,
			Reason: fmt.Sprintf("longer than %d characters", maxTextLength),
		}
	}
	if err := checkDepth(text); err != nil {
		return Selector{}, err
	}
	root, err := parser.ParseString("", text)
	if err != nil {
		return Selector{}, newSyntaxError(err)
	}
	if err := root.check(); err != nil {
		return Selector{}, err
	}
	return Selector{text: text, root: root}, nil
}

// checkDepth rejects a text that is nested too deeply, before it is parsed, as the parser is recursive. It looks at
// characters alone: each "(" and "!", also in "!=", "!~" and strings, adds a level, and only a ")" removes one.
func checkDepth(text string) error {
	depth := 0
	for i, c := range text {
		switch c {
		case '(', '!':
			depth++
		case ')':
			depth = max(0, depth-1)
		}
		if depth > maxDepth {
			return &SyntaxError{Line: 1, Column: i + 1, Reason: fmt.Sprintf("nested more than %d deep", maxDepth)}
		}
	}
	return nil
}

// String returns the text that was parsed.
func (s Selector) String() string { return s.text }

// Match reports whether a backend is selected. A comparison with a label that the backend does not have is false for
// any operator; has(label) tests whether the label is present.
func (s Selector) Match(b Backend) bool { return s.root != nil && s.root.match(b) }

// check compiles the regular expressions, and returns a *SyntaxError for the first invalid one.
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

// check compiles the term's regular expressions.
func (t *term) check() (err error) {
	switch {
	case t.Not != nil:
		return t.Not.check()
	case t.Group != nil:
		return t.Group.check()
	case t.Compare != nil && t.Compare.Matches != nil:
		m := t.Compare.Matches
		if m.pattern, err = regexp.Compile("^(?:" + m.Text + ")$"); err != nil {
			return &SyntaxError{
				m.Pos.Line,
				m.Pos.Column,
				fmt.Sprintf("%q is not a regular expression: %v", m.Text, err),
			}
		}
	}
	return nil
}
