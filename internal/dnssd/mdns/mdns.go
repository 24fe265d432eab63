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
	firstLeast = 20 * time.Millisecond // of the first question (RFC 6762, 5.2)
	firstMost  = 120 * time.Millisecond
	askFirst   = time.Second // between the first and the second; doubled each time
	askMost    = time.Hour
	// Grace is how long a record lives on after a goodbye, or after its set was told anew without it. RFC 6762, 10.1
	// and 10.2 have it 1 s; work must stop within 500 ms here, and a record that is told again within the grace
	// has never been away.
	Grace       = 200 * time.Millisecond
	recordsMost = 40_000
	messageMost = 1_400 // bytes, so that a message fits a frame
	// longest bounds a record's time, whatever it says.
	longest = 24 * time.Hour
)

// refresh are the parts of a record's time at which it is asked for again (RFC 6762, 5.2).
var refresh = [...]float64{0.80, 0.85, 0.90, 0.95}

type entry struct {
	record record.Record
	born   time.Duration
	until  time.Duration
	asked  int           // of refresh
	next   time.Duration // when to ask again; 0: not any more
}

type question struct {
	next, gap time.Duration
	asked     int
}

// Querier keeps the records of one service current. All times are spans since one moment of the caller's choice.
type Querier struct {
	Service record.Service
	Draw    func() float64 // chance, from 0 up to 1

	all       map[record.Key][]*entry
	count     int
	questions map[record.Key]*question
	wanted    map[record.Key]bool
	stirred   bool
	labels    map[string]string
}

// New makes a querier that knows nothing yet.
func New(service record.Service, draw func() float64) *Querier {
	return &Querier{Service: service, Draw: draw, all: map[record.Key][]*entry{}, questions: map[record.Key]*question{},
		labels: map[string]string{}, stirred: true}
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
			if label, _, err := record.SplitInstance(r.Target); err == nil && len(q.labels) < 2*record.InstancesMost {
				q.labels[record.CanonicalName(r.Target)] = label
			}
		}
		k := record.Key{Name: r.Name, Kind: r.Kind}
		told[k] = append(told[k], r)
		changed = q.take(k, r, now) || changed
	}
	for k, records := range told {
		if slices.ContainsFunc(records, func(r record.Record) bool { return r.Flush }) {
			changed = q.flush(k, records, now) || changed
		}
	}
	q.stirred = q.stirred || changed
	return changed
}

func (q *Querier) take(k record.Key, r record.Record, now time.Duration) bool {
	for _, e := range q.all[k] {
		if !alike(e.record, r) {
			continue
		}
		if r.TTL == 0 { // a goodbye
			if e.until <= now+Grace {
				return false
			}
			e.until, e.next = now+Grace, 0
			return true
		}
		noticed := e.next == 0 && e.until <= now+Grace
		e.record, e.born, e.asked = r, now, 0
		e.until = now + min(time.Duration(r.TTL)*time.Second, longest)
		q.plan(e)
		return noticed
	}
	if r.TTL == 0 || q.count >= recordsMost {
		return false
	}
	e := &entry{record: r, born: now, until: now + min(time.Duration(r.TTL)*time.Second, longest)}
	q.plan(e)
	q.all[k] = append(q.all[k], e)
	q.count++
	return true
}

// plan says when a record is asked for again, with up to 2% of its time as jitter.
func (q *Querier) plan(e *entry) {
	if e.asked == len(refresh) {
		e.next = 0
		return
	}
	part := refresh[e.asked] + 0.02*q.Draw()
	e.next = e.born + time.Duration(part*float64(e.until-e.born))
}

// flush gives notice to the records of a set that was told whole and without them (the cache-flush bit).
func (q *Querier) flush(k record.Key, told []record.Record, now time.Duration) (changed bool) {
	for _, e := range q.all[k] {
		// What came just before may be the same set's other part (RFC 6762, 10.2).
		if e.until > now+Grace && now-e.born > Grace && !slices.ContainsFunc(told, func(r record.Record) bool { return alike(e.record, r) }) {
			e.until, e.next, changed = now+Grace, 0, true
		}
	}
	return changed
}

func alike(a, b record.Record) bool {
	a.TTL, a.Flush, b.TTL, b.Flush = 0, false, 0, false
	if a.Kind == record.PTR {
		a.Target, b.Target = record.CanonicalName(a.Target), record.CanonicalName(b.Target)
	}
	return a == b
}

