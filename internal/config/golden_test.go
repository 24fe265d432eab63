package config

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"

	"standpoint"
	"standpoint/internal/testpeer/golden"
)

const (
	fullFile    = "testdata/operator/full.toml"
	minimalFile = "testdata/operator/minimal.toml"
)

func operatorText(t testing.TB, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(raw)
}

// encodeOperatorFile returns the file as TOML, as `standpoint check` prints it.
func encodeOperatorFile(t testing.TB, o OperatorFile) string {
	t.Helper()
	var text strings.Builder
	require.NoError(t, toml.NewEncoder(&text).Encode(o))
	return text.String()
}

// TestGoldenOperatorFile compares the keys of an operator's file and their defaults, as `standpoint check` prints them,
// with golden files: for a file with every key, and for one with as few keys as possible. It also checks that reading
// the printed file yields the same configuration.
func TestGoldenOperatorFile(t *testing.T) {
	for name, path := range map[string]string{"operator-full.toml": fullFile, "operator-defaults.toml": minimalFile} {
		o, err := ParseOperatorFile(operatorText(t, path))
		require.NoError(t, err)
		golden.Bytes(t, name, []byte(encodeOperatorFile(t, o)))
		again, err := ParseOperatorFile(operatorText(t, golden.Path(name)))
		require.NoError(t, err)
		require.Equal(t, encodeOperatorFile(t, o), encodeOperatorFile(t, again))
		require.Equal(t, o.Settings, again.Settings)
		require.Equal(t, o.Names, again.Names)
		require.Equal(t, o.EffectiveLimits, again.EffectiveLimits)
		require.Equal(t, o.MigrationPlan, again.MigrationPlan)
	}
	o, err := ParseOperatorFile(operatorText(t, fullFile))
	require.NoError(t, err)
	o.Pools, o.Endpoints.Browses, o.Fleet.Budgets = o.Pools[:1], o.Endpoints.Browses[:1], o.Fleet.Budgets[:1]
	for _, path := range golden.UnsetFields(o) {
		name, _, _ := strings.Cut(path, ".")
		field, ok := reflect.TypeFor[OperatorFile]().FieldByName(name)
		require.True(t, ok)
		if field.Tag.Get("toml") != "-" { // other fields are derived from the keys
			t.Errorf("%s does not set %s", fullFile, path)
		}
	}
}

// TestGoldenOperatorSettings checks the settings that are derived from an operator's file with every key.
func TestGoldenOperatorSettings(t *testing.T) {
	o, err := ParseOperatorFile(operatorText(t, fullFile))
	require.NoError(t, err)
	require.Equal(t, standpoint.Settings{
		Gateways: 4, Ordinal: 2, Zone: 1, Zones: 2, Kinds: 2, Resume: true, RetryAfter: true,
		Reports:       standpoint.ReportResponses,
		MaxRetryAfter: int64(2 * time.Second), MaxAttempts: 2, EventInterval: int64(2 * time.Millisecond),
		DiscoveryTimeout: int64(10 * time.Second),
		DrainGrace:       int64(500 * time.Millisecond), WarmUp: int64(25 * time.Second),
		OverloadWindow:       int64(3 * time.Second),
		ColdCapacityFraction: 0.17, OverloadFactor: 4,
		Classes: []standpoint.Class{
			{Streamed: true, TTFTObjective: int64(2500 * time.Millisecond),
				TTFTObjectivePer1000Tokens: int64(60 * time.Millisecond), TPOTObjective: int64(50 * time.Millisecond),
				Deadline: int64(10 * time.Second), Weight: 2, LateWeight: 0.25, Name: "sheet-import"},
			{Streamed: true, TTFTObjective: int64(1200 * time.Millisecond),
				TTFTObjectivePer1000Tokens: int64(30 * time.Millisecond), TPOTObjective: int64(100 * time.Millisecond),
				Deadline: int64(5 * time.Second), Weight: 5, LateWeight: 0.5, Name: "foreman-chat"},
		},
		Tenants: []standpoint.Tenant{{Share: 0.75, QuotaRPS: 12.5}, {Share: 0.25, QuotaRPS: 6.5}},
	}, o.Settings)
	require.Equal(t, Names{Classes: []string{"sheet-import", "foreman-chat"},
		Tenants: []string{"payroll-office", "site-office"},
		Zones:   []string{"hall-a", "hall-b"}, Kinds: []string{"fast",
			"slow"}, IdleTimeout: 16 * time.Second, DialTimeout: 130 * time.Millisecond}, o.Names)
	require.Equal(t, Limits{Cores: 2.5, MemoryMB: 384, Sockets: 2048}, o.EffectiveLimits)
}

