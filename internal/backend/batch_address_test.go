package backend_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
)

// The address of a batch backend changes while a file is uploaded to it. The file is still uploaded to the address that
// it was created for, and the address is not read while it is written, which the race detector would report.
func TestAddressChangesDuringAnUpload(t *testing.T) {
	respond503 := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	endpoint := testpeer.Endpoint("files", testpeer.StartBackend(t, respond503))
	endpoint.Batch = true
	moved := endpoint
	moved.Address = testpeer.StartBackend(t, respond503)
	n := testpeer.Start(t, testpeer.Settings(), endpoint)
	result := make(chan int, 1)
	go func() {
		status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "500m") }))
		result <- status
	}()
	for status := 0; status == 0; {
		n.UpdateEndpoints(moved)
		n.UpdateEndpoints(endpoint)
		select {
		case status = <-result:
			require.NotEqual(t, http.StatusOK, status)
		case <-time.After(time.Millisecond):
		}
	}
}
