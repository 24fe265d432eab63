package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"mime/multipart"
	"net/http"
	"slices"
	"strconv"

	"standpoint"
	"standpoint/internal/node"
)

// batchFile is a file of attempts. Except for cancel, only the goroutine of runFile may use it.
type batchFile struct {
	attempts map[string]*node.Attempt // attempts without a result, by custom_id
	id       string                   // of the latest upload; empty before it
	batchID  string                   // of the batch created of it; empty before it
	ctx      context.Context          // ends when the batch is to be cancelled
	cancel   context.CancelFunc

	journal    node.Journal // records the file; nil if no other process would recover it
	submission node.Submission
}

// newBatchFile returns a file of attempts whose requests have the given journal.
func newBatchFile(attempts []*node.Attempt, journal node.Journal) *batchFile {
	file := &batchFile{attempts: map[string]*node.Attempt{}, journal: journal}
	file.ctx, file.cancel = context.WithCancel(context.Background())
	for _, attempt := range attempts {
		file.attempts[customID(attempt)] = attempt
	}
	return file
}

// customID returns the custom_id of an attempt's line.
func customID(attempt *node.Attempt) string {
	return attempt.Request.Work.TraceID + "-" + strconv.Itoa(attempt.Number)
}

// released returns a channel that is closed when another process decides on the file. It is nil if there is no journal.
func (f *batchFile) released() <-chan struct{} {
	if f.journal == nil {
		return nil
	}
	return f.journal.Released()
}

// isReleased reports whether another process decides on the file.
func (f *batchFile) isReleased() bool {
	select {
	case <-f.released():
		return true
	default:
		return false
	}
}

// record records in the journal, if there is one, that the backend may run the attempts that are now in the file.
func (f *batchFile) record(backend, address string) error {
	if f.journal == nil {
		return nil
	}
	f.submission.Backend = backend
	f.submission.Address = address
	f.submission.FileID = f.id
	f.submission.BatchID = f.batchID
	f.submission.Lines = nil
	for _, attempt := range f.attempts {
		line := node.SubmittedLine{TraceID: attempt.Request.Work.TraceID, Attempt: attempt.Number}
		f.submission.Lines = append(f.submission.Lines, line)
	}
	return f.journal.Record(&f.submission)
}

// mayBegin returns a function that checks whether all attempts that are now in the file may begin. Its error wraps
// errMayNotBegin.
func (f *batchFile) mayBegin() func() error {
	attempts := slices.Collect(maps.Values(f.attempts))
	return func() error {
		for _, attempt := range attempts {
			if err := attempt.CheckStart(); err != nil {
				return fmt.Errorf("%w: %w", errMayNotBegin, err)
			}
		}
		return nil
	}
}

// batchLine is a line of an input, output or error file.
type batchLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method,omitempty"`
	URL      string          `json:"url,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
	Response *struct {
		StatusCode int             `json:"status_code"`
		Body       json.RawMessage `json:"body"`
	} `json:"response,omitempty"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error,omitempty"`
}

// upload uploads the file and returns its ID.
func (b *batchBackend) upload(base string, file *batchFile) (string, error) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err := form.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := form.CreateFormFile("file", "lines.jsonl")
	if err != nil {
		return "", err
	}
	encoder := json.NewEncoder(part)
	for id, attempt := range file.attempts {
		if err := encoder.Encode(batchLine{CustomID: id, Method: http.MethodPost, URL: attempt.Request.Work.Target,
			Body: attempt.Request.Work.Body}); err != nil {
			return "", err
		}
	}
	if err := form.Close(); err != nil {
		return "", err
	}
	var uploaded struct {
		ID string `json:"id"`
	}
	err = b.do(batchCall{
		method:      http.MethodPost,
		url:         base + "/v1/files",
		contentType: form.FormDataContentType(),
		body:        body.Bytes(),
		mayBegin:    file.mayBegin(),
		receive:     &uploaded,
	})
	return uploaded.ID, err
}

