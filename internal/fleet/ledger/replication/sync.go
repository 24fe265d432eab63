package replication

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/fleet/ledger"
)

const (
	maxFetchEntries   = 256              // maximum number of entries in a FetchResponse
	maxRangesPerRound = 32               // ranges that are fetched before the missing ranges are computed again
	maxDigestSources  = 16               // maximum number of sources in a DigestResponse
	verifyInterval    = 10 * time.Second // minimum time between two checks of the index
)

var (
	errNothingReceived = errors.New("peer returned none of the missing entries")
	errNilEntry        = errors.New("fetch response contains a nil entry")
	errNotRequested    = errors.New("fetch response contains entries that were not requested")
)

// DigestRequest requests the part of a ledger's digest that begins with the source following After.
type DigestRequest struct {
	After ledger.Source `cbor:"1,keyasint" json:"after"`
}

// DigestResponse contains a part of a ledger's digest. More is set if further sources follow.
type DigestResponse struct {
	Sources ledger.Digest `cbor:"1,keyasint" json:"have"`
	More    bool          `cbor:"2,keyasint" json:"more"`
}

// FetchRequest requests the entries of a source with the given sequence numbers.
type FetchRequest struct {
	Source    ledger.Source `cbor:"1,keyasint" json:"source"`
	Sequences ledger.Range  `cbor:"2,keyasint" json:"numbers"`
}

// FetchResponse contains the first of the requested entries, up to maxFetchEntries. It is empty if the ledger has none
// of them.
type FetchResponse struct {
	Entries []*ledger.Entry `cbor:"1,keyasint" json:"entries"`
}

// Digest handles MethodDigest.
func (r *Replicator) Digest(request DigestRequest) (DigestResponse, error) {
	r.mu.Lock()
	digest := r.index.Digest()
	r.mu.Unlock()
	compare := func(known ledger.SourceRanges, after ledger.Source) int { return known.Source.Compare(after) }
	first, found := slices.BinarySearchFunc(digest, request.After, compare)
	if found {
		first++
	}
	digest = digest[first:]
	count := min(len(digest), maxDigestSources)
	return DigestResponse{Sources: digest[:count], More: count < len(digest)}, nil
}

// Fetch handles MethodFetch.
func (r *Replicator) Fetch(request FetchRequest) (FetchResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, err := r.segments.Read(request.Source, request.Sequences, maxFetchEntries)
	return FetchResponse{Entries: entries}, err
}

// runSync syncs with one random peer after another, and verifies the index at intervals of at least verifyInterval,
// until ctx ends.
func (r *Replicator) runSync(ctx context.Context) {
	verifiedAt := time.Now()
	for {
		wait := time.Duration(float64(r.SyncInterval) * (0.5 + rand.Float64()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if time.Since(verifiedAt) > verifyInterval {
			verifiedAt = time.Now()
			r.verify()
		}
		if len(r.Peers) == 0 || r.RateFactor() == 0 {
			continue
		}
		peer := r.Peers[rand.IntN(len(r.Peers))]
		if err := r.syncWith(ctx, peer); err != nil && ctx.Err() == nil {
			r.Log.Debug("ledger sync failed", zap.String("member", peer), zap.Error(err))
		}
	}
}

// verify checks the totals of the index, which reports violations to the monitor.
func (r *Replicator) verify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index.Verify()
}

// syncWith fetches the entries that a peer's ledger has and this one misses. If it is interrupted, the next sync
// continues there, since the entries received so far are written and no longer missing.
func (r *Replicator) syncWith(ctx context.Context, peer string) error {
	var after ledger.Source
	requested := int64(0)
	for {
		var digest DigestResponse
		if err := r.CallMember(ctx, peer, MethodDigest, DigestRequest{After: after}, &digest); err != nil {
			return err
		}
		if err := r.fetchMissing(ctx, peer, digest.Sources, &requested); err != nil {
			return err
		}
		if !digest.More || len(digest.Sources) == 0 {
			r.syncedAt.Store(r.Now())
			r.missing.Store(0)
			return nil
		}
		after = digest.Sources[len(digest.Sources)-1].Source
	}
}

// fetchMissing fetches the entries that are in a part of a peer's digest and missing in this ledger. It adds the number
// of entries that it requests to requested.
func (r *Replicator) fetchMissing(ctx context.Context, peer string, known ledger.Digest, requested *int64) error {
	for {
		r.mu.Lock()
		missing := r.index.Missing(known, maxRangesPerRound)
		r.mu.Unlock()
		if len(missing) == 0 {
			return nil
		}
		before := r.received.Load()
		for _, sourceRanges := range missing {
			for _, sequences := range sourceRanges.Ranges {
				*requested += int64(sequences.Len())
				if err := r.fetchRange(ctx, peer, sourceRanges.Source, sequences); err != nil {
					r.missing.Store(*requested)
					return err
				}
			}
		}
		if r.received.Load() == before {
			return errNothingReceived
		}
	}
}

// fetchRange fetches a range of a source's entries, one response after the other, at the configured rate.
func (r *Replicator) fetchRange(ctx context.Context, peer string, source ledger.Source, sequences ledger.Range) error {
	for sequences.First <= sequences.Last {
		var response FetchResponse
		request := FetchRequest{Source: source, Sequences: sequences}
		if err := r.CallMember(ctx, peer, MethodFetch, request, &response); err != nil {
			return err
		}
		if len(response.Entries) == 0 {
			return nil // the peer no longer has them or cannot read them; another peer may
		}
		if slices.Contains(response.Entries, nil) {
			return errNilEntry
		}
		accepted := r.acceptable(response.Entries, request)
		if !r.append(accepted) {
			return ledger.ErrFull
		}
		r.received.Add(uint64(len(accepted)))
		last := response.Entries[len(response.Entries)-1].Sequence
		if last < sequences.First {
			return errNotRequested
		}
		sequences.First = last + 1
		if err := r.throttle(ctx, len(response.Entries)); err != nil {
			return err
		}
	}
	return nil
}

// acceptable returns the entries that are valid, were requested and are not known yet. Entries of this node's own
// incarnation are never accepted from a peer, since only the writer assigns their sequence numbers.
func (r *Replicator) acceptable(entries []*ledger.Entry, request FetchRequest) []*ledger.Entry {
	own := ledger.Source{Slot: r.Slot, Incarnation: r.Incarnation}
	var accepted []*ledger.Entry
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		requested := e.Source() == request.Source && request.Sequences.Contains(e.Sequence)
		if e.Check() == nil && requested && e.Source() != own && !r.index.Contains(e.Source(), e.Sequence) {
			accepted = append(accepted, e)
		}
	}
	return accepted
}

// throttle waits for the time that a number of entries takes at the configured rate, or until ctx ends, in which case
// it returns the error of ctx.
func (r *Replicator) throttle(ctx context.Context, entries int) error {
	rate := max(1, r.SyncRate*r.RateFactor())
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(float64(entries) / rate * 1e9)):
		return nil
	}
}
