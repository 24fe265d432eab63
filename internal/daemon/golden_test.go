package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"standpoint"
	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/find/discovery"
	"standpoint/internal/metrics"
	"standpoint/internal/peers"
	"standpoint/internal/settings"
	"standpoint/internal/store"
	"standpoint/internal/testpeer"
	"standpoint/internal/testpeer/golden"
)

// goldenFile has every section that one process alone may have, so that every call of the control interface is there.
const goldenFile = `name = "node-a"
listen = %q
console = %q
[module]
zones = ["hall-a"]
zone = "hall-a"
[control]
listen = "unix:c.sock"
[metrics]
listen = %q
[[class]]
name = "chat"
first_token = "1s"
give_up = "5s"
worth = 1.0
[[tenant]]
name = "office"
share = 1.0
[[pool]]
name = "old"
select = 'version == "v1"'
[[pool]]
name = "new"
select = 'version == "v2"'
[[real_server]]
name = "box-1"
address = "127.0.0.1:9"
zone = "hall-a"
labels = { version = "v1" }
[[real_server]]
name = "box-2"
address = "127.0.0.1:9"
zone = "hall-a"
labels = { version = "v2" }
[nodes]
server = "127.0.0.1:9"
domain = "nodes.test"
[batch]
enabled = true
[store]
kind = "memory"
settings = true
[fleet]
listen = %q
[[fleet.seat]]
name = "node-a"
address = "127.0.0.1:7301"
[[fleet.budget]]
tenant = "office"
amount = 1000
[[tool]]
name = "look_up"
[ledger]
dir = "ledger"
`

// shape lists the keys of a JSON value, each with the type of what it holds.
func shape(value any, path string) []string {
	switch value := value.(type) {
	case map[string]any:
		lines := []string{path + " object"}
		for key, v := range value {
			lines = append(lines, shape(v, path+"."+key)...)
		}
		slices.Sort(lines)
		return lines
	case []any:
		lines := []string{path + " array"}
		for _, v := range value {
			lines = append(lines, shape(v, path+"[]")...)
		}
		slices.Sort(lines)
		return slices.Compact(lines)
	}
	return []string{fmt.Sprintf("%s %T", path, value)}
}

// goldenDaemon runs the daemon with goldenFile until the test ends, and returns how its control interface is called and where its
// metrics are.
func goldenDaemon(t *testing.T) (call func(method, path, body string) (status string, answer []byte), metrics string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "golden") // a test's own folder has a name too long for a socket
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	metrics = testpeer.FreeAddress(t)
	path := filepath.Join(dir, "operator.toml")
	text := fmt.Sprintf(goldenFile, testpeer.FreeAddress(t), testpeer.FreeAddress(t), metrics, testpeer.FreeAddress(t))
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	exit := make(chan error, 1)
	go func() { exit <- Run(Options{ConfigFile: path, Log: zap.NewNop()}) }()
	t.Cleanup(func() {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		require.NoError(t, <-exit)
	})
	socket := filepath.Join(dir, "c.sock")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Dial: func(string, string) (net.Conn, error) { return net.Dial("unix", socket) }}}
	call = func(method, path, body string) (string, []byte) {
		r, err := http.NewRequestWithContext(t.Context(), method, "http://localhost"+path, strings.NewReader(body))
		require.NoError(t, err)
		response, err := client.Do(r)
		if err != nil {
			return "", nil
		}
		defer response.Body.Close()
		answer, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.Status, answer
	}
	require.Eventually(t, func() bool {
		_, answer := call(http.MethodGet, "/v1/status", "")
		return strings.Contains(string(answer), `"serving"`)
	}, 10*time.Second, 10*time.Millisecond)
	return call, metrics
}

