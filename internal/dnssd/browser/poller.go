package browser

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/clock"
	"standpoint/internal/dnssd/record"
	"standpoint/internal/transient"
)

const (
	// staleSerialGrace is how long an older serial must be reported before it is accepted.
	staleSerialGrace = 10 * time.Second
	// lookupRounds is the number of rounds of queries that an instance's records may need: SRV and TXT, then A, then
	// AAAA.
	lookupRounds = 3
	// roundTimeout bounds each round of queries once a complete snapshot has been published.
	roundTimeout = 200 * time.Millisecond
)

// poller browses by queries alone. It must be used by one goroutine at a time.
type poller struct {
	*Browser
	cache             *record.Cache
	labels            map[string]string // instance labels by canonical name
	serial            *uint32           // serial of the zone at the latest refresh; nil if none was reported
	serialBehindSince time.Time         // time from which only older serials have been reported; zero if none
	nextRefresh       int64             // earliest time in nanoseconds at which a cached set is due; 0 if unknown
	complete          bool              // whether a snapshot of a complete refresh has been published
	publishedAt       time.Time         // time of the latest snapshot
}

// newPoller returns a poller with an empty cache.
func newPoller(b *Browser) *poller {
	return &poller{Browser: b, cache: record.NewCache(), labels: map[string]string{}}
}

// invalidate makes the next refresh query everything again.
func (p *poller) invalidate() {
	p.cache.Invalidate(0)
	p.publishedAt = time.Time{}
}

// run polls until ctx is done.
func (p *poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.refresh(ctx)
		if ctx.Err() != nil {
			return
		}
		p.recordContact(Poll, err)
		// Jitter keeps nodes from querying at the same time.
		transient.Sleep(ctx, p.PollInterval/2+rand.N(p.PollInterval/2+1))
	}
}

// refresh queries the records that may have changed or are due, and publishes a snapshot if any record has changed or
// republishInterval has passed.
func (p *poller) refresh(ctx context.Context) error {
	serial, err := p.querySerial(ctx)
	if err != nil && p.serial != nil {
		return err // the server has reported a serial before, so it is not a server without serials
	}
	now := time.Now()
	if p.serialLags(serial, now) {
		return nil
	}
	serialChanged := p.serialDiffers(serial)
	if serial != nil && serialChanged {
		p.cache.Invalidate(clock.Of(now))
	}
	if !serialChanged && p.nextRefresh > clock.Of(now) && now.Sub(p.publishedAt) < republishInterval {
		return nil // nothing has changed, and nothing is due
	}
	listChanged, err := p.refreshList(ctx, serial, serialChanged, now)
	if err != nil {
		return err
	}
	instances := p.listedInstances()
	p.serial = serial
	required, recordsChanged := p.refreshRecords(ctx, instances, serial != nil, now)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.cache.Retain(required)
	p.nextRefresh = p.cache.NextRefresh()
	if listChanged || recordsChanged || !p.complete || now.Sub(p.publishedAt) >= republishInterval {
		p.complete = true
		p.publish(now, serial)
	}
	return nil
}

// serialDiffers reports whether the zone may have changed since the latest refresh: the serial differs or is unknown.
func (p *poller) serialDiffers(serial *uint32) bool {
	return serial == nil || p.serial == nil || *serial != *p.serial
}

// serialLags reports whether a response came from a server with an older copy of the zone than the latest refresh. Such
// a response is ignored unless only older serials have been reported for staleSerialGrace: then the zone itself was
// reset to an older serial.
func (p *poller) serialLags(serial *uint32, now time.Time) bool {
	if serial == nil || p.serial == nil || !record.SerialNewer(*p.serial, *serial) {
		p.serialBehindSince = time.Time{}
		return false
	}
	if p.serialBehindSince.IsZero() {
		p.serialBehindSince = now
	}
	return now.Sub(p.serialBehindSince) < staleSerialGrace
}

// listKey returns the key of the PTR records that list the instances.
func (p *poller) listKey() record.Key {
	return record.Key{Name: p.Service.ListName(), Kind: record.PTR}
}

// refreshList queries the list of instances if the serial has changed or the list is due, and reports whether the list
// differs from the cached one.
func (p *poller) refreshList(
	ctx context.Context, serial *uint32, serialChanged bool, now time.Time,
) (changed bool, err error) {
	list := p.listKey()
	if !serialChanged && !p.due(list, now) {
		return false, nil
	}
	response, err := p.queryList(ctx, list, serial)
	if err != nil {
		return false, err
	}
	changed = p.store(list, response.Records, response.NegativeTTL, serial != nil)
	p.storeAdditional(response.Additional, serial != nil)
	for _, r := range response.Records {
		if label, _, err := record.SplitInstance(r.Target); err == nil {
			p.labels[record.CanonicalName(r.Target)] = label
		}
	}
	if changed && p.complete {
		// Publish withdrawals before the records of new instances are queried.
		p.publish(now, serial)
	}
	return changed, nil
}

// listedInstances returns the names of the listed instances, up to record.MaxInstances.
func (p *poller) listedInstances() []string {
	names, omitted := p.cache.Instances(p.Service)
	if omitted > 0 {
		p.Log.Warn("too many instances, ignoring some",
			zap.Int("ignored", omitted), zap.Int("limit", record.MaxInstances))
	}
	return names
}

// refreshRecords queries those records of the named instances that are due. required has the keys of the list and of
// all records that the instances need; changed reports whether any record has changed.
func (p *poller) refreshRecords(
	ctx context.Context, instances []string, hasSerial bool, now time.Time,
) (required map[record.Key]bool, changed bool) {
	required = map[record.Key]bool{p.listKey(): true}
	for range lookupRounds {
		due := p.dueKeys(instances, required, now)
		if len(due) == 0 {
			continue
		}
		changed = p.queryRound(ctx, due, hasSerial) || changed
	}
	return required, changed
}

// dueKeys adds the keys that the instances need to required, and returns the added ones that are due.
func (p *poller) dueKeys(instances []string, required map[record.Key]bool, now time.Time) (due []record.Key) {
	for _, name := range instances {
		for _, key := range p.cache.RequiredKeys(name) {
			if !required[key] && p.due(key, now) {
				due = append(due, key)
			}
			required[key] = true
		}
	}
	return due
}

// due reports whether a set is unknown or its refresh time has come.
func (p *poller) due(key record.Key, now time.Time) bool {
	set := p.cache.Get(key.Name, key.Kind)
	return set == nil || set.RefreshAt <= clock.Of(now)
}

// queryRound queries keys concurrently. Before the first complete snapshot it waits for all responses. Later a snapshot
// must not be delayed by a few lost packets: keys without a response within roundTimeout stay due.
func (p *poller) queryRound(ctx context.Context, keys []record.Key, hasSerial bool) (changed bool) {
	if p.complete {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, roundTimeout)
		defer cancel()
	}
	return p.queryKeys(ctx, keys, hasSerial)
}

// publish publishes a snapshot of the cache.
func (p *poller) publish(now time.Time, serial *uint32) {
	p.publishedAt = now
	p.Publish(newSnapshot(p.cache, p.Service, p.labels, Snapshot{Serial: serial, Mechanism: Poll, ObservedAt: now}))
}
