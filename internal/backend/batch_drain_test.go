package backend_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
	"standpoint/internal/testpeer"
)

// uploadHolder is a batch backend that holds each upload back until it is released. It rejects all other calls.
type uploadHolder struct {
	uploads              chan struct{} // receives a value for each upload
	release              chan struct{} // a value releases one upload
	batches              atomic.Int32  // number of calls to create a batch
	disconnectingBatches atomic.Int32  // number of these whose file contains the request with disconnectingTraceID
	hasDisconnecting     sync.Map      // whether a file contains that request, by the file's ID
	fileCount            atomic.Int32  // number of files
}

// disconnectingTraceID is the trace ID of a request whose client disconnects.
const disconnectingTraceID = "feedfeedfeedfeed"

func startUploadHolder(t *testing.T) (*uploadHolder, node.Endpoint) {
	h := &uploadHolder{uploads: make(chan struct{}, 10), release: make(chan struct{}, 10)}
	endpoint := testpeer.Endpoint("files", testpeer.StartBackend(t, h.ServeHTTP))
	endpoint.Batch = true
	return h, endpoint
}

// sendRequest sends a request to a node, and returns a channel that receives the status of the response.
func sendRequest(t *testing.T, n *testpeer.Node) <-chan int {
	statuses := make(chan int, 1)
	go func() {
		status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
		statuses <- status
	}()
	return statuses
}

func (h *uploadHolder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path != "/v1/files" {
		h.batches.Add(1)
		var batch struct {
			File string `json:"input_file_id"`
		}
		_ = json.Unmarshal(body, &batch)
		if has, _ := h.hasDisconnecting.Load(batch.File); has == true {
			h.disconnectingBatches.Add(1)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.uploads <- struct{}{}
	select {
	case <-h.release:
	case <-r.Context().Done():
	}
	id := fmt.Sprint("file-", h.fileCount.Add(1))
	h.hasDisconnecting.Store(id, strings.Contains(string(body), disconnectingTraceID))
	_, _ = fmt.Fprintf(w, `{"id":%q}`, id)
}

// A batch backend starts draining while a file is uploaded to it: no batch may be created of that file.
func TestNoBatchIsCreatedAfterADrain(t *testing.T) {
	t.Parallel()
	h, endpoint := startUploadHolder(t)
	n := testpeer.Start(t, testpeer.Settings(), endpoint)
	status := sendRequest(t, n)
	<-h.uploads
	endpoint.State = standpoint.Draining
	n.UpdateEndpoints(endpoint)
	n.WaitForCore()
	h.release <- struct{}{}
	require.NotEqual(t, http.StatusOK, <-status)
	require.Zero(t, h.batches.Load())
}

// A batch backend starts draining while the connection for an upload opens: nothing may be uploaded.
func TestNoFileIsUploadedAfterADrain(t *testing.T) {
	t.Parallel()
	h, endpoint := startUploadHolder(t)
	dials := testpeer.NewDialBlocker(1)
	n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), dials.Dial, endpoint)
	status := sendRequest(t, n)
	<-dials.Connected
	endpoint.State = standpoint.Draining
	n.UpdateEndpoints(endpoint)
	n.WaitForCore()
	dials.Release <- struct{}{}
	require.NotEqual(t, http.StatusOK, <-status)
	require.Empty(t, h.uploads)
}

// A client disconnects while the file with its request is uploaded: no batch may be created of that file. A request of
// another client in the same file is uploaded again without it.
func TestNoBatchIsCreatedForDisconnectedClients(t *testing.T) {
	t.Parallel()
	h, endpoint := startUploadHolder(t)
	n := testpeer.Start(t, testpeer.Settings(), endpoint)
	clientCtx, disconnect := context.WithCancel(t.Context())
	disconnected := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(
			n.Chat(clientCtx, func(r *http.Request) { r.Header.Set("X-Trace-Id", disconnectingTraceID) }),
		)
		if err == nil {
			response.Body.Close()
		}
		disconnected <- err
	}()
	status := sendRequest(t, n)
	<-h.uploads
	disconnect()
	require.Error(t, <-disconnected)
	time.Sleep(50 * time.Millisecond) // until the node has noticed it
	close(h.release)                  // the second upload too, if both requests were in one file
	<-status
	require.Zero(t, h.disconnectingBatches.Load())
	require.NotZero(t, h.batches.Load(), "batches with the other client's request")
}
