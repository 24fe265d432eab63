// Package release builds an earlier version of the program, from before the identifiers of the source were renamed, for
// tests that run it together with the current version. Only tests use it.
package release

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Commits from which earlier versions are built.
const (
	// Commit passes streams in one phase, and without the tenant.
	Commit = "9cb399972a5c60b9fc543e6b5aa7a4a5bb4d0b3d"
	// WithoutTimes passes streams in two phases, and without the time of the last event.
	WithoutTimes = "e9788744ae40e1e33e2cfcf1a63d1ea69f505daa"
)

// Program builds the program at Commit. See ProgramAt.
func Program(t testing.TB) string {
	t.Helper()
	return ProgramAt(t, Commit)
}

// ProgramAt builds the program at a commit of the repository's history and returns the path of the executable. It skips
// the test in a clone whose history lacks the commit.
func ProgramAt(t testing.TB, commit string) string {
	t.Helper()
	root := runCommand(t, "", "git", "rev-parse", "--show-toplevel")
	if err := newCommand(root, "git", "cat-file", "-e", commit).Run(); err != nil {
		t.Skipf("the history of this clone does not contain commit %s", commit)
	}
	dir := t.TempDir()
	archive := filepath.Join(dir, "source.tar")
	runCommand(
		t,
		root,
		"git",
		"archive",
		"--format=tar",
		"--output="+archive,
		commit,
		"--",
		"go.mod",
		"go.sum",
		"*.go",
		"cmd",
		"internal",
	)
	runCommand(t, dir, "tar", "-xf", archive)
	program := filepath.Join(dir, "standpoint-before")
	runCommand(t, dir, "go", "build", "-trimpath", "-o", program, "./cmd/standpoint")
	return program
}

func newCommand(dir, name string, args ...string) *exec.Cmd {
	c := exec.Command(name, args...)
	c.Dir = dir
	return c
}

// runCommand runs a command, which must succeed, and returns its output without a final newline.
func runCommand(t testing.TB, dir, name string, args ...string) string {
	t.Helper()
	out, err := newCommand(dir, name, args...).CombinedOutput()
	require.NoError(t, err, string(out))
	if n := len(out); n > 0 && out[n-1] == '\n' {
		out = out[:n-1]
	}
	return string(out)
}
