package record

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Limits of a Cache.
const (
	// MaxSets is the maximum number of sets; further ones are not stored.
	MaxSets = 40_000
	// maxRecordsPerSet is the maximum number of records in a set.
	maxRecordsPerSet = 8192
	// maxNegativeTTL is the longest time for which the absence of records is cached, even if the SOA record allows
	// more: an instance that is published shortly afterwards must be discovered soon.
	maxNegativeTTL = 5 * time.Second
	// maxTTL is the longest time for which records are cached, even if their TTL is longer.
	maxTTL = 24 * time.Hour
	// maxPairwiseComparison is the number of records up to which sets are compared pairwise, without hashing.
	maxPairwiseComparison = 16
)

// Key identifies a set of records.
type Key struct {
	Name string // canonical name
	Kind Kind
}

// Set has the cached records of a key. Times are in nanoseconds.
type Set struct {
	Records    []Record // empty if the server has reported that there are none (RFC 2308)
	ReceivedAt int64    // time of the latest response; 0 if all queries have failed
	ExpiresAt  int64    // time at which the records' TTL ends
	RefreshAt  int64    // time at which the set is due to be queried again
	Failure    string   // error of the latest query; "" if it succeeded
}

// Cache has the cached records of a domain. It is not safe for concurrent use.
type Cache struct{ sets map[Key]*Set }

// NewCache returns an empty Cache.
func NewCache() *Cache { return &Cache{sets: map[Key]*Set{}} }

// Len returns the number of sets.
func (c *Cache) Len() int { return len(c.sets) }

// Get returns the set of a key, or nil if there is none.
func (c *Cache) Get(name string, kind Kind) *Set { return c.sets[Key{name, kind}] }

// Records returns the records of a key.
func (c *Cache) Records(name string, kind Kind) []Record {
	if set := c.sets[Key{name, kind}]; set != nil {
		return set.Records
	}
	return nil
}

// getOrAdd returns the set of a key, which is added if it is missing, or nil if the cache is full.
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

// Put replaces a set by the records of a complete response. If there are none, their absence is cached for negativeTTL
// seconds, at most 5 s. Put reports whether the set has changed.
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
	changed := set.ReceivedAt == 0 || !equalRecords(set.Records, records)
	set.Records = records
	set.markReceived(now, now+int64(lifetime))
	set.RefreshAt = set.ExpiresAt
	return changed
}

// markReceived records that the set was received now, and when its TTL ends.
func (s *Set) markReceived(now, expiresAt int64) {
	s.ReceivedAt = now
	s.ExpiresAt = expiresAt
	s.Failure = ""
}

// equalRecords reports whether two sets have the same records, in any order and with any TTL.
func equalRecords(a, b []Record) bool {
	if len(a) != len(b) {
		return false
	}
	if len(a) > maxPairwiseComparison {
		return equalLargeSets(a, b)
	}
	for _, r := range a {
		if !slices.ContainsFunc(b, r.EqualIgnoringTTL) {
			return false
		}
	}
	return true
}

// equalLargeSets does the work of equalRecords in linear time, for two sets of the same size.
func equalLargeSets(a, b []Record) bool {
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

// RecordFailure records the error of a failed query and the time at which the set is due again. Cached records remain.
func (c *Cache) RecordFailure(key Key, failure string, retryAt int64) {
	set := c.getOrAdd(key)
	if set == nil {
		return
	}
	set.Failure = failure
	set.RefreshAt = retryAt
}

// Add adds one record, as received by push or mDNS, and reports whether it is new.
func (c *Cache) Add(r Record, now int64) bool {
	set := c.getOrAdd(Key{r.Name, r.Kind})
	if set == nil {
		return false
	}
	expiresAt := now + int64(min(time.Duration(r.TTL)*time.Second, maxTTL))
	for i, known := range set.Records {
		if known.EqualIgnoringTTL(r) {
			set.Records[i].TTL = r.TTL
			set.markReceived(now, expiresAt)
			return false
		}
	}
	if len(set.Records) >= maxRecordsPerSet {
		return false
	}
	set.Records = append(slices.Clone(set.Records), r)
	set.markReceived(now, expiresAt)
	return true
}

// Remove removes one record and reports whether it was in the cache.
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

// Clear removes the records of one kind at a name, or of all kinds if kind is 0, and reports whether there were any.
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

// Invalidate makes every set due now, because the zone has changed.
func (c *Cache) Invalidate(now int64) {
	for _, set := range c.sets {
		set.RefreshAt = min(set.RefreshAt, now)
	}
}

// NextRefresh returns the earliest time at which a set is due, or math.MaxInt64 if the cache is empty.
func (c *Cache) NextRefresh() int64 {
	next := int64(math.MaxInt64)
	for _, set := range c.sets {
		next = min(next, set.RefreshAt)
	}
	return next
}

// Retain deletes the sets that are not required.
func (c *Cache) Retain(required map[Key]bool) {
	for key := range c.sets {
		if !required[key] {
			delete(c.sets, key)
		}
	}
}
