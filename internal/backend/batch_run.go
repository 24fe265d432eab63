package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
)

// Final statuses of a batch object.
const (
	statusCompleted = "completed"
	statusFailed    = "failed"
	statusExpired   = "expired"
	statusCancelled = "cancelled"
)

// errMayNotBegin is returned for a call that was withheld because an attempt of its file may no longer begin.
var errMayNotBegin = errors.New("call withheld: an attempt of the file may not begin")

// errReleased is returned if another process decides on a file.
var errReleased = errors.New("another process decides on the file")

// releasedResult is the result of the attempts of a file that another process decides on. Nothing may follow in this
// process.
var releasedResult = node.Result{Code: standpoint.Cancelled, Unresolved: true}

// runFile processes a file from its upload to the last result. A line cannot be cancelled by itself: if an attempt is
// given up, the whole batch is cancelled, and no attempt is finished until the backend has confirmed that the batch has
// ended, or counts as lost. Until then a line that has not run yet may still run. If it may run even then, because the
// backend may be alive, its attempt is finished as unresolved, so that no other attempt follows. A file that is released
// by its journal is left to another process as it is.
func (b *batchBackend) runFile(address string, file *batchFile) {
	for _, attempt := range file.attempts {
		defer context.AfterFunc(attempt.Context(), file.cancel)()
	}
	created, result, err := b.startBatch(address, file)
	if err != nil {
		b.finishAll(file, result, err)
	}
	if len(file.attempts) == 0 {
		return
	}
	file.batchID = created.ID
	if err := file.record(b.name, address); err != nil { // it can be found by its input file
		b.Log.Warn("batch not recorded", zap.String("server", b.name), zap.String("batch", file.batchID), zap.Error(err))
	}
	b.Log.Info("batch created at a backend",
		zap.String("server", b.name),
		zap.String("file", file.id),
		zap.String("batch", file.batchID),
		zap.Int("lines", len(file.attempts)))
	if b.OnWritten != nil {
		for range file.attempts {
			b.OnWritten()
		}
	}
	results, missing, err := b.collectResults(baseURL(address), file)
	for id, result := range results {
		if attempt := file.attempts[id]; attempt != nil {
			conclude(attempt, result)
			delete(file.attempts, id)
		}
	}
	b.finishAll(file, missing, err)
}

// collectResults awaits the end of the file's batch. It returns the results of its lines, by custom_id, and the result
// of the lines that are not among them, with the reason.
func (b *batchBackend) collectResults(
	base string, file *batchFile,
) (results map[string]lineResult, missing node.Result, reason error) {
	final, lost, err := b.awaitBatch(base, file)
	if err != nil {
		return nil, lost, err
	}
	results = map[string]lineResult{}
	if err := b.fetchResults(base, final, file, results); err != nil {
		if errors.Is(err, errReleased) {
			return results, releasedResult, err
		}
		return results, node.Result{Code: standpoint.ConnectionLost}, err
	}
	// A line without a result never ran, unless its batch completed.
	missing.Code = standpoint.Rejected
	if final.Status == statusCompleted {
		missing.Code = standpoint.ConnectionLost
	}
	return results, missing, errors.New("no result for the line in a batch with status " + final.Status)
}

// fetchResults adds the results in a batch's output and error files.
func (b *batchBackend) fetchResults(
	base string, final batchObject, file *batchFile, results map[string]lineResult,
) error {
	for _, id := range []string{final.OutputFileID, final.ErrorFileID} {
		if id == "" {
			continue
		}
		content, err := b.fetchContent(base, id, file)
		if err != nil {
			return err
		}
		if err := parseResults(content, id, results); err != nil {
			return err
		}
	}
	return nil
}

// fetchContent fetches the content of a file. A call that got no usable response is repeated until the backend counts
// as lost: the lines have run, and would run again without their results.
func (b *batchBackend) fetchContent(base, id string, file *batchFile) ([]byte, error) {
	unanswered := silence{limit: b.Batch.LostTimeout}
	for {
		if file.isReleased() {
			return nil, errReleased
		}
		made := time.Now()
		var content []byte
		err := b.get(base+"/v1/files/"+id+"/content", &content)
		var failed *callError
		switch {
		case err == nil:
			return content, nil
		case errors.As(err, &failed) && failed.refused() && failed.status != http.StatusServiceUnavailable:
			return nil, err
		case unanswered.add(made):
			return nil, fmt.Errorf("backend lost, results not fetched in time: %w", err)
		}
		b.waitToPoll(file, nil)
	}
}

