package endpoints

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

// cacheKey is the key of the persisted list in the store.
const cacheKey = "entries/last"

const (
	refreshInterval = 30 * time.Second // of writes for expiry times that alone have changed
	retryInterval   = time.Second      // of writes that the store did not take
)

// Cache has the endpoint list as the source last notified of it, and persists it with the expiry times of its records,
// so that a process that starts has one before its source answers. It is safe for concurrent use.
type Cache struct {
	// Names, set before the first use, are the names of zones and kinds in the persisted list.
	Names Names
	// ExpiryTimes, set before Run, returns when the endpoints' records expire, by name; nil if the source does not
	// know.
	ExpiryTimes func() map[string]time.Time

	keyValues store.Store
	log       *zap.Logger
	overlay   func(node.EndpointList) node.EndpointList // applied to each list that is passed on; nil for none

	// notifyMu is held while a change is stored and passed on, so that both happen in one order. It is locked before
	// mu.
	notifyMu sync.Mutex

	mu        sync.Mutex // guards endpoints
	endpoints map[string]node.Endpoint

	changed chan struct{} // of capacity 1: something has changed since the last write
}

// NewCache returns a cache with no endpoints. Run persists what it holds in the store.
func NewCache(keyValues store.Store, log *zap.Logger) *Cache {
	return &Cache{
		keyValues: keyValues,
		log:       log,
		endpoints: map[string]node.Endpoint{},
		changed:   make(chan struct{}, 1),
	}
}

// Load returns the persisted list; false if there is none, or if it cannot be read. Endpoints whose records have
// expired are marked stale: they are used last.
func (c *Cache) Load(now time.Time) (node.EndpointList, bool) {
	list := node.EndpointList{Kind: standpoint.ListFull}
	value := c.keyValues.Get(cacheKey)
	if value.Version == 0 {
		return list, false
	}
	endpoints, err := decodeEndpoints(value.Data, c.Names, now)
	if err != nil {
		c.log.Error("persisted endpoint list unreadable, ignored", zap.String("key", cacheKey), zap.Error(err))
		return list, false
	}
	list.Endpoints = endpoints
	return list, true
}

// decodeEndpoints decodes the persisted list. One invalid endpoint makes all of it unusable.
func decodeEndpoints(raw []byte, names Names, now time.Time) ([]node.Endpoint, error) {
	var stored []storedEndpoint
	if err := json.Unmarshal(raw, &stored); err != nil {
		return nil, err
	}
	var endpoints []node.Endpoint
	for _, one := range stored {
		endpoint, err := one.decode(names, now)
		if err != nil {
			return nil, &EntryError{Endpoint: one.Host, Err: err}
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

// Update stores a change and passes it on to notify. Changes are passed on in the order in which they are stored: an
// older list must not follow the notice that a backend drains.
func (c *Cache) Update(list node.EndpointList, notify func(node.EndpointList)) {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	c.Store(list)
	notify(c.overlaid(list))
}

// Resend passes the whole list on once more.
func (c *Cache) Resend(notify func(node.EndpointList)) {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	notify(c.overlaid(node.EndpointList{Kind: standpoint.ListFull, Endpoints: c.Current()}))
}

// updateOverlay runs update, which changes what the overlay does, and passes on once more the endpoints for whose names
// the function that update returns is true.
func (c *Cache) updateOverlay(update func() (changed func(name string) bool), notify func(node.EndpointList)) {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	changed := update()
	endpoints := slices.DeleteFunc(c.Current(), func(e node.Endpoint) bool { return !changed(e.Name) })
	if len(endpoints) > 0 {
		notify(c.overlaid(node.EndpointList{Kind: standpoint.ListDelta, Endpoints: endpoints}))
	}
}

func (c *Cache) overlaid(list node.EndpointList) node.EndpointList {
	if c.overlay == nil {
		return list
	}
	return c.overlay(list)
}

// Current returns the endpoints as the source last notified of them, sorted by name.
func (c *Cache) Current() []node.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.SortedFunc(maps.Values(c.endpoints), func(a, b node.Endpoint) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// Store stores a change. It never waits for the store: the watch has to continue at once.
func (c *Cache) Store(list node.EndpointList) {
	if list.Kind == standpoint.ListFailed || list.Kind == standpoint.ListDelta && len(list.Endpoints) == 0 {
		return
	}
	c.mu.Lock()
	if list.Kind == standpoint.ListFull {
		clear(c.endpoints)
	}
	for _, endpoint := range list.Endpoints {
		if endpoint.State == standpoint.Gone {
			delete(c.endpoints, endpoint.Name)
		} else {
			c.endpoints[endpoint.Name] = endpoint
		}
	}
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Run persists what has changed, while this member may write to the store, until ctx ends.
func (c *Cache) Run(ctx context.Context) {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	pending := false // something has changed that the store does not have
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
			pending = true
		case <-refresh.C:
			pending = pending || c.ExpiryTimes != nil
		case <-retry.C:
		}
		// What a member may not write yet stays pending, since it may lead later.
		if _, leads := c.keyValues.Leadership(); !leads || !pending {
			continue
		}
		err := c.persist(ctx)
		if err != nil {
			c.log.Warn("endpoint list not persisted, to be retried", zap.String("key", cacheKey), zap.Error(err))
		}
		pending = err != nil
	}
}

// persist writes the list to the store. Endpoints that are themselves from the store keep no expiry time: the source
// has not confirmed them.
func (c *Cache) persist(ctx context.Context) error {
	var expiryTimes map[string]time.Time
	if c.ExpiryTimes != nil {
		expiryTimes = c.ExpiryTimes()
	}
	stored := []storedEndpoint{}
	for _, endpoint := range c.Current() {
		stored = append(stored, encodeEndpoint(endpoint, c.Names, expiryTimes[endpoint.Name]))
	}
	raw, err := json.Marshal(stored)
	if err != nil {
		return err
	}
	_, err = c.keyValues.Write(ctx, store.Op{Key: cacheKey, Data: raw, ExpectedVersion: store.AnyVersion})
	return err
}
