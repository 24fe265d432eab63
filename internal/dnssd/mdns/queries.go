package mdns

import (
	"cmp"
	"slices"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

const (
	// The first question is sent after a random delay between these (RFC 6762, 5.2).
	minInitialDelay = 20 * time.Millisecond
	maxInitialDelay = 120 * time.Millisecond
	// initialInterval is the time between the first question and the second; it doubles each time up to maxInterval.
	initialInterval = time.Second
	maxInterval     = time.Hour
	// refreshJitter is the part of a record's time that is added to a refresh point at most (RFC 6762, 5.2).
	refreshJitter = 0.02
	// maxMessageSize is in bytes, so that a message fits an Ethernet frame.
	maxMessageSize = 1_400
	// maxQuestions is how many questions one message has at most.
	maxQuestions = 20
)

// refreshPoints are the parts of a record's time at which it is queried again (RFC 6762, 5.2).
var refreshPoints = [...]float64{0.80, 0.85, 0.90, 0.95}

// question is a wanted set's.
type question struct {
	sendAt   time.Duration
	interval time.Duration // from sendAt to the time after it
}

// scheduleRefresh works out when a record is queried again, with jitter.
func (q *Querier) scheduleRefresh(e *entry) {
	if e.refreshCount == len(refreshPoints) {
		e.refreshAt = 0
		return
	}
	part := refreshPoints[e.refreshCount] + refreshJitter*q.Random()
	e.refreshAt = e.receivedAt + time.Duration(part*float64(e.expiresAt-e.receivedAt))
}

// PendingQueries are the messages that are to be sent now, and when to call again.
func (q *Querier) PendingQueries(now time.Duration) (messages []*dns.Msg, next time.Duration) {
	if q.wantedStale {
		q.updateWanted()
		q.wantedStale = false
	}
	next = now + maxInterval
	var due []record.Key
	for key := range q.wanted {
		isDue, nextOfKey := q.advance(key, now)
		if isDue {
			due = append(due, key)
		}
		next = min(next, nextOfKey)
	}
	for _, entries := range q.entries {
		for _, e := range entries {
			next = min(next, e.expiresAt)
		}
	}
	slices.SortFunc(due, func(a, b record.Key) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return q.buildMessages(due, now), max(next, now+time.Millisecond)
}

// advance reports whether a set is to be queried now, and when to look at it again.
func (q *Querier) advance(key record.Key, now time.Duration) (due bool, next time.Duration) {
	asked := q.questionFor(key, now)
	due = asked.sendAt <= now
	if due {
		asked.sendAt = now + asked.interval
		asked.interval = min(2*asked.interval, maxInterval)
	}
	next = now + maxInterval
	answered := len(q.entries[key]) > 0
	if key.Kind != record.PTR && answered {
		// The set is unique, so that its records are refreshed and nothing more is to be found.
		due = false
		asked.interval = initialInterval
		asked.sendAt = now + initialInterval
	} else {
		next = min(next, asked.sendAt)
	}
	for _, e := range q.entries[key] {
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
	return due, next
}

// questionFor is a set's question, which is scheduled if it is new.
func (q *Querier) questionFor(key record.Key, now time.Duration) *question {
	asked := q.questions[key]
	if asked == nil {
		delay := minInitialDelay + time.Duration(q.Random()*float64(maxInitialDelay-minInitialDelay))
		asked = &question{sendAt: now + delay, interval: initialInterval}
		q.questions[key] = asked
	}
	return asked
}

// updateWanted works out what is to be known: the list, and each instance's records. What belongs to nothing wanted is
// dropped, but for records that may be of an instance which is listed next.
func (q *Querier) updateWanted() {
	cache, _ := q.Cache(0)
	q.wanted = map[record.Key]bool{q.listKey(): true}
	names, _ := cache.Instances(q.Service)
	for _, name := range names {
		for _, key := range cache.RequiredKeys(name) {
			q.wanted[key] = true
		}
	}
	for key := range q.questions {
		if !q.wanted[key] {
			delete(q.questions, key)
		}
	}
	for key := range q.entries {
		if key.Kind == record.PTR && key.Name != q.Service.ListName() {
			q.entryCount -= len(q.entries[key])
			delete(q.entries, key)
		}
	}
	for name := range q.labels {
		if len(q.labels) > record.MaxInstances && !q.wanted[record.Key{Name: name, Kind: record.SRV}] {
			delete(q.labels, name)
		}
	}
}

// buildMessages makes messages of questions. One that asks for the list has the answers known to it (RFC 6762, 7.1);
// those that do not fit follow in further messages, with the TC bit set in all but the last (7.2).
func (q *Querier) buildMessages(keys []record.Key, now time.Duration) (messages []*dns.Msg) {
	for chunk := range slices.Chunk(keys, maxQuestions) {
		message := new(dns.Msg)
		hasList := false
		for _, key := range chunk {
			message.Question = append(message.Question,
				dns.Question{Name: key.Name, Qtype: uint16(key.Kind), Qclass: dns.ClassINET})
			hasList = hasList || key.Kind == record.PTR
		}
		messages = append(messages, message)
		if hasList {
			messages = append(messages, addAnswers(message, q.knownAnswers(now))...)
		}
	}
	return messages
}

// knownAnswers are the list's records with more than half of their time left.
func (q *Querier) knownAnswers(now time.Duration) (answers []dns.RR) {
	for _, e := range q.entries[q.listKey()] {
		left := e.expiresAt - now
		if left <= (e.expiresAt-e.receivedAt)/2 {
			continue
		}
		header := dns.RR_Header{
			Name:   e.record.Name,
			Rrtype: dns.TypePTR,
			Class:  dns.ClassINET,
			Ttl:    uint32(left / time.Second),
		}
		answers = append(answers, &dns.PTR{Hdr: header, Ptr: e.record.Target})
	}
	return answers
}

// addAnswers adds answers to a message, and returns the further messages for those that do not fit.
func addAnswers(message *dns.Msg, answers []dns.RR) (further []*dns.Msg) {
	size := message.Len()
	for _, answer := range answers {
		answerSize := dns.Len(answer)
		if size+answerSize > maxMessageSize {
			message.Truncated = true
			message = new(dns.Msg)
			further = append(further, message)
			size = message.Len()
		}
		size += answerSize
		message.Answer = append(message.Answer, answer)
	}
	return further
}
