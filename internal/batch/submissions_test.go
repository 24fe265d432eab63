package batch_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint"
	"standpoint/internal/batch"
	"standpoint/internal/node"
	"standpoint/internal/store"
	"standpoint/internal/testpeer"
)

// Guards against writes for each line of a file at a batch backend: recording the file takes three writes, however many
// lines it has.
func TestWritesGrowWithFiles(t *testing.T) {
	t.Parallel()
	const lines = 45
	counter := testpeer.NewAttemptCounter()
	server := testpeer.NewBatchBackend(t, counter, succeed)
	var files atomic.Int64
	server.SetFault(func(r *http.Request) testpeer.CallFault {
		if isCreation(r) {
			files.Add(1)
		}
		return testpeer.NoFault
	})
	c := newCluster()
	m := startMember(t, c, 1, 10*time.Second, batchEndpoint("b", server))
	b := m.wait(m.submit(inputLines(lines), "1h").ID, 20*time.Second)
	require.Equal(t, batch.RequestCounts{Total: lines, Completed: lines}, b.RequestCounts)
	require.Eventually(t, func() bool { return len(c.List("submission/")) == 0 }, 5*time.Second, time.Millisecond)
	require.LessOrEqual(t, c.submissionWrites.Load(), 3*files.Load())
	require.Less(t, files.Load(), int64(lines/5))
}

// Guards against lines that run twice, or a batch that hangs, because a write failed while their file was at a batch
// backend, whether the write was carried out or not.
func TestEveryWriteOfASubmittedFileMayFail(t *testing.T) {
	t.Parallel()
	for _, carriedOut := range []bool{false, true} {
		for at := int64(5); at <= 14; at++ { // the first four writes store the input file and begin the batch
			t.Run(fmt.Sprintf("%d %v", at, carriedOut), func(t *testing.T) {
				t.Parallel()
				counter := testpeer.NewAttemptCounter()
				server := testpeer.NewBatchBackend(t, counter, succeed)
				settings := testpeer.Settings()
				settings.Cancel = false
				n := testpeer.Start(t, settings, batchEndpoint("b", server))
				kv := &interruptedStore{Memory: store.NewMemory(), failAt: at, carriedOut: carriedOut}
				c := start(t, n, kv, func(o *batch.Options) { o.LineTimeout = time.Second })
				b := c.wait(c.submit(inputLines(2), "1h").ID, 15*time.Second)
				require.Equal(t, batch.RequestCounts{Total: 2, Completed: 2}, b.RequestCounts)
				require.Equal(t, 1, counter.MaximumInFlight())
				executed, _ := server.Lines()
				require.Equal(t, 2, executed, "a line that has run must not run again")
			})
		}
	}
}

// storeSubmission uploads a file with the given number of lines to a server, creates a batch of it, and stores its
// record as an earlier leader would have done. The trace ID of line i is "feed" and i.
func storeSubmission(t *testing.T, kv store.Store, server *testpeer.BatchBackend, lines int) {
	t.Helper()
	var content strings.Builder
	var submitted []string
	for i := range lines {
		fmt.Fprintf(&content, `{"custom_id":"feed%[1]d-0","body":{"messages":[{"content":"line %[1]d"}]}}`+"\n", i)
		submitted = append(submitted, fmt.Sprintf(`{"trace":"feed%d"}`, i))
	}
	contentType, body := testpeer.BatchUpload(content.String())
	response, err := http.Post("http://"+server.Address+"/v1/files", contentType, body)
	require.NoError(t, err)
	response.Body.Close()
	at := &client{t, "http://" + server.Address}
	require.Equal(t, http.StatusOK, at.call(http.MethodPost, "/v1/batches", `{"input_file_id":"file-1"}`, nil))
	record := fmt.Sprintf(`{"backend":"b","address":%q,"file":"file-1","batch":"batch_0","lines":[%s]}`,
		server.Address, strings.Join(submitted, ","))
	_, err = kv.Write(t.Context(), store.Op{Key: "submission/1", Data: []byte(record)})
	require.NoError(t, err)
}

// submitInFlight creates a batch whose lines an earlier leader has left in flight until the given time, in a file at a
// server.
func submitInFlight(t *testing.T, c *cluster, server *testpeer.BatchBackend, lines int, until time.Time) batch.Batch {
	t.Helper()
	_, first := serve(t, testpeer.Start(t, testpeer.Settings()),
		&memberStore{cluster: c, member: 1, gate: newProcessGate()}, nil)
	b := first.submit(inputLines(lines), "1h")
	storeSubmission(t, c, server, lines)
	for i := range lines {
		record := fmt.Sprintf(`{"state":"out","until":%d,"tries":1,"trace":"feed%d"}`, until.UnixMilli(), i)
		key := fmt.Sprintf("line/%s/%06d", b.ID, i)
		_, err := c.Memory.Write(t.Context(), store.Op{Key: key, Data: []byte(record)})
		require.NoError(t, err)
	}
	return b
}

