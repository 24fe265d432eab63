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

// A box of another kind under the same name is spoken to in its own way.
func TestBackendChangesItsKind(t *testing.T) {
	files := testpeer.NewBatchBackend(t, testpeer.NewAttemptLedger(), func(string, int) int { return http.StatusOK })
	streams := testpeer.Endpoint(
		"s",
		testpeer.RawBackend(t, func(c net.Conn) { _, _ = io.WriteString(c, testpeer.StreamAnswer("own")) }),
	)
	settings := testpeer.Settings()
	settings.Cancel = false
	n := testpeer.Start(t, settings, streams)
	replaced := testpeer.Endpoint("s", files.Address)
	replaced.Batch = true
	for _, e := range []node.Endpoint{streams, replaced, streams} {
		n.UpdateEndpoints(e)
		status, _, body, err := n.Do(n.Chat(t.Context(), nil))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
	}
}
