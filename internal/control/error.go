package control

import (
	"errors"
	"net/http"
)

// Code is the kind of an error, for programs.
type Code string

// Codes of errors. They are part of the wire format.
const (
	CodeBadConfig        Code = "bad_config"   // a shared configuration that no node could serve by
	CodeBadPlan          Code = "bad_plan"     // a migration that cannot be carried out as asked
	CodeBadRequest       Code = "bad_request"  // a body or parameter that cannot be decoded
	CodeBusy             Code = "busy"         // too many calls at once
	CodeInternal         Code = "internal"     // any error that has no code of its own
	CodeMigrationRunning Code = "move_running" // a migration is in progress already
	CodeNoMigration      Code = "no_move"      // no migration was ever started
	CodeNotFound         Code = "not_found"    // no such call
	CodeNotLeader        Code = "not_leader"   // another member decides; see Error.Leader
	CodeNotNow           Code = "not_now"      // the call does not fit the present state
	CodeNotWritten       Code = "not_written"  // the store did not accept a change
	CodeNoVersion        Code = "no_version"   // no such version of the shared configuration
	CodeStale            Code = "stale"        // the change was made to a version that is not the latest
	CodeTooLarge         Code = "too_large"    // a body that is too large or too slow
	CodeUnauthorized     Code = "unauthorized" // a change without the token
)

// Error is an answer that is an error.
type Error struct {
	Status  int    `json:"-"` // of HTTP; 0 stands for 400 Bad Request
	Code    Code   `json:"code"`
	Message string `json:"message"`          // for people
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

// errorBody is the JSON of an error.
type errorBody struct {
	Error *Error `json:"error"`
}

// asError finds the *Error in err, or makes one with CodeInternal.
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
