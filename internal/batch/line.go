package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/store"
)

// lineState is the state of a line. A line without a record is waiting and has never been sent.
type lineState string

const (
	lineWaiting   lineState = "waiting"
	lineInFlight  lineState = "out" // an attempt may be in flight
	lineCompleted lineState = "completed"
	lineFailed    lineState = "failed"
)

// lineRecord is the stored state of a line. The line's result is stored under a separate key in the same write.
type lineRecord struct {
	State lineState `json:"state"`
	// Until depends on the state. For a line in flight, it is the time by which its attempt has ended, even if the
	// outcome was never recorded. For a waiting line, it is the time from which the line may be sent. In Unix
	// milliseconds.
	Until    int64 `json:"until,omitempty"`
	Attempts int   `json:"tries,omitempty"`
	// TraceID identifies the request of a line in flight; empty in the records of earlier versions.
	TraceID string `json:"trace,omitempty"`
}

// final reports whether a line has a result.
func (r lineRecord) final() bool { return r.State == lineCompleted || r.State == lineFailed }

// untilTime returns Until as a time.
func (r lineRecord) untilTime() time.Time { return time.UnixMilli(r.Until) }

// withUntil returns a copy of the record with Until set to t.
func (r lineRecord) withUntil(t time.Time) lineRecord {
	r.Until = t.UnixMilli()
	return r
}

// line is a line of a running batch.
type line struct {
	number    int // from 0; empty lines of the file are not counted
	task      Task
	key       string // store key of the record
	resultKey string // store key of the result
	version   uint64 // version of the record in the store; 0 if there is none
	record    lineRecord
}

// loadLine returns a line of a batch with its stored record.
func (s *Service) loadLine(batchID string, number int, task Task) (*line, error) {
	l := &line{number: number, task: task, key: lineKey(batchID, number), resultKey: resultKey(batchID, number)}
	value := s.Store.Get(l.key)
	if value.Version == 0 {
		return l, nil
	}
	if err := json.Unmarshal(value.Data, &l.record); err != nil {
		return nil, fmt.Errorf("decode line record %s: %w", l.key, err)
	}
	l.version = value.Version
	return l, nil
}

// writeLine writes a line's record and result, provided that no other writer has changed the record. After an error the
// line is reloaded from the store, since a write that was interrupted may have been carried out.
func (s *Service) writeLine(ctx context.Context, l *line, record lineRecord, result *Result) error {
	raw, err := json.Marshal(record)
	if err != nil {
		return err
	}
	ops := []store.Op{{Key: l.key, Data: raw, ExpectedVersion: l.version}}
	if result != nil {
		if raw, err = json.Marshal(result); err != nil {
			return err
		}
		ops = append(ops, store.Op{Key: l.resultKey, Data: raw})
	}
	version, err := s.Store.Write(ctx, ops...)
	if err != nil {
		return errors.Join(err, s.reloadLine(l))
	}
	l.version = version
	l.record = record
	return nil
}

// reloadLine updates a line from the store.
func (s *Service) reloadLine(l *line) error {
	value := s.Store.Get(l.key)
	if value.Version == l.version {
		return nil
	}
	var record lineRecord
	if err := json.Unmarshal(value.Data, &record); err != nil {
		return fmt.Errorf("decode line record %s: %w", l.key, err)
	}
	l.version = value.Version
	l.record = record
	return nil
}

// lineErrorMessages are the messages in the error file.
var lineErrorMessages = map[LineErrorCode]string{
	CodeBatchCancelled: "The batch was cancelled before this request was run.",
	CodeBatchExpired:   "This request could not be executed before the completion window expired.",
	CodeServerError:    "The request failed each time that it was tried.",
}

// unresolvedMessage is the message of a line's error after an attempt that may still be running.
const unresolvedMessage = "The server did not say what became of the request, which may have been executed."

// failLine records an error as a line's result.
func (s *Service) failLine(ctx context.Context, l *line, code LineErrorCode) error {
	return s.failLineWith(ctx, l, LineError{Code: code, Message: lineErrorMessages[code]})
}

// failUnresolvedLine records as a line's result that an attempt of it may still be running.
func (s *Service) failUnresolvedLine(ctx context.Context, l *line) error {
	return s.failLineWith(ctx, l, LineError{Code: CodeServerError, Message: unresolvedMessage})
}

// failLineWith records a line's error as its result.
func (s *Service) failLineWith(ctx context.Context, l *line, lineError LineError) error {
	record := lineRecord{State: lineFailed, Attempts: l.record.Attempts}
	return s.writeLine(ctx, l, record, &Result{
		ID:       newID("batch_req_"),
		CustomID: l.task.CustomID,
		Error:    &lineError,
	})
}

// logUnrecorded logs an error of writing a line's record. Nothing else is needed: if another leader has changed the
// record, the line belongs to that leader; otherwise the stored record says that the line is in flight, until the time
// in its Until has passed.
func (s *Service) logUnrecorded(l *line, err error) {
	if err != nil {
		s.Log.Warn("line not recorded", zap.String("line", l.key), zap.Error(err))
	}
}
