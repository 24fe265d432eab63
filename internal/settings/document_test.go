package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const document = `[[class]]
name = "chat"
worth = 5.0
[[class]]
name = "import"
worth = 2.0
[move]
hold = "20s"
steps = [0.1, 1.0]
`

func TestOver(t *testing.T) {
	own := "name = \"node-1\"\nlisten = \"127.0.0.1:1\"\n[module]\nzone = \"b\"\nmax_attempts = 2\n[[class]]\nname = \"old\"\n[move]\nfloor = 0.8\n"
	text, err := Merge(own, document+"[module]\nmax_attempts = 3\n")
	require.NoError(t, err)
	for _, want := range []string{`name = "node-1"`, `zone = "b"`, "max_attempts = 3", `floor = 0.8`, `hold = "20s"`, `name = "import"`} {
		require.Contains(t, text, want)
	}
	require.NotContains(t, text, `"old"`, "lists are taken whole")
	shared, err := ExtractShared(own)
	require.NoError(t, err)
	require.NotContains(t, shared, "node-1")
	require.NotContains(t, shared, "zone")
	require.Contains(t, shared, "max_attempts = 2")
	for _, c := range []string{"listen = \"127.0.0.1:1\"\n", "[store]\nkind = \"raft\"\n", "[module]\nzone = \"a\"\n"} {
		_, err = Parse(c)
		require.ErrorContains(t, err, "this stays in each node's own file")
	}
}

func TestSetAndGet(t *testing.T) {
	for _, c := range []struct{ path, value, want string }{
		{"class[0].worth", "7.5", `worth = 7.5`}, {"move.hold", "30s", `hold = "30s"`}, {"move.steps", "[0.5, 1.0]", "steps = [0.5, 1.0]"},
		{"class[2].name", "night", `name = "night"`}, {"module.max_attempts", "2", "[module]\nmax_attempts = 2"},
	} {
		text, err := Set(document, c.path, c.value)
		require.NoError(t, err, c.path)
		require.Contains(t, text, c.want)
		lines, err := Diff(document, text)
		require.NoError(t, err)
		require.NotEmpty(t, lines)
	}
	text, err := Set(document, "class[0]", "")
	require.NoError(t, err)
	require.NotContains(t, text, "chat")
	v, err := Get(document, "class[1].name")
	require.NoError(t, err)
	require.Equal(t, "import", v)
	for path, want := range map[string]string{"class[5].name": "the next is [2]", "class[x]": "no place in a list", "move.hold.x": "is no section", "listen": "own file",
		"a..b": "an empty key", "class[1]": "a section, not a value"} {
		_, err := Set(document, path, "1")
		require.ErrorContains(t, err, want, path)
	}
	_, err = Set(document, "move.pace", "")
	require.ErrorContains(t, err, "not set")
	_, err = Get(document, "move.pace")
	require.ErrorContains(t, err, "not set")
}

func TestNext(t *testing.T) {
	_, err := NextVersion(4, 3, Version{Author: "a", Text: document})
	require.ErrorIs(t, err, ErrStale)
	_, err = NextVersion(4, 4, Version{Text: document})
	require.ErrorContains(t, err, "author")
	_, err = NextVersion(4, 4, Version{Author: "a", Text: "name = \"x\"\n"})
	require.ErrorContains(t, err, "name:")
	_, err = NextVersion(4, 4, Version{Author: "a", Text: strings.Repeat("#", MaxDocumentBytes+1)})
	require.ErrorContains(t, err, "bytes")
	v, err := NextVersion(4, 4, Version{Author: "a", Text: document})
	require.NoError(t, err)
	require.EqualValues(t, 5, v.Number)
}

// Whatever is set can be got again, what is set back makes no difference, and a diff is empty only where nothing differs.
func TestSetRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.SampledFrom([]string{"class[0].worth", "class[1].give_up", "module.warm_up", "move.hold", "class[2].name", "limitless.deep.key"}).Draw(t, "path")
		value := rapid.SampledFrom([]string{"3", "2.5", `"x y"`, "30s", "true", `["a", "b"]`}).Draw(t, "value")
		text, err := Set(document, path, value)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Get(text, path); err != nil {
			t.Fatal(err)
		}
		again, err := Set(text, path, value)
		if err != nil || !Equal(text, again) {
			t.Fatalf("set twice differs: %v", err)
		}
		lines, err := Diff(document, text)
		if err != nil || (len(lines) == 0) != Equal(document, text) {
			t.Fatalf("%v, %v", lines, err)
		}
	})
}
