package backend_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
)

// A server that takes files is told a new address while a file goes out: the file goes where it was meant to, and the
// address is not read while it changes (the race detector sees it).
func TestAddressChangesDuringAnUpload(t *testing.T) {
	refuses := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	entry := testpeer.Endpoint("files", testpeer.Backend(t, refuses))
	entry.Batch = true
	other := entry
	other.Address = testpeer.Backend(t, refuses)
	n := testpeer.Start(t, testpeer.Settings(), entry)
	over := make(chan int, 1)
	go func() {
		status, _, _, _ := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "500m") }))
		over <- status
	}()
	for status := 0; status == 0; {
		n.UpdateEndpoints(other)
		n.UpdateEndpoints(entry)
		select {
		case status = <-over:
			require.NotEqual(t, http.StatusOK, status)
		case <-time.After(time.Millisecond):
		}
	}
}
