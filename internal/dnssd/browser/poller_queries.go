package browser

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"standpoint/internal/clock"
	"standpoint/internal/dnssd/record"
	"standpoint/internal/dnssd/resolver"
)

const (
	// maxConcurrentQueries is the number of queries in flight in one round.
	maxConcurrentQueries = 32
	// maxListAttempts is the number of times the list is queried while responses come from a server with an older
	// serial.
	maxListAttempts = 6
	// failureRetryDelay is the time after a failed query at which the set is due again.
	failureRetryDelay = time.Second
	// minRefreshInterval is the shortest lifetime that is assumed for a set, even if its TTL is 0.
	minRefreshInterval = time.Second
)

// querySerial queries the zone's serial; it is nil if the server's response is not authoritative or has no SOA record.
func (p *poller) querySerial(ctx context.Context) (*uint32, error) {
	response, err := p.client.Query(ctx, p.domain, record.SOA)
	if err != nil {
		return nil, err
	}
	for _, r := range response.Records {
		if response.Authoritative { // a serial from a resolver's cache may be outdated
			return &r.Serial, nil
		}
	}
	return nil, nil
}

// queryList queries the list of instances. If serial is not nil, the list must come from a server whose serial is not
// older: serial and list are queried over one socket until that is so, at most maxListAttempts times.
func (p *poller) queryList(ctx context.Context, key record.Key, serial *uint32) (resolver.Response, error) {
	if serial == nil {
		return p.client.Query(ctx, key.Name, key.Kind)
	}
	for range maxListAttempts {
		listSerial, response, err := p.client.QueryWithSerial(ctx, p.domain, key.Name, key.Kind)
		if err != nil || listSerial == nil || !record.SerialNewer(*serial, *listSerial) {
			return response, err
		}
	}
	return resolver.Response{}, fmt.Errorf(
		"PTR %s: every response came from a server with an outdated serial",
		key.Name,
	)
}

// queryResult is the result of one of several concurrent queries.
type queryResult struct {
	key      record.Key
	response resolver.Response
	err      error
}

// queryKeys queries several sets concurrently, stores the responses, and reports whether any set has changed. A failed
// query is retried at a later refresh.
func (p *poller) queryKeys(ctx context.Context, keys []record.Key, hasSerial bool) (changed bool) {
	results := make(chan queryResult, maxConcurrentQueries)
	go func() {
		defer close(results)
		var group errgroup.Group
		group.SetLimit(maxConcurrentQueries)
		for _, key := range keys {
			group.Go(func() error {
				response, err := p.client.Query(ctx, key.Name, key.Kind)
				results <- queryResult{key: key, response: response, err: err}
				return nil
			})
		}
		_ = group.Wait() // errors are passed in results
	}()
	for result := range results {
		if result.err != nil {
			if ctx.Err() == nil { // otherwise the query was cancelled, and the set stays due
				retryAt := clock.Of(time.Now().Add(failureRetryDelay))
				p.cache.RecordFailure(result.key, result.err.Error(), retryAt)
			}
			continue
		}
		response := result.response
		changed = p.store(result.key, response.Records, response.NegativeTTL, hasSerial) || changed
		changed = p.storeAdditional(response.Additional, hasSerial) || changed
	}
	return changed
}

// store puts the records of a response into the cache and schedules the next query of the set at a random time in the
// last quarter of its TTL. If the server has no serial to indicate changes, the set is queried again within
// RefreshInterval. store reports whether the set has changed.
func (p *poller) store(key record.Key, records []record.Record, negativeTTL uint32, hasSerial bool) bool {
	now := clock.Now()
	changed := p.cache.Put(key, records, negativeTTL, now)
	set := p.cache.Get(key.Name, key.Kind)
	if set == nil {
		return changed // the cache is full
	}
	lifetime := max(set.ExpiresAt-now, int64(minRefreshInterval))
	if !hasSerial {
		lifetime = min(lifetime, int64(p.RefreshInterval))
	}
	set.RefreshAt = now + lifetime*3/4 + rand.Int64N(lifetime/4+1)
	return changed
}

// storeAdditional stores those additional records of a response whose sets are unknown or due, and reports whether any
// set has changed.
func (p *poller) storeAdditional(records []record.Record, hasSerial bool) (changed bool) {
	sets := map[record.Key][]record.Record{}
	for _, r := range records {
		key := record.Key{Name: r.Name, Kind: r.Kind}
		sets[key] = append(sets[key], r)
	}
	now := clock.Now()
	for key, set := range sets {
		if known := p.cache.Get(key.Name, key.Kind); known == nil || known.RefreshAt <= now {
			changed = p.store(key, set, 0, hasSerial) || changed
		}
	}
	return changed
}
