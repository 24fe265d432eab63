package testpeer

import (
	"maps"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Build builds the standpoint program and returns its path.
func Build(t testing.TB) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "standpoint")
	out, err := exec.Command("go", "build", "-o", program, "standpoint/cmd/standpoint").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// PlatformConfig returns a node's configuration as the platform writes it. The keys in more are added, or replace those
// of the same name.
func PlatformConfig(listen, discovery string, more map[string]any) map[string]any {
	settings := map[string]any{"balancers": 1, "discovery": "on_request", "period": 2000000, "zones": []string{"a"},
		"shapes": []string{"m"},
		"classes": []any{map[string]any{"name": "chat", "onTime": 1e9, "hardLimit": 3e9, "worth": 1,
			"semantics": "safe", "streamed": true}},
		"limits": map[string]any{"cancel": true, "retryAfter": true, "maxRetryAfter": 2e9, "sendCap": 3},
		"rules":  map[string]any{"askWithin": 10e9, "stopSendingWithin": 5e8}}
	all := map[string]any{"name": "n", "listen": listen, "discovery": discovery,
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512}, "settings": settings}
	maps.Copy(all, more)
	return all
}
