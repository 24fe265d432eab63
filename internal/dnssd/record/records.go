package record

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

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

// Record is a resource record, decoded. Which fields are set depends on the kind.
type Record struct {
	Name        string // as Fold has it
	Kind        Kind
	TTL         uint32 // seconds
	CacheFlush  bool   // mDNS: the sender tells the whole set (RFC 6762, 10.2)
	Target      string // PTR: what it names, its letters as told
	Server      Target // SRV
	Text        string // TXT: its strings in wire form, so that records can be compared
	IP          netip.Addr
	Serial      uint32 // SOA
	NegativeTTL uint32 // SOA: the negative TTL's bound (RFC 2308, 4)
}

// CanonicalName is the form in which names are compared: lower case, fully qualified, escapes written one way. A name that has
// no wire form is "".
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

// isPlainName tells that a name needs no second look: letters, digits, "-", "_" and dots, no empty label.
func isPlainName(name string) bool {
	if name == "" || len(name) > 200 || name[0] == '.' {
		return false
	}
	label := 0
	for i := range len(name) {
		switch c := name[i]; {
		case c == '.':
			if label == 0 {
				return false
			}
			label = 0
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '-', c == '_':
			if label++; label > maxLabelLength {
				return false
			}
		default:
			return false
		}
	}
	return true
}

// Within tells whether a folded name is in a folded domain.
func Within(name, domain string) bool {
	return name == domain || domain == "." || strings.HasSuffix(name, "."+domain)
}

// Decode reads a record; ok is false for kinds that mean nothing here.
func Decode(rr dns.RR) (r Record, ok bool) {
	h := rr.Header()
	r = Record{Name: CanonicalName(h.Name), Kind: Kind(h.Rrtype), TTL: h.Ttl, CacheFlush: h.Class&0x8000 != 0}
	if r.Name == "" || h.Class&0x7fff != dns.ClassINET {
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
		r.Serial, r.NegativeTTL = rr.Serial, min(rr.Minttl, h.Ttl)
	default:
		return r, false
	}
	return r, true
}

// equalIgnoringTTL tells that two records say the same, their TTLs aside.
func (r Record) equalIgnoringTTL(o Record) bool {
	r.TTL, r.CacheFlush, o.TTL, o.CacheFlush = 0, false, 0, false
	if r.Kind == PTR && o.Kind == PTR {
		r.Target, o.Target = CanonicalName(r.Target), CanonicalName(o.Target)
	}
	return r == o
}

// Key names a set of records.
type Key struct {
	Name string // folded
	Kind Kind
}

// Set is what is known under a key.
type Set struct {
	Records    []Record // none: there are none, as the server said (RFC 2308)
	ReceivedAt int64    // when, in nanoseconds
	ExpiresAt  int64    // the end of its time to live
	RefreshAt  int64    // when it is to be asked for again
	Failure    string   // the latest question's failure; "" where there was none
}

// Bounds of a View.
const (
	MaxSets          = 40_000 // keys, more are not taken
	maxRecordsPerSet = 8192   // in a set
	// maxNegativeTTL bounds how long the lack of a record is believed, whatever the SOA says.
	maxNegativeTTL = 5 * time.Second
	maxTTL         = 24 * time.Hour
)

// Cache is all that is known of a domain: a cache with the time each set lives.
type Cache struct{ sets map[Key]*Set }

// NewCache makes one that is empty.
func NewCache() *Cache { return &Cache{sets: map[Key]*Set{}} }

// Len is the number of sets.
func (v *Cache) Len() int { return len(v.sets) }

// Get is the set under a key, nil if it was never told.
func (v *Cache) Get(name string, kind Kind) *Set { return v.sets[Key{name, kind}] }

// Records are the records under a key.
func (v *Cache) Records(name string, kind Kind) []Record {
	if s := v.sets[Key{name, kind}]; s != nil {
		return s.Records
	}
	return nil
}

// Put takes in a whole answer. Without records it is the word that there are none, which is believed for least seconds,
// bounded to 5 s: a box that is published a moment later must not wait long. It tells whether anything has changed.
func (v *Cache) Put(k Key, records []Record, least uint32, now int64) bool {
	s := v.sets[k]
	if s == nil {
		if len(v.sets) >= MaxSets {
			return false
		}
		s = &Set{}
		v.sets[k] = s
	}
	live := maxTTL
	if len(records) == 0 {
		live = min(time.Duration(least)*time.Second, maxNegativeTTL)
	}
	for _, r := range records {
		live = min(live, time.Duration(r.TTL)*time.Second)
	}
	if len(records) > maxRecordsPerSet {
		records = records[:maxRecordsPerSet]
	}
	changed := s.ReceivedAt == 0 || !sameRecords(s.Records, records)
	s.Records, s.ReceivedAt, s.ExpiresAt, s.Failure = records, now, now+int64(live), ""
	s.RefreshAt = s.ExpiresAt
	return changed
}

