package responder

import (
	"net/netip"
	"slices"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

const (
	askersMost = 256
	askerStays = 5 * time.Minute
	burstMost  = 8 // messages
	burstRest  = 3 * time.Millisecond
)

// goodbyes are sent so often, for each may be lost (RFC 6762, 8.3 has announcements up to eight times).
var goodbyes = []time.Duration{0, 80 * time.Millisecond, 160 * time.Millisecond, 240 * time.Millisecond}

// multicast answers mDNS questions, each to the one who asked: whoever has asked would hear a multicast, and is sent
// what is announced.
func (s *Server) multicast() {
	buffer := make([]byte, 9000)
	for {
		n, from, err := s.mdns.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		f := s.faults.Load()
		q := new(dns.Msg)
		if s.lost(f) || f.Silent || q.Unpack(buffer[:n]) != nil || q.Response {
			continue
		}
		s.Questions.Add(1)
		s.mu.Lock()
		if _, ok := s.askers[from]; ok || len(s.askers) < askersMost {
			s.askers[from] = time.Now()
		}
		s.mu.Unlock()
		var all []dns.RR
		for _, question := range q.Question {
			found := s.Zone.get(record.CanonicalName(question.Name), record.Kind(question.Qtype))
			for _, rr := range found {
				if slices.ContainsFunc(q.Answer, func(known dns.RR) bool { // RFC 6762, 7.1
					return dns.IsDuplicate(known, rr) && known.Header().Ttl >= rr.Header().Ttl/2
				}) {
					continue
				}
				all = append(all, rr)
				if p, ok := rr.(*dns.PTR); ok {
					all = append(all, s.Zone.get(record.CanonicalName(p.Ptr), record.SRV)...)
					all = append(all, s.Zone.get(record.CanonicalName(p.Ptr), record.TXT)...)
					for _, rr := range s.Zone.get(record.CanonicalName(p.Ptr), record.SRV) { // RFC 6763, 12.2
						host := record.CanonicalName(rr.(*dns.SRV).Target)
						all = append(append(all, s.Zone.get(host, record.A)...), s.Zone.get(host, record.AAAA)...)
					}
				}
			}
		}
		if len(all) > 0 {
			s.after(f.wait(), func() { s.tell(all, from, f) })
		}
	}
}

// tell sends records in as many messages as they need. Those of unique sets have the cache-flush bit.
func (s *Server) tell(all []dns.RR, to netip.AddrPort, f *Faults) {
	const most = 1400
	m := &dns.Msg{MsgHdr: dns.MsgHdr{Response: true, Authoritative: true}, Compress: true}
	flush := func() {
		if raw, err := m.Pack(); err == nil && len(m.Answer) > 0 && !s.lost(f) {
			_, _ = s.mdns.WriteToUDPAddrPort(raw, to)
		}
		m.Answer = nil
	}
	size, sent := 0, 0
	for _, rr := range all {
		rr = dns.Copy(rr)
		if rr.Header().Rrtype != dns.TypePTR {
			rr.Header().Class |= 0x8000
		}
		if size += dns.Len(rr); size > most {
			flush()
			size = dns.Len(rr)
			if sent++; sent%burstMost == 0 {
				time.Sleep(burstRest) // so that a whole service does not overrun the asker's buffer
			}
		}
		m.Answer = append(m.Answer, rr)
	}
	flush()
}

// announce sends every change to those who have asked of late: what comes twice, a second apart, and what goes with
// goodbyes.
func (s *Server) announce() {
	for {
		changes := s.Zone.watch()
		for changes != nil {
			select {
			case <-s.closing:
				s.Zone.unwatch(changes)
				return
			case all, ok := <-changes:
				if !ok {
					changes = nil
					continue
				}
				var here, gone []dns.RR
				for _, c := range all {
					if c.Remove {
						rr := dns.Copy(c.RR)
						rr.Header().Ttl = 0
						gone = append(gone, rr)
					} else {
						here = append(here, c.RR)
					}
				}
				for i, wait := range goodbyes {
					s.after(wait, func() { s.toAll(gone, i > 0) })
				}
				for i, wait := range []time.Duration{0, time.Second} {
					s.after(wait, func() { s.toAll(here, i > 0) })
				}
			}
		}
	}
}

// toAll sends records to all who have asked of late; again leaves out what has been taken back since.
func (s *Server) toAll(all []dns.RR, again bool) {
	f := s.faults.Load()
	if f.Silent || f.Mute {
		return
	}
	if again {
		all = slices.DeleteFunc(slices.Clone(all), func(rr dns.RR) bool { return s.Zone.has(rr) == (rr.Header().Ttl == 0) })
	}
	if len(all) == 0 {
		return
	}
	s.mu.Lock()
	var to []netip.AddrPort
	for a, at := range s.askers {
		if time.Since(at) < askerStays {
			to = append(to, a)
		} else {
			delete(s.askers, a)
		}
	}
	s.mu.Unlock()
	for _, a := range to {
		s.tell(all, a, f)
	}
}
