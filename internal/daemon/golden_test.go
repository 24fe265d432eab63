package daemon

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"standpoint"
	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/peers"
	"standpoint/internal/settings"
	"standpoint/internal/store"
	"standpoint/internal/testpeer/golden"
)

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
	jsonRoundTrip(t, "status.json", statusAnswer{Name: "node-a", Version: "0.3.0", Phase: "serving",
		OpenRequests: 5, Endpoints: 6, UptimeSeconds: 7.5})
	jsonRoundTrip(t, "nodes.json", nodesAnswer{Count: 3, Nodes: []peers.Node{{Name: "node-a",
		Address: "127.0.0.1:8443"}}})
	version := settings.Version{Number: 4, Author: "kim", Note: "why", CreatedAt: at, Text: "[module]\n", RollbackTo: 2}
	jsonRoundTrip(t, "settings-status.json", SettingsStatus{Node: "node-a", Latest: 4, Applied: 3,
		Rejected: "module.zone: no", Version: version})
	jsonRoundTrip(t, "settings-change.json", SettingsChange{BaseVersion: 4, Text: "[module]\n", Author: "kim",
		Note: "why", RollbackTo: 2, DryRun: true})
	jsonRoundTrip(t, "moving.json", streamTransfer{Class: "chat", Stream: json.RawMessage(`{"trace":"t-1"}`)})
}

// The shared settings that the leader keeps in the store, of which members compare every byte.
func TestGoldenAgreement(t *testing.T) {
	cfg, err := config.ReadOperatorFile("../config/testdata/operator/full.toml")
	require.NoError(t, err)
	cfg.Settings.Classes = []standpoint.Class{{Effect: standpoint.Keyed, DedupScope: standpoint.GroupCell, DedupWindow: 1,
		Streamed: true, TTFTObjective: 2, TTFTObjectivePer1000Tokens: 3,
		TPOTObjective: 4, ObjectiveStretch: 5.5, Deadline: 6, Weight: 7.5, LateWeight: 8.5, Name: "chat"}}
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
	a := &assembly{deployment: deployment{operator: &cfg}, store: keys,
		settingsRequests: make(chan settingsRequest), log: zap.NewNop()}
	f := &settingsFollower{assembly: a}
	go func() {
		for w := range a.settingsRequests {
			w.result <- nil
		}
	}()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/config", nil)
	written, err := f.serveChange(r, []byte(`{"text":"[module]\ncold_share = 0.5\n","author":"kim","note":"why"}`))
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
	follows := &settingsFollower{assembly: &assembly{deployment: deployment{operator: &cfg},
		store: followerStore{keys}, log: zap.NewNop()}}
	cfg.Store.Members = []config.Member{{ID: "node-b", Address: "127.0.0.1:7002", ControlAddress: "127.0.0.1:9802"}}
	_, err = follows.serveChange(r, []byte(`{"text":"","author":"kim"}`))
	var led *control.Error
	require.ErrorAs(t, err, &led)
	cfg.Store.Members = nil
	_, err = follows.serveChange(r, []byte(`{"text":"","author":"kim"}`))
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

func (followerStore) Leader() string { return "127.0.0.1:7002" }

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
