package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// resolveTimeout bounds the wait for the outcome of a write whose leader lost its leadership. It is above the time
	// for which a member may be cut off, and the election after it.
	resolveTimeout = 8 * time.Second
	// resolveInterval is the interval at which that outcome is looked for.
	resolveInterval = 10 * time.Millisecond
	// retainedResults is the number of log entries whose results are retained.
	retainedResults = 1024
)

// NotApplied reports whether an error of Store.Write proves that nothing was written and nothing will be.
func NotApplied(err error) bool { return errors.Is(err, ErrConflict) || errors.Is(err, ErrNotLeader) }

// resolve waits until the outcome of a write is certain that was in the log, with this index, when this member lost its
// leadership: the next leader commits either that entry or another one in its place.
func (r *Raft) resolve(ctx context.Context, index uint64, data []byte) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	ticker := time.NewTicker(resolveInterval)
	defer ticker.Stop()
	for {
		if r.raft.AppliedIndex() >= index {
			if !r.isCommitted(index, data) {
				return 0, fmt.Errorf("%w: leadership lost before the write", ErrNotLeader)
			}
			if result, ok := r.results.get(index); ok {
				return result.version, result.err
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, context.Cause(ctx))
		case <-r.closed:
			return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, raft.ErrRaftShutdown)
		}
	}
}

// isCommitted reports whether the entry at an index that was applied has the data of a write. It is true as well if the
// log no longer has the entry.
func (r *Raft) isCommitted(index uint64, data []byte) bool {
	var entry raft.Log
	if r.storage.log.GetLog(index, &entry) != nil {
		return true
	}
	return entry.Type == raft.LogCommand && bytes.Equal(entry.Data, data)
}

// resultHistory holds the results of the last retainedResults entries. It is safe for concurrent use.
type resultHistory struct {
	mu   sync.Mutex
	ring [retainedResults]indexedResult // by the index modulo its size
}

// indexedResult is the result of the entry at an index. Index 0 stands for none.
type indexedResult struct {
	index  uint64
	result applyResult
}

func newResultHistory() *resultHistory { return &resultHistory{} }

// add adds the result of the entry at an index.
func (h *resultHistory) add(index uint64, result applyResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ring[index%retainedResults] = indexedResult{index, result}
}

// get returns the result of the entry at an index; ok is false if it was not applied or is not retained.
func (h *resultHistory) get(index uint64) (result applyResult, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.ring[index%retainedResults]
	return entry.result, entry.index == index
}
