package replication

import (
	"context"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/fleet/ledger"
)

const (
	maxQueued  = 4096                   // maximum number of entries in the queue
	maxBatch   = 256                    // maximum number of entries in one write
	batchDelay = 3 * time.Millisecond   // time for which a write waits for further entries
	retryDelay = 500 * time.Millisecond // delay before a failed write is retried
)

// runWriter writes queued entries in batches until ctx ends.
func (r *Replicator) runWriter(ctx context.Context) {
	var batch []*ledger.Entry
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			r.append(r.drainQueue(batch))
			return
		case e := <-r.queue:
			batch = append(batch, r.assignSequence(e))
		}
		batch = r.collectBatch(batch)
		if !r.appendWithRetry(ctx, batch) {
			return
		}
	}
}

// assignSequence assigns the next sequence number to an entry. It is called when the entry is about to be written, so
// that dropped entries leave no gaps.
func (r *Replicator) assignSequence(e *ledger.Entry) *ledger.Entry {
	r.lastSequence++
	e.Sequence = r.lastSequence
	return e
}

// drainQueue appends all queued entries to a batch.
func (r *Replicator) drainQueue(batch []*ledger.Entry) []*ledger.Entry {
	for len(r.queue) > 0 {
		batch = append(batch, r.assignSequence(<-r.queue))
	}
	return batch
}

// collectBatch appends entries to a batch for batchDelay or until it has maxBatch entries.
func (r *Replicator) collectBatch(batch []*ledger.Entry) []*ledger.Entry {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < maxBatch {
		select {
		case e := <-r.queue:
			batch = append(batch, r.assignSequence(e))
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// appendWithRetry retries the write of entries until it succeeds, since a full disk may have free space later. It
// returns false if ctx ends before that.
func (r *Replicator) appendWithRetry(ctx context.Context, entries []*ledger.Entry) bool {
	for !r.append(entries) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryDelay):
		}
	}
	return true
}

// append writes entries, and counts them once they are durable. It returns false if they could not be written.
func (r *Replicator) append(entries []*ledger.Entry) bool {
	if len(entries) == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.segments.Append(entries); err != nil {
		r.writeFailures.Add(1)
		// Overloaded returns true until a write succeeds, so that no further requests are admitted.
		r.Log.Error("ledger write failed", zap.Int("entries", len(entries)), zap.Error(err))
		return false
	}
	r.writeFailures.Store(0)
	for _, e := range entries {
		if r.index.Add(e) {
			r.charged.Add(1)
		}
	}
	return true
}
