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

// TestNewAddressIsAnotherBackend checks that a changed address under the same name counts as another backend, which is
// cold unless the file states its start, and that a further reload of the same file does not restart it.
func TestNewAddressIsAnotherBackend(t *testing.T) {
	cfg, err := config.ReadOperatorFile(operatorFile(t, "127.0.0.1:1", "127.0.0.1:2"))
	require.NoError(t, err)
	a := &assembly{deployment: fromOperator(cfg), store: store.NewMemory(), log: zap.NewNop()}
	_, err = backendsComponent(a)
	require.NoError(t, err)
	endpoints, err := operatorEndpointsComponent(a)
	require.NoError(t, err)
	_, err = coreComponent(a)
	require.NoError(t, err)
	a.endpointSource.Run(t.Context())
	endpoint := func() node.Endpoint { return a.endpointCache.Current()[0] }
	require.Zero(t, endpoint().StartedAt)
	endpoints.reload(a.deployment)
	require.Zero(t, endpoint().StartedAt)
	cfg.Backends[0].Address = "127.0.0.1:3"
	endpoints.reload(fromOperator(cfg))
	startedAt := endpoint().StartedAt
	require.WithinDuration(t, time.Now(), time.Unix(0, startedAt), time.Minute)
	endpoints.reload(fromOperator(cfg))
	require.Equal(t, startedAt, endpoint().StartedAt)
}
