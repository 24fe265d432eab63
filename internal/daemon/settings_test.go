package daemon

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/store"
)

// TestSharedConfigurationNeedsTheToken checks that a change of the shared configuration is rejected without the token.
func TestSharedConfigurationNeedsTheToken(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("a-token-that-is-long-enough"), 0o600))
	cfg := config.OperatorFile{}
	cfg.Store.SharedSettings = true
	keys := store.NewMemory()
	a := &assembly{deployment: deployment{operator: &cfg}, store: keys,
		settingsRequests: make(chan settingsRequest), log: zap.NewNop()}
	_, err := settingsComponent(a)
	require.NoError(t, err)
	go func() {
		for request := range a.settingsRequests {
			request.result <- nil
		}
	}()
	server, err := control.Listen("127.0.0.1:0", token, a.routes, zap.NewNop())
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	defer func() { _ = server.Close() }()
	change := func(token string) error {
		client := control.NewClient(server.Address(), token)
		defer client.Close()
		return client.Call(t.Context(), http.MethodPost, "/v1/config",
			SettingsChange{Text: "[module]\ncold_share = 0.5\n", Author: "kim"}, nil)
	}
	var rejection *control.Error
	require.ErrorAs(t, change(""), &rejection)
	require.Equal(t, http.StatusUnauthorized, rejection.Status)
	require.Empty(t, keys.List(""))
	require.NoError(t, change("a-token-that-is-long-enough"))
}

// TestUnreadableSharedConfiguration checks that a truncated record of the shared configuration is logged once, with its
// key, and that no version is applied.
func TestUnreadableSharedConfiguration(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	keys := store.NewMemory()
	f := &settingsFollower{assembly: &assembly{store: keys, log: zap.New(core)}}
	_, err := keys.Write(t.Context(), store.Op{Key: currentKey, Data: []byte("3")},
		store.Op{Key: versionKeyPrefix + "0000000003", Data: []byte(`{"number":3,"te`)})
	require.NoError(t, err)
	for range 3 {
		f.follow(func(settingsRequest) error { t.Fatal("version applied"); return nil })
	}
	require.Len(t, logs.All(), 1)
	require.Equal(t, versionKeyPrefix+"0000000003", logs.All()[0].ContextMap()["key"])
}
