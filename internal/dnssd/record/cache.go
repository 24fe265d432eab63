package record

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Bounds of a Cache.
const (
	// MaxSets bounds the keys; further ones are not stored.
	MaxSets = 40_000
	// maxRecordsPerSet bounds the records of a key.
	maxRecordsPerSet = 8192
	// maxNegativeTTL bounds how long the lack of a record is believed, whatever the SOA says: an instance that is
	// published a moment later must not wait long.
	maxNegativeTTL = 5 * time.Second
	maxTTL         = 24 * time.Hour
	// maxScannedSet is the size up to which sets are compared record by record.
	maxScannedSet = 16
)

// Key names a set of records.
type Key struct {
	Name string // canonical
	Kind Kind
}

// Set is what is known under a key. Times are in nanoseconds.
type Set struct {
	Records    []Record // empty: there are none, as the server said (RFC 2308)
	ReceivedAt int64    // 0: nothing was received, only queries failed
	ExpiresAt  int64    // the end of its time to live
	RefreshAt  int64    // when it is to be queried again
	Failure    string   // of the latest query; "" if it was answered
}

// Cache is what is known of a domain's records. It is not safe for concurrent use.
type Cache struct{ sets map[Key]*Set }

// NewCache makes an empty Cache.
func NewCache() *Cache { return &Cache{sets: map[Key]*Set{}} }

// Len is the number of sets.
func (c *Cache) Len() int { return len(c.sets) }

// Get is the set under a key; nil if nothing is known of it.
func (c *Cache) Get(name string, kind Kind) *Set { return c.sets[Key{name, kind}] }

// Records are those under a key.
func (c *Cache) Records(name string, kind Kind) []Record {
	if set := c.sets[Key{name, kind}]; set != nil {
		return set.Records
	}
	return nil
}

// getOrAdd is the set under a key, which is added if need be; nil if the cache is full.
func (c *Cache) getOrAdd(key Key) *Set {
	set := c.sets[key]
	if set == nil {
		if len(c.sets) >= MaxSets {
			return nil
		}
		set = &Set{}
		c.sets[key] = set
	}
	return set
}

// Put replaces a set by a complete answer. Without records the answer is that there are none, which is believed for
// negativeTTL seconds, bounded to 5 s. Put reports whether anything has changed.
func (c *Cache) Put(key Key, records []Record, negativeTTL uint32, now int64) bool {
	set := c.getOrAdd(key)
	if set == nil {
		return false
	}
	lifetime := maxTTL
	if len(records) == 0 {
		lifetime = min(time.Duration(negativeTTL)*time.Second, maxNegativeTTL)
	}
	for _, r := range records {
		lifetime = min(lifetime, time.Duration(r.TTL)*time.Second)
	}
	if len(records) > maxRecordsPerSet {
		records = records[:maxRecordsPerSet]
	}
	changed := set.ReceivedAt == 0 || !sameRecords(set.Records, records)
	set.Records = records
	set.received(now, now+int64(lifetime))
	set.RefreshAt = set.ExpiresAt
	return changed
}

// received notes that a set was received, and when its time to live ends.
func (s *Set) received(now, expiresAt int64) {
	s.ReceivedAt = now
	s.ExpiresAt = expiresAt
	s.Failure = ""
}

// sameRecords reports whether two sets have the same records in any order.
func sameRecords(a, b []Record) bool {
	if len(a) != len(b) {
		return false
	}
	if len(a) > maxScannedSet {
		return sameLargeSets(a, b)
	}
	for _, r := range a {
		if !slices.ContainsFunc(b, r.EqualIgnoringTTL) {
			return false
		}
	}
	return true
}

// sameLargeSets is sameRecords in linear time.
func sameLargeSets(a, b []Record) bool {
	content := func(r Record) string {
		return fmt.Sprint(CanonicalName(r.Target), r.Server, r.Text, r.IP)
	}
	known := make(map[string]struct{}, len(a))
	for _, r := range a {
		known[content(r)] = struct{}{}
	}
	for _, r := range b {
		if _, ok := known[content(r)]; !ok {
			return false
		}
	}
	return true
}

// RecordFailure notes that a query failed, and when it is to be sent again. What was known stays.
func (c *Cache) RecordFailure(key Key, failure string, retryAt int64) {
	set := c.getOrAdd(key)
	if set == nil {
		return
	}
	set.Failure = failure
	set.RefreshAt = retryAt
}

// Add adds one record, as push and mDNS send them, and reports whether it is new.
func (c *Cache) Add(r Record, now int64) bool {
	set := c.getOrAdd(Key{r.Name, r.Kind})
	if set == nil {
		return false
	}
	expiresAt := now + int64(min(time.Duration(r.TTL)*time.Second, maxTTL))
	for i, known := range set.Records {
		if known.EqualIgnoringTTL(r) {
			set.Records[i].TTL = r.TTL
			set.received(now, expiresAt)
			return false
		}
	}
	if len(set.Records) >= maxRecordsPerSet {
		return false
	}
	set.Records = append(slices.Clone(set.Records), r)
	set.received(now, expiresAt)
	return true
}

// Remove removes one record, and reports whether it was there.
func (c *Cache) Remove(r Record, now int64) bool {
	set := c.sets[Key{r.Name, r.Kind}]
	if set == nil {
		return false
	}
	remaining := slices.DeleteFunc(slices.Clone(set.Records), r.EqualIgnoringTTL)
	removed := len(remaining) < len(set.Records)
	set.Records = remaining
	set.ReceivedAt = now
	return removed
}

// Clear empties the set of a kind at a name, or with kind 0 all sets there, and reports whether there was any record.
func (c *Cache) Clear(name string, kind Kind, now int64) bool {
	removed := false
	for _, k := range []Kind{PTR, SRV, TXT, A, AAAA} {
		set := c.sets[Key{name, k}]
		if set == nil || kind != 0 && kind != k {
			continue
		}
		removed = removed || len(set.Records) > 0
		set.Records = nil
		set.ReceivedAt = now
	}
	return removed
}

// Invalidate has every set queried again by now at the latest: the zone has changed.
func (c *Cache) Invalidate(now int64) {
	for _, set := range c.sets {
		set.RefreshAt = min(set.RefreshAt, now)
	}
}

// NextRefresh is when the first set is to be queried again.
func (c *Cache) NextRefresh() int64 {
	next := int64(math.MaxInt64)
	for _, set := range c.sets {
		next = min(next, set.RefreshAt)
	}
	return next
}

// Retain drops the sets that are not required.
func (c *Cache) Retain(required map[Key]bool) {
	for key := range c.sets {
		if !required[key] {
			delete(c.sets, key)
		}
	}
}
