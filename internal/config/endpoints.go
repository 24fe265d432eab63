package config

import (
	"crypto/x509"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"standpoint"
)

// maxBrowses is the maximum number of browsed services.
const maxBrowses = 32

// Sources of the endpoint list.
const (
	SourceList  = "list"   // the [[real_server]] sections
	SourceDNSSD = "dns-sd" // the services that the file browses by DNS-SD
)

// Mechanisms by which changes of a browsed service are discovered.
const (
	UpdatesAuto = "auto" // push where the domain offers it, else polling
	UpdatesPoll = "poll" // queries at Endpoints.PollInterval
	UpdatesPush = "push" // DNS Push Notifications
	UpdatesMDNS = "mdns" // multicast DNS messages, sent to the server's address
)

var updateMethods = []string{UpdatesAuto, UpdatesPoll, UpdatesPush, UpdatesMDNS}

// Endpoints is the section [entries]: the source of the endpoint list, and how its changes are discovered and applied.
type Endpoints struct {
	Source string `toml:"source"` // SourceList or SourceDNSSD
	// Server, Service and Domain describe the only browsed service if Browses is empty; see Browse.
	Server  string `toml:"server"`
	Service string `toml:"service"`
	Domain  string `toml:"domain"`
	// RefreshInterval is the maximum time between two lookups of the same records if the server reports no serial number.
	RefreshInterval Duration `toml:"refresh"`
	Browses         []Browse `toml:"browse"`
	PollInterval    Duration `toml:"poll"` // maximum time between two queries for changes of a service
	// GuardHold is how long an update is delayed that removes more than GuardFraction of the list. The delay ends early
	// if the serial number of the DNS zone increases.
	GuardHold Duration `toml:"guard"`
	// GuardFraction is the fraction of the list, 0 to 1, that one update may remove without delay.
	GuardFraction float64 `toml:"guard_part"`
	// FlapHalfLife is the time after which an earlier disappearance of a backend counts half. 0 disables the delay of
	// flapping backends; nil stands for the default.
	FlapHalfLife *Duration `toml:"flap_half"`
	// MaxFlaps is the number of disappearances, weighted by FlapHalfLife, beyond which a backend that returns is not
	// used at once.
	MaxFlaps float64 `toml:"flap_most"`
}

func (e *Endpoints) setDefaults() {
	setDefault(&e.Source, SourceList)
	setDefault(&e.RefreshInterval, Duration(2*time.Second))
	setDefault(&e.PollInterval, Duration(150*time.Millisecond))
	setDefault(&e.GuardHold, Duration(10*time.Second))
	setDefault(&e.GuardFraction, 0.5)
	setDefault(&e.MaxFlaps, 3)
	if e.FlapHalfLife == nil {
		halfLife := Duration(time.Minute)
		e.FlapHalfLife = &halfLife
	}
}

// validateEndpoints validates [entries] and the backends, and sets the defaults of browsed services and of backends.
func (o *OperatorFile) validateEndpoints() error {
	switch o.Endpoints.Source {
	case SourceDNSSD:
		if err := firstError(o.validateBrowses, o.Endpoints.validateDiscovery); err != nil {
			return err
		}
	case SourceList:
		if len(o.Backends) == 0 {
			return keyError("real_server", "missing; at least one is required if entries.source is %q", SourceList)
		}
	default:
		return keyError("entries.source", "%q is not one of %q, %q", o.Endpoints.Source, SourceList, SourceDNSSD)
	}
	for i := range o.Backends {
		if err := o.Backends[i].complete(i); err != nil {
			return err
		}
	}
	return nil
}

