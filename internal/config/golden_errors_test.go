package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer/golden"
)

// substitution makes an invalid file from a valid one: the first occurrence of from is replaced by to.
type substitution struct{ from, to string }

// operatorFaults lists invalid operator files by section, each as a substitution in the base file.
var operatorFaults = []struct {
	section, base string
	inputs        []substitution
}{
	{"file", minimalFile, []substitution{
		{`listen = "127.0.0.1:8443"`, `listen = `},
		{`listen = "127.0.0.1:8443"`, `listen = 8443`},
		{`worth = 1.0`, `weight = 1.0`},
		{`worth = 1.0`, `worth = nan`},
		{`amount = 10`, `amount = "ten"`},
		{`give_up = "5s"`, `give_up = "soon"`},
	}},
	{"addresses", fullFile, []substitution{
		{`listen = "127.0.0.1:8443"`, ``},
		{`listen = "127.0.0.1:8443"`, `listen = "10.0.0.1:8443"`},
		{`console = "127.0.0.1:9901"`, `console = "9901"`},
		{`console = "127.0.0.1:9901"`, `console = "0.0.0.0:9901"`},
		{`listen = "127.0.0.1:9701"`, `listen = "10.0.0.1:9701"`},
	}},
	{"limits", fullFile, []substitution{
		{`cores = 2.5`, `cores = -1.0`},
		{`memory_mb = 384`, `memory_mb = -1`},
		{`sockets = 2048`, `sockets = 127`},
	}},
	{"module", fullFile, []substitution{
		{`zone = "hall-b"` + "\nzones", `zone = "hall-c"` + "\nzones"},
		{`ordinal = 2`, `ordinal = 4`},
		{`ordinal = 2`, `ordinal = -1`},
		{`max_attempts = 2`, `max_attempts = 4`},
		{`cold_share = 0.17`, `cold_share = 1.5`},
		{`warm_up = "25s"`, `warm_up = "2h"`},
	}},
	{"log", fullFile, []substitution{
		{`level = "warn"`, `level = "loud"`},
		{`form = "console"`, `form = "xml"`},
	}},
	{"control", fullFile, []substitution{
		{`listen = "127.0.0.1:9801"`, `listen = "unix:"`},
		{`listen = "127.0.0.1:9801"`, `listen = "0.0.0.0:9801"`},
		{`token_file = "control.token"`, ``},
		{`listen = "127.0.0.1:9801"` + "\ntoken_file", `token_file`},
		{`listen = "127.0.0.1:9801"` + "\ntoken_file", `listen = "127.0.0.1:9809"` + "\ntoken_file"},
	}},
	{"pool", fullFile, []substitution{
		{`name = "old"`, ``},
		{`name = "new"`, `name = "old"`},
		{`select = 'version == "v1"'`, `select = 'version = "v1"'`},
		{`select = 'version == "v1"'`, `select = ''`},
		{`share = 1.0`, `share = 0.5`},
		{`share = 1.0`, `share = 1.5`},
	}},
	{"move", fullFile, []substitution{
		{`steps = [0.1, 0.6, 1.0]`, `steps = []`},
		{`steps = [0.1, 0.6, 1.0]`, `steps = [0.1, 0.6, 1.1]`},
		{`steps = [0.1, 0.6, 1.0]`, `steps = [0.1, 0.1, 1.0]`},
		{`trickle = 0.03`, `trickle = 0.2`},
		{`floor = 0.8`, `floor = 2.0`},
		{`first_token = 1.3`, `first_token = 0.5`},
		{`pace = 1.2`, `pace = 0.5`},
		{`errors = 0.02`, `errors = 0.6`},
		{`alarm = 20000.0`, `alarm = 1.0`},
		{`samples = 31`, `samples = -1`},
		{`on_worse = "stay"`, `on_worse = "pray"`},
		{`return_steps = 4`, `return_steps = 101`},
		{`hold = "21s"`, `hold = "1s"`},
		{`warm = "11s"`, `warm = "2h"`},
		{`stall = "6s"`, `stall = "-6s"`},
		{`return_every = "3s"`, `return_every = "10ms"`},
	}},
	{"class", fullFile, []substitution{
		{`name = "foreman-chat"` + "\nfirst_token", `first_token`},
		{`first_token = "2.5s"`, `first_token = "0s"`},
		{`give_up = "5s"`, `give_up = "1s"`},
		{`worth = 5.0`, `worth = -5.0`},
		{`name = "site-office"` + "\nshare", `share`},
	}},
	{"class-none", minimalFile, []substitution{
		{"[[class]]\nname = \"chat\"\nfirst_token = \"1s\"\ngive_up = \"5s\"\nworth = 1.0\n", ""},
	}},
	{"entries", fullFile, []substitution{
		{`source = "dns-sd"`, `source = "hosts"`},
		{`poll = "160ms"`, `poll = "1ms"`},
		{`refresh = "3s"`, `refresh = "100ms"`},
		{`guard_part = 0.4`, `guard_part = 7.0`},
		{`flap_half = "70s"`, `flap_half = "2h"`},
		{`flap_most = 4.0`, `flap_most = 0.5`},
		{`server = "127.0.0.1:5302"`, `server = "10.0.0.1:53"`},
		{`server = "127.0.0.1:5302"`, ``},
		{`service = "_engine._tcp"`, ``},
		{`service = "_engine._tcp"`, `service = "engine"`},
		{`domain = "hall-a.example.org"`, ``},
		{`domain = "hall-a.example.org"` + "\nsite = \"hall-a\"\nsubtype = \"_large\"",
			`domain = "HALL-b.example.org."`},
		{`site = "hall-a"`, `site = "hall-z"`},
		{`subtype = "_large"`, `subtype = "a.b"`},
		{`news = "push"`, `news = "pigeon"`},
		{`news = "push"`, `news = "poll"`},
		{`push = "127.0.0.1:5303"`, `push = "10.0.0.1:53"`},
		{"push = \"127.0.0.1:5303\"\npush_root = \"root.pem\"\n", ""},
		{"push_root = \"root.pem\"\n", ""},
	}},
	{"entries-one", fullFile, []substitution{
		{"[[entries.browse]]\nserver = \"127.0.0.1:5302\"\nservice = \"_engine._tcp\"\n" +
			"domain = \"hall-a.example.org\"\nsite = \"hall-a\"\nsubtype = \"_large\"\n" +
			"news = \"push\"\npush = \"127.0.0.1:5303\"\n" +
			"push_root = \"root.pem\"\npush_name = \"push.example.org\"\n\n" +
			"[[entries.browse]]\nserver = \"127.0.0.1:5304\"\nservice = \"_engine._tcp\"\n" +
			"domain = \"hall-b.example.org\"\n",
			"[[entries.browse]]\n" + strings.Repeat("[[entries.browse]]\n", maxBrowses)},
	}},
	{"real-server", fullFile, []substitution{
		{`name = "box-1"`, ``},
		{`mode = "batch"`, `mode = "tape"`},
		{`address = "127.0.0.1:9001"`, `address = "box"`},
		{`address = "127.0.0.1:9001"`, `address = "10.0.0.1:9001"`},
	}},
	{"real-server-none", minimalFile, []substitution{
		{"[[real_server]]\nname = \"box-1\"\naddress = \"127.0.0.1:9001\"\n", ""},
	}},
	{"nodes", fullFile, []substitution{
		{`server = "127.0.0.1:5305"`, ``},
		{`server = "127.0.0.1:5305"`, `server = "10.0.0.1:53"`},
		{`service = "_node._tcp"`, `service = "node"`},
		{`domain = "nodes.example.org"`, ``},
		{`lease = "33s"`, `lease = "1s"`},
		{`hold = "14s"`, `hold = "-1s"`},
	}},
	{"batch", fullFile, []substitution{
		{`lines_at_once = 9`, `lines_at_once = 999`},
		{`line_time = "70s"`, `line_time = "5ms"`},
		{`tries = 6`, `tries = 101`},
		{`file_mb = 17`, `file_mb = 65`},
		{`class = "foreman-chat"` + "\ntenant", `class = "gold"` + "\ntenant"},
		{`tenant = "site-office"` + "\nsession", `tenant = "gold"` + "\nsession"},
	}},
	{"store", fullFile, []substitution{
		{`kind = "raft"`, `kind = "etcd"`},
		{`id = "node-a"` + "\ndir", `id = "node-c"` + "\ndir"},
		{`id = "node-b"`, ``},
		{`address = "127.0.0.1:7002"`, `address = "10.0.0.1:7002"`},
		{`reach = "127.0.0.1:7102"`, `reach = "10.0.0.1:7102"`},
		{`control = "127.0.0.1:9802"`, `control = "10.0.0.1:9802"`},
		{`control = "127.0.0.1:9802"`, ``},
		{`heartbeat = "110ms"`, `heartbeat = "1ms"`},
	}},
	{"fleet", fullFile, []substitution{
		{`listen = "127.0.0.1:7301"` + "\ndir", `dir`},
		{`listen = "127.0.0.1:7301"` + "\ndir", `listen = "10.0.0.1:7301"` + "\ndir"},
		{`clock_error = "400ms"`, `clock_error = "1us"`},
		{`silence = "4s"`, `silence = "2h"`},
		{`join = "6s"`, `join = "-6s"`},
		{`settle = "1.5s"`, `settle = "2h"`},
		{`heal = "1.25s"`, `heal = "2h"`},
		{`beat = "240ms"`, `beat = "1ms"`},
		{`ask = "90ms"`, `ask = "1ms"`},
		{`lease = "9m"`, `lease = "1ms"`},
		{`lasts = "5.5s"`, `lasts = "1ms"`},
		{`own = "2.5s"`, `own = "2h"`},
		{`peers = 3`, `peers = 9`},
		{`sources = 3`, `sources = -1`},
		{`most = 0.6`, `most = 1.5`},
		{`many = 0.35`, `many = -0.5`},
		{`name = "node-b"`, ``},
		{`name = "node-b"`, `name = "node-a"`},
		{`address = "127.0.0.1:7302"`, `address = "7302"`},
		{`zone = "hall-b"` + "\nweight", `zone = "hall-z"` + "\nweight"},
		{`name = "node-a"` + "\nlisten", `name = "node-z"` + "\nlisten"},
		{"id = \"node-a\"\ndir", "id = \"node-b\"\ndir"},
		{`halls = ["node-a", "node-b"]`, `halls = ["node-a", "node-z"]`},
		{`halls = ["node-a", "node-b"]`, `halls = ["node-b"]`},
		{`overdraws = ["foreman-chat"]`, `overdraws = ["gold"]`},
	}},
	{"fleet-budget", fullFile, []substitution{
		{`kind = "tokens"`, `kind = "words"`},
		{`kind = "attempts"`, `kind = "tokens"`},
		{`tenant = "payroll-office"` + "\namount", `tenant = "gold"` + "\namount"},
		{`kind = "attempts"`, "kind = \"tokens\"\ntenant = \"payroll-office\""},
		{`amount = 1000`, `amount = -1`},
		{`overdraft = 100`, `overdraft = -1`},
		{`window = "2s"`, `window = "1ms"`},
		{`loan = 5`, `loan = -1`},
		{`weight = 3`, `weight = -3`},
		{"kind = \"places\"\ntenant = \"site-office\"", "kind = \"places\"\nwindow = \"10ms\""},
	}},
	{"fleet-alone", minimalFile, []substitution{
		{"[fleet]\nlisten = \"127.0.0.1:7301\"\n", "[fleet]\n"},
		{"[[fleet.budget]]\ntenant = \"office\"\namount = 10\n",
			"[[fleet.seat]]\nname = \"other\"\naddress = \"127.0.0.1:7302\"\n"},
		{"[[fleet.budget]]\ntenant = \"office\"\namount = 10\n",
			strings.Repeat("[[fleet.budget]]\ntenant = \"office\"\n", 65)},
		{"[fleet]\nlisten = \"127.0.0.1:7301\"\n\n" +
			"[[fleet.seat]]\nname = \"standpoint\"\naddress = \"127.0.0.1:7301\"\n\n" +
			"[[fleet.budget]]\ntenant = \"office\"\namount = 10\n", ""},
		{"[fleet]\nlisten = \"127.0.0.1:7301\"\n\n" +
			"[[fleet.seat]]\nname = \"standpoint\"\naddress = \"127.0.0.1:7301\"\n\n" +
			"[[fleet.budget]]\ntenant = \"office\"\namount = 10\n\n[[tool]]\nname = \"look_up\"\n", ""},
	}},
	{"tool", fullFile, []substitution{
		{`name = "look_up"`, ``},
		{`name = "look_up"`, "name = \"look_up\"\n[[tool]]\nname = \"look_up\""},
		{`does = "keep"`, `does = "dance"`},
		{`wait = "45s"`, `wait = "1ms"`},
		{`result_kb = 65`, `result_kb = 257`},
		{`class = "foreman-chat"` + "\n\n[sessions]", `class = "gold"` + "\n\n[sessions]"},
	}},
	{"sessions", fullFile, []substitution{
		{`most = 9000`, `most = 100001`},
		{`most_tenant = 4000`, `most_tenant = -1`},
		{`keep = "12m"`, `keep = "1ms"`},
		{`decode = "65s"`, `decode = "1s"`},
		{`resumes = 55.0`, `resumes = -1.0`},
	}},
	{"ledger", fullFile, []substitution{
		{`max_mb = 260`, `max_mb = -1`},
		{`every = "1.1s"`, `every = "1ms"`},
		{`rate = 2100.0`, `rate = 0.5`},
	}},
}

