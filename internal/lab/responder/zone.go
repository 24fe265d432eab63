// Package responder is a stand-in for a server of DNS-SD records, written from RFC 1035, 2136, 2308, 6762, 6763, 8490
// and 8765, with faults that can be scripted. It is for the laboratory and for tests; the daemon does not import it.
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
	recordsMost = 60_000
	watchersMax = 256
)

// Change is a record that came or went.
type Change struct {
	RR     dns.RR
	Remove bool
}

// Zone is a zone's records. It is safe for concurrent use.
type Zone struct {
	Domain string

	mu       sync.Mutex
	serial   uint32
	quiet    bool // the serial stays, whatever changes
	noSerial bool
	records  map[record.Key][]dns.RR
	names    map[string]int
	leases   map[string]*time.Timer
	watchers map[chan []Change]bool
	lost     bool
}

// NewZone makes an empty zone with a serial.
func NewZone(domain string, serial uint32) *Zone {
	return &Zone{Domain: dns.Fqdn(domain), serial: serial, records: map[record.Key][]dns.RR{}, names: map[string]int{},
		leases: map[string]*time.Timer{}, watchers: map[chan []Change]bool{}}
}

// NoSerial has the zone tell no SOA.
func (z *Zone) NoSerial() { z.mu.Lock(); z.noSerial = true; z.mu.Unlock() }

// Lose has the server forget its zone, as after a restart, until it is called with false.
func (z *Zone) Lose(lost bool) { z.mu.Lock(); z.lost = lost; z.mu.Unlock() }

func keyOf(rr dns.RR) record.Key {
	return record.Key{Name: record.CanonicalName(rr.Header().Name), Kind: record.Kind(rr.Header().Rrtype)}
}

// Apply adds and removes records in one step: one new serial.
func (z *Zone) Apply(all ...Change) {
	z.mu.Lock()
	defer z.mu.Unlock()
	var effective []Change
	for _, c := range all {
		k := keyOf(c.RR)
		i := slices.IndexFunc(z.records[k], func(rr dns.RR) bool { return dns.IsDuplicate(rr, c.RR) })
		switch {
		case c.Remove && i >= 0:
			z.records[k] = slices.Delete(slices.Clone(z.records[k]), i, i+1)
			if z.names[k.Name]--; z.names[k.Name] == 0 {
				delete(z.names, k.Name)
			}
		case !c.Remove && i < 0 && len(z.names) < recordsMost:
			z.records[k] = append(slices.Clone(z.records[k]), c.RR)
			z.names[k.Name]++
		default:
			continue
		}
		effective = append(effective, c)
	}
	if len(effective) == 0 {
		return
	}
	if !z.quiet {
		z.serial++
	}
	for w := range z.watchers {
		select {
		case w <- effective:
		default: // one that does not keep up has to begin anew
			delete(z.watchers, w)
			close(w)
		}
	}
}

// watch hands on all changes from now on; the channel is closed when one would be lost.
func (z *Zone) watch() chan []Change {
	z.mu.Lock()
	defer z.mu.Unlock()
	w := make(chan []Change, watchersMax)
	z.watchers[w] = true
	return w
}

func (z *Zone) unwatch(w chan []Change) {
	z.mu.Lock()
	defer z.mu.Unlock()
	delete(z.watchers, w)
}

func (z *Zone) get(name string, kind record.Kind) []dns.RR {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.records[record.Key{Name: name, Kind: kind}]
}

func (z *Zone) soa() *dns.SOA {
	return &dns.SOA{Hdr: dns.RR_Header{Name: z.Domain, Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: 5}, Ns: "ns." + z.Domain,
		Mbox: "admin." + z.Domain, Serial: z.serial, Refresh: 60, Retry: 10, Expire: 600, Minttl: 2}
}

// Box is one instance of a service.
type Box struct {
	Label, Service string
	Address        netip.AddrPort
	Text           []string
	Subtypes       []string
	TTL            uint32
}

// Records are a box's: PTR, SRV, TXT and its host's address. The host is named after the instance.
func (z *Zone) Records(b Box) ([]dns.RR, error) {
	base := dns.Fqdn(b.Service + "." + z.Domain)
	name, err := record.JoinInstance(b.Label, base)
	if err != nil {
		return nil, err
	}
	host, err := record.JoinInstance(b.Label, "_hosts."+z.Domain)
	if err != nil {
		return nil, err
	}
	ttl := b.TTL
	head := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: ttl}
	}
	all := []dns.RR{&dns.PTR{Hdr: head(base, dns.TypePTR), Ptr: name},
		&dns.SRV{Hdr: head(name, dns.TypeSRV), Port: b.Address.Port(), Target: host}}
	for _, s := range b.Subtypes {
		all = append(all, &dns.PTR{Hdr: head(dns.Fqdn(s+"._sub."+b.Service+"."+z.Domain), dns.TypePTR), Ptr: name})
	}
	text := b.Text
	if len(text) == 0 {
		text = []string{""}
	}
	all = append(all, &dns.TXT{Hdr: head(name, dns.TypeTXT), Txt: text})
	if b.Address.Addr().Is4() {
		return append(all, &dns.A{Hdr: head(host, dns.TypeA), A: b.Address.Addr().AsSlice()}), nil
	}
	return append(all, &dns.AAAA{Hdr: head(host, dns.TypeAAAA), AAAA: b.Address.Addr().AsSlice()}), nil
}

