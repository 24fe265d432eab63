package mdns

import (
	"cmp"
	"slices"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

const (
	// minInitialDelay is the shortest random delay before the first query (RFC 6762, 5.2).
	minInitialDelay = 20 * time.Millisecond
	// maxInitialDelay is the longest random delay before the first query (RFC 6762, 5.2).
	maxInitialDelay = 120 * time.Millisecond
	// initialInterval is the time between the first and the second query. The interval doubles with each query.
	initialInterval = time.Second
	// maxInterval is the upper bound of the interval between two queries.
	maxInterval = time.Hour
	// refreshJitter is the largest fraction of a record's TTL that is added at random to a refresh point (RFC 6762,
	// 5.2).
	refreshJitter = 0.02
	// maxMessageSize is the maximum size of a message in bytes, so that it fits into an Ethernet frame.
	maxMessageSize = 1_400
	// maxQuestions is the maximum number of questions in one message.
	maxQuestions = 20
)

// refreshFractions are the fractions of a record's TTL at which it is queried again (RFC 6762, 5.2).
var refreshFractions = [...]float64{0.80, 0.85, 0.90, 0.95}

// questionSchedule has the times at which the question for a set is sent.
type questionSchedule struct {
	sendAt   time.Duration // time of the next query
	interval time.Duration // interval between the next query and the one after it
}

// scheduleRefresh sets the time at which a record is queried again, with jitter.
func (q *Querier) scheduleRefresh(e *entry) {
	if e.refreshCount == len(refreshFractions) {
		e.refreshAt = 0
		return
	}
	fraction := refreshFractions[e.refreshCount] + refreshJitter*q.Random()
	e.refreshAt = e.receivedAt + time.Duration(fraction*float64(e.expiresAt-e.receivedAt))
}

// PendingQueries returns the messages to send now, and the time of the next call.
func (q *Querier) PendingQueries(now time.Duration) (messages []*dns.Msg, next time.Duration) {
	if q.requiredStale {
		q.updateRequired()
		q.requiredStale = false
	}
	next = now + maxInterval
	var due []record.Key
	for key := range q.required {
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

// advance reports whether a set is to be queried now, updates its schedule, and returns the time of the next call.
func (q *Querier) advance(key record.Key, now time.Duration) (due bool, next time.Duration) {
	schedule := q.scheduleFor(key, now)
	due = schedule.sendAt <= now
	if due {
		schedule.sendAt = now + schedule.interval
		schedule.interval = min(2*schedule.interval, maxInterval)
	}
	next = now + maxInterval
	answered := len(q.entries[key]) > 0
	if key.Kind != record.PTR && answered {
		// A unique set has no further records to discover; its records are only refreshed.
		due = false
		schedule.interval = initialInterval
		schedule.sendAt = now + initialInterval
	} else {
		next = min(next, schedule.sendAt)
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

// scheduleFor returns the schedule of a set's question, which is created if it is missing.
func (q *Querier) scheduleFor(key record.Key, now time.Duration) *questionSchedule {
	schedule := q.questions[key]
	if schedule == nil {
		delay := minInitialDelay + time.Duration(q.Random()*float64(maxInitialDelay-minInitialDelay))
		schedule = &questionSchedule{sendAt: now + delay, interval: initialInterval}
		q.questions[key] = schedule
	}
	return schedule
}

// updateRequired computes the required sets: the list, and the records of each listed instance. It deletes the
// schedules of other questions, the PTR records of other lists, and surplus labels. Other records remain, as they may
// belong to an instance that will be listed later.
func (q *Querier) updateRequired() {
	cache, _ := q.Cache(0)
	q.required = map[record.Key]bool{q.listKey(): true}
	names, _ := cache.Instances(q.Service)
	for _, name := range names {
		for _, key := range cache.RequiredKeys(name) {
			q.required[key] = true
		}
	}
	for key := range q.questions {
		if !q.required[key] {
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
		if len(q.labels) > record.MaxInstances && !q.required[record.Key{Name: name, Kind: record.SRV}] {
			delete(q.labels, name)
		}
	}
}

// buildMessages returns messages with the questions for keys. A message with the question for the list includes its
// known answers (RFC 6762, 7.1). Those that do not fit follow in further messages, with the TC bit set in all but the
// last (RFC 6762, 7.2).
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

// knownAnswers returns the list's records with more than half of their TTL left.
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

// addAnswers adds known answers to a message, and returns further messages with those that do not fit.
func addAnswers(message *dns.Msg, answers []dns.RR) (continuations []*dns.Msg) {
	size := message.Len()
	for _, answer := range answers {
		answerSize := dns.Len(answer)
		if size+answerSize > maxMessageSize {
			message.Truncated = true
			message = new(dns.Msg)
			continuations = append(continuations, message)
			size = message.Len()
		}
		size += answerSize
		message.Answer = append(message.Answer, answer)
	}
	return continuations
}
