package responder

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The example file starts, fault commands have their effects and reject invalid values, and errors in a file name the
// key.
func TestFileAndFaultCommands(t *testing.T) {
	const example = "../../../deploy/lab/hall-a.toml"
	raw, err := os.ReadFile(example)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "zone.toml")
	read := func(text string) (*File, error) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return ReadFile(path)
	}
	f, err := read(strings.Replace(string(raw), "127.0.0.1:5300", "127.0.0.1:0", 1))
	require.NoError(t, err)
	r, err := f.Start()
	require.NoError(t, err)
	defer func() { _ = r.Close() }()
	require.Equal(t, []string{"old-1", "old-2"}, r.Zone.Labels("_engine._tcp"))
	require.NoError(t, r.Apply("withdraw", "", "old-1"))
	require.NoError(t, r.Apply("publish", "", "Зал Қ. 3"))
	require.Equal(t, []string{"old-2", "Зал Қ. 3"}, r.Zone.Labels("_engine._tcp"))
	require.NoError(t, r.Apply("split", "true"))
	require.NoError(t, r.Apply("withdraw", "", "old-2"))
	require.Equal(t, []string{"old-2", "Зал Қ. 3"}, r.faults.Load().SecondZone.Labels("_engine._tcp"))
	require.Equal(t, []string{"Зал Қ. 3"}, r.Zone.Labels("_engine._tcp"))
	require.NoError(t, r.Apply("split", "false"))
	require.Nil(t, r.faults.Load().SecondZone)
	require.NoError(t, r.Apply("loss", "0.1"))
	require.Equal(t, 0.1, r.faults.Load().Loss)
	for _, c := range [][]string{{"loss", "2"}, {"delay", "soon"}, {"mute", "maybe"}, {"dance", ""},
		{"withdraw", "", "box-9"}} {
		require.Error(t, r.Apply(c[0], c[1], c[2:]...), c)
	}
	for _, c := range []struct{ from, to, key string }{
		{`domain = "hall-a.example.org"`, "", "domain:"},
		{`address = "127.0.0.1:9001"`, `address = "box"`, "box[0].address:"},
		{`label = "old-2"`, `label = "old-1"`, "box[1].label:"},
		{`at = "30s"`, `at = "soon"`, "event[0].at:"},
		{`do = "loss"`, `do = "dance"`, "event[1].do:"},
		{`ttl = 120`, `age = 120`, "unknown key"},
		{`# key = "push.key"`, `key = "push.key"`, "certificate, key:"},
	} {
		require.Contains(t, string(raw), c.from)
		_, err := read(strings.Replace(string(raw), c.from, c.to, 1))
		require.ErrorContains(t, err, c.key)
	}
}
