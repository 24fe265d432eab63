package batch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"

	"standpoint"
)

const (
	// Endpoint is what lines may ask for.
	Endpoint           = "/v1/chat/completions"
	maxLines           = 50_000
	maxLineBytes       = 256 << 10 // what a real server takes as one body
	maxReportedErrors  = 20
	charactersPerToken = 4
)

// split returns the lines of a file, without those that are empty, and each one's number.
func split(content []byte) (lines [][]byte, numbers []int) {
	number := 0
	for line := range bytes.Lines(content) {
		number++
		if line = bytes.TrimSpace(line); len(line) > 0 {
			lines, numbers = append(lines, line), append(numbers, number)
		}
	}
	return lines, numbers
}

// validate reads every line of a file. Its faults name the line.
func (f *Service) validate(content []byte, endpoint string) ([]Task, []ValidationError) {
	var faults []ValidationError
	add := func(line int, code, param, format string, args ...any) {
		if len(faults) < maxReportedErrors {
			faults = append(faults, ValidationError{code, fmt.Sprintf(format, args...), param, line})
		}
	}
	lines, numbers := split(content)
	if len(lines) == 0 {
		add(0, "empty_file", "input_file_id", "the input file holds no requests")
	}
	if len(lines) > maxLines {
		add(0, "too_many_tasks", "input_file_id", "%d requests; at most %d are taken", len(lines), maxLines)
		return nil, faults
	}
	tasks := make([]Task, len(lines))
	seen := map[string]int{}
	for i, line := range lines {
		n, t := numbers[i], &tasks[i]
		if len(line) > maxLineBytes {
			add(n, "request_too_large", "body", "the line has %d bytes; at most %d are taken", len(line), maxLineBytes)
			continue
		}
		if err := json.Unmarshal(line, t); err != nil {
			add(n, "invalid_json_line", "", "this line is not a valid JSON object: %v", err)
			continue
		}
		if first, ok := seen[t.CustomID]; ok {
			add(n, "duplicate_custom_id", "custom_id", "custom_id %q was used on line %d already", t.CustomID, first)
		}
		seen[t.CustomID] = n
		switch {
		case t.CustomID == "":
			add(n, "missing_required_parameter", "custom_id", "custom_id is missing")
		case t.Method != http.MethodPost:
			add(n, "invalid_method", "method", "method %q; only POST is taken", t.Method)
		case t.URL != endpoint:
			add(n, "invalid_url", "url", "url %q is not the batch's endpoint %q", t.URL, endpoint)
		default:
			if _, _, err := f.requestFor(t.Body); err != nil {
				add(n, "invalid_request", err.Param, "%s", err.Message)
			}
		}
	}
	return tasks, faults
}

// chat is what the front reads of a line's body; the rest goes to the real server as it is.
type chat struct {
	Model    string `json:"model"`
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens           float64           `json:"max_tokens"`
	MaxCompletionTokens float64           `json:"max_completion_tokens"`
	Metadata            map[string]string `json:"metadata"`
}

