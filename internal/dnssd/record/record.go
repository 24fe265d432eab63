package record

import (
	"net/netip"
	"strings"

	"github.com/miekg/dns"
)

// Kind is the type of a resource record (RFC 1035, 3.2.2), as on the wire.
type Kind uint16

// The kinds of records that are decoded. All others are ignored.
const (
	PTR  = Kind(dns.TypePTR)
	SRV  = Kind(dns.TypeSRV)
	TXT  = Kind(dns.TypeTXT)
	A    = Kind(dns.TypeA)
	AAAA = Kind(dns.TypeAAAA)
	SOA  = Kind(dns.TypeSOA)
)

// String implements fmt.Stringer.
func (k Kind) String() string { return dns.TypeToString[uint16(k)] }

// Record is a decoded resource record. Which fields are set depends on the kind.
type Record struct {
	Name       string // canonical name
	Kind       Kind
	TTL        uint32     // time to live in seconds
	CacheFlush bool       // mDNS: whether the message has the whole set (RFC 6762, 10.2)
	Target     string     // PTR: target name, in the case that was sent
	Server     Target     // SRV: target of the service
	Text       string     // TXT: strings, joined by NUL so that records can be compared
	IP         netip.Addr // A and AAAA: address
	Serial     uint32     // SOA: serial of the zone
	// NegativeTTL is set for SOA records: the number of seconds for which the absence of records may be cached (RFC
	// 2308, 4).
	NegativeTTL uint32
}

// CanonicalName returns the form in which names are compared: in lower case, fully qualified, with uniform escapes. It
// returns "" for a name that has no wire form.
func CanonicalName(name string) string {
	if isPlainName(name) {
		return strings.ToLower(dns.Fqdn(name))
	}
	var wire [256]byte
	n, err := dns.PackDomainName(dns.Fqdn(name), wire[:], 0, nil, false)
	if err != nil {
		return ""
	}
	uniform, _, err := dns.UnpackDomainName(wire[:n], 0)
	if err != nil {
		return ""
	}
	return strings.ToLower(uniform)
}

// maxPlainNameLength is the maximum length in bytes of names that isPlainName accepts, well below the limit of 255
// bytes in wire form.
const maxPlainNameLength = 200

// isPlainName reports whether a name needs no normalization of escapes: it has only letters, digits, "-", "_" and dots,
// and no empty label.
func isPlainName(name string) bool {
	if name == "" || len(name) > maxPlainNameLength || name[0] == '.' {
		return false
	}
	label := 0
	for i := range len(name) {
		if name[i] == '.' {
			if label == 0 {
				return false
			}
			label = 0
			continue
		}
		if !isPlainCharacter(name[i]) {
			return false
		}
		label++
		if label > maxLabelLength {
			return false
		}
	}
	return true
}

// isPlainCharacter reports whether c is a letter, a digit, "-" or "_".
func isPlainCharacter(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_'
}

// Within reports whether a canonical name is equal to a canonical domain or below it.
func Within(name, domain string) bool {
	return name == domain || domain == "." || strings.HasSuffix(name, "."+domain)
}

const (
	classMask     = 0x7fff // bits of the class field that contain the class
	cacheFlushBit = 0x8000 // bit of the class field in mDNS messages (RFC 6762, 10.2)
)

// Decode decodes a record. ok is false for kinds that are not supported, classes other than IN, and invalid names and
// addresses.
func Decode(rr dns.RR) (r Record, ok bool) {
	header := rr.Header()
	r = Record{
		Name:       CanonicalName(header.Name),
		Kind:       Kind(header.Rrtype),
		TTL:        header.Ttl,
		CacheFlush: header.Class&cacheFlushBit != 0,
	}
	if r.Name == "" || header.Class&classMask != dns.ClassINET {
		return r, false
	}
	switch rr := rr.(type) {
	case *dns.PTR:
		r.Target = rr.Ptr
	case *dns.SRV:
		r.Server = Target{Priority: rr.Priority, Weight: rr.Weight, Port: rr.Port, Host: CanonicalName(rr.Target)}
	case *dns.TXT:
		r.Text = strings.Join(rr.Txt, "\x00")
	case *dns.A:
		r.IP, ok = netip.AddrFromSlice(rr.A.To4())
		return r, ok
	case *dns.AAAA:
		r.IP, ok = netip.AddrFromSlice(rr.AAAA.To16())
		return r, ok
	case *dns.SOA:
		r.Serial = rr.Serial
		r.NegativeTTL = min(rr.Minttl, header.Ttl)
	default:
		return r, false
	}
	return r, true
}

// EqualIgnoringTTL reports whether two records are equal except for their TTLs and cache-flush bits.
func (r Record) EqualIgnoringTTL(other Record) bool {
	r.TTL = other.TTL
	r.CacheFlush = other.CacheFlush
	if r.Kind == PTR && other.Kind == PTR {
		r.Target = CanonicalName(r.Target)
		other.Target = CanonicalName(other.Target)
	}
	return r == other
}