// TestGoldenPlatformFile checks the configuration that is derived from a platform file with every key.
func TestGoldenPlatformFile(t *testing.T) {
	raw, err := os.ReadFile(golden.Path("platform.json"))
	require.NoError(t, err)
	p, err := parsePlatform(raw, noVariables)
	require.NoError(t, err)
	require.JSONEq(t, `{"seq":9,"whole":true,"hosts":[]}`, string(p.KnownEndpoints))
	p.KnownEndpoints = nil
	require.Equal(t, PlatformConfig{Name: "n3", Listen: "127.0.0.4:8443", Discovery: "127.2.0.1:8500",
		Console: "127.0.0.4:9901", Seed: 0x0c1f30d27a5be964,
		Limits: Limits{Cores: 1.5, MemoryMB: 160,
			Sockets: 512}, PeerListen: "127.0.0.4:7000", Peers: []string{"127.0.0.5:7000", "127.0.0.6:7000"},
		AllPeers: "127.0.0.7:7000", Settings: p.Settings, Names: p.Names}, p)
	require.Equal(t, Names{Classes: []string{"chat", "import", "night"}, Tenants: []string{"office", "site"},
		Zones: []string{"a", "b"},
		Kinds: []string{"fast", "slow",
			"old"}, IdleTimeout: 15 * time.Second, DialTimeout: 120 * time.Millisecond, MaxConnections: 77}, p.Names)
	require.Equal(t, standpoint.Settings{
		Gateways: 4, Ordinal: 3, Zone: 1, Zones: 2, Kinds: 3, OverQuotaWeight: 0.31,
		Reports: standpoint.ReportProbes, SubscribeDiscovery: true, Resume: true,
		HedgedRequests: true, Cancel: true, Probes: true, Peers: true, RetryAfter: true, MaxRetryAfter: 2000000001,
		MaxAttempts: 3, EventInterval: 2000002,
		DiscoveryTimeout: 10000003, DrainGrace: 500004, WarmUp: 20000005, OverloadWindow: 3000006,
		ColdCapacityFraction: 0.13, OverloadFactor: 4.5,
		CrossZonePrice: 0.01, LateFailPrice: 0.02, PeerPrice: 0.03, ProbePrice: 0.04, WastePrice: 0.05,
		Classes: []standpoint.Class{
			{Effect: standpoint.Safe, DedupScope: standpoint.GroupZone, DedupWindow: 31, Streamed: true, TTFTObjective: 32,
				TTFTObjectivePer1000Tokens: 1500, TPOTObjective: 33, ObjectiveStretch: 1.2,
				Deadline: 34, Weight: 2.5, LateWeight: 0.5, Name: "chat"},
			{Effect: standpoint.Keyed, DedupScope: standpoint.GroupCell, TTFTObjective: 42,
				TTFTObjectivePer1000Tokens: 2500, TPOTObjective: 43,
				Deadline: 44, Weight: 3.5, Name: "import"},
			{Effect: standpoint.Unsafe, TTFTObjective: 52, Deadline: 54, Weight: 4.5, Name: "night"},
		},
		Tenants: []standpoint.Tenant{{Share: 0.6, QuotaRPS: 11}, {Share: 0.4, QuotaRPS: 12}},
	}, p.Settings)
	p.ListenerFD, p.KnownEndpoints = 5, json.RawMessage("{}") // set by an environment variable, and compared above
	p.Settings.Classes = p.Settings.Classes[:1]
	p.Settings.Classes[0].Effect = standpoint.Keyed // since Safe is the zero value, which UnsetFields would report
	require.Empty(t, golden.UnsetFields(p))
	piggyback, err := parsePlatform([]byte(strings.Replace(string(raw), `"pull"`, `"piggyback"`, 1)), noVariables)
	require.NoError(t, err)
	require.Equal(t, standpoint.ReportResponses, piggyback.Settings.Reports)
	environment := map[string]string{"PROXY_NAME": "n4", "PROXY_LISTEN": "127.0.0.8:1",
		"PROXY_DISCOVERY": "127.0.0.8:2", "PROXY_CONSOLE": "127.0.0.8:3",
		"PROXY_SOCKET_FD": "5"}
	p, err = parsePlatform(raw, func(key string) string { return environment[key] })
	require.NoError(t, err)
	require.Equal(t, []any{"n4", "127.0.0.8:1", "127.0.0.8:2", "127.0.0.8:3", 5},
		[]any{p.Name, p.Listen, p.Discovery, p.Console, p.ListenerFD})
}

// TestGoldenLimits compares the JSON keys of Limits with a golden file, since they appear in log lines and in the
// platform's file.
func TestGoldenLimits(t *testing.T) {
	decode := func(raw []byte) (Limits, error) {
		var l Limits
		err := json.Unmarshal(raw, &l)
		return l, err
	}
	golden.RoundTrip(t, "limits.json", Limits{Cores: 1.5, MemoryMB: 160, Sockets: 512},
		func(l Limits) ([]byte, error) { return json.Marshal(l) }, decode)
}
