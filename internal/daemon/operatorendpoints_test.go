package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/config"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

// An operator's list that has another address for a name has another box: cold, where the file tells no start, and it
// stays the same box when the file is read again.
func TestNewAddressIsAnotherBackend(t *testing.T) {
	cfg, err := config.ReadOperatorFile(operatorFile(t, "127.0.0.1:1", "127.0.0.1:2"))
	require.NoError(t, err)
	a := &assembly{deployment: fromOperator(cfg), store: store.NewMemory(), log: zap.NewNop()}
	_, err = backendsComponent(a)
	require.NoError(t, err)
	p, err := operatorEndpointsComponent(a)
	require.NoError(t, err)
	_, err = coreComponent(a)
	require.NoError(t, err)
	a.endpointSource.Run(t.Context())
	entry := func() node.Endpoint { return a.endpointCache.Current()[0] }
	require.Zero(t, entry().StartedAt)
	p.reload(a.deployment)
	require.Zero(t, entry().StartedAt)
	cfg.Backends[0].Address = "127.0.0.1:3"
	p.reload(fromOperator(cfg))
	began := entry().StartedAt
	require.WithinDuration(t, time.Now(), time.Unix(0, began), time.Minute)
	p.reload(fromOperator(cfg))
	require.Equal(t, began, entry().StartedAt)
}
