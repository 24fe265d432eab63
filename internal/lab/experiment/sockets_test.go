package experiment

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The small experiment on sockets, with two daemon processes, emulated backends of which one is replaced, and clients,
// breaks no rule.
func TestRunOnSockets(t *testing.T) {
	program := filepath.Join(t.TempDir(), "standpoint")
	out, err := exec.Command("go", "build", "-o", program, "standpoint/cmd/standpoint").CombinedOutput()
	require.NoError(t, err, string(out))
	text := strings.NewReplacer(`seeds = 4`, `seeds = 1`, `settle = "5s"`, `settle = "2s"`, `for = "15s"`, `for = "6s"`,
		`at = "10s"`, `at = "3s"`,
		`do = "pause"`, `do = "replace"`, `value = 1.0`,
		"").Replace(smallExperiment[:strings.Index(smallExperiment, "[[variant]]")]) +
		"[[variant]]\nname = \"module\"\n"
	f, err := readExperiment(t, text)
	require.NoError(t, err)
	r, err := RunOnSockets(t.Context(), f, program, t.TempDir(), nil)
	require.NoError(t, err)
	require.Empty(t, r.Variants[0].Breaches)
	require.Positive(t, r.Variants[0].Runs[0].Requests)
	require.Greater(t, r.Variants[0].Runs[0].Service, 0.5)
	f.Variants[0].Policy = "random"
	_, err = RunOnSockets(t.Context(), f, program, t.TempDir(), nil)
	require.ErrorContains(t, err, "variant[0].policy: on sockets only the daemon runs, not \"random\"")
}
