package backend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

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

// BatchOptions are the settings for batch backends.
type BatchOptions struct {
	// GatherTime is the time for which attempts are gathered into one file.
	GatherTime time.Duration
	// MaxLines is the maximum number of attempts in a file.
	MaxLines int
	// PollInterval is the interval between two polls of a batch.
	PollInterval time.Duration
	// LostTimeout is the time without a response to a poll after which the backend counts as lost.
	LostTimeout time.Duration
}

// batchBackend is a backend that processes files of requests. Attempts are gathered into a file. The file is uploaded,
// and a batch is created from it. The batch is polled, and its results are joined to the attempts by custom_id.
type batchBackend struct {
	Options
	backendHandle
	client        *http.Client        // its connections are of type *connection
	address       string              // where the next file is uploaded
	gathered      []*node.Attempt     // attempts that are not in a file yet
	filesInFlight map[*batchFile]bool // files whose goroutine is running
	fileEnded     chan *batchFile     // receives each file whose goroutine has ended
}

// run handles the mailbox. It ends once the backend is removed and no file is in flight.
func (b *batchBackend) run(address string) {
	defer b.client.CloseIdleConnections()
	b.address = address
	gather := time.NewTimer(time.Hour)
	defer gather.Stop()
	removed := false
	for !removed || len(b.filesInFlight) > 0 {
		select {
		case file := <-b.fileEnded:
			delete(b.filesInFlight, file)
		case <-gather.C:
			b.flush()
		case received := <-b.mailbox:
			switch msg := received.(type) {
			case sendAttempt:
				b.gather(msg.attempt, gather)
			case processChanged:
				b.address = msg.process.address
			case drainStarted:
				removed = false
				b.cancelAll()
			case backendRemoved:
				removed = true
				b.cancelAll()
			}
		}
	}
}

// gather adds an attempt to the next file, which is sent when it is full or the timer fires.
func (b *batchBackend) gather(attempt *node.Attempt, timer *time.Timer) {
	b.gathered = append(b.gathered, attempt)
	if len(b.gathered) == 1 {
		timer.Reset(b.Batch.GatherTime)
	}
	if len(b.gathered) >= b.Batch.MaxLines {
		b.flush()
	}
}

// flush sends the gathered attempts as one file.
func (b *batchBackend) flush() {
	if len(b.gathered) == 0 {
		return
	}
	file := newBatchFile(b.gathered)
	b.gathered = nil
	b.filesInFlight[file] = true
	address := b.address // b.address may change while the file is in flight
	go func() {
		b.runFile(address, file)
		file.cancel()
		b.fileEnded <- file
	}()
}

// cancelAll finishes the gathered attempts, which never ran, and cancels the files in flight.
func (b *batchBackend) cancelAll() {
	for _, attempt := range b.gathered {
		attempt.Finish(node.Result{Code: standpoint.Rejected})
	}
	b.gathered = nil
	for file := range b.filesInFlight {
		file.cancel()
	}
}

// runFile processes a file from its upload to the last result. A line cannot be cancelled by itself: if an attempt is
// given up, the whole batch is cancelled, and no attempt is finished until the backend has confirmed that the batch has
// ended, or counts as lost. Until then a line that has not run yet may still run.
func (b *batchBackend) runFile(address string, file *batchFile) {
	base := "http://" + address
	for _, attempt := range file.attempts {
		defer context.AfterFunc(attempt.Context(), file.cancel)()
	}
	created, status, err := b.startBatch(base, file)
	switch {
	case len(file.attempts) == 0:
		return
	case err != nil && status == 0:
		b.finishAll(file, standpoint.ConnectionLost, err) // the batch may have been created nevertheless
		return
	case err != nil:
		b.finishAll(file, standpoint.Rejected, err)
		return
	}
	if b.OnWritten != nil {
		for range file.attempts {
			b.OnWritten()
		}
	}
	final, err := b.awaitBatch(base, created.ID, file)
	if err == nil {
		err = b.joinFiles(base, final, file)
	}
	if err != nil {
		b.finishAll(file, standpoint.ConnectionLost, err)
		return
	}
	// A line without a result never ran, unless its batch completed.
	code := standpoint.Rejected
	if final.Status == statusCompleted {
		code = standpoint.ConnectionLost
	}
	b.finishAll(file, code, errors.New("no result for the line in a batch with status "+final.Status))
}

// joinFiles joins the results in a batch's output and error files to the attempts.
func (b *batchBackend) joinFiles(base string, final batchObject, file *batchFile) error {
	for _, id := range []string{final.OutputFileID, final.ErrorFileID} {
		if id == "" {
			continue
		}
		if err := b.joinResults(base, id, file); err != nil {
			return err
		}
	}
	return nil
}

// startBatch uploads the file and creates a batch of it. Just before the first byte of either call is written, it
// checks whether all attempts may begin. If one may not, because its client has disconnected or the backend is
// draining, it is dropped, and a new file is made of the others. status is that of the response to the creation of the
// batch, or 0 if there was none. If all attempts have been finished, there is no batch and no error.
func (b *batchBackend) startBatch(base string, file *batchFile) (created batchObject, status int, err error) {
	for {
		for id, attempt := range file.attempts {
			if attempt.CheckStart() != nil {
				b.finish(file, id, notBegunResult(attempt.Context()))
			}
		}
		if len(file.attempts) == 0 {
			return batchObject{}, 0, nil
		}
		fileID, err := b.upload(base, file)
		if err == nil {
			request := batchRequest{
				InputFileID:      fileID,
				Endpoint:         "/v1/chat/completions",
				CompletionWindow: "24h",
			}
			status, err = b.callChecked(file.mayBegin(), http.MethodPost, base+"/v1/batches", request, &created)
			if !errors.Is(err, errMayNotBegin) {
				return created, status, err
			}
		}
		if !errors.Is(err, errMayNotBegin) { // the upload failed, and a file without a batch runs nothing
			b.finishAll(file, standpoint.NoConnection, err)
			return batchObject{}, 0, nil
		}
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

// awaitBatch polls the batch until it has ended, and cancels it when the file is cancelled.
func (b *batchBackend) awaitBatch(base, id string, file *batchFile) (batchObject, error) {
	lastResponse := time.Now()
	cancelled := false
	for {
		if file.ctx.Err() != nil && !cancelled {
			_, err := b.call(http.MethodPost, base+"/v1/batches/"+id+"/cancel", nil, nil)
			cancelled = err == nil
		}
		var object batchObject
		_, err := b.call(http.MethodGet, base+"/v1/batches/"+id, nil, &object)
		switch {
		case err == nil && object.isFinal():
			return object, nil
		case err == nil:
			lastResponse = time.Now()
		case time.Since(lastResponse) > b.Batch.LostTimeout:
			return object, fmt.Errorf("backend lost, no response to a poll in time: %w", err)
		}
		wake := file.ctx.Done()
		if file.ctx.Err() != nil {
			wake = nil
		}
		select {
		case <-time.After(b.Batch.PollInterval):
		case <-wake:
		}
	}
}
