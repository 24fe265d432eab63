package pool

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testBackend = Backend{
	Name:    "box-7",
	Address: "127.0.0.1:9007",
	Site:    "hall-a",
	Kind:    "fast",
	Mode:    "stream",
	Cell:    3,
	Size:    1.5,
	Labels:  map[string]string{"version": "v2", "build": "118"},
}

// Property tests use a fixed seed, so that their runs are repeatable.
func init() { _ = flag.Set("rapid.seed", "20261201") }

func TestSelectorMatchesBackendDescription(t *testing.T) {
	for text, want := range map[string]bool{
		`kind == "fast" && site in ["hall-a"] && version == "v2"`: true,
		`kind != "fast"`:                       false,
		`kind == "slow" || build >= 118`:       true,
		`build > 118`:                          false,
		`!(version == "v1") && cell == 3`:      true,
		`version not in ["v1", "v3"]`:          true,
		`name =~ "box-[0-9]"`:                  true,
		`name =~ "box"`:                        false, // the expression must match the whole name
		`name !~ "box-8.*"`:                    true,
		`has(version) && !has(rack)`:           true,
		`rack != "r1"`:                         false, // no comparison holds for a missing label
		`size < 2 && size > 1.4`:               true,
		`true`:                                 true,
		`false || zone == "hall-a"`:            true,
		`version == "v1" && true || cell == 3`: true, // and binds tighter
	} {
		s, err := Parse(text)
		require.NoError(t, err, text)
		require.Equal(t, want, s.Match(testBackend), text)
	}
	require.False(t, Selector{}.Match(testBackend))
}

func TestSelectorErrorsNameTheColumn(t *testing.T) {
	for text, column := range map[string]int{
		``:                           1,
		`kind = "fast"`:              6,
		`kind == "fast" &&`:          18,
		`kind == fast`:               9,
		`(kind == "fast"`:            16,
		`site in ["a" "b"]`:          14,
		`name =~ "box-["`:            6,
		`build > "x"`:                9,
		`kind == "fast" and x == ""`: 16,
	} {
		_, err := Parse(text)
		var at *SyntaxError
		require.ErrorAs(t, err, &at, text)
		require.Equal(t, column, at.Column, "%s: %v", text, err)
	}
	deep := ""
	for range 40 {
		deep += "("
	}
	_, err := Parse(deep)
	require.ErrorContains(t, err, "nested more than 32 deep")
}

// newTestSet returns a set of the pools p1, p2, ..., which select backends by their label version.
func newTestSet(t testing.TB, shares ...float64) *Set {
	t.Helper()
	var all []Definition
	for i, share := range shares {
		s, err := Parse(fmt.Sprintf(`version == "v%d"`, i+1))
		require.NoError(t, err)
		all = append(all, Definition{fmt.Sprint("p", i+1), s, share})
	}
	s, err := NewSet(all)
	require.NoError(t, err)
	return s
}

func TestBackendBelongsToFirstMatchingPool(t *testing.T) {
	fast, _ := Parse(`kind == "fast"`)
	all, _ := Parse(`true`)
	s, err := NewSet([]Definition{{"quick", fast, 0.5}, {"every", all, 0.5}})
	require.NoError(t, err)
	number, also := s.PoolOf(testBackend)
	require.Equal(t, 1, number)
	require.Equal(t, []string{"every"}, also)
	number, also = s.PoolOf(Backend{Kind: "slow"})
	require.Equal(t, 2, number)
	require.Empty(t, also)
	_, err = NewSet([]Definition{{"quick", fast, 0.5}, {"quick", all, 0.5}})
	require.ErrorContains(t, err, "pool[1].name:")
	_, err = NewSet([]Definition{{"quick", fast, 0.5}, {"every", all, 0.4}})
	require.ErrorContains(t, err, "pool[1].share:")
}

// A larger share moves requests only from the old pool to the new one, and no more than the difference of the shares.
// Requests of other pools never move.
func TestLargerShareOnlyMovesRequestsToTheNewPool(t *testing.T) {
	s := newTestSet(t, 0.7, 0, 0.3)
	rapid.Check(t, func(r *rapid.T) {
		a := rapid.Float64Range(0, 1).Draw(r, "share")
		b := rapid.Float64Range(a, 1).Draw(r, "greater")
		before := s.Bind(Shares{From: "p1", To: "p2", Share: a})
		after := s.Bind(Shares{From: "p1", To: "p2", Share: b})
		key := rapid.Uint64Min(1).Draw(r, "session")
		x, y := before.Assign(key, 0, 0), after.Assign(key, 0, 0)
		if x != y && (x != 1 || y != 2) {
			r.Fatalf("share raised from %g to %g: a request moved from pool %d to %d", a, b, x, y)
		}
		if before.Assign(key, 5, 6) != x {
			r.Fatal("a session's pool depends on the prefix or the id")
		}
	})
	moved, other := 0, 0
	before, after := s.Bind(Shares{From: "p1", To: "p2", Share: 0.1}), s.Bind(Shares{From: "p1", To: "p2", Share: 0.3})
	for key := range uint64(100_000) {
		x, y := before.Assign(key+1, 0, 0), after.Assign(key+1, 0, 0)
		if x != y {
			moved++
		}
		if y == 3 {
			other++
		}
	}
	require.InDelta(t, 0.7*0.2*100_000, moved, 700)
	require.InDelta(t, 0.3*100_000, other, 700)
}

// Finished migrations leave no request in a pool that was emptied, however many there were.
func TestFinishedMigrationsCompose(t *testing.T) {
	s := newTestSet(t, 1, 0, 0)
	shares := Shares{}
	for _, m := range []struct {
		from, to string
		end      int
	}{{"p1", "p2", 2}, {"p2", "p3", 3}, {"p3", "p1", 1}, {"p1", "p3", 3}} {
		shares.From, shares.To, shares.Share = m.from, m.to, 0.5
		half := 0
		for key := range uint64(2000) {
			if s.Bind(shares).Assign(key+1, 0, 0) == m.end {
				half++
			}
		}
		require.InDelta(t, 1000, half, 120)
		shares = shares.Finish()
		require.LessOrEqual(t, len(shares.Moved), 3)
		for key := range uint64(200) {
			require.Equal(t, m.end, s.Bind(shares).Assign(key+1, 0, 0), "%v", shares)
		}
	}
	require.Equal(t, 0, newTestSet(t).Bind(shares).Assign(1, 0, 0), "without pools there is no assignment")
}

// Any text is either rejected or parsed, and the text of a parsed selector can be parsed again.
func FuzzSelector(f *testing.F) {
	for _, s := range []string{
		`version == "v1"`,
		`site in ("a", "b") and not (kind == "fast")`,
		`label["x"] != ""`,
		`((((`,
		`a == "\x00`,
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(s.String())
		if err != nil || again.String() != s.String() {
			t.Fatalf("%q is printed as %q, which does not parse to the same text: %v", text, s, err)
		}
	})
}
