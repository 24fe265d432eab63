// Package replication writes a node's usage ledger and replicates the entries of other members into it. It compares the
// ledger with that of one other member at a time and fetches missing entries range by range, at a limited rate so that
// the node's own traffic is not affected.
package replication

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/ledger"
)

// Options configure a Replicator. All fields but Peers are required.
type Options struct {
	Dir      string // directory of the ledger
	MaxBytes int64  // maximum size of the ledger
	// Slot and Incarnation identify this node in its entries.
	Slot        string
	Incarnation uint64
	Peers       []string     // the other members
	Now         func() int64 // current time in Unix nanoseconds
	// SyncInterval is the mean time between two comparisons with another member's ledger.
	SyncInterval time.Duration
	// SyncRate is the maximum number of entries per second received from other members, at a rate factor of 1.
	SyncRate float64
	// RateFactor returns the factor that SyncRate is multiplied by. It is 1 in normal operation; 0 pauses replication.
	RateFactor func() float64
	// CallMember calls a method at another member and decodes its result into out.
	CallMember func(ctx context.Context, member, method string, in, out any) error
	Invariants *invariant.Monitor
	Log        *zap.Logger
}

// Methods that members call at each other.
const (
	MethodDigest = "ledger.digest" // takes a DigestRequest and returns a DigestResponse
	MethodFetch  = "ledger.fetch"  // takes a FetchRequest and returns a FetchResponse
)

// Replicator writes one node's ledger and replicates the ledgers of the other members into it. Its methods are safe for
// concurrent use.
type Replicator struct {
	Options
	queue        chan *ledger.Entry // entries to be written
	lastSequence uint64             // sequence number of the latest entry; used only by the writer's goroutine

	mu          sync.Mutex // guards the ledger and its index
	segments    *ledger.SegmentedLog
	index       *ledger.Index
	corruptions []*ledger.CorruptionError // found by Open; not changed afterwards

	charged       atomic.Uint64 // entries written, including received ones
	dropped       atomic.Uint64 // entries dropped because the queue was full
	received      atomic.Uint64 // entries received from other members and written
	writeFailures atomic.Uint64 // consecutive failed writes; 0 after a successful one
	syncedAt      atomic.Int64  // end of the last complete sync with another member, in Unix nanoseconds; 0: none yet
	// missing is the number of entries that a sync had requested when one of its fetches failed. It is 0 after a
	// complete sync.
	missing atomic.Int64
}

// Open opens the ledger and reads it. Corruption is logged and listed in Status, and the entries that can be read are
// used.
func Open(o Options) (*Replicator, error) {
	r := &Replicator{Options: o, queue: make(chan *ledger.Entry, maxQueued), index: ledger.NewIndex(o.Invariants)}
	var err error
	r.segments, r.corruptions, err = ledger.Open(o.Dir, o.MaxBytes, func(e *ledger.Entry) { r.index.Add(e) })
	if err != nil {
		return nil, fmt.Errorf("ledger.dir: %w", err)
	}
	for _, corruption := range r.corruptions {
		if corruption.Torn {
			// The write was not acknowledged, so no charge is missing.
			o.Log.Info("unfinished ledger write truncated", zap.Error(corruption))
		} else {
			// The entries after the corruption are missing, and are fetched from other members.
			o.Log.Error("ledger segment corrupt", zap.Error(corruption))
		}
	}
	return r, nil
}

// Charge queues an entry to be written, without blocking. It returns false if the queue is full, in which case the
// entry is dropped; Overloaded reports true well before that.
func (r *Replicator) Charge(e ledger.Entry) bool {
	e.Slot = r.Slot
	e.Incarnation = r.Incarnation
	e.At = r.Now()
	select {
	case r.queue <- &e:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// OutOfSync reports whether a fetch of missing entries has failed and no sync was completed after it, or no sync was
// completed at all.
func (r *Replicator) OutOfSync() bool { return r.missing.Load() > 0 || r.syncedAt.Load() == 0 }

// Overloaded reports whether entries are charged faster than they are written, or cannot be written. While it does, no
// request that has to be charged may be admitted.
func (r *Replicator) Overloaded() bool {
	return len(r.queue) > maxQueued/2 || r.writeFailures.Load() > 0
}

// Run writes queued entries and syncs with other members until ctx ends. Before it returns it writes the entries that
// are still queued, unless writes fail.
func (r *Replicator) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.runWriter(ctx) })
	loops.Go(func() { r.runSync(ctx) })
	loops.Wait()
}

// Close closes the ledger. Run must have returned.
func (r *Replicator) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.segments.Close()
}
