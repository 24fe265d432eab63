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
}

func newBatchFile(attempts []*node.Attempt) *batchFile {
	file := &batchFile{attempts: map[string]*node.Attempt{}}
	file.ctx, file.cancel = context.WithCancel(context.Background())
	for _, attempt := range attempts {
		id := attempt.Request.Work.TraceID + "-" + strconv.Itoa(attempt.Number)
		file.attempts[id] = attempt
	}
	return file
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

// joinResults finishes the attempts whose results are in the content of the output or error file with the given ID.
func (b *batchBackend) joinResults(content []byte, id string, file *batchFile) error {
	for text := range bytes.Lines(content) {
		var result batchLine
		if err := json.Unmarshal(text, &result); err != nil {
			return fmt.Errorf("decode line of file %s: %w", id, err)
		}
		attempt := file.attempts[result.CustomID]
		switch {
		case attempt == nil:
		case result.Response != nil && result.Response.StatusCode == http.StatusOK:
			b.finish(file, result.CustomID, forwardCompletion(attempt, result.Response.Body))
		case result.Response != nil && result.Response.StatusCode == http.StatusTooManyRequests,
			result.Error != nil && (result.Error.Code == "batch_cancelled" || result.Error.Code == "batch_expired"):
			b.finish(file, result.CustomID, node.Result{Code: standpoint.Rejected})
		default:
			b.finish(file, result.CustomID, node.Result{Code: standpoint.ServerError})
		}
	}
	return nil
}

// forwardCompletion forwards a chat completion, the body of a line's response, to the client as the events of a stream.
func forwardCompletion(attempt *node.Attempt, body json.RawMessage) node.Result {
	var completion struct {
		Model   string `json:"model"`
		Choices []struct {
			Message struct{ Content string } `json:"message"`
			Finish  string                   `json:"finish_reason"`
		} `json:"choices"`
		Usage json.RawMessage `json:"usage"`
	}
	if err := json.Unmarshal(body, &completion); err != nil || len(completion.Choices) == 0 {
		return node.Result{Code: standpoint.ServerError}
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
		return node.Result{Code: standpoint.ServerError}
	}
	events := append(append([]byte("data: "), raw...), "\n\ndata: [DONE]\n\n"...)
	if !attempt.Claim() {
		return node.Result{Code: failureCode(attempt.Context(), true, nil)}
	}
	summary := responseSummary{}
	if err := summary.scan(events); err != nil {
		return node.Result{Code: standpoint.ServerError}
	}
	if attempt.Forward(events) != nil {
		return node.Result{Code: standpoint.Cancelled}
	}
	return node.Result{Code: standpoint.Served, CachedTokens: summary.cachedTokens}
}

// finish finishes one attempt of a file.
func (b *batchBackend) finish(file *batchFile, id string, result node.Result) {
	file.attempts[id].Finish(result)
	delete(file.attempts, id)
}
