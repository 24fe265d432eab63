package endpoints

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/handover"
	"standpoint/internal/node"
)

// ErrNeverListed reports a command for a backend that no source has ever listed.
var ErrNeverListed = errors.New("backend was never listed")

// ErrNotPersisted reports a command that is in effect in this process, but could not be written to the record that the
// node's other and later processes read.
var ErrNotPersisted = errors.New("carried out, but not kept for a process that takes over")

const (
	maxListedNames      = 8192 // bounds the names that were ever listed; beyond it the oldest are forgotten
	maxRestoredBackends = 1024 // bounds the backends that were enabled again; beyond it the oldest are forgotten
)

// Overrides applies the operators' commands to the endpoint list. A disabled backend is passed to the core as draining,
// whatever its source reports, until it is enabled again; this still holds if the backend leaves the list, restarts or
// changes its address, or if the source changes. An enabled backend counts as started at that moment, so that it warms
// up and its earlier measurements are not used. The overrides are shared with the other processes of this node.
// Overrides is safe for concurrent use.
type Overrides struct {
	cache    *Cache
	notify   func(node.EndpointList)
	siblings *handover.Channel // nil if no other process shares the record
	log      *zap.Logger

	// commandMu is held while a command changes the record, or the shared record is read. Another process may hold the
	// lock of the shared file for any length of time, so this process never waits for that lock with the cache's
	// notifyMu held: lists are still passed on. The order of locking is commandMu, notifyMu, mu.
	commandMu sync.Mutex

	mu     sync.Mutex // guards owners, record and listed
	owners addressOwners
	record handover.Record
	listed map[string]bool // the names in record.Listed
}

// NewOverrides returns overrides that start with the commands in the record of an earlier process, and that are applied
// to all lists that pass through the cache. The resulting lists are passed to notify. It must be called before the
// cache is used.
func NewOverrides(
	cache *Cache, notify func(node.EndpointList), siblings *handover.Channel, log *zap.Logger,
) *Overrides {
	o := &Overrides{
		cache:    cache,
		notify:   notify,
		siblings: siblings,
		log:      log,
		listed:   map[string]bool{},
		record:   handover.Record{DisabledAt: map[string]int64{}, EnabledAt: map[string]int64{}},
	}
	cache.overlay = o.apply
	o.Sync()
	return o
}

// Update handles a change from the source, and passes it on with the overrides applied.
func (o *Overrides) Update(list node.EndpointList) { o.cache.Update(list, o.notify) }

// apply returns a list with the overrides applied. The cache calls it with notifyMu held.
func (o *Overrides) apply(list node.EndpointList) node.EndpointList {
	o.mu.Lock()
	defer o.mu.Unlock()
	applied := node.EndpointList{Kind: list.Kind, Endpoints: slices.Clone(list.Endpoints)}
	o.owners.apply(&applied)
	for i := range applied.Endpoints {
		endpoint := &applied.Endpoints[i]
		o.rememberName(endpoint.Name)
		if endpoint.State == standpoint.Removed {
			continue
		}
		if o.record.DisabledAt[endpoint.Name] != 0 {
			endpoint.State = standpoint.Draining
		} else if restoredAt := o.record.EnabledAt[endpoint.Name]; restoredAt != 0 {
			endpoint.StartedAt = max(endpoint.StartedAt, restoredAt)
			endpoint.Reinstated = true
		}
	}
	return applied
}

// rememberName records that a name was listed. The caller must hold mu.
func (o *Overrides) rememberName(name string) {
	if o.listed[name] {
		return
	}
	if len(o.record.Listed) >= maxListedNames {
		delete(o.listed, o.record.Listed[0])
		o.record.Listed = o.record.Listed[1:]
	}
	o.listed[name] = true
	o.record.Listed = append(o.record.Listed, name)
}

// Disable drains a backend at once, until it is enabled again. It is idempotent. Its errors are ErrNeverListed and
// ErrNotPersisted.
func (o *Overrides) Disable(name string) error {
	return o.command(name, func(record *handover.Record, now int64) {
		if record.DisabledAt[name] == 0 {
			record.DisabledAt[name] = now
		}
		delete(record.EnabledAt, name)
	})
}

