package pool

import (
	"regexp"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The grammar of selectors:
//
//	either  = all { "||" all } .
//	all     = term { "&&" term } .
//	term    = "!" term | "(" either ")" | "has" "(" key ")" | "true" | "false" | compare .
//	compare = key ( ("==" | "!=") value | ("=~" | "!~") string | ("<" | "<=" | ">" | ">=") number
//	              | [ "not" ] "in" "[" value { "," value } "]" ) .
//
// The parser's errors contain the names of these types, with a capital ("expected Either"), so the names are part of
// the messages that operators read.
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
		Pos     lexer.Position
		Sign    string `parser:"@( '=~' | '!~' )"`
		Text    string `parser:"@Text"`
		pattern *regexp.Regexp
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

// parser parses a selector with a lookahead of three tokens.
var parser = participle.MustBuild[either](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Space", Pattern: `\s+`},
		{Name: "Text", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Number", Pattern: `-?\d+(\.\d+)?`},
		{Name: "Sign", Pattern: `\|\||&&|==|!=|=~|!~|<=|>=|[<>!()\[\],]`},
		{Name: "Key", Pattern: `[A-Za-z_][A-Za-z0-9_.-]*`},
	})),
	participle.Elide("Space"), participle.Unquote("Text"), participle.UseLookahead(3))