// validateDiscovery validates the keys that apply to all browsed services.
func (e *Endpoints) validateDiscovery() error {
	switch {
	case !e.PollInterval.between(10*time.Millisecond, time.Minute):
		return keyError("entries.poll", "%v is not from 10ms to 1m", time.Duration(e.PollInterval))
	case !between(e.GuardFraction, 0, 1):
		return keyError("entries.guard_part", "%g is not from 0 to 1", e.GuardFraction)
	case e.RefreshInterval < e.PollInterval:
		return keyError("entries.refresh", "%v is shorter than entries.poll", time.Duration(e.RefreshInterval))
	case !e.FlapHalfLife.between(0, time.Hour):
		return keyError("entries.flap_half", "%v is not from 0s to 1h", time.Duration(*e.FlapHalfLife))
	case !between(e.MaxFlaps, 1, 6):
		return keyError("entries.flap_most", "%g is not from 1 to 6", e.MaxFlaps)
	}
	return nil
}

// Browse is an [[entries.browse]]: a DNS-SD service in a domain, whose instances are backends.
type Browse struct {
	Server  string `toml:"server"`  // address of the DNS server, host:port
	Service string `toml:"service"` // service type, such as "_engine._tcp"
	Domain  string `toml:"domain"`  // DNS domain of the service
	Site    string `toml:"site"`    // zone of instances that do not state one; "" or one of Module.Zones
	Subtype string `toml:"subtype"` // service subtype, a single label such as "_large"; "" for all instances
	// Updates is the mechanism for changes: UpdatesAuto, UpdatesPoll, UpdatesPush or UpdatesMDNS.
	Updates string `toml:"news"`
	// PushAddress is the address of the push server, host:port. If it is "", the domain's SRV records name the server.
	PushAddress string `toml:"push"`
	// PushRootFile is the path of a PEM file with the root certificates for the push server's certificate. Without it,
	// push sessions are not encrypted, and PushAddress is required.
	PushRootFile string `toml:"push_root"`
	// PushServerName is the name that the push server's certificate must contain; "" for the name of its host.
	PushServerName string `toml:"push_name"`
}

// Key returns the key that identifies the service among the browsed services and in the store.
func (b Browse) Key() string {
	key := strings.ToLower(b.Service + "." + strings.TrimSuffix(b.Domain, "."))
	if b.Subtype != "" {
		key = strings.ToLower(b.Subtype) + "._sub." + key
	}
	return key
}

// validateBrowses sets the defaults of the browsed services and validates them. If there are none, it adds the one that
// [entries] itself describes.
func (o *OperatorFile) validateBrowses() error {
	e := &o.Endpoints
	prefix := func(i int) string { return fmt.Sprintf("entries.browse[%d].", i) }
	if len(e.Browses) == 0 {
		e.Browses = []Browse{{Server: e.Server, Service: e.Service, Domain: e.Domain}}
		prefix = func(int) string { return "entries." }
	}
	if len(e.Browses) > maxBrowses {
		return keyError("entries.browse", "%d sections are more than %d", len(e.Browses), maxBrowses)
	}
	for i := range e.Browses {
		b := &e.Browses[i]
		setDefault(&b.Updates, UpdatesAuto)
		if err := b.validate(prefix(i)); err != nil {
			return err
		}
		if b.Site != "" && !slices.Contains(o.Module.Zones, b.Site) {
			return keyError(prefix(i)+"site", "%q is not among module.zones", b.Site)
		}
		same := func(other Browse) bool { return other.Key() == b.Key() }
		if first := slices.IndexFunc(e.Browses[:i], same); first >= 0 {
			return keyError(prefix(i)+"domain", "duplicate of entries.browse[%d]: same service, subtype and domain", first)
		}
	}
	return nil
}

// validate validates one service. prefix is the path of its section, including the final dot.
func (b *Browse) validate(prefix string) error {
	if err := b.validateService(prefix); err != nil {
		return err
	}
	if !slices.Contains(updateMethods, b.Updates) {
		return keyError(prefix+"news", "%q is not one of \"%s\"", b.Updates, strings.Join(updateMethods, `", "`))
	}
	return b.validatePush(prefix)
}

