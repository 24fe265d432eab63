// Package responder is a DNS-SD server for tests, written from RFC 1035, 2136, 2308, 6762, 6763, 8490 and 8765, with
// scripted faults. It is test equipment; the daemon does not import it.
package responder

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

const (
	maxNames     = 60_000 // names in a zone; records of further names are not added
	changeBuffer = 256    // changes that a watcher may be behind
)

// Change adds a record to a zone, or removes it.
type Change struct {
	RR     dns.RR
	Remove bool
}

// Zone is the records of a DNS zone. It is safe for concurrent use.
type Zone struct {
	Domain string

	mu           sync.Mutex
	serial       uint32
	fixedSerial  bool                    // whether changes leave the serial as it is
	noSerial     bool                    // whether the zone has no SOA record
	records      map[record.Key][]dns.RR // the lists are replaced, never changed in place
	recordCounts map[string]int          // number of records, by name
	leases       map[string]*time.Timer  // removes a record when its lease ends
	watchers     map[chan []Change]bool
	empty        bool // see SetEmpty
}

// NewZone returns a zone without records.
func NewZone(domain string, serial uint32) *Zone {
	return &Zone{Domain: dns.Fqdn(domain), serial: serial, records: map[record.Key][]dns.RR{},
		recordCounts: map[string]int{}, leases: map[string]*time.Timer{}, watchers: map[chan []Change]bool{}}
}

// OmitSOA makes the zone have no SOA record.
func (z *Zone) OmitSOA() { z.mu.Lock(); z.noSerial = true; z.mu.Unlock() }

// SetEmpty makes DNS queries see the zone as empty, as after a restart with data loss, until it is called with false.
// mDNS and push are not affected.
func (z *Zone) SetEmpty(empty bool) { z.mu.Lock(); z.empty = empty; z.mu.Unlock() }

func keyOf(rr dns.RR) record.Key {
	return record.Key{Name: record.CanonicalName(rr.Header().Name), Kind: record.Kind(rr.Header().Rrtype)}
}

// Apply adds and removes records in one step, with one increment of the serial. Changes without effect are ignored.
func (z *Zone) Apply(changes ...Change) {
	z.mu.Lock()
	defer z.mu.Unlock()
	var effective []Change
	for _, c := range changes {
		k := keyOf(c.RR)
		i := slices.IndexFunc(z.records[k], func(rr dns.RR) bool { return dns.IsDuplicate(rr, c.RR) })
		switch {
		case c.Remove && i >= 0:
			z.records[k] = slices.Delete(slices.Clone(z.records[k]), i, i+1)
			if z.recordCounts[k.Name]--; z.recordCounts[k.Name] == 0 {
				delete(z.recordCounts, k.Name)
			}
		case !c.Remove && i < 0 && len(z.recordCounts) < maxNames:
			z.records[k] = append(slices.Clone(z.records[k]), c.RR)
			z.recordCounts[k.Name]++
		default:
			continue
		}
		effective = append(effective, c)
	}
	if len(effective) == 0 {
		return
	}
	if !z.fixedSerial {
		z.serial++
	}
	for w := range z.watchers {
		select {
		case w <- effective:
		default: // a watcher that is too far behind has to subscribe again
			delete(z.watchers, w)
			close(w)
		}
	}
}

// watch subscribes to all changes from now on. The channel is closed when the reader is too far behind.
func (z *Zone) watch() chan []Change {
	z.mu.Lock()
	defer z.mu.Unlock()
	w := make(chan []Change, changeBuffer)
	z.watchers[w] = true
	return w
}

func (z *Zone) unwatch(w chan []Change) {
	z.mu.Lock()
	defer z.mu.Unlock()
	delete(z.watchers, w)
}

// lookup returns the records of a canonical name and a kind.
func (z *Zone) lookup(name string, kind record.Kind) []dns.RR {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.records[record.Key{Name: name, Kind: kind}]
}

func (z *Zone) soa() *dns.SOA {
	return &dns.SOA{Hdr: dns.RR_Header{Name: z.Domain, Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: 5},
		Ns: "ns." + z.Domain, Mbox: "admin." + z.Domain, Serial: z.serial, Refresh: 60, Retry: 10, Expire: 600,
		Minttl: 2}
}

