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

// The statuses of a batch object that are final.
const (
	statusCompleted = "completed"
	statusFailed    = "failed"
	statusExpired   = "expired"
	statusCancelled = "cancelled"
)

// errNotBegun is the error of a file of which some attempt might not begin any more when it was sent.
var errNotBegun = errors.New("not begun")

// BatchOptions say how a backend that takes files is used.
type BatchOptions struct {
	Gather time.Duration // for which attempts are gathered into one file
	Lines  int           // maximum number of attempts in a file
	Poll   time.Duration // between two polls of a batch
	Lost   time.Duration // without an answer, after which the backend counts as lost
}

// batchBackend is a backend that takes files: it gathers attempts into one, uploads it, polls its batch and joins the
// results by custom_id.
type batchBackend struct {
	Options
	member
	client        *http.Client
	address       string
	gathered      []*node.Attempt // not uploaded yet
	filesInFlight map[*batchFile]bool
	fileEnded     chan *batchFile
}

// run handles the mailbox, and ends once the backend is removed and no file is in flight.
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
		case m := <-b.mailbox:
			switch m := m.(type) {
			case sendAttempt:
				b.gather(m.attempt, gather)
			case processChanged:
				b.address = m.process.address
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
		timer.Reset(b.Batch.Gather)
	}
	if len(b.gathered) >= b.Batch.Lines {
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
	address := b.address // of this file; the next may go elsewhere
	go func() {
		b.runFile(address, file)
		file.cancel()
		b.fileEnded <- file
	}()
}

// cancelAll ends the attempts that are not uploaded, which never ran, and cancels the files in flight.
func (b *batchBackend) cancelAll() {
	for _, attempt := range b.gathered {
		attempt.Finish(node.Result{Code: standpoint.Rejected})
	}
	b.gathered = nil
	for file := range b.filesInFlight {
		file.cancel()
	}
}

// runFile takes a file from its upload to the last result. A line cannot be cancelled alone: if an attempt is given
// up, the whole batch is cancelled, and no attempt ends before the backend has confirmed that the batch is over, or
// is lost. Until then a line that has not run yet may still do so.
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
		b.finishAll(file, standpoint.ConnectionLost, err) // it may have been created all the same
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
	// What is in neither file of a batch that did not complete was never run.
	code := standpoint.Rejected
	if final.Status == statusCompleted {
		code = standpoint.ConnectionLost
	}
	b.finishAll(file, code, errors.New("no result for the line in a batch that is "+final.Status))
}

// joinFiles joins the results of a batch's output and error file.
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

// startBatch uploads the file and has its batch created. The attempts are asked whether they may begin as the first
// byte of either call is written. If one may not, since its client has gone or the backend drains, it is dropped, and
// the file made again of the others.
func (b *batchBackend) startBatch(base string, file *batchFile) (created batchObject, status int, err error) {
	for {
		for id, attempt := range file.attempts {
			if attempt.MayBegin() != nil {
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
			status, err = b.callIf(file.mayBegin(), http.MethodPost, base+"/v1/batches", request, &created)
			if !errors.Is(err, errNotBegun) {
				return created, status, err
			}
		}
		if !errors.Is(err, errNotBegun) { // a file alone runs nothing
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

// batchObject is what is read of a batch object.
type batchObject struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id"`
	ErrorFileID  string `json:"error_file_id"`
}

func (o *batchObject) over() bool {
	switch o.Status {
	case statusCompleted, statusFailed, statusExpired, statusCancelled:
		return true
	}
	return false
}

// awaitBatch polls the batch until it is over, and cancels it when the file is cancelled.
func (b *batchBackend) awaitBatch(base, id string, file *batchFile) (batchObject, error) {
	lastAnswer := time.Now()
	cancelled := false
	for {
		if file.ctx.Err() != nil && !cancelled {
			_, err := b.call(http.MethodPost, base+"/v1/batches/"+id+"/cancel", nil, nil)
			cancelled = err == nil
		}
		var object batchObject
		_, err := b.call(http.MethodGet, base+"/v1/batches/"+id, nil, &object)
		switch {
		case err == nil && object.over():
			return object, nil
		case err == nil:
			lastAnswer = time.Now()
		case time.Since(lastAnswer) > b.Batch.Lost:
			return object, fmt.Errorf("lost: %w", err)
		}
		wake := file.ctx.Done()
		if file.ctx.Err() != nil {
			wake = nil
		}
		select {
		case <-time.After(b.Batch.Poll):
		case <-wake:
		}
	}
}