// Expire drops what has come to the end of its time, and tells whether there was any.
func (q *Querier) Expire(now time.Duration) bool {
	gone := false
	for k, list := range q.all {
		kept := list[:0]
		for _, e := range list {
			if e.until > now {
				kept = append(kept, e)
			}
		}
		if len(kept) < len(list) {
			gone = true
			q.count -= len(list) - len(kept)
			if q.all[k] = kept; len(kept) == 0 {
				delete(q.all, k)
			}
		}
	}
	q.stirred = q.stirred || gone
	return gone
}

// View is what is known now, with the label of each instance. Times in it are nanoseconds from the moment epoch.
func (q *Querier) View(epoch int64) (*record.Cache, map[string]string) {
	v := record.NewCache()
	for _, list := range q.all {
		for _, e := range list {
			v.Add(e.record, max(1, epoch+int64(e.born)))
		}
	}
	// A host that has told one kind of address and not the other has none of that (RFC 6762, 6.1: it would have told).
	for k := range q.all {
		if k.Kind == record.AAAA && len(q.all[record.Key{Name: k.Name, Kind: record.A}]) == 0 {
			v.Put(record.Key{Name: k.Name, Kind: record.A}, nil, 1, max(1, epoch))
		}
	}
	return v, q.labels
}

// Due are the messages that are to be sent now, and when to ask again.
func (q *Querier) Due(now time.Duration) (messages []*dns.Msg, next time.Duration) {
	if q.stirred {
		q.want()
		q.stirred = false
	}
	next = now + askMost
	var ask []record.Key
	for k := range q.wanted {
		s := q.questions[k]
		if s == nil {
			wait := firstLeast + time.Duration(q.Draw()*float64(firstMost-firstLeast))
			s = &question{next: now + wait, gap: askFirst}
			q.questions[k] = s
		}
		due := s.next <= now
		if due {
			s.next = now + s.gap
			s.gap = min(2*s.gap, askMost)
			s.asked++
		}
		answered := len(q.all[k]) > 0
		if k.Kind != record.PTR && answered {
			due, s.gap, s.next = false, askFirst, now+askFirst // unique sets are refreshed below, not asked for again
		}
		for _, e := range q.all[k] {
			if e.next == 0 {
				continue
			}
			if e.next <= now {
				due = true
				e.asked++
				q.plan(e)
			}
			if e.next != 0 {
				next = min(next, e.next)
			}
		}
		if due {
			ask = append(ask, k)
		}
		if k.Kind == record.PTR || !answered {
			next = min(next, s.next)
		}
	}
	for _, list := range q.all {
		for _, e := range list {
			next = min(next, e.until)
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
	return q.write(ask, now), max(next, now+time.Millisecond)
}

// want works out what is to be known: the list, and each instance's records.
func (q *Querier) want() {
	v, _ := q.View(0)
	q.wanted = map[record.Key]bool{{Name: q.Service.List(), Kind: record.PTR}: true}
	names, _ := v.Instances(q.Service)
	for _, name := range names {
		for _, k := range v.Wants(name) {
			q.wanted[k] = true
		}
	}
	for k := range q.questions {
		if !q.wanted[k] {
			delete(q.questions, k)
		}
	}
	for k := range q.all {
		// What nobody wants is kept while it lives, as it may be of an instance that is told next.
		if k.Kind == record.PTR && k.Name != q.Service.List() {
			q.count -= len(q.all[k])
			delete(q.all, k)
		}
	}
	for name := range q.labels {
		if len(q.labels) > record.InstancesMost && !q.wanted[record.Key{Name: name, Kind: record.SRV}] {
			delete(q.labels, name)
		}
	}
}

// write makes messages of the questions, with the list's known answers (RFC 6762, 7.1): those with more than half of
// their time left. What does not fit one message goes on in the next, the TC bit set in all but the last (7.2).
func (q *Querier) write(ask []record.Key, now time.Duration) (messages []*dns.Msg) {
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
		for _, e := range q.all[record.Key{Name: q.Service.List(), Kind: record.PTR}] {
			if left := e.until - now; left <= (e.until-e.born)/2 {
				continue
			}
			rr := &dns.PTR{Hdr: dns.RR_Header{Name: e.record.Name, Rrtype: dns.TypePTR, Class: dns.ClassINET,
				Ttl: uint32((e.until - now) / time.Second)}, Ptr: e.record.Target}
			if n := dns.Len(rr); size+n > messageMost {
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