// TestGoldenOperatorErrors compares the error text for each fault of an operator's file with a golden file.
func TestGoldenOperatorErrors(t *testing.T) {
	for _, s := range operatorFaults {
		t.Run(s.section, func(t *testing.T) {
			base := operatorText(t, s.base)
			var messages strings.Builder
			for _, input := range s.inputs {
				require.Contains(t, base, input.from)
				_, err := ParseOperatorFile(strings.Replace(base, input.from, input.to, 1))
				require.Error(t, err, "%q", input.to)
				fmt.Fprintf(&messages, "%q in place of %q\n\t%s\n", truncate(input.to), truncate(input.from),
					strings.ReplaceAll(err.Error(), "\n", "\n\t"))
			}
			golden.Bytes(t, "errors/operator-"+s.section+".txt", []byte(messages.String()))
		})
	}
}

// truncate shortens a long text for the golden file.
func truncate(text string) string {
	const maxBytes = 120
	if len(text) > maxBytes {
		return text[:maxBytes] + "..."
	}
	return text
}

// TestGoldenRereadErrors compares the error texts for changes that a running process cannot apply with a golden file.
func TestGoldenRereadErrors(t *testing.T) {
	full := operatorText(t, fullFile)
	o, err := ParseOperatorFile(full)
	require.NoError(t, err)
	var messages strings.Builder
	for _, input := range []substitution{
		{`listen = "127.0.0.1:8443"`, `listen = "127.0.0.1:8449"`},
		{`console = "127.0.0.1:9901"`, `console = "127.0.0.1:9909"`},
		{`source = "dns-sd"`, `source = "list"`},
		{`lease = "33s"`, `lease = "34s"`},
		{`listen = "127.0.0.1:9701"`, `listen = "127.0.0.1:9709"`},
		{`tries = 6`, `tries = 7`},
		{`lines = 110`, `lines = 111`},
		{`heartbeat = "110ms"`, `heartbeat = "111ms"`},
		{`token_file = "control.token"`, `token_file = "other.token"`},
		{`beat = "240ms"`, `beat = "241ms"`},
		{`wait = "45s"`, `wait = "46s"`},
		{`keep = "12m"`, `keep = "13m"`},
		{`max_mb = 260`, `max_mb = 261`},
		{`zones = ["hall-a", "hall-b"]`, `zones = ["hall-a", "hall-b", "hall-c"]`},
		{`kinds = ["fast", "slow"]`, `kinds = ["fast"]`},
		{"[[pool]]\nname = \"old\"\nselect = 'version == \"v1\"'\nshare = 1.0\n\n" +
			"[[pool]]\nname = \"new\"\nselect = 'version == \"v2\"'\n", ""},
		{`name = "payroll-office"` + "\nshare", `name = "pay-office"` + "\nshare"},
	} {
		require.Contains(t, full, input.from)
		text := strings.Replace(full, input.from, input.to, 1)
		if strings.HasPrefix(input.from, `name = "payroll`) { // budgets refer to tenants by name
			text = strings.Replace(full, "payroll-office", "pay-office", -1)
			text = text[:strings.Index(text, "[[fleet.budget]]")] + full[strings.Index(full,
				"[[fleet.budget]]\nkind = \"attempts\""):]
		}
		unchanged, err := o.ReloadText(text)
		require.Error(t, err, input.to)
		require.Equal(t, o, unchanged)
		fmt.Fprintf(&messages, "%q\n\t%s\n", truncate(input.to), err)
	}
	minimal, err := ParseOperatorFile(operatorText(t, minimalFile))
	require.NoError(t, err)
	for _, input := range []substitution{
		{`listen = "127.0.0.1:8443"`, "name = \"other\"\nlisten = \"127.0.0.1:8443\""},
		{`name = "office"`, "name = \"office\"\n[[tenant]]\nname = \"site\""},
		{`name = "chat"`, `name = "talk"`},
		{`name = "office"`, ``},
	} {
		_, err := minimal.ReloadText(strings.Replace(operatorText(t, minimalFile), input.from, input.to, 1))
		require.Error(t, err)
		fmt.Fprintf(&messages, "%q\n\t%s\n", input.to, err)
	}
	_, err = o.ReloadFile("/nowhere/operator.toml")
	fmt.Fprintf(&messages, "no file\n\t%s\n", err)
	_, err = ReadOperatorFile("/nowhere/operator.toml")
	fmt.Fprintf(&messages, "no file at the start\n\t%s\n", err)
	golden.Bytes(t, "errors/operator-reread.txt", []byte(messages.String()))
}

