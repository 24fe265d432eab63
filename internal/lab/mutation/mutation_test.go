package mutation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEachGuardOccursOnce checks that each guard's text occurs exactly once in its file. If the text of the code has
// changed there is nothing to remove, and if it occurs twice one occurrence would remain in the mutated code.
func TestEachGuardOccursOnce(t *testing.T) {
	t.Parallel()
	require.Len(t, Guards, 33)
	for _, guard := range Guards {
		path := filepath.Join("..", "..", "..", fleetDirectory, guard.Package, guard.File)
		text, err := os.ReadFile(path)
		require.NoError(t, err, guard.Effect)
		require.Equal(t, 1, strings.Count(string(text), guard.Text), "%s: %s in %s", guard.Effect, guard.Text, guard.File)
	}
}

// TestCopyHasWhatTestsRead checks that the copy in which guards are removed has the files that tests read. Without them
// tests would fail for that reason, and every removal would seem to be detected.
func TestCopyHasWhatTestsRead(t *testing.T) {
	t.Parallel()
	from := t.TempDir()
	to := t.TempDir()
	copied := []string{"go.mod", "a/a.go", "a/a_test.go", "a/testdata/golden/b.json"}
	skipped := []string{"journal/c.go", "bin/d.go", "a/readme.md"}
	for _, name := range append(copied, skipped...) {
		path := filepath.Join(from, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		require.NoError(t, os.WriteFile(path, []byte(name), 0o600))
	}
	require.NoError(t, copyTree(from, to))
	for _, name := range copied {
		content, err := os.ReadFile(filepath.Join(to, name))
		require.NoError(t, err)
		require.Equal(t, name, string(content))
	}
	for _, name := range skipped {
		require.NoFileExists(t, filepath.Join(to, name))
	}
}
