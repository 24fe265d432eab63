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
	// staleSerialGrace is how long an older serial must be reported before it is believed.
	staleSerialGrace = 10 * time.Second
	// lookupWaves is how many rounds of queries an instance's records may need: SRV and TXT, then A, then AAAA.
	lookupWaves = 3
	// waveTimeout bounds each of them once a complete snapshot has been published.
	waveTimeout = 200 * time.Millisecond
)

// poller browses by queries alone. It belongs to one goroutine at a time.
type poller struct {
	*Browser
	cache       *record.Cache
	labels      map[string]string // of instances, by canonical name
	serial      *uint32           // the zone's at the last refresh
	behindSince time.Time         // since when only an older serial has been reported; zero if it is not
	nextRefresh int64             // when the first set in the cache is to be queried again; 0: not known
	complete    bool              // a snapshot of a complete refresh has been published
	publishedAt time.Time
}

func newPoller(b *Browser) *poller {
	return &poller{Browser: b, cache: record.NewCache(), labels: map[string]string{}}
}

// invalidate makes the next refresh query everything again.
func (p *poller) invalidate() {
	p.cache.Invalidate(0)
	p.publishedAt = time.Time{}
}

// run polls until ctx ends.
func (p *poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.refresh(ctx)
		if ctx.Err() != nil {
			return
		}
		p.recordContact(Poll, err)
		// With jitter, so that nodes do not query together.
		transient.Sleep(ctx, p.PollInterval/2+rand.N(p.PollInterval/2+1))
	}
}

// refresh queries what has changed or is due, and publishes a snapshot if the instances have changed.
func (p *poller) refresh(ctx context.Context) error {
	serial, err := p.querySerial(ctx)
	if err != nil && p.serial != nil {
		return err // the server reported a serial before, so that this is no server without one
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

// serialDiffers reports whether the zone may have changed since the last refresh: it has another serial, or none.
func (p *poller) serialDiffers(serial *uint32) bool {
	return serial == nil || p.serial == nil || *serial != *p.serial
}

// serialLags reports whether an answer came from a server that is behind what was known before. Such an answer is
// passed over, unless nothing newer has been reported for staleSerialGrace: then the zone itself was put back.
func (p *poller) serialLags(serial *uint32, now time.Time) bool {
	if serial == nil || p.serial == nil || !record.SerialNewer(*p.serial, *serial) {
		p.behindSince = time.Time{}
		return false
	}
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	return now.Sub(p.behindSince) < staleSerialGrace
}

// listKey is the set whose records list the instances.
func (p *poller) listKey() record.Key {
	return record.Key{Name: p.Service.ListName(), Kind: record.PTR}
}

// refreshList queries the list of instances if the serial has changed or the list is due, and reports whether the list
// has changed.
func (p *poller) refreshList(
	ctx context.Context, serial *uint32, serialChanged bool, now time.Time,
) (changed bool, err error) {
	list := p.listKey()
	if !serialChanged && !p.due(list, now) {
		return false, nil
	}
	answer, err := p.queryList(ctx, list, serial)
	if err != nil {
		return false, err
	}
	changed = p.store(list, answer.Records, answer.NegativeTTL, serial != nil)
	p.storeAdditional(answer.Additional, serial != nil)
	for _, r := range answer.Records {
		if label, _, err := record.SplitInstance(r.Target); err == nil {
			p.labels[record.CanonicalName(r.Target)] = label
		}
	}
	if changed && p.complete {
		// Withdrawals do not wait for the records of new instances.
		p.publish(now, serial)
	}
	return changed, nil
}

// listedInstances are the names of the listed instances, up to record.MaxInstances.
func (p *poller) listedInstances() []string {
	names, omitted := p.cache.Instances(p.Service)
	if omitted > 0 {
		p.Log.Warn("too many instances, ignoring some",
			zap.Int("ignored", omitted), zap.Int("limit", record.MaxInstances))
	}
	return names
}

// refreshRecords queries the records of the named instances that are due. required are the keys that the instances and
// the list need; changed tells whether any record is another.
func (p *poller) refreshRecords(
	ctx context.Context, instances []string, hasSerial bool, now time.Time,
) (required map[record.Key]bool, changed bool) {
	required = map[record.Key]bool{p.listKey(): true}
	for range lookupWaves {
		due := p.dueKeys(instances, required, now)
		if len(due) == 0 {
			continue
		}
		changed = p.queryWave(ctx, due, hasSerial) || changed
	}
	return required, changed
}

// dueKeys adds the keys that the instances need to required, and returns those that are new in it and due.
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

// due reports whether a set is unknown, or to be queried again.
func (p *poller) due(key record.Key, now time.Time) bool {
	set := p.cache.Get(key.Name, key.Kind)
	return set == nil || set.RefreshAt <= clock.Of(now)
}

// queryWave queries keys together. Before the first complete snapshot it waits for all answers. Later a snapshot must
// not wait for a few records that are lost on the way: what is not answered within waveTimeout stays due.
func (p *poller) queryWave(ctx context.Context, keys []record.Key, hasSerial bool) (changed bool) {
	if p.complete {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, waveTimeout)
		defer cancel()
	}
	return p.queryKeys(ctx, keys, hasSerial)
}

// publish publishes a snapshot of the cache.
func (p *poller) publish(now time.Time, serial *uint32) {
	p.publishedAt = now
	p.Publish(newSnapshot(p.cache, p.Service, p.labels, Snapshot{Serial: serial, Mechanism: Poll, ObservedAt: now}))
}
