package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/session"
	"standpoint/internal/store"
)

const (
	prefix           = "session/"
	sweepInterval    = time.Second
	maxSweptRecords  = 256 // records that a sweep changes
	maxWriteAttempts = 4   // of an operation whose record changed meanwhile
)

// registry is the leader's side: it applies operations to the records in the store. Any member may come to lead; what it needs
// besides the records it works out from them.
type registry struct {
	keys       store.Store
	limits     session.Limits
	clockError time.Duration
	now        func() int64
	invariants *invariant.Monitor
	log        *zap.Logger

	mu              sync.Mutex
	term            uint64
	deadlines       map[string]int64 // by id: when it is to be looked at again
	tenantBySession map[string]int   // by id: of those that are paused or claimed
	pausedByTenant  map[int]int      // sessions by tenant
}

func newRegistry(keys store.Store, l session.Limits, clockError time.Duration, now func() int64, g *invariant.Monitor, log *zap.Logger) *registry {
	return &registry{keys: keys, limits: l, clockError: clockError, now: now, invariants: g, log: log}
}

// reply is what an operation comes to.
type reply struct {
	Record *session.Record `json:"record,omitempty"`
	Code   string          `json:"fault,omitempty"` // by its name
	Text   string          `json:"text,omitempty"`
}

// errorsByCode are the errors that go over the wire by their names.
var errorsByCode = map[string]error{"key": session.ErrMalformedKey, "unknown": session.ErrUnknownKey, "used": session.ErrKeyUsed, "expired": session.ErrExpired, "over": session.ErrEnded,
	"claimed": session.ErrClaimed, "fence": session.ErrStaleFencingToken, "full": session.ErrTooManyPaused, "not now": session.ErrInvalidTransition, "results": session.ErrResultsMismatch, "large": session.ErrTooLarge}

func errorCode(err error) string {
	for name, f := range errorsByCode {
		if errors.Is(err, f) {
			return name
		}
	}
	return ""
}

// handle carries an operation out, where this node leads.
func (r *registry) handle(ctx context.Context, body []byte) ([]byte, error) {
	var o session.Command
	if err := json.Unmarshal(body, &o); err != nil {
		return nil, err
	}
	if _, _, err := session.ParseResumeKey(session.ResumeKey(o.ID, 1)); err != nil {
		return json.Marshal(reply{Code: "key", Text: err.Error()})
	}
	record, err := r.apply(ctx, o)
	if err != nil {
		name := errorCode(err)
		if name == "" {
			return nil, err
		}
		return json.Marshal(reply{Code: name, Text: err.Error()})
	}
	return json.Marshal(reply{Record: record})
}

func read(keys store.Store, id string) (*session.Record, uint64, error) {
	v := keys.Get(prefix + id)
	if v.Version == 0 {
		return nil, 0, nil
	}
	var r session.Record
	if err := json.Unmarshal(v.Data, &r); err != nil {
		return nil, v.Version, fmt.Errorf("the record of session %s cannot be read: %w", id, err)
	}
	return &r, v.Version, nil
}

func (r *registry) apply(ctx context.Context, o session.Command) (*session.Record, error) {
	if err := r.ensureLeading(); err != nil {
		return nil, err
	}
	for range maxWriteAttempts {
		was, version, err := read(r.keys, o.ID)
		if err != nil {
			return nil, err
		}
		have, undo := r.reserve(was, o)
		next, err := session.Apply(was, o, r.now(), r.clockError, r.limits, have, r.invariants)
		if err != nil {
			undo()
			return nil, err
		}
		op := store.Op{Key: prefix + o.ID, ExpectedVersion: version}
		if next != nil {
			if op.Data, err = json.Marshal(next); err != nil {
				undo()
				return nil, err
			}
		}
		_, err = r.keys.Write(ctx, op)
		if errors.Is(err, store.ErrConflict) {
			undo()
			continue
		}
		if err != nil {
			undo() // if it was written all the same, the next leadership counts it
			return nil, err
		}
		r.recordState(o.ID, next)
		return next, nil
	}
	return nil, store.ErrConflict
}

// ensureLeading works out, at the beginning of a leadership, how many sessions there are and when each is to be looked at.
func (r *registry) ensureLeading() error {
	term, ok := r.keys.Leadership()
	if !ok {
		return store.ErrNotLeader
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term == term {
		return nil
	}
	r.term, r.deadlines, r.tenantBySession, r.pausedByTenant = term, map[string]int64{}, map[string]int{}, map[int]int{}
	for _, key := range r.keys.List(prefix) {
		id := strings.TrimPrefix(key, prefix)
		record, _, err := read(r.keys, id)
		if err != nil {
			r.log.Error("a session is set apart", zap.Error(err)) // its record stays, and nobody can go on with it
			continue
		}
		if record != nil {
			r.recordStateLocked(id, record)
		}
	}
	return nil
}

// reserve counts a new session before it is on record, so that many at once cannot go beyond what there may be.
func (r *registry) reserve(was *session.Record, o session.Command) (have session.PausedCounts, undo func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	have = session.PausedCounts{Total: len(r.tenantBySession), Tenant: r.pausedByTenant[o.Tenant]}
	if was != nil || o.Kind != session.Pause {
		return have, func() {}
	}
	r.tenantBySession[o.ID], r.pausedByTenant[o.Tenant] = o.Tenant, r.pausedByTenant[o.Tenant]+1
	return have, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.uncount(o.ID)
	}
}

func (r *registry) uncount(id string) {
	if tenant, counted := r.tenantBySession[id]; counted {
		delete(r.tenantBySession, id)
		if r.pausedByTenant[tenant]--; r.pausedByTenant[tenant] <= 0 {
			delete(r.pausedByTenant, tenant)
		}
	}
}

func (r *registry) recordState(id string, next *session.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordStateLocked(id, next)
}

func (r *registry) recordStateLocked(id string, next *session.Record) {
	if next == nil {
		delete(r.deadlines, id)
		r.uncount(id)
		return
	}
	r.deadlines[id] = next.Deadline
	if next.State == session.Ended || next.State == session.Expired {
		r.uncount(id)
	} else if _, counted := r.tenantBySession[id]; !counted {
		r.tenantBySession[id] = next.Tenant
		r.pausedByTenant[next.Tenant]++
	}
}

// sweep ends what has waited for too long, and forgets what is over.
func (r *registry) sweep(ctx context.Context) {
	if r.ensureLeading() != nil {
		return
	}
	now := r.now()
	var due []string
	r.mu.Lock()
	for id, at := range r.deadlines {
		if at <= now && len(due) < maxSweptRecords {
			due = append(due, id)
		}
	}
	r.mu.Unlock()
	for _, id := range due {
		record, _, err := read(r.keys, id)
		if err != nil || record == nil {
			r.recordState(id, nil)
			continue
		}
		o := session.Command{Kind: session.Expire, ID: id}
		switch record.State {
		case session.Ended, session.Expired:
			o.Kind = session.Forget
		case session.Claimed, session.Resuming:
			// Whose claim has ended without a word: it is given back, and its client may present the key again, or lets it expire.
			o = session.Command{Kind: session.Release, ID: id, FencingToken: record.FencingToken, Owner: record.Owner}
			if now < record.Deadline+2*int64(r.clockError) {
				continue
			}
		}
		if _, err := r.apply(ctx, o); err != nil && !errors.Is(err, session.ErrInvalidTransition) {
			r.log.Info("a session could not be ended", zap.String("session", id), zap.Error(err))
		}
	}
}

// pausedCount are the sessions that are paused or claimed.
func (r *registry) pausedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tenantBySession)
}
