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
	keyPrefix        = "session/" // prefix of the store keys of records
	sweepInterval    = time.Second
	maxSweptRecords  = 256 // maximum number of records that one sweep changes
	maxWriteAttempts = 4   // attempts to apply a command while other writers change its record
)

// registry implements the leader's part: it applies commands to the records in the store. Any member may become the
// leader; a new leader derives all state besides the records from the records.
type registry struct {
	store      store.Store
	limits     session.Limits
	clockError time.Duration
	now        func() int64
	invariants *invariant.Monitor
	log        *zap.Logger

	mu              sync.Mutex       // guards the fields below
	term            uint64           // term of the leadership for which they were derived
	deadlines       map[string]int64 // time at which a sweep has to check a session, by session ID, in Unix nanoseconds
	tenantBySession map[string]int   // tenants of the paused or claimed sessions, by session ID
	pausedByTenant  map[int]int      // numbers of paused or claimed sessions, by tenant
}

func newRegistry(o *Options) *registry {
	return &registry{
		store:      o.Store,
		limits:     o.Limits,
		clockError: o.ClockError,
		now:        o.Now,
		invariants: o.Invariants,
		log:        o.Log,
	}
}

// handle applies an encoded command and returns the encoded reply. It returns an error if this node is not the leader
// or the store fails.
func (r *registry) handle(ctx context.Context, body []byte) ([]byte, error) {
	var command session.Command
	if err := json.Unmarshal(body, &command); err != nil {
		return nil, err
	}
	if _, _, err := session.ParseResumeKey(session.ResumeKey(command.ID, 1)); err != nil {
		return json.Marshal(reply{Code: codeMalformedKey, Text: err.Error()})
	}
	record, err := r.apply(ctx, command)
	if err == nil {
		return json.Marshal(reply{Record: record})
	}
	code := codeOf(err)
	if code == "" {
		return nil, err
	}
	return json.Marshal(reply{Code: code, Text: err.Error()})
}

// readRecord returns a session's record and its version in the store, nil and 0 if there is none.
func readRecord(keys store.Store, id string) (*session.Record, uint64, error) {
	value := keys.Get(keyPrefix + id)
	if value.Version == 0 {
		return nil, 0, nil
	}
	var record session.Record
	if err := json.Unmarshal(value.Data, &record); err != nil {
		return nil, value.Version, fmt.Errorf("the record of session %s cannot be read: %w", id, err)
	}
	return &record, value.Version, nil
}

// apply applies a command to its session's record. If another writer changes the record meanwhile, it reads the record
// again and retries, up to maxWriteAttempts times in all.
func (r *registry) apply(ctx context.Context, command session.Command) (*session.Record, error) {
	if err := r.ensureLeading(); err != nil {
		return nil, err
	}
	for range maxWriteAttempts {
		record, err := r.applyOnce(ctx, command)
		if !errors.Is(err, store.ErrConflict) {
			return record, err
		}
	}
	return nil, store.ErrConflict
}

// applyOnce applies a command to its session's record. The error wraps store.ErrConflict if another writer changes the
// record meanwhile.
func (r *registry) applyOnce(ctx context.Context, command session.Command) (_ *session.Record, err error) {
	present, version, err := readRecord(r.store, command.ID)
	if err != nil {
		return nil, err
	}
	counts, undo := r.reserve(present, command)
	defer func() {
		if err != nil {
			undo() // if the write was applied despite the error, the next leadership counts the session
		}
	}()
	next, err := session.Apply(present, command, r.now(), r.clockError, r.limits, counts, r.invariants)
	if err != nil {
		return nil, err
	}
	write := store.Op{Key: keyPrefix + command.ID, ExpectedVersion: version}
	if next != nil {
		if write.Data, err = json.Marshal(next); err != nil {
			return nil, err
		}
	}
	if _, err = r.store.Write(ctx, write); err != nil {
		return nil, err
	}
	r.track(command.ID, next)
	return next, nil
}

