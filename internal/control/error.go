package control

import (
	"errors"
	"net/http"
)

// Code is the machine-readable kind of an error.
type Code string

// Error codes. They are part of the wire format.
const (
	CodeBadConfig        Code = "bad_config"   // a shared configuration that is invalid for every node
	CodeBadPlan          Code = "bad_plan"     // a migration plan that cannot be carried out
	CodeBadRequest       Code = "bad_request"  // a body or parameter that cannot be decoded
	CodeBusy             Code = "busy"         // too many concurrent calls
	CodeInternal         Code = "internal"     // any error without a code of its own
	CodeMigrationRunning Code = "move_running" // a migration is in progress already
	CodeNoMigration      Code = "no_move"      // no migration was ever started
	CodeNotFound         Code = "not_found"    // no call with this method and path
	CodeNotLeader        Code = "not_leader"   // only the leader accepts the call; see Error.Leader
	CodeNotNow           Code = "not_now"      // the call is invalid in the present state
	CodeNotWritten       Code = "not_written"  // the store did not accept the change
	CodeNoVersion        Code = "no_version"   // no such version of the shared configuration
	CodeStale            Code = "stale"        // the change is based on a version that is not the latest
	CodeTooLarge         Code = "too_large"    // a body that is too large, or was not received in time
	CodeUnauthorized     Code = "unauthorized" // a change without the token
)

// Error is an error response. Its JSON is part of the wire format.
type Error struct {
	Status  int    `json:"-"` // the HTTP status; 0 stands for 400 Bad Request
	Code    Code   `json:"code"`
	Message string `json:"message"`          // human-readable
	Key     string `json:"key,omitempty"`    // the key or parameter at fault
	Leader  string `json:"leader,omitempty"` // with CodeNotLeader: the address of the leader's control interface
}

// Error implements error.
func (e *Error) Error() string {
	if e.Key != "" {
		return e.Key + ": " + e.Message
	}
	return e.Message
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error *Error `json:"error"`
}

// asError returns the *Error that err wraps, or a new one with CodeInternal.
func asError(err error) *Error {
	var typed *Error
	if !errors.As(err, &typed) {
		return &Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: err.Error()}
	}
	if typed.Status == 0 {
		typed.Status = http.StatusBadRequest
	}
	return typed
}
