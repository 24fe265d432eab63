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

// A file with errors is not run; each error names its line.
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

// An upload that breaks off in the store, or with the member that took it, leaves no file that can be seen, and
// nothing else once somebody leads again.
func TestUploadsThatBreakOff(t *testing.T) {
	keys := &interruptedStore{Memory: store.NewMemory(), at: 2}
	core := testpeer.Start(t, testpeer.Settings())
	service, c := serve(t, core, keys, func(o *batch.Options) { o.MaxFileBytes = 8 << 20 })
	content := inputLines(5000) // three chunks
	require.Equal(t, http.StatusServiceUnavailable, c.upload(content, nil))
	require.Empty(t, keys.List(""))
	// A member that dies in the middle: its chunks stay, and no record of the file.
	torn := store.Op{Key: "data/file-torn/000000", Data: []byte("half")}
	_, err := keys.Memory.Write(t.Context(), torn)
	require.NoError(t, err)
	var file batch.File
	require.Equal(t, http.StatusOK, c.upload(content, &file))
	require.Equal(t, http.StatusNotFound, c.call(http.MethodGet, "/v1/files/file-torn/content", "", nil))
	run(t, service)
	require.Eventually(t, func() bool { return keys.Get(torn.Key).Version == 0 }, 5*time.Second, time.Millisecond)
	var stored string
	require.Equal(t, http.StatusOK, c.call(http.MethodGet, "/v1/files/"+file.ID+"/content", "", &stored))
	require.Equal(t, content, stored, "a complete one stays")
}

// Files that nobody deletes do not fill the store: beyond a bound no further one is accepted until some are deleted.
// The lines of a batch that is over are not kept besides its files.
func TestFilesThatNobodyDeletes(t *testing.T) {
	backend := streamingBackend(t, testpeer.NewAttemptCounter(), succeed)
	core := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", backend))
	keys := store.NewMemory()
	c := start(t, core, keys, func(o *batch.Options) { o.MaxTotalFileBytes = 4 << 10 })
	b := c.wait(c.submit(inputLines(2), "1h").ID, 10*time.Second)
	require.Eventually(t, func() bool {
		return len(keys.List("line/"))+len(keys.List("result/")) == 0
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
