package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

// The standing fleet test loads a library into the node: what the deploy file's build leaves must be linked against the
// C library, and run must end in one process.
func TestDeployedBuild(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	var deploy struct{ Build, Run string }
	require.NoError(t, toml.Unmarshal(raw, &deploy))
	require.Regexp(t, `^(trap '' HUP; )?exec [^;&|\s]+$`, deploy.Run, "a shell that stays is a second process")
	build := strings.ReplaceAll(deploy.Build, "mkdir -p bin && ", "")
	require.Contains(t, build, " -o bin/ ./cmd/...")
	program := filepath.Join(t.TempDir(), "standpoint")
	out, err := exec.Command("sh", "-c", "cd ../.. && "+strings.Replace(build, " -o bin/ ./cmd/...", " -o "+program+" ./cmd/standpoint", 1)).CombinedOutput()
	require.NoError(t, err, string(out))
	file, err := elf.Open(program)
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, strings.Join(libraries, " "), "libc.so")
	require.NotNil(t, file.Section(".comment"), "the C tool chain's linker leaves its name; Go's own does not")
}
