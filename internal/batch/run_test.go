package batch_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"standpoint"
	"standpoint/internal/batch"
	"standpoint/internal/node"
	"standpoint/internal/store"
	"standpoint/internal/testpeer"
)

// 2,000 lines over two streaming backends and two that take files: one of the latter drains halfway, and every
// seventh line fails at its first attempt. Each line has its answer once, and never two attempts in flight.
func TestTwoThousandLines(t *testing.T) {
	const n = 2000
	ledger := testpeer.NewAttemptCounter()
	answer := func(line string, attempt int) int {
		time.Sleep(time.Millisecond)
		var i int
		_, err := fmt.Sscanf(line, "line %d", &i)
		assert.NoError(t, err)
		if i%7 == 0 && attempt == 1 {
			return http.StatusInternalServerError
		}
		return http.StatusOK
	}
	settings := testpeer.Settings()
	settings.Cancel = false
	settings.Kinds = 2
	var once sync.Once
	var drained *testpeer.BatchBackend
	var drain func()
	drained = testpeer.NewBatchBackend(t, ledger, func(line string, attempt int) int {
		if drained.Waiting() > 1 { // in the middle of a file, however many a slow machine lets come to it
			once.Do(drain)
		}
		return answer(line, attempt)
	})
	other := testpeer.NewBatchBackend(t, ledger, answer)
	endpoints := []node.Endpoint{
		testpeer.Endpoint("s1", streamingBackend(t, ledger, answer)),
		testpeer.Endpoint("s2", streamingBackend(t, ledger, answer)),
		batchEndpoint("b1", drained),
		batchEndpoint("b2", other),
	}
	endpoints[2].Kind = 1
	endpoints[3].Kind = 1
	core := testpeer.Start(t, settings, endpoints...)
	drain = func() {
		draining := slices.Clone(endpoints)
		draining[2].State = standpoint.Draining
		core.UpdateEndpoints(draining...)
		time.Sleep(200 * time.Millisecond) // the line is being run while the cancel comes
	}
	c := start(t, core, store.NewMemory(), nil)
	b := c.submit(inputLines(n), "10m")
	b = c.wait(b.ID, time.Minute)
	require.Equal(t, batch.Completed, b.Status)
	require.Equal(t, batch.RequestCounts{Total: n, Completed: n}, b.RequestCounts)
	results, written := c.results(b.OutputFileID)
	require.Equal(t, n, written)
	for i := range n {
		name := fmt.Sprintf("line %d", i)
		result := results[fmt.Sprintf("sheet-%d", i)]
		require.NotNil(t, result.Response, name)
		require.Contains(t, string(result.Response.Body), "answer to "+name)
		require.Equal(t, 1, ledger.Answers()[name], name)
	}
	ranDrained, unrun := drained.Lines()
	ranOther, _ := other.Lines()
	t.Logf("drained backend %d lines run and %d left unrun, the other that takes files %d, streaming backends %d",
		ranDrained, unrun, ranOther, n-ranDrained-ranOther)
	require.Positive(t, unrun, "the drain found lines that had not run")
	require.Positive(t, min(ranDrained, ranOther), "both backends that take files had work")
	require.Equal(t, 1, ledger.MaximumInFlight(), "no line ever has two attempts in flight")
}

// A cancel, and the end of the window, leave every line with its one result all the same.
func TestCancelAndExpiry(t *testing.T) {
	ledger := testpeer.NewAttemptCounter()
	backend := streamingBackend(t, ledger, func(string, int) int {
		time.Sleep(50 * time.Millisecond)
		return http.StatusOK
	})
	core := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", backend))
	c := start(t, core, store.NewMemory(), func(o *batch.Options) { o.MaxConcurrentLines = 2 })
	for _, test := range []struct {
		window string
		cancel bool
		status batch.Status
		code   batch.LineErrorCode
	}{
		{"1h", true, batch.Cancelled, "batch_cancelled"},
		{"1s", false, batch.Expired, "batch_expired"},
	} {
		b := c.submit(inputLines(100), test.window)
		if test.cancel {
			before := ledger.Total()
			require.Eventually(t, func() bool { return ledger.Total() > before }, 5*time.Second, time.Millisecond)
			require.Equal(t, http.StatusOK, c.call(http.MethodPost, "/v1/batches/"+b.ID+"/cancel", "", nil))
		}
		b = c.wait(b.ID, 10*time.Second)
		require.Equal(t, test.status, b.Status)
		answered, answers := c.results(b.OutputFileID)
		failed, failures := c.results(b.ErrorFileID)
		require.Equal(t, 100, answers+failures)
		require.Equal(t, 100, len(answered)+len(failed), "no line twice")
		require.Equal(t, batch.RequestCounts{Total: 100, Completed: answers, Failed: failures}, b.RequestCounts)
		codes := map[batch.LineErrorCode]bool{}
		for _, result := range failed {
			codes[result.Error.Code] = true
		}
		require.True(t, codes[test.code])
	}
}

