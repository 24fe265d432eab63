// Package mdns is a querier of Multicast DNS (RFC 6762) without its transport and clock: it is given the messages that
// arrive and the time, and returns what to send and when it wants to be called again. It neither probes nor answers.
package mdns

import (
	"slices"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

const (
	// GracePeriod is how long a record lives on after a goodbye, or after its set was sent anew without it. RFC 6762,
	// 10.1 and 10.2 have it 1 s; here requests must stop within 500 ms, and a record that is sent again within the
	// grace period has never been away.
	GracePeriod = 200 * time.Millisecond
	maxRecords  = 40_000
	// maxLabels bounds the labels that are kept of instances, listed or not.
	maxLabels = 2 * record.MaxInstances
	// maxTTL bounds a record's time to live, whatever it says.
	maxTTL = 24 * time.Hour
)

// entry is a record that is known. Its times are spans since the querier's moment.
type entry struct {
	record       record.Record
	receivedAt   time.Duration
	expiresAt    time.Duration
	refreshCount int           // queries sent to refresh it
	refreshAt    time.Duration // when the next is sent; 0: none any more
}

// set notes that the record was received now.
func (e *entry) set(r record.Record, now time.Duration) {
	e.record = r
	e.receivedAt = now
	e.expiresAt = now + min(time.Duration(r.TTL)*time.Second, maxTTL)
	e.refreshCount = 0
}

// expireSoon ends the record's time after the grace period, without a refresh.
func (e *entry) expireSoon(now time.Duration) {
	e.expiresAt = now + GracePeriod
	e.refreshAt = 0
}

// Querier keeps the records of one service current. All times are spans since one moment of the caller's choice. It is
// not safe for concurrent use.
type Querier struct {
	Service record.Service
	Random  func() float64 // draws from 0 up to 1

	entries    map[record.Key][]*entry
	entryCount int
	questions  map[record.Key]*question
	// wanted are the sets that are to be known. wantedStale tells that records have changed since it was worked out.
	wanted      map[record.Key]bool
	wantedStale bool
	labels      map[string]string // of instances, by canonical name
}

// New makes a querier that knows nothing yet. random draws from 0 up to 1.
func New(service record.Service, random func() float64) *Querier {
	return &Querier{
		Service:     service,
		Random:      random,
		entries:     map[record.Key][]*entry{},
		questions:   map[record.Key]*question{},
		labels:      map[string]string{},
		wantedStale: true,
	}
}

// listKey is the set whose records list the instances.
func (q *Querier) listKey() record.Key {
	return record.Key{Name: q.Service.ListName(), Kind: record.PTR}
}

// Handle takes in a message and reports whether any record has come, gone or been given notice. Messages that are no
// responses, or have another opcode or an error, are ignored (RFC 6762, 18).
func (q *Querier) Handle(message *dns.Msg, now time.Duration) bool {
	if !message.Response || message.Opcode != dns.OpcodeQuery || message.Rcode != dns.RcodeSuccess {
		return false
	}
	changed := false
	received := map[record.Key][]record.Record{}
	for _, r := range q.relevantRecords(message) {
		if r.Kind == record.PTR {
			q.rememberLabel(r.Target)
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
	q.wantedStale = q.wantedStale || changed
	return changed
}

// relevantRecords are a message's records within the service's domain.
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

func (q *Querier) rememberLabel(instance string) {
	label, _, err := record.SplitInstance(instance)
	if err == nil && len(q.labels) < maxLabels {
		q.labels[record.CanonicalName(instance)] = label
	}
}

// storeRecord takes in one record, and reports whether it is new, was given notice or had been.
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
	added.set(r, now)
	q.scheduleRefresh(added)
	q.entries[key] = append(q.entries[key], added)
	q.entryCount++
	return true
}

// updateEntry takes in a record that is known: again, or as a goodbye.
func (q *Querier) updateEntry(known *entry, r record.Record, now time.Duration) bool {
	expiring := known.expiresAt <= now+GracePeriod
	if r.TTL == 0 { // a goodbye
		if expiring {
			return false
		}
		known.expireSoon(now)
		return true
	}
	revived := known.refreshAt == 0 && expiring
	known.set(r, now)
	q.scheduleRefresh(known)
	return revived
}

// expireMissing gives notice to the records of a set that was sent whole and without them (the cache-flush bit).
func (q *Querier) expireMissing(key record.Key, received []record.Record, now time.Duration) (changed bool) {
	for _, known := range q.entries[key] {
		// What came just before may be another part of the same set (RFC 6762, 10.2).
		recent := now-known.receivedAt <= GracePeriod
		expiring := known.expiresAt <= now+GracePeriod
		if recent || expiring || slices.ContainsFunc(received, known.record.EqualIgnoringTTL) {
			continue
		}
		known.expireSoon(now)
		changed = true
	}
	return changed
}

// Expire drops the records whose time has ended, and reports whether there were any.
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
	q.wantedStale = q.wantedStale || expired
	return expired
}

// Cache is what is known now, with the labels of the instances by canonical name. Times in the cache are nanoseconds,
// and epoch is the querier's moment in them. The labels are the querier's own, and are valid until it is called
// again.
func (q *Querier) Cache(epoch int64) (*record.Cache, map[string]string) {
	cache := record.NewCache()
	for _, entries := range q.entries {
		for _, e := range entries {
			cache.Add(e.record, max(1, epoch+int64(e.receivedAt)))
		}
	}
	// A host that has sent one kind of address and not the other has none of that: it would have sent it along (RFC
	// 6762, 6.1).
	for key := range q.entries {
		ipv4 := record.Key{Name: key.Name, Kind: record.A}
		if key.Kind == record.AAAA && len(q.entries[ipv4]) == 0 {
			cache.Put(ipv4, nil, 1, max(1, epoch))
		}
	}
	return cache, q.labels
}
