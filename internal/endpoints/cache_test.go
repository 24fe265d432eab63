package endpoints

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"standpoint"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

// runCache runs a cache on a store until the test ends.
func runCache(t *testing.T, keyValues store.Store, configure func(*Cache)) *Cache {
	t.Helper()
	cache := NewCache(keyValues, zap.NewNop())
	configure(cache)
	runUntilEnd(t, cache.Run)
	return cache
}

func noConfiguration(*Cache) {}

// awaitPersisted waits until the store has a list.
func awaitPersisted(t *testing.T, keyValues store.Store) {
	t.Helper()
	require.Eventually(t, func() bool { return keyValues.Get(cacheKey).Version != 0 }, 10*time.Second, time.Millisecond)
}

// The next process loads the persisted list, without removed endpoints.
func TestCachePersistsList(t *testing.T) {
	keyValues := store.NewMemory()
	cache := runCache(t, keyValues, noConfiguration)
	cache.Store(fullList(endpoint("a", ready, 0), endpoint("b", ready, 0)))
	cache.Store(deltaList(endpoint("a", gone, 0)))
	require.Eventually(t, func() bool {
		list, ok := NewCache(keyValues, zap.NewNop()).Load(time.Now())
		return ok && len(list.Endpoints) == 1 && list.Endpoints[0].Name == "b"
	}, time.Second, time.Millisecond)
}

// An endpoint whose records have expired is loaded as stale, and a stale endpoint that was not confirmed stays stale.
func TestCachePersistsExpiryTimes(t *testing.T) {
	now := time.Now()
	cache := runCache(t, store.NewMemory(), func(c *Cache) {
		c.ExpiryTimes = func() map[string]time.Time {
			return map[string]time.Time{"new": now.Add(time.Minute), "old": now.Add(-time.Minute)}
		}
	})
	unconfirmed := endpoint("unconfirmed", ready, 0)
	unconfirmed.Stale = true
	cache.Store(fullList(endpoint("new", ready, 0), endpoint("old", ready, 0), unconfirmed, endpoint("file", ready, 0)))
	stale := map[string]bool{}
	require.Eventually(t, func() bool {
		list, ok := cache.Load(now)
		for _, loaded := range list.Endpoints {
			stale[loaded.Name] = loaded.Stale
		}
		return ok && len(list.Endpoints) == 4
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, map[string]bool{"new": false, "old": true, "unconfirmed": true, "file": false}, stale)
}

// A truncated persisted list is logged, and no part of it is used.
func TestCacheIgnoresTornList(t *testing.T) {
	keyValues := store.NewMemory()
	torn := []byte(`[{"host":"a","dial":"127.0.0.1:1","health":"ready"},{"ho`)
	_, err := keyValues.Write(t.Context(), store.Op{Key: cacheKey, Data: torn})
	require.NoError(t, err)
	core, logs := observer.New(zap.ErrorLevel)
	list, ok := NewCache(keyValues, zap.New(core)).Load(time.Now())
	require.False(t, ok)
	require.Empty(t, list.Endpoints)
	require.Equal(t, cacheKey, logs.All()[0].ContextMap()["key"])
}

// failingStore is a store whose first writes fail.
type failingStore struct {
	store.Memory
	failuresLeft atomic.Int64
}

func (f *failingStore) Write(ctx context.Context, ops ...store.Op) (uint64, error) {
	if f.failuresLeft.Add(-1) >= 0 {
		return 0, errors.New("store: write failed")
	}
	return f.Memory.Write(ctx, ops...)
}

// A failed write is retried, even without a further change of the list.
func TestCacheRetriesFailedWrite(t *testing.T) {
	keyValues := &failingStore{Memory: store.NewMemory()}
	keyValues.failuresLeft.Store(1)
	cache := runCache(t, keyValues, noConfiguration)
	cache.Store(fullList(endpoint("a", ready, 0)))
	awaitPersisted(t, keyValues)
}

// The persisted list has the names of zones and kinds, so that another order in the next configuration changes no
// endpoint.
func TestCachePersistsZoneAndKindNames(t *testing.T) {
	keyValues := store.NewMemory()
	cache := runCache(t, keyValues, func(c *Cache) {
		c.Names = Names{Zones: []string{"a", "b"}, Kinds: []string{"fast", "slow"}}
	})
	stored := node.Endpoint{
		Address: "127.0.0.1:1",
		Batch:   true,
		Labels:  map[string]string{"v": "1"},
		Source:  "hall",
		Engine:  standpoint.Engine{Name: "s", Zone: 1, Kind: 0, Cell: 3, State: draining, Size: 2, StartedAt: 5e6},
	}
	cache.Store(fullList(stored))
	awaitPersisted(t, keyValues)
	next := NewCache(keyValues, zap.NewNop())
	next.Names = Names{Zones: []string{"b", "a"}, Kinds: []string{"slow", "fast"}}
	list, ok := next.Load(time.Now())
	require.True(t, ok)
	stored.Zone = 0
	stored.Kind = 1
	require.Equal(t, []node.Endpoint{stored}, list.Endpoints)
}
