package responder

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/push"
	"standpoint/internal/dnssd/record"
)

// Faults are the faults that a server injects. Fractions are from 0 to 1.
type Faults struct {
	// LossInterval makes each packet lost whose number is a multiple of it, counting both directions together; 0: none.
	LossInterval int
	// Loss is the probability that a packet is lost, in each direction. Over TCP a lost packet is retransmitted after
	// 200 ms, 400 ms and so on.
	Loss float64
	// Delay is the delay of each response.
	Delay time.Duration
	// Jitter is the maximum random delay beyond Delay, drawn for each response, so that responses overtake each other.
	Jitter time.Duration
	// WrongID is the fraction of responses over UDP that forged ones precede: one with a wrong message id and one with
	// the name in another case.
	WrongID float64
	// Poison is the fraction of responses with an additional record of a name outside the zone. Drawn separately, it is
	// also the fraction of responses over UDP that forged ones precede, as with WrongID.
	Poison float64
	// Garbage is the fraction of responses over UDP that random bytes precede.
	Garbage float64
	// Truncate makes all responses over UDP truncated.
	Truncate bool
	// ZeroTTL makes the TTL of all records in responses 0.
	ZeroTTL bool
	// Unresponsive makes the server respond to nothing. Sessions stay open.
	Unresponsive bool
	// ServerFailure makes the server respond to everything with SERVFAIL.
	ServerFailure bool
	// NoPush makes the server not support DNS Stateful Operations (DSO).
	NoPush bool
	// SecondZone is the zone of a second server at the same address, which responds to queries over UDP from odd ports.
	SecondZone *Zone
	// NoPushChanges makes push sessions respond to keepalives, but push no changes.
	NoPushChanges bool
}

// Server serves a zone at loopback addresses.
type Server struct {
	Zone        *Zone
	Address     string // host:port for UDP and TCP, including push without TLS
	TLSAddress  string // host:port for push over TLS; "" without a certificate
	MDNSAddress string // host:port for mDNS messages, which are sent by unicast

	QueryCount   atomic.Int64 // queries, updates and push subscriptions received
	SessionCount atomic.Int64 // push sessions started

	faults      atomic.Pointer[Faults]
	packetCount atomic.Int64 // packets in both directions, for Faults.LossInterval
	closing     chan struct{}
	closeOnce   sync.Once
	background  sync.WaitGroup
	listeners   []io.Closer
	udp         *net.UDPConn
	mdns        *net.UDPConn
	mu          sync.Mutex
	conns       map[net.Conn]bool
	queriers    map[netip.AddrPort]time.Time // time of the last query, by mDNS client
}

// Start starts a server at a loopback address, such as "127.0.0.1:0" for any port. With a certificate it also serves
// push over TLS, at a port of its own.
func Start(z *Zone, address string, certificate *tls.Certificate) (*Server, error) {
	s := &Server{Zone: z, closing: make(chan struct{}), conns: map[net.Conn]bool{},
		queriers: map[netip.AddrPort]time.Time{}}
	s.faults.Store(&Faults{})
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, errors.New(address + " is no loopback address")
	}
	var tcp net.Listener
	for range 100 { // a port that is free for UDP may be taken for TCP
		at, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return nil, err
		}
		if s.udp, err = net.ListenUDP("udp", at); err != nil {
			return nil, err
		}
		if tcp, err = net.Listen("tcp", s.udp.LocalAddr().String()); err == nil {
			break
		}
		_ = s.udp.Close()
	}
	if tcp == nil {
		return nil, errors.New("no port is free for both UDP and TCP")
	}
	_ = s.udp.SetReadBuffer(4 << 20)
	s.Address = s.udp.LocalAddr().String()
	s.listeners = append(s.listeners, s.udp, tcp)
	if s.mdns, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)}); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	s.MDNSAddress = s.mdns.LocalAddr().String()
	s.listeners = append(s.listeners, s.mdns)
	s.background.Go(func() { s.serveUDP() })
	s.background.Go(func() { s.accept(tcp) })
	s.background.Go(func() { s.serveMDNS() })
	s.background.Go(func() { s.announceChanges() })
	if certificate != nil {
		l, err := tls.Listen("tcp", net.JoinHostPort(host, "0"),
			&tls.Config{Certificates: []tls.Certificate{*certificate}})
		if err != nil {
			return nil, errors.Join(err, s.Close())
		}
		s.TLSAddress = l.Addr().String()
		s.listeners = append(s.listeners, l)
		s.background.Go(func() { s.accept(l) })
	}
	return s, nil
}

