package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// readOperatorText writes the text to a file and reads that with ReadOperatorFile.
func readOperatorText(t *testing.T, text string) (OperatorFile, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return ReadOperatorFile(path)
}

// TestOperatorFileNamesFaultyKeys checks that the file in deploy/ is valid, and that the error for each fault in it
// names the key.
func TestOperatorFileNamesFaultyKeys(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	require.NoError(t, err)
	valid := string(raw)
	read := func(text string) (OperatorFile, error) { return readOperatorText(t, text) }
	o, err := read(valid)
	require.NoError(t, err)
	require.True(t, o.Settings.Cancel)
	require.Equal(t, []string{"sheet-import", "foreman-chat"}, o.Names.Classes)
	o, err = read(valid + "\n[[real_server]]\nname = \"files-1\"\naddress = \"127.0.0.1:9002\"\nmode = \"batch\"\n")
	require.NoError(t, err)
	require.False(t, o.Settings.Cancel, "a line in a file cannot be cancelled")
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
		require.Contains(t, valid, c.from)
		_, err := read(strings.Replace(valid, c.from, c.to, 1))
		require.ErrorContains(t, err, c.key)
	}
}

// TestSectionsNameFaultyKeys checks the defaults of pools and migrations, and that the error for each fault in a
// section names the key.
func TestSectionsNameFaultyKeys(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	require.NoError(t, err)
	const pools = "[[pool]]\nname = \"old\"\nselect = 'version == \"v1\"'\n" +
		"[[pool]]\nname = \"new\"\nselect = 'version == \"v2\"'\n"
	const raftStore = "[store]\nkind = \"raft\"\nid = \"a\"\n" +
		"[[store.member]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\ncontrol = \"127.0.0.1:3\"\n" +
		"[[store.member]]\nid = \"b\"\naddress = \"127.0.0.1:2\"\ncontrol = \"127.0.0.1:4\"\n"
	const control = "[control]\nlisten = \"127.0.0.1:3\"\ntoken_file = \"t\"\n"
	singleNode := string(raw)
	const browse = "[[entries.browse]]\nserver = \"127.0.0.1:53\"\nservice = \"_engine._tcp\"\n" +
		"domain = \"hall-a.test\"\n"
	dnssd := strings.Replace(singleNode, "[entries]\nsource = \"list\"\n", "", 1) + "[entries]\nsource = \"dns-sd\"\n"
	replicated := singleNode[:strings.Index(singleNode, "[store]")] + raftStore
	read := func(text string) (OperatorFile, error) { return readOperatorText(t, text) }
	o, err := read(replicated + pools + control + "[move]\nsteps = [0.01, 1.0]\nhold = \"40s\"\n")
	require.NoError(t, err)
	require.Equal(t, 2, o.PoolSet.Len())
	require.Equal(t, []float64{0.01, 1}, o.MigrationPlan.Steps)
	require.Equal(t, 0.01, o.MigrationPlan.WarmUpShare, "at most the first step")
	require.Equal(t, 0.9, o.MigrationPlan.OnTimeFloor)
	for _, c := range []struct{ text, key string }{
		{singleNode + "[[pool]]\nname = \"old\"\nselect = 'version = \"v1\"'\n", "pool[0].select: column 9:"},
		{singleNode + "[[pool]]\nselect = 'true'\n", "pool[0].name:"},
		{singleNode + pools + "share = 0.5\n", "pool[1].share:"},
		{singleNode + "[move]\nfloor = 2.0\n", "move.floor:"},
		{singleNode + "[move]\nsteps = [0.5, 0.4]\n", "move.steps[1]:"},
		{singleNode + "[move]\non_worse = \"pray\"\n", "move.on_worse:"},
		{singleNode + "[control]\nlisten = \"0.0.0.0:1\"\n", "control.listen:"},
		{singleNode + "[control]\nlisten = \"127.0.0.1:1\"\n", "control.token_file:"},
		{singleNode + "[control]\nlisten = \"unix:\"\n", "control.listen:"},
		{strings.Replace(singleNode, `level = "info"`, `level = "loud"`, 1), "log.level:"},
		{strings.Replace(singleNode, `form = "json"`, `form = "xml"`, 1), "log.form:"},
		{singleNode + "[move]\nwarm = \"2h\"\n", "move.warm:"},
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
		{singleNode + "[nodes]\npublish = true\n", "nodes.server:"},
		{singleNode + "[nodes]\nserver = \"127.0.0.1:53\"\n", "nodes.domain:"},
		{singleNode + "[nodes]\nserver = \"127.0.0.1:53\"\ndomain = \"a.test\"\nlease = \"1s\"\n", "nodes.lease:"},
		{"console = \"0.0.0.0:9\"\n" + singleNode, "console:"},
		{singleNode + "[metrics]\nlisten = \"0.0.0.0:9\"\n", "metrics.listen:"},
		{dnssd, "entries.server:"},
		{replicated + pools, "control.listen:"},
		{strings.Replace(replicated, "control = \"127.0.0.1:4\"\n", "", 1) + pools + control, "store.member[1].control:"},
		{strings.Replace(replicated, "control = \"127.0.0.1:3\"\n", "control = \"127.0.0.1:9\"\n", 1) + pools +
			control, "store.member[0].control:"},
	} {
		_, err := read(c.text)
		require.ErrorContains(t, err, c.key)
	}
}

// TestKeyError checks that callers can find the faulty key in a typed error, without parsing the message.
func TestKeyError(t *testing.T) {
	_, err := ParseOperatorFile(strings.Replace(operatorText(t, fullFile), `give_up = "5s"`, `give_up = "1s"`, 1))
	var invalid *KeyError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, KeyError{Key: "class[1].give_up", Reason: "shorter than first_token"}, *invalid)
	_, err = ReadPlatform(noVariables)
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "PROXY_CONFIG", invalid.Key)
}

// TestNonFiniteNumbersAreRejected checks that NaN and infinite numbers, which TOML permits, are rejected with their
// key. NaN passes range checks that use < and >.
func TestNonFiniteNumbersAreRejected(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	require.NoError(t, err)
	for _, number := range []string{"nan", "inf", "-inf"} {
		_, err = ParseOperatorFile(strings.Replace(string(raw), "worth = 2.0", "worth = "+number, 1))
		require.ErrorContains(t, err, "class[0].worth: not a finite number")
	}
}