func sameRecords(a, b []Record) bool {
	if len(a) != len(b) {
		return false
	}
	if len(a) > 16 { // large sets come in any order
		have := make(map[string]struct{}, len(a))
		for _, r := range a {
			have[fmt.Sprint(CanonicalName(r.Target), r.Server, r.Text, r.IP)] = struct{}{}
		}
		for _, r := range b {
			if _, ok := have[fmt.Sprint(CanonicalName(r.Target), r.Server, r.Text, r.IP)]; !ok {
				return false
			}
		}
		return true
	}
	for _, r := range a {
		if !slices.ContainsFunc(b, r.equalIgnoringTTL) {
			return false
		}
	}
	return true
}

// RecordFailure notes that a question was not answered. What was known stays.
func (v *Cache) RecordFailure(k Key, why string, again int64) {
	s := v.sets[k]
	if s == nil {
		if len(v.sets) >= MaxSets {
			return
		}
		s = &Set{}
		v.sets[k] = s
	}
	s.Failure, s.RefreshAt = why, again
}

// Add takes in one record, as push and mDNS tell them, and tells whether it is news.
func (v *Cache) Add(r Record, now int64) bool {
	k := Key{r.Name, r.Kind}
	s := v.sets[k]
	if s == nil {
		if len(v.sets) >= MaxSets {
			return false
		}
		s = &Set{}
		v.sets[k] = s
	}
	until := now + int64(min(time.Duration(r.TTL)*time.Second, maxTTL))
	for i, old := range s.Records {
		if old.equalIgnoringTTL(r) {
			s.Records[i].TTL = r.TTL
			s.ReceivedAt, s.ExpiresAt, s.Failure = now, until, ""
			return false
		}
	}
	if len(s.Records) >= maxRecordsPerSet {
		return false
	}
	s.Records = append(slices.Clone(s.Records), r)
	s.ReceivedAt, s.ExpiresAt, s.Failure = now, until, ""
	return true
}

// Remove takes out one record, and tells whether it was there.
func (v *Cache) Remove(r Record, now int64) bool {
	s := v.sets[Key{r.Name, r.Kind}]
	if s == nil {
		return false
	}
	kept := slices.DeleteFunc(slices.Clone(s.Records), r.equalIgnoringTTL)
	gone := len(kept) < len(s.Records)
	s.Records, s.ReceivedAt = kept, now
	return gone
}

// Clear takes out the set of a kind at a name, or with kind 0 all sets there, and tells whether there was any.
func (v *Cache) Clear(name string, kind Kind, now int64) bool {
	gone := false
	for _, k := range []Kind{PTR, SRV, TXT, A, AAAA} {
		if s := v.sets[Key{name, k}]; s != nil && (kind == 0 || kind == k) {
			gone = gone || len(s.Records) > 0
			s.Records, s.ReceivedAt = nil, now
		}
	}
	return gone
}

// Invalidate marks every set as due now: the zone has changed.
func (v *Cache) Invalidate(now int64) {
	for _, s := range v.sets {
		s.RefreshAt = min(s.RefreshAt, now)
	}
}

// NextRefresh is when the first of all sets is to be asked for again.
func (v *Cache) NextRefresh() int64 {
	next := int64(math.MaxInt64)
	for _, s := range v.sets {
		next = min(next, s.RefreshAt)
	}
	return next
}

// Retain forgets the sets that are not among those wanted.
func (v *Cache) Retain(wanted map[Key]bool) {
	for k := range v.sets {
		if !wanted[k] {
			delete(v.sets, k)
		}
	}
}

// Service is what is browsed.
type Service struct {
	Type    string // such as _engine._tcp
	Subtype string // such as _large; "" for all of the type
	Domain  string
}

// BaseName is the folded name that instances hang under.
func (s Service) BaseName() string { return CanonicalName(s.Type + "." + s.Domain) }

// ListName is the folded name whose PTR records list the instances (RFC 6763, 4 and 7.1).
func (s Service) ListName() string {
	if s.Subtype != "" {
		return CanonicalName(s.Subtype + "._sub." + s.Type + "." + s.Domain)
	}
	return s.BaseName()
}

