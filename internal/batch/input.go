package batch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"

	"standpoint"
)

const (
	// Endpoint is the only endpoint that lines may name.
	Endpoint = "/v1/chat/completions"
	// maxLines is the maximum number of lines of an input file that are not empty.
	maxLines = 50_000
	// maxLineBytes is the maximum size of a line, which is the maximum size of a body that a backend accepts.
	maxLineBytes = 256 << 10
	// maxReportedErrors is the maximum number of validation errors that are returned for an input file.
	maxReportedErrors = 20
	// charactersPerToken is the mean number of characters per token, for estimates.
	charactersPerToken = 4
	// hexKeyLength is the number of hexadecimal digits of a session or prefix key.
	hexKeyLength = 16
	// streamOptions is the value of stream_options with which lines are sent.
	streamOptions = `{"include_usage":true}`
	// minMessagesForPrefix is the minimum number of messages of a prompt whose first message is treated as a prefix
	// that it may share with other prompts.
	minMessagesForPrefix = 2
)

// numberedLine is a line of a file that is not empty.
type numberedLine struct {
	number int // from 1; empty lines are counted
	text   []byte
}

// splitLines returns the lines of a file that are not empty.
func splitLines(content []byte) []numberedLine {
	var lines []numberedLine
	number := 0
	for text := range bytes.Lines(content) {
		number++
		if text = bytes.TrimSpace(text); len(text) > 0 {
			lines = append(lines, numberedLine{number: number, text: text})
		}
	}
	return lines
}

// validator collects the first maxReportedErrors errors of an input file.
type validator struct {
	service    *Service
	endpoint   string
	firstLines map[string]int // line numbers, by custom_id
	errors     []ValidationError
}

func (v *validator) report(line int, code ValidationCode, param, format string, args ...any) {
	if len(v.errors) < maxReportedErrors {
		message := fmt.Sprintf(format, args...)
		v.errors = append(v.errors, ValidationError{Code: code, Message: message, Param: param, Line: line})
	}
}

// validate parses and checks each line of an input file. The tasks are valid only if there are no errors.
func (s *Service) validate(content []byte, endpoint string) ([]Task, []ValidationError) {
	v := &validator{service: s, endpoint: endpoint, firstLines: map[string]int{}}
	lines := splitLines(content)
	if len(lines) == 0 {
		v.report(0, CodeEmptyFile, "input_file_id", "the input file holds no requests")
	}
	if len(lines) > maxLines {
		v.report(0, CodeTooManyLines, "input_file_id", "%d requests; at most %d are taken", len(lines), maxLines)
		return nil, v.errors
	}
	tasks := make([]Task, len(lines))
	for i, line := range lines {
		v.parse(line, &tasks[i])
	}
	return tasks, v.errors
}

// parse decodes a line into a task and reports its errors.
func (v *validator) parse(line numberedLine, task *Task) {
	if len(line.text) > maxLineBytes {
		v.report(line.number, CodeLineTooLarge, "body",
			"the line has %d bytes; at most %d are taken", len(line.text), maxLineBytes)
		return
	}
	if err := json.Unmarshal(line.text, task); err != nil {
		v.report(line.number, CodeInvalidJSON, "", "this line is not a valid JSON object: %v", err)
		return
	}
	if first, used := v.firstLines[task.CustomID]; used {
		v.report(line.number, CodeDuplicateID, "custom_id",
			"custom_id %q was used on line %d already", task.CustomID, first)
	}
	v.firstLines[task.CustomID] = line.number
	v.check(line.number, task)
}

// check reports the first error of a task.
func (v *validator) check(number int, task *Task) {
	switch {
	case task.CustomID == "":
		v.report(number, CodeMissingParameter, "custom_id", "custom_id is missing")
	case task.Method != http.MethodPost:
		v.report(number, CodeInvalidMethod, "method", "method %q; only POST is taken", task.Method)
	case task.URL != v.endpoint:
		v.report(number, CodeInvalidURL, "url", "url %q is not the batch's endpoint %q", task.URL, v.endpoint)
	default:
		if _, _, invalid := v.service.requestFor(task.Body); invalid != nil {
			v.report(number, CodeInvalidRequest, invalid.Param, "%s", invalid.Message)
		}
	}
}