// Enable reverses Disable, and has no effect on a backend that is not disabled. Its errors are those of Disable.
func (o *Overrides) Enable(name string) error {
	return o.command(name, func(record *handover.Record, now int64) {
		if record.DisabledAt[name] != 0 {
			delete(record.DisabledAt, name)
			record.EnabledAt[name] = now
		}
	})
}

// command applies a change of one backend's override, first in this process and its core, then in the shared record.
func (o *Overrides) command(name string, change func(record *handover.Record, now int64)) error {
	o.commandMu.Lock()
	defer o.commandMu.Unlock()
	o.mu.Lock()
	known := o.listed[name] || o.record.DisabledAt[name] != 0
	next := handover.Record{
		DisabledAt: maps.Clone(o.record.DisabledAt),
		EnabledAt:  maps.Clone(o.record.EnabledAt),
		Listed:     o.record.Listed,
	}
	o.mu.Unlock()
	if !known {
		return fmt.Errorf("%w: %q", ErrNeverListed, name)
	}
	now := clock.Now()
	change(&next, now)
	o.adopt(next)
	return o.persist(func(record *handover.Record) { change(record, now) })
}

// persist changes the shared record, if there is one, and adopts the result. The caller must hold commandMu.
func (o *Overrides) persist(change func(*handover.Record)) error {
	if o.siblings == nil {
		return nil
	}
	record, err := o.siblings.UpdateRecord(func(record *handover.Record) {
		change(record)
		o.mergeListed(record)
	})
	if err != nil {
		o.log.Error("overrides not persisted in the shared record", zap.Error(err))
		return fmt.Errorf("%w: %w", ErrNotPersisted, err)
	}
	o.adopt(record)
	return nil
}

// mergeListed appends the names that were listed in this process to a record's names, as the most recent.
func (o *Overrides) mergeListed(record *handover.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	others := slices.DeleteFunc(record.Listed, func(name string) bool { return o.listed[name] })
	record.Listed = append(others, o.record.Listed...)
	record.Listed = record.Listed[max(0, len(record.Listed)-maxListedNames):]
}

// adopt puts a record into effect, and notifies the core of the backends whose override has changed.
func (o *Overrides) adopt(next handover.Record) {
	o.cache.updateOverlay(func() func(name string) bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		forgetOldestRestored(next.EnabledAt)
		before := o.record
		o.record.DisabledAt = next.DisabledAt
		o.record.EnabledAt = next.EnabledAt
		for _, name := range next.Listed {
			o.rememberName(name)
		}
		return func(name string) bool {
			restoredAt := next.EnabledAt[name]
			return before.DisabledAt[name] != next.DisabledAt[name] ||
				restoredAt != 0 && before.EnabledAt[name] != restoredAt
		}
	}, o.notify)
}

// forgetOldestRestored removes the backends that were enabled longest ago, beyond maxRestoredBackends.
func forgetOldestRestored(restoredAt map[string]int64) {
	for len(restoredAt) > maxRestoredBackends {
		oldest := ""
		for name, at := range restoredAt {
			if oldest == "" || at < restoredAt[oldest] {
				oldest = name
			}
		}
		delete(restoredAt, oldest)
	}
}

// Sync adopts the shared record if another process of this node has changed it. It does nothing while a command is
// being carried out; the next call then adopts the change.
func (o *Overrides) Sync() {
	if o.siblings == nil || !o.commandMu.TryLock() {
		return
	}
	defer o.commandMu.Unlock()
	record, changed, err := o.siblings.ReadRecord()
	if err != nil {
		o.log.Error("shared overrides unreadable, not used", zap.Error(err))
	}
	if changed {
		o.adopt(record)
	}
}

// Persist writes the names of all backends that were ever listed to the shared record, for the process that takes over.
func (o *Overrides) Persist() {
	o.commandMu.Lock()
	defer o.commandMu.Unlock()
	_ = o.persist(func(*handover.Record) {}) // persist logs the error
}
