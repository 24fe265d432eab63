package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/control"
	"standpoint/internal/daemon"
	"standpoint/internal/endpoints"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/counter"
	"standpoint/internal/fleet/ledger"
	"standpoint/internal/fleet/ledger/replication"
	"standpoint/internal/fleet/quota"
	"standpoint/internal/migration"
	"standpoint/internal/migration/controller"
	"standpoint/internal/peers"
	"standpoint/internal/pool"
	"standpoint/internal/settings"
	"standpoint/internal/testpeer/golden"
)

const goldenToken = "0123456789abcdef0123"

// fixedEnvironment sets the environment so that the defaults of flags are the same on every machine.
func fixedEnvironment(t *testing.T) {
	t.Helper()
	t.Setenv("STANDPOINT_CONFIG", "")
	t.Setenv("STANDPOINT_CONTROL", "")
	t.Setenv("USER", "operator")
}

// commandPaths returns the words of each command below c, whose own words are path.
func commandPaths(c *cobra.Command, path []string) [][]string {
	paths := [][]string{path}
	for _, sub := range c.Commands() {
		paths = append(paths, commandPaths(sub, append(append([]string{}, path...), sub.Name()))...)
	}
	return paths
}

// TestGoldenHelp compares the name, the flags with their defaults, and the help of every command with a golden file.
func TestGoldenHelp(t *testing.T) {
	fixedEnvironment(t)
	var text strings.Builder
	for _, path := range commandPaths(newRoot(Streams{}), nil) {
		if len(path) == 1 && (path[0] == "lab" || path[0] == "load") {
			continue // their flags are those of the laboratory's program
		}
		out, errs, code := run(append(path, "--help")...)
		require.Equal(t, OK, code, "%s: %s", path, errs)
		fmt.Fprintf(&text, "==== standpoint %s\n%s\n", strings.Join(path, " "), out)
	}
	golden.Bytes(t, "help.txt", []byte(text.String()))
}

// TestGoldenCompletion compares the suggestions of shell completion with a golden file.
func TestGoldenCompletion(t *testing.T) {
	fixedEnvironment(t)
	var text strings.Builder
	for _, args := range []string{"|", "move |", "config |", "entries |", "ledger |", "lab|", "--output |", "serve --|",
		"--config |", "move start --on-worse |", "move start --|", "config set --|"} {
		words := strings.Split(strings.TrimSuffix(args, "|"), " ")
		out, _, code := run(append([]string{"__complete"}, words...)...)
		require.Equal(t, OK, code)
		fmt.Fprintf(&text, "==== standpoint %s\n%s", args, out)
	}
	golden.Bytes(t, "completion.txt", []byte(text.String()))
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		out, _, code := run("completion", shell)
		require.Equal(t, OK, code)
		require.Contains(t, out, "standpoint")
	}
}

func goldenRecord() migration.Record {
	at := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	r := migration.Record{ID: "m-7", By: "kim", Note: "build 118", State: migration.Holding, Paused: true,
		Reason: "hold: 4 s more", Step: 1, Version: 9,
		Plan: migration.Plan{From: "old", To: "new", Steps: []float64{0.1, 0.6, 1}, WarmUpShare: 0.03,
			MinWarmUp: 11 * time.Second, MinHold: 21 * time.Second, MinSamples: 31,
			OnTimeFloor: 0.8, FirstTokenFactor: 1.3, TokenGapFactor: 1.2, ErrorAllowance: 0.02,
			MaxToleratedStall: 6 * time.Second, FalseAlarmWindows: 20000,
			OnWorse: migration.Return, ReturnSteps: 4,
			ReturnEvery: 3 * time.Second, ColdCapacityFraction: 0.17, SlowStart: 25 * time.Second, CollapseFactor: 4},
		Shares:  pool.Shares{Moved: map[string]string{"older": "old"}, From: "old", To: "new", Share: 0.6},
		Started: at, Changed: at.Add(90 * time.Second),
		Events: []migration.Event{{At: at, State: migration.Warming, Share: 0.03, Text: "begun"},
			{At: at.Add(30 * time.Second), State: migration.Halted, Share: 0.6, Text: "late"}},
		BaseMoved: map[string]string{"older": "old"}, FromCapacity: 3.5, StateWindows: 41, ShareWindows: 42,
		StepRequests: [2]int{43, 44}, StepWeight: [2]float64{4.5, 4.6}, ReturnFromShare: 0.47, Cause: "late"}
	r.LongTerm[0].Bad, r.LongTerm[0].Total = 1.5, 2.5
	return r
}

