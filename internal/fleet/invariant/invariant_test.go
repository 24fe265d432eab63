package invariant

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNilMonitorIgnoresViolations(t *testing.T) {
	var monitor *Monitor
	require.NotPanics(t, func() { monitor.RecordViolation(LedgerSums, "in this test") })
}

// A strict monitor ends its process with ExitCode, and writes the rule and the detail to standard error.
func TestStrictMonitorEndsTheProcess(t *testing.T) {
	const inChild = "STRICT_MONITOR"
	if os.Getenv(inChild) != "" {
		monitor := &Monitor{Strict: true}
		monitor.RecordViolation(StateTransition, "in this test")
		return
	}
	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$")
	command.Env = append(os.Environ(), inChild+"=1")
	var stderr bytes.Buffer
	command.Stderr = &stderr
	var exit *exec.ExitError
	require.True(t, errors.As(command.Run(), &exit))
	require.Equal(t, ExitCode, exit.ExitCode())
	require.Equal(t, "invariant mode_table: in this test\n", stderr.String())
}