// Instance is an instance of a service.
type Instance struct {
	Label, Service string // instance label, and service type such as _engine._tcp
	Address        netip.AddrPort
	Text           []string // strings of the TXT record
	Subtypes       []string
	TTL            uint32 // of all its records, in seconds
}

// Records returns the records of an instance: PTR, SRV, TXT and the address of its host, which is named after the
// instance.
func (z *Zone) Records(instance Instance) ([]dns.RR, error) {
	base := dns.Fqdn(instance.Service + "." + z.Domain)
	name, err := record.JoinInstance(instance.Label, base)
	if err != nil {
		return nil, err
	}
	host, err := record.JoinInstance(instance.Label, "_hosts."+z.Domain)
	if err != nil {
		return nil, err
	}
	ttl := instance.TTL
	header := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: ttl}
	}
	records := []dns.RR{&dns.PTR{Hdr: header(base, dns.TypePTR), Ptr: name},
		&dns.SRV{Hdr: header(name, dns.TypeSRV), Port: instance.Address.Port(), Target: host}}
	for _, s := range instance.Subtypes {
		records = append(records,
			&dns.PTR{Hdr: header(dns.Fqdn(s+"._sub."+instance.Service+"."+z.Domain), dns.TypePTR), Ptr: name})
	}
	text := instance.Text
	if len(text) == 0 {
		text = []string{""}
	}
	records = append(records, &dns.TXT{Hdr: header(name, dns.TypeTXT), Txt: text})
	if instance.Address.Addr().Is4() {
		return append(records, &dns.A{Hdr: header(host, dns.TypeA), A: instance.Address.Addr().AsSlice()}), nil
	}
	return append(records, &dns.AAAA{Hdr: header(host, dns.TypeAAAA), AAAA: instance.Address.Addr().AsSlice()}), nil
}

// Publish adds the records of instances in one step.
func (z *Zone) Publish(instances ...Instance) error { return z.applyInstances(false, instances) }

// Withdraw removes the records of instances in one step.
func (z *Zone) Withdraw(instances ...Instance) error { return z.applyInstances(true, instances) }

func (z *Zone) applyInstances(remove bool, instances []Instance) error {
	var all []Change
	services := map[string]bool{}
	for _, instance := range instances {
		records, err := z.Records(instance)
		if err != nil {
			return err
		}
		for _, rr := range records {
			all = append(all, Change{rr, remove})
		}
		if !remove && !services[instance.Service] { // RFC 6763, 9
			services[instance.Service] = true
			all = append(all, Change{&dns.PTR{Hdr: dns.RR_Header{Name: record.EnumerationName(z.Domain),
				Rrtype: dns.TypePTR, Class: dns.ClassINET, Ttl: 60}, Ptr: dns.Fqdn(instance.Service + "." + z.Domain)}, false})
		}
	}
	z.Apply(all...)
	return nil
}

// respond makes the response of an authoritative server to a query with one question.
func (z *Zone) respond(q *dns.Msg) *dns.Msg {
	m := new(dns.Msg).SetReply(q)
	m.Authoritative = true
	if len(q.Question) != 1 {
		m.Rcode = dns.RcodeFormatError
		return m
	}
	name, kind := record.CanonicalName(q.Question[0].Name), record.Kind(q.Question[0].Qtype)
	z.mu.Lock()
	defer z.mu.Unlock()
	if !record.Within(name, strings.ToLower(z.Domain)) || z.empty {
		m.Authoritative, m.Rcode = false, dns.RcodeRefused
		if z.empty { // the server has the zone, but no names in it
			m.Rcode = dns.RcodeNameError
		}
		return m
	}
	if kind == record.SOA && name == strings.ToLower(z.Domain) && !z.noSerial {
		m.Answer = []dns.RR{z.soa()}
		return m
	}
	m.Answer = z.records[record.Key{Name: name, Kind: kind}]
	if len(m.Answer) == 0 {
		if z.recordCounts[name] == 0 && name != strings.ToLower(z.Domain) {
			m.Rcode = dns.RcodeNameError
		}
		if !z.noSerial {
			m.Ns = []dns.RR{z.soa()}
		}
		return m
	}
	// Add the records that the client will query next (RFC 6763, 12). Where they come to more than 40, for which a
	// packet has no room, leave all out.
	for _, rr := range m.Answer {
		if len(m.Extra) > 40 {
			m.Extra = nil
			break
		}
		switch rr := rr.(type) {
		case *dns.PTR:
			target := record.CanonicalName(rr.Ptr)
			m.Extra = append(append(m.Extra, z.records[record.Key{Name: target, Kind: record.SRV}]...),
				z.records[record.Key{Name: target, Kind: record.TXT}]...)
		case *dns.SRV:
			host := record.CanonicalName(rr.Target)
			m.Extra = append(append(m.Extra, z.records[record.Key{Name: host, Kind: record.A}]...),
				z.records[record.Key{Name: host, Kind: record.AAAA}]...)
		}
	}
	return m
}

