package service

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"standpoint/internal/fleet/session"
)

const (
	recordTimeout     = 2 * time.Second        // time allowed to record a session while its client waits
	retryDelay        = 80 * time.Millisecond  // delay before a command that failed is sent to the leader again
	defaultRetryAfter = 500 * time.Millisecond // RetryAfter of a rejection that is temporary
)

// reply is the leader's response to a command.
type reply struct {
	Record *session.Record `json:"record,omitempty"` // the session's new record
	Code   errorCode       `json:"fault,omitempty"`  // "" if the command was applied
	Text   string          `json:"text,omitempty"`   // text of the error
}

// errorCode identifies an error of package session in messages between nodes.
type errorCode string

const codeMalformedKey errorCode = "key"

// errorsByCode holds the errors of package session by their codes, which are part of the protocol between nodes.
var errorsByCode = map[errorCode]error{
	codeMalformedKey: session.ErrMalformedKey,
	"unknown":        session.ErrUnknownKey,
	"used":           session.ErrKeyUsed,
	"expired":        session.ErrExpired,
	"over":           session.ErrEnded,
	"claimed":        session.ErrClaimed,
	"fence":          session.ErrStaleFencingToken,
	"full":           session.ErrTooManyPaused,
	"not now":        session.ErrInvalidTransition,
	"results":        session.ErrResultsMismatch,
	"large":          session.ErrTooLarge,
}

// codeOf returns the code of an error of package session, "" for any other error.
func codeOf(err error) errorCode {
	for code, known := range errorsByCode {
		if errors.Is(err, known) {
			return code
		}
	}
	return ""
}

// execute sends a command to the leader and returns the session's new record. An error of package session is returned
// as the same error with the leader's text.
func (s *Service) execute(ctx context.Context, c session.Command) (*session.Record, error) {
	c.Owner = s.owner
	var r reply
	if err := s.CallLeader(ctx, methodSession, c, &r); err != nil {
		return nil, err
	}
	if r.Code == "" {
		return r.Record, nil
	}
	if known, ok := errorsByCode[r.Code]; ok {
		return nil, fmt.Errorf("%w%s", known, strings.TrimPrefix(r.Text, known.Error()))
	}
	return nil, errors.New(r.Text)
}

// executeWithRetry is like execute, but retries until ctx ends, since a new leader may be elected soon and repeating a
// command has no further effect. It does not retry after an error of package session.
func (s *Service) executeWithRetry(ctx context.Context, c session.Command) (*session.Record, error) {
	for {
		record, err := s.execute(ctx, c)
		if err == nil || codeOf(err) != "" {
			return record, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryDelay):
		}
	}
}

// RequestError is the error for which a client's request to resume or cancel a session is rejected.
type RequestError struct {
	Status     int           // HTTP status code
	Message    string        // text of the error, for the client
	RetryAfter time.Duration // time after which the client may retry; 0 if a retry with this key cannot succeed
	cause      error
}

// Error implements error.
func (e *RequestError) Error() string { return e.Message }

// Unwrap returns the cause of the rejection, nil if it has none.
func (e *RequestError) Unwrap() error { return e.cause }

// newRequestError returns the RequestError for an error.
func newRequestError(err error) *RequestError {
	rejection := &RequestError{
		Status:     http.StatusServiceUnavailable,
		Message:    err.Error(),
		RetryAfter: defaultRetryAfter,
		cause:      err,
	}
	switch {
	case errors.Is(err, session.ErrClaimed):
		rejection.Status = http.StatusConflict // temporary: the claim ends
	case errors.Is(err, session.ErrMalformedKey), errors.Is(err, session.ErrResultsMismatch):
		rejection.setPermanent(http.StatusBadRequest)
	case errors.Is(err, session.ErrUnknownKey):
		rejection.setPermanent(http.StatusNotFound)
	case errors.Is(err, session.ErrKeyUsed):
		rejection.setPermanent(http.StatusConflict)
	case errors.Is(err, session.ErrExpired), errors.Is(err, session.ErrEnded):
		rejection.setPermanent(http.StatusGone)
	case errors.Is(err, session.ErrTooLarge):
		rejection.setPermanent(http.StatusRequestEntityTooLarge)
	}
	return rejection
}

// setPermanent sets the status of a rejection that a retry with the same key cannot change.
func (e *RequestError) setPermanent(status int) {
	e.Status = status
	e.RetryAfter = 0
}
