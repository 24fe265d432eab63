package lease

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each incarnation has a higher number than those before it, even if the clock was set back. Its predecessors are
// returned until a grant is confirmed.
func TestDirectoryNumbersIncarnations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet")
	directory, first, predecessors, err := Open(path, 50)
	require.NoError(t, err)
	require.Empty(t, predecessors)
	_, _, _, err = Open(path, 60)
	require.ErrorContains(t, err, "is locked by another process")
	require.NoError(t, directory.Close())
	directory, second, predecessors, err := Open(path, 10)
	require.NoError(t, err)
	require.Greater(t, second, first)
	require.Equal(t, []uint64{first}, predecessors)
	require.NoError(t, directory.Close())
	directory, third, predecessors, err := Open(path, 10)
	require.NoError(t, err)
	require.Equal(t, []uint64{first, second}, predecessors)
	require.NoError(t, directory.ConfirmGrant(third))
	require.NoError(t, directory.Close())
	directory, _, predecessors, err = Open(path, 10)
	require.NoError(t, err)
	require.Equal(t, []uint64{third}, predecessors)
	require.NoError(t, directory.Close())
	require.NoError(t, os.WriteFile(filepath.Join(path, "seat.json"), []byte(`{"lives":[1`), 0o600))
	_, _, _, err = Open(path, 10)
	require.ErrorContains(t, err, "seat.json cannot be decoded")
}
