// Package usage is the actor round a node's ledger: it writes what the node charges, and has what others charged come here, a
// range at a time, beneath the traffic that the node serves.
package replication

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/ledger"
)

const (
	maxQueued         = 4096 // entries that wait to be written
	maxBatch          = 256
	batchDelay        = 3 * time.Millisecond // that a batch waits for more
	retryDelay        = 500 * time.Millisecond
	maxFetchEntries   = 256 // entries of an answer
	maxRangesPerRound = 32  // that are asked for in a round
	maxDigestSources  = 16  // sources of an answer
	verifyInterval    = 10 * time.Second
)

// Options are what the actor is made of.
type Options struct {
	Dir          string
	MaxBytes     int64 // bytes of the ledger
	Slot         string
	Incarnation  uint64
	Peers        []string // the others
	Now          func() int64
	SyncInterval time.Duration // between two looks at another node's ledger
	SyncRate     float64       // entries a second that are taken from others, at the usual pace
	RateFactor   func() float64
	CallMember   func(ctx context.Context, seat, what string, in, out any) error
	Invariants   *invariant.Monitor
	Log          *zap.Logger
}

// Replicator is the actor.
type Replicator struct {
	Options
	queue        chan *ledger.Entry
	lastSequence uint64 // of the latest entry; the writer's alone: what is lost leaves no gap behind

	mu          sync.Mutex
	log         *ledger.SegmentedLog
	index       *ledger.Index
	corruptions []*ledger.CorruptionError

	charged, dropped, received, writeFailures atomic.Uint64
	exchanges                                 atomic.Uint64 // bytes are the fleet's to count; these are rounds
	syncedAt                                  atomic.Int64  // when this ledger last lacked nothing of another's
	missing                                   atomic.Int64  // numbers that it lacked when it last looked
}

// Open reads the ledger. What of it does not hold is logged, and named in Status.
func Open(o Options) (*Replicator, error) {
	u := &Replicator{Options: o, queue: make(chan *ledger.Entry, maxQueued), index: ledger.NewIndex(o.Invariants)}
	var err error
	if u.log, u.corruptions, err = ledger.Open(o.Dir, o.MaxBytes, func(e *ledger.Entry) { u.index.Add(e) }); err != nil {
		return nil, fmt.Errorf("ledger.dir: %w", err)
	}
	for _, d := range u.corruptions {
		if d.Torn {
			o.Log.Info("the ledger's last write was not finished; it was charged to nobody", zap.Error(d))
		} else {
			o.Log.Error("the ledger is damaged; what stands behind the damage in that segment is asked of the others", zap.Error(d))
		}
	}
	return u, nil
}

// Charge has an entry written. It does not wait. False: too many wait already, and the entry is lost; Full tells so before.
func (u *Replicator) Charge(e ledger.Entry) bool {
	e.Slot, e.Incarnation, e.At = u.Slot, u.Incarnation, u.Now()
	select {
	case u.queue <- &e:
		return true
	default:
		u.dropped.Add(1)
		return false
	}
}

// Behind tells that this ledger lacked something of another's when it last looked.
func (u *Replicator) Behind() bool { return u.missing.Load() > 0 || u.syncedAt.Load() == 0 }

// Full tells that the node charges faster than its disk takes it, or that the ledger has no room: nothing that would have to be
// charged may be taken on.
func (u *Replicator) Full() bool {
	return len(u.queue) > maxQueued/2 || u.writeFailures.Load() > 0
}

// Run writes, and looks at others' ledgers, until ctx ends; what waits by then is written.
func (u *Replicator) Run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { u.runWriter(ctx) })
	both.Go(func() { u.runSync(ctx) })
	both.Wait()
}

func (u *Replicator) runWriter(ctx context.Context) {
	var batch []*ledger.Entry
	for {
		select {
		case <-ctx.Done():
			for len(u.queue) > 0 {
				batch = append(batch, u.assignSequence(<-u.queue))
			}
			u.append(batch)
			return
		case e := <-u.queue:
			batch = append(batch, u.assignSequence(e))
		}
		more := time.NewTimer(batchDelay)
	collect:
		for len(batch) < maxBatch {
			select {
			case e := <-u.queue:
				batch = append(batch, u.assignSequence(e))
			case <-more.C:
				break collect
			}
		}
		more.Stop()
		for !u.append(batch) { // a disk that is full may have room again
			select {
			case <-ctx.Done():
				return
			case <-time.After(retryDelay):
			}
		}
		batch = batch[:0]
	}
}

