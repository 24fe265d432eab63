package sessions

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
	prefix     = "session/"
	sweepEvery = time.Second
	sweepMost  = 256 // records that a sweep changes
	writeTries = 4   // of an operation whose record changed meanwhile
)

// registry is the leader's side: it applies operations to the records in the store. Any member may come to lead; what it needs
// besides the records it works out from them.
type registry struct {
	keys       store.Store
	limits     session.Limits
	clockError time.Duration
	now        func() int64
	guard      *invariant.Guard
	log        *zap.Logger

	mu      sync.Mutex
	term    uint64
	waits   map[string]int64 // by id: when it is to be looked at again
	tenants map[string]int   // by id: of those that are paused or claimed
	each    map[int]int      // sessions by tenant
}

func newRegistry(keys store.Store, l session.Limits, clockError time.Duration, now func() int64, g *invariant.Guard, log *zap.Logger) *registry {
	return &registry{keys: keys, limits: l, clockError: clockError, now: now, guard: g, log: log}
}

// reply is what an operation comes to.
type reply struct {
	Record *session.Record `json:"record,omitempty"`
	Fault  string          `json:"fault,omitempty"` // by its name
	Text   string          `json:"text,omitempty"`
}

// faults are the errors that go over the wire by their names.
var faults = map[string]error{"key": session.ErrKey, "unknown": session.ErrUnknown, "used": session.ErrUsed, "expired": session.ErrExpired, "over": session.ErrOver,
	"claimed": session.ErrClaimed, "fence": session.ErrFence, "full": session.ErrFull, "not now": session.ErrNotNow, "results": session.ErrResults, "large": session.ErrTooLarge}

func faultOf(err error) string {
	for name, f := range faults {
		if errors.Is(err, f) {
			return name
		}
	}
	return ""
}

// do carries an operation out, where this node leads.
func (r *registry) do(ctx context.Context, body []byte) ([]byte, error) {
	var o session.Op
	if err := json.Unmarshal(body, &o); err != nil {
		return nil, err
	}
	if _, _, err := session.ParseKey(session.Key(o.ID, 1)); err != nil {
		return json.Marshal(reply{Fault: "key", Text: err.Error()})
	}
	record, err := r.apply(ctx, o)
	if err != nil {
		name := faultOf(err)
		if name == "" {
			return nil, err
		}
		return json.Marshal(reply{Fault: name, Text: err.Error()})
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

func (r *registry) apply(ctx context.Context, o session.Op) (*session.Record, error) {
	if err := r.lead(); err != nil {
		return nil, err
	}
	for range writeTries {
		was, version, err := read(r.keys, o.ID)
		if err != nil {
			return nil, err
		}
		have, undo := r.reserve(was, o)
		next, err := session.Apply(was, o, r.now(), r.clockError, r.limits, have, r.guard)
		if err != nil {
			undo()
			return nil, err
		}
		op := store.Op{Key: prefix + o.ID, If: version}
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
		r.note(o.ID, next)
		return next, nil
	}
	return nil, store.ErrConflict
}

// lead works out, at the beginning of a leadership, how many sessions there are and when each is to be looked at.
func (r *registry) lead() error {
	term, ok := r.keys.Leads()
	if !ok {
		return store.ErrNotLeader
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term == term {
		return nil
	}
	r.term, r.waits, r.tenants, r.each = term, map[string]int64{}, map[string]int{}, map[int]int{}
	for _, key := range r.keys.List(prefix) {
		id := strings.TrimPrefix(key, prefix)
		record, _, err := read(r.keys, id)
		if err != nil {
			r.log.Error("a session is set apart", zap.Error(err)) // its record stays, and nobody can go on with it
			continue
		}
		if record != nil {
			r.noted(id, record)
		}
	}
	return nil
}

// reserve counts a new session before it is on record, so that many at once cannot go beyond what there may be.
func (r *registry) reserve(was *session.Record, o session.Op) (have session.Counted, undo func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	have = session.Counted{Paused: len(r.tenants), Tenant: r.each[o.Tenant]}
	if was != nil || o.Kind != session.Pause {
		return have, func() {}
	}
	r.tenants[o.ID], r.each[o.Tenant] = o.Tenant, r.each[o.Tenant]+1
	return have, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.uncount(o.ID)
	}
}

func (r *registry) uncount(id string) {
	if tenant, counted := r.tenants[id]; counted {
		delete(r.tenants, id)
		if r.each[tenant]--; r.each[tenant] <= 0 {
			delete(r.each, tenant)
		}
	}
}

func (r *registry) note(id string, next *session.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noted(id, next)
}

func (r *registry) noted(id string, next *session.Record) {
	if next == nil {
		delete(r.waits, id)
		r.uncount(id)
		return
	}
	r.waits[id] = next.Until
	if next.State == session.Ended || next.State == session.Expired {
		r.uncount(id)
	} else if _, counted := r.tenants[id]; !counted {
		r.tenants[id] = next.Tenant
		r.each[next.Tenant]++
	}
}

// sweep ends what has waited for too long, and forgets what is over.
func (r *registry) sweep(ctx context.Context) {
	if r.lead() != nil {
		return
	}
	now := r.now()
	var due []string
	r.mu.Lock()
	for id, at := range r.waits {
		if at <= now && len(due) < sweepMost {
			due = append(due, id)
		}
	}
	r.mu.Unlock()
	for _, id := range due {
		record, _, err := read(r.keys, id)
		if err != nil || record == nil {
			r.note(id, nil)
			continue
		}
		o := session.Op{Kind: session.Expire, ID: id}
		switch record.State {
		case session.Ended, session.Expired:
			o.Kind = session.Forget
		case session.Claimed, session.Resuming:
			// Whose claim has ended without a word: it is given back, and its client may present the key again, or lets it expire.
			o = session.Op{Kind: session.Release, ID: id, Fence: record.Fence, By: record.By}
			if now < record.Until+2*int64(r.clockError) {
				continue
			}
		}
		if _, err := r.apply(ctx, o); err != nil && !errors.Is(err, session.ErrNotNow) {
			r.log.Info("a session could not be ended", zap.String("session", id), zap.Error(err))
		}
	}
}

// counts are the sessions that are paused or claimed.
func (r *registry) counts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tenants)
}