// ensureLeading returns store.ErrNotLeader if this node is not the leader. On the first call in a leadership it derives
// the counts and the deadlines of the sessions from the records.
func (r *registry) ensureLeading() error {
	term, leads := r.store.Leadership()
	if !leads {
		return store.ErrNotLeader
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term == term {
		return nil
	}
	r.term = term
	r.deadlines = map[string]int64{}
	r.tenantBySession = map[string]int{}
	r.pausedByTenant = map[int]int{}
	for _, key := range r.store.List(keyPrefix) {
		id := strings.TrimPrefix(key, keyPrefix)
		record, _, err := readRecord(r.store, id)
		if err != nil {
			// The record remains in the store, and the session cannot be resumed.
			r.log.Error("session record unreadable", zap.String("session", id), zap.Error(err))
			continue
		}
		if record != nil {
			r.trackLocked(id, record)
		}
	}
	return nil
}

// reserve counts a new session before it is recorded, so that concurrent commands cannot exceed the limits together. It
// returns the counts without that session. undo removes the session from the counts again.
func (r *registry) reserve(present *session.Record, command session.Command) (_ session.PausedCounts, undo func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := session.PausedCounts{Total: len(r.tenantBySession), Tenant: r.pausedByTenant[command.Tenant]}
	if present != nil || command.Kind != session.Pause {
		return counts, func() {}
	}
	r.tenantBySession[command.ID] = command.Tenant
	r.pausedByTenant[command.Tenant]++
	return counts, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.uncountLocked(command.ID)
	}
}

// uncountLocked removes a session from the counts. The caller holds r.mu.
func (r *registry) uncountLocked(id string) {
	tenant, counted := r.tenantBySession[id]
	if !counted {
		return
	}
	delete(r.tenantBySession, id)
	r.pausedByTenant[tenant]--
	if r.pausedByTenant[tenant] <= 0 {
		delete(r.pausedByTenant, tenant)
	}
}

// track updates the counts and deadlines after a change of a session's record, which is nil if it was deleted.
func (r *registry) track(id string, record *session.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trackLocked(id, record)
}

// trackLocked is like track. The caller holds r.mu.
func (r *registry) trackLocked(id string, record *session.Record) {
	if record == nil {
		delete(r.deadlines, id)
		r.uncountLocked(id)
		return
	}
	r.deadlines[id] = record.Deadline
	if record.State == session.Ended || record.State == session.Expired {
		r.uncountLocked(id)
	} else if _, counted := r.tenantBySession[id]; !counted {
		r.tenantBySession[id] = record.Tenant
		r.pausedByTenant[record.Tenant]++
	}
}

// sweep expires sessions whose tools' deadline has passed, releases claims that have lapsed, and deletes the records of
// sessions that have been over for the retention time. It does nothing if this node is not the leader.
func (r *registry) sweep(ctx context.Context) {
	if r.ensureLeading() != nil {
		return
	}
	now := r.now()
	for _, id := range r.due(now) {
		record, _, err := readRecord(r.store, id)
		if err != nil || record == nil {
			r.track(id, nil)
			continue
		}
		command, due := r.dueCommand(record, id, now)
		if !due {
			continue
		}
		if _, err := r.apply(ctx, command); err != nil && !errors.Is(err, session.ErrInvalidTransition) {
			r.log.Info("session sweep failed",
				zap.String("session", id), zap.String("command", string(command.Kind)), zap.Error(err))
		}
	}
}

// due returns the IDs of sessions whose deadline has passed, up to maxSweptRecords.
func (r *registry) due(now int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, deadline := range r.deadlines {
		if deadline <= now && len(ids) < maxSweptRecords {
			ids = append(ids, id)
		}
	}
	return ids
}

// dueCommand returns the command for a session whose deadline has passed. due is false if it is too early for it.
func (r *registry) dueCommand(record *session.Record, id string, now int64) (command session.Command, due bool) {
	switch record.State {
	case session.Ended, session.Expired:
		return session.Command{Kind: session.Delete, ID: id}, true
	case session.Claimed, session.Resuming:
		// The claim's holder has failed. The session is released on its behalf: the client may resume it with the same
		// key, or else it expires.
		release := session.Command{
			Kind:         session.Release,
			ID:           id,
			FencingToken: record.FencingToken,
			Owner:        record.Owner,
		}
		return release, now >= record.Deadline+2*int64(r.clockError)
	}
	return session.Command{Kind: session.Expire, ID: id}, true
}

// pausedCount returns the number of paused or claimed sessions.
func (r *registry) pausedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tenantBySession)
}
