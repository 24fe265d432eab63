package backend

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/node"
)

// errTakenOver is the reason why it is uncertain whether a recovered file has a batch.
var errTakenOver = errors.New("the process that uploaded the file did not record its batch")

// recoveredFile is a file that an earlier process has uploaded. Its end is awaited whether the backend is listed or
// not. It implements node.RecoveredSubmission.
type recoveredFile struct {
	*batchFile
	backend *batchBackend
	done    chan struct{} // closed once the fields below are set

	results map[string]lineResult // by custom_id
	missing node.Result           // result of the lines that are not among the results
}

// Recover awaits the end of a submission that an earlier process has recorded in the journal. Its batch is cancelled
// after the limit, and when the backend drains or is no longer listed. A backend that has not been listed yet may
// still be discovered.
func (f *Fleet) Recover(
	submission node.Submission, journal node.Journal, limit time.Duration,
) node.RecoveredSubmission {
	file := newBatchFile(nil, journal)
	file.id = submission.FileID
	file.batchID = submission.BatchID
	file.submission = submission
	f.mu.Lock()
	defer f.mu.Unlock()
	recovered := &recoveredFile{
		batchFile: file,
		backend: &batchBackend{
			Options:       f.Options,
			backendHandle: backendHandle{name: submission.Backend, log: f.Log},
			client:        f.batchClient(),
		},
		done: make(chan struct{}),
	}
	f.recoveredFiles[recovered] = true
	if f.backends[submission.Backend].listedDraining {
		recovered.Cancel()
	}
	go func() {
		defer time.AfterFunc(limit, file.cancel).Stop()
		recovered.run()
		f.forget(recovered)
	}()
	return recovered
}

// forget removes a recovered file that has ended.
func (f *Fleet) forget(recovered *recoveredFile) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.recoveredFiles, recovered)
}

// cancelRecoveredFiles cancels the batches of recovered files at a backend. The caller holds f.mu.
func (f *Fleet) cancelRecoveredFiles(backend string) {
	for recovered := range f.recoveredFiles {
		if recovered.backend.name == backend {
			recovered.Cancel()
		}
	}
}

// run awaits the end of the file's batch, which is looked for if it is not known.
func (r *recoveredFile) run() {
	defer close(r.done)
	defer r.backend.client.CloseIdleConnections()
	defer r.cancel()
	base := baseURL(r.submission.Address)
	var err error
	if r.batchID == "" {
		var created batchObject
		if created, r.missing, err = r.backend.resolveCreation(base, r.batchFile, errTakenOver); err == nil {
			r.batchID = created.ID
		}
	}
	if err == nil {
		r.results, r.missing, err = r.backend.collectResults(base, r.batchFile)
	}
	r.backend.Log.Info("submission of an earlier process has ended",
		zap.String("server", r.backend.name),
		zap.String("file", r.id),
		zap.String("batch", r.batchID),
		zap.Int("lines", len(r.submission.Lines)),
		zap.Int("results", len(r.results)),
		zap.Stringer("others", r.missing.Code),
		zap.Bool("unresolved", r.missing.Unresolved),
		zap.NamedError("reason", err))
}

// Join implements node.RecoveredSubmission. If the attempt is cancelled, so is the batch, and the attempt ends with it.
func (r *recoveredFile) Join(attempt *node.Attempt) {
	select {
	case <-r.done:
	case <-attempt.Context().Done():
		if !r.isReleased() {
			r.Cancel()
		}
		<-r.done
	}
	if result, ok := r.results[customID(attempt)]; ok {
		conclude(attempt, result)
		return
	}
	finishWithout(attempt, r.missing)
}

// Cancel implements node.RecoveredSubmission.
func (r *recoveredFile) Cancel() { r.cancel() }

// Done implements node.RecoveredSubmission.
func (r *recoveredFile) Done() <-chan struct{} { return r.done }
