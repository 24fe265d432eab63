package mutation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A guard whose text has changed would be taken out of nothing, and one that stands twice would stay.
func TestEachGuardStandsOnce(t *testing.T) {
	t.Parallel()
	require.Len(t, Guards, 33)
	for _, guard := range Guards {
		path := filepath.Join("..", "..", "..", fleetDirectory, guard.Package, guard.File)
		text, err := os.ReadFile(path)
		require.NoError(t, err, guard.What)
		require.Equal(t, 1, strings.Count(string(text), guard.Text), "%s: %s in %s", guard.What, guard.Text, guard.File)
	}
}

// The copy in which guards are taken out has the files that tests read: without them tests would fail for that, and every
// guard would seem to be found.
func TestCopyHasWhatTestsRead(t *testing.T) {
	t.Parallel()
	from := t.TempDir()
	to := t.TempDir()
	files := []string{"go.mod", "a/a.go", "a/a_test.go", "a/testdata/golden/b.json"}
	left := []string{"journal/c.go", "bin/d.go", "a/readme.md"}
	for _, name := range append(files, left...) {
		path := filepath.Join(from, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		require.NoError(t, os.WriteFile(path, []byte(name), 0o600))
	}
	require.NoError(t, copyTree(from, to))
	for _, name := range files {
		content, err := os.ReadFile(filepath.Join(to, name))
		require.NoError(t, err)
		require.Equal(t, name, string(content))
	}
	for _, name := range left {
		require.NoFileExists(t, filepath.Join(to, name))
	}
}
