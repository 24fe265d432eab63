package browser

import (
	"crypto/tls"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/dnssd/record"
)

// Mechanism selects how a browser discovers changes.
type Mechanism string

// The mechanisms of discovery. Auto uses DNS Push Notifications if the domain's server offers them, and polls
// otherwise.
const (
	Auto Mechanism = "auto"
	Poll Mechanism = "poll"
	Push Mechanism = "push"
	MDNS Mechanism = "mdns"
)

// Options configure a Browser.
type Options struct {
	// Service is the service type, subtype and domain to browse.
	Service record.Service
	// Server is the host:port of the DNS server that is queried. It is unused with MDNS.
	Server string
	// Mechanism selects how changes are discovered. Push differs from Auto in that an unavailable push service is
	// logged as a warning and retried more often. An unknown value is treated as Auto.
	Mechanism Mechanism
	// PollInterval is the longest wait between two queries for the zone's serial; each wait is drawn at random from the
	// upper half of the interval. With MDNS it is the wait after a failed read.
	PollInterval time.Duration
	// RefreshInterval is the longest time between two queries for the same records from a server that reports no
	// serial.
	RefreshInterval time.Duration
	// PushAddress is the host:port of the push server. If it is empty, the server is located by the domain's SRV
	// record, which requires TLS.
	PushAddress string
	// TLS configures the encryption of push sessions. With nil, sessions are in clear text; the caller must restrict
	// these to loopback addresses.
	TLS *tls.Config
	// DialMDNS opens the transport for MDNS, and is required with it.
	DialMDNS func() (Transport, error)
	// Publish receives each snapshot: whenever the instances have changed, and every few seconds otherwise. Calls are
	// never concurrent. It must not block.
	Publish func(Snapshot)
	// Metrics records the browser's metrics; it may be nil.
	Metrics *Metrics
	// Log receives the browser's log lines, and is required.
	Log *zap.Logger
}