// chatRequest holds the fields of a line's body that the service uses. All other fields are sent to the backend
// unchanged.
type chatRequest struct {
	Model    string `json:"model"` // decoded only to reject a model that is not a string
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens           float64           `json:"max_tokens"`
	MaxCompletionTokens float64           `json:"max_completion_tokens"`
	Metadata            map[string]string `json:"metadata"`
}

// metadataField returns the metadata's value for a key, or a default value if the metadata lacks it.
func (c *chatRequest) metadataField(key, defaultValue string) string {
	if value := c.Metadata[key]; value != "" {
		return value
	}
	return defaultValue
}

// requestFor returns the request for a line's body, without a deadline, and the body to send. Class, tenant, session
// and prefix are read from the body's metadata, with the keys of the operator's file. Values that the metadata lacks
// have the defaults of the operator's file.
func (s *Service) requestFor(body json.RawMessage) (standpoint.Request, []byte, *ValidationError) {
	var request standpoint.Request
	var chat chatRequest
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(body, &chat) != nil || fields == nil {
		return request, nil, &ValidationError{Param: "body", Message: "body is not a chat completion request"}
	}
	if len(chat.Messages) == 0 {
		return request, nil, &ValidationError{Param: "body.messages", Message: "body.messages is missing or empty"}
	}
	if invalid := s.applyMetadata(&request, &chat); invalid != nil {
		return request, nil, invalid
	}
	s.estimateTokens(&request, &chat)
	// Backends stream responses, which the responseCollector assembles.
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(streamOptions)
	raw, err := json.Marshal(fields)
	if err != nil {
		return request, nil, &ValidationError{Param: "body", Message: err.Error()}
	}
	return request, raw, nil
}

// applyMetadata sets the class, tenant, session and prefix of a request from a body's metadata. Tenants are not checked
// if the operator's file names none.
func (s *Service) applyMetadata(request *standpoint.Request, chat *chatRequest) *ValidationError {
	var ok bool
	class := chat.metadataField(s.Fields.Class, s.Defaults.Class)
	if request.Class, ok = s.classes[class]; !ok {
		return &ValidationError{
			Param:   "body.metadata." + s.Fields.Class,
			Message: fmt.Sprintf("unknown class %q", class),
		}
	}
	tenant := chat.metadataField(s.Fields.Tenant, s.Defaults.Tenant)
	if request.Tenant, ok = s.tenants[tenant]; !ok && len(s.tenants) > 0 {
		return &ValidationError{
			Param:   "body.metadata." + s.Fields.Tenant,
			Message: fmt.Sprintf("unknown tenant %q", tenant),
		}
	}
	request.Session = hashKey(chat.metadataField(s.Fields.Session, s.Defaults.Session))
	request.Prefix = hashKey(chat.metadataField(s.Fields.Prefix, s.Defaults.Prefix))
	return nil
}

// estimateTokens estimates the token counts of a request from the length of its messages in JSON.
func (s *Service) estimateTokens(request *standpoint.Request, chat *chatRequest) {
	characters := 0
	for _, message := range chat.Messages {
		characters += len(message.Content)
	}
	request.PromptTokens = float64(characters) / charactersPerToken
	if len(chat.Messages) >= minMessagesForPrefix {
		prefix := chat.Messages[0].Content
		request.PrefixTokens = float64(len(prefix)) / charactersPerToken
		if request.Prefix == 0 {
			request.Prefix = hashKey(string(prefix))
		}
	}
	request.MaxTokens = max(chat.MaxTokens, chat.MaxCompletionTokens)
	if request.MaxTokens <= 0 {
		request.MaxTokens = s.Defaults.MaxTokens
	}
}

// hashKey returns the key for the name of a session or prefix: the name's value if it has 16 hexadecimal digits,
// otherwise its hash; 0 for an empty name.
func hashKey(name string) uint64 {
	if name == "" {
		return 0
	}
	if len(name) == hexKeyLength {
		if key, err := strconv.ParseUint(name, 16, 64); err == nil {
			return key
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}
