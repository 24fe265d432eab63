// Package browser discovers the instances of a DNS-SD service (RFC 6763) by polling a DNS server, by DNS Push
// Notifications (RFC 8765) or by mDNS (RFC 6762) over a transport that the caller provides, and publishes them as
// snapshots. Package internal/dnssd/record interprets the records.
package browser

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/dnssd/record"
	"standpoint/internal/dnssd/resolver"
)

// Browser discovers the instances of one service in one domain. LastContact may be called concurrently with Run.
type Browser struct {
	Options
	client *resolver.Client
	domain string // the service's domain as a canonical name

	mu          sync.Mutex // guards the fields below
	failing     bool       // whether the latest attempt to reach the server failed
	lastContact time.Time  // time of the latest valid response; zero before the first
	mechanism   Mechanism  // mechanism by which the latest valid response was received
}

// New returns a Browser that is not running yet; Run starts it.
func New(o Options) *Browser {
	return &Browser{
		Options:   o,
		domain:    record.CanonicalName(o.Service.Domain),
		mechanism: Poll,
		client:    &resolver.Client{Server: o.Server, Domain: o.Service.Domain},
	}
}

// Run browses until ctx is done.
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

// LastContact returns the time of the latest valid response and the mechanism by which it was received. The time is
// zero before the first response.
func (b *Browser) LastContact() (time.Time, Mechanism) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastContact, b.mechanism
}

// recordContact records the result of a contact with the server, nil for a valid response, and logs the change between
// success and failure.
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