// SetFaults replaces the faults from now on.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// Close stops the server and closes its connections.
func (s *Server) Close() error {
	s.closeOnce.Do(func() {
		close(s.closing)
		for _, c := range s.listeners {
			c.Close()
		}
		s.CloseConnections()
	})
	s.background.Wait()
	return nil
}

// CloseConnections closes all TCP connections.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// chance returns true with the given probability.
func chance(probability float64) bool { return probability > 0 && rand.Float64() < probability }

// dropsPacket reports whether the next packet is lost.
func (s *Server) dropsPacket(f *Faults) bool {
	return chance(f.Loss) || f.LossInterval > 0 && s.packetCount.Add(1)%int64(f.LossInterval) == 0
}

// schedule runs a function after a delay, unless the server is closed before.
func (s *Server) schedule(wait time.Duration, do func()) {
	if wait <= 0 {
		do()
		return
	}
	s.background.Go(func() {
		select {
		case <-s.closing:
		case <-time.After(wait):
			do()
		}
	})
}

// responseDelay draws the delay of a response.
func (f *Faults) responseDelay() time.Duration {
	if f.Jitter > 0 {
		return f.Delay + rand.N(f.Jitter)
	}
	return f.Delay
}

// serveUDP responds to queries and updates over UDP until the socket is closed.
func (s *Server) serveUDP() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := s.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		f := s.faults.Load()
		q := new(dns.Msg)
		if s.dropsPacket(f) || q.Unpack(buffer[:n]) != nil || q.Response {
			continue
		}
		s.QueryCount.Add(1)
		if f.Unresponsive {
			continue
		}
		m := s.respond(q, f, from.Port())
		size := dns.MinMsgSize
		if o := q.IsEdns0(); o != nil {
			size = max(size, int(o.UDPSize()))
		}
		if f.Truncate {
			m.Answer, m.Extra, m.Truncated = nil, nil, true
		}
		m.Compress = true
		m.Extra = fittingExtra(m, size)
		m.Truncate(size)
		raw, err := m.Pack()
		if err != nil {
			continue
		}
		s.schedule(f.responseDelay(), func() { s.sendWithForgeries(raw, q, from, f) })
	}
}

// fittingExtra returns the additional records of a message, or none if it would exceed size with them: they are not
// worth a truncated response and a second query.
func fittingExtra(m *dns.Msg, size int) []dns.RR {
	if m.Len() > size {
		return nil
	}
	return m.Extra
}

// sendWithForgeries sends a response, preceded by what the faults have an attacker send in the server's name.
func (s *Server) sendWithForgeries(raw []byte, q *dns.Msg, to netip.AddrPort, f *Faults) {
	send := func(raw []byte) { _, _ = s.udp.WriteToUDPAddrPort(raw, to) }
	if chance(f.Garbage) {
		garbage := make([]byte, rand.IntN(80))
		for i := range garbage {
			garbage[i] = byte(rand.Uint32())
		}
		send(garbage)
	}
	if chance(f.WrongID) || chance(f.Poison) {
		forged := new(dns.Msg).SetReply(q) // NXDOMAIN with a wrong message id
		forged.Authoritative, forged.Rcode, forged.Id = true, dns.RcodeNameError, q.Id+1
		if raw, err := forged.Pack(); err == nil {
			send(raw)
		}
		forged.Id = q.Id // NXDOMAIN with the right id, but the name in another case
		forged.Question[0].Name = swapCase(q.Question[0].Name)
		if raw, err := forged.Pack(); err == nil && forged.Question[0].Name != q.Question[0].Name {
			send(raw)
		}
	}
	if !s.dropsPacket(f) {
		send(raw)
	}
}

