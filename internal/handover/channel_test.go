package handover

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Two processes of one node see each other, and not those of another node; the file of one that died is taken away.
func TestSiblingCount(t *testing.T) {
	dir := t.TempDir()
	a, err := open(dir, "n", 1)
	require.NoError(t, err)
	other, err := open(dir, "../n", 2)
	require.NoError(t, err)
	require.Zero(t, a.SiblingCount())
	require.Zero(t, other.SiblingCount())
	b, err := open(dir, "n", 3)
	require.NoError(t, err)
	require.Equal(t, 1, a.SiblingCount())
	require.Equal(t, 1, b.SiblingCount())
	require.NoError(t, a.Close())
	require.Zero(t, b.SiblingCount())
	dead := b.pathPrefix + ".4.live"
	require.NoError(t, os.WriteFile(dead, nil, 0o600))
	require.Zero(t, b.SiblingCount())
	require.NoFileExists(t, dead)
	_, err = Open("/proc/none", "n")
	require.Error(t, err)
}
