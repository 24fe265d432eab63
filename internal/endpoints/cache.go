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

// cacheKey is the store key of the persisted list.
const cacheKey = "entries/last"

const (
	// expiryRefreshInterval is the interval at which the list is written again if only expiry times may have changed.
	expiryRefreshInterval = 30 * time.Second
	// persistRetryInterval is the interval at which a failed write to the store is retried.
	persistRetryInterval = time.Second
)

// Cache stores the source's latest endpoint list, and persists it with the expiry times of its records, so that a new
// process has a list before its source responds. It is safe for concurrent use.
type Cache struct {
	// Names are the names of zones and kinds in the persisted list. It must be set before the first use.
	Names Names
	// ExpiryTimes returns when the endpoints' records expire, by endpoint name. It is nil if the source has no expiry
	// times, and must be set before Run.
	ExpiryTimes func() map[string]time.Time

	keyValues store.Store
	log       *zap.Logger
	overlay   func(node.EndpointList) node.EndpointList // applied to each list before it is passed on; may be nil

	// notifyMu is held while a change is stored and passed on, so that changes are stored and passed on in the same
	// order. It is locked before mu.
	notifyMu sync.Mutex

	mu        sync.Mutex // guards endpoints
	endpoints map[string]node.Endpoint

	changed chan struct{} // signals a change that is not yet persisted; its capacity is 1
}

// NewCache returns an empty cache. Run persists its list in the store.
func NewCache(keyValues store.Store, log *zap.Logger) *Cache {
	return &Cache{
		keyValues: keyValues,
		log:       log,
		endpoints: map[string]node.Endpoint{},
		changed:   make(chan struct{}, 1),
	}
}

// Load returns the persisted list, and false if there is none or it cannot be decoded. Endpoints whose records have
// expired are marked as stale, so that other endpoints are preferred to them.
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

// decodeEndpoints decodes the persisted list. A single invalid endpoint makes the whole list invalid.
func decodeEndpoints(raw []byte, names Names, now time.Time) ([]node.Endpoint, error) {
	var stored []storedEndpoint
	if err := json.Unmarshal(raw, &stored); err != nil {
		return nil, err
	}
	var endpoints []node.Endpoint
	for _, entry := range stored {
		endpoint, err := entry.decode(names, now)
		if err != nil {
			return nil, &EntryError{Endpoint: entry.Host, Err: err}
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

// Update stores a change and passes it to notify. Changes are passed on in the order in which they are stored, since an
// older list that follows the notification of a drain would undo the drain.
func (c *Cache) Update(list node.EndpointList, notify func(node.EndpointList)) {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	c.Store(list)
	notify(c.overlaid(list))
}

// Resend passes the full list to notify again.
func (c *Cache) Resend(notify func(node.EndpointList)) {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	notify(c.overlaid(node.EndpointList{Kind: standpoint.ListFull, Endpoints: c.Current()}))
}

// updateOverlay calls update, which changes the effect of the overlay and returns a function that reports whether an
// endpoint is affected, by name. The affected endpoints are passed to notify again.
func (c *Cache) updateOverlay(update func() (changed func(name string) bool), notify func(node.EndpointList)) {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	changed := update()
	endpoints := slices.DeleteFunc(c.Current(), func(e node.Endpoint) bool { return !changed(e.Name) })
	if len(endpoints) > 0 {
		notify(c.overlaid(node.EndpointList{Kind: standpoint.ListDelta, Endpoints: endpoints}))
	}
}

// overlaid returns a list with the overlay applied.
func (c *Cache) overlaid(list node.EndpointList) node.EndpointList {
	if c.overlay == nil {
		return list
	}
	return c.overlay(list)
}

// Current returns the endpoints of the source's latest list, without the overlay, sorted by name.
func (c *Cache) Current() []node.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.SortedFunc(maps.Values(c.endpoints), func(a, b node.Endpoint) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// Store adds a change to the cache without passing it on. It never waits for the key-value store, since the caller has
// to send its next poll at once.
func (c *Cache) Store(list node.EndpointList) {
	if list.Kind == standpoint.ListFailed || list.Kind == standpoint.ListDelta && len(list.Endpoints) == 0 {
		return
	}
	c.mu.Lock()
	if list.Kind == standpoint.ListFull {
		clear(c.endpoints)
	}
	for _, endpoint := range list.Endpoints {
		if endpoint.State == standpoint.Removed {
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

// Run persists changes until ctx ends, while this member is the leader and may write to the store.
func (c *Cache) Run(ctx context.Context) {
	refresh := time.NewTicker(expiryRefreshInterval)
	defer refresh.Stop()
	retry := time.NewTicker(persistRetryInterval)
	defer retry.Stop()
	pending := false // there is a change that is not persisted
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
		// A change stays pending on a member that may not write, since it may become the leader later.
		if _, leads := c.keyValues.Leadership(); !leads || !pending {
			continue
		}
		err := c.persist(ctx)
		if err != nil {
			c.log.Warn("endpoint list not persisted, retrying", zap.String("key", cacheKey), zap.Error(err))
		}
		pending = err != nil
	}
}

// persist writes the list to the store. Endpoints that were loaded from the store and that the source has not confirmed
// have no entry in ExpiryTimes.
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
