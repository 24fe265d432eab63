package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// run runs a command line, and returns its standard output, its standard error and its exit code.
func run(args ...string) (out, errs string, code int) {
	var o, e bytes.Buffer
	code = Main(context.Background(), args, Streams{Out: &o, Err: &e})
	return o.String(), e.String(), code
}

// TestCheckPrintsEffectiveSettings checks that the output of check is itself an operator's file with the same
// settings, and that an error names the faulty key.
func TestCheckPrintsEffectiveSettings(t *testing.T) {
	out, _, code := run("check", "../../deploy/operator.toml")
	require.Zero(t, code)
	require.Contains(t, out, `max_attempts = 3`)
	require.Contains(t, out, `floor = 0.9`, "defaults are filled in")
	again := filepath.Join(t.TempDir(), "printed.toml")
	require.NoError(t, os.WriteFile(again, []byte(out), 0o600))
	twice, errs, code := run("check", again)
	require.Zero(t, code, errs)
	require.Equal(t, out, twice, "the printed file has the same effective settings")
	out, _, code = run("check", "../../deploy/operator.toml", "-o", "json")
	require.Zero(t, code)
	var printed map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &printed))
	require.Equal(t, "payroll-1", printed["name"])
	raw, err := os.ReadFile("../../deploy/operator.toml")
	require.NoError(t, err)
	bad := filepath.Join(t.TempDir(), "bad.toml")
	for from, key := range map[string]string{`worth = 2.0`: "class[0].worth:", `level = "info"`: "log.level:"} {
		to := map[string]string{`worth = 2.0`: `worth = -2.0`, `level = "info"`: `level = "loud"`}[from]
		require.NoError(t, os.WriteFile(bad, []byte(strings.Replace(string(raw), from, to, 1)), 0o600))
		_, errs, code := run("check", bad)
		require.Equal(t, InvalidUsage, code)
		require.Contains(t, errs, key)
	}
}

// TestFaultyCommandLines checks the exit codes and the errors of command lines that fail.
func TestFaultyCommandLines(t *testing.T) {
	for args, want := range map[string]struct {
		code      int
		wantError string
	}{
		"-config /nowhere":                    {InvalidUsage, "/nowhere"}, // the legacy form, without a sub-command
		"-config=/nowhere":                    {InvalidUsage, "/nowhere"},
		"serve --config /nowhere":             {InvalidUsage, "/nowhere"},
		"move start":                          {InvalidUsage, "--to"},
		"move status":                         {InvalidUsage, "--control"},
		"move status --control 127.0.0.1:1":   {Unreachable, "does not respond"},
		"move status --control unix:/nowhere": {Unreachable, "does not respond"},
		"version --output xml":                {InvalidUsage, "--output"},
		"version extra":                       {InvalidUsage, "extra"},
		"check":                               {InvalidUsage, "1 arg"},
		"move status --control a --token-file /nowhere": {InvalidUsage, "--token-file"},
		"version --loud": {InvalidUsage, "--loud"},
	} {
		_, errs, code := run(strings.Fields(args)...)
		require.Equal(t, want.code, code, "%s: %s", args, errs)
		require.Contains(t, errs, want.wantError, args)
	}
	out, _, code := run("version", "-o", "json")
	require.Zero(t, code)
	require.Contains(t, out, `"version"`)
	out, _, code = run("completion", "bash")
	require.Zero(t, code)
	require.Contains(t, out, "standpoint")
}
