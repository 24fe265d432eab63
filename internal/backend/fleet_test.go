package backend_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint/internal/node"
	"standpoint/internal/testpeer"
)

// A name in the endpoint list changes between a streaming and a batch backend. Each must get requests in its own form.
func TestBackendChangesItsKind(t *testing.T) {
	batch := testpeer.NewBatchBackend(t, testpeer.NewAttemptCounter(), func(string, int) int { return http.StatusOK })
	streaming := testpeer.Endpoint(
		"s",
		testpeer.StartRawBackend(t, func(c net.Conn) { _, _ = io.WriteString(c, testpeer.StreamResponse("own")) }),
	)
	settings := testpeer.Settings()
	settings.Cancel = false
	n := testpeer.Start(t, settings, streaming)
	replaced := testpeer.Endpoint("s", batch.Address)
	replaced.Batch = true
	for _, endpoint := range []node.Endpoint{streaming, replaced, streaming} {
		n.UpdateEndpoints(endpoint)
		status, _, body, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
	}
}
