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
	maxConcurrentQueries = 32
	// maxListAttempts is how often a list is queried that comes from a server which is behind.
	maxListAttempts = 6
	// failureRetryDelay is when a set is queried again after a failure.
	failureRetryDelay = time.Second
	// minRefreshInterval bounds how often a set is queried whose TTL is 0 or nearly so.
	minRefreshInterval = time.Second
)

// querySerial queries the zone's serial; it is nil where the server reports none with authority.
func (p *poller) querySerial(ctx context.Context) (*uint32, error) {
	answer, err := p.client.Query(ctx, p.domain, record.SOA)
	if err != nil {
		return nil, err
	}
	for _, r := range answer.Records {
		if answer.Authoritative { // one from a resolver's cache may be old
			return &r.Serial, nil
		}
	}
	return nil, nil
}

// queryList queries the list of instances. With a serial the list must come from a server that is no older than the one
// which reported that serial: serial and list are queried from one socket until they fit.
func (p *poller) queryList(ctx context.Context, key record.Key, serial *uint32) (resolver.Answer, error) {
	if serial == nil {
		return p.client.Query(ctx, key.Name, key.Kind)
	}
	for range maxListAttempts {
		listSerial, answer, err := p.client.QueryWithSerial(ctx, p.domain, key.Name, key.Kind)
		if err != nil || listSerial == nil || !record.SerialNewer(*serial, *listSerial) {
			return answer, err
		}
	}
	return resolver.Answer{}, fmt.Errorf(
		"PTR %s: its servers differ, and the one that is ahead does not answer",
		key.Name,
	)
}

// queryResult is the outcome of one of several concurrent queries.
type queryResult struct {
	key    record.Key
	answer resolver.Answer
	err    error
}

// queryKeys queries several sets concurrently, stores the answers, and reports whether any has changed. A query that
// failed is retried at a later refresh.
func (p *poller) queryKeys(ctx context.Context, keys []record.Key, hasSerial bool) (changed bool) {
	results := make(chan queryResult, maxConcurrentQueries)
	go func() {
		defer close(results)
		var group errgroup.Group
		group.SetLimit(maxConcurrentQueries)
		for _, key := range keys {
			group.Go(func() error {
				answer, err := p.client.Query(ctx, key.Name, key.Kind)
				results <- queryResult{key: key, answer: answer, err: err}
				return nil
			})
		}
		_ = group.Wait() // the errors are in the results
	}()
	for result := range results {
		if result.err != nil {
			if ctx.Err() == nil { // otherwise the query was cut short, and the set stays due
				retryAt := clock.Of(time.Now().Add(failureRetryDelay))
				p.cache.RecordFailure(result.key, result.err.Error(), retryAt)
			}
			continue
		}
		answer := result.answer
		changed = p.store(result.key, answer.Records, answer.NegativeTTL, hasSerial) || changed
		changed = p.storeAdditional(answer.Additional, hasSerial) || changed
	}
	return changed
}

// store puts an answer into the cache and schedules the next query of the set, in the last quarter of its TTL. Where
// the server has no serial that would show a change, the set is queried again within RefreshInterval.
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

// storeAdditional stores the additional records of an answer, as far as they would be due anyway.
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
