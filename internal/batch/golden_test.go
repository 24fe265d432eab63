package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/node"
	"standpoint/internal/store"
	"standpoint/internal/testpeer/golden"
)

// goldenBatch returns a batch with all fields set, each to a different value.
func goldenBatch() Batch {
	return Batch{
		ID:       "batch_1",
		Object:   "batch",
		Endpoint: Endpoint,
		Errors: &ValidationErrors{
			Object: "list",
			Data:   []ValidationError{{Code: "invalid_url", Message: "a message", Param: "url", Line: 2}},
		},
		InputFileID:      "file-3",
		CompletionWindow: "24h",
		Status:           Cancelled,
		OutputFileID:     "file-4",
		ErrorFileID:      "file-5",
		CreatedAt:        6,
		InProgressAt:     7,
		ExpiresAt:        8,
		FinalizingAt:     9,
		CompletedAt:      10,
		FailedAt:         11,
		ExpiredAt:        12,
		CancellingAt:     13,
		CancelledAt:      14,
		RequestCounts:    RequestCounts{Total: 15, Completed: 16, Failed: 17},
		Metadata:         map[string]string{"office": "payroll"},
	}
}

// The encoding of batches, files, lines and results in the store and in files, and the keys of the store.
func TestGoldenRecords(t *testing.T) {
	golden.JSON(t, "batch.json", goldenBatch())
	golden.JSON(t, "file.json", File{
		ID:        "file-1",
		Object:    "file",
		Bytes:     2,
		CreatedAt: 3,
		Filename:  "a.jsonl",
		Purpose:   "batch",
		Status:    "processed",
	})
	// Earlier versions store no trace ID.
	golden.JSON(t, "line.json", lineRecord{State: lineInFlight, Until: 1796121600000, Attempts: 2}, "TraceID")
	golden.JSON(t, "line_traced.json",
		lineRecord{State: lineInFlight, Until: 1796121600000, Attempts: 2, TraceID: "00ff"})
	golden.JSON(t, "submission.json", node.Submission{
		Backend: "files-1",
		Address: "127.0.0.1:9002",
		FileID:  "file-1",
		BatchID: "batch_1",
		Lines:   []node.SubmittedLine{{TraceID: "00ff", Attempt: 1}},
	}, "Key")
	golden.Bytes(t, "submission_key.txt", []byte(submissionKeyPrefix+"\n"))
	golden.JSON(t, "task.json", Task{
		CustomID: "sheet-1",
		Method:   "POST",
		URL:      Endpoint,
		Body:     json.RawMessage(`{"model":"m"}`),
	})
	golden.JSON(t, "result.json", Result{
		ID:       "batch_req_1",
		CustomID: "sheet-1",
		Response: &Response{StatusCode: 200, RequestID: "r", Body: json.RawMessage(`{"a":1}`)},
		Error:    &LineError{Code: "batch_expired", Message: "a message"},
	})
	golden.JSON(t, "page.json", listing[File]{
		Object: "list",
		Data: []File{{
			ID:        "file-1",
			Object:    "file",
			Bytes:     2,
			CreatedAt: 3,
			Filename:  "a",
			Purpose:   "batch",
			Status:    "processed",
		}},
		FirstID: "file-1",
		LastID:  "file-2",
		HasMore: true,
	})
	zeroValues, err := json.Marshal([]any{Batch{}, File{}, lineRecord{}, Result{}, ValidationError{}, listing[Batch]{}})
	require.NoError(t, err)
	golden.Bytes(t, "least.json", zeroValues)
	var lines []string
	for _, s := range []Status{Validating, Failed, InProgress, Finalizing, Completed, Expired, Cancelling, Cancelled} {
		lines = append(lines, fmt.Sprintf("%s %t", s, s.Terminal()))
	}
	for _, s := range []lineState{lineWaiting, lineInFlight, lineCompleted, lineFailed} {
		lines = append(lines, "line "+string(s))
	}
	lines = append(lines,
		batchKey("b"), fileKey("f"), lineKey("b", 7), resultKey("b", 7), chunkKey("f", 7),
		batchLinesPrefix("b"), batchResultsPrefix("b"), chunkKeyPrefix)
	golden.Bytes(t, "words.txt", []byte(strings.Join(lines, "\n")+"\n"))
}

