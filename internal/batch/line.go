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

// lineState is the state of a line. One that has no record is waiting and was never sent.
type lineState string

const (
	lineWaiting lineState = "waiting"
	lineOut     lineState = "out" // an attempt of it may be in flight
	lineDone    lineState = "completed"
	lineFailed  lineState = "failed"
)

// lineRecord is a line's state in the store. Its result lies under a key of its own, written in the same step.
type lineRecord struct {
	State lineState `json:"state"`
	// Until is when a line that is out has no attempt in flight any more at the latest, or when one that waits may be
	// sent. Unix milliseconds.
	Until    int64 `json:"until,omitempty"`
	Attempts int   `json:"tries,omitempty"`
}

// final reports whether a line has its result.
func (r lineRecord) final() bool { return r.State == lineDone || r.State == lineFailed }

// untilTime returns Until as a time.
func (r lineRecord) untilTime() time.Time { return time.UnixMilli(r.Until) }

// withUntil returns the record with another Until.
func (r lineRecord) withUntil(t time.Time) lineRecord {
	r.Until = t.UnixMilli()
	return r
}

// line is one line of a batch that runs.
type line struct {
	number    int // from 0, empty lines of the file not counted
	task      Task
	key       string
	resultKey string
	version   uint64 // of the record in the store; 0: there is none
	record    lineRecord
}

// loadLine returns a line of a batch as the store has it.
func (s *Service) loadLine(batchID string, number int, task Task) (*line, error) {
	l := &line{number: number, task: task, key: lineKey(batchID, number), resultKey: resultKey(batchID, number)}
	value := s.Store.Get(l.key)
	if value.Version == 0 {
		return l, nil
	}
	if err := json.Unmarshal(value.Data, &l.record); err != nil {
		return nil, fmt.Errorf("%s: %w", l.key, err)
	}
	l.version = value.Version
	return l, nil
}

// writeLine writes a line's record, and its result with it, provided that nobody else has. After an error the line is
// as the store has it: whether a write that broke off was carried out is not known otherwise.
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

// reloadLine brings a line up to date with the store.
func (s *Service) reloadLine(l *line) error {
	value := s.Store.Get(l.key)
	if value.Version == l.version {
		return nil
	}
	var record lineRecord
	if err := json.Unmarshal(value.Data, &record); err != nil {
		return fmt.Errorf("%s: %w", l.key, err)
	}
	l.version = value.Version
	l.record = record
	return nil
}

var lineErrorMessages = map[LineErrorCode]string{
	CodeBatchCancelled: "The batch was cancelled before this request was run.",
	CodeBatchExpired:   "This request could not be executed before the completion window expired.",
	CodeServerError:    "The request failed each time that it was tried.",
}

// failLine gives a line an error as its result.
func (s *Service) failLine(ctx context.Context, l *line, code LineErrorCode) error {
	record := lineRecord{State: lineFailed, Attempts: l.record.Attempts}
	return s.writeLine(ctx, l, record, &Result{
		ID:       newID("batch_req_"),
		CustomID: l.task.CustomID,
		Error:    &LineError{Code: code, Message: lineErrorMessages[code]},
	})
}

// logUnrecorded logs a record that could not be written. Where another leader has the line it is that leader's; the
// store still has ours as out until its time.
func (s *Service) logUnrecorded(l *line, err error) {
	if err != nil {
		s.Log.Warn("line not recorded", zap.String("line", l.key), zap.Error(err))
	}
}
