package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
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

func TestMerge(t *testing.T) {
	local := "name = \"node-1\"\nlisten = \"127.0.0.1:1\"\n[module]\nzone = \"b\"\nmax_attempts = 2\n" +
		"[[class]]\nname = \"old\"\n[move]\nfloor = 0.8\n"
	merged, err := Merge(local, document+"[module]\nmax_attempts = 3\n")
	require.NoError(t, err)
	for _, want := range []string{
		`name = "node-1"`, `zone = "b"`, "max_attempts = 3", `floor = 0.8`, `hold = "20s"`, `name = "import"`,
	} {
		require.Contains(t, merged, want)
	}
	require.NotContains(t, merged, `"old"`, "lists are replaced as a whole")
	shared, err := ExtractShared(local)
	require.NoError(t, err)
	require.NotContains(t, shared, "node-1")
	require.NotContains(t, shared, "zone")
	require.Contains(t, shared, "max_attempts = 2")
}

func TestNodeLocalKeysAreNotShared(t *testing.T) {
	for _, text := range []string{
		"listen = \"127.0.0.1:1\"\n",
		"[store]\nkind = \"raft\"\n",
		"[module]\nzone = \"a\"\n",
	} {
		_, err := Parse(text)
		require.ErrorContains(t, err, "this stays in each node's own file")
		var invalid *PathError
		require.ErrorAs(t, err, &invalid)
	}
}