// TestGoldenRootsErrors compares the error texts for unreadable root certificates with a golden file.
func TestGoldenRootsErrors(t *testing.T) {
	o, err := ParseOperatorFile(operatorText(t, fullFile))
	require.NoError(t, err)
	dir := t.TempDir()
	_, err = o.RootCertificates(dir, 0)
	require.Error(t, err)
	messages := err.Error() + "\n"
	require.NoError(t, os.WriteFile(filepath.Join(dir, "root.pem"), []byte("none"), 0o600))
	_, err = o.RootCertificates(dir, 0)
	require.Error(t, err)
	messages += err.Error() + "\n"
	golden.Bytes(t, "errors/operator-roots.txt", []byte(strings.ReplaceAll(messages, dir, "DIR")))
}

// TestGoldenPlatformErrors compares the error text for each fault of the platform's file and environment variables with
// a golden file.
func TestGoldenPlatformErrors(t *testing.T) {
	raw, err := os.ReadFile(golden.Path("platform.json"))
	require.NoError(t, err)
	valid := string(raw)
	var messages strings.Builder
	for _, input := range []substitution{
		{`{`, ``},
		{`"name": "n3"`, `"name": ""`},
		{`"listen": "127.0.0.4:8443"`, `"listen": "8443"`},
		{`"discovery": "127.2.0.1:8500"`, `"discovery": "nowhere"`},
		{`"console": "127.0.0.4:9901"`, `"console": "x"`},
		{`"seed": "0c1f30d27a5be964"`, `"seed": "xyz"`},
		{`"cores": 1.5`, `"cores": -1`},
		{`"cores": 1.5`, `"cores": "many"`},
		{`"memory_mb": 160`, `"memory_mb": -1`},
		{`"sockets": 512`, `"sockets": 3`},
		{`"settings"`, `"ignored"`},
		{`"settings": {`, `"settings": 7, "ignored": {`},
		{`"classes"`, `"ignored"`},
		{`"onTime": 32`, `"onTime": -32`},
		{`"hardLimit": 34`, `"hardLimit": -34`},
		{`"window": 31`, `"window": -31`},
		{`"worth": 2.5`, `"worth": -2.5`},
		{`"lateWorth": 0.5`, `"lateWorth": -0.5`},
		{`"tokenAim": [33`, `"tokenAim": [-33`},
		{`"aimUsPer1000PromptTokens": [1.5`, `"aimUsPer1000PromptTokens": [-1.5`},
		{`"balancers": 4`, `"balancers": -4`},
		{`"period": 2000002`, `"period": -1`},
		{`"sendCap": 3`, `"sendCap": -3`},
		{`"maxRetryAfter": 2000000001`, `"maxRetryAfter": -1`},
		{`"warmUp": 20000005`, `"warmUp": -1`},
		{`"fall": 3000006`, `"fall": -1`},
		{`"askWithin": 10000003`, `"askWithin": -1`},
		{`"stopSendingWithin": 500004`, `"stopSendingWithin": -1`},
		{`"startCapacity": 0.13`, `"startCapacity": 1.5`},
		{`"overloadFactor": 4.5`, `"overloadFactor": -1`},
	} {
		require.Contains(t, valid, input.from)
		_, err := parsePlatform([]byte(strings.Replace(valid, input.from, input.to, 1)), noVariables)
		require.Error(t, err, input.to)
		fmt.Fprintf(&messages, "%q in place of %q\n\t%s\n", input.to, input.from, err)
	}
	for _, fd := range []string{"x", "2"} {
		_, err := parsePlatform(raw, func(key string) string {
			return map[string]string{"PROXY_SOCKET_FD": fd}[key]
		})
		require.Error(t, err)
		fmt.Fprintf(&messages, "PROXY_SOCKET_FD=%s\n\t%s\n", fd, err)
	}
	_, err = ReadPlatform(noVariables)
	fmt.Fprintf(&messages, "without PROXY_CONFIG\n\t%s\n", err)
	_, err = ReadPlatform(func(string) string { return "/nowhere/config.json" })
	fmt.Fprintf(&messages, "no file\n\t%s\n", err)
	p, err := parsePlatform(raw, noVariables)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := func(key string) string { return map[string]string{"PROXY_CONFIG": path}[key] }
	for _, input := range []substitution{
		{`"name": "n3"`, `"name": "n4"`},
		{`"listen": "127.0.0.4:8443"`, `"listen": "127.0.0.4:8444"`},
		{`"console": "127.0.0.4:9901"`, `"console": "127.0.0.4:9902"`},
	} {
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(valid, input.from, input.to, 1)), 0o600))
		_, err := p.Reload(getenv)
		require.Error(t, err)
		fmt.Fprintf(&messages, "read again with %q\n\t%s\n", input.to, err)
	}
	golden.Bytes(t, "errors/platform.txt", []byte(messages.String()))
}
