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
	recordTimeout     = 2 * time.Second        // for recording a session while its client waits
	retryDelay        = 80 * time.Millisecond  // before a command is tried again that reached no leader
	defaultRetryAfter = 500 * time.Millisecond // of a rejection that will not last
)

// reply is what the leader answers to a command.
type reply struct {
	Record *session.Record `json:"record,omitempty"`
	Code   errorCode       `json:"fault,omitempty"` // "": the command was carried out
	Text   string          `json:"text,omitempty"`  // of the error
}

// errorCode names an error of package session between nodes.
type errorCode string

const codeMalformedKey errorCode = "key"

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

// codeOf returns the code of an error of package session, "" for any other.
func codeOf(err error) errorCode {
	for code, known := range errorsByCode {
		if errors.Is(err, known) {
			return code
		}
	}
	return ""
}

// execute has the leader carry out a command of this node. Errors of package session are returned as such, with the
// leader's text.
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

// executeWithRetry has a command carried out for as long as ctx lasts: another leader may be elected in a moment, and
// a command that is given twice is the same one. An error of package session ends it at once.
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

// RequestError is how a request about a session is rejected.
type RequestError struct {
	Status     int // of HTTP
	Message    string
	RetryAfter time.Duration // 0: the request will not succeed with this key
	cause      error
}

// Error implements error.
func (e *RequestError) Error() string { return e.Message }

// Unwrap returns the error that the request is rejected for, nil where it has none.
func (e *RequestError) Unwrap() error { return e.cause }

// newRequestError returns the answer to a client for an error.
func newRequestError(err error) *RequestError {
	rejection := &RequestError{
		Status:     http.StatusServiceUnavailable,
		Message:    err.Error(),
		RetryAfter: defaultRetryAfter,
		cause:      err,
	}
	switch {
	case errors.Is(err, session.ErrClaimed):
		rejection.Status = http.StatusConflict // until the claim ends
	case errors.Is(err, session.ErrMalformedKey), errors.Is(err, session.ErrResultsMismatch):
		rejection.final(http.StatusBadRequest)
	case errors.Is(err, session.ErrUnknownKey):
		rejection.final(http.StatusNotFound)
	case errors.Is(err, session.ErrKeyUsed):
		rejection.final(http.StatusConflict)
	case errors.Is(err, session.ErrExpired), errors.Is(err, session.ErrEnded):
		rejection.final(http.StatusGone)
	case errors.Is(err, session.ErrTooLarge):
		rejection.final(http.StatusRequestEntityTooLarge)
	}
	return rejection
}

// final makes of an error one that a further attempt with the same key does not change.
func (e *RequestError) final(status int) {
	e.Status = status
	e.RetryAfter = 0
}