// newGoldenService returns a service without a core, which cannot run batches.
func newGoldenService(t *testing.T, kv store.Store, edit func(*Options)) *Service {
	t.Helper()
	o := Options{
		Store:              kv,
		Log:                zap.NewNop(),
		Classes:            []string{"chat", "import"},
		Tenants:            []string{"acme", "bolt"},
		Fields:             RequestFields{Class: "class", Tenant: "tenant", Session: "session", Prefix: "prefix"},
		Defaults:           RequestFields{Class: "chat", Tenant: "acme", MaxTokens: 64},
		MaxConcurrentLines: 4,
		LineTimeout:        time.Second,
		MaxAttempts:        4,
		MaxFileBytes:       1 << 20,
		MaxTotalFileBytes:  2 << 20,
		MemberAddresses:    map[string]string{"other": "10.0.0.2:80"},
	}
	if edit != nil {
		edit(&o)
	}
	return New(o)
}

// The chunks and the record of a stored file, and the errors for incomplete and unknown files.
func TestGoldenStore(t *testing.T) {
	kv := store.NewMemory()
	service := newGoldenService(t, kv, nil)
	content := strings.Repeat("x", chunkBytes) + "tail"
	input := File{ID: "file-1", Filename: "a.jsonl", Purpose: "batch"}
	require.NoError(t, service.storeFile(t.Context(), input, []byte(content)))
	require.Equal(t, []string{"data/file-1/000000", "data/file-1/000001", "file/file-1"}, kv.List(""))
	require.Equal(t, "tail", string(kv.Get("data/file-1/000001").Data))
	file, ok := service.loadFile("file-1")
	require.True(t, ok)
	file.CreatedAt = 3
	raw, err := json.Marshal(file)
	require.NoError(t, err)
	golden.Bytes(t, "stored_file.json", raw)
	stored, err := service.fileContent("file-1")
	require.NoError(t, err)
	require.Equal(t, content, string(stored))
	_, err = kv.Write(t.Context(), store.Op{Key: "data/file-1/000001", ExpectedVersion: store.AnyVersion})
	require.NoError(t, err)
	_, incompleteErr := service.fileContent("file-1")
	_, unknownErr := service.fileContent("file-2")
	golden.Bytes(t, "content_errors.txt", []byte(incompleteErr.Error()+"\n"+unknownErr.Error()+"\n"))
}

// The stored record and result of a failed line, for each error code.
func TestGoldenFailedLines(t *testing.T) {
	kv := store.NewMemory()
	service := newGoldenService(t, kv, nil)
	var out []string
	for i, code := range []LineErrorCode{"batch_cancelled", "batch_expired", "server_error"} {
		l := &line{
			number:    i,
			task:      Task{CustomID: "sheet"},
			key:       lineKey("b", i),
			resultKey: resultKey("b", i),
			record:    lineRecord{Attempts: 3},
		}
		require.NoError(t, service.failLine(t.Context(), l, code))
		var r Result
		raw := kv.Get(l.resultKey).Data
		require.NoError(t, json.Unmarshal(raw, &r))
		require.Len(t, r.ID, len("batch_req_")+24)
		out = append(out, string(kv.Get(l.key).Data), strings.ReplaceAll(string(raw), r.ID, "ID"))
	}
	golden.Bytes(t, "failed_lines.txt", []byte(strings.Join(out, "\n")+"\n"))
}

// The request that is sent for a line, and the completion that is assembled from the response's events.
func TestGoldenLineRequestAndCompletion(t *testing.T) {
	service := newGoldenService(t, store.NewMemory(), nil)
	line := `{"model":"m","messages":[{"content":"an opening"},{"content":"x"}],"max_tokens":5,` +
		`"metadata":{"class":"import","tenant":"bolt","session":"s","prefix":"00000000000000ff"}}`
	request, body, invalid := service.requestFor(json.RawMessage(line))
	require.Nil(t, invalid)
	c := &responseCollector{}
	events := "data: {\"model\":\"m2\",\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]," +
		"\"usage\":{\"a\":1}}\n\ndata: [DONE]\n\n"
	require.NoError(t, c.Event([]byte(events)))
	completion, err := c.completion("id", "m", 1)
	require.NoError(t, err)
	golden.Bytes(t, "line_request.txt", fmt.Appendf(nil,
		"class %d tenant %d session %x prefix %x prompt %v opening %v answer %v\n%s\n%s\n",
		request.Class, request.Tenant, request.Session, request.Prefix,
		request.PromptTokens, request.PrefixTokens, request.MaxTokens, body, completion))
}

