package batch

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// leadershipCheckInterval is the interval between two checks whether this member leads the store.
	leadershipCheckInterval = 20 * time.Millisecond
	// maxRunningBatches is the maximum number of running batches, each of which has its input file in memory. Other
	// batches wait in their state.
	maxRunningBatches = 4
	// minRetryDelay is the delay before an interrupted batch is run again. It is doubled with each retry up to
	// maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 10 * time.Second
	// maxDeletesPerWrite is the maximum number of keys that one write deletes.
	maxDeletesPerWrite = 1000
)

// Run runs batches while this member leads the store, until ctx ends. When leadership is lost, all attempts of lines
// end at once, long before the time until which they are stored as in flight. Files at batch backends are left to the
// next leader.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		term, leads := s.Store.Leadership()
		if !leads {
			sleep(ctx, leadershipCheckInterval)
			continue
		}
		s.Log.Info("running batches as leader", zap.Uint64("term", term))
		s.runTerm(ctx, term)
	}
}

// runTerm runs batches until the leadership of a term is lost or ctx ends.
func (s *Service) runTerm(ctx context.Context, term uint64) {
	termCtx, end := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() {
		defer end()
		for termCtx.Err() == nil {
			sleep(termCtx, leadershipCheckInterval)
			if current, leads := s.Store.Leadership(); !leads || current != term {
				return
			}
		}
	})
	s.runBatches(termCtx)
	end()
	watch.Wait()
}

// leadershipTerm is what the batches share during one leadership.
type leadershipTerm struct {
	limiter     *concurrencyLimiter
	submissions *submissions
}

// runBatches runs the unfinished batches and the ones that are created, until ctx ends.
func (s *Service) runBatches(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	started := map[string]bool{}
	term := &leadershipTerm{
		limiter:     newConcurrencyLimiter(s.MaxConcurrentLines),
		submissions: s.newSubmissions(ctx),
	}
	slots := make(chan struct{}, maxRunningBatches)
	s.sweep(ctx)
	for ctx.Err() == nil {
		for _, id := range s.listIDs(batchKeyPrefix) {
			if started[id] {
				continue
			}
			started[id] = true
			b, _, ok := s.loadBatch(id)
			if !ok {
				s.Log.Error("batch record unreadable", zap.String("batch", id))
			}
			if !ok || b.Status.Terminal() {
				continue
			}
			running.Go(func() { s.runWithRetry(ctx, id, slots, term) })
		}
		select {
		case <-ctx.Done():
		case <-s.wake:
		}
	}
}

// runWithRetry runs a batch once one of the slots is free. After a failed write to the store the batch is run again
// from its stored state. A batch that is cancelled or expires meanwhile still waits for its slot or retry, since little
// remains to be done for it.
func (s *Service) runWithRetry(ctx context.Context, id string, slots chan struct{}, term *leadershipTerm) {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return
	}
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := s.runBatch(ctx, id, term)
		if err == nil {
			term.submissions.settle(s.tracesInFlight(batchLinesPrefix(id))...) // of a batch that failed as a whole
			s.deleteLines(ctx, id)
			return
		}
		if ctx.Err() != nil {
			return
		}
		s.Log.Error("batch interrupted", zap.String("batch", id), zap.Duration("retry_after", delay), zap.Error(err))
		sleep(ctx, delay)
	}
}

// sweep deletes the chunks of incomplete files, whose upload was interrupted when the receiving member stopped, and the
// lines of batches that are over.
func (s *Service) sweep(ctx context.Context) {
	for _, id := range s.listIDs(batchKeyPrefix) {
		if b, _, ok := s.loadBatch(id); ok && b.Status.Terminal() {
			s.deleteLines(ctx, b.ID)
		}
	}
	for _, key := range s.Store.List(chunkKeyPrefix) {
		id, _, _ := strings.Cut(strings.TrimPrefix(key, chunkKeyPrefix), "/")
		if _, complete := s.loadFile(id); complete || s.isWriting(id) {
			continue
		}
		if _, err := s.Store.Write(ctx, deleteOps(key)...); err != nil {
			s.Log.Warn("chunk of an incomplete file not deleted", zap.String("key", key), zap.Error(err))
			return
		}
	}
}

// deleteLines deletes the lines of a batch that is over. Their results are in the batch's files.
func (s *Service) deleteLines(ctx context.Context, id string) {
	keys := append(s.Store.List(batchLinesPrefix(id)), s.Store.List(batchResultsPrefix(id))...)
	for chunk := range slices.Chunk(keys, maxDeletesPerWrite) {
		if _, err := s.Store.Write(ctx, deleteOps(chunk...)...); err != nil {
			s.Log.Warn("lines of a batch not deleted", zap.String("batch", id), zap.Error(err))
			return
		}
	}
}

