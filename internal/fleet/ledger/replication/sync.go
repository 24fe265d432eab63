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
	maxFetchEntries   = 256 // of a FetchResponse
	maxRangesPerRound = 32  // that are fetched before what is missing is worked out anew
	maxDigestSources  = 16  // of a DigestResponse
	verifyInterval    = 10 * time.Second
)

var (
	errNothingReceived = errors.New("what it says it has does not come")
	errNilEntry        = errors.New("an answer with entries that are none")
	errNotRequested    = errors.New("entries that were not asked for")
)

// DigestRequest asks which entries a ledger has, from the source that follows After.
type DigestRequest struct {
	After ledger.Source `cbor:"1,keyasint" json:"after"`
}

// DigestResponse is which entries a ledger has of some sources; More, that there are further sources behind them.
type DigestResponse struct {
	Sources ledger.Digest `cbor:"1,keyasint" json:"have"`
	More    bool          `cbor:"2,keyasint" json:"more"`
}

// FetchRequest asks for entries.
type FetchRequest struct {
	Source    ledger.Source `cbor:"1,keyasint" json:"source"`
	Sequences ledger.Range  `cbor:"2,keyasint" json:"numbers"`
}

// FetchResponse is the first of the entries that were asked for; none, where the ledger has none of them.
type FetchResponse struct {
	Entries []*ledger.Entry `cbor:"1,keyasint" json:"entries"`
}

// Digest serves MethodDigest.
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

// Fetch serves MethodFetch.
func (r *Replicator) Fetch(request FetchRequest) (FetchResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, err := r.segments.Read(request.Source, request.Sequences, maxFetchEntries)
	return FetchResponse{Entries: entries}, err
}

// runSync compares this ledger with that of one random peer after the other, until ctx ends.
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

// verify has the index check its totals, which reports violations.
func (r *Replicator) verify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index.Verify()
}

// syncWith fetches what a peer's ledger has and this one misses. Where it is interrupted, the next sync continues
// from there: what was received by then is written, and is not missing any more.
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

// fetchMissing fetches what this ledger misses of a part of a peer's digest. It adds the number of entries that it
// asks for to requested.
func (r *Replicator) fetchMissing(ctx context.Context, peer string, known ledger.Digest, requested *int64) error {
	for {
		r.mu.Lock()
		missing := r.index.Missing(known, maxRangesPerRound)
		r.mu.Unlock()
		if len(missing) == 0 {
			return nil
		}
		before := r.received.Load()
		for _, part := range missing {
			for _, sequences := range part.Ranges {
				*requested += int64(sequences.Len())
				if err := r.fetchRange(ctx, peer, part.Source, sequences); err != nil {
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
			return nil // the peer has them no more, or cannot read them; another may
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

// acceptable returns the entries that are valid, were asked for and are not known yet. Entries of this node's own
// incarnation are never taken from a peer: only the writer numbers them.
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

// throttle waits for as long as a number of entries takes at the configured rate, or returns ctx's error.
func (r *Replicator) throttle(ctx context.Context, entries int) error {
	rate := max(1, r.SyncRate*r.RateFactor())
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(float64(entries) / rate * 1e9)):
		return nil
	}
}
