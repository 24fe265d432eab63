package rig

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func program(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "standpoint")
	out, err := exec.Command("go", "build", "-o", path, "standpoint/cmd/standpoint").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// Three processes share two tenants' budgets while they are cut off, lossy, killed and stalled, with clocks that are off: no
// window is overspent, no invariant breaks, and once all is healed they agree and serve.
func TestRightsOnRealProcesses(t *testing.T) {
	path := program(t)
	for seed := range uint64(2) {
		v, err := Rights(t.Context(), Options{Program: path, Dir: t.TempDir(), Nodes: 3, Boxes: 3, Seed: seed + 1, Window: 400 * time.Millisecond, Clock: 150 * time.Millisecond, Token: time.Millisecond,
			Tenants: []Tenant{{"acme", 1500}, {"free", 0}, {"bolt", 600}}, Log: t.Logf}, 8*time.Second, 60)
		require.NoError(t, err)
		t.Logf("seed %d: %+v", seed+1, v)
	}
}
