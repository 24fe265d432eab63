package batch

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/node"
	"standpoint/internal/store"
)

// SubmissionRecoverer awaits the end of submissions that earlier processes have recorded.
type SubmissionRecoverer interface {
	// Recover awaits the end of a submission. Its batch is cancelled after the time limit. The journal says when the
	// submission is released.
	Recover(submission node.Submission, journal node.Journal, limit time.Duration) node.RecoveredSubmission
}

// submissions records the files at batch backends that contain lines of this member's batches, during one leadership.
// A file is recorded before its batch is created and deleted once the outcome of each line is stored, so that a later
// leader finds every batch that may run lines in flight. It implements node.Journal; its methods are safe for
// concurrent use.
type submissions struct {
	service    *Service
	leadership context.Context // ends with the leadership

	mu    sync.Mutex // guards the fields below
	byKey map[string]*submission
}

// submission is a recorded file.
type submission struct {
	node.Submission
	version   uint64         // version of the record in the store
	open      map[string]int // by trace ID: the attempt numbers of the requests whose outcome is not stored
	recovered node.RecoveredSubmission
}

// newSubmissions returns the submissions of a leadership, with those that earlier leaders have recorded. Of these,
// a submission without a line in flight is cancelled.
func (s *Service) newSubmissions(leadership context.Context) *submissions {
	j := &submissions{service: s, leadership: leadership, byKey: map[string]*submission{}}
	keys := s.Store.List(submissionKeyPrefix)
	if len(keys) == 0 {
		return j
	}
	inFlight := s.tracesInFlight(lineKeyPrefix)
	for _, key := range keys {
		record, version, ok := readJSON[node.Submission](s.Store, key)
		if !ok {
			s.Log.Error("submission record unreadable", zap.String("key", key))
			continue
		}
		record.Key = key
		j.takeOver(record, version, inFlight)
	}
	return j
}

// tracesInFlight returns the trace IDs of the lines that are stored as in flight under keys with a prefix.
func (s *Service) tracesInFlight(prefix string) []string {
	var traces []string
	for _, key := range s.Store.List(prefix) {
		if record, _, ok := readJSON[lineRecord](s.Store, key); ok && record.State == lineInFlight {
			traces = append(traces, record.TraceID)
		}
	}
	return traces
}

// takeOver adds a submission of an earlier leader and awaits its end.
func (j *submissions) takeOver(record node.Submission, version uint64, inFlight []string) {
	taken := &submission{Submission: record, version: version, open: map[string]int{}}
	for _, line := range record.Lines {
		if slices.Contains(inFlight, line.TraceID) {
			taken.open[line.TraceID] = line.Attempt
		}
	}
	j.service.Log.Info("submission of an earlier leader taken over",
		zap.String("server", record.Backend),
		zap.String("file", record.FileID),
		zap.String("batch", record.BatchID),
		zap.Int("lines", len(record.Lines)),
		zap.Int("in_flight", len(taken.open)))
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byKey[record.Key] = taken
	recovered := j.startRecovery(taken)
	if len(taken.open) == 0 {
		recovered.Cancel()
	}
}

// startRecovery awaits the end of a submission, unless that is being done. Its lines cancel it in time, but those of a
// batch that waits for its turn do not do so yet. The caller holds j.mu.
func (j *submissions) startRecovery(s *submission) node.RecoveredSubmission {
	if s.recovered == nil {
		recovered := j.service.Recoverer.Recover(s.Submission, j, j.service.LineTimeout)
		s.recovered = recovered
		go func() { // its lines may have been settled before, without its results
			<-recovered.Done()
			j.deleteSettled()
		}()
	}
	return s.recovered
}

// find returns the submission with the latest attempt of a request whose outcome is not stored, and the attempt's
// number; nil if there is none. Earlier attempts of the request have ended.
func (j *submissions) find(traceID string) (found node.RecoveredSubmission, attempt int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var latest *submission
	for _, s := range j.byKey {
		if number, open := s.open[traceID]; open && (latest == nil || number > attempt) {
			latest = s
			attempt = number
		}
	}
	if latest == nil {
		return nil, 0
	}
	return j.startRecovery(latest), attempt
}

// contains reports whether a submission contains a request whose outcome is not stored.
func (j *submissions) contains(traceID string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.byKey {
		if _, open := s.open[traceID]; open {
			return true
		}
	}
	return false
}

// Record implements node.Journal.
func (j *submissions) Record(file *node.Submission) error {
	j.mu.Lock()
	known := j.byKey[file.Key]
	j.mu.Unlock()
	if known == nil {
		known = &submission{}
		file.Key = submissionKeyPrefix + newID("")
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return err
	}
	op := store.Op{Key: file.Key, Data: raw, ExpectedVersion: known.version}
	version, err := j.service.Store.Write(j.leadership, op)
	if store.NotApplied(err) {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	known.Submission = *file
	known.version = version
	known.open = map[string]int{} // a line that the file no longer has is not run by its batch
	for _, line := range file.Lines {
		known.open[line.TraceID] = line.Attempt
	}
	if err != nil { // it may be stored: it is deleted once the lines are settled
		known.version = store.AnyVersion
	}
	j.byKey[file.Key] = known
	return err
}

// Released implements node.Journal.
func (j *submissions) Released() <-chan struct{} { return j.leadership.Done() }

// settle is called when the outcomes of requests are stored. It deletes the submissions whose requests all have one; a
// batch that still runs, although no request waits for it, is cancelled first.
func (j *submissions) settle(traceIDs ...string) {
	j.mu.Lock()
	for _, s := range j.byKey {
		for _, traceID := range traceIDs {
			delete(s.open, traceID)
		}
		if len(s.open) == 0 && !s.hasEnded() {
			s.recovered.Cancel()
		}
	}
	j.mu.Unlock()
	j.deleteSettled()
}

// deleteSettled deletes the submissions whose requests all have a stored outcome. One that cannot be deleted is left to
// the next leader.
func (j *submissions) deleteSettled() {
	if j.leadership.Err() != nil {
		return
	}
	if keys := j.removeSettled(); len(keys) > 0 {
		if _, err := j.service.Store.Write(j.leadership, deleteOps(keys...)...); err != nil {
			j.service.Log.Warn("submissions not deleted", zap.Strings("keys", keys), zap.Error(err))
		}
	}
}

// removeSettled removes the submissions whose requests all have a stored outcome, and returns their keys.
func (j *submissions) removeSettled() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var keys []string
	for key, s := range j.byKey {
		if len(s.open) == 0 && s.hasEnded() {
			keys = append(keys, key)
			delete(j.byKey, key)
		}
	}
	return keys
}

// hasEnded reports whether nothing of the submission runs at its backend, provided that the outcomes of its requests
// are stored.
func (s *submission) hasEnded() bool {
	if s.recovered == nil {
		return true
	}
	select {
	case <-s.recovered.Done():
		return true
	default:
		return false
	}
}
