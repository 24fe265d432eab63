package entries

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

const lastKey = "entries/last"

const (
	keepEvery = 30 * time.Second // ages that alone have changed
	keepAgain = time.Second      // after a write that the store did not take
)

// kept is a service entry as the store has it.
type kept struct {
	node.ServiceEntry
	Until time.Time // the end of its records' time; zero where the source tells none
}

// Keeper keeps the last service entries in the store, with their ages, so that a node that starts anew has some.
type Keeper struct {
	// Ages says when the entries' records come to the end of their time, by name; nil: nobody knows.
	Ages func() map[string]time.Time

	store store.Store
	log   *zap.Logger
	order sync.Mutex // held while a change is noted and handed on, so that both happen in one order
	mu    sync.Mutex
	all   map[string]node.ServiceEntry
	dirty chan struct{}
}

// NewKeeper makes the actor; Run writes.
func NewKeeper(s store.Store, log *zap.Logger) *Keeper {
	return &Keeper{store: s, log: log, all: map[string]node.ServiceEntry{}, dirty: make(chan struct{}, 1)}
}

// Known is the list as the store has it. Entries past their time are marked stale: they are tried last.
func (k *Keeper) Known(now time.Time) (node.List, bool) {
	l := node.List{Kind: standpoint.ListFull}
	v := k.store.Get(lastKey)
	var all []kept
	if v.Version == 0 {
		return l, false
	}
	if err := json.Unmarshal(v.Data, &all); err != nil {
		k.log.Error("the last list of service entries cannot be read; none of it is used", zap.String("key", lastKey), zap.Error(err))
		return l, false
	}
	for _, e := range all {
		e.Stale = !e.Until.IsZero() && now.After(e.Until)
		l.Entries = append(l.Entries, e.ServiceEntry)
	}
	return l, true
}

// Tell notes a change and hands it on. Changes are handed on in the order in which they are noted: an older list
// must not come behind the news of a drain.
func (k *Keeper) Tell(l node.List, to func(node.List)) {
	k.order.Lock()
	defer k.order.Unlock()
	k.Take(l)
	to(l)
}

// Again hands the whole list on once more, as it was last told.
func (k *Keeper) Again(to func(node.List)) {
	k.order.Lock()
	defer k.order.Unlock()
	to(node.List{Kind: standpoint.ListFull, Entries: k.sorted()})
}

// Current is the list as last told, by name.
func (k *Keeper) Current() []node.ServiceEntry { return k.sorted() }

func (k *Keeper) sorted() []node.ServiceEntry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.SortedFunc(maps.Values(k.all), func(a, b node.ServiceEntry) int { return strings.Compare(a.Name, b.Name) })
}

// Take notes a change. It never waits for the store: the watch must go on at once.
func (k *Keeper) Take(l node.List) {
	if l.Kind == standpoint.ListLost || l.Kind == standpoint.ListDelta && len(l.Entries) == 0 {
		return
	}
	k.mu.Lock()
	if l.Kind == standpoint.ListFull {
		clear(k.all)
	}
	for _, e := range l.Entries {
		if e.State == standpoint.Gone {
			delete(k.all, e.Name)
		} else {
			k.all[e.Name] = e
		}
	}
	k.mu.Unlock()
	select {
	case k.dirty <- struct{}{}:
	default:
	}
}

// Run writes what has changed, where this member may write.
func (k *Keeper) Run(ctx context.Context) {
	ages, again := time.NewTicker(keepEvery), time.NewTicker(keepAgain)
	defer ages.Stop()
	defer again.Stop()
	due := false // something has changed that the store does not have
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.dirty:
			due = true
		case <-ages.C:
			due = due || k.Ages != nil
		case <-again.C:
		}
		// A member that may not write yet may lead later; it keeps what it owes.
		if _, leads := k.store.Leads(); !leads || !due {
			continue
		}
		raw, err := json.Marshal(k.aged())
		if err == nil {
			_, err = k.store.Write(ctx, store.Op{Key: lastKey, Data: raw, If: store.Any})
		}
		if due = err != nil; due {
			k.log.Warn("the service entries were not kept; once more soon", zap.Error(err))
		}
	}
}

// aged is the list with its ages. Entries that are themselves from the store keep none: they were not told anew.
func (k *Keeper) aged() []kept {
	var until map[string]time.Time
	if k.Ages != nil {
		until = k.Ages()
	}
	all := []kept{}
	for _, e := range k.sorted() {
		one := kept{e, until[e.Name]}
		if e.Stale {
			one.Until = time.Unix(1, 0) // past, whenever it is read
		}
		all = append(all, one)
	}
	return all
}

// Fixed is the source of a list that an operator wrote by hand.
type Fixed struct {
	List node.List
	News func(node.List)
}

// Watch does nothing: the list does not change.
func (Fixed) Watch() {}

// Run tells the list once.
func (f Fixed) Run(context.Context) { f.News(f.List) }
