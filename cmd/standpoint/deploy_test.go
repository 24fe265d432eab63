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

// The build of the deploy file must produce a program that is linked dynamically against the C library, because the
// fleet test preloads a library into the node; and its run command must end up as a single process.
func TestDeployedBuild(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	var deploy struct{ Build, Run string }
	require.NoError(t, toml.Unmarshal(raw, &deploy))
	require.Regexp(t, `^(trap '' HUP; )?exec [^;&|\s]+$`, deploy.Run,
		"a shell that does not exec the program remains as a second process")
	build := strings.ReplaceAll(deploy.Build, "mkdir -p bin && ", "")
	require.Contains(t, build, " -o bin/ ./cmd/...")
	program := filepath.Join(t.TempDir(), "standpoint")
	out, err := exec.Command("sh", "-c", "cd ../.. && "+
		strings.Replace(build, " -o bin/ ./cmd/...", " -o "+program+" ./cmd/standpoint", 1)).CombinedOutput()
	require.NoError(t, err, string(out))
	file, err := elf.Open(program)
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, strings.Join(libraries, " "), "libc.so")
	require.NotNil(t, file.Section(".comment"), "the C tool chain's linker writes this section; Go's own linker does not")
}
