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

// ErrNeverListed is the answer to a command about a backend that no source ever told of.
var ErrNeverListed = errors.New("never listed")

// ErrNotPersisted is the answer to a command that is carried out here, but could not be written where other processes of
// this node, and the one after this, will look.
var ErrNotPersisted = errors.New("carried out, but not kept for a process that takes over")

const (
	seenMost = 8192 // names that were ever listed; of more, the oldest are forgotten
	backMost = 1024 // names that were put back; likewise
)

// Overrides is the overlay of what staff decide: whatever the sources tell of a backend that is out, the core is told
// that it drains. It holds until the server is put back: over its end, its new start or address, and the end of any
// source. Put back it is told of as started at that moment: cold, and nothing is believed of what it was.
type Overrides struct {
	cache    *Cache
	notify   func(node.EndpointList)
	siblings *handover.Channel // nil: nobody to share with
	log      *zap.Logger

	// commands is held while the record is changed or read. The other process may hold the shared file's lock for as long as it
	// likes, so nobody waits for that one with the keeper's order in hand: lists go on being told.
	commands sync.Mutex

	mu     sync.Mutex
	record handover.Record
	listed map[string]bool // the names in record.Seen
}

// NewOverrides makes the overlay over what the keeper is told, with what an earlier process left.
func NewOverrides(k *Cache, to func(node.EndpointList), share *handover.Channel, log *zap.Logger) *Overrides {
	b := &Overrides{cache: k, notify: to, siblings: share, log: log, listed: map[string]bool{},
		record: handover.Record{DownSince: map[string]int64{}, RestoredAt: map[string]int64{}}}
	k.overlay = b.overlay
	b.Sync()
	return b
}

// Update notes what a source tells, and hands it on as staff would have it.
func (b *Overrides) Update(l node.EndpointList) { b.cache.Update(l, b.notify) }

// overlay is the list as staff would have it. The keeper calls it in the order of telling.
func (b *Overrides) overlay(l node.EndpointList) node.EndpointList {
	b.mu.Lock()
	defer b.mu.Unlock()
	laid := node.EndpointList{Kind: l.Kind, Endpoints: slices.Clone(l.Endpoints)}
	for i := range laid.Endpoints {
		e := &laid.Endpoints[i]
		b.rememberName(e.Name)
		if e.State == standpoint.Gone {
			continue
		}
		if b.record.DownSince[e.Name] != 0 {
			e.State = standpoint.Draining
		} else if back := b.record.RestoredAt[e.Name]; back != 0 {
			e.ReadyAt, e.Back = max(e.ReadyAt, back), true
		}
	}
	return laid
}

// rememberName remembers a name that was listed.
func (b *Overrides) rememberName(name string) {
	if b.listed[name] {
		return
	}
	if len(b.record.Listed) >= seenMost {
		delete(b.listed, b.record.Listed[0])
		b.record.Listed = b.record.Listed[1:]
	}
	b.listed[name] = true
	b.record.Listed = append(b.record.Listed, name)
}

// Disable takes a backend out, at once; it may be said again.
func (b *Overrides) Disable(name string) error {
	return b.command(name, func(r *handover.Record, now int64) {
		if r.DownSince[name] == 0 {
			r.DownSince[name] = now
		}
		delete(r.RestoredAt, name)
	})
}

// Enable puts one back.
func (b *Overrides) Enable(name string) error {
	return b.command(name, func(r *handover.Record, now int64) {
		if r.DownSince[name] != 0 {
			delete(r.DownSince, name)
			r.RestoredAt[name] = now
		}
	})
}

// command carries out a change of one name: here and in the core at once, then in the record that processes share.
func (b *Overrides) command(name string, change func(r *handover.Record, now int64)) error {
	b.commands.Lock()
	defer b.commands.Unlock()
	b.mu.Lock()
	known := b.listed[name] || b.record.DownSince[name] != 0
	next := handover.Record{DownSince: maps.Clone(b.record.DownSince), RestoredAt: maps.Clone(b.record.RestoredAt), Listed: b.record.Listed}
	b.mu.Unlock()
	if !known {
		return fmt.Errorf("%w: %q", ErrNeverListed, name)
	}
	now := clock.Now()
	change(&next, now)
	b.adopt(next)
	return b.persist(func(r *handover.Record) { change(r, now) })
}

// persist changes the record in the shared file, where there is one, and takes what it then says. The commands' lock is held.
func (b *Overrides) persist(change func(*handover.Record)) error {
	if b.siblings == nil {
		return nil
	}
	r, err := b.siblings.UpdateRecord(func(r *handover.Record) {
		change(r)
		b.mu.Lock()
		defer b.mu.Unlock()
		theirs := slices.DeleteFunc(r.Listed, func(name string) bool { return b.listed[name] })
		r.Listed = append(theirs, b.record.Listed...)
		r.Listed = r.Listed[max(0, len(r.Listed)-seenMost):]
	})
	if err != nil {
		b.log.Error("what staff decided is not kept for a process that takes over", zap.Error(err))
		return fmt.Errorf("%w: %w", ErrNotPersisted, err)
	}
	b.adopt(r)
	return nil
}

// adopt makes a record the one that holds, and tells the core anew of the names in which it differs.
func (b *Overrides) adopt(r handover.Record) {
	b.cache.notifyMu.Lock()
	defer b.cache.notifyMu.Unlock()
	b.mu.Lock()
	for len(r.RestoredAt) > backMost {
		oldest := ""
		for name, at := range r.RestoredAt {
			if oldest == "" || at < r.RestoredAt[oldest] {
				oldest = name
			}
		}
		delete(r.RestoredAt, oldest)
	}
	was := b.record
	b.record.DownSince, b.record.RestoredAt = r.DownSince, r.RestoredAt
	for _, name := range r.Listed {
		b.rememberName(name)
	}
	b.mu.Unlock()
	b.cache.amend(func(name string) bool {
		return was.DownSince[name] != r.DownSince[name] || r.RestoredAt[name] != 0 && was.RestoredAt[name] != r.RestoredAt[name]
	}, b.notify)
}

// Sync takes in what another process of this node was told, where there is news. While a command is carried out it leaves that for the
// next time.
func (b *Overrides) Sync() {
	if b.siblings == nil || !b.commands.TryLock() {
		return
	}
	defer b.commands.Unlock()
	r, changed, err := b.siblings.ReadRecord()
	if err != nil {
		b.log.Error("the record that processes of this node share is not used", zap.Error(err))
	}
	if changed {
		b.adopt(r)
	}
}

// Persist writes down all that was ever listed, for a process that takes over.
func (b *Overrides) Persist() {
	b.commands.Lock()
	defer b.commands.Unlock()
	_ = b.persist(func(*handover.Record) {}) // logged
}
