package kit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"time"
)

// BatchClient is a client of a node's batch API.
type BatchClient struct {
	Node string // address of the node

	c *Case
}

// BatchState is a batch object as a client sees it.
type BatchState struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Output string `json:"output_file_id"`
	Error  string `json:"error_file_id"`
	Counts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
	Errors json.RawMessage `json:"errors"`
}

// BatchClient returns a client of a node's batch API.
func (c *Case) BatchClient(node string) *BatchClient { return &BatchClient{Node: node, c: c} }

// do makes a call and returns the body of the answer. It follows redirects to the leader.
func (b *BatchClient) do(method, path, contentType string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, "http://"+b.Node+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", contentType)
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: %s %s", method, path, response.Status, raw)
	}
	return raw, err
}

// Submit uploads a file and makes a batch of it that has to be over within a day.
func (b *BatchClient) Submit(file []byte) BatchState { return b.SubmitWithin(file, "24h") }

// SubmitWithin uploads a file and makes a batch of it with a completion window.
func (b *BatchClient) SubmitWithin(file []byte, window string) BatchState {
	request := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":%q}`,
		b.Upload(file), window)
	raw, err := b.do(http.MethodPost, "/v1/batches", "application/json", []byte(request))
	b.c.Must(err)
	var state BatchState
	b.c.Must(json.Unmarshal(raw, &state))
	b.c.Note("client: batch %s of %d bytes accepted", state.ID, len(file))
	return state
}

// State returns the present state of a batch.
func (b *BatchClient) State(id string) (BatchState, error) {
	var state BatchState
	raw, err := b.do(http.MethodGet, "/v1/batches/"+id, "", nil)
	if err == nil {
		err = json.Unmarshal(raw, &state)
	}
	return state, err
}

// Await waits until a batch has ended, and returns its last state.
func (b *BatchClient) Await(id string, limit time.Duration) BatchState {
	var state BatchState
	b.c.WaitFor("the batch ends", limit, func() bool {
		time.Sleep(200 * time.Millisecond)
		next, err := b.State(id)
		if err != nil {
			return false
		}
		state = next
		return state.Status == "completed" || state.Status == "failed" || state.Status == "expired" ||
			state.Status == "cancelled"
	})
	b.c.Note("client: batch %s is %s, %+v, errors %s", id, state.Status, state.Counts, state.Errors)
	return state
}

// Results returns the number of results of each custom_id in a batch's output and error files.
func (b *BatchClient) Results(state BatchState) map[string]int {
	found := map[string]int{}
	for _, file := range []string{state.Output, state.Error} {
		if file == "" {
			continue
		}
		raw, err := b.do(http.MethodGet, "/v1/files/"+file+"/content", "", nil)
		b.c.Must(err)
		b.c.Note("client: file %s:\n%s", file, indent(string(bytes.TrimSpace(raw))))
		for text := range bytes.Lines(raw) {
			var result struct {
				CustomID string `json:"custom_id"`
			}
			b.c.Must(json.Unmarshal(text, &result))
			found[result.CustomID]++
		}
	}
	return found
}

// Upload uploads a file and returns its ID.
func (b *BatchClient) Upload(file []byte) string {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	b.c.Must(writer.WriteField("purpose", "batch"))
	part, err := writer.CreateFormFile("file", "sheets.jsonl")
	b.c.Must(err)
	_, err = part.Write(file)
	b.c.Must(err)
	b.c.Must(writer.Close())
	raw, err := b.do(http.MethodPost, "/v1/files", writer.FormDataContentType(), form.Bytes())
	b.c.Must(err)
	var uploaded struct {
		ID string `json:"id"`
	}
	b.c.Must(json.Unmarshal(raw, &uploaded))
	b.c.Note("client: file %s of %d bytes accepted", uploaded.ID, len(file))
	return uploaded.ID
}

// TryCreate asks for a batch of a file once, and returns its state or the status and the Retry-After of a refusal. It
// follows redirects to the leader.
func (b *BatchClient) TryCreate(file string) (state BatchState, status int, retryAfter string, err error) {
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file)
	request, err := http.NewRequest(http.MethodPost, "http://"+b.Node+"/v1/batches", bytes.NewReader([]byte(body)))
	if err != nil {
		return state, 0, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return state, 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK {
		err = json.Unmarshal(raw, &state)
	}
	b.c.Note("client: POST /v1/batches at %s: %d, Retry-After %q, %s",
		b.Node, response.StatusCode, response.Header.Get("Retry-After"), bytes.TrimSpace(raw))
	return state, response.StatusCode, response.Header.Get("Retry-After"), err
}

// List writes the batches that a node shows to the record.
func (b *BatchClient) List() {
	raw, err := b.do(http.MethodGet, "/v1/batches", "", nil)
	b.c.Must(err)
	var listing struct {
		Data []BatchState `json:"data"`
	}
	b.c.Must(json.Unmarshal(raw, &listing))
	for _, state := range listing.Data {
		b.c.Note("client: the node shows batch %s, %s, %+v", state.ID, state.Status, state.Counts)
	}
}
