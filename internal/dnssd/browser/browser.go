// Package browser finds the instances of a DNS-SD service (RFC 6763) by polling a DNS server, by DNS Push Notifications
// (RFC 8765) or by mDNS (RFC 6762) over a transport that it is given, and publishes them as snapshots. What the records
// mean is decided in internal/dnssd/record.
package browser

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/dnssd/record"
	"standpoint/internal/dnssd/resolver"
)

// Browser finds the instances of one service in one domain. LastContact may be called concurrently with Run.
type Browser struct {
	Options
	client *resolver.Client
	domain string // canonical

	mu          sync.Mutex // guards the fields below
	failing     bool       // the last contact failed
	lastContact time.Time
	mechanism   Mechanism // of lastContact
}

// New makes a Browser; Run starts it.
func New(o Options) *Browser {
	return &Browser{
		Options:   o,
		domain:    record.CanonicalName(o.Service.Domain),
		mechanism: Poll,
		client:    &resolver.Client{Server: o.Server, Domain: o.Service.Domain},
	}
}

// Run browses until ctx ends.
func (b *Browser) Run(ctx context.Context) {
	defer b.Metrics.register(b)()
	switch b.Mechanism {
	case MDNS:
		b.runMulticast(ctx)
	case Poll:
		newPoller(b).run(ctx)
	default:
		b.runAuto(ctx)
	}
}

// LastContact is when the server last answered, and by which mechanism. The time is zero if it never has.
func (b *Browser) LastContact() (time.Time, Mechanism) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastContact, b.mechanism
}

// recordContact notes whether the server answers, and logs when that changes.
func (b *Browser) recordContact(mechanism Mechanism, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.lastContact = time.Now()
		b.mechanism = mechanism
		if b.failing {
			b.Log.Info("discovery server answers again")
		}
		b.failing = false
		return
	}
	if !b.failing {
		b.Log.Warn("discovery query failed, keeping the last endpoint list", zap.Error(err))
	}
	b.failing = true
}