// Publish adds boxes in one step.
func (z *Zone) Publish(boxes ...Box) error { return z.change(false, boxes) }

// Withdraw takes them out in one step.
func (z *Zone) Withdraw(boxes ...Box) error { return z.change(true, boxes) }

func (z *Zone) change(remove bool, boxes []Box) error {
	var all []Change
	services := map[string]bool{}
	for _, b := range boxes {
		records, err := z.Records(b)
		if err != nil {
			return err
		}
		for _, rr := range records {
			all = append(all, Change{rr, remove})
		}
		if !remove && !services[b.Service] { // RFC 6763, 9
			services[b.Service] = true
			all = append(all, Change{&dns.PTR{Hdr: dns.RR_Header{Name: record.EnumerationName(z.Domain), Rrtype: dns.TypePTR, Class: dns.ClassINET, Ttl: 60},
				Ptr: dns.Fqdn(b.Service + "." + z.Domain)}, false})
		}
	}
	z.Apply(all...)
	return nil
}

// answer answers one question as an authoritative server does.
func (z *Zone) answer(q *dns.Msg) *dns.Msg {
	m := new(dns.Msg).SetReply(q)
	m.Authoritative = true
	if len(q.Question) != 1 {
		m.Rcode = dns.RcodeFormatError
		return m
	}
	name, kind := record.CanonicalName(q.Question[0].Name), record.Kind(q.Question[0].Qtype)
	z.mu.Lock()
	defer z.mu.Unlock()
	if !record.Within(name, strings.ToLower(z.Domain)) || z.lost {
		m.Authoritative, m.Rcode = false, dns.RcodeRefused
		if z.lost { // it knows the zone's name, and nothing of what was in it
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
		if z.names[name] == 0 && name != strings.ToLower(z.Domain) {
			m.Rcode = dns.RcodeNameError
		}
		if !z.noSerial {
			m.Ns = []dns.RR{z.soa()}
		}
		return m
	}
	// What will be asked for next (RFC 6763, 12), as far as a packet has room.
	for _, rr := range m.Answer {
		if len(m.Extra) > 40 {
			m.Extra = nil
			break
		}
		switch rr := rr.(type) {
		case *dns.PTR:
			target := record.CanonicalName(rr.Ptr)
			m.Extra = append(append(m.Extra, z.records[record.Key{Name: target, Kind: record.SRV}]...), z.records[record.Key{Name: target, Kind: record.TXT}]...)
		case *dns.SRV:
			host := record.CanonicalName(rr.Target)
			m.Extra = append(append(m.Extra, z.records[record.Key{Name: host, Kind: record.A}]...), z.records[record.Key{Name: host, Kind: record.AAAA}]...)
		}
	}
	return m
}

// update carries out a DNS UPDATE (RFC 2136) without prerequisites; records with a lease go when it ends (RFC 9664).
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
			for _, old := range z.get(k.Name, k.Kind) {
				all = append(all, Change{old, true})
			}
		case dns.ClassNONE:
			h.Class = dns.ClassINET
			all = append(all, Change{rr, true})
		default:
			all = append(all, Change{rr, false})
			z.lease(rr, lease)
		}
	}
	// What is taken out and put back the same has not changed.
	kept := slices.DeleteFunc(slices.Clone(all), func(c Change) bool {
		return slices.ContainsFunc(all, func(o Change) bool { return o.Remove != c.Remove && dns.IsDuplicate(o.RR, c.RR) && z.has(c.RR) })
	})
	z.Apply(kept...)
	return m
}

func (z *Zone) has(rr dns.RR) bool {
	k := keyOf(rr)
	return slices.ContainsFunc(z.get(k.Name, k.Kind), func(o dns.RR) bool { return dns.IsDuplicate(o, rr) })
}

func (z *Zone) lease(rr dns.RR, lease time.Duration) {
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

// Copy is the zone as it is now, as a server has it that lags from here on.
func (z *Zone) Copy() *Zone {
	z.mu.Lock()
	defer z.mu.Unlock()
	out := NewZone(z.Domain, z.serial)
	out.noSerial = z.noSerial
	for k, all := range z.records {
		out.records[k] = all // lists are never changed in place
	}
	for name, n := range z.names {
		out.names[name] = n
	}
	return out
}

// Labels are the instances of a service that are listed now.
func (z *Zone) Labels(service string) (labels []string) {
	for _, rr := range z.get(record.CanonicalName(service+"."+z.Domain), record.PTR) {
		if p, ok := rr.(*dns.PTR); ok {
			if label, _, err := record.SplitInstance(p.Ptr); err == nil {
				labels = append(labels, label)
			}
		}
	}
	slices.Sort(labels)
	return labels
}
