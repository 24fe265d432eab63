// Package release builds an earlier version of the program, from before the identifiers of the source were renamed, for
// tests that run it together with the current version. Only tests use it.
package release

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Commit is the commit from which the earlier version is built.
const Commit = "9cb399972a5c60b9fc543e6b5aa7a4a5bb4d0b3d"

// Program builds the program at Commit from the repository's history and returns the path of the executable. It skips
// the test in a clone whose history lacks Commit.
func Program(t testing.TB) string {
	t.Helper()
	root := runCommand(t, "", "git", "rev-parse", "--show-toplevel")
	if err := newCommand(root, "git", "cat-file", "-e", Commit).Run(); err != nil {
		t.Skipf("the history of this clone does not contain commit %s", Commit)
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
		Commit,
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
