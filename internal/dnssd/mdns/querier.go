// Package mdns is a Multicast DNS querier (RFC 6762) without transport and clock: the caller passes the received
// messages and the time, and gets the messages to send and the time of the next call. It neither probes nor responds.
package mdns

import (
	"slices"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

const (
	// GracePeriod is how long a record remains valid after a goodbye, or after a cache flush without it. RFC 6762, 10.1
	// and 10.2 specify 1 s, but requests must stop within 500 ms after a withdrawal. A record that is received again
	// within the grace period has been valid throughout.
	GracePeriod = 200 * time.Millisecond
	// maxRecords is the maximum number of cached records.
	maxRecords = 40_000
	// maxLabels is the maximum number of cached instance labels, including those of instances that are not listed.
	maxLabels = 2 * record.MaxInstances
	// maxTTL is the longest time for which records are cached, even if their TTL is longer.
	maxTTL = 24 * time.Hour
)

// entry is a cached record. Its times are relative to the querier's reference time.
type entry struct {
	record       record.Record
	receivedAt   time.Duration // time at which the record was last received
	expiresAt    time.Duration // time at which the record expires
	refreshCount int           // number of queries sent to refresh the record since it was last received
	refreshAt    time.Duration // time at which the next of these queries is sent; 0 if no more are sent
}

// update updates the entry with a record received now. The caller must then set refreshAt by scheduleRefresh.
func (e *entry) update(r record.Record, now time.Duration) {
	e.record = r
	e.receivedAt = now
	e.expiresAt = now + min(time.Duration(r.TTL)*time.Second, maxTTL)
	e.refreshCount = 0
}

// startGracePeriod makes the record expire after the grace period, without a refresh.
func (e *entry) startGracePeriod(now time.Duration) {
	e.expiresAt = now + GracePeriod
	e.refreshAt = 0
}

// Querier caches and refreshes the records of one service. All times are relative to a reference time that the caller
// chooses. It is not safe for concurrent use.
type Querier struct {
	Service record.Service
	Random  func() float64 // returns random numbers in the range from 0 to below 1

	entries    map[record.Key][]*entry
	entryCount int // number of records in entries
	questions  map[record.Key]*questionSchedule
	// required has the sets that the service and its listed instances need. requiredStale reports whether records have
	// changed since it was computed.
	required      map[record.Key]bool
	requiredStale bool
	labels        map[string]string // instance labels by canonical name
}

// New returns a querier without records. random returns random numbers in the range from 0 to below 1.
func New(service record.Service, random func() float64) *Querier {
	return &Querier{
		Service:       service,
		Random:        random,
		entries:       map[record.Key][]*entry{},
		questions:     map[record.Key]*questionSchedule{},
		labels:        map[string]string{},
		requiredStale: true,
	}
}

// listKey returns the key of the PTR records that list the instances.
func (q *Querier) listKey() record.Key {
	return record.Key{Name: q.Service.ListName(), Kind: record.PTR}
}

// Handle handles a message and reports whether any record was added, will expire after the grace period, or no longer
// will. Messages that are not responses, or have an opcode or response code other than 0, are ignored (RFC 6762, 18).
func (q *Querier) Handle(message *dns.Msg, now time.Duration) bool {
	if !message.Response || message.Opcode != dns.OpcodeQuery || message.Rcode != dns.RcodeSuccess {
		return false
	}
	changed := false
	received := map[record.Key][]record.Record{}
	for _, r := range q.relevantRecords(message) {
		if r.Kind == record.PTR {
			q.storeLabel(r.Target)
		}
		key := record.Key{Name: r.Name, Kind: r.Kind}
		received[key] = append(received[key], r)
		changed = q.storeRecord(key, r, now) || changed
	}
	for key, records := range received {
		if slices.ContainsFunc(records, func(r record.Record) bool { return r.CacheFlush }) {
			changed = q.expireMissing(key, records, now) || changed
		}
	}
	q.requiredStale = q.requiredStale || changed
	return changed
}

// relevantRecords returns a message's records within the service's domain, except for SOA records.
func (q *Querier) relevantRecords(message *dns.Msg) (records []record.Record) {
	domain := record.CanonicalName(q.Service.Domain)
	for _, rr := range append(slices.Clone(message.Answer), message.Extra...) {
		r, ok := record.Decode(rr)
		if ok && record.Within(r.Name, domain) && r.Kind != record.SOA {
			records = append(records, r)
		}
	}
	return records
}

// storeLabel stores the label of an instance, in the case that was sent, unless there are maxLabels.
func (q *Querier) storeLabel(instance string) {
	label, _, err := record.SplitInstance(instance)
	if err == nil && len(q.labels) < maxLabels {
		q.labels[record.CanonicalName(instance)] = label
	}
}

// storeRecord stores one record and reports whether it is new, will expire after the grace period, or no longer will.
func (q *Querier) storeRecord(key record.Key, r record.Record, now time.Duration) bool {
	for _, known := range q.entries[key] {
		if known.record.EqualIgnoringTTL(r) {
			return q.updateEntry(known, r, now)
		}
	}
	if r.TTL == 0 || q.entryCount >= maxRecords {
		return false
	}
	added := &entry{}
	added.update(r, now)
	q.scheduleRefresh(added)
	q.entries[key] = append(q.entries[key], added)
	q.entryCount++
	return true
}

// updateEntry updates a cached record that was received again or with a goodbye. It reports whether the record will
// expire after the grace period, or no longer will.
func (q *Querier) updateEntry(known *entry, r record.Record, now time.Duration) bool {
	expiring := known.expiresAt <= now+GracePeriod
	if r.TTL == 0 { // a goodbye
		if expiring {
			return false
		}
		known.startGracePeriod(now)
		return true
	}
	revived := known.refreshAt == 0 && expiring
	known.update(r, now)
	q.scheduleRefresh(known)
	return revived
}

// expireMissing starts the grace period of the cached records that are missing in a set received with the cache-flush
// bit, and reports whether there are any.
func (q *Querier) expireMissing(key record.Key, received []record.Record, now time.Duration) (changed bool) {
	for _, known := range q.entries[key] {
		// A record received shortly before may be another part of the same set (RFC 6762, 10.2).
		recent := now-known.receivedAt <= GracePeriod
		expiring := known.expiresAt <= now+GracePeriod
		if recent || expiring || slices.ContainsFunc(received, known.record.EqualIgnoringTTL) {
			continue
		}
		known.startGracePeriod(now)
		changed = true
	}
	return changed
}

// Expire deletes expired records and reports whether there were any.
func (q *Querier) Expire(now time.Duration) bool {
	expired := false
	for key, entries := range q.entries {
		live := entries[:0]
		for _, e := range entries {
			if e.expiresAt > now {
				live = append(live, e)
			}
		}
		if len(live) == len(entries) {
			continue
		}
		expired = true
		q.entryCount -= len(entries) - len(live)
		q.entries[key] = live
		if len(live) == 0 {
			delete(q.entries, key)
		}
	}
	q.requiredStale = q.requiredStale || expired
	return expired
}

// Cache returns the cached records, and the instance labels by canonical name. Times in the returned cache are in
// nanoseconds, where epoch is the querier's reference time. The map of labels is shared with the querier and valid
// until its next method call.
func (q *Querier) Cache(epoch int64) (*record.Cache, map[string]string) {
	cache := record.NewCache()
	for _, entries := range q.entries {
		for _, e := range entries {
			cache.Add(e.record, max(1, epoch+int64(e.receivedAt)))
		}
	}
	// A host that has sent AAAA records without A records has no A records: it would have sent them in the same message
	// (RFC 6762, 6.1).
	for key := range q.entries {
		ipv4 := record.Key{Name: key.Name, Kind: record.A}
		if key.Kind == record.AAAA && len(q.entries[ipv4]) == 0 {
			cache.Put(ipv4, nil, 1, max(1, epoch))
		}
	}
	return cache, q.labels
}