// swapCase swaps the case of ASCII letters.
func swapCase(name string) string {
	b := []byte(name)
	for i, c := range b {
		if 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' {
			b[i] ^= 0x20
		}
	}
	return string(b)
}

// respond makes the response to a query or update from the given port.
func (s *Server) respond(q *dns.Msg, f *Faults, port uint16) *dns.Msg {
	var m *dns.Msg
	switch {
	case f.ServerFailure:
		return new(dns.Msg).SetRcode(q, dns.RcodeServerFailure)
	case q.Opcode == dns.OpcodeUpdate:
		return s.Zone.update(q)
	case q.Opcode != dns.OpcodeQuery:
		return new(dns.Msg).SetRcode(q, dns.RcodeNotImplemented)
	case f.SecondZone != nil && port%2 == 1:
		m = f.SecondZone.respond(q)
	default:
		m = s.Zone.respond(q)
	}
	if chance(f.Poison) && len(q.Question) > 0 {
		m.Extra = append(m.Extra, &dns.A{Hdr: dns.RR_Header{Name: "elsewhere.example.", Rrtype: dns.TypeA,
			Class: dns.ClassINET, Ttl: 3600}, A: net.IPv4(127, 66, 66, 66)})
	}
	if f.ZeroTTL {
		m.Answer = withZeroTTL(m.Answer)
		m.Extra = withZeroTTL(m.Extra)
	}
	if o := q.IsEdns0(); o != nil {
		m.SetEdns0(1232, false)
	}
	return m
}

// withZeroTTL returns copies of records with a TTL of 0. OPT records, whose TTL field holds flags, stay as they are.
func withZeroTTL(all []dns.RR) (out []dns.RR) {
	for _, rr := range all {
		c := dns.Copy(rr)
		if c.Header().Rrtype != dns.TypeOPT {
			c.Header().Ttl = 0
		}
		out = append(out, c)
	}
	return out
}

// accept serves the connections of a listener until it is closed.
func (s *Server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		s.background.Go(func() {
			defer func() {
				conn.Close()
				s.mu.Lock()
				delete(s.conns, conn)
				s.mu.Unlock()
			}()
			(&connection{Server: s, conn: conn, subscriptions: map[uint16]record.Key{}}).serve()
		})
	}
}

// connection is a TCP connection. It carries queries, answered one after the other, or a DSO session.
type connection struct {
	*Server
	conn          net.Conn
	writeMu       sync.Mutex
	mu            sync.Mutex
	subscriptions map[uint16]record.Key // by message id; kind 0 stands for all kinds
	isSession     bool                  // whether a DSO message has been received
}

// serve handles a connection's messages until it is closed, and pushes the zone's changes to it.
func (c *connection) serve() {
	changes := c.Zone.watch()
	defer c.Zone.unwatch(changes)
	done := make(chan struct{})
	defer close(done)
	c.background.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-c.closing:
				c.conn.Close()
				return
			case all, ok := <-changes:
				if !ok {
					c.conn.Close()
					return
				}
				c.pushChanges(all)
			}
		}
	})
	var size [2]byte
	for {
		if _, err := io.ReadFull(c.conn, size[:]); err != nil {
			return
		}
		raw := make([]byte, binary.BigEndian.Uint16(size[:]))
		if _, err := io.ReadFull(c.conn, raw); err != nil {
			return
		}
		f := c.faults.Load()
		if f.Unresponsive {
			continue
		}
		if push.IsDSO(raw) && !f.NoPush {
			if c.handleDSO(raw) != nil {
				return
			}
			continue
		}
		q := new(dns.Msg)
		if q.Unpack(raw) != nil || q.Response {
			return
		}
		c.QueryCount.Add(1)
		m := c.respond(q, f, 0)
		m.Compress = true
		if m.Len() > dns.MaxMsgSize {
			m.Extra = nil
			if m.Len() > dns.MaxMsgSize {
				m.Answer, m.Truncated = nil, true
			}
		}
		out, err := m.Pack()
		if err != nil || c.send(out) != nil {
			return
		}
	}
}

