// Package replication writes a node's usage ledger and brings in what other members have charged: it compares ledgers
// with one other member at a time and fetches missing entries range by range, at a rate that leaves the node's own
// traffic alone.
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

// Options configure a Replicator. All are required but Peers.
type Options struct {
	Dir      string // the ledger's directory
	MaxBytes int64  // of the ledger
	// Slot and Incarnation are whose entries this node writes.
	Slot        string
	Incarnation uint64
	Peers       []string     // the other members
	Now         func() int64 // Unix nanoseconds
	// SyncInterval is the mean time between two comparisons with another member's ledger.
	SyncInterval time.Duration
	// SyncRate is how many entries a second are taken from other members, at a rate factor of 1.
	SyncRate float64
	// RateFactor slows replication down: 1 is the usual rate, 0 pauses it.
	RateFactor func() float64
	// CallMember has another member carry out a method, and decodes its result into out.
	CallMember func(ctx context.Context, member, method string, in, out any) error
	Invariants *invariant.Monitor
	Log        *zap.Logger
}

// Methods that members call at each other.
const (
	MethodDigest = "ledger.digest" // DigestRequest to DigestResponse
	MethodFetch  = "ledger.fetch"  // FetchRequest to FetchResponse
)

// Replicator writes one node's ledger and replicates those of the others into it. Its methods may be called
// concurrently.
type Replicator struct {
	Options
	queue        chan *ledger.Entry // entries that wait to be written
	lastSequence uint64             // of the latest entry; only the writer's goroutine uses it

	mu          sync.Mutex // guards the ledger and its index
	segments    *ledger.SegmentedLog
	index       *ledger.Index
	corruptions []*ledger.CorruptionError // found by Open; not changed afterwards

	charged       atomic.Uint64 // entries that were written, received ones included
	dropped       atomic.Uint64 // entries for which the queue had no room
	received      atomic.Uint64 // entries of other members that were written
	writeFailures atomic.Uint64 // in a row, by now
	syncedAt      atomic.Int64  // Unix nanoseconds: when this ledger last missed nothing of another; 0: it never has
	missing       atomic.Int64  // entries that this ledger missed when it was last compared
}

// Open reads the ledger. Corruption in it is logged, and named in Status; what could be read is used.
func Open(o Options) (*Replicator, error) {
	r := &Replicator{Options: o, queue: make(chan *ledger.Entry, maxQueued), index: ledger.NewIndex(o.Invariants)}
	var err error
	r.segments, r.corruptions, err = ledger.Open(o.Dir, o.MaxBytes, func(e *ledger.Entry) { r.index.Add(e) })
	if err != nil {
		return nil, fmt.Errorf("ledger.dir: %w", err)
	}
	for _, corruption := range r.corruptions {
		if corruption.Torn {
			// The write was not acknowledged: it was charged to nobody.
			o.Log.Info("unfinished ledger write cut off", zap.Error(corruption))
		} else {
			// The entries behind the corruption are missing, and fetched from other members.
			o.Log.Error("ledger segment corrupt", zap.Error(corruption))
		}
	}
	return r, nil
}

// Charge queues an entry to be written, without waiting. It returns false where the queue is full and the entry is
// lost; Full reports that beforehand.
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

// OutOfSync reports whether this ledger missed entries when it was last compared with another, or never was.
func (r *Replicator) OutOfSync() bool { return r.missing.Load() > 0 || r.syncedAt.Load() == 0 }

// Overloaded reports whether entries are charged faster than they are written, or cannot be written: no request that would
// have to be charged may be admitted.
func (r *Replicator) Overloaded() bool {
	return len(r.queue) > maxQueued/2 || r.writeFailures.Load() > 0
}

// Run writes entries, and compares with other members, until ctx ends. Entries that are queued by then are written.
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
