// Package mdns is a querier of Multicast DNS (RFC 6762) without its transport: it is handed the messages that arrive
// and the time, and says what to send and when it wants to be asked again. Where the messages go, and whether anything
// is ever multicast, is its caller's business. Probing and answering are not part of it.
package mdns

import (
	"slices"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

// Times of the querier.
const (
	minInitialDelay = 20 * time.Millisecond // of the first question (RFC 6762, 5.2)
	maxInitialDelay = 120 * time.Millisecond
	initialInterval = time.Second // between the first and the second; doubled each time
	maxInterval     = time.Hour
	// GracePeriod is how long a record lives on after a goodbye, or after its set was told anew without it. RFC 6762, 10.1
	// and 10.2 have it 1 s; work must stop within 500 ms here, and a record that is told again within the grace
	// has never been away.
	GracePeriod    = 200 * time.Millisecond
	maxRecords     = 40_000
	maxMessageSize = 1_400 // bytes, so that a message fits a frame
	// maxTTL bounds a record's time, whatever it says.
	maxTTL = 24 * time.Hour
)

// refreshPoints are the parts of a record's time at which it is asked for again (RFC 6762, 5.2).
var refreshPoints = [...]float64{0.80, 0.85, 0.90, 0.95}

type entry struct {
	record       record.Record
	receivedAt   time.Duration
	expiresAt    time.Duration
	refreshCount int           // of refresh
	refreshAt    time.Duration // when to ask again; 0: not any more
}

type question struct {
	sendAt, interval time.Duration
	sent             int
}

// Querier keeps the records of one service current. All times are spans since one moment of the caller's choice.
type Querier struct {
	Service record.Service
	Random  func() float64 // chance, from 0 up to 1

	entries     map[record.Key][]*entry
	entryCount  int
	questions   map[record.Key]*question
	wanted      map[record.Key]bool
	wantedStale bool
	labels      map[string]string
}

// New makes a querier that knows nothing yet.
func New(service record.Service, draw func() float64) *Querier {
	return &Querier{Service: service, Random: draw, entries: map[record.Key][]*entry{}, questions: map[record.Key]*question{},
		labels: map[string]string{}, wantedStale: true}
}

// Handle takes in a message and tells whether any record has come, gone or been given notice. Messages that are no
// responses, or tell of another opcode or an error, say nothing (RFC 6762, 18).
func (q *Querier) Handle(m *dns.Msg, now time.Duration) bool {
	if !m.Response || m.Opcode != dns.OpcodeQuery || m.Rcode != dns.RcodeSuccess {
		return false
	}
	domain := record.CanonicalName(q.Service.Domain)
	changed := false
	told := map[record.Key][]record.Record{}
	for _, rr := range append(slices.Clone(m.Answer), m.Extra...) {
		r, ok := record.Decode(rr)
		if !ok || !record.Within(r.Name, domain) || r.Kind == record.SOA {
			continue
		}
		if r.Kind == record.PTR {
			if label, _, err := record.SplitInstance(r.Target); err == nil && len(q.labels) < 2*record.MaxInstances {
				q.labels[record.CanonicalName(r.Target)] = label
			}
		}
		k := record.Key{Name: r.Name, Kind: r.Kind}
		told[k] = append(told[k], r)
		changed = q.storeRecord(k, r, now) || changed
	}
	for k, records := range told {
		if slices.ContainsFunc(records, func(r record.Record) bool { return r.CacheFlush }) {
			changed = q.expireMissing(k, records, now) || changed
		}
	}
	q.wantedStale = q.wantedStale || changed
	return changed
}

func (q *Querier) storeRecord(k record.Key, r record.Record, now time.Duration) bool {
	for _, e := range q.entries[k] {
		if !sameRecord(e.record, r) {
			continue
		}
		if r.TTL == 0 { // a goodbye
			if e.expiresAt <= now+GracePeriod {
				return false
			}
			e.expiresAt, e.refreshAt = now+GracePeriod, 0
			return true
		}
		noticed := e.refreshAt == 0 && e.expiresAt <= now+GracePeriod
		e.record, e.receivedAt, e.refreshCount = r, now, 0
		e.expiresAt = now + min(time.Duration(r.TTL)*time.Second, maxTTL)
		q.scheduleRefresh(e)
		return noticed
	}
	if r.TTL == 0 || q.entryCount >= maxRecords {
		return false
	}
	e := &entry{record: r, receivedAt: now, expiresAt: now + min(time.Duration(r.TTL)*time.Second, maxTTL)}
	q.scheduleRefresh(e)
	q.entries[k] = append(q.entries[k], e)
	q.entryCount++
	return true
}

// scheduleRefresh says when a record is asked for again, with up to 2% of its time as jitter.
func (q *Querier) scheduleRefresh(e *entry) {
	if e.refreshCount == len(refreshPoints) {
		e.refreshAt = 0
		return
	}
	part := refreshPoints[e.refreshCount] + 0.02*q.Random()
	e.refreshAt = e.receivedAt + time.Duration(part*float64(e.expiresAt-e.receivedAt))
}

// expireMissing gives notice to the records of a set that was told whole and without them (the cache-flush bit).
func (q *Querier) expireMissing(k record.Key, told []record.Record, now time.Duration) (changed bool) {
	for _, e := range q.entries[k] {
		// What came just before may be the same set's other part (RFC 6762, 10.2).
		if e.expiresAt > now+GracePeriod && now-e.receivedAt > GracePeriod && !slices.ContainsFunc(told, func(r record.Record) bool { return sameRecord(e.record, r) }) {
			e.expiresAt, e.refreshAt, changed = now+GracePeriod, 0, true
		}
	}
	return changed
}

func sameRecord(a, b record.Record) bool {
	a.TTL, a.CacheFlush, b.TTL, b.CacheFlush = 0, false, 0, false
	if a.Kind == record.PTR {
		a.Target, b.Target = record.CanonicalName(a.Target), record.CanonicalName(b.Target)
	}
	return a == b
}

// Expire drops what has come to the end of its time, and tells whether there was any.
func (q *Querier) Expire(now time.Duration) bool {
	gone := false
	for k, list := range q.entries {
		kept := list[:0]
		for _, e := range list {
			if e.expiresAt > now {
				kept = append(kept, e)
			}
		}
		if len(kept) < len(list) {
			gone = true
			q.entryCount -= len(list) - len(kept)
			if q.entries[k] = kept; len(kept) == 0 {
				delete(q.entries, k)
			}
		}
	}
	q.wantedStale = q.wantedStale || gone
	return gone
}

// Cache is what is known now, with the label of each instance. Times in it are nanoseconds from the moment epoch.
func (q *Querier) Cache(epoch int64) (*record.Cache, map[string]string) {
	v := record.NewCache()
	for _, list := range q.entries {
		for _, e := range list {
			v.Add(e.record, max(1, epoch+int64(e.receivedAt)))
		}
	}
	// A host that has told one kind of address and not the other has none of that (RFC 6762, 6.1: it would have told).
	for k := range q.entries {
		if k.Kind == record.AAAA && len(q.entries[record.Key{Name: k.Name, Kind: record.A}]) == 0 {
			v.Put(record.Key{Name: k.Name, Kind: record.A}, nil, 1, max(1, epoch))
		}
	}
	return v, q.labels
}

// PendingQueries are the messages that are to be sent now, and when to ask again.
func (q *Querier) PendingQueries(now time.Duration) (messages []*dns.Msg, next time.Duration) {
	if q.wantedStale {
		q.updateWanted()
		q.wantedStale = false
	}
	next = now + maxInterval
	var ask []record.Key
	for k := range q.wanted {
		s := q.questions[k]
		if s == nil {
			wait := minInitialDelay + time.Duration(q.Random()*float64(maxInitialDelay-minInitialDelay))
			s = &question{sendAt: now + wait, interval: initialInterval}
			q.questions[k] = s
		}
		due := s.sendAt <= now
		if due {
			s.sendAt = now + s.interval
			s.interval = min(2*s.interval, maxInterval)
			s.sent++
		}
		answered := len(q.entries[k]) > 0
		if k.Kind != record.PTR && answered {
			due, s.interval, s.sendAt = false, initialInterval, now+initialInterval // unique sets are refreshed below, not asked for again
		}
		for _, e := range q.entries[k] {
			if e.refreshAt == 0 {
				continue
			}
			if e.refreshAt <= now {
				due = true
				e.refreshCount++
				q.scheduleRefresh(e)
			}
			if e.refreshAt != 0 {
				next = min(next, e.refreshAt)
			}
		}
		if due {
			ask = append(ask, k)
		}
		if k.Kind == record.PTR || !answered {
			next = min(next, s.sendAt)
		}
	}
	for _, list := range q.entries {
		for _, e := range list {
			next = min(next, e.expiresAt)
		}
	}
	slices.SortFunc(ask, func(a, b record.Key) int {
		if a.Kind != b.Kind {
			return int(a.Kind) - int(b.Kind)
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return q.buildMessages(ask, now), max(next, now+time.Millisecond)
}

// updateWanted works out what is to be known: the list, and each instance's records.
func (q *Querier) updateWanted() {
	v, _ := q.Cache(0)
	q.wanted = map[record.Key]bool{{Name: q.Service.ListName(), Kind: record.PTR}: true}
	names, _ := v.Instances(q.Service)
	for _, name := range names {
		for _, k := range v.RequiredKeys(name) {
			q.wanted[k] = true
		}
	}
	for k := range q.questions {
		if !q.wanted[k] {
			delete(q.questions, k)
		}
	}
	for k := range q.entries {
		// What nobody wants is kept while it lives, as it may be of an instance that is told next.
		if k.Kind == record.PTR && k.Name != q.Service.ListName() {
			q.entryCount -= len(q.entries[k])
			delete(q.entries, k)
		}
	}
	for name := range q.labels {
		if len(q.labels) > record.MaxInstances && !q.wanted[record.Key{Name: name, Kind: record.SRV}] {
			delete(q.labels, name)
		}
	}
}

// buildMessages makes messages of the questions, with the list's known answers (RFC 6762, 7.1): those with more than half of
// their time left. What does not fit one message goes on in the next, the TC bit set in all but the last (7.2).
func (q *Querier) buildMessages(ask []record.Key, now time.Duration) (messages []*dns.Msg) {
	const questionsMost = 20
	for part := range slices.Chunk(ask, questionsMost) {
		m := new(dns.Msg)
		listed := false
		for _, k := range part {
			m.Question = append(m.Question, dns.Question{Name: k.Name, Qtype: uint16(k.Kind), Qclass: dns.ClassINET})
			listed = listed || k.Kind == record.PTR
		}
		messages = append(messages, m)
		if !listed {
			continue
		}
		size := m.Len()
		for _, e := range q.entries[record.Key{Name: q.Service.ListName(), Kind: record.PTR}] {
			if left := e.expiresAt - now; left <= (e.expiresAt-e.receivedAt)/2 {
				continue
			}
			rr := &dns.PTR{Hdr: dns.RR_Header{Name: e.record.Name, Rrtype: dns.TypePTR, Class: dns.ClassINET,
				Ttl: uint32((e.expiresAt - now) / time.Second)}, Ptr: e.record.Target}
			if n := dns.Len(rr); size+n > maxMessageSize {
				m.Truncated = true
				m = new(dns.Msg)
				messages = append(messages, m)
				size = m.Len() + n
			} else {
				size += n
			}
			m.Answer = append(m.Answer, rr)
		}
	}
	return messages
}
