package batch_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/batch"
	"standpoint/internal/store"
	"standpoint/internal/testpeer"
)

// unknownOutcomeLines is the number of lines of the batches in the tests below.
const unknownOutcomeLines = 6

// isCreation reports whether a call creates a batch.
func isCreation(r *http.Request) bool {
	return r.Method == http.MethodPost && r.URL.Path == "/v1/batches"
}

// isListing reports whether a call lists batches.
func isListing(r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Path == "/v1/batches"
}

// isPollOfFirst reports whether a call polls a server's first batch.
func isPollOfFirst(r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Path == "/v1/batches/batch_0"
}

// firstCreation returns a function that reports true for the first call that creates a batch, at any of the servers
// that share it.
func firstCreation() func(*http.Request) bool {
	var creations atomic.Int32
	return func(r *http.Request) bool { return isCreation(r) && creations.Add(1) == 1 }
}

// faultyBatch runs a batch on two servers that accept files, whose calls fail as fault decides. Each line runs for
// lineTime. It returns the ended batch, its client and the attempts at the servers.
func faultyBatch(
	t *testing.T, lineTime time.Duration, fault func(*http.Request) testpeer.CallFault,
) (batch.Batch, *client, *testpeer.AttemptCounter) {
	t.Helper()
	counter := testpeer.NewAttemptCounter()
	settings := testpeer.Settings()
	settings.Cancel = false
	run := func(string, int) int {
		time.Sleep(lineTime)
		return http.StatusOK
	}
	first := testpeer.NewBatchBackend(t, counter, run)
	second := testpeer.NewBatchBackend(t, counter, run)
	first.SetFault(fault)
	second.SetFault(fault)
	n := testpeer.Start(t, settings, batchEndpoint("b1", first), batchEndpoint("b2", second))
	c := start(t, n, store.NewMemory(), nil)
	b := c.wait(c.submit(inputLines(unknownOutcomeLines), "1h").ID, 20*time.Second)
	time.Sleep(unknownOutcomeLines * lineTime) // attempts that still run at a server end
	return b, c, counter
}

// requireUnresolved requires that each line ran at most once, and that the lines without a response have an error that
// says that they may have been executed. It returns the number of these.
func requireUnresolved(t *testing.T, b batch.Batch, c *client, counter *testpeer.AttemptCounter) int {
	t.Helper()
	require.Equal(t, 1, counter.MaximumInFlight(), "no line may have two attempts in flight")
	for line, attempts := range counter.Attempts() {
		require.Equal(t, 1, attempts, line)
	}
	served, _ := c.results(b.OutputFileID)
	failed, _ := c.results(b.ErrorFileID)
	require.Len(t, failed, unknownOutcomeLines-len(served))
	for id, result := range failed {
		require.Equal(t, batch.CodeServerError, result.Error.Code, id)
		require.Contains(t, result.Error.Message, "may have been executed")
	}
	return len(failed)
}

// requireAllServedOnce requires that each line ran once and has a response.
func requireAllServedOnce(t *testing.T, b batch.Batch, counter *testpeer.AttemptCounter) {
	t.Helper()
	counts := batch.RequestCounts{Total: unknownOutcomeLines, Completed: unknownOutcomeLines}
	require.Equal(t, counts, b.RequestCounts)
	require.Equal(t, 1, counter.MaximumInFlight(), "no line may have two attempts in flight")
	for line, attempts := range counter.Attempts() {
		require.Equal(t, 1, attempts, line)
	}
}

// Guards against lines that run twice at once after the response to the creation of a batch at a server was lost, came
// with an error of the server, or could not be read: the batch may exist, and is looked for.
func TestUncertainCreationOfBatch(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]testpeer.CallFault{
		"lost":       testpeer.LostAnswer,
		"error":      testpeer.ServerFault,
		"unreadable": testpeer.BadAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			isFirst := firstCreation()
			b, _, counter := faultyBatch(t, 100*time.Millisecond, func(r *http.Request) testpeer.CallFault {
				if isFirst(r) {
					return fault
				}
				return testpeer.NoFault
			})
			requireAllServedOnce(t, b, counter)
		})
	}
}

