package endpoints

import (
	"context"
	"encoding/json"
	"errors"
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

const cacheKey = "entries/last"

const (
	refreshInterval = 30 * time.Second // ages that alone have changed
	retryInterval   = time.Second      // after a write that the store did not take
)

// storedEndpoint is an endpoint as the store has it, in the words of the platform's list: what indexes stand for may be in
// another order in the file by which the next start reads it.
type storedEndpoint struct {
	Host   string            `json:"host"`
	Dial   string            `json:"dial"`
	Site   string            `json:"site,omitempty"`
	Class  string            `json:"class,omitempty"`
	Block  int               `json:"block,omitempty"`
	Health string            `json:"health"`
	Share  float64           `json:"share"`
	BornMS int64             `json:"born_ms,omitempty"`
	Mode   string            `json:"mode,omitempty"` // batch, of one that takes files
	Labels map[string]string `json:"labels,omitempty"`
	Source string            `json:"source,omitempty"`
	Until  time.Time         `json:"until,omitzero"` // the end of its records' time; absent where the source tells none
}

func (k *Cache) write(e node.Endpoint, until time.Time) storedEndpoint {
	one := storedEndpoint{Host: e.Name, Dial: e.Address, Site: word(k.Names.Zones, e.Zone), Class: word(k.Names.Kinds, e.Kind), Block: e.Cell,
		Health: word(healthNames, int(e.State)), Share: e.Size, BornMS: e.ReadyAt / int64(time.Millisecond), Labels: e.Labels, Source: e.Source, Until: until}
	if e.Batch {
		one.Mode = "batch"
	}
	if e.Stale {
		one.Until = time.Unix(1, 0) // past, whenever it is read
	}
	return one
}

func (k *Cache) read(one storedEndpoint, now time.Time) (node.Endpoint, error) {
	e := node.Endpoint{Address: one.Dial, Batch: one.Mode == "batch", Labels: one.Labels, Source: one.Source,
		Engine: standpoint.Engine{Name: one.Host, Zone: index(k.Names.Zones, one.Site), Kind: index(k.Names.Kinds, one.Class), Cell: one.Block,
			Size: one.Share, ReadyAt: one.BornMS * int64(time.Millisecond), Stale: !one.Until.IsZero() && now.After(one.Until)}}
	var err error
	if e.State, err = state(one.Health); err == nil && (one.Host == "" || !(one.Share >= 0 && one.Share <= maxSize) || one.BornMS < 0 || one.BornMS > maxBornMS) {
		err = errors.New("an entry that is none")
	}
	return e, err
}

func word(words []string, i int) string {
	if i < 0 || i >= len(words) {
		return ""
	}
	return words[i]
}

// Cache keeps the last endpoints in the store, with their ages, so that a node that starts anew has some.
type Cache struct {
	Names Names
	// ExpiryTimes says when the entries' records come to the end of their time, by name; nil: nobody knows.
	ExpiryTimes func() map[string]time.Time

	keyValues store.Store
	log       *zap.Logger
	overlay   func(node.EndpointList) node.EndpointList // what is handed on of what is told; nil: that itself
	notifyMu  sync.Mutex                                // held while a change is noted and handed on, so that both happen in one order
	mu        sync.Mutex
	endpoints map[string]node.Endpoint
	changed   chan struct{}
}

// NewCache makes the actor; Run writes.
func NewCache(s store.Store, log *zap.Logger) *Cache {
	return &Cache{keyValues: s, log: log, endpoints: map[string]node.Endpoint{}, changed: make(chan struct{}, 1)}
}

// Load is the list as the store has it. Entries past their time are marked stale: they are tried last.
func (k *Cache) Load(now time.Time) (node.EndpointList, bool) {
	l := node.EndpointList{Kind: standpoint.ListFull}
	v := k.keyValues.Get(cacheKey)
	var all []storedEndpoint
	if v.Version == 0 {
		return l, false
	}
	err := json.Unmarshal(v.Data, &all)
	for i := 0; i < len(all) && err == nil; i++ {
		var e node.Endpoint
		e, err = k.read(all[i], now)
		l.Endpoints = append(l.Endpoints, e)
	}
	if err != nil {
		l.Endpoints = nil
		k.log.Error("the last list of endpoints cannot be read; none of it is used", zap.String("key", cacheKey), zap.Error(err))
		return l, false
	}
	return l, true
}

// Update notes a change and hands it on. Changes are handed on in the order in which they are noted: an older list
// must not come behind the news of a drain.
func (k *Cache) Update(l node.EndpointList, to func(node.EndpointList)) {
	k.notifyMu.Lock()
	defer k.notifyMu.Unlock()
	k.Store(l)
	to(k.overlaid(l))
}

func (k *Cache) overlaid(l node.EndpointList) node.EndpointList {
	if k.overlay == nil {
		return l
	}
	return k.overlay(l)
}

// amend hands on once more those that are listed of the names that the test lets through. The order is held.
func (k *Cache) amend(test func(string) bool, to func(node.EndpointList)) {
	all := slices.DeleteFunc(k.sorted(), func(e node.Endpoint) bool { return !test(e.Name) })
	if len(all) > 0 {
		to(k.overlaid(node.EndpointList{Kind: standpoint.ListDelta, Endpoints: all}))
	}
}

// Resend hands the whole list on once more, as it was last told.
func (k *Cache) Resend(to func(node.EndpointList)) {
	k.notifyMu.Lock()
	defer k.notifyMu.Unlock()
	to(k.overlaid(node.EndpointList{Kind: standpoint.ListFull, Endpoints: k.sorted()}))
}

// Current is the list as last told, by name.
func (k *Cache) Current() []node.Endpoint { return k.sorted() }

func (k *Cache) sorted() []node.Endpoint {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.SortedFunc(maps.Values(k.endpoints), func(a, b node.Endpoint) int { return strings.Compare(a.Name, b.Name) })
}

// Store notes a change. It never waits for the store: the watch must go on at once.
func (k *Cache) Store(l node.EndpointList) {
	if l.Kind == standpoint.ListLost || l.Kind == standpoint.ListDelta && len(l.Endpoints) == 0 {
		return
	}
	k.mu.Lock()
	if l.Kind == standpoint.ListFull {
		clear(k.endpoints)
	}
	for _, e := range l.Endpoints {
		if e.State == standpoint.Gone {
			delete(k.endpoints, e.Name)
		} else {
			k.endpoints[e.Name] = e
		}
	}
	k.mu.Unlock()
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Run writes what has changed, where this member may write.
func (k *Cache) Run(ctx context.Context) {
	ages, again := time.NewTicker(refreshInterval), time.NewTicker(retryInterval)
	defer ages.Stop()
	defer again.Stop()
	due := false // something has changed that the store does not have
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
			due = true
		case <-ages.C:
			due = due || k.ExpiryTimes != nil
		case <-again.C:
		}
		// A member that may not write yet may lead later; it keeps what it owes.
		if _, leads := k.keyValues.Leadership(); !leads || !due {
			continue
		}
		raw, err := json.Marshal(k.aged())
		if err == nil {
			_, err = k.keyValues.Write(ctx, store.Op{Key: cacheKey, Data: raw, ExpectedVersion: store.AnyVersion})
		}
		if due = err != nil; due {
			k.log.Warn("the endpoints were not kept; once more soon", zap.Error(err))
		}
	}
}

// aged is the list with its ages. Entries that are themselves from the store keep none: they were not told anew.
func (k *Cache) aged() []storedEndpoint {
	var until map[string]time.Time
	if k.ExpiryTimes != nil {
		until = k.ExpiryTimes()
	}
	all := []storedEndpoint{}
	for _, e := range k.sorted() {
		all = append(all, k.write(e, until[e.Name]))
	}
	return all
}

// Fixed is the source of a list that an operator wrote by hand.
type Fixed struct {
	List   node.EndpointList
	Notify func(node.EndpointList)
}

// Watch does nothing: the list does not change.
func (Fixed) Watch() {}

// Run tells the list once.
func (f Fixed) Run(context.Context) { f.Notify(f.List) }
