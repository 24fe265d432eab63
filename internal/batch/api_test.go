package batch_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/batch"
	"standpoint/internal/store"
	"standpoint/internal/testpeer"
)

// A batch whose input file has errors must fail before any line is sent, with an error for each faulty line.
func TestValidationNamesTheLine(t *testing.T) {
	c := start(t, testpeer.Start(t, testpeer.Settings()), store.NewMemory(), nil)
	valid := strings.TrimSuffix(inputLines(1), "\n")
	withID := func(id string) string { return strings.Replace(valid, "sheet-0", id, 1) }
	b := c.submit(strings.Join([]string{
		valid,
		"",
		"{not json",
		valid,
		strings.Replace(withID("s"), "chat/completions", "embeddings", 1),
		strings.Replace(withID("u"), "line 0", strings.Repeat("x", 256<<10), 1),
		`{"custom_id":"v","method":"GET","url":"/v1/chat/completions","body":{}}`,
		`{"custom_id":"w","method":"POST","url":"/v1/chat/completions","body":{"messages":[]}}`,
	}, "\n"), "24h")
	b = c.wait(b.ID, 5*time.Second)
	require.Equal(t, batch.Failed, b.Status)
	got := map[int]batch.ValidationCode{}
	for _, invalid := range b.Errors.Data {
		got[invalid.Line] = invalid.Code
	}
	require.Equal(t, map[int]batch.ValidationCode{
		3: "invalid_json_line",
		4: "duplicate_custom_id",
		5: "invalid_url",
		6: "request_too_large",
		7: "invalid_method",
		8: "invalid_request",
	}, got)
}

func TestInvalidBatchesNameTheParameter(t *testing.T) {
	_, c := serve(t, testpeer.Start(t, testpeer.Settings()), store.NewMemory(), nil)
	var file batch.File
	require.Equal(t, http.StatusOK, c.upload(inputLines(1), &file))
	const create = `{"input_file_id":%q,"endpoint":%q,"completion_window":%q}`
	for param, body := range map[string]string{
		"input_file_id":     fmt.Sprintf(create, "file-none", batch.Endpoint, "24h"),
		"endpoint":          fmt.Sprintf(create, file.ID, "/v1/x", "24h"),
		"completion_window": fmt.Sprintf(create, file.ID, batch.Endpoint, "ever"),
	} {
		var answer string
		require.Equal(t, http.StatusBadRequest, c.call(http.MethodPost, "/v1/batches", body, &answer))
		require.Contains(t, answer, fmt.Sprintf(`"param":%q`, param))
	}
}

// An upload that is interrupted by a failed write, or because the receiving member stops, must leave no visible file.
// Its chunks must be deleted at once or by the next leader.
func TestInterruptedUploadsLeaveNoFile(t *testing.T) {
	kv := &interruptedStore{Memory: store.NewMemory(), failAt: 2}
	core := testpeer.Start(t, testpeer.Settings())
	service, c := serve(t, core, kv, func(o *batch.Options) { o.MaxFileBytes = 8 << 20 })
	content := inputLines(5000) // three chunks
	require.Equal(t, http.StatusServiceUnavailable, c.upload(content, nil))
	require.Empty(t, kv.List(""))
	// A member that stops during an upload leaves chunks but no record of the file.
	orphan := store.Op{Key: "data/file-torn/000000", Data: []byte("half")}
	_, err := kv.Memory.Write(t.Context(), orphan)
	require.NoError(t, err)
	var file batch.File
	require.Equal(t, http.StatusOK, c.upload(content, &file))
	require.Equal(t, http.StatusNotFound, c.call(http.MethodGet, "/v1/files/file-torn/content", "", nil))
	run(t, service)
	require.Eventually(t, func() bool { return kv.Get(orphan.Key).Version == 0 }, 5*time.Second, time.Millisecond)
	var stored string
	require.Equal(t, http.StatusOK, c.call(http.MethodGet, "/v1/files/"+file.ID+"/content", "", &stored))
	require.Equal(t, content, stored, "a complete file must not be deleted")
}

// Guards against a store that grows without bound: once the files have MaxTotalFileBytes together, uploads must be
// rejected until files are deleted, and the lines of a batch that is over must be deleted.
func TestStoredFilesAreBounded(t *testing.T) {
	backend := streamingBackend(t, testpeer.NewAttemptCounter(), succeed)
	core := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", backend))
	kv := store.NewMemory()
	c := start(t, core, kv, func(o *batch.Options) { o.MaxTotalFileBytes = 4 << 10 })
	b := c.wait(c.submit(inputLines(2), "1h").ID, 10*time.Second)
	require.Eventually(t, func() bool {
		return len(kv.List("line/"))+len(kv.List("result/")) == 0
	}, 5*time.Second, time.Millisecond)
	_, written := c.results(b.OutputFileID)
	require.Equal(t, 2, written)
	var file batch.File
	accepted := 0
	for ; c.upload(strings.Repeat("x", 1<<10), &file) == http.StatusOK; accepted++ {
		require.Less(t, accepted, 4)
	}
	var answer string
	require.Equal(t, http.StatusInsufficientStorage, c.upload(strings.Repeat("x", 1<<10), &answer))
	require.Contains(t, answer, "delete some")
	require.Equal(t, http.StatusOK, c.call(http.MethodDelete, "/v1/files/"+b.OutputFileID, "", nil))
	require.Equal(t, http.StatusOK, c.call(http.MethodDelete, "/v1/files/"+b.InputFileID, "", nil))
	require.Equal(t, http.StatusOK, c.upload(strings.Repeat("x", 100), nil))
}

// Guards against a creation that is answered 503 with Retry-After, which promises that a retry is harmless, although it
// is unknown whether the batch was created. A write that was certainly not carried out is answered so.
func TestUnknownOutcomeIsNoRefusal(t *testing.T) {
	n := testpeer.Start(t, testpeer.Settings())
	interrupted := &interruptedStore{Memory: store.NewMemory(), carriedOut: true}
	_, c := serve(t, n, interrupted, nil)
	var file batch.File
	require.Equal(t, http.StatusOK, c.upload(inputLines(1), &file))
	interrupted.failAt = interrupted.writes.Load() + 1
	const create = `{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"1h"}`
	status, retryAfter := c.create(fmt.Sprintf(create, file.ID))
	require.Equal(t, http.StatusInternalServerError, status)
	require.Empty(t, retryAfter)

	follower := &electedStore{Memory: store.NewMemory()}
	follower.term.Store(1)
	service, c := serve(t, n, follower, nil)
	service.MemberAddresses = nil
	require.Equal(t, http.StatusOK, c.upload(inputLines(1), &file))
	follower.term.Store(0)
	status, retryAfter = c.create(fmt.Sprintf(create, file.ID))
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, retryAfter)
}