func goldenMigration() controller.Status {
	r := goldenRecord()
	return controller.Status{Node: "node-a", Leads: true, Leader: "node-b", Version: 9, Migration: &r, Evidence: 0.25,
		Nodes: []controller.NodeStatus{{Name: "node-a", Version: 9, Age: 0.5},
			{Name: "node-b", Version: 8, Age: 1.5, Lagging: true}}}
}

func goldenFleet() fleet.Status {
	return fleet.Status{Slot: "node-a", Incarnation: 3, State: "together", SiteState: "trusting", StateAge: 61.5,
		RateFactor: 0.75, LeaseRemaining: 540, FencingToken: 12, Leader: "127.0.0.1:7001",
		Peers: []fleet.PeerStatus{{Slot: "node-b", Listed: true, Alive: true, ReportAge: 0.25, Incarnation: 5,
			Tokens: 700}, {Slot: "node-c", ReportAge: -1}},
		Budgets: []quota.Usage{{Budget: "tokens/office", Window: 88, Quota: 1001, Spent: 102, BaseQuota: 1003,
			Lent: 104, Borrowed: 105, Demand: 106.5, Debt: 107, LentTransfers: 8,
			BorrowedTransfers: 9, FencingToken: 10, LeaseValidFrom: 11, LeaseExpiresAt: 12}},
		Counters: map[string]counter.Reading{"requests": {Lower: 21, Upper: 22, Age: 2300000000, Reported: 24,
			Unreported: 25}},
		LiveMembers: counter.Reading{Lower: 31, Upper: 32, Age: 33, Reported: 34,
			Unreported: 35}, SuspectBackends: []string{"box-1"}, RejectedRequests: 41, SentBytes: 42,
		DroppedMessages: 43,
		Violations:      map[string]uint64{"rights": 44}}
}

func goldenLedger() replication.Status {
	return replication.Status{Slot: "node-a", Incarnation: 3, Entries: 51, Bytes: 52,
		Totals: map[string]ledger.Totals{"office": {Entries: 61, InputTokens: 62, CachedTokens: 63,
			OutputTokens: 64}}, Sources: 53,
		Charged: 54, Received: 55, Dropped: 56, Queued: 57, Unfetched: 58, SyncedSecondsAgo: 5.5, Consistent: true,
		Corruptions: []string{"000001.seg, byte 16: a checksum that does not fit"}}
}

func goldenEntries() []endpoints.Origin {
	at := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	return []endpoints.Origin{
		{Name: "box-1", Instance: "box-1._engine._tcp.hall-a.test", Server: "127.0.0.1:53", Mechanism: "push",
			Address: "127.0.0.1:9001", State: "ready", StartedAt: at,
			TTL: 75, ExpiresAt: at.Add(75 * time.Second), ChangedAt: at.Add(time.Second),
			CheckedAt: at.Add(2 * time.Second), Stale: true},
		{Name: "box-2", Instance: "box-2._engine._tcp.hall-a.test", Server: "127.0.0.1:53", Mechanism: "poll",
			Fault: "no SRV record", ChangedAt: at},
		{Name: "box-3", Address: "127.0.0.1:9003", State: "draining"},
		{Name: "box-4", Server: "127.0.0.1:53", Mechanism: "store", Address: "127.0.0.1:9004", State: "ready"},
	}
}

func goldenVersion(number uint64) settings.Version {
	return settings.Version{Number: number, Author: "kim", Note: "why",
		CreatedAt: time.Date(2026, 12, 1, 12, 0, int(number), 0, time.UTC),
		Text:      fmt.Sprintf("[module]\ncold_share = 0.%d\n", number)}
}