// runBatch runs a batch from its stored state to its end.
func (s *Service) runBatch(ctx context.Context, id string, term *leadershipTerm) error {
	b, _, ok := s.loadBatch(id)
	if !ok {
		return fmt.Errorf("batch %s is not in the store", id)
	}
	tasks, invalid := s.loadTasks(&b)
	if len(invalid) > 0 {
		return s.changeBatch(ctx, id, func(b *Batch) {
			b.Status = Failed
			b.FailedAt = unixNow()
			b.Errors = &ValidationErrors{Object: "list", Data: invalid}
		})
	}
	lines := make([]*line, len(tasks))
	for i, task := range tasks {
		var err error
		if lines[i], err = s.loadLine(id, i, task); err != nil {
			return err
		}
	}
	if b.Status == Validating {
		if err := s.beginBatch(ctx, id, len(tasks)); err != nil {
			return err
		}
	}
	if b.Status != Finalizing {
		if err := s.newScheduler(&b, lines, term).run(ctx); err != nil {
			return err
		}
	}
	return s.finalize(ctx, id, lines)
}

// loadTasks reads and validates a batch's input file.
func (s *Service) loadTasks(b *Batch) ([]Task, []ValidationError) {
	content, err := s.fileContent(b.InputFileID)
	if err != nil {
		return nil, []ValidationError{{Code: CodeFileIncomplete, Message: err.Error(), Param: "input_file_id"}}
	}
	return s.validate(content, b.Endpoint)
}

// beginBatch records the number of lines of a batch, and that they are being sent.
func (s *Service) beginBatch(ctx context.Context, id string, lines int) error {
	return s.changeBatch(ctx, id, func(b *Batch) {
		b.RequestCounts.Total = lines
		if b.Status == Validating { // it may have been cancelled in the meantime
			b.Status = InProgress
			b.InProgressAt = unixNow()
		}
	})
}

// finalize writes the output and error files and then sets the batch's final state in one write.
func (s *Service) finalize(ctx context.Context, id string, lines []*line) error {
	err := s.changeBatch(ctx, id, func(b *Batch) {
		if b.Status == InProgress {
			b.Status = Finalizing
			b.FinalizingAt = unixNow()
		}
	})
	if err != nil {
		return err
	}
	results := s.collectResults(lines)
	outputID, err := s.storeResults(ctx, id, "output", results.output)
	if err != nil {
		return err
	}
	errorID, err := s.storeResults(ctx, id, "error", results.errors)
	if err != nil {
		return err
	}
	return s.changeBatch(ctx, id, func(b *Batch) {
		b.OutputFileID = outputID
		b.ErrorFileID = errorID
		b.RequestCounts = results.counts
		switch {
		case b.Status == Cancelling:
			b.Status = Cancelled
			b.CancelledAt = unixNow()
		case results.expired:
			b.Status = Expired
			b.ExpiredAt = unixNow()
		default:
			b.Status = Completed
			b.CompletedAt = unixNow()
		}
	})
}

// batchResults are the results of a batch's lines.
type batchResults struct {
	output  []byte // results of the lines with a response, one per line
	errors  []byte // results of the other lines
	counts  RequestCounts
	expired bool // a line was not run before the batch expired
}

func (s *Service) collectResults(lines []*line) batchResults {
	var results batchResults
	expired := fmt.Appendf(nil, `"code":%q`, CodeBatchExpired)
	for _, l := range lines {
		results.counts.Total++
		result := s.Store.Get(l.resultKey).Data
		if l.record.State == lineCompleted {
			results.counts.Completed++
			results.output = append(append(results.output, result...), '\n')
			continue
		}
		results.counts.Failed++
		results.errors = append(append(results.errors, result...), '\n')
		results.expired = results.expired || bytes.Contains(result, expired)
	}
	return results
}

// storeResults stores a file of results, if there are any, and returns its ID. The ID is derived from the batch's ID,
// so that a later leader that repeats an interrupted finalization overwrites the same files.
func (s *Service) storeResults(ctx context.Context, batchID, kind string, content []byte) (fileID string, err error) {
	if len(content) == 0 {
		return "", nil
	}
	file := File{
		ID:       "file-" + batchID + "-" + kind,
		Filename: batchID + "_" + kind + ".jsonl",
		Purpose:  purposeOutput,
	}
	return file.ID, s.storeFile(ctx, file, content)
}
