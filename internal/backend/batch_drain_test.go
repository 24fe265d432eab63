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

// fileServer is a backend that takes files: an upload waits until it is let go.
type fileServer struct {
	uploads chan struct{} // one for each that came
	let     chan struct{}
	made    atomic.Int32 // batches
	leavers atomic.Int32 // of these, those whose file has the leaver's request
	files   sync.Map     // whether each file has, by its id
	number  atomic.Int32 // of files
}

const leaver = "feedfeedfeedfeed" // the id of a request whose client leaves

func startFileServer(t *testing.T) (*fileServer, node.Endpoint) {
	f := &fileServer{uploads: make(chan struct{}, 10), let: make(chan struct{}, 10)}
	entry := testpeer.Endpoint("files", testpeer.Backend(t, f.ServeHTTP))
	entry.Batch = true
	return f, entry
}

// ask has a client ask a node, and gives the status of its answer.
func ask(t *testing.T, n *testpeer.Node) <-chan int {
	over := make(chan int, 1)
	go func() {
		status, _, _, _ := n.Do(n.Chat(t.Context(), nil))
		over <- status
	}()
	return over
}

func (f *fileServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path != "/v1/files" {
		f.made.Add(1)
		var made struct {
			File string `json:"input_file_id"`
		}
		_ = json.Unmarshal(body, &made)
		if has, _ := f.files.Load(made.File); has == true {
			f.leavers.Add(1)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.uploads <- struct{}{}
	select {
	case <-f.let:
	case <-r.Context().Done():
	}
	id := fmt.Sprint("file-", f.number.Add(1))
	f.files.Store(id, strings.Contains(string(body), leaver))
	_, _ = fmt.Fprintf(w, `{"id":%q}`, id)
}

// A server that takes files is told to drain while a file is uploaded to it: no batch is made of that file.
func TestNoBatchIsCreatedAfterADrain(t *testing.T) {
	t.Parallel()
	f, entry := startFileServer(t)
	n := testpeer.Start(t, testpeer.Settings(), entry)
	over := ask(t, n)
	<-f.uploads
	entry.State = standpoint.Draining
	n.UpdateEndpoints(entry)
	n.WaitForCore()
	f.let <- struct{}{}
	require.NotEqual(t, http.StatusOK, <-over)
	require.Zero(t, f.made.Load())
}

// It is told to while the connection for the upload comes up: nothing is uploaded.
func TestNoFileIsUploadedAfterADrain(t *testing.T) {
	t.Parallel()
	f, entry := startFileServer(t)
	held := testpeer.HoldDials(1)
	n := testpeer.StartDialing(t, zap.NewNop(), testpeer.Settings(), held.Dial, entry)
	over := ask(t, n)
	<-held.Connected
	entry.State = standpoint.Draining
	n.UpdateEndpoints(entry)
	n.WaitForCore()
	held.Release <- struct{}{}
	require.NotEqual(t, http.StatusOK, <-over)
	require.Empty(t, f.uploads)
}

// A client leaves while its file is uploaded: no batch is made for it. Another's, in the same file, is uploaded once
// more without it.
func TestNoBatchIsCreatedForDisconnectedClients(t *testing.T) {
	t.Parallel()
	f, entry := startFileServer(t)
	n := testpeer.Start(t, testpeer.Settings(), entry)
	leaving, leave := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(
			n.Chat(leaving, func(r *http.Request) { r.Header.Set("X-Trace-Id", leaver) }),
		)
		if err == nil {
			response.Body.Close()
		}
		left <- err
	}()
	over := ask(t, n)
	<-f.uploads
	leave()
	require.Error(t, <-left)
	time.Sleep(50 * time.Millisecond) // the node hears of it
	close(f.let)                      // the other's upload too, if both were in one file
	<-over
	require.Zero(t, f.leavers.Load())
	require.NotZero(t, f.made.Load(), "the other's")
}
