package handover

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Processes of one node must count each other, and none of another node. The live file of a process that has died must
// be removed.
func TestSiblingCount(t *testing.T) {
	dir := t.TempDir()
	a, err := open(dir, "n", 1)
	require.NoError(t, err)
	otherNode, err := open(dir, "../n", 2)
	require.NoError(t, err)
	require.Zero(t, a.SiblingCount())
	require.Zero(t, otherNode.SiblingCount())
	b, err := open(dir, "n", 3)
	require.NoError(t, err)
	require.Equal(t, 1, a.SiblingCount())
	require.Equal(t, 1, b.SiblingCount())
	require.NoError(t, a.Close())
	require.Zero(t, b.SiblingCount())
	deadFile := b.pathPrefix + ".4.live"
	require.NoError(t, os.WriteFile(deadFile, nil, 0o600))
	require.Zero(t, b.SiblingCount())
	require.NoFileExists(t, deadFile)
	_, err = Open("/proc/none", "n")
	require.Error(t, err)
}
