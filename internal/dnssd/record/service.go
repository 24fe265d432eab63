package record

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
)

// MaxInstances bounds the instances of one service.
const MaxInstances = 4096

// Service is what is browsed for.
type Service struct {
	Type    string // such as _engine._tcp
	Subtype string // such as _large; "" for all of the type
	Domain  string
}

// BaseName is the canonical name that the instances' names end in.
func (s Service) BaseName() string { return CanonicalName(s.Type + "." + s.Domain) }

// ListName is the canonical name whose PTR records list the instances (RFC 6763, 4 and 7.1).
func (s Service) ListName() string {
	if s.Subtype != "" {
		return CanonicalName(s.Subtype + "._sub." + s.Type + "." + s.Domain)
	}
	return s.BaseName()
}

// EnumerationName is the name whose PTR records list a domain's service types (RFC 6763, 9).
func EnumerationName(domain string) string { return CanonicalName("_services._dns-sd._udp." + domain) }

// Instance is one instance of a service, assembled from its records.
type Instance struct {
	Name       string // full and canonical: its identity
	Label      string // as people read it
	Address    netip.AddrPort
	Attributes Attributes
	TTL        uint32 // seconds: the shortest of its records
	ExpiresAt  int64  // the earliest end of its records' time to live, nanoseconds
	Pending    bool   // some of its records are not known yet
	Fault      error  // what is wrong with its records; with one, the address is not valid
}

// Instances are the sorted canonical names that the service's list has now, up to MaxInstances. omitted is how many
// more there are. Names that are not in the service are passed over.
func (c *Cache) Instances(s Service) (names []string, omitted int) {
	base := s.BaseName()
	seen := map[string]bool{}
	for _, r := range c.Records(s.ListName(), PTR) {
		name := CanonicalName(r.Target)
		switch {
		case name == base || !Within(name, base) || seen[name]:
		case len(names) == MaxInstances:
			omitted++
		default:
			seen[name] = true
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, omitted
}

// RequiredKeys are the sets that a listed instance needs, as far as they are known by now: its SRV and TXT, and the
// addresses of the target that its SRV records give. AAAA is required only where there is no A.
func (c *Cache) RequiredKeys(instance string) []Key {
	keys := []Key{{instance, SRV}, {instance, TXT}}
	target, err := c.target(instance)
	if err != nil {
		return keys
	}
	keys = append(keys, Key{target.Host, A})
	if set := c.Get(target.Host, A); set != nil && set.ReceivedAt != 0 && len(set.Records) == 0 {
		keys = append(keys, Key{target.Host, AAAA})
	}
	return keys
}

// target is the one of an instance's SRV records that all nodes use.
func (c *Cache) target(instance string) (Target, error) {
	var targets []Target
	for _, r := range c.Records(instance, SRV) {
		targets = append(targets, r.Server)
	}
	return Choose(targets, draw(instance))
}

// Assemble makes an instance of what is known. An empty label is taken from the name.
func (c *Cache) Assemble(name, label string) Instance {
	instance := Instance{Name: name, Label: label, TTL: math.MaxUint32, ExpiresAt: math.MaxInt64}
	if instance.Label == "" {
		instance.Label, _, instance.Fault = SplitInstance(name)
		if instance.Fault != nil {
			return instance
		}
	}
	if !c.include(&instance, name, SRV) || !c.include(&instance, name, TXT) {
		instance.Fault = c.failure(name)
		return instance
	}
	target, err := c.target(name)
	if err != nil {
		instance.Fault = err
		return instance
	}
	ip := c.address(&instance, target.Host)
	if !ip.IsValid() {
		instance.Fault = fmt.Errorf("no address of %s", target.Host)
		if instance.Pending {
			instance.Fault = c.failure(target.Host)
		}
		return instance
	}
	instance.Pending = false
	instance.Address = netip.AddrPortFrom(ip, target.Port)
	var texts []string
	for _, r := range c.Records(name, TXT) {
		texts = append(texts, strings.Split(r.Text, "\x00")...)
	}
	instance.Attributes = ParseTXT(texts)
	return instance
}

// include bounds an instance's times by those of a set, and reports whether the set is known. Where it is not, the
// instance is pending.
func (c *Cache) include(instance *Instance, name string, kind Kind) bool {
	set := c.Get(name, kind)
	if set == nil || set.ReceivedAt == 0 {
		instance.Pending = true
		return false
	}
	instance.ExpiresAt = min(instance.ExpiresAt, set.ExpiresAt)
	for _, r := range set.Records {
		instance.TTL = min(instance.TTL, r.TTL)
	}
	return true
}

// address is a host's IPv4 address, or else its IPv6 address; the zero Addr if neither is known. The instance is
// pending then if the last set that was looked at is unknown.
func (c *Cache) address(instance *Instance, host string) netip.Addr {
	for _, kind := range []Kind{A, AAAA} {
		instance.Pending = false
		if !c.include(instance, host, kind) {
			continue
		}
		if records := c.Records(host, kind); len(records) > 0 {
			return lowestAddress(records)
		}
	}
	return netip.Addr{}
}

// lowestAddress is the same at all nodes, whatever the order of the records.
func lowestAddress(records []Record) netip.Addr {
	return slices.MinFunc(records, func(a, b Record) int { return a.IP.Compare(b.IP) }).IP
}

// failure is why required records of a name are unknown.
func (c *Cache) failure(name string) error {
	for _, kind := range []Kind{SRV, TXT, A, AAAA} {
		if set := c.Get(name, kind); set != nil && set.Failure != "" {
			return fmt.Errorf("%s %s: %s", kind, name, set.Failure)
		}
	}
	return fmt.Errorf("not all records of %s are told yet", name)
}