// EnumerationName is the name whose PTR records list a domain's service types (RFC 6763, 9).
func EnumerationName(domain string) string { return CanonicalName("_services._dns-sd._udp." + domain) }

// MaxInstances bounds the instances of one service.
const MaxInstances = 4096

// Instance is one instance of a service, put together from its records.
type Instance struct {
	Name       string // full, folded: what it is known by
	Label      string // as people read it
	Address    netip.AddrPort
	Attributes Attributes
	TTL        uint32 // seconds: the shortest of its records
	ExpiresAt  int64  // the earliest end of its records' time, nanoseconds
	Pending    bool   // some of its records are not told yet, or not answered for now
	Fault      error  // what is wrong with its records
}

// Instances are the folded names that are listed now, with their labels, in order; the rest are passed over because
// they are no names of the service, or too many.
func (v *Cache) Instances(s Service) (names []string, over int) {
	base := s.BaseName()
	seen := map[string]bool{}
	for _, r := range v.Records(s.ListName(), PTR) {
		name := CanonicalName(r.Target)
		switch {
		case name == base || !Within(name, base) || seen[name]:
		case len(names) == MaxInstances:
			over++
		default:
			seen[name] = true
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, over
}

// RequiredKeys are the keys that a listed instance needs, as far as they are known by now: its SRV and TXT, and the addresses
// of the target that its SRV records give. AAAA is wanted only where there is no A.
func (v *Cache) RequiredKeys(instance string) []Key {
	keys := []Key{{instance, SRV}, {instance, TXT}}
	target, err := v.target(instance)
	if err != nil {
		return keys
	}
	keys = append(keys, Key{target.Host, A})
	if s := v.Get(target.Host, A); s != nil && s.ReceivedAt != 0 && len(s.Records) == 0 {
		keys = append(keys, Key{target.Host, AAAA})
	}
	return keys
}

func (v *Cache) target(instance string) (Target, error) {
	var all []Target
	for _, r := range v.Records(instance, SRV) {
		all = append(all, r.Server)
	}
	return Choose(all, draw(instance))
}

// Assemble puts an instance together from what is known.
func (v *Cache) Assemble(name, label string) Instance {
	in := Instance{Name: name, Label: label, TTL: math.MaxUint32, ExpiresAt: math.MaxInt64}
	known := func(host string, kind Kind) bool {
		s := v.Get(host, kind)
		if s == nil || s.ReceivedAt == 0 {
			in.Pending = true
			return false
		}
		in.ExpiresAt = min(in.ExpiresAt, s.ExpiresAt)
		for _, r := range s.Records {
			in.TTL = min(in.TTL, r.TTL)
		}
		return true
	}
	if in.Label == "" {
		in.Label, _, in.Fault = SplitInstance(name)
		if in.Fault != nil {
			return in
		}
	}
	if !known(name, SRV) || !known(name, TXT) {
		in.Fault = v.failure(name)
		return in
	}
	target, err := v.target(name)
	if err != nil {
		in.Fault = err
		return in
	}
	var ip netip.Addr
	if known(target.Host, A) && len(v.Records(target.Host, A)) > 0 {
		ip = lowestAddress(v.Records(target.Host, A))
	} else if in.Pending = false; known(target.Host, AAAA) && len(v.Records(target.Host, AAAA)) > 0 {
		ip = lowestAddress(v.Records(target.Host, AAAA))
	}
	if !ip.IsValid() {
		if in.Fault = fmt.Errorf("no address of %s", target.Host); in.Pending {
			if why := v.failure(target.Host); why != nil {
				in.Fault = why
			}
		}
		return in
	}
	in.Pending = false
	in.Address = netip.AddrPortFrom(ip, target.Port)
	var texts []string
	for _, r := range v.Records(name, TXT) {
		texts = append(texts, strings.Split(r.Text, "\x00")...)
	}
	in.Attributes = ParseTXT(texts)
	return in
}

// lowestAddress is the lowest address, so that all nodes take the same.
func lowestAddress(records []Record) netip.Addr {
	return slices.MinFunc(records, func(a, b Record) int { return a.IP.Compare(b.IP) }).IP
}

// failure is why what is wanted at a name is not there.
func (v *Cache) failure(name string) error {
	for _, k := range []Kind{SRV, TXT, A, AAAA} {
		if s := v.Get(name, k); s != nil && s.Failure != "" {
			return fmt.Errorf("%s %s: %s", k, name, s.Failure)
		}
	}
	return fmt.Errorf("not all records of %s are told yet", name)
}
