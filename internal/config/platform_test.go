package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// platformText is a valid platform file.
const platformText = `{"name":"n3","listen":"127.0.0.4:8443","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{"classes":[{"name":"chat","semantics":"safe"}],
	"limits":{"connIdle":15000000000,"sendCap":3}}}`

// noVariables is an environment without variables.
func noVariables(string) string { return "" }

// TestParsePlatform checks that environment variables override the file, that missing keys get their defaults, and that
// errors name the key.
func TestParsePlatform(t *testing.T) {
	p, err := parsePlatform([]byte(platformText), func(key string) string {
		return map[string]string{"PROXY_LISTEN": "127.0.0.9:8443"}[key]
	})
	require.NoError(t, err)
	require.Equal(t, "127.0.0.9:8443", p.Listen, "the variable overrides the file")
	require.Equal(t, 3, p.Settings.MaxAttempts)
	require.Equal(t, []string{"chat"}, p.Names.Classes)
	require.Equal(t, defaultDialTimeout, p.Names.DialTimeout)
	for fault, key := range map[string]string{
		strings.Replace(platformText, "8c1f30d27a5be964", "xyz", 1):                     "seed:",
		strings.Replace(platformText, "127.2.0.1:8500", "nowhere", 1):                   "discovery:",
		strings.Replace(platformText, `"name":"n3"`, `"name":"n3","console":"x"`, 1):    "console:",
		strings.Replace(platformText, `"memory_mb":192`, `"memory_mb":-1`, 1):           "limits.memory_mb:",
		strings.Replace(platformText, `"sockets":1024`, `"sockets":3`, 1):               "limits.sockets:",
		strings.Replace(platformText, `{"name":"chat","semantics":"safe"}`, ``, 1):      "settings.classes:",
		strings.Replace(platformText, `"cores":1.0`, `"cores":"many"`, 1):               "limits.cores",
		strings.Replace(platformText, `"name":"n3",`, ``, 1):                            "name:",
		strings.Replace(platformText, `"connIdle":15000000000`, `"connIdle":"long"`, 1): "limits.connIdle",
	} {
		_, err := parsePlatform([]byte(fault), noVariables)
		require.ErrorContains(t, err, key)
	}
	_, err = ReadPlatform(noVariables)
	require.ErrorContains(t, err, "PROXY_CONFIG:")
}

// TestPlatformReload checks that a reload takes the discovery address from the file and not from the environment
// variable, whose value is that of the process's start. It also checks that the name and the listeners cannot change,
// and that an invalid file leaves the configuration unchanged.
func TestPlatformReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	getenv := func(key string) string {
		return map[string]string{"PROXY_CONFIG": path, "PROXY_DISCOVERY": "127.2.0.1:8500"}[key]
	}
	write(platformText)
	first, err := ReadPlatform(getenv)
	require.NoError(t, err)
	write(strings.NewReplacer("127.2.0.1:8500", "127.2.0.9:8501", `"memory_mb":192`,
		`"memory_mb":64`).Replace(platformText))
	next, err := first.Reload(getenv)
	require.NoError(t, err)
	require.Equal(t, "127.2.0.9:8501", next.Discovery)
	require.Equal(t, 64, next.Limits.MemoryMB)
	for fault, key := range map[string]string{
		strings.Replace(platformText, "127.0.0.4:8443", "127.0.0.5:8443", 1): "listen:",
		strings.Replace(platformText, `"n3"`, `"n4"`, 1):                     "name:",
		strings.Replace(platformText, `"n3"`, `"n3","console":"a:1"`, 1):     "console:",
		strings.Replace(platformText, "127.2.0.1:8500", "nowhere", 1):        "discovery:",
		"{": "configuration file:",
	} {
		write(fault)
		unchanged, err := next.Reload(getenv)
		require.ErrorContains(t, err, key)
		require.Equal(t, next, unchanged)
	}
}
