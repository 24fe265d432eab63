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
var ErrNeverListed = errors.New("never listed")

// ErrNotPersisted reports a command that is in effect in this process, but could not be written to the record that this
// node's other processes, and those after it, read.
var ErrNotPersisted = errors.New("carried out, but not kept for a process that takes over")

const (
	maxListed   = 8192 // names that were ever listed; beyond it the oldest are forgotten
	maxRestored = 1024 // backends that were enabled again; likewise
)

// Overrides lays over the endpoint list what operators have disabled: whatever the source says of such a backend, the
// core is notified that it is draining, until it is enabled again, even if it leaves the list, restarts, changes its
// address, or the source changes. An enabled backend counts as started at that moment: it warms up, and nothing is
// assumed of what it was. The overrides are shared with the other processes of this node. Overrides is safe for
// concurrent use.
type Overrides struct {
	cache    *Cache
	notify   func(node.EndpointList)
	siblings *handover.Channel // nil if no other process shares the record
	log      *zap.Logger

	// commands is held while a command changes the record, or the shared one is read. Another process may hold the
	// lock of the shared file for as long as it likes, so that one is never waited for with the cache's notifyMu
	// held: lists are passed on meanwhile. It is locked before notifyMu, and that before mu.
	commands sync.Mutex

	mu     sync.Mutex // guards record and listed
	record handover.Record
	listed map[string]bool // the names in record.Listed
}

// NewOverrides returns the overrides that an earlier process has left, laid over what passes through the cache. The
// lists that result are passed to notify. It must be called before the cache is used.
func NewOverrides(
	cache *Cache, notify func(node.EndpointList), siblings *handover.Channel, log *zap.Logger,
) *Overrides {
	o := &Overrides{
		cache:    cache,
		notify:   notify,
		siblings: siblings,
		log:      log,
		listed:   map[string]bool{},
		record:   handover.Record{DownSince: map[string]int64{}, RestoredAt: map[string]int64{}},
	}
	cache.overlay = o.apply
	o.Sync()
	return o
}

// Update takes a change from the source, and passes it on with the overrides applied.
func (o *Overrides) Update(list node.EndpointList) { o.cache.Update(list, o.notify) }

// apply returns a list with the overrides applied. The cache calls it with notifyMu held.
func (o *Overrides) apply(list node.EndpointList) node.EndpointList {
	o.mu.Lock()
	defer o.mu.Unlock()
	applied := node.EndpointList{Kind: list.Kind, Endpoints: slices.Clone(list.Endpoints)}
	for i := range applied.Endpoints {
		endpoint := &applied.Endpoints[i]
		o.rememberName(endpoint.Name)
		if endpoint.State == standpoint.Gone {
			continue
		}
		if o.record.DownSince[endpoint.Name] != 0 {
			endpoint.State = standpoint.Draining
		} else if restoredAt := o.record.RestoredAt[endpoint.Name]; restoredAt != 0 {
			endpoint.ReadyAt = max(endpoint.ReadyAt, restoredAt)
			endpoint.Reinstated = true
		}
	}
	return applied
}

// rememberName remembers a name that was listed. The caller holds mu.
func (o *Overrides) rememberName(name string) {
	if o.listed[name] {
		return
	}
	if len(o.record.Listed) >= maxListed {
		delete(o.listed, o.record.Listed[0])
		o.record.Listed = o.record.Listed[1:]
	}
	o.listed[name] = true
	o.record.Listed = append(o.record.Listed, name)
}

// Disable has a backend drain, at once and until it is enabled. It is idempotent. The errors are ErrNeverListed and
// ErrNotPersisted.
func (o *Overrides) Disable(name string) error {
	return o.command(name, func(record *handover.Record, now int64) {
		if record.DownSince[name] == 0 {
			record.DownSince[name] = now
		}
		delete(record.RestoredAt, name)
	})
}

// Enable undoes Disable. For a backend that is not disabled it does nothing. The errors are those of Disable.
func (o *Overrides) Enable(name string) error {
	return o.command(name, func(record *handover.Record, now int64) {
		if record.DownSince[name] != 0 {
			delete(record.DownSince, name)
			record.RestoredAt[name] = now
		}
	})
}

// command carries out a change of one backend: first in this process and its core, then in the shared record.
func (o *Overrides) command(name string, change func(record *handover.Record, now int64)) error {
	o.commands.Lock()
	defer o.commands.Unlock()
	o.mu.Lock()
	known := o.listed[name] || o.record.DownSince[name] != 0
	next := handover.Record{
		DownSince:  maps.Clone(o.record.DownSince),
		RestoredAt: maps.Clone(o.record.RestoredAt),
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

// persist changes the shared record, if there is one, and adopts what it then says. The caller holds commands.
func (o *Overrides) persist(change func(*handover.Record)) error {
	if o.siblings == nil {
		return nil
	}
	record, err := o.siblings.UpdateRecord(func(record *handover.Record) {
		change(record)
		o.mergeListed(record)
	})
	if err != nil {
		o.log.Error("overrides not persisted for the next process", zap.Error(err))
		return fmt.Errorf("%w: %w", ErrNotPersisted, err)
	}
	o.adopt(record)
	return nil
}

// mergeListed adds the names that were listed in this process to a record, as the latest.
func (o *Overrides) mergeListed(record *handover.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	others := slices.DeleteFunc(record.Listed, func(name string) bool { return o.listed[name] })
	record.Listed = append(others, o.record.Listed...)
	record.Listed = record.Listed[max(0, len(record.Listed)-maxListed):]
}

// adopt puts a record in effect, and notifies the core of the backends for which it differs from the one before.
func (o *Overrides) adopt(next handover.Record) {
	o.cache.updateOverlay(func() func(name string) bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		forgetOldestRestored(next.RestoredAt)
		before := o.record
		o.record.DownSince = next.DownSince
		o.record.RestoredAt = next.RestoredAt
		for _, name := range next.Listed {
			o.rememberName(name)
		}
		return func(name string) bool {
			restoredAt := next.RestoredAt[name]
			return before.DownSince[name] != next.DownSince[name] ||
				restoredAt != 0 && before.RestoredAt[name] != restoredAt
		}
	}, o.notify)
}

// forgetOldestRestored bounds the backends that count as enabled again.
func forgetOldestRestored(restoredAt map[string]int64) {
	for len(restoredAt) > maxRestored {
		oldest := ""
		for name, at := range restoredAt {
			if oldest == "" || at < restoredAt[oldest] {
				oldest = name
			}
		}
		delete(restoredAt, oldest)
	}
}

// Sync adopts what another process of this node has written to the shared record, if that has changed. While a command
// is carried out it does nothing: the next call will.
func (o *Overrides) Sync() {
	if o.siblings == nil || !o.commands.TryLock() {
		return
	}
	defer o.commands.Unlock()
	record, changed, err := o.siblings.ReadRecord()
	if err != nil {
		o.log.Error("shared overrides unreadable, not used", zap.Error(err))
	}
	if changed {
		o.adopt(record)
	}
}

// Persist writes the names of all backends that were ever listed to the shared record, for a process that takes over.
func (o *Overrides) Persist() {
	o.commands.Lock()
	defer o.commands.Unlock()
	_ = o.persist(func(*handover.Record) {}) // the error is logged there, and nobody can do more about it
}
