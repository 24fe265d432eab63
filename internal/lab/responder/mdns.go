package responder

import (
	"net/netip"
	"slices"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

const (
	maxQueriers     = 256
	querierLifetime = 5 * time.Minute // after its last query a client gets announcements for so long
	maxBurst        = 8               // messages sent without a pause
	burstPause      = 3 * time.Millisecond
)

// goodbyeDelays are the times at which a goodbye is sent. It is repeated as each may be lost (RFC 6762, 8.3, allows up
// to eight announcements).
var goodbyeDelays = []time.Duration{0, 80 * time.Millisecond, 160 * time.Millisecond, 240 * time.Millisecond}

// serveMDNS responds to mDNS queries by unicast. It records the clients, as they stand for the members of the multicast
// group, to which changes are announced.
func (s *Server) serveMDNS() {
	buffer := make([]byte, 9000)
	for {
		n, from, err := s.mdns.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		f := s.faults.Load()
		q := new(dns.Msg)
		if s.dropsPacket(f) || f.Unresponsive || q.Unpack(buffer[:n]) != nil || q.Response {
			continue
		}
		s.QueryCount.Add(1)
		s.mu.Lock()
		if _, ok := s.queriers[from]; ok || len(s.queriers) < maxQueriers {
			s.queriers[from] = time.Now()
		}
		s.mu.Unlock()
		var records []dns.RR
		for _, question := range q.Question {
			found := s.Zone.lookup(record.CanonicalName(question.Name), record.Kind(question.Qtype))
			for _, rr := range found {
				if slices.ContainsFunc(q.Answer, func(known dns.RR) bool { // RFC 6762, 7.1
					return dns.IsDuplicate(known, rr) && known.Header().Ttl >= rr.Header().Ttl/2
				}) {
					continue
				}
				records = append(records, rr)
				if p, ok := rr.(*dns.PTR); ok {
					records = append(records, s.Zone.lookup(record.CanonicalName(p.Ptr), record.SRV)...)
					records = append(records, s.Zone.lookup(record.CanonicalName(p.Ptr), record.TXT)...)
					for _, rr := range s.Zone.lookup(record.CanonicalName(p.Ptr), record.SRV) { // RFC 6763, 12.2
						host := record.CanonicalName(rr.(*dns.SRV).Target)
						records = append(append(records, s.Zone.lookup(host, record.A)...),
							s.Zone.lookup(host, record.AAAA)...)
					}
				}
			}
		}
		if len(records) > 0 {
			s.schedule(f.responseDelay(), func() { s.sendMDNS(records, from, f) })
		}
	}
}

// sendMDNS sends records in as many messages as they need. Records of unique sets have the cache-flush bit.
func (s *Server) sendMDNS(all []dns.RR, to netip.AddrPort, f *Faults) {
	const maxSize = 1400
	m := &dns.Msg{MsgHdr: dns.MsgHdr{Response: true, Authoritative: true}, Compress: true}
	flush := func() {
		if raw, err := m.Pack(); err == nil && len(m.Answer) > 0 && !s.dropsPacket(f) {
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
		if size += dns.Len(rr); size > maxSize {
			flush()
			size = dns.Len(rr)
			if sent++; sent%maxBurst == 0 {
				time.Sleep(burstPause) // so that a large service does not overflow the client's buffer
			}
		}
		m.Answer = append(m.Answer, rr)
	}
	flush()
}

// announceChanges announces every change to the recent queriers: added records twice, one second apart, and removed
// ones with goodbyes.
func (s *Server) announceChanges() {
	for {
		changes := s.Zone.watch()
		for changes != nil {
			select {
			case <-s.closing:
				s.Zone.unwatch(changes)
				return
			case batch, ok := <-changes:
				if !ok {
					changes = nil
					continue
				}
				var added, removed []dns.RR
				for _, c := range batch {
					if c.Remove {
						rr := dns.Copy(c.RR)
						rr.Header().Ttl = 0
						removed = append(removed, rr)
					} else {
						added = append(added, c.RR)
					}
				}
				for i, wait := range goodbyeDelays {
					s.schedule(wait, func() { s.sendToQueriers(removed, i > 0) })
				}
				for i, wait := range []time.Duration{0, time.Second} {
					s.schedule(wait, func() { s.sendToQueriers(added, i > 0) })
				}
			}
		}
	}
}

// sendToQueriers sends records to all clients that have sent a query within querierLifetime. A repeat leaves out the
// records whose change has been undone meanwhile.
func (s *Server) sendToQueriers(records []dns.RR, repeat bool) {
	f := s.faults.Load()
	if f.Unresponsive || f.NoPushChanges {
		return
	}
	if repeat {
		records = slices.DeleteFunc(slices.Clone(records), func(rr dns.RR) bool {
			return s.Zone.contains(rr) == (rr.Header().Ttl == 0)
		})
	}
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	var targets []netip.AddrPort
	for a, at := range s.queriers {
		if time.Since(at) < querierLifetime {
			targets = append(targets, a)
		} else {
			delete(s.queriers, a)
		}
	}
	s.mu.Unlock()
	for _, a := range targets {
		s.sendMDNS(records, a, f)
	}
}
