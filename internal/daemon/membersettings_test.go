package daemon

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/config"
	"standpoint/internal/store"
)

// TestLeaderStoresMemberSettings checks that the leader writes its settings to the store.
func TestLeaderStoresMemberSettings(t *testing.T) {
	cfg, err := config.ReadOperatorFile(operatorFile(t, "127.0.0.1:1", "127.0.0.1:2"))
	require.NoError(t, err)
	keys := store.NewMemory()
	go maintainMemberSettings(keys, cfg, zap.NewNop())(t.Context())
	require.Eventually(t, func() bool {
		return strings.Contains(string(keys.Get(memberSettingsKey).Data),
			`"chat"`)
	}, time.Second, time.Millisecond)
}
