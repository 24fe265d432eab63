package browser

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/clock"
	"standpoint/internal/dnssd/mdns"
)

// multicastBrowser drives an mdns.Querier over a transport. It belongs to one goroutine.
type multicastBrowser struct {
	*Browser
	transport Transport
	querier   *mdns.Querier
	base      time.Time // the querier's times count from here
	epoch     int64     // base, in nanoseconds of internal/clock
	received  bool      // a response has arrived
	// changed tells that the records differ from the last snapshot, which was published at publishedAt.
	changed     bool
	publishedAt time.Time
	throttle    throttle
}

// runMulticast browses by mDNS until ctx ends.
func (b *Browser) runMulticast(ctx context.Context) {
	transport, err := b.DialMDNS()
	if err != nil {
		b.recordContact(MDNS, err)
		<-ctx.Done()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = transport.Close() })
	defer stop()
	base := time.Now()
	m := &multicastBrowser{
		Browser:   b,
		transport: transport,
		querier:   mdns.New(b.Service, rand.Float64),
		base:      base,
		epoch:     clock.Of(base),
	}
	inbox := make(chan []byte, inboxSize)
	// The reader ends once ctx has ended and the transport is closed; nothing that it holds outlives that.
	go m.receive(ctx, inbox)
	m.run(ctx, inbox)
}

// receive passes messages on to inbox until ctx ends, and then closes it.
func (b *multicastBrowser) receive(ctx context.Context, inbox chan<- []byte) {
	defer close(inbox)
	for {
		raw, err := b.transport.Receive()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			// A read may fail because the peer is not there yet.
			select {
			case <-ctx.Done():
				return
			case <-time.After(b.PollInterval):
			}
			continue
		}
		select {
		case inbox <- raw:
		case <-ctx.Done():
			return
		}
	}
}

// run handles messages and timers until ctx ends.
func (b *multicastBrowser) run(ctx context.Context, inbox <-chan []byte) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case raw, ok := <-inbox:
			if !ok {
				return
			}
			if !b.handleMessage(raw, len(inbox) == 0) {
				continue
			}
		case <-timer.C:
		}
		if pause := b.throttle.remaining(time.Now()); pause > 0 {
			timer.Reset(pause)
			continue
		}
		timer.Reset(b.step())
	}
}

// handleMessage takes in one message, and reports whether it is a response. idle tells that no other message waits.
func (b *multicastBrowser) handleMessage(raw []byte, idle bool) bool {
	message := new(dns.Msg)
	if err := message.Unpack(raw); err != nil || !message.Response {
		b.client.RejectedAnswers.Add(1)
		return false
	}
	b.changed = b.querier.Handle(message, time.Since(b.base)) || b.changed
	if !b.received || idle {
		b.recordContact(MDNS, nil)
	}
	b.received = true
	return true
}

// step expires records, sends the queries that are due and publishes a snapshot if there is one to publish. It returns
// the time until the next step.
func (b *multicastBrowser) step() time.Duration {
	began := time.Now()
	now := began.Sub(b.base)
	b.changed = b.querier.Expire(now) || b.changed
	messages, next := b.querier.PendingQueries(now)
	for _, message := range messages {
		b.send(message)
	}
	if b.received && (b.changed || time.Since(b.publishedAt) >= republishInterval) {
		b.publishedAt = time.Now()
		b.changed = false
		cache, labels := b.querier.Cache(b.epoch)
		b.Publish(newSnapshot(cache, b.Service, labels, Snapshot{Mechanism: MDNS, ObservedAt: b.publishedAt}))
	}
	b.throttle.record(began, time.Now())
	return max(time.Millisecond, min(next-time.Since(b.base), republishInterval))
}

// send sends one query. A failure is counted and recorded; the querier repeats the query by itself.
func (b *multicastBrowser) send(message *dns.Msg) {
	raw, err := message.Pack()
	if err == nil {
		b.client.Queries.Add(1)
		err = b.transport.Send(raw)
	}
	if err != nil {
		b.client.Failures.Add(1)
		b.recordContact(MDNS, err)
	}
}