// fakeDaemon serves the calls of the control interface with fixed samples, and records the changes that it is sent.
type fakeDaemon struct {
	address, token string   // of the control interface; the token's file
	sent           []string // the path and body of each POST
	migration      controller.Status
}

func startFakeDaemon(t *testing.T) *fakeDaemon {
	t.Helper()
	d := &fakeDaemon{token: filepath.Join(t.TempDir(), "token"), migration: goldenMigration()}
	require.NoError(t, os.WriteFile(d.token, []byte(goldenToken), 0o600))
	fixed := func(v any) func(*http.Request, []byte) (any, error) {
		return func(*http.Request, []byte) (any, error) { return v, nil }
	}
	third, back := goldenVersion(3), goldenVersion(2)
	back.RollbackTo, back.Text = 1, ""
	s, err := control.Listen("127.0.0.1:0", d.token, []control.Route{
		{Pattern: "GET /v1/pools", Handle: fixed([]controller.PoolMembers{
			{Pool: "old", Select: `version == "v1"`, Share: 1,
				Backends: []controller.Member{{Name: "box-1", State: "ready", WarmFraction: 0.5,
					OtherPools: []string{"new", "spare"}}}, Overflowed: 7},
			{Pool: "new", Backends: []controller.Member{}},
			{Backends: []controller.Member{{Name: "box-9", State: "draining", WarmFraction: 1}}},
		})},
		{Pattern: "GET /v1/move", Handle: func(*http.Request, []byte) (any, error) { return d.migration, nil }},
		{Pattern: "GET /v1/move/history", Handle: fixed([]migration.Record{goldenRecord()})},
		{Pattern: "POST /v1/move/{command}", Handle: func(r *http.Request, body []byte) (any, error) {
			d.sent = append(d.sent, r.URL.Path+" "+string(body))
			switch r.PathValue("command") {
			case "undo":
				return nil, &control.Error{Status: http.StatusConflict, Code: "not_now", Message: "the move is over"}
			case "resume":
				return nil, &control.Error{Code: "bad_plan", Message: "is not from 0 to 1", Key: "move.floor"}
			}
			return goldenRecord(), nil
		}},
		{Pattern: "GET /v1/fleet", Handle: fixed(goldenFleet())},
		{Pattern: "GET /v1/ledger", Handle: fixed(goldenLedger())},
		{Pattern: "GET /v1/entries", Handle: fixed(goldenEntries())},
		{Pattern: "GET /v1/nodes", Handle: fixed(map[string]any{"reckoned": 2,
			"nodes": []peers.Node{{Name: "node-a", Address: "127.0.0.1:8443"}}})},
		{Pattern: "GET /v1/config", Handle: fixed(daemon.SettingsStatus{Node: "node-a", Latest: 3, Applied: 2,
			Rejected: "module.zone: no", Version: third})},
		{Pattern: "GET /v1/config/history", Handle: fixed([]settings.Version{third, back})},
		{Pattern: "GET /v1/config/version/{number}", Handle: func(r *http.Request, _ []byte) (any, error) {
			switch r.PathValue("number") {
			case "1":
				return goldenVersion(1), nil
			case "3":
				return third, nil
			}
			return nil, &control.Error{Status: http.StatusNotFound, Code: "no_version",
				Message: "there is no such version"}
		}},
		{Pattern: "POST /v1/config", Handle: func(r *http.Request, body []byte) (any, error) {
			d.sent = append(d.sent, r.URL.Path+" "+string(body))
			return goldenVersion(4), nil
		}},
	}, zap.NewNop())
	require.NoError(t, err)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	d.address = s.Address()
	return d
}

var (
	columnGap = regexp.MustCompile(`(\S) {2,}`)
	agoText   = regexp.MustCompile(`[0-9][0-9hms.]* ago`)
	clockText = regexp.MustCompile(`(?m)^\d\d:\d\d:\d\d\.\d{3}`)
	atKey     = regexp.MustCompile(`(?m)^  "at": "[^"]*"`)
)

