package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// readOperatorText reads a file of this text.
func readOperatorText(t *testing.T, text string) (OperatorFile, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return ReadOperatorFile(path)
}

// The file in deploy/ is read as it stands, and each fault made in it is named by its key.
func TestOperatorFileNamesFaultyKeys(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	require.NoError(t, err)
	good := string(raw)
	read := func(text string) (OperatorFile, error) { return readOperatorText(t, text) }
	o, err := read(good)
	require.NoError(t, err)
	require.True(t, o.Settings.Cancel)
	require.Equal(t, []string{"sheet-import", "foreman-chat"}, o.Names.Classes)
	o, err = read(good + "\n[[real_server]]\nname = \"files-1\"\naddress = \"127.0.0.1:9002\"\nmode = \"batch\"\n")
	require.NoError(t, err)
	require.False(t, o.Settings.Cancel, "a line in a file cannot be called back")
	for _, c := range []struct{ from, to, key string }{
		{`listen = "127.0.0.1:8443"`, `listen = "10.0.0.1:8443"`, "listen:"},
		{`first_token = "2.5s"`, `first_token = "0s"`, "class[0].first_token:"},
		{`give_up = "5s"`, `give_up = "1s"`, "class[1].give_up:"},
		{`zone = "hall-a"` + "\nkinds", `zone = "hall-c"` + "\nkinds", "module.zone:"},
		{`max_attempts = 3`, `max_attempts = 9`, "module.max_attempts:"},
		{`source = "list"`, `source = "hosts"`, "entries.source:"},
		{`source = "list"`, `source = "dns-sd"`, "entries.server:"},
		{`address = "127.0.0.1:9001"`, `address = "box"`, "real_server[0].address:"},
		{`class = "sheet-import"`, `class = "gold"`, "batch.defaults.class:"},
		{`lines_at_once = 8`, `lines_at_once = 999`, "batch.lines_at_once:"},
		{`line_time = "60s"`, `line_time = "5ms"`, "batch.line_time:"},
		{`line_time = "60s"`, `line_time = "soon"`, "batch.line_time"},
		{`kind = "memory"`, `kind = "etcd"`, "store.kind:"},
		{`kind = "memory"`, `kind = "raft"`, "store.id:"},
		{`file_mb = 16`, `file_size = 16`, "batch.file_size: unknown key"},
	} {
		require.Contains(t, good, c.from)
		_, err := read(strings.Replace(good, c.from, c.to, 1))
		require.ErrorContains(t, err, c.key)
	}
}