func (b *Browse) validateService(prefix string) error {
	if err := validateLoopback(prefix+"server", b.Server); err != nil {
		return err
	}
	switch {
	case b.Service == "":
		return keyError(prefix+"service", "missing; a service type such as \"_engine._tcp\" is required")
	case !isServiceType(b.Service):
		return keyError(prefix+"service", "%q is not a service type such as \"_engine._tcp\"", b.Service)
	case b.Domain == "":
		return keyError(prefix+"domain", "missing")
	case strings.ContainsRune(b.Subtype, '.'):
		return keyError(prefix+"subtype", "%q is not a single label such as \"_large\"", b.Subtype)
	}
	return nil
}

// isServiceType reports whether a name consists of a service and a protocol, such as "_engine._tcp".
func isServiceType(name string) bool {
	service, protocol, ok := strings.Cut(name, ".")
	return ok && strings.HasPrefix(service, "_") && (protocol == "_tcp" || protocol == "_udp")
}

func (b *Browse) validatePush(prefix string) error {
	if err := validateOptionalLoopback(prefix+"push", b.PushAddress); err != nil {
		return err
	}
	configured := b.PushAddress != "" || b.PushRootFile != ""
	switch {
	case b.Updates == UpdatesPush && !configured:
		return keyError(prefix+"push_root",
			"missing; push requires push_root, or push for sessions without encryption")
	case (b.Updates == UpdatesPoll || b.Updates == UpdatesMDNS) && configured:
		return keyError(prefix+"push", "push and push_root cannot be set if news is %q", b.Updates)
	case b.PushServerName != "" && b.PushRootFile == "":
		return keyError(prefix+"push_name", "set without push_root")
	}
	return nil
}

// RootCertificates reads the root certificates for the push server of the i-th browsed service. It returns nil if the
// service has no PushRootFile. base is the directory of the operator's file.
func (o *OperatorFile) RootCertificates(base string, i int) (*x509.CertPool, error) {
	b := o.Endpoints.Browses[i]
	if b.PushRootFile == "" {
		return nil, nil
	}
	key := indexed("entries.browse", i, "push_root")
	raw, err := os.ReadFile(o.ResolvePath(base, b.PushRootFile))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return nil, keyError(key, "%s contains no PEM certificate", b.PushRootFile)
	}
	return roots, nil
}

// Modes of a backend.
const (
	BackendStream = "stream" // responds to each request with a stream
	BackendBatch  = "batch"  // takes files of requests as jobs
)

// Backend is a [[real_server]]: a backend that the operator lists.
type Backend struct {
	Name      string            `toml:"name"`
	Address   string            `toml:"address"`  // loopback address, host:port
	Mode      string            `toml:"mode"`     // BackendStream or BackendBatch
	Zone      string            `toml:"zone"`     // one of Module.Zones
	Kind      string            `toml:"kind"`     // one of Module.Kinds
	Capacity  float64           `toml:"size"`     // capacity relative to other backends, without a unit
	Draining  bool              `toml:"draining"` // whether new requests must not be sent to the backend
	StartedAt time.Time         `toml:"started"`  // time of the last start; the zero time means long ago
	Labels    map[string]string `toml:"labels"`   // labels for the selectors of pools, in addition to the keys above
}

// State returns the state of the backend for the decision module.
func (b Backend) State() standpoint.State {
	if b.Draining {
		return standpoint.Draining
	}
	return standpoint.Ready
}

// StartTime returns the time of the backend's last start, in nanoseconds of Unix time; 0 means long ago.
func (b Backend) StartTime() int64 {
	if b.StartedAt.IsZero() {
		return 0
	}
	return b.StartedAt.UnixNano()
}

// complete sets the defaults of a backend, the i-th in the file, and validates it.
func (b *Backend) complete(i int) error {
	setDefault(&b.Mode, BackendStream)
	setDefault(&b.Capacity, 1)
	if b.Name == "" {
		return keyError(indexed("real_server", i, "name"), "missing")
	}
	if b.Mode != BackendStream && b.Mode != BackendBatch {
		return keyError(indexed("real_server", i, "mode"), "%q is not one of %q, %q",
			b.Mode, BackendStream, BackendBatch)
	}
	return validateLoopback(indexed("real_server", i, "address"), b.Address)
}
