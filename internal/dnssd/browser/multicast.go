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
	base      time.Time // reference time of the querier's time spans
	epoch     int64     // base in nanoseconds of internal/clock
	received  bool      // whether a response has been received
	// changed reports whether the records differ from the latest snapshot, which was published at publishedAt.
	changed     bool
	publishedAt time.Time
	throttle    throttle
}

// runMulticast browses by mDNS until ctx is done.
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
	// The reader ends once ctx is done and the transport is closed.
	go m.receive(ctx, inbox)
	m.run(ctx, inbox)
}

// receive forwards messages from the transport to inbox until ctx is done, and then closes inbox.
func (b *multicastBrowser) receive(ctx context.Context, inbox chan<- []byte) {
	defer close(inbox)
	for {
		raw, err := b.transport.Receive()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			// A read may fail because the peer has not started yet.
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

// run handles messages and timers until ctx is done.
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

// handleMessage handles one message and reports whether it is a response. idle reports whether no further message is
// queued.
func (b *multicastBrowser) handleMessage(raw []byte, idle bool) bool {
	message := new(dns.Msg)
	if err := message.Unpack(raw); err != nil || !message.Response {
		b.client.RejectedResponses.Add(1)
		return false
	}
	b.changed = b.querier.Handle(message, time.Since(b.base)) || b.changed
	if !b.received || idle {
		b.recordContact(MDNS, nil)
	}
	b.received = true
	return true
}

// step expires records, sends the queries that are due, and publishes a snapshot if the records have changed or
// republishInterval has passed. It returns the time until the next step.
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

// send sends one query. A failure is counted and recorded; the querier repeats the query on its own schedule.
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