func (u *Replicator) assignSequence(e *ledger.Entry) *ledger.Entry {
	u.lastSequence++
	e.Sequence = u.lastSequence
	return e
}

// append writes entries, and counts them once they are on the disk.
func (u *Replicator) append(all []*ledger.Entry) bool {
	if len(all) == 0 {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.log.Append(all); err != nil {
		u.writeFailures.Add(1)
		u.Log.Error("what was used cannot be written; nothing is charged meanwhile, and nothing taken on", zap.Int("entries", len(all)), zap.Error(err))
		return false
	}
	u.writeFailures.Store(0)
	for _, e := range all {
		if u.index.Add(e) {
			u.charged.Add(1)
		}
	}
	return true
}

// ---- between nodes ----

// What one node asks another.
type (
	DigestRequest struct {
		After ledger.Source `cbor:"1,keyasint" json:"after"`
	}
	DigestResponse struct {
		Sources ledger.Digest `cbor:"1,keyasint" json:"have"`
		More    bool          `cbor:"2,keyasint" json:"more"`
	}
	FetchRequest struct {
		Source    ledger.Source `cbor:"1,keyasint" json:"source"`
		Sequences ledger.Range  `cbor:"2,keyasint" json:"numbers"`
	}
	FetchResponse struct {
		Entries []*ledger.Entry `cbor:"1,keyasint" json:"entries"`
	}
)

// Digest answers what this ledger has, some sources at a time.
func (u *Replicator) Digest(a DigestRequest) (DigestResponse, error) {
	u.mu.Lock()
	all := u.index.Digest()
	u.mu.Unlock()
	from, found := slices.BinarySearchFunc(all, a.After, func(h ledger.SourceRanges, s ledger.Source) int { return compare(h.Source, s) })
	if found {
		from++
	}
	all = all[from:]
	return DigestResponse{all[:min(len(all), maxDigestSources)], len(all) > maxDigestSources}, nil
}

func compare(a, b ledger.Source) int {
	switch {
	case a.Slot < b.Slot || a.Slot == b.Slot && a.Incarnation < b.Incarnation:
		return -1
	case a == b:
		return 0
	}
	return 1
}

// Fetch answers entries.
func (u *Replicator) Fetch(a FetchRequest) (FetchResponse, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	all, err := u.log.Read(a.Source, a.Sequences, maxFetchEntries)
	return FetchResponse{all}, err
}

// runSync looks at one other ledger after the other.
func (u *Replicator) runSync(ctx context.Context) {
	verify := time.Now()
	for {
		wait := time.Duration(float64(u.SyncInterval) * (0.5 + rand.Float64()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if time.Since(verify) > verifyInterval {
			verify = time.Now()
			u.mu.Lock()
			u.index.Verify()
			u.mu.Unlock()
		}
		if len(u.Peers) == 0 || u.RateFactor() == 0 {
			continue
		}
		seat := u.Peers[rand.IntN(len(u.Peers))]
		if err := u.syncWith(ctx, seat); err != nil && ctx.Err() == nil {
			u.Log.Debug("another node's ledger", zap.String("seat", seat), zap.Error(err))
		}
	}
}

// syncWith takes what another ledger has and this one has not. Broken off anywhere, it goes on there the next time: what has
// come is written, and lacks no more.
func (u *Replicator) syncWith(ctx context.Context, seat string) error {
	u.exchanges.Add(1)
	var after ledger.Source
	lacking := int64(0)
	for {
		var d DigestResponse
		if err := u.CallMember(ctx, seat, "ledger.digest", DigestRequest{after}, &d); err != nil {
			return err
		}
		for {
			u.mu.Lock()
			lacks := u.index.Missing(d.Sources, maxRangesPerRound)
			u.mu.Unlock()
			if len(lacks) == 0 {
				break
			}
			before := u.received.Load()
			for _, h := range lacks {
				for _, r := range h.Ranges {
					lacking += int64(r.Last-r.First) + 1
					if err := u.fetch(ctx, seat, h.Source, r); err != nil {
						u.missing.Store(lacking)
						return err
					}
				}
			}
			if u.received.Load() == before {
				return errors.New("what it says it has does not come")
			}
		}
		if !d.More || len(d.Sources) == 0 {
			u.syncedAt.Store(u.Now())
			u.missing.Store(0)
			return nil
		}
		after = d.Sources[len(d.Sources)-1].Source
	}
}

// fetch takes a range, a piece at a time, at its pace.
func (u *Replicator) fetch(ctx context.Context, seat string, of ledger.Source, r ledger.Range) error {
	for r.First <= r.Last {
		var a FetchResponse
		if err := u.CallMember(ctx, seat, "ledger.fetch", FetchRequest{of, r}, &a); err != nil {
			return err
		}
		if len(a.Entries) == 0 {
			return nil // it has them no more, or cannot read them; another may
		}
		if slices.Contains(a.Entries, nil) {
			return errors.New("an answer with entries that are none")
		}
		var good []*ledger.Entry
		u.mu.Lock()
		for _, e := range a.Entries {
			if e.Check() == nil && e.Slot == of.Slot && e.Incarnation == of.Incarnation && e.Sequence >= r.First && e.Sequence <= r.Last &&
				(e.Slot != u.Slot || e.Incarnation != u.Incarnation) && len(u.index.Missing(ledger.Digest{{Source: of, Ranges: []ledger.Range{{First: e.Sequence, Last: e.Sequence}}}}, 1)) > 0 {
				good = append(good, e)
			}
		}
		u.mu.Unlock()
		if !u.append(good) {
			return ledger.ErrFull
		}
		u.received.Add(uint64(len(good)))
		last := a.Entries[len(a.Entries)-1].Sequence
		if last < r.First {
			return errors.New("entries that were not asked for")
		}
		r.First = last + 1
		rate := max(1, u.SyncRate*u.RateFactor())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(float64(len(a.Entries)) / rate * 1e9)):
		}
	}
	return nil
}

// Status is how the ledger stands.
type Status struct {
	Slot             string                   `json:"seat"`
	Incarnation      uint64                   `json:"life"`
	Entries          int64                    `json:"entries"`
	Bytes            int64                    `json:"bytes"`
	Totals           map[string]ledger.Totals `json:"sums"` // by tenant, as far as known here
	Sources          int                      `json:"sources"`
	Charged          uint64                   `json:"charged"` // here, by this life
	Received         uint64                   `json:"taken"`   // from others
	Dropped          uint64                   `json:"lost"`    // that could not wait to be written
	Queued           int                      `json:"waiting"`
	Missing          int64                    `json:"lacking"` // of another's, when it was last looked at
	SyncedSecondsAgo float64                  `json:"agreed"`  // seconds since this ledger lacked nothing of another's; -1: it never has
	Consistent       bool                     `json:"holds"`   // the sums are those of the entries
	Corruptions      []string                 `json:"damages"`
}

// Status tells how the ledger stands.
func (u *Replicator) Status() Status {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := Status{Slot: u.Slot, Incarnation: u.Incarnation, Entries: u.index.Count(), Bytes: u.log.Bytes(), Totals: u.index.Totals(), Sources: len(u.index.Digest()), Charged: u.charged.Load(),
		Received: u.received.Load(), Dropped: u.dropped.Load(), Queued: len(u.queue), Missing: u.missing.Load(), SyncedSecondsAgo: -1, Consistent: u.index.Verify(), Corruptions: []string{}}
	if at := u.syncedAt.Load(); at > 0 {
		s.SyncedSecondsAgo = time.Duration(u.Now() - at).Seconds()
	}
	for _, d := range u.corruptions {
		s.Corruptions = append(s.Corruptions, d.Error())
	}
	return s
}

// Close ends the writing; Run has ended.
func (u *Replicator) Close() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.log.Close()
}
