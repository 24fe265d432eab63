package settings

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer/golden"
)

// The encoding of a version does not change: it is stored, and shown by the control interface.
func TestGoldenVersion(t *testing.T) {
	v := Version{
		Number:     12,
		Author:     "asel",
		Note:       "night classes",
		CreatedAt:  time.Date(2026, 12, 2, 3, 4, 5, 6, time.UTC),
		Text:       document,
		RollbackTo: 7,
	}
	golden.JSON(t, "version.json", v)
	minimal, err := json.Marshal(Version{Number: 1, Author: "asel"})
	require.NoError(t, err)
	golden.Bytes(t, "version_least.json", minimal)
}

const nodeFile = `name = "node-1"
listen = "127.0.0.1:1"
seed = 3
[limits]
open_files = 100
[log]
level = "info"
[control]
socket = "x"
[metrics]
listen = "127.0.0.1:2"
[[nodes]]
name = "other"
[store]
kind = "raft"
[module]
ordinal = 2
zone = "b"
nodes = 3
max_attempts = 2
[[class]]
name = "old"
worth = 1.0
[move]
floor = 0.8
`

// The results of merging, extracting, editing and comparing documents, and the format of paths.
func TestGoldenDocuments(t *testing.T) {
	merged, err := Merge(nodeFile, document+"[module]\nmax_attempts = 3\n")
	require.NoError(t, err)
	golden.Bytes(t, "over.toml", []byte(merged))
	shared, err := ExtractShared(nodeFile)
	require.NoError(t, err)
	golden.Bytes(t, "shared.toml", []byte(shared))
	edited, err := Set(document, "class[2].name", "night")
	require.NoError(t, err)
	golden.Bytes(t, "set.toml", []byte(edited))
	lines, err := Diff(document, edited)
	require.NoError(t, err)
	moreLines, err := Diff(document, "[move]\nhold = \"30s\"\n")
	require.NoError(t, err)
	golden.Bytes(t, "diff.txt", []byte(strings.Join(append(lines, moreLines...), "\n")+"\n"))
	doc, err := Parse(document + "[empty]\n")
	require.NoError(t, err)
	golden.Bytes(t, "keys.txt", []byte(strings.Join(Keys(doc), "\n")+"\n"))
}

// The texts of errors that operators see.
func TestGoldenErrorTexts(t *testing.T) {
	var lines []string
	add := func(err error) {
		t.Helper()
		require.Error(t, err)
		lines = append(lines, err.Error())
	}
	_, err := Parse(strings.Repeat("#", MaxDocumentBytes+1))
	add(err)
	for _, key := range []string{"name = \"x\"", "store.kind = \"raft\"", "[module]\nzone = \"a\""} {
		_, err = Parse(key)
		add(err)
	}
	for _, path := range []string{
		"class[5].name",
		"class[x]",
		"class[-1]",
		"move.hold.x",
		"listen",
		"a..b",
		"class[1]",
		"a.b.c.d.e.f.g.h.i",
	} {
		_, err = Set(document, path, "1")
		add(err)
	}
	for _, path := range []string{"move.pace", "class[9]"} {
		_, err = Set(document, path, "")
		add(err)
		_, err = Get(document, path)
		add(err)
	}
	_, err = Get(document, "class[4].name")
	add(err)
	_, err = NextVersion(4, 3, Version{Author: "a", Text: document})
	add(err)
	_, err = NextVersion(4, 4, Version{Text: document})
	add(err)
	_, err = NextVersion(4, 4, Version{Author: "a", Note: strings.Repeat("n", MaxNoteBytes+1)})
	add(err)
	add(ErrStale)
	golden.Bytes(t, "errors.txt", []byte(strings.Join(lines, "\n")+"\n"))
}