// normalize replaces the parts of text that differ from run to run.
func (d *fakeDaemon) normalize(text string) string {
	text = strings.ReplaceAll(text, d.address, "ADDRESS")
	text = strings.ReplaceAll(text, filepath.Dir(d.token), "DIR")
	if agoText.MatchString(text) { // the width of a column depends on its longest time
		text = columnGap.ReplaceAllString(agoText.ReplaceAllString(text, "SPAN ago"), "$1  ")
	}
	return clockText.ReplaceAllString(text, "TIME")
}

// TestGoldenOutput compares the output of each command as text and as JSON, its exit code, and the requests that it
// sends to the daemon with golden files.
func TestGoldenOutput(t *testing.T) {
	fixedEnvironment(t)
	for name, args := range map[string]string{
		"pools":        "pools",
		"move-status":  "move status",
		"move-history": "move history",
		"move-plan":    "move plan --to new",
		"move-pause":   "move pause",
		"move-resume":  "move resume",
		"move-undo":    "move undo",
		"move-start": "move start --from old --to new --steps 0.1,0.5,1 --hold 30s --warm 5s --trickle 0.02 " +
			"--samples 40 --floor 0.85 --on-worse stay --return-every 4s --note build",
		"fleet":           "fleet",
		"ledger":          "ledger",
		"entries-list":    "entries list",
		"entries-explain": "entries explain box-1",
		"entries-fault":   "entries explain box-2",
		"entries-file":    "entries explain box-3",
		"entries-store":   "entries explain box-4._engine",
		"entries-kept":    "entries explain box-4",
		"nodes":           "nodes",
		"config-get":      "config get",
		"config-get-path": "config get module.cold_share",
		"config-get-part": "config get module",
		"config-get-none": "config get module.none",
		"config-set":      "config set module.cold_share 0.7 -m why",
		"config-check":    "config set module.cold_share 0.7 --check --by lee",
		"config-same":     "config set module.cold_share 0.3",
		"config-diff":     "config diff 1",
		"config-diff-two": "config diff 1 3",
		"config-diff-odd": "config diff one",
		"config-no-diff":  "config diff 9",
		"config-history":  "config history",
		"config-rollback": "config rollback 1 -m back",
		"config-status":   "config status",
		"config-init":     "config init",
	} {
		t.Run(name, func(t *testing.T) {
			d := startFakeDaemon(t)
			var text strings.Builder
			for _, output := range []string{"text", "json"} {
				d.sent = nil
				words := append(strings.Fields(args), "--control", d.address, "--token-file", d.token, "-o", output)
				out, errs, code := run(words...)
				fmt.Fprintf(&text, "==== %s -o %s: exit %d\n%s", args, output, code, out)
				if errs != "" {
					fmt.Fprintf(&text, "---- standard error\n%s", errs)
				}
				for _, s := range d.sent {
					fmt.Fprintf(&text, "---- sent\n%s\n", maskUser(t, s))
				}
			}
			golden.Bytes(t, "output/"+name+".txt", []byte(d.normalize(text.String())))
		})
	}
}

// maskUser replaces the name of the user who runs the test in a request that was sent.
func maskUser(t *testing.T, sent string) string {
	t.Helper()
	path, body, _ := strings.Cut(sent, " ")
	fields := map[string]any{}
	require.NoError(t, json.Unmarshal([]byte(body), &fields))
	by, named := fields["by"]
	if named && strings.HasPrefix(path, "/v1/move/") {
		raw, err := json.Marshal(by)
		require.NoError(t, err)
		return path + " " + strings.Replace(body, `"by":`+string(raw), `"by":"USER"`, 1)
	}
	return sent
}