// Pools, migrations, the log, the control interface and discovery: completed, and each fault named by its key.
func TestSectionsNameFaultyKeys(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	require.NoError(t, err)
	const pools = "[[pool]]\nname = \"old\"\nselect = 'version == \"v1\"'\n[[pool]]\nname = \"new\"\nselect = 'version == \"v2\"'\n"
	const group = "[store]\nkind = \"raft\"\nid = \"a\"\n[[store.member]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\ncontrol = \"127.0.0.1:3\"\n" +
		"[[store.member]]\nid = \"b\"\naddress = \"127.0.0.1:2\"\ncontrol = \"127.0.0.1:4\"\n"
	const control = "[control]\nlisten = \"127.0.0.1:3\"\ntoken_file = \"t\"\n"
	alone := string(raw)
	const browse = "[[entries.browse]]\nserver = \"127.0.0.1:53\"\nservice = \"_engine._tcp\"\ndomain = \"hall-a.test\"\n"
	dnssd := strings.Replace(alone, "[entries]\nsource = \"list\"\n", "", 1) + "[entries]\nsource = \"dns-sd\"\n"
	together := alone[:strings.Index(alone, "[store]")] + group
	read := func(text string) (OperatorFile, error) { return readOperatorText(t, text) }
	o, err := read(together + pools + control + "[move]\nsteps = [0.01, 1.0]\nhold = \"40s\"\n")
	require.NoError(t, err)
	require.Equal(t, 2, o.PoolSet.Len())
	require.Equal(t, []float64{0.01, 1}, o.MigrationPlan.Steps)
	require.Equal(t, 0.01, o.MigrationPlan.WarmUpShare, "no more than the first step")
	require.Equal(t, 0.9, o.MigrationPlan.OnTimeFloor)
	for _, c := range []struct{ text, key string }{
		{alone + "[[pool]]\nname = \"old\"\nselect = 'version = \"v1\"'\n", "pool[0].select: column 9:"},
		{alone + "[[pool]]\nselect = 'true'\n", "pool[0].name:"},
		{alone + pools + "share = 0.5\n", "pool[1].share:"},
		{alone + "[move]\nfloor = 2.0\n", "move.floor:"},
		{alone + "[move]\nsteps = [0.5, 0.4]\n", "move.steps[1]:"},
		{alone + "[move]\non_worse = \"pray\"\n", "move.on_worse:"},
		{alone + "[control]\nlisten = \"0.0.0.0:1\"\n", "control.listen:"},
		{alone + "[control]\nlisten = \"127.0.0.1:1\"\n", "control.token_file:"},
		{alone + "[control]\nlisten = \"unix:\"\n", "control.listen:"},
		{strings.Replace(alone, `level = "info"`, `level = "loud"`, 1), "log.level:"},
		{strings.Replace(alone, `form = "json"`, `form = "xml"`, 1), "log.form:"},
		{alone + "[move]\nwarm = \"2h\"\n", "move.warm:"},
		{dnssd + "[[entries.browse]]\nserver = \"127.0.0.1:53\"\ndomain = \"a.test\"\n", "entries.browse[0].service:"},
		{dnssd + browse + browse, "entries.browse[1].domain:"},
		{dnssd + browse + "site = \"hall-z\"\n", "entries.browse[0].site:"},
		{dnssd + "poll = \"1ms\"\n" + browse, "entries.poll:"},
		{dnssd + "guard_part = 7.0\n" + browse, "entries.guard_part:"},
		{dnssd + "refresh = \"50ms\"\n" + browse, "entries.refresh:"},
		{dnssd + "flap_half = \"2h\"\n" + browse, "entries.flap_half:"},
		{dnssd + "flap_most = 0.5\n" + browse, "entries.flap_most:"},
		{dnssd + browse + "news = \"pigeon\"\n", "entries.browse[0].news:"},
		{dnssd + browse + "news = \"push\"\n", "entries.browse[0].push_root:"},
		{dnssd + browse + "push = \"10.0.0.1:53\"\n", "entries.browse[0].push:"},
		{dnssd + browse + "news = \"mdns\"\npush = \"127.0.0.1:53\"\n", "entries.browse[0].push:"},
		{dnssd + browse + "subtype = \"a.b\"\n", "entries.browse[0].subtype:"},
		{dnssd + strings.Replace(browse, "_engine._tcp", "engine", 1), "entries.browse[0].service:"},
		{alone + "[nodes]\npublish = true\n", "nodes.server:"},
		{alone + "[nodes]\nserver = \"127.0.0.1:53\"\n", "nodes.domain:"},
		{alone + "[nodes]\nserver = \"127.0.0.1:53\"\ndomain = \"a.test\"\nlease = \"1s\"\n", "nodes.lease:"},
		{"console = \"0.0.0.0:9\"\n" + alone, "console:"},
		{alone + "[metrics]\nlisten = \"0.0.0.0:9\"\n", "metrics.listen:"},
		{dnssd, "entries.server:"},
		{together + pools, "control.listen:"},
		{strings.Replace(together, "control = \"127.0.0.1:4\"\n", "", 1) + pools + control, "store.member[1].control:"},
		{strings.Replace(together, "control = \"127.0.0.1:3\"\n", "control = \"127.0.0.1:9\"\n", 1) + pools +
			control, "store.member[0].control:"},
	} {
		_, err := read(c.text)
		require.ErrorContains(t, err, c.key)
	}
}

// A faulty key is told by a typed error, which a caller finds without reading the message.
func TestKeyError(t *testing.T) {
	_, err := ParseOperatorFile(strings.Replace(operatorText(t, fullFile), `give_up = "5s"`, `give_up = "1s"`, 1))
	var invalid *KeyError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, KeyError{Key: "class[1].give_up", Reason: "shorter than first_token"}, *invalid)
	_, err = ReadPlatform(none)
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "PROXY_CONFIG", invalid.Key)
}

// TOML has numbers that pass every range check; they are rejected by their key.
func TestNonFiniteNumbersAreRejected(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	require.NoError(t, err)
	for _, number := range []string{"nan", "inf", "-inf"} {
		_, err = ParseOperatorFile(strings.Replace(string(raw), "worth = 2.0", "worth = "+number, 1))
		require.ErrorContains(t, err, "class[0].worth: not a finite number")
	}
}
