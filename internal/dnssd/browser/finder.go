// Package browser finds the instances of a DNS-SD service by every way that the specifications give: it asks
// (unicast look-ups, cheap while nothing changes), it is told (DNS Push Notifications, RFC 8765), or it speaks mDNS
// (RFC 6762) over a transport that is given to it. What records mean is decided in internal/dnssd/record.
package browser

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"standpoint/internal/dnssd/record"
	"standpoint/internal/dnssd/resolver"
)

// Mechanism is how news comes.
type Mechanism string

// Ways. Auto is push where the domain's server offers it and the poll everywhere else.
const (
	Auto Mechanism = "auto"
	Poll Mechanism = "poll"
	Push Mechanism = "push"
	MDNS Mechanism = "mdns"
)

// Snapshot is what is known of a service's instances.
type Snapshot struct {
	Instances []record.Instance // by name
	Serial    *uint32           // of the zone; nil where the server tells none
	Way       Mechanism
	At        time.Time // when it was true at the latest
	Over      int       // instances that are listed and not taken, being too many
}

// Options of a Finder.
type Options struct {
	Service record.Service
	Server  string // host:port, for look-ups; with mDNS the peer
	Way     Mechanism
	// Every is the time between two questions whether anything has changed. Refresh is the time between two look-ups
	// of what a server without a serial could change unseen.
	Every, Refresh time.Duration
	PushAddress    string                    // host:port; "" where the domain's SRV records are to tell it
	TLS            *tls.Config               // nil: push goes in the clear; the caller allows it on loopback alone
	Dial           func() (Transport, error) // of mDNS
	Tell           func(Snapshot)            // never called by two goroutines at once; it may not wait
	Metrics        *Metrics                  // nil: none
	Log            *zap.Logger
}

// Browser is the actor of one service in one domain.
type Browser struct {
	Options
	client *resolver.Client
	domain string

	mu      sync.Mutex
	failing bool
	heard   time.Time // when the server last answered
	way     Mechanism
}

// New makes a Finder; Run starts it.
func New(o Options) *Browser {
	return &Browser{Options: o, domain: record.CanonicalName(o.Service.Domain), way: Poll,
		client: &resolver.Client{Server: o.Server, Domain: o.Service.Domain}}
}

// LastContact is when the server last answered, the zero time if it never did, and by which way.
func (f *Browser) LastContact() (time.Time, Mechanism) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard, f.way
}

// note keeps whether the server answers, and says so once when that changes.
func (f *Browser) note(way Mechanism, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.heard, f.way = time.Now(), way
		if f.failing {
			f.Log.Info("look-ups of endpoints are answered again")
		}
		f.failing = false
		return
	}
	if !f.failing {
		f.Log.Warn("look-up of endpoints failed; the last list holds", zap.Error(err))
	}
	f.failing = true
}

// Run finds until ctx ends.
func (f *Browser) Run(ctx context.Context) {
	defer f.Metrics.watch(f)()
	switch f.Way {
	case MDNS:
		f.listen(ctx)
	case Poll:
		newPoller(f).run(ctx)
	default:
		f.auto(ctx)
	}
}

// Times between two tries to have a push session: short after one that stood, long where the domain offers none.
const (
	pushSoon   = 500 * time.Millisecond
	pushSeldom = time.Minute
	pushNever  = 5 * time.Minute
)

// auto polls, and tries to have a push session beside. While one stands the poll rests; the moment it ends the poll
// goes on, so that no news waits for a session to come back.
func (f *Browser) auto(ctx context.Context) {
	p := newPoller(f)
	again := backoff.NewExponentialBackOff()
	again.InitialInterval, again.MaxInterval, again.Multiplier = pushSoon, pushSeldom, 2
	for ctx.Err() == nil {
		polling, rest := context.WithCancel(ctx)
		var done sync.WaitGroup
		done.Go(func() { p.run(polling) })
		stood := false
		err := f.push(ctx, func() {
			stood = true
			rest()
			done.Wait()
		})
		rest()
		done.Wait()
		if ctx.Err() != nil {
			return
		}
		if stood {
			again.Reset()
			f.Log.Warn("the push session ended; look-ups go on", zap.Error(err))
			f.Metrics.ended(f)
		}
		wait := again.NextBackOff()
		var none *noPush
		var later *retryLater
		switch {
		case errors.As(err, &none):
			if f.Way == Push {
				f.Log.Warn("no push session; look-ups go on", zap.Error(err))
			}
			wait = pushNever
			if f.Way == Push {
				wait = pushSeldom
			}
		case errors.As(err, &later):
			wait = max(wait, later.delay)
		case !stood:
			f.Log.Info("no push session; look-ups go on", zap.Error(err))
		}
		p.stale()
		polling, rest = context.WithTimeout(ctx, wait)
		p.run(polling)
		rest()
	}
}