// TestGoldenOutputOfFiles compares the output of commands that read a local file or directory with a golden file.
func TestGoldenOutputOfFiles(t *testing.T) {
	fixedEnvironment(t)
	d := startFakeDaemon(t)
	dir := filepath.Dir(d.token)
	shared := filepath.Join(dir, "shared.toml")
	require.NoError(t, os.WriteFile(shared, []byte("[module]\ncold_share = 0.8\n"), 0o600))
	require.NoError(t, os.Mkdir(filepath.Join(dir, "empty"), 0o700))
	file := filepath.Join(dir, "node.toml")
	require.NoError(t, os.WriteFile(file, []byte(fmt.Sprintf(`name = "node-a"
listen = "127.0.0.1:8443"
[control]
listen = %q
token_file = "token"
[[class]]
name = "chat"
first_token = "2s"
give_up = "5s"
worth = 1.0
[[real_server]]
name = "box-1"
address = "127.0.0.1:9"
[store]
kind = "raft"
id = "node-a"
settings = true
[[store.member]]
id = "node-a"
address = "127.0.0.1:7001"
control = %q
[[store.member]]
id = "node-b"
address = "127.0.0.1:7002"
control = "127.0.0.1:1"
`, d.address, d.address)), 0o600))
	var text strings.Builder
	for _, args := range []string{
		"check ../config/testdata/operator/minimal.toml",
		"check ../config/testdata/operator/full.toml -o json",
		"check /nowhere/operator.toml",
		"version",
		"version -o json",
		"config apply " + shared + " --config " + file,
		"config apply /nowhere --config " + file,
		"config diff " + shared + " --config " + file,
		"config init --config " + file,
		"config status --config " + file,
		"config status -o json --config " + file,
		"ledger verify " + filepath.Join(dir, "empty"),
		"ledger verify /nowhere",
	} {
		d.sent = nil
		out, errs, code := run(strings.Fields(args)...)
		fmt.Fprintf(&text, "==== %s: exit %d\n%s", args, code, out)
		if errs != "" {
			fmt.Fprintf(&text, "---- standard error\n%s", errs)
		}
		for _, s := range d.sent {
			fmt.Fprintf(&text, "---- sent\n%s\n", s)
		}
	}
	for _, editor := range []string{"false", "sed -i s/0.3/0.9/"} {
		d.sent = nil
		t.Setenv("EDITOR", editor)
		out, errs, code := run("config", "edit", "--config", file)
		fmt.Fprintf(&text, "==== config edit by %s: exit %d\n%s%s%s\n", editor, code, out, errs,
			strings.Join(d.sent, "\n"))
	}
	own, err := os.Executable()
	require.NoError(t, err)
	for _, command := range []string{"lab", "load"} {
		out, errs, code := run(command, "plan")
		fmt.Fprintf(&text, "==== %s: exit %d\n%s%s", command, code, out,
			strings.ReplaceAll(errs, filepath.Dir(own), "BIN"))
	}
	golden.Bytes(t, "files.txt", []byte(d.normalize(text.String())))
	checked, err := os.ReadFile("../config/testdata/golden/operator-full.toml")
	require.NoError(t, err)
	out, _, code := run("check", "../config/testdata/operator/full.toml")
	require.Equal(t, OK, code)
	require.Equal(t, string(checked), out)
}