// The control interface: paths, the keys of answers, and errors word for word.
func TestGoldenControlInterface(t *testing.T) {
	call, metrics := goldenDaemon(t)
	var shapes strings.Builder
	for _, c := range []struct{ method, path, body string }{
		{"GET", "/v1/status", ""},
		{"GET", "/v1/pools", ""},
		{"GET", "/v1/entries", ""},
		{"GET", "/v1/nodes", ""},
		{"GET", "/v1/fleet", ""},
		{"GET", "/v1/ledger", ""},
		{"GET", "/v1/sessions", ""},
		{"GET", "/v1/move", ""},
		{"GET", "/v1/move/history", ""},
		{"POST", "/v1/move/plan", `{"to":"new","note":"build 118"}`},
		{"GET", "/v1/config", ""},
		{"GET", "/v1/config/history", ""},
	} {
		status, answer := call(c.method, c.path, c.body)
		var value any
		require.NoError(t, json.Unmarshal(answer, &value), string(answer))
		fmt.Fprintf(&shapes, "%s %s\n\t%s\n\t%s\n", c.method, c.path, status, strings.Join(shape(value, "$"), "\n\t"))
	}
	golden.Bytes(t, "control-shapes.txt", []byte(shapes.String()))

	moment := regexp.MustCompile(`"at":"[^"]*"`)
	var words strings.Builder
	for _, c := range []struct{ method, path, body string }{
		{"GET", "/v1/none", ""},
		{"GET", "/v1/move?wait=soon", ""},
		{"POST", "/v1/move/start", `{"to":"nowhere"}`},
		{"POST", "/v1/move/start", `{"to":"new","hold":"1"}`},
		{"POST", "/v1/move/start", `{"to":"new","floor":2}`},
		{"POST", "/v1/move/start", `{"into":"new"}`},
		{"POST", "/v1/move/pause", `{}`},
		{"POST", "/v1/move/resume", `{}`},
		{"POST", "/v1/move/undo", `{}`},
		{"POST", "/v1/move/dance", `{}`},
		{"POST", "/v1/move/report", `[{"node":""}]`},
		{"GET", "/v1/config/version/7", ""},
		{"GET", "/v1/config/version/seven", ""},
		{"POST", "/v1/config", `{"base":9,"text":"[module]\ncold_share = 0.5\n","author":"kim"}`},
		{"POST", "/v1/config", `{"text":"[module]\ncold_share = 0.5\n"}`},
		{"POST", "/v1/config", `{"text":"listen = \"127.0.0.1:1\"\n","author":"kim"}`},
		{"POST", "/v1/config", `{"text":"[module]\ncold_share = 5.0\n","author":"kim"}`},
		{"POST", "/v1/config", `{"text":"[module]\ncold_share = \n","author":"kim"}`},
		{"POST", "/v1/config", `{"text":"","author":"kim","why":"x"}`},
		{"POST", "/v1/config", `{"text":"[module]\ncold_share = 0.5\n","author":"kim","note":"try","check":true}`},
		{"POST", "/v1/config", `{"text":"[module]\ncold_share = 0.5\n","author":"kim","note":"first"}`},
		{"GET", "/v1/config/version/1", ""},
		{"GET", "/v1/config/history", ""},
		{"POST", "/v1/config", `{"text":"[module]\ncold_share = 0.6\n","author":"kim"}`},
	} {
		status, answer := call(c.method, c.path, c.body)
		fmt.Fprintf(&words, "%s %s %s\n\t%s\n\t%s", c.method, c.path, c.body, status, moment.ReplaceAll(answer, []byte(`"at":"AT"`)))
	}
	golden.Bytes(t, "control-words.txt", []byte(words.String()))

	response, err := http.Get("http://" + metrics + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	golden.Bytes(t, "metrics-served.txt", []byte(strings.Join(ownMetrics(string(text), false), "\n")+"\n"))
}

// ownMetrics are the lines of an exposition that are not of the runtime, with their values or without.
func ownMetrics(text string, values bool) []string {
	var lines []string
	for _, line := range strings.Split(text, "\n") {
		if !strings.Contains(line, "standpoint_") {
			continue
		}
		if i := strings.LastIndexByte(line, ' '); !values && !strings.HasPrefix(line, "#") && i >= 0 {
			line = line[:i]
		}
		lines = append(lines, line)
	}
	return lines
}

// goldenAssembly has the parts that metrics are read from, with a core that does not run.
func goldenAssembly(t *testing.T) *assembly {
	t.Helper()
	cfg, err := config.ReadOperatorFile(operatorFile(t, "127.0.0.1:1", "127.0.0.1:2"))
	require.NoError(t, err)
	a := &assembly{deployment: fromOperator(cfg), store: store.NewMemory(), log: zap.NewNop()}
	a.counters = metrics.New([]string{"chat", "import"}, func() int { return a.core.Open() })
	_, err = backendsComponent(a)
	require.NoError(t, err)
	_, err = operatorEndpointsComponent(a)
	require.NoError(t, err)
	_, err = coreComponent(a)
	require.NoError(t, err)
	return a
}

// The metrics' names, types, help and labels, those of discovery among them, and which count each shows.
func TestGoldenMetrics(t *testing.T) {
	a := goldenAssembly(t)
	r, err := newRegistry(a)
	require.NoError(t, err)
	_, err = discovery.NewMetrics(r)
	require.NoError(t, err)
	a.nodeCount.Store(3)
	for range 4 {
		a.counters.CountRequest(0, metrics.Succeeded)
	}
	for range 5 {
		a.counters.CountRequest(0, metrics.Rejected)
	}
	for range 6 {
		a.counters.CountRequest(1, metrics.Failed)
	}
	for range 7 {
		a.counters.CountAttempt()
	}
	a.counters.SetBackends(8, 9)
	served := httptest.NewServer(promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	defer served.Close()
	response, err := http.Get(served.URL)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	descriptions := make(chan *prometheus.Desc, 1000)
	r.Describe(descriptions)
	close(descriptions)
	var lines []string
	for d := range descriptions {
		if strings.Contains(d.String(), "standpoint_") {
			lines = append(lines, d.String())
		}
	}
	slices.Sort(lines)
	lines = append(lines, ownMetrics(string(text), true)...)
	golden.Bytes(t, "metrics.txt", []byte(strings.Join(lines, "\n")+"\n"))
}

func jsonRoundTrip[T any](t *testing.T, name string, value T, unset ...string) {
	t.Helper()
	decode := func(raw []byte) (T, error) {
		var v T
		err := json.Unmarshal(raw, &v)
		return v, err
	}
	golden.RoundTrip(t, name, value, func(v T) ([]byte, error) { return json.Marshal(v) }, decode, unset...)
}

// What the daemon sends and answers in types of its own.
func TestGoldenMessages(t *testing.T) {
	at := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	jsonRoundTrip(t, "status.json", statusAnswer{Name: "node-a", Version: "0.3.0", Phase: "serving", OpenRequests: 5, Endpoints: 6, UptimeSeconds: 7.5})
	jsonRoundTrip(t, "nodes.json", nodesAnswer{Count: 3, Nodes: []peers.Node{{Name: "node-a", Address: "127.0.0.1:8443"}}})
	version := settings.Version{Number: 4, Author: "kim", Note: "why", CreatedAt: at, Text: "[module]\n", RollbackTo: 2}
	jsonRoundTrip(t, "settings-status.json", SettingsStatus{Node: "node-a", Latest: 4, Applied: 3, Rejected: "module.zone: no", Version: version})
	jsonRoundTrip(t, "settings-change.json", SettingsChange{BaseVersion: 4, Text: "[module]\n", Author: "kim", Note: "why", RollbackTo: 2, DryRun: true})
	jsonRoundTrip(t, "moving.json", streamTransfer{Class: "chat", Stream: json.RawMessage(`{"trace":"t-1"}`)})
}

// The shared settings that the leader keeps in the store, of which members compare every byte.
func TestGoldenAgreement(t *testing.T) {
	cfg, err := config.ReadOperatorFile("../config/testdata/operator/full.toml")
	require.NoError(t, err)
	cfg.Settings.Classes = []standpoint.Class{{Effect: standpoint.Keyed, Group: standpoint.GroupCell, Window: 1, Streamed: true, TTFTAim: 2, AimPer1000: 3,
		TPOTAim: 4, AimStretch: 5.5, Deadline: 6, Worth: 7.5, LateWorth: 8.5, Description: "chat"}}
	require.Empty(t, golden.Unset(cfg.Settings.Classes))
	require.Empty(t, golden.Unset(cfg.Settings.Tenants))
	require.Empty(t, golden.Unset(cfg.Batch))
	keys := store.NewMemory()
	go maintainMemberSettings(keys, cfg, zap.NewNop())(t.Context())
	require.Eventually(t, func() bool { return len(keys.List("")) == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, []string{"config/shared"}, keys.List(""))
	golden.Bytes(t, "agreement.json", keys.Get("config/shared").Data)

	// Read back: each key goes where it came from.
	var decoded memberSettings
	batch := config.OperatorFile{}.Batch
	decoded.Batch = &batch
	require.NoError(t, json.Unmarshal(keys.Get("config/shared").Data, &decoded))
	require.Equal(t, cfg.Settings.Classes, decoded.Classes)
	require.Equal(t, cfg.Settings.Tenants, decoded.Tenants)
	require.Equal(t, cfg.Batch, batch)
}

// The store's keys and values of the shared configuration.
func TestGoldenSettingsInTheStore(t *testing.T) {
	cfg := config.OperatorFile{}
	cfg.Store.SharedSettings = true
	keys := store.NewMemory()
	a := &assembly{deployment: deployment{operator: &cfg}, store: keys, settingsRequests: make(chan settingsRequest), log: zap.NewNop()}
	f := &settingsFollower{assembly: a}
	go func() {
		for w := range a.settingsRequests {
			w.result <- nil
		}
	}()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/config", nil)
	written, err := f.callChange(r, []byte(`{"text":"[module]\ncold_share = 0.5\n","author":"kim","note":"why"}`))
	require.NoError(t, err)
	var lines strings.Builder
	moment := regexp.MustCompile(`"at":"[^"]*"`)
	for _, key := range keys.List("") {
		fmt.Fprintf(&lines, "%s %s\n", key, moment.ReplaceAll(keys.Get(key).Data, []byte(`"at":"AT"`)))
	}
	golden.Bytes(t, "settings-keys.txt", []byte(lines.String()))
	v, ok := f.version(1)
	require.True(t, ok)
	require.Equal(t, written, v)

	// A member that does not lead says who does.
	follows := &settingsFollower{assembly: &assembly{deployment: deployment{operator: &cfg}, store: followerStore{keys}, log: zap.NewNop()}}
	cfg.Store.Members = []config.Member{{ID: "node-b", Address: "127.0.0.1:7002", ControlAddress: "127.0.0.1:9802"}}
	_, err = follows.callChange(r, []byte(`{"text":"","author":"kim"}`))
	var led *control.Error
	require.ErrorAs(t, err, &led)
	cfg.Store.Members = nil
	_, err = follows.callChange(r, []byte(`{"text":"","author":"kim"}`))
	var alone *control.Error
	require.ErrorAs(t, err, &alone)
	var said []byte
	for _, e := range []*control.Error{led, alone} {
		said = fmt.Appendf(said, "%d %s: %s; leader %q\n", e.Status, e.Code, e.Message, e.Leader)
	}
	golden.Bytes(t, "settings-leader.txt", said)
}

// followerStore is the store of a member that another one leads.
type followerStore struct{ store.Store }

func (followerStore) Leadership() (uint64, bool) { return 0, false }
func (followerStore) Leader() string             { return "127.0.0.1:7002" }

// The words in which an inherited socket is refused.
func TestGoldenInheritedErrors(t *testing.T) {
	_, err := inheritedListener(9999, "127.0.0.1:1")
	require.EqualError(t, err, "descriptor 9999 is no listening socket")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	file, err := l.(*net.TCPListener).File()
	require.NoError(t, err)
	fd, err := unix.Dup(int(file.Fd())) // which is closed below
	require.NoError(t, err)
	require.NoError(t, file.Close())
	_, err = inheritedListener(fd, "127.0.0.1:1")
	require.EqualError(t, err, fmt.Sprintf("descriptor %d listens at %v, not at 127.0.0.1:1", fd, l.Addr()))
}
