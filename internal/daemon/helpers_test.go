package daemon

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// operatorFile writes an operator's file with one class, one backend and batches, and returns its path.
func operatorFile(t *testing.T, listen, server string) string {
	path := filepath.Join(t.TempDir(), "operator.toml")
	require.NoError(t, os.WriteFile(path, []byte(fmt.Sprintf(`listen = %q
[[class]]
name = "chat"
first_token = "1s"
give_up = "5s"
worth = 1.0
[[real_server]]
name = "box-1"
address = %q
[batch]
enabled = true
`, listen, server)), 0o600))
	return path
}