// TestGoldenWatches compares the output of move watch for each way that a move ends, and of entries watch, with a
// golden file.
func TestGoldenWatches(t *testing.T) {
	fixedEnvironment(t)
	d := startFakeDaemon(t)
	var text strings.Builder
	for _, end := range []struct {
		state   migration.State
		cause   string
		onWorse string
	}{{migration.Done, "", migration.Return}, {migration.Undone, "late", migration.Return}, {migration.Undone, "",
		migration.Return}, {migration.Halted, "late", migration.Stay}} {
		r := goldenRecord()
		r.State, r.Cause, r.Plan.OnWorse = end.state, end.cause, end.onWorse
		d.migration.Migration = &r
		out, errs, code := run("move", "watch", "--control", d.address)
		fmt.Fprintf(&text, "==== move watch, %s: exit %d\n%s%s", end.state, code, out, errs)
	}
	d.migration = controller.Status{Node: "node-a", Version: 4, Leader: ""}
	for _, args := range [][]string{{"move", "watch"}, {"move", "status"}} {
		out, errs, code := run(append(args, "--control", d.address)...)
		fmt.Fprintf(&text, "==== %s, none: exit %d\n%s%s", strings.Join(args, " "), code, out, errs)
	}
	r := goldenRecord()
	r.State, r.Paused = migration.Done, false
	d.migration.Migration = &r
	out, _, _ := run("move", "status", "--control", d.address)
	fmt.Fprintf(&text, "==== move status at a node that follows\n%s", out)
	var plan bytes.Buffer
	stay := r.Plan
	stay.OnWorse = migration.Stay
	writePlan(&plan, stay)
	fmt.Fprintf(&text, "==== a plan that stays\n%s", plan.String())
	for _, output := range []string{"text", "json"} {
		ctx, cancel := context.WithCancel(t.Context())
		printed := &cancellingWriter{cancel: cancel, after: len(goldenEntries())}
		code := Main(ctx, []string{"entries", "watch", "--control", d.address, "-o", output},
			Streams{Out: printed, Err: printed})
		fmt.Fprintf(&text, "==== entries watch -o %s: exit %d\n%s", output, code,
			atKey.ReplaceAllString(printed.String(), `  "at": "AT"`))
	}
	out, errs, code := run("entries", "watch", "--every", "1ms", "--control", d.address)
	fmt.Fprintf(&text, "==== entries watch --every 1ms: exit %d\n%s%s", code, out, errs)
	golden.Bytes(t, "watches.txt", []byte(d.normalize(text.String())))
}

// cancellingWriter is a writer that cancels a context at the write whose number, from 1, is after.
type cancellingWriter struct {
	bytes.Buffer
	cancel context.CancelFunc
	after  int
}

func (c *cancellingWriter) Write(p []byte) (int, error) {
	if c.after--; c.after == 0 {
		defer c.cancel()
	}
	return c.Buffer.Write(p)
}

// TestGoldenEntryChanges compares the line and the JSON of an endpoint change of each kind with a golden file.
func TestGoldenEntryChanges(t *testing.T) {
	at := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	var text strings.Builder
	for i, kind := range []ChangeKind{EndpointListed, EndpointNew, EndpointChanged, EndpointRemoved} {
		change := EndpointChange{At: at, Kind: kind, Endpoint: goldenEntries()[i]}
		raw, err := json.Marshal(change)
		require.NoError(t, err)
		fmt.Fprintf(&text, "%s\n%s\n", change, raw)
	}
	golden.Bytes(t, "entry-changes.txt", []byte(text.String()))
}

// TestGoldenLiveView compares the live view of a move, and the view before the first status, with golden files.
func TestGoldenLiveView(t *testing.T) {
	m := liveView{status: goldenMigration(), shareHistory: []float64{0, 0.25, 0.5, 0.75, 1}, note: "pause: done"}
	golden.Bytes(t, "live.txt", []byte(m.View().Content))
	golden.Bytes(t, "live-empty.txt", []byte(liveView{}.View().Content))
}

// TestGoldenExitCodes compares exit codes, and the error messages of invalid command lines, with a golden file.
func TestGoldenExitCodes(t *testing.T) {
	fixedEnvironment(t)
	require.Equal(t, []int{0, 1, 2, 3, 4, 5}, []int{OK, Failed, InvalidUsage, Unreachable, Rejected, MigrationReverted})
	var text strings.Builder
	for _, args := range []string{
		"-config /nowhere", "-config=/nowhere", "serve --config /nowhere", "extra", "version extra",
		"version --loud", "version --output xml", "version --outputs",
		"check", "check a b", "move start", "move dance", "move status", "move status --control 127.0.0.1:1",
		"move status --control unix:/nowhere",
		"move status --control a --token-file /nowhere", "move status --config /nowhere",
		"move start --to new --steps x", "config set a", "config rollback one --control 127.0.0.1:1",
		"config init", "entries explain", "entries services", "ledger verify",
	} {
		out, errs, code := run(strings.Fields(args)...)
		fmt.Fprintf(&text, "==== standpoint %s: exit %d\n%s%s", args, code, out, errs)
	}
	golden.Bytes(t, "exit-codes.txt", []byte(text.String()))
}
