package record

import (
	"net/netip"
	"strings"

	"github.com/miekg/dns"
)

// Kind of a record, by its number on the wire.
type Kind uint16

// Kinds that are read. All others are passed over.
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
	Name       string // canonical
	Kind       Kind
	TTL        uint32 // seconds
	CacheFlush bool   // mDNS: the sender sends the whole set (RFC 6762, 10.2)
	Target     string // PTR: the name that it points to, in the letters that were sent
	Server     Target // SRV
	Text       string // TXT: its strings, separated by NUL, so that records can be compared
	IP         netip.Addr
	Serial     uint32 // SOA
	// NegativeTTL of an SOA is how many seconds the lack of a record may be believed (RFC 2308, 4).
	NegativeTTL uint32
}

// CanonicalName is the form in which names are compared: lower case, fully qualified, escapes written one way. It is ""
// for a name that has no wire form.
func CanonicalName(name string) string {
	if isPlainName(name) {
		return strings.ToLower(dns.Fqdn(name))
	}
	var wire [256]byte
	n, err := dns.PackDomainName(dns.Fqdn(name), wire[:], 0, nil, false)
	if err != nil {
		return ""
	}
	one, _, err := dns.UnpackDomainName(wire[:n], 0)
	if err != nil {
		return ""
	}
	return strings.ToLower(one)
}

// maxPlainName bounds, in bytes, the names that isPlainName accepts: well below the limit of 255 in wire form.
const maxPlainName = 200

// isPlainName reports whether a name has no escapes to be rewritten: letters, digits, "-", "_" and dots, no empty
// label.
func isPlainName(name string) bool {
	if name == "" || len(name) > maxPlainName || name[0] == '.' {
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
		if !isPlainLetter(name[i]) {
			return false
		}
		label++
		if label > maxLabelLength {
			return false
		}
	}
	return true
}

func isPlainLetter(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_'
}

// Within reports whether a canonical name is in a canonical domain.
func Within(name, domain string) bool {
	return name == domain || domain == "." || strings.HasSuffix(name, "."+domain)
}

const (
	classMask     = 0x7fff
	cacheFlushBit = 0x8000 // of the class, with mDNS (RFC 6762, 10.2)
)

// Decode decodes a record; ok is false for kinds that are not read, and for records that make no sense.
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

// EqualIgnoringTTL reports whether two records say the same, their TTLs and cache-flush bits aside.
func (r Record) EqualIgnoringTTL(other Record) bool {
	r.TTL = other.TTL
	r.CacheFlush = other.CacheFlush
	if r.Kind == PTR && other.Kind == PTR {
		r.Target = CanonicalName(r.Target)
		other.Target = CanonicalName(other.Target)
	}
	return r == other
}
