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

// A batch of 2,000 lines on two streaming backends and two that accept batch files. One of the latter drains halfway,
// and every seventh line fails at its first attempt. Each line must get one response and never have two attempts in
// flight.
func TestTwoThousandLines(t *testing.T) {
	const n = 2000
	counter := testpeer.NewAttemptCounter()
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
	drained = testpeer.NewBatchBackend(t, counter, func(line string, attempt int) int {
		if drained.Waiting() > 1 { // while lines of a file are queued, independent of the machine's speed
			once.Do(drain)
		}
		return answer(line, attempt)
	})
	other := testpeer.NewBatchBackend(t, counter, answer)
	endpoints := []node.Endpoint{
		testpeer.Endpoint("s1", streamingBackend(t, counter, answer)),
		testpeer.Endpoint("s2", streamingBackend(t, counter, answer)),
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
		time.Sleep(200 * time.Millisecond) // the line must still be running when the drain arrives
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
		require.Equal(t, 1, counter.Answers()[name], name)
	}
	ranDrained, unrun := drained.Lines()
	ranOther, _ := other.Lines()
	t.Logf("drained backend: %d lines run, %d not run; other batch backend: %d; streaming backends: %d",
		ranDrained, unrun, ranOther, n-ranDrained-ranOther)
	require.Positive(t, unrun, "the drain must find lines that have not run")
	require.Positive(t, min(ranDrained, ranOther), "both batch backends must run lines")
	require.Equal(t, 1, counter.MaximumInFlight(), "no line may have two attempts in flight")
}

// After a cancellation or the end of the completion window, each line must have exactly one result.
func TestCancelAndExpiry(t *testing.T) {
	counter := testpeer.NewAttemptCounter()
	backend := streamingBackend(t, counter, func(string, int) int {
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
			before := counter.Total()
			require.Eventually(t, func() bool { return counter.Total() > before }, 5*time.Second, time.Millisecond)
			require.Equal(t, http.StatusOK, c.call(http.MethodPost, "/v1/batches/"+b.ID+"/cancel", "", nil))
		}
		b = c.wait(b.ID, 10*time.Second)
		require.Equal(t, test.status, b.Status)
		answered, answers := c.results(b.OutputFileID)
		failed, failures := c.results(b.ErrorFileID)
		require.Equal(t, 100, answers+failures)
		require.Equal(t, 100, len(answered)+len(failed), "no line may have two results")
		require.Equal(t, batch.RequestCounts{Total: 100, Completed: answers, Failed: failures}, b.RequestCounts)
		codes := map[batch.LineErrorCode]bool{}
		for _, result := range failed {
			codes[result.Error.Code] = true
		}
		require.True(t, codes[test.code])
	}
}

// A new leader must not send a line that is stored as in flight until its time has passed, and must never send a line
// that has a result.
func TestRestartWaitsForLinesInFlight(t *testing.T) {
	counter := testpeer.NewAttemptCounter()
	core := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", streamingBackend(t, counter, succeed)))
	kv := store.NewMemory()
	until := time.Now().Add(1500 * time.Millisecond)
	_, first := serve(t, core, kv, nil) // stores the file and the batch, and runs no line
	b := first.submit(inputLines(4), "1h")
	write := func(format string, line int, data string) {
		t.Helper()
		_, err := kv.Write(t.Context(), store.Op{Key: fmt.Sprintf(format, b.ID, line), Data: []byte(data)})
		require.NoError(t, err)
	}
	write("line/%s/%06d", 0, fmt.Sprintf(`{"state":"out","until":%d,"tries":1}`, until.UnixMilli()))
	write("line/%s/%06d", 1, `{"state":"completed","tries":1}`)
	write("line/%s/%06d", 2, `{"state":"failed","tries":1}`)
	write("result/%s/%06d", 1, `{"id":"x","custom_id":"sheet-1",`+
		`"response":{"status_code":200,"request_id":"r","body":{}},"error":null}`)
	write("result/%s/%06d", 2, `{"id":"y","custom_id":"sheet-2","response":null,`+
		`"error":{"code":"server_error","message":"m"}}`)
	second := start(t, core, kv, nil)
	require.Eventually(t, func() bool { return counter.Total() == 1 }, time.Second, time.Millisecond)
	b = second.wait(b.ID, 10*time.Second)
	require.False(t, time.Now().Before(until))
	require.Equal(t, batch.RequestCounts{Total: 4, Completed: 3, Failed: 1}, b.RequestCounts)
	require.Equal(t, map[string]int{"line 0": 1, "line 3": 1}, counter.Attempts())
}

