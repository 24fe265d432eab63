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
	client  *http.Client // its connections are of type *connection
	address string       // where the next file is uploaded
	// gathered are the attempts that are not in a file yet, by the journal that records their file.
	gathered      map[node.Journal][]*node.Attempt
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
			b.flushAll()
		case received := <-b.mailbox:
			switch msg := received.(type) {
			case sendAttempt:
				b.gather(msg.attempt, gather)
			case processChanged:
				b.address = msg.process.address
			case drainStarted:
				b.cancelAll()
			case backendRemoved:
				removed = true
				b.cancelAll()
			}
		}
	}
}

// gather adds an attempt to the next file of its journal, which is sent when it is full or the timer fires.
func (b *batchBackend) gather(attempt *node.Attempt, timer *time.Timer) {
	if len(b.gathered) == 0 {
		timer.Reset(b.Batch.GatherTime)
	}
	journal := attempt.Request.Journal
	b.gathered[journal] = append(b.gathered[journal], attempt)
	if len(b.gathered[journal]) >= b.Batch.MaxLines {
		b.flush(journal)
	}
}

// flushAll sends all gathered attempts.
func (b *batchBackend) flushAll() {
	for journal := range b.gathered {
		b.flush(journal)
	}
}

// flush sends the gathered attempts of one journal as one file.
func (b *batchBackend) flush(journal node.Journal) {
	file := newBatchFile(b.gathered[journal], journal)
	delete(b.gathered, journal)
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
	for _, attempts := range b.gathered {
		for _, attempt := range attempts {
			attempt.Finish(node.Result{Code: standpoint.Rejected})
		}
	}
	clear(b.gathered)
	for file := range b.filesInFlight {
		file.cancel()
	}
}
