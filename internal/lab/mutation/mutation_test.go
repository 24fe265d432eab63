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
	for _, g := range Guards {
		text, err := os.ReadFile(filepath.Join("..", "..", "..", g.File))
		require.NoError(t, err, g.What)
		require.Equal(t, 1, strings.Count(string(text), g.Is), "%s: %s in %s", g.What, g.Is, g.File)
		require.DirExists(t, filepath.Join("..", "..", "fleet", g.Test), g.What)
	}
}