// Guards against batches that no line waits for and that keep a server busy: the next leader cancels them, and deletes
// their record.
func TestUnwantedSubmissionIsCancelled(t *testing.T) {
	t.Parallel()
	cancelled := make(chan struct{}, 10)
	release := make(chan struct{})
	server := testpeer.NewBatchBackend(t, testpeer.NewAttemptCounter(), func(string, int) int {
		<-release // a batch that has ended needs no cancel
		return http.StatusOK
	})
	server.SetFault(func(r *http.Request) testpeer.CallFault {
		if r.URL.Path == "/v1/batches/batch_0/cancel" {
			cancelled <- struct{}{}
		}
		return testpeer.NoFault
	})
	c := newCluster()
	storeSubmission(t, c, server, 1)
	startMember(t, c, 1, time.Minute)
	<-cancelled
	close(release)
	require.Eventually(t, func() bool { return len(c.List("submission/")) == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a file that keeps a server busy, and a record that stays, because the batch of its lines has failed
// under the next leader without them: its input is not whole.
func TestSubmissionOfFailedBatchIsCancelled(t *testing.T) {
	t.Parallel()
	cancelled := make(chan struct{}, 10)
	release := make(chan struct{})
	server := testpeer.NewBatchBackend(t, testpeer.NewAttemptCounter(), func(string, int) int {
		<-release
		return http.StatusOK
	})
	server.SetFault(func(r *http.Request) testpeer.CallFault {
		if r.URL.Path == "/v1/batches/batch_0/cancel" {
			cancelled <- struct{}{}
		}
		return testpeer.NoFault
	})
	c := newCluster()
	b := submitInFlight(t, c, server, 1, time.Now().Add(time.Minute))
	chunk := store.Op{Key: "data/" + b.InputFileID + "/000000", ExpectedVersion: store.AnyVersion}
	_, err := c.Memory.Write(t.Context(), chunk)
	require.NoError(t, err)
	m := startMember(t, c, 1, time.Minute)
	require.Equal(t, batch.Failed, m.wait(b.ID, 5*time.Second).Status)
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Error("the batch at the server was not cancelled")
	}
	close(release)
	require.Eventually(t, func() bool { return len(c.List("submission/")) == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a server that cannot end because it drains while a file of an earlier leader is there: the batch is
// cancelled, and its line is sent to another server.
func TestDrainCancelsRecoveredSubmission(t *testing.T) {
	t.Parallel()
	for name, drained := range map[string]standpoint.State{
		"draining": standpoint.Draining, "removed": standpoint.Removed,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			counter := testpeer.NewAttemptCounter()
			blocked := make(chan struct{})
			busy := testpeer.NewBatchBackend(t, counter, func(string, int) int {
				<-blocked
				return http.StatusTooManyRequests
			})
			cancelled := make(chan struct{}, 10)
			busy.SetFault(func(r *http.Request) testpeer.CallFault {
				if r.URL.Path == "/v1/batches/batch_0/cancel" {
					cancelled <- struct{}{}
				}
				return testpeer.NoFault
			})
			other := testpeer.NewBatchBackend(t, counter, succeed)
			c := newCluster()
			id := submitInFlight(t, c, busy, 1, time.Now().Add(4*time.Second)).ID
			endpoints := []node.Endpoint{batchEndpoint("b", busy), batchEndpoint("b2", other)}
			m := startMember(t, c, 1, 10*time.Second, endpoints...)
			require.Never(t, func() bool { return len(cancelled) > 0 }, 200*time.Millisecond, 10*time.Millisecond)
			endpoints[0].State = drained
			m.node.UpdateEndpoints(endpoints...)
			<-cancelled
			close(blocked)
			b := m.wait(id, 10*time.Second)
			require.Equal(t, batch.RequestCounts{Total: 1, Completed: 1}, b.RequestCounts)
			require.Equal(t, 1, counter.MaximumInFlight())
		})
	}
}

// Guards against lines that are sent one at a time after the next leader has cancelled their late file, as if that said
// something about the capacity of the servers: they fit in one file again, or in three if they are sent apart.
func TestCancelledFileKeepsTheLimit(t *testing.T) {
	t.Parallel()
	const lines = 16
	counter := testpeer.NewAttemptCounter()
	var late atomic.Bool
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	server := testpeer.NewBatchBackend(t, counter, func(string, int) int {
		if late.CompareAndSwap(false, true) {
			<-released
			return http.StatusTooManyRequests
		}
		return http.StatusOK
	})
	c := newCluster()
	id := submitInFlight(t, c, server, lines, time.Now().Add(1500*time.Millisecond)).ID
	var creations atomic.Int32
	server.SetFault(func(r *http.Request) testpeer.CallFault {
		if isCreation(r) {
			creations.Add(1)
		}
		if r.URL.Path == "/v1/batches/batch_0/cancel" {
			time.AfterFunc(100*time.Millisecond, release)
		}
		return testpeer.NoFault
	})
	edit := func(o *batch.Options) { o.MaxConcurrentLines = lines }
	b := startMemberWith(t, c, 1, edit, batchEndpoint("b", server)).wait(id, 20*time.Second)
	require.Equal(t, batch.RequestCounts{Total: lines, Completed: lines}, b.RequestCounts)
	require.LessOrEqual(t, creations.Load(), int32(3))
}