// The validation errors of an input file: codes, parameters and messages.
func TestGoldenFaults(t *testing.T) {
	service := newGoldenService(t, store.NewMemory(), nil)
	const good = `{"custom_id":"%s","method":"POST","url":"/v1/chat/completions","body":%s}`
	body := `{"model":"m","messages":[{"content":"x"}]}`
	lines := []string{
		fmt.Sprintf(good, "a", body),
		"{not json",
		fmt.Sprintf(good, "a", body),
		fmt.Sprintf(good, "", body),
		strings.Replace(fmt.Sprintf(good, "b", body), "POST", "GET", 1),
		strings.Replace(fmt.Sprintf(good, "c", body), "chat/completions", "embeddings", 1),
		fmt.Sprintf(good, "d", `{"messages":[]}`),
		fmt.Sprintf(good, "e", `[]`),
		fmt.Sprintf(good, "f", `{"messages":[{}],"metadata":{"class":"none"}}`),
		fmt.Sprintf(good, "g", `{"messages":[{}],"metadata":{"tenant":"none"}}`),
		strings.Repeat("x", maxLineBytes+1),
	}
	_, invalid := service.validate([]byte(strings.Join(lines, "\n")), Endpoint)
	_, empty := service.validate(nil, Endpoint)
	_, tooMany := service.validate(bytes.Repeat([]byte("{}\n"), maxLines+1), Endpoint)
	raw, err := json.MarshalIndent(append(append(invalid, empty...), tooMany...), "", " ")
	require.NoError(t, err)
	golden.Bytes(t, "faults.json", raw)
}

// followerStore is a store that another member or no member leads.
type followerStore struct {
	store.Memory
	leader string
}

func (l followerStore) Leadership() (uint64, bool) { return 0, false }
func (l followerStore) Leader() string             { return l.leader }

// readOnlyStore is a store that rejects all writes.
type readOnlyStore struct{ store.Memory }

func (readOnlyStore) Write(context.Context, ...store.Op) (uint64, error) {
	return 0, errors.New("store: the write broke off")
}

// apiCalls records the responses of a service's API.
type apiCalls struct {
	service   *Service
	responses []string
}

// call sends a request to the handler and records the response.
func (c *apiCalls) call(method, path, contentType, body string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if contentType != "" {
		r.Header.Set("Content-Type", contentType)
	}
	w := httptest.NewRecorder()
	c.service.Handler().ServeHTTP(w, r)
	header := w.Header()
	c.responses = append(c.responses, fmt.Sprintf("%s %s %d %q %q %q %s", method, path, w.Code,
		header.Get("Content-Type"), header.Get("Retry-After"), header.Get("Location"), w.Body))
}

// create requests a batch.
func (c *apiCalls) create(fileID, endpoint, window string) {
	const body = `{"input_file_id":%q,"endpoint":%q,"completion_window":%q}`
	c.call(http.MethodPost, "/v1/batches", "", fmt.Sprintf(body, fileID, endpoint, window))
}

// upload uploads a form with or without a file.
func (c *apiCalls) upload(t *testing.T, purpose, content string, withFile bool) {
	t.Helper()
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	require.NoError(t, form.SetBoundary("boundary"))
	require.NoError(t, form.WriteField("purpose", purpose))
	if withFile {
		part, err := form.CreateFormFile("file", "a.jsonl")
		require.NoError(t, err)
		_, err = part.Write([]byte(content))
		require.NoError(t, err)
	}
	require.NoError(t, form.Close())
	c.call(http.MethodPost, "/v1/files", form.FormDataContentType(), body.String())
}

// putJSON writes a value in JSON to a key.
func putJSON(t *testing.T, kv store.Store, key string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	require.NoError(t, err)
	_, err = kv.Write(t.Context(), store.Op{Key: key, Data: raw, ExpectedVersion: store.AnyVersion})
	require.NoError(t, err)
}