// lineResult is the result of one line of a batch.
type lineResult struct {
	node.Result
	events []byte // the events of the answer; nil unless the code is Served
}

// parseResults adds the results in the content of the output or error file with the given ID, by custom_id. The first
// result of a line counts.
func parseResults(content []byte, id string, results map[string]lineResult) error {
	for text := range bytes.Lines(content) {
		var line batchLine
		if err := json.Unmarshal(text, &line); err != nil {
			return fmt.Errorf("decode line of file %s: %w", id, err)
		}
		if _, known := results[line.CustomID]; !known {
			results[line.CustomID] = line.result()
		}
	}
	return nil
}

// result returns the result that a line of an output or error file states.
func (l *batchLine) result() lineResult {
	switch {
	case l.Response != nil && l.Response.StatusCode == http.StatusOK:
		return completionResult(l.Response.Body)
	case l.Response != nil && l.Response.StatusCode == http.StatusTooManyRequests,
		l.Error != nil && (l.Error.Code == "batch_cancelled" || l.Error.Code == "batch_expired"):
		return lineResult{Result: node.Result{Code: standpoint.Rejected}}
	}
	return lineResult{Result: node.Result{Code: standpoint.ServerError}}
}

// completionResult returns the result of a line with a chat completion, the body of its response, as the events of a
// stream.
func completionResult(body json.RawMessage) lineResult {
	unusable := lineResult{Result: node.Result{Code: standpoint.ServerError}}
	var completion struct {
		Model   string `json:"model"`
		Choices []struct {
			Message struct{ Content string } `json:"message"`
			Finish  string                   `json:"finish_reason"`
		} `json:"choices"`
		Usage json.RawMessage `json:"usage"`
	}
	if err := json.Unmarshal(body, &completion); err != nil || len(completion.Choices) == 0 {
		return unusable
	}
	type delta struct {
		Content string `json:"content"`
	}
	type choice struct {
		Index  int    `json:"index"`
		Delta  delta  `json:"delta"`
		Finish string `json:"finish_reason"`
	}
	type event struct {
		Model   string          `json:"model"`
		Choices []choice        `json:"choices"`
		Usage   json.RawMessage `json:"usage,omitempty"`
	}
	raw, err := json.Marshal(event{completion.Model, []choice{{0, delta{completion.Choices[0].Message.Content},
		completion.Choices[0].Finish}}, completion.Usage})
	if err != nil {
		return unusable
	}
	events := append(append([]byte("data: "), raw...), "\n\ndata: [DONE]\n\n"...)
	summary := responseSummary{}
	if err := summary.scan(events); err != nil {
		return unusable
	}
	return lineResult{
		Result: node.Result{Code: standpoint.Served, CachedTokens: summary.cachedTokens},
		events: events,
	}
}

// conclude finishes an attempt with the result of its line, and forwards the answer if there is one.
func conclude(attempt *node.Attempt, result lineResult) {
	switch {
	case result.Code != standpoint.Served:
	case !attempt.Claim():
		result.Result = node.Result{Code: failureCode(attempt.Context(), true, nil)}
	case attempt.Forward(result.events) != nil:
		result.Result = node.Result{Code: standpoint.Cancelled}
	}
	attempt.Finish(result.Result)
}

// finishWithout finishes an attempt whose line has no result of its own with the result of all such lines. An attempt
// that was cancelled and may have run gets the code that corresponds to the reason for the cancellation instead.
func finishWithout(attempt *node.Attempt, result node.Result) {
	if attempt.Context().Err() != nil && !result.Code.NeverRan() {
		result.Code = failureCode(attempt.Context(), true, nil)
	}
	attempt.Finish(result)
}

// finish finishes one attempt of a file.
func (b *batchBackend) finish(file *batchFile, id string, result node.Result) {
	file.attempts[id].Finish(result)
	delete(file.attempts, id)
}