// send writes one message. A lost packet delays it, and all that follow, until TCP has retransmitted the packet.
func (c *connection) send(raw []byte) error {
	f := c.faults.Load()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	wait := f.responseDelay()
	for timeout := 200 * time.Millisecond; c.dropsPacket(f) && timeout < 4*time.Second; timeout *= 2 {
		wait += timeout
	}
	if wait > 0 {
		select {
		case <-c.closing:
		case <-time.After(wait):
		}
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := c.conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(raw))), raw...))
	return err
}

// handleDSO handles a message of a DSO session: a keepalive, a subscription or its end.
func (c *connection) handleDSO(raw []byte) error {
	m, err := push.Decode(raw)
	if err != nil {
		return err
	}
	if !c.isSession {
		c.isSession = true
		c.SessionCount.Add(1)
	}
	switch m.Type {
	case push.Keepalive:
		return c.send(push.KeepaliveMessage(m.ID, true, time.Minute, m.Interval))
	case push.Unsubscribe:
		c.mu.Lock()
		delete(c.subscriptions, m.Subscription)
		c.mu.Unlock()
	case push.Subscribe:
		c.QueryCount.Add(1)
		if !record.Within(m.Name, record.CanonicalName(c.Zone.Domain)) {
			return c.send(push.Response(m.ID, dns.RcodeNotAuth))
		}
		k := record.Key{Name: m.Name, Kind: m.Kind}
		if m.Kind == record.Kind(dns.TypeANY) {
			k.Kind = 0
		}
		c.mu.Lock()
		c.subscriptions[m.ID] = k
		c.mu.Unlock()
		if err := c.send(push.Response(m.ID, dns.RcodeSuccess)); err != nil {
			return err
		}
		var current []push.OutgoingChange
		for _, kind := range []record.Kind{record.PTR, record.SRV, record.TXT, record.A, record.AAAA} {
			if k.Kind == 0 || k.Kind == kind {
				for _, rr := range c.Zone.lookup(k.Name, kind) {
					current = append(current, push.OutgoingChange{RR: rr})
				}
			}
		}
		return c.sendChanges(current)
	default:
		if m.ID != 0 {
			return c.send(push.Response(m.ID, dns.RcodeStatefulTypeNotImplemented))
		}
	}
	return nil
}

// sendChanges sends changes in as many push messages as they need.
func (c *connection) sendChanges(all []push.OutgoingChange) error {
	messages, err := push.ChangeMessages(all)
	for _, m := range messages {
		if err == nil {
			err = c.send(m)
		}
	}
	return err
}

// pushChanges sends a session the changes that it has subscribed to. It closes the connection if that fails.
func (c *connection) pushChanges(all []Change) {
	f := c.faults.Load()
	if f.Unresponsive || f.NoPushChanges {
		return
	}
	var out []push.OutgoingChange
	c.mu.Lock()
	subscribed := map[record.Key]bool{}
	for _, k := range c.subscriptions {
		subscribed[k] = true
	}
	c.mu.Unlock()
	for _, change := range all {
		k := keyOf(change.RR)
		if subscribed[k] || subscribed[record.Key{Name: k.Name}] {
			out = append(out, push.OutgoingChange{RR: change.RR, Remove: change.Remove})
		}
	}
	if c.sendChanges(out) != nil {
		c.conn.Close()
	}
}
