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

// Whatever changes something needs the token: the shared configuration too.
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
		for w := range a.settingsRequests {
			w.result <- nil
		}
	}()
	s, err := control.Listen("127.0.0.1:0", token, a.routes, zap.NewNop())
	require.NoError(t, err)
	go func() { _ = s.Serve() }()
	defer func() { _ = s.Close() }()
	change := func(token string) error {
		c := control.NewClient(s.Address(), token)
		defer c.Close()
		return c.Call(t.Context(), http.MethodPost, "/v1/config",
			SettingsChange{Text: "[module]\ncold_share = 0.5\n", Author: "kim"}, nil)
	}
	var said *control.Error
	require.ErrorAs(t, change(""), &said)
	require.Equal(t, http.StatusUnauthorized, said.Status)
	require.Empty(t, keys.List(""))
	require.NoError(t, change("a-token-that-is-long-enough"))
}

// A record of the shared configuration that is torn is named once, and what is in force stays.
func TestUnreadableSharedConfiguration(t *testing.T) {
	seen, logs := observer.New(zap.ErrorLevel)
	keys := store.NewMemory()
	f := &settingsFollower{assembly: &assembly{store: keys, log: zap.New(seen)}}
	_, err := keys.Write(t.Context(), store.Op{Key: currentKey, Data: []byte("3")},
		store.Op{Key: versionKeyPrefix + "0000000003", Data: []byte(`{"number":3,"te`)})
	require.NoError(t, err)
	for range 3 {
		f.follow(func(settingsRequest) error { t.Fatal("taken on"); return nil })
	}
	require.Len(t, logs.All(), 1)
	require.Equal(t, versionKeyPrefix+"0000000003", logs.All()[0].ContextMap()["key"])
}
