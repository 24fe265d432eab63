package replication

import (
	"context"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/fleet/ledger"
)

const (
	maxQueued  = 4096                   // entries that wait to be written
	maxBatch   = 256                    // entries of a write
	batchDelay = 3 * time.Millisecond   // for which a write waits for further entries
	retryDelay = 500 * time.Millisecond // before a write that failed is tried again
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

// assignSequence numbers an entry as it is about to be written: one that the queue had no room for leaves no gap.
func (r *Replicator) assignSequence(e *ledger.Entry) *ledger.Entry {
	r.lastSequence++
	e.Sequence = r.lastSequence
	return e
}

// drainQueue adds all queued entries to a batch.
func (r *Replicator) drainQueue(batch []*ledger.Entry) []*ledger.Entry {
	for len(r.queue) > 0 {
		batch = append(batch, r.assignSequence(<-r.queue))
	}
	return batch
}

// collectBatch adds entries that are queued within batchDelay, up to maxBatch.
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

// appendWithRetry writes entries until that succeeds, since a disk that is full may have room again. It returns false
// where ctx ended before.
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

// append writes entries, and counts them once they are on the disk. It returns false where they could not be written.
func (r *Replicator) append(entries []*ledger.Entry) bool {
	if len(entries) == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.segments.Append(entries); err != nil {
		r.writeFailures.Add(1)
		// Full reports it, so that no further requests are admitted meanwhile.
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
