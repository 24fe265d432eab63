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

const maxBrowses = 32

// Sources of the endpoint list.
const (
	SourceList  = "list"   // the [[real_server]] sections
	SourceDNSSD = "dns-sd" // the services that are browsed
)

// Ways to learn of changes of a browsed service.
const (
	UpdatesAuto = "auto"
	UpdatesPoll = "poll"
	UpdatesPush = "push"
	UpdatesMDNS = "mdns"
)

var updateMethods = []string{UpdatesAuto, UpdatesPoll, UpdatesPush, UpdatesMDNS}

// Endpoints is the section [entries]: where the list of backends comes from.
type Endpoints struct {
	Source string `toml:"source"` // SourceList or SourceDNSSD
	// Server, Service and Domain are the one service that is browsed where Browses is empty.
	Server          string   `toml:"server"`
	Service         string   `toml:"service"`
	Domain          string   `toml:"domain"`
	RefreshInterval Duration `toml:"refresh"` // between two lookups of everything
	Browses         []Browse `toml:"browse"`
	PollInterval    Duration `toml:"poll"` // between two queries whether anything has changed
	// At most GuardFraction of the list may disappear in one update. A greater loss is applied after GuardHold, or
	// once the zone's serial has gone up.
	GuardHold     Duration `toml:"guard"`
	GuardFraction float64  `toml:"guard_part"`
	// A backend that disappeared more than MaxFlaps times, each time counting half after FlapHalfLife, is held back
	// when it returns. A FlapHalfLife of 0 holds back none; nil stands for the default.
	FlapHalfLife *Duration `toml:"flap_half"`
	MaxFlaps     float64   `toml:"flap_most"`
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

func (o *OperatorFile) validateEndpoints() error {
	switch o.Endpoints.Source {
	case SourceDNSSD:
		if err := firstError(o.validateBrowses, o.Endpoints.validateDiscovery); err != nil {
			return err
		}
	case SourceList:
		if len(o.Backends) == 0 {
			return keyError("real_server", "at least one is needed where entries.source is %q", SourceList)
		}
	default:
		return keyError("entries.source", "%q is neither %q nor %q", o.Endpoints.Source, SourceList, SourceDNSSD)
	}
	for i := range o.Backends {
		if err := o.Backends[i].complete(i); err != nil {
			return err
		}
	}
	return nil
}

// validateDiscovery checks the keys that hold for all browsed services.
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

// Browse is an [[entries.browse]]: a DNS-SD service in a domain, the instances of which are backends.
type Browse struct {
	Server  string `toml:"server"` // of DNS, host:port
	Service string `toml:"service"`
	Domain  string `toml:"domain"`
	Site    string `toml:"site"` // the zone of instances that do not state theirs
	Subtype string `toml:"subtype"`
	// Updates is how changes are learnt: UpdatesAuto, UpdatesPoll, UpdatesPush or UpdatesMDNS.
	Updates string `toml:"news"`
	// PushAddress is where the push service is, host:port; "" has it looked up in the domain's SRV records.
	PushAddress string `toml:"push"`
	// PushRootFile holds the root certificates that the push server's certificate must come from. Without it push is
	// not encrypted, and needs PushAddress.
	PushRootFile string `toml:"push_root"`
	// PushServerName is the name that the certificate must have; "" for the host's.
	PushServerName string `toml:"push_name"`
}

// Key identifies the service among those that are browsed, and in the store.
func (b Browse) Key() string {
	key := strings.ToLower(b.Service + "." + strings.TrimSuffix(b.Domain, "."))
	if b.Subtype != "" {
		key = strings.ToLower(b.Subtype) + "._sub." + key
	}
	return key
}

// validateBrowses completes the browsed services, of which there is at least one.
func (o *OperatorFile) validateBrowses() error {
	e := &o.Endpoints
	prefix := func(i int) string { return fmt.Sprintf("entries.browse[%d].", i) }
	if len(e.Browses) == 0 {
		e.Browses = []Browse{{Server: e.Server, Service: e.Service, Domain: e.Domain}}
		prefix = func(int) string { return "entries." }
	}
	if len(e.Browses) > maxBrowses {
		return keyError("entries.browse", "%d services are more than %d", len(e.Browses), maxBrowses)
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
			return keyError(prefix(i)+"domain", "the same service and domain as entries.browse[%d]", first)
		}
	}
	return nil
}

