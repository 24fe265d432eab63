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

// jsonRoundTrip compares the JSON of a value with a golden file, and decodes that file back into the value.
func jsonRoundTrip[T any](t *testing.T, name string, value T, unset ...string) {
	t.Helper()
	decode := func(raw []byte) (T, error) {
		var v T
		err := json.Unmarshal(raw, &v)
		return v, err
	}
	golden.RoundTrip(t, name, value, func(v T) ([]byte, error) { return json.Marshal(v) }, decode, unset...)
}

// TestGoldenMessages compares the messages whose types this package declares with golden files.
func TestGoldenMessages(t *testing.T) {
	at := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	jsonRoundTrip(t, "status.json", statusResponse{Name: "node-a", Version: "0.3.0", Phase: "serving",
		OpenRequests: 5, Endpoints: 6, UptimeSeconds: 7.5})
	jsonRoundTrip(t, "nodes.json", nodesResponse{Count: 3, Nodes: []peers.Node{{Name: "node-a",
		Address: "127.0.0.1:8443"}}})
	version := settings.Version{Number: 4, Author: "kim", Note: "why", CreatedAt: at, Text: "[module]\n", RollbackTo: 2}
	jsonRoundTrip(t, "settings-status.json", SettingsStatus{Node: "node-a", Latest: 4, Applied: 3,
		Rejected: "module.zone: no", Version: version})
	jsonRoundTrip(t, "settings-change.json", SettingsChange{BaseVersion: 4, Text: "[module]\n", Author: "kim",
		Note: "why", RollbackTo: 2, DryRun: true})
	stream := json.RawMessage(`{"trace":"t-1"}`)
	jsonRoundTrip(t, "moving.json", streamTransfer{Class: "chat", Stream: stream}, "Tenant") // an older version's
	jsonRoundTrip(t, "moving-tenant.json", streamTransfer{Class: "chat", Tenant: "acme", Stream: stream})
}

// TestGoldenAgreement compares the stored member settings with a golden file, since members compare them byte by byte.
func TestGoldenAgreement(t *testing.T) {
	cfg, err := config.ReadOperatorFile("../config/testdata/operator/full.toml")
	require.NoError(t, err)
	cfg.Settings.Classes = []standpoint.Class{{Effect: standpoint.Keyed, DedupScope: standpoint.GroupCell, DedupWindow: 1,
		Streamed: true, TTFTObjective: 2, TTFTObjectivePer1000Tokens: 3,
		TPOTObjective: 4, ObjectiveStretch: 5.5, Deadline: 6, Weight: 7.5, LateWeight: 8.5, Name: "chat"}}
	require.Empty(t, golden.UnsetFields(cfg.Settings.Classes))
	require.Empty(t, golden.UnsetFields(cfg.Settings.Tenants))
	require.Empty(t, golden.UnsetFields(cfg.Batch))
	keys := store.NewMemory()
	go maintainMemberSettings(keys, cfg, zap.NewNop())(t.Context())
	require.Eventually(t, func() bool { return len(keys.List("")) == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, []string{"config/shared"}, keys.List(""))
	golden.Bytes(t, "agreement.json", keys.Get("config/shared").Data)

	// Decoding restores each value to the field that it came from.
	var decoded memberSettings
	batch := config.OperatorFile{}.Batch
	decoded.Batch = &batch
	require.NoError(t, json.Unmarshal(keys.Get("config/shared").Data, &decoded))
	require.Equal(t, cfg.Settings.Classes, decoded.Classes)
	require.Equal(t, cfg.Settings.Tenants, decoded.Tenants)
	require.Equal(t, cfg.Batch, batch)
}

// TestGoldenSettingsInTheStore compares the keys and values of the stored shared configuration with a golden file, and
// likewise the errors of members that are not the leader.
func TestGoldenSettingsInTheStore(t *testing.T) {
	cfg := config.OperatorFile{}
	cfg.Store.SharedSettings = true
	keys := store.NewMemory()
	a := &assembly{deployment: deployment{operator: &cfg}, store: keys,
		settingsRequests: make(chan settingsRequest), log: zap.NewNop()}
	f := &settingsFollower{assembly: a}
	go func() {
		for request := range a.settingsRequests {
			request.result <- nil
		}
	}()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/config", nil)
	written, err := f.serveChange(r, []byte(`{"text":"[module]\ncold_share = 0.5\n","author":"kim","note":"why"}`))
	require.NoError(t, err)
	var lines strings.Builder
	timestamp := regexp.MustCompile(`"at":"[^"]*"`)
	for _, key := range keys.List("") {
		fmt.Fprintf(&lines, "%s %s\n", key, timestamp.ReplaceAll(keys.Get(key).Data, []byte(`"at":"AT"`)))
	}
	golden.Bytes(t, "settings-keys.txt", []byte(lines.String()))
	v, ok := f.version(1)
	require.True(t, ok)
	require.Equal(t, written, v)

	// A member that is not the leader names the leader.
	follower := &settingsFollower{assembly: &assembly{deployment: deployment{operator: &cfg},
		store: followerStore{keys}, log: zap.NewNop()}}
	cfg.Store.Members = []config.Member{{ID: "node-b", Address: "127.0.0.1:7002", ControlAddress: "127.0.0.1:9802"}}
	_, err = follower.serveChange(r, []byte(`{"text":"","author":"kim"}`))
	var withLeader *control.Error
	require.ErrorAs(t, err, &withLeader)
	cfg.Store.Members = nil
	_, err = follower.serveChange(r, []byte(`{"text":"","author":"kim"}`))
	var withoutLeader *control.Error
	require.ErrorAs(t, err, &withoutLeader)
	var messages []byte
	for _, e := range []*control.Error{withLeader, withoutLeader} {
		messages = fmt.Appendf(messages, "%d %s: %s; leader %q\n", e.Status, e.Code, e.Message, e.Leader)
	}
	golden.Bytes(t, "settings-leader.txt", messages)
}

// followerStore is the store of a member that is not the leader.
type followerStore struct{ store.Store }

func (followerStore) Leadership() (uint64, bool) { return 0, false }

func (followerStore) Leader() string { return "127.0.0.1:7002" }

// TestGoldenInheritedErrors checks the error texts for a descriptor that is not the expected listening socket.
func TestGoldenInheritedErrors(t *testing.T) {
	_, err := inheritedListener(9999, "127.0.0.1:1")
	require.EqualError(t, err, "descriptor 9999 is not a listening socket")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	file, err := l.(*net.TCPListener).File()
	require.NoError(t, err)
	fd, err := unix.Dup(int(file.Fd())) // inheritedListener closes this duplicate
	require.NoError(t, err)
	require.NoError(t, file.Close())
	_, err = inheritedListener(fd, "127.0.0.1:1")
	require.EqualError(t, err, fmt.Sprintf("descriptor %d listens at %v, not at 127.0.0.1:1", fd, l.Addr()))
}