// Guards against lines that are given up although the server never got the call to create their batch: it lists no
// such batch after the input file was deleted, so that they are sent again.
func TestLostCreationOfBatch(t *testing.T) {
	t.Parallel()
	isFirst := firstCreation()
	b, _, counter := faultyBatch(t, 50*time.Millisecond, func(r *http.Request) testpeer.CallFault {
		if isFirst(r) {
			return testpeer.LostCall
		}
		return testpeer.NoFault
	})
	requireAllServedOnce(t, b, counter)
}

// Guards against lines that run twice at once where a server cannot say whether it has created their batch: they get
// an error at once, and are not sent again.
func TestUncertainCreationAtServerWithoutList(t *testing.T) {
	t.Parallel()
	isFirst := firstCreation()
	b, c, counter := faultyBatch(t, 200*time.Millisecond, func(r *http.Request) testpeer.CallFault {
		switch {
		case isListing(r):
			return testpeer.Unsupported
		case isFirst(r):
			return testpeer.LostAnswer
		}
		return testpeer.NoFault
	})
	require.NotZero(t, requireUnresolved(t, b, c, counter))
}

// Guards against lines that run twice at once because their server does not answer polls for the time after which it
// counts as lost, although it still runs them.
func TestLostPollsOfBatch(t *testing.T) {
	t.Parallel()
	b, c, counter := faultyBatch(t, 300*time.Millisecond, func(r *http.Request) testpeer.CallFault {
		if isPollOfFirst(r) {
			return testpeer.LostCall
		}
		return testpeer.NoFault
	})
	require.NotZero(t, requireUnresolved(t, b, c, counter))
}

// Guards against lines that run again because the response with their results was lost: they are fetched again.
func TestLostResultsOfBatch(t *testing.T) {
	t.Parallel()
	var fetches atomic.Int32
	b, _, counter := faultyBatch(t, time.Millisecond, func(r *http.Request) testpeer.CallFault {
		if r.Method == http.MethodGet && strings.HasSuffix(r.URL.Path, "/content") && fetches.Add(1) <= 3 {
			return testpeer.LostAnswer
		}
		return testpeer.NoFault
	})
	requireAllServedOnce(t, b, counter)
}

// Guards against lines that are given up although the process that ran them is gone: nothing listens at its address.
func TestStoppedBatchServer(t *testing.T) {
	t.Parallel()
	counter := testpeer.NewAttemptCounter()
	settings := testpeer.Settings()
	settings.Cancel = false
	var stopped *testpeer.BatchBackend
	var once sync.Once
	stopped = testpeer.NewBatchBackend(t, counter, func(string, int) int {
		once.Do(func() { go stopped.Stop() })
		time.Sleep(100 * time.Millisecond)
		return http.StatusOK
	})
	other := testpeer.NewBatchBackend(t, counter, succeed)
	n := testpeer.Start(t, settings, batchEndpoint("b1", stopped))
	c := start(t, n, store.NewMemory(), nil)
	id := c.submit(inputLines(unknownOutcomeLines), "1h").ID
	require.Eventually(t, func() bool { return stopped.Waiting() > 0 }, 5*time.Second, time.Millisecond)
	n.UpdateEndpoints(batchEndpoint("b1", stopped), batchEndpoint("b2", other))
	b := c.wait(id, 20*time.Second)
	counts := batch.RequestCounts{Total: unknownOutcomeLines, Completed: unknownOutcomeLines}
	require.Equal(t, counts, b.RequestCounts)
	require.Equal(t, 1, counter.MaximumInFlight(), "no line may have two attempts in flight")
	ran, _ := stopped.Lines()
	require.Positive(t, ran, "the server must have begun a line")
}