// validate checks the keys of one service; prefix is the path of its section with the dot.
func (b *Browse) validate(prefix string) error {
	if err := b.validateService(prefix); err != nil {
		return err
	}
	if !slices.Contains(updateMethods, b.Updates) {
		return keyError(prefix+"news", "%q is none of %s", b.Updates, strings.Join(updateMethods, ", "))
	}
	return b.validatePush(prefix)
}

func (b *Browse) validateService(prefix string) error {
	if err := validateLoopback(prefix+"server", b.Server); err != nil {
		return err
	}
	switch {
	case b.Service == "":
		return keyError(prefix+"service", "missing, such as \"_engine._tcp\"")
	case !isServiceType(b.Service):
		return keyError(prefix+"service", "%q is not of the form \"_engine._tcp\"", b.Service)
	case b.Domain == "":
		return keyError(prefix+"domain", "missing")
	case strings.ContainsRune(b.Subtype, '.'):
		return keyError(prefix+"subtype", "%q is no single label, such as \"_large\"", b.Subtype)
	}
	return nil
}

// isServiceType tells whether a name is a service and a protocol, such as "_engine._tcp".
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
			"missing; push needs a root certificate, or an address in push for push in the clear")
	case (b.Updates == UpdatesPoll || b.Updates == UpdatesMDNS) && configured:
		return keyError(prefix+"push", "given though news is %q", b.Updates)
	case b.PushServerName != "" && b.PushRootFile == "":
		return keyError(prefix+"push_name", "given without push_root")
	}
	return nil
}

// RootCertificates reads the root certificates of the i-th browsed service; nil where it names no file. base is the
// directory of the operator's file.
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
		return nil, keyError(key, "%s holds no certificate in PEM form", b.PushRootFile)
	}
	return roots, nil
}

// Modes of a backend.
const (
	BackendStream = "stream" // answers requests
	BackendBatch  = "batch"  // takes files of requests
)

// Backend is a [[real_server]]: a backend that the operator lists.
type Backend struct {
	Name      string            `toml:"name"`
	Address   string            `toml:"address"`
	Mode      string            `toml:"mode"` // BackendStream or BackendBatch
	Zone      string            `toml:"zone"`
	Kind      string            `toml:"kind"`
	Capacity  float64           `toml:"size"` // relative to other backends
	Draining  bool              `toml:"draining"`
	StartedAt time.Time         `toml:"started"` // the zero time means long ago
	Labels    map[string]string `toml:"labels"`  // that pools may select by, besides the keys above
}

// State is the backend's state for the decision module.
func (b Backend) State() standpoint.State {
	if b.Draining {
		return standpoint.Draining
	}
	return standpoint.Ready
}

// ReadyAt is when the backend was started, in nanoseconds of Unix time; 0 for long ago.
func (b Backend) ReadyAt() int64 {
	if b.StartedAt.IsZero() {
		return 0
	}
	return b.StartedAt.UnixNano()
}

// complete sets the defaults of the i-th backend and validates it.
func (b *Backend) complete(i int) error {
	setDefault(&b.Mode, BackendStream)
	setDefault(&b.Capacity, 1)
	if b.Name == "" {
		return keyError(indexed("real_server", i, "name"), "missing")
	}
	if b.Mode != BackendStream && b.Mode != BackendBatch {
		return keyError(indexed("real_server", i, "mode"), "%q is neither %q nor %q",
			b.Mode, BackendStream, BackendBatch)
	}
	return validateLoopback(indexed("real_server", i, "address"), b.Address)
}
