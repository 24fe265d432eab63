package browser

import (
	"crypto/tls"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/dnssd/record"
)

// Mechanism is how a browser learns of changes.
type Mechanism string

// The mechanisms. Auto uses DNS Push Notifications where the domain's server offers them, and polls otherwise.
const (
	Auto Mechanism = "auto"
	Poll Mechanism = "poll"
	Push Mechanism = "push"
	MDNS Mechanism = "mdns"
)

// Options configure a Browser.
type Options struct {
	// Service is what is browsed for.
	Service record.Service
	// Server is the DNS server's host:port, used for queries. It is unused with MDNS.
	Server string
	// Mechanism is how changes are learnt. Push differs from Auto in that a missing push service is logged as a warning
	// and retried more often. An unknown value is treated as Auto.
	Mechanism Mechanism
	// PollInterval is the longest time between two queries for the zone's serial; each wait is drawn from the upper
	// half of it. With MDNS it is the pause after a failed read.
	PollInterval time.Duration
	// RefreshInterval bounds the time between two queries for the same records at a server that reports no serial.
	RefreshInterval time.Duration
	// PushAddress is the push server's host:port; "" finds it by the domain's SRV record, which needs TLS.
	PushAddress string
	// TLS secures push sessions. With nil they are in clear text, which the caller allows on loopback addresses alone.
	TLS *tls.Config
	// DialMDNS opens the transport of MDNS, and is required with it.
	DialMDNS func() (Transport, error)
	// Publish receives each snapshot: whenever the instances have changed, and every few seconds otherwise. It is never
	// called concurrently, and must not block.
	Publish func(Snapshot)
	// Metrics may be nil.
	Metrics *Metrics
	// Log is required.
	Log *zap.Logger
}
