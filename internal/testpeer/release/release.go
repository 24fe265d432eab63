// Package release builds the program as it was before the names of the tree were made readable, for tests that run it
// beside the present one. It is for tests alone.
package release

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Commit is what the earlier program is built from.
const Commit = "9cb399972a5c60b9fc543e6b5aa7a4a5bb4d0b3d"

// Program builds the program of Commit from the repository's history and returns its path. A clone without that
// history skips the test.
func Program(t testing.TB) string {
	t.Helper()
	root := output(t, "", "git", "rev-parse", "--show-toplevel")
	if err := command(root, "git", "cat-file", "-e", Commit).Run(); err != nil {
		t.Skipf("the history of this clone does not reach back to %s", Commit)
	}
	dir := t.TempDir()
	archive := filepath.Join(dir, "source.tar")
	output(
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
	output(t, dir, "tar", "-xf", archive)
	program := filepath.Join(dir, "standpoint-before")
	output(t, dir, "go", "build", "-trimpath", "-o", program, "./cmd/standpoint")
	return program
}

func command(dir, name string, args ...string) *exec.Cmd {
	c := exec.Command(name, args...)
	c.Dir = dir
	return c
}

// output runs a command that has to succeed and returns what it printed, without the line's end.
func output(t testing.TB, dir, name string, args ...string) string {
	t.Helper()
	out, err := command(dir, name, args...).CombinedOutput()
	require.NoError(t, err, string(out))
	if n := len(out); n > 0 && out[n-1] == '\n' {
		out = out[:n-1]
	}
	return string(out)
}