// requestFor turns a line's body into the module's request, without its deadline, and the body to send. Class,
// tenant, session and prefix stand in the body's metadata under the keys that the operator's file states;
// what is not said there has the file's defaults.
func (f *Service) requestFor(body json.RawMessage) (standpoint.Request, []byte, *ValidationError) {
	var q standpoint.Request
	var c chat
	var all map[string]json.RawMessage
	if json.Unmarshal(body, &all) != nil || json.Unmarshal(body, &c) != nil || all == nil {
		return q, nil, &ValidationError{Param: "body", Message: "body is not a chat completion request"}
	}
	if len(c.Messages) == 0 {
		return q, nil, &ValidationError{Param: "body.messages", Message: "body.messages is missing or empty"}
	}
	field := func(key, standard string) string {
		if v := c.Metadata[key]; v != "" {
			return v
		}
		return standard
	}
	var ok bool
	class := field(f.Fields.Class, f.Defaults.Class)
	if q.Class, ok = f.classes[class]; !ok {
		return q, nil, &ValidationError{Param: "body.metadata." + f.Fields.Class, Message: fmt.Sprintf("unknown class %q", class)}
	}
	tenant := field(f.Fields.Tenant, f.Defaults.Tenant)
	if q.Tenant, ok = f.tenants[tenant]; !ok && len(f.tenants) > 0 {
		return q, nil, &ValidationError{Param: "body.metadata." + f.Fields.Tenant,
			Message: fmt.Sprintf("unknown tenant %q", tenant)}
	}
	q.Session = key(field(f.Fields.Session, f.Defaults.Session))
	q.Prefix = key(field(f.Fields.Prefix, f.Defaults.Prefix))
	chars := 0
	for i, m := range c.Messages {
		chars += len(m.Content)
		if i == 0 && len(c.Messages) > 1 { // the opening that prompts have in common is the first message
			q.PrefixTokens = float64(len(m.Content)) / charactersPerToken
			if q.Prefix == 0 {
				q.Prefix = key(string(m.Content))
			}
		}
	}
	q.PromptTokens = float64(chars) / charactersPerToken
	q.MaxTokens = max(c.MaxTokens, c.MaxCompletionTokens)
	if q.MaxTokens <= 0 {
		q.MaxTokens = f.Defaults.MaxTokens
	}
	// Real servers stream; the answer is put together here.
	all["stream"] = json.RawMessage("true")
	all["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	raw, err := json.Marshal(all)
	if err != nil {
		return q, nil, &ValidationError{Param: "body", Message: err.Error()}
	}
	return q, raw, nil
}

// key turns a name into the module's key: itself if it is one of 16 hex digits, else its hash.
func key(s string) uint64 {
	if s == "" {
		return 0
	}
	if len(s) == 16 {
		if k, err := strconv.ParseUint(s, 16, 64); err == nil {
			return k
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

const maxAnswerBytes = 4 << 20

var errLarge = errors.New("the answer is larger than 4 MiB")

// collector is the client connection of a line: it puts a streamed answer together.
type collector struct {
	content bytes.Buffer
	model   string
	finish  string
	usage   json.RawMessage
}

func (c *collector) Begin() error { return nil }

func (c *collector) Event(b []byte) error {
	for line := range bytes.Lines(b) {
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if data = bytes.TrimSpace(data); !ok || bytes.Equal(data, []byte("[DONE]")) {
			continue
		}
		var e struct {
			Model   string `json:"model"`
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
				Finish *string `json:"finish_reason"`
			} `json:"choices"`
			Usage json.RawMessage `json:"usage"`
		}
		if err := json.Unmarshal(data, &e); err != nil {
			return fmt.Errorf("event of an answer: %w", err)
		}
		if e.Model != "" {
			c.model = e.Model
		}
		if len(e.Usage) > 0 && !bytes.Equal(e.Usage, []byte("null")) {
			c.usage = e.Usage
		}
		for _, choice := range e.Choices {
			c.content.WriteString(choice.Delta.Content)
			if choice.Finish != nil {
				c.finish = *choice.Finish
			}
		}
		if c.content.Len() > maxAnswerBytes {
			return errLarge
		}
	}
	return nil
}

// completion is the answer as one chat completion.
func (c *collector) completion(id, model string, created int64) (json.RawMessage, error) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index   int     `json:"index"`
		Message message `json:"message"`
		Finish  string  `json:"finish_reason"`
	}
	if c.model != "" {
		model = c.model
	}
	return json.Marshal(struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   string          `json:"model"`
		Choices []choice        `json:"choices"`
		Usage   json.RawMessage `json:"usage,omitempty"`
	}{"chatcmpl-" + id, "chat.completion", created, model,
		[]choice{{0, message{"assistant", c.content.String()}, c.finish}}, c.usage})
}
