package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestSetAndGet(t *testing.T) {
	for _, c := range []struct{ path, value, want string }{
		{"class[0].worth", "7.5", `worth = 7.5`},
		{"move.hold", "30s", `hold = "30s"`},
		{"move.steps", "[0.5, 1.0]", "steps = [0.5, 1.0]"},
		{"class[2].name", "night", `name = "night"`},
		{"module.max_attempts", "2", "[module]\nmax_attempts = 2"},
	} {
		edited, err := Set(document, c.path, c.value)
		require.NoError(t, err, c.path)
		require.Contains(t, edited, c.want)
		lines, err := Diff(document, edited)
		require.NoError(t, err)
		require.NotEmpty(t, lines)
	}
	edited, err := Set(document, "class[0]", "")
	require.NoError(t, err)
	require.NotContains(t, edited, "chat")
	value, err := Get(document, "class[1].name")
	require.NoError(t, err)
	require.Equal(t, "import", value)
}

func TestPathsThatCannotBeSet(t *testing.T) {
	for path, want := range map[string]string{
		"class[5].name": "the next is [2]",
		"class[x]":      "no place in a list",
		"move.hold.x":   "is no section",
		"listen":        "own file",
		"a..b":          "an empty key",
		"class[1]":      "a section, not a value",
	} {
		_, err := Set(document, path, "1")
		require.ErrorContains(t, err, want, path)
		var invalid *PathError
		require.ErrorAs(t, err, &invalid, path)
	}
	_, err := Set(document, "move.pace", "")
	require.ErrorContains(t, err, "not set")
	_, err = Get(document, "move.pace")
	require.ErrorContains(t, err, "not set")
}

// A value that was set can be read back, setting it again changes nothing, and a diff is empty if and only if the
// documents are equal.
func TestSetRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.SampledFrom([]string{
			"class[0].worth", "class[1].give_up", "module.warm_up", "move.hold", "class[2].name", "limitless.deep.key",
		}).Draw(t, "path")
		value := rapid.SampledFrom([]string{"3", "2.5", `"x y"`, "30s", "true", `["a", "b"]`}).Draw(t, "value")
		edited, err := Set(document, path, value)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Get(edited, path); err != nil {
			t.Fatal(err)
		}
		editedTwice, err := Set(edited, path, value)
		if err != nil || !Equal(edited, editedTwice) {
			t.Fatalf("setting the value again changes the document, error: %v", err)
		}
		lines, err := Diff(document, edited)
		if err != nil || (len(lines) == 0) != Equal(document, edited) {
			t.Fatalf("diff is %v, error: %v", lines, err)
		}
	})
}