// A line that the store has as out is not sent by the next leader until its time has passed, and a line that has its
// result, an answer or an error, is not sent at all.
func TestRestartWaitsForLinesThatWereOut(t *testing.T) {
	ledger := testpeer.NewAttemptCounter()
	core := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", streamingBackend(t, ledger, succeed)))
	keys := store.NewMemory()
	until := time.Now().Add(1500 * time.Millisecond)
	_, first := serve(t, core, keys, nil) // takes the file, and dies before it runs all of it
	b := first.submit(inputLines(4), "1h")
	write := func(format string, line int, data string) {
		t.Helper()
		_, err := keys.Write(t.Context(), store.Op{Key: fmt.Sprintf(format, b.ID, line), Data: []byte(data)})
		require.NoError(t, err)
	}
	write("line/%s/%06d", 0, fmt.Sprintf(`{"state":"out","until":%d,"tries":1}`, until.UnixMilli()))
	write("line/%s/%06d", 1, `{"state":"completed","tries":1}`)
	write("line/%s/%06d", 2, `{"state":"failed","tries":1}`)
	write("result/%s/%06d", 1, `{"id":"x","custom_id":"sheet-1",`+
		`"response":{"status_code":200,"request_id":"r","body":{}},"error":null}`)
	write("result/%s/%06d", 2, `{"id":"y","custom_id":"sheet-2","response":null,`+
		`"error":{"code":"server_error","message":"m"}}`)
	second := start(t, core, keys, nil)
	require.Eventually(t, func() bool { return ledger.Total() == 1 }, time.Second, time.Millisecond)
	b = second.wait(b.ID, 10*time.Second)
	require.False(t, time.Now().Before(until))
	require.Equal(t, batch.RequestCounts{Total: 4, Completed: 3, Failed: 1}, b.RequestCounts)
	require.Equal(t, map[string]int{"line 0": 1, "line 3": 1}, ledger.Attempts())
}

// A leader that loses leadership ends its attempts at once, even a stream that has begun, and writes no result; the
// next leader waits until the time that the store names.
func TestLostLeadershipEndsAttempts(t *testing.T) {
	ledger := testpeer.NewAttemptCounter()
	begun := make(chan struct{})
	ended := make(chan time.Time, 1)
	backend := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := ledger.Begin("line 0")
		defer ledger.End("line 0", attempt > 1)
		testpeer.WriteEvent(w, "half")
		if attempt == 1 {
			close(begun)
			<-r.Context().Done()
			ended <- time.Now()
			return
		}
		testpeer.WriteStreamEnd(w)
	})
	core := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", backend))
	keys := &electedStore{Memory: store.NewMemory()}
	keys.term.Store(1)
	c := start(t, core, keys, func(o *batch.Options) { o.LineTimeout = 2 * time.Second })
	sent := time.Now()
	b := c.submit(inputLines(1), "1h")
	<-begun
	lost := time.Now()
	keys.term.Store(0)
	require.Less(t, (<-ended).Sub(lost), 500*time.Millisecond)
	keys.term.Store(2)
	b = c.wait(b.ID, 10*time.Second)
	require.Greater(t, time.Since(sent), 2*time.Second)
	require.Equal(t, batch.RequestCounts{Total: 1, Completed: 1}, b.RequestCounts)
	require.Equal(t, 2, ledger.Attempts()["line 0"])
	require.Equal(t, 1, ledger.MaximumInFlight())
}

// Whichever write of a batch fails, carried out or not, every line gets its one result, and no line has two attempts
// in flight at once.
func TestEveryWriteOfABatchMayBreakOff(t *testing.T) {
	for _, carriedOut := range []bool{false, true} {
		for at := int64(4); at <= 12; at++ { // the first three are the client's: its file, and the batch
			t.Run(fmt.Sprintf("%d %v", at, carriedOut), func(t *testing.T) {
				t.Parallel()
				ledger := testpeer.NewAttemptCounter()
				backend := streamingBackend(t, ledger, succeed)
				core := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", backend))
				keys := &interruptedStore{Memory: store.NewMemory(), at: at, carriedOut: carriedOut}
				c := start(t, core, keys, func(o *batch.Options) { o.LineTimeout = time.Second })
				b := c.wait(c.submit(inputLines(2), "1h").ID, 15*time.Second)
				require.Equal(t, batch.Completed, b.Status)
				require.Equal(t, batch.RequestCounts{Total: 2, Completed: 2}, b.RequestCounts)
				_, written := c.results(b.OutputFileID)
				require.Equal(t, 2, written)
				require.Equal(t, 1, ledger.MaximumInFlight())
				require.LessOrEqual(t, ledger.Total(), 3, "one line at the most was sent again")
			})
		}
	}
}

// A batch whose input is not complete fails, and says so; it does not wait for ever.
func TestInputThatIsNotWhole(t *testing.T) {
	core := testpeer.Start(t, testpeer.Settings())
	keys := store.NewMemory()
	_, c := serve(t, core, keys, nil)
	b := c.submit(inputLines(1), "1h")
	chunk := "data/" + b.InputFileID + "/000000"
	_, err := keys.Write(t.Context(), store.Op{Key: chunk, ExpectedVersion: store.AnyVersion})
	require.NoError(t, err)
	b = start(t, core, keys, nil).wait(b.ID, 5*time.Second)
	require.Equal(t, batch.Failed, b.Status)
	require.Contains(t, b.Errors.Data[0].Message, "not whole")
}

// A line whose time runs out at a backend that takes files is not sent again before that backend has said that it is
// over.
func TestALineThatCannotBeCalledBack(t *testing.T) {
	t.Parallel()
	ledger := testpeer.NewAttemptCounter()
	settings := testpeer.Settings()
	settings.Cancel = false
	server := testpeer.NewBatchBackend(t, ledger, func(_ string, attempt int) int {
		if attempt == 1 {
			time.Sleep(2500 * time.Millisecond) // longer than a line's time: this is what is tested
		}
		return http.StatusOK
	})
	core := testpeer.Start(t, settings, batchEndpoint("b", server))
	c := start(t, core, store.NewMemory(), func(o *batch.Options) { o.LineTimeout = time.Second })
	b := c.wait(c.submit(inputLines(1), "1h").ID, 20*time.Second)
	require.Equal(t, batch.RequestCounts{Total: 1, Completed: 1}, b.RequestCounts)
	require.Equal(t, 2, ledger.Attempts()["line 0"])
	require.Equal(t, 1, ledger.MaximumInFlight())
}
