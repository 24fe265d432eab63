// Package batch is the front for work that comes as files, in the form of the public batch API: /v1/files
// and /v1/batches. A line of a file is an ordinary flow, under the same rules as a single request.
package batch

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
)

// Status is the state of a batch, as the public API names it.
type Status string

// The states of a batch.
const (
	Validating Status = "validating"
	Failed     Status = "failed"
	InProgress Status = "in_progress"
	Finalizing Status = "finalizing"
	Completed  Status = "completed"
	Expired    Status = "expired"
	Cancelling Status = "cancelling"
	Cancelled  Status = "cancelled"
)

// Terminal tells that a batch will not change any more.
func (s Status) Terminal() bool {
	return s == Failed || s == Completed || s == Expired || s == Cancelled
}

// File is the file object.
type File struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int    `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

// RequestCounts are a batch's request_counts.
type RequestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// ValidationError is one error of validation; Line counts from 1.
type ValidationError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Param   string `json:"param,omitempty"`
	Line    int    `json:"line,omitempty"`
}

// ValidationErrors is the list of them.
type ValidationErrors struct {
	Object string            `json:"object"`
	Data   []ValidationError `json:"data"`
}

// Batch is the batch object. Times are Unix seconds; those of states not reached are absent.
type Batch struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Errors           *ValidationErrors `json:"errors,omitempty"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           Status            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at,omitempty"`
	ExpiresAt        int64             `json:"expires_at,omitempty"`
	FinalizingAt     int64             `json:"finalizing_at,omitempty"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	FailedAt         int64             `json:"failed_at,omitempty"`
	ExpiredAt        int64             `json:"expired_at,omitempty"`
	CancellingAt     int64             `json:"cancelling_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    RequestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

// Task is one line of an input file.
type Task struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// Result is one line of an output or error file.
type Result struct {
	ID       string     `json:"id"`
	CustomID string     `json:"custom_id"`
	Response *Response  `json:"response"`
	Error    *LineError `json:"error"`
}

// Response is what a real server answered.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// LineError says why a line has no answer.
type LineError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// lineState is where a line stands. One that has no record waits and was never sent.
type lineState string

const (
	lineWaiting lineState = "waiting"
	lineOut     lineState = "out"
	lineDone    lineState = "completed"
	lineFailed  lineState = "failed"
)

// lineRecord is a line's state in the store. Its result stands under a key of its own, written in the same step.
type lineRecord struct {
	State lineState `json:"state"`
	// Until: of a line that is out, when at the latest no attempt of it is out any more; of one that waits,
	// when it may be sent. Unix milliseconds.
	Until    int64 `json:"until,omitempty"`
	Attempts int   `json:"tries,omitempty"`
}

func newID(prefix string) string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, by its own word
	return prefix + hex.EncodeToString(b[:])
}
