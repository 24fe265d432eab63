package backend

import (
	"net/http"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

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