// startBatch uploads the file and creates a batch of it. Just before the first byte of either call is written, it
// checks whether all attempts may begin. If one may not, because its client has disconnected or the backend is
// draining, it is dropped, and a new file is made of the others. If all attempts have been finished, there is no batch
// and no error. result is that of the attempts after an error.
func (b *batchBackend) startBatch(
	address string, file *batchFile,
) (created batchObject, result node.Result, err error) {
	base := baseURL(address)
	for {
		for id, attempt := range file.attempts {
			if attempt.CheckStart() != nil {
				b.finish(file, id, notBegunResult(attempt.Context()))
			}
		}
		if len(file.attempts) == 0 {
			return batchObject{}, node.Result{}, nil
		}
		file.id, err = b.upload(base, file)
		switch {
		case errors.Is(err, errMayNotBegin):
			continue
		case err != nil: // a file without a batch runs nothing
			return batchObject{}, node.Result{Code: standpoint.NoConnection}, err
		}
		if err = file.record(b.name, address); err != nil {
			return batchObject{}, node.Result{Code: standpoint.NotSent}, fmt.Errorf("record the file: %w", err)
		}
		created, err = b.createBatch(base, file)
		switch {
		case err == nil:
			return created, node.Result{}, nil
		case errors.Is(err, errMayNotBegin):
			continue
		case !mayHaveTakenEffect(err):
			return batchObject{}, node.Result{Code: standpoint.Rejected}, err
		}
		return b.resolveCreation(base, file, err)
	}
}

// batchRequest is the body of the call that creates a batch.
type batchRequest struct {
	CompletionWindow string `json:"completion_window"`
	Endpoint         string `json:"endpoint"`
	InputFileID      string `json:"input_file_id"`
}

// batchObject holds the fields of a batch object that are used.
type batchObject struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	InputFileID  string `json:"input_file_id"`
	OutputFileID string `json:"output_file_id"`
	ErrorFileID  string `json:"error_file_id"`
}

// isFinal reports whether the batch has ended.
func (o *batchObject) isFinal() bool {
	switch o.Status {
	case statusCompleted, statusFailed, statusExpired, statusCancelled:
		return true
	}
	return false
}

// createBatch creates a batch of an uploaded file.
func (b *batchBackend) createBatch(base string, file *batchFile) (created batchObject, err error) {
	body, err := json.Marshal(batchRequest{
		InputFileID:      file.id,
		Endpoint:         "/v1/chat/completions",
		CompletionWindow: "24h",
	})
	if err != nil {
		return created, err
	}
	call := batchCall{
		method:      http.MethodPost,
		url:         base + "/v1/batches",
		contentType: "application/json",
		body:        body,
		mayBegin:    file.mayBegin(),
		receive:     &created,
	}
	if err = b.do(call); err == nil && created.ID == "" {
		err = &callError{
			call:   call.method + " " + call.url,
			status: http.StatusOK,
			sent:   true,
			cause:  errors.New("the response names no batch"),
		}
	}
	return created, err
}

// errOtherProcess is returned if the batch of that ID is one of another file: another process answers at the address.
var errOtherProcess = errors.New("backend lost, another process has taken its address")

// awaitBatch polls the batch until it has ended, and cancels it when the file is cancelled. result is that of the
// attempts after an error, which means that the backend counts as lost.
func (b *batchBackend) awaitBatch(base string, file *batchFile) (final batchObject, result node.Result, err error) {
	url := base + "/v1/batches/" + file.batchID
	unanswered := silence{limit: b.Batch.LostTimeout}
	cancelled := false
	for {
		if file.isReleased() {
			return batchObject{}, releasedResult, errReleased
		}
		if file.ctx.Err() != nil && !cancelled {
			cancelled = b.do(batchCall{method: http.MethodPost, url: url + "/cancel"}) == nil
		}
		made := time.Now()
		var object batchObject
		err := b.get(url, &object)
		switch {
		case err == nil && object.InputFileID != "" && object.InputFileID != file.id:
			return object, node.Result{Code: standpoint.ConnectionLost}, errOtherProcess
		case err == nil && object.isFinal():
			return object, node.Result{}, nil
		case err == nil:
			unanswered.end()
		case unanswered.add(made):
			return object, lostBatchResult(err), fmt.Errorf("backend lost, no response to a poll in time: %w", err)
		}
		wake := file.ctx.Done()
		if file.ctx.Err() != nil {
			wake = nil
		}
		b.waitToPoll(file, wake)
	}
}

// waitToPoll waits until the next poll is due. It returns early if the file is released or wake is closed.
func (b *batchBackend) waitToPoll(file *batchFile, wake <-chan struct{}) {
	timer := time.NewTimer(b.Batch.PollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-file.released():
	}
}

// lostBatchResult returns the result of the attempts of a batch whose backend counts as lost. They are over if no
// process listens at its address, or if the one that does knows no such batch. A backend that is out of reach or
// overloaded may still run them.
func lostBatchResult(err error) node.Result {
	ended := isServerProcessGone(err) || responseStatus(err) == http.StatusNotFound
	return node.Result{Code: standpoint.ConnectionLost, Unresolved: !ended}
}

// finishAll finishes the attempts that have no result, as finishWithout describes.
func (b *batchBackend) finishAll(file *batchFile, result node.Result, err error) {
	if len(file.attempts) > 0 {
		b.Log.Info("attempts of a batch file failed",
			zap.String("server", b.name),
			zap.String("file", file.id),
			zap.String("batch", file.batchID),
			zap.Int("lines", len(file.attempts)),
			zap.Stringer("code", result.Code),
			zap.Bool("unresolved", result.Unresolved),
			zap.Error(err))
	}
	for id, attempt := range file.attempts {
		finishWithout(attempt, result)
		delete(file.attempts, id)
	}
}