// The responses of the batch API: statuses, headers and bodies.
func TestGoldenAPI(t *testing.T) {
	kv := store.NewMemory()
	c := &apiCalls{service: newGoldenService(t, kv, nil)}
	putJSON(t, kv, fileKey("file-1"), File{
		ID:        "file-1",
		Object:    "file",
		Bytes:     2,
		CreatedAt: 3,
		Filename:  "a.jsonl",
		Purpose:   "batch",
		Status:    "processed",
	})
	putJSON(t, kv, fileKey("file-2"), File{
		ID:        "file-2",
		Object:    "file",
		Bytes:     2,
		CreatedAt: 4,
		Filename:  "b.jsonl",
		Purpose:   "batch_output",
		Status:    "processed",
	})
	_, err := kv.Write(t.Context(), store.Op{
		Key:             chunkKey("file-1", 0),
		Data:            []byte("{}"),
		ExpectedVersion: store.AnyVersion,
	})
	require.NoError(t, err)
	cancelled := goldenBatch()
	putJSON(t, kv, batchKey(cancelled.ID), cancelled)
	running := Batch{
		ID:               "batch_2",
		Object:           "batch",
		Endpoint:         Endpoint,
		InputFileID:      "file-1",
		CompletionWindow: "1h",
		Status:           InProgress,
		CreatedAt:        9,
		ExpiresAt:        10,
		RequestCounts:    RequestCounts{Total: 3},
	}
	putJSON(t, kv, batchKey(running.ID), running)
	putJSON(t, kv, lineKey(running.ID, 0), lineRecord{State: lineCompleted})
	putJSON(t, kv, lineKey(running.ID, 1), lineRecord{State: lineFailed})
	finalizing := running
	finalizing.ID, finalizing.Status = "batch_3", Finalizing
	putJSON(t, kv, batchKey(finalizing.ID), finalizing)
	for _, path := range []string{
		"/v1/files",
		"/v1/files?limit=1",
		"/v1/files?limit=0",
		"/v1/files?after=none",
		"/v1/files?after=file-2",
		"/v1/files/file-1",
		"/v1/files/file-1/content",
		"/v1/files/none",
		"/v1/files/file-2/content",
		"/v1/batches",
		"/v1/batches?limit=1",
		"/v1/batches/batch_2",
		"/v1/batches/none",
	} {
		c.call(http.MethodGet, path, "", "")
	}
	c.call(http.MethodDelete, "/v1/files/none", "", "")
	c.call(http.MethodDelete, "/v1/files/file-1", "", "")
	c.call(http.MethodDelete, "/v1/files/file-2", "", "")
	c.call(http.MethodPost, "/v1/batches/none/cancel", "", "")
	c.call(http.MethodPost, "/v1/batches/batch_1/cancel", "", "")
	c.call(http.MethodPost, "/v1/batches/batch_3/cancel", "", "")
	c.call(http.MethodPost, "/v1/files", "text/plain", "x")
	c.call(http.MethodPost, "/v1/files", "multipart/form-data; boundary=boundary", "--boundary\r\nbroken")
	c.upload(t, "fine-tune", "x", true)
	c.upload(t, "batch", "", false)
	c.upload(t, "batch", "", true)
	c.upload(t, "batch", strings.Repeat("x", 1<<20+1), true)
	c.call(http.MethodPost, "/v1/batches", "", "{")
	c.create("none", "/v1/chat/completions", "24h")
	c.create("file-1", "/v1/x", "24h")
	c.create("file-1", "/v1/chat/completions", "ever")
	putJSON(t, kv, fileKey("file-9"), File{
		ID:        "file-9",
		Object:    "file",
		Bytes:     2 << 20,
		CreatedAt: 5,
		Filename:  "c",
		Purpose:   "other",
		Status:    "processed",
	})
	c.create("file-9", "/v1/chat/completions", "24h")
	c.upload(t, "batch", "x", true)
	for range maxUploads {
		c.service.uploadSlots <- struct{}{}
	}
	c.upload(t, "batch", "x", true)
	c.service = newGoldenService(t, followerStore{kv, "other"}, nil)
	c.call(http.MethodDelete, "/v1/files/file-1?a=b", "", "")
	c.service = newGoldenService(t, followerStore{kv, "nobody"}, nil)
	c.call(http.MethodDelete, "/v1/files/file-1", "", "")
	c.service = newGoldenService(t, readOnlyStore{kv}, nil)
	c.call(http.MethodPost, "/v1/batches/batch_2/cancel", "", "")
	golden.Bytes(t, "api.txt", []byte(strings.Join(c.responses, "\n")+"\n"))
}