// Guards against an error for a line that says that it was not executed, while an attempt of an earlier leader may still
// run: the end of the completion window must not end the wait for the stored time of a line in flight.
func TestExpiryWaitsForLinesInFlight(t *testing.T) {
	t.Parallel()
	core := testpeer.Start(t, testpeer.Settings())
	kv := store.NewMemory()
	_, first := serve(t, core, kv, nil)
	b := first.submit(inputLines(2), "1s")
	until := time.Now().Add(2500 * time.Millisecond)
	record := fmt.Sprintf(`{"state":"out","until":%d,"tries":1}`, until.UnixMilli())
	_, err := kv.Write(t.Context(), store.Op{Key: "line/" + b.ID + "/000000", Data: []byte(record)})
	require.NoError(t, err)
	b = start(t, core, kv, nil).wait(b.ID, 10*time.Second)
	require.False(t, time.Now().Before(until))
	require.Equal(t, batch.Expired, b.Status)
	require.Equal(t, batch.RequestCounts{Total: 2, Failed: 2}, b.RequestCounts)
}

// A member that loses leadership must end its attempts at once, even a stream that has begun, and write no result. The
// next leader must wait until the stored time of the line in flight.
func TestLostLeadershipEndsAttempts(t *testing.T) {
	counter := testpeer.NewAttemptCounter()
	begun := make(chan struct{})
	ended := make(chan time.Time, 1)
	backend := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := counter.Begin("line 0")
		defer counter.End("line 0", attempt > 1)
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
	kv := &electedStore{Memory: store.NewMemory()}
	kv.term.Store(1)
	c := start(t, core, kv, func(o *batch.Options) { o.LineTimeout = 2 * time.Second })
	sent := time.Now()
	b := c.submit(inputLines(1), "1h")
	<-begun
	lostAt := time.Now()
	kv.term.Store(0)
	require.Less(t, (<-ended).Sub(lostAt), 500*time.Millisecond)
	kv.term.Store(2)
	b = c.wait(b.ID, 10*time.Second)
	require.Greater(t, time.Since(sent), 2*time.Second)
	require.Equal(t, batch.RequestCounts{Total: 1, Completed: 1}, b.RequestCounts)
	require.Equal(t, 2, counter.Attempts()["line 0"])
	require.Equal(t, 1, counter.MaximumInFlight())
}

// If any one write of a batch reports an error, whether it was carried out or not, each line must still get exactly one
// result, and no line may have two attempts in flight.
func TestEveryWriteOfABatchMayFail(t *testing.T) {
	for _, carriedOut := range []bool{false, true} {
		for at := int64(4); at <= 12; at++ { // the first three writes store the input file and the batch
			t.Run(fmt.Sprintf("%d %v", at, carriedOut), func(t *testing.T) {
				t.Parallel()
				counter := testpeer.NewAttemptCounter()
				backend := streamingBackend(t, counter, succeed)
				core := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", backend))
				kv := &interruptedStore{Memory: store.NewMemory(), failAt: at, carriedOut: carriedOut}
				c := start(t, core, kv, func(o *batch.Options) { o.LineTimeout = time.Second })
				b := c.wait(c.submit(inputLines(2), "1h").ID, 15*time.Second)
				require.Equal(t, batch.Completed, b.Status)
				require.Equal(t, batch.RequestCounts{Total: 2, Completed: 2}, b.RequestCounts)
				_, written := c.results(b.OutputFileID)
				require.Equal(t, 2, written)
				require.Equal(t, 1, counter.MaximumInFlight())
				require.LessOrEqual(t, counter.Total(), 3, "at most one line may be sent again")
			})
		}
	}
}

// A batch whose input file is incomplete must fail with a message instead of waiting forever.
func TestIncompleteInputFailsTheBatch(t *testing.T) {
	core := testpeer.Start(t, testpeer.Settings())
	kv := store.NewMemory()
	_, c := serve(t, core, kv, nil)
	b := c.submit(inputLines(1), "1h")
	chunk := "data/" + b.InputFileID + "/000000"
	_, err := kv.Write(t.Context(), store.Op{Key: chunk, ExpectedVersion: store.AnyVersion})
	require.NoError(t, err)
	b = start(t, core, kv, nil).wait(b.ID, 5*time.Second)
	require.Equal(t, batch.Failed, b.Status)
	require.Contains(t, b.Errors.Data[0].Message, "not whole")
}

// A line that times out at a backend that accepts batch files cannot be cancelled there. It must not be sent again
// before that backend has ended it.
func TestLineThatCannotBeCancelled(t *testing.T) {
	t.Parallel()
	counter := testpeer.NewAttemptCounter()
	settings := testpeer.Settings()
	settings.Cancel = false
	server := testpeer.NewBatchBackend(t, counter, func(_ string, attempt int) int {
		if attempt == 1 {
			time.Sleep(2500 * time.Millisecond) // longer than the line's timeout
		}
		return http.StatusOK
	})
	core := testpeer.Start(t, settings, batchEndpoint("b", server))
	c := start(t, core, store.NewMemory(), func(o *batch.Options) { o.LineTimeout = time.Second })
	b := c.wait(c.submit(inputLines(1), "1h").ID, 20*time.Second)
	require.Equal(t, batch.RequestCounts{Total: 1, Completed: 1}, b.RequestCounts)
	require.Equal(t, 2, counter.Attempts()["line 0"])
	require.Equal(t, 1, counter.MaximumInFlight())
}
