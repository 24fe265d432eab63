package record

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
)

// MaxInstances is the maximum number of instances of one service; further ones are left out.
const MaxInstances = 4096

// Service identifies a service in a domain.
type Service struct {
	Type    string // service type, such as _engine._tcp
	Subtype string // subtype, such as _large; "" for all instances of the type
	Domain  string // domain that is browsed
}

// BaseName returns the canonical name of the service type in the domain, which the names of all instances end in.
func (s Service) BaseName() string { return CanonicalName(s.Type + "." + s.Domain) }

// ListName returns the canonical name whose PTR records list the instances (RFC 6763, 4 and 7.1).
func (s Service) ListName() string {
	if s.Subtype != "" {
		return CanonicalName(s.Subtype + "._sub." + s.Type + "." + s.Domain)
	}
	return s.BaseName()
}

// EnumerationName returns the canonical name whose PTR records list the service types of a domain (RFC 6763, 9).
func EnumerationName(domain string) string { return CanonicalName("_services._dns-sd._udp." + domain) }

// Instance is one instance of a service, assembled from its records.
type Instance struct {
	Name       string         // full canonical name, which identifies the instance
	Label      string         // unescaped instance label, for display
	Address    netip.AddrPort // address of the target; invalid if Fault is set
	Attributes Attributes     // attributes of the TXT records
	TTL        uint32         // shortest TTL of the instance's records in seconds
	ExpiresAt  int64          // earliest expiry of the instance's records in nanoseconds
	Pending    bool           // whether records are missing that have not been received yet
	Fault      error          // reason why the instance cannot be used; nil if it can
}

// Instances returns the sorted canonical names of the instances in the service's list, up to MaxInstances. omitted is
// the number of further ones. Names outside the service are ignored.
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

// RequiredKeys returns the keys of the sets that a listed instance needs, as far as they can be derived from the cached
// records: its SRV and TXT, and the addresses of the selected SRV target. AAAA is required only if the target is known
// to have no A records.
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

// target selects the target of an instance from its SRV records. The choice is the same at all nodes.
func (c *Cache) target(instance string) (Target, error) {
	var targets []Target
	for _, r := range c.Records(instance, SRV) {
		targets = append(targets, r.Server)
	}
	return Choose(targets, selectionFraction(instance))
}

// Assemble returns the instance with the given name, assembled from the cached records. If label is empty, it is taken
// from the name.
func (c *Cache) Assemble(name, label string) Instance {
	instance := Instance{Name: name, Label: label, TTL: math.MaxUint32, ExpiresAt: math.MaxInt64}
	if instance.Label == "" {
		instance.Label, _, instance.Fault = SplitInstance(name)
		if instance.Fault != nil {
			return instance
		}
	}
	if !c.applySet(&instance, name, SRV) || !c.applySet(&instance, name, TXT) {
		instance.Fault = c.missingReason(name)
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
			instance.Fault = c.missingReason(target.Host)
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

// applySet reduces an instance's TTL and expiry to those of a set, and reports whether the set has been received. If
// not, the instance is marked as pending.
func (c *Cache) applySet(instance *Instance, name string, kind Kind) bool {
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

// address returns a host's IPv4 address or else its IPv6 address, or the zero Addr if neither is known. It marks the
// instance as pending if the last of the sets that it examined has not been received.
func (c *Cache) address(instance *Instance, host string) netip.Addr {
	for _, kind := range []Kind{A, AAAA} {
		instance.Pending = false
		if !c.applySet(instance, host, kind) {
			continue
		}
		if records := c.Records(host, kind); len(records) > 0 {
			return lowestAddress(records)
		}
	}
	return netip.Addr{}
}

// lowestAddress returns the lowest address, so that all nodes choose the same one whatever the order of the records.
func lowestAddress(records []Record) netip.Addr {
	return slices.MinFunc(records, func(a, b Record) int { return a.IP.Compare(b.IP) }).IP
}

// missingReason returns the reason why records of a name are unknown: the error of the latest query, if one failed.
func (c *Cache) missingReason(name string) error {
	for _, kind := range []Kind{SRV, TXT, A, AAAA} {
		if set := c.Get(name, kind); set != nil && set.Failure != "" {
			return fmt.Errorf("%s %s: %s", kind, name, set.Failure)
		}
	}
	return fmt.Errorf("not all records of %s have been received yet", name)
}