// update executes a DNS UPDATE (RFC 2136) without prerequisites. Records with a lease are removed when it ends
// (RFC 9664).
func (z *Zone) update(q *dns.Msg) *dns.Msg {
	m := new(dns.Msg).SetReply(q)
	if len(q.Question) != 1 || !strings.EqualFold(q.Question[0].Name, z.Domain) || len(q.Answer) > 0 {
		m.Rcode = dns.RcodeNotZone
		return m
	}
	var lease time.Duration
	if o := q.IsEdns0(); o != nil {
		for _, option := range o.Option {
			if ul, ok := option.(*dns.EDNS0_UL); ok {
				lease = time.Duration(ul.Lease) * time.Second
			}
		}
	}
	var all []Change
	for _, rr := range q.Ns {
		h := rr.Header()
		k := keyOf(rr)
		if !record.Within(k.Name, strings.ToLower(z.Domain)) {
			m.Rcode = dns.RcodeNotZone
			return m
		}
		switch h.Class {
		case dns.ClassANY:
			for _, old := range z.lookup(k.Name, k.Kind) {
				all = append(all, Change{old, true})
			}
		case dns.ClassNONE:
			h.Class = dns.ClassINET
			all = append(all, Change{rr, true})
		default:
			all = append(all, Change{rr, false})
			z.setLease(rr, lease)
		}
	}
	// A record that is removed and added again has not changed.
	effective := slices.DeleteFunc(slices.Clone(all), func(c Change) bool {
		return slices.ContainsFunc(all, func(o Change) bool {
			return o.Remove != c.Remove && dns.IsDuplicate(o.RR, c.RR) && z.contains(c.RR)
		})
	})
	z.Apply(effective...)
	return m
}

// contains reports whether the zone has a record with the same data.
func (z *Zone) contains(rr dns.RR) bool {
	k := keyOf(rr)
	return slices.ContainsFunc(z.lookup(k.Name, k.Kind), func(o dns.RR) bool { return dns.IsDuplicate(o, rr) })
}

// setLease removes a record after a lease, in place of an earlier one. A lease of 0 changes nothing.
func (z *Zone) setLease(rr dns.RR, lease time.Duration) {
	if lease <= 0 {
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	key := fmt.Sprint(keyOf(rr), rr.String())
	if t := z.leases[key]; t != nil {
		t.Stop()
	}
	z.leases[key] = time.AfterFunc(lease, func() { z.Apply(Change{rr, true}) })
}

// Copy returns a copy of the zone as it is now, as a secondary server has it whose transfers have stopped.
func (z *Zone) Copy() *Zone {
	z.mu.Lock()
	defer z.mu.Unlock()
	copied := NewZone(z.Domain, z.serial)
	copied.noSerial = z.noSerial
	for k, all := range z.records {
		copied.records[k] = all // shared, as the lists are never changed in place
	}
	for name, n := range z.recordCounts {
		copied.recordCounts[name] = n
	}
	return copied
}

// Labels returns the labels of the present instances of a service, sorted.
func (z *Zone) Labels(service string) (labels []string) {
	for _, rr := range z.lookup(record.CanonicalName(service+"."+z.Domain), record.PTR) {
		if p, ok := rr.(*dns.PTR); ok {
			if label, _, err := record.SplitInstance(p.Ptr); err == nil {
				labels = append(labels, label)
			}
		}
	}
	slices.Sort(labels)
	return labels
}
