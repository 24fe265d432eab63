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
	leadershipCheckInterval = 20 * time.Millisecond
	maxRunningBatches       = 4                      // each with its file in memory; others wait in their state
	minRetryDelay           = 100 * time.Millisecond // before an interrupted batch is run again; doubled each time
	maxRetryDelay           = 10 * time.Second
	maxDeletesPerWrite      = 1000
)

// Run runs batches while this member leads the store, until ctx ends. Where leadership is lost, all attempts of lines
// are ended at once, well before the time until which the store has them out.
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

// runTerm runs batches until a leadership is lost or ctx ends.
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

// runBatches runs the batches that are not over, and those that are created, until ctx ends.
func (s *Service) runBatches(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	started := map[string]bool{}
	limiter := newConcurrencyLimiter(s.MaxConcurrentLines)
	slots := make(chan struct{}, maxRunningBatches)
	s.sweep(ctx)
	for ctx.Err() == nil {
		for _, id := range s.list(batchKeyPrefix) {
			if started[id] {
				continue
			}
			started[id] = true
			b, _, ok := s.batch(id)
			if !ok {
				s.Log.Error("batch record unreadable", zap.String("batch", id))
			}
			if !ok || b.Status.Terminal() {
				continue
			}
			running.Go(func() { s.runWithRetry(ctx, id, slots, limiter) })
		}
		select {
		case <-ctx.Done():
		case <-s.wake:
		}
	}
}

// runWithRetry runs a batch once one of the slots is free. A step that the store did not take leaves the batch as the
// store has it: it is run again from there. A batch that is cancelled or expires meanwhile keeps its turn; what it
// still needs is little.
func (s *Service) runWithRetry(ctx context.Context, id string, slots chan struct{}, limiter *concurrencyLimiter) {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return
	}
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := s.runBatch(ctx, id, limiter)
		if err == nil {
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

// sweep deletes what is left of files that were never complete, since their uploads broke off with the member that
// took them, and the lines of batches that are over.
func (s *Service) sweep(ctx context.Context) {
	for _, id := range s.list(batchKeyPrefix) {
		if b, _, ok := s.batch(id); ok && b.Status.Terminal() {
			s.deleteLines(ctx, b.ID)
		}
	}
	for _, key := range s.Store.List(chunkKeyPrefix) {
		id, _, _ := strings.Cut(strings.TrimPrefix(key, chunkKeyPrefix), "/")
		if _, complete := s.file(id); complete || s.isWriting(id) {
			continue
		}
		if _, err := s.Store.Write(ctx, deleteOps(key)...); err != nil {
			s.Log.Warn("remains of an upload not deleted", zap.String("key", key), zap.Error(err))
			return
		}
	}
}

// deleteLines deletes the lines of a batch that is over: its files have their results.
func (s *Service) deleteLines(ctx context.Context, id string) {
	keys := append(s.Store.List(lineKeys(id)), s.Store.List(resultKeys(id))...)
	for chunk := range slices.Chunk(keys, maxDeletesPerWrite) {
		if _, err := s.Store.Write(ctx, deleteOps(chunk...)...); err != nil {
			s.Log.Warn("lines of a batch not deleted", zap.String("batch", id), zap.Error(err))
			return
		}
	}
}

// runBatch runs a batch from where the store has it to its end.
func (s *Service) runBatch(ctx context.Context, id string, limiter *concurrencyLimiter) error {
	b, _, ok := s.batch(id)
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
		if err := s.newScheduler(&b, lines, limiter).run(ctx); err != nil {
			return err
		}
	}
	return s.finalize(ctx, id, lines)
}

// loadTasks reads and checks a batch's input file.
func (s *Service) loadTasks(b *Batch) ([]Task, []ValidationError) {
	content, err := s.fileContent(b.InputFileID)
	if err != nil {
		return nil, []ValidationError{{Code: CodeFileIncomplete, Message: err.Error(), Param: "input_file_id"}}
	}
	return s.validate(content, b.Endpoint)
}

// beginBatch records that a batch's lines are being sent.
func (s *Service) beginBatch(ctx context.Context, id string, lines int) error {
	return s.changeBatch(ctx, id, func(b *Batch) {
		b.RequestCounts.Total = lines
		if b.Status == Validating { // it may have been cancelled meanwhile
			b.Status = InProgress
			b.InProgressAt = unixNow()
		}
	})
}

// finalize writes the output and error files, and then ends the batch in one write.
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
	output  []byte // of lines that have an answer, a result a line
	errors  []byte // of the others
	counts  RequestCounts
	expired bool // a line was not run before the batch expired
}

func (s *Service) collectResults(lines []*line) batchResults {
	var results batchResults
	expired := fmt.Appendf(nil, `"code":%q`, CodeBatchExpired)
	for _, l := range lines {
		results.counts.Total++
		result := s.Store.Get(l.resultKey).Data
		if l.record.State == lineDone {
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

// storeResults stores a file of results, if there are any, and returns its ID. The ID comes from the batch's: a
// leader that finishes what another began writes the same files.
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
