package batch

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Status is the state of a batch in the public API.
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

// Terminal reports whether a batch in this state no longer changes.
func (s Status) Terminal() bool {
	return s == Failed || s == Completed || s == Expired || s == Cancelled
}

// File is the file object. Times are in Unix seconds.
type File struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int    `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

// RequestCounts is the request_counts object of a batch: its lines by outcome.
type RequestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// ValidationCode identifies an error of an input file.
type ValidationCode string

// The codes of validation errors.
const (
	CodeEmptyFile        ValidationCode = "empty_file"
	CodeFileIncomplete   ValidationCode = "file_not_whole"
	CodeTooManyLines     ValidationCode = "too_many_tasks"
	CodeLineTooLarge     ValidationCode = "request_too_large"
	CodeInvalidJSON      ValidationCode = "invalid_json_line"
	CodeDuplicateID      ValidationCode = "duplicate_custom_id"
	CodeMissingParameter ValidationCode = "missing_required_parameter"
	CodeInvalidMethod    ValidationCode = "invalid_method"
	CodeInvalidURL       ValidationCode = "invalid_url"
	CodeInvalidRequest   ValidationCode = "invalid_request"
)

// ValidationError is an error of an input file or of one of its lines.
type ValidationError struct {
	Code    ValidationCode `json:"code"`
	Message string         `json:"message"`
	Param   string         `json:"param,omitempty"`
	Line    int            `json:"line,omitempty"` // line number from 1; 0 for the whole file
}

// ValidationErrors is the list of an input file's errors.
type ValidationErrors struct {
	Object string            `json:"object"`
	Data   []ValidationError `json:"data"`
}

// Batch is the batch object. Times are in Unix seconds; times of states that were not reached are omitted.
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

// expiry returns when the batch's completion window ends.
func (b *Batch) expiry() time.Time { return time.Unix(b.ExpiresAt, 0) }

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

// Response is a backend's response to a line.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// LineErrorCode identifies the reason why a line has no response.
type LineErrorCode string

// The reasons why a line has no response.
const (
	CodeBatchCancelled LineErrorCode = "batch_cancelled"
	CodeBatchExpired   LineErrorCode = "batch_expired"
	CodeServerError    LineErrorCode = "server_error"
)

// LineError is the error of a line without a response.
type LineError struct {
	Code    LineErrorCode `json:"code"`
	Message string        `json:"message"`
}

// idBytes is the number of random bytes in an ID.
const idBytes = 12

// newID returns a random ID with the given prefix.
func newID(prefix string) string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return prefix + hex.EncodeToString(b[:])
}

// unixSeconds returns a time as it is encoded in objects.
func unixSeconds(t time.Time) int64 { return t.Unix() }

func unixNow() int64 { return unixSeconds(time.Now()) }
