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

// Faults are what goes wrong. Parts are from 0 to 1.
type Faults struct {
	Every    int           // each so manieth packet is lost, in and out counted together; 0: none
	Loss     float64       // of packets, each way; over TCP a lost one is sent again after 200 ms, 400 ms, ...
	Delay    time.Duration // of each answer
	Jitter   time.Duration // up to so much more, each answer for itself: they overtake each other
	WrongID  float64       // answers before which one with another id comes
	Poison   float64       // answers that also tell of a name outside the zone, and before which a forged one comes
	Garbage  float64       // answers before which bytes come that are no message
	Truncate bool          // no answer over UDP is whole
	ZeroTTL  bool
	Silent   bool  // nothing is answered, and sessions stay open without a word
	Broken   bool  // SERVFAIL to everything
	NoPush   bool  // DSO is not spoken
	Other    *Zone // another server's at the same address: it answers questions from ports that are odd
	Mute     bool  // push sessions answer checks, and push nothing
}

// Server answers for a zone at loopback addresses.
type Server struct {
	Zone    *Zone
	Address string // UDP and TCP; push in the clear too
	Secure  string // push over TLS; "" without a certificate
	MDNS    string // mDNS messages, unicast

	Questions atomic.Int64
	Sessions  atomic.Int64 // push sessions that have begun

	faults  atomic.Pointer[Faults]
	count   atomic.Int64 // packets
	closing chan struct{}
	close   sync.Once
	all     sync.WaitGroup
	open    []io.Closer
	udp     *net.UDPConn
	mdns    *net.UDPConn
	mu      sync.Mutex
	conns   map[net.Conn]bool
	askers  map[netip.AddrPort]time.Time // of mDNS, who would hear a multicast
}

// Start listens at a loopback address, "127.0.0.1:0" for any port. With a certificate push over TLS is had at another.
func Start(z *Zone, address string, certificate *tls.Certificate) (*Server, error) {
	s := &Server{Zone: z, closing: make(chan struct{}), conns: map[net.Conn]bool{}, askers: map[netip.AddrPort]time.Time{}}
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
		return nil, errors.New("no port is free for UDP and TCP alike")
	}
	_ = s.udp.SetReadBuffer(4 << 20)
	s.Address = s.udp.LocalAddr().String()
	s.open = append(s.open, s.udp, tcp)
	if s.mdns, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)}); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	s.MDNS = s.mdns.LocalAddr().String()
	s.open = append(s.open, s.mdns)
	s.all.Go(func() { s.packets() })
	s.all.Go(func() { s.accept(tcp) })
	s.all.Go(func() { s.multicast() })
	s.all.Go(func() { s.announce() })
	if certificate != nil {
		l, err := tls.Listen("tcp", net.JoinHostPort(host, "0"), &tls.Config{Certificates: []tls.Certificate{*certificate}})
		if err != nil {
			return nil, errors.Join(err, s.Close())
		}
		s.Secure = l.Addr().String()
		s.open = append(s.open, l)
		s.all.Go(func() { s.accept(l) })
	}
	return s, nil
}

// Set scripts the faults from now on.
func (s *Server) Set(f Faults) { s.faults.Store(&f) }

// Close ends the server and everything that is open.
func (s *Server) Close() error {
	s.close.Do(func() {
		close(s.closing)
		for _, c := range s.open {
			c.Close()
		}
		s.Drop()
	})
	s.all.Wait()
	return nil
}

// Drop ends all connections.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func chance(p float64) bool { return p > 0 && rand.Float64() < p }

// lost tells whether a packet is.
func (s *Server) lost(f *Faults) bool {
	return chance(f.Loss) || f.Every > 0 && s.count.Add(1)%int64(f.Every) == 0
}

// after does something later, unless the server ends before.
func (s *Server) after(wait time.Duration, do func()) {
	if wait <= 0 {
		do()
		return
	}
	s.all.Go(func() {
		select {
		case <-s.closing:
		case <-time.After(wait):
			do()
		}
	})
}

func (f *Faults) wait() time.Duration {
	if f.Jitter > 0 {
		return f.Delay + rand.N(f.Jitter)
	}
	return f.Delay
}

func (s *Server) packets() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := s.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		f := s.faults.Load()
		q := new(dns.Msg)
		if s.lost(f) || q.Unpack(buffer[:n]) != nil || q.Response {
			continue
		}
		s.Questions.Add(1)
		if f.Silent {
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
		m.Extra = fit(m, size)
		m.Truncate(size)
		raw, err := m.Pack()
		if err != nil {
			continue
		}
		s.after(f.wait(), func() { s.forge(raw, q, from, f) })
	}
}

// fit leaves the extra records out where the answer would not fit with them: they are not worth a second question.
func fit(m *dns.Msg, size int) []dns.RR {
	if m.Len() > size {
		return nil
	}
	return m.Extra
}

// forge sends an answer, and before it what somebody else might send in its name.
func (s *Server) forge(raw []byte, q *dns.Msg, to netip.AddrPort, f *Faults) {
	send := func(raw []byte) { _, _ = s.udp.WriteToUDPAddrPort(raw, to) }
	if chance(f.Garbage) {
		bytes := make([]byte, rand.IntN(80))
		for i := range bytes {
			bytes[i] = byte(rand.Uint32())
		}
		send(bytes)
	}
	if chance(f.WrongID) || chance(f.Poison) {
		lie := new(dns.Msg).SetReply(q) // "there is nothing", with an id that was guessed wrong
		lie.Authoritative, lie.Rcode, lie.Id = true, dns.RcodeNameError, q.Id+1
		if raw, err := lie.Pack(); err == nil {
			send(raw)
		}
		lie.Id = q.Id // the id was guessed, the case of the letters was not
		lie.Question[0].Name = swapCase(q.Question[0].Name)
		if raw, err := lie.Pack(); err == nil && lie.Question[0].Name != q.Question[0].Name {
			send(raw)
		}
	}
	if !s.lost(f) {
		send(raw)
	}
}

func swapCase(name string) string {
	b := []byte(name)
	for i, c := range b {
		if 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' {
			b[i] ^= 0x20
		}
	}
	return string(b)
}

func (s *Server) respond(q *dns.Msg, f *Faults, port uint16) *dns.Msg {
	var m *dns.Msg
	switch {
	case f.Broken:
		return new(dns.Msg).SetRcode(q, dns.RcodeServerFailure)
	case q.Opcode == dns.OpcodeUpdate:
		return s.Zone.update(q)
	case q.Opcode != dns.OpcodeQuery:
		return new(dns.Msg).SetRcode(q, dns.RcodeNotImplemented)
	case f.Other != nil && port%2 == 1:
		m = f.Other.answer(q)
	default:
		m = s.Zone.answer(q)
	}
	if chance(f.Poison) && len(q.Question) > 0 {
		m.Extra = append(m.Extra, &dns.A{Hdr: dns.RR_Header{Name: "elsewhere.example.", Rrtype: dns.TypeA, Class: dns.ClassINET, Ttl: 3600}, A: net.IPv4(127, 66, 66, 66)})
	}
	if f.ZeroTTL {
		m.Answer = zero(m.Answer)
		m.Extra = zero(m.Extra)
	}
	if o := q.IsEdns0(); o != nil {
		m.SetEdns0(1232, false)
	}
	return m
}

func zero(all []dns.RR) (out []dns.RR) {
	for _, rr := range all {
		c := dns.Copy(rr)
		if c.Header().Rrtype != dns.TypeOPT {
			c.Header().Ttl = 0
		}
		out = append(out, c)
	}
	return out
}

func (s *Server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		s.all.Go(func() {
			defer func() {
				conn.Close()
				s.mu.Lock()
				delete(s.conns, conn)
				s.mu.Unlock()
			}()
			(&connection{Server: s, conn: conn, subs: map[uint16]record.Key{}}).serve()
		})
	}
}

// connection is one over TCP: questions one after the other, or a DSO session.
type connection struct {
	*Server
	conn    net.Conn
	writing sync.Mutex
	mu      sync.Mutex
	subs    map[uint16]record.Key // by id; kind 0 for all kinds
	session bool
}

func (c *connection) serve() {
	changes := c.Zone.watch()
	defer c.Zone.unwatch(changes)
	done := make(chan struct{})
	defer close(done)
	c.all.Go(func() {
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
				c.push(all)
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
		if f.Silent {
			continue
		}
		if push.IsDSO(raw) && !f.NoPush {
			if c.dso(raw) != nil {
				return
			}
			continue
		}
		q := new(dns.Msg)
		if q.Unpack(raw) != nil || q.Response {
			return
		}
		c.Questions.Add(1)
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

// send writes one message. What is lost on the way is sent again by TCP, and holds up what comes behind.
func (c *connection) send(raw []byte) error {
	f := c.faults.Load()
	c.writing.Lock()
	defer c.writing.Unlock()
	wait := f.wait()
	for again := 200 * time.Millisecond; c.lost(f) && again < 4*time.Second; again *= 2 {
		wait += again
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

func (c *connection) dso(raw []byte) error {
	m, err := push.Decode(raw)
	if err != nil {
		return err
	}
	if !c.session {
		c.session = true
		c.Sessions.Add(1)
	}
	switch m.Type {
	case push.Keepalive:
		return c.send(push.KeepaliveMessage(m.ID, true, time.Minute, m.Interval))
	case push.Unsubscribe:
		c.mu.Lock()
		delete(c.subs, m.Subscription)
		c.mu.Unlock()
	case push.Subscribe:
		c.Questions.Add(1)
		if !record.Within(m.Name, record.CanonicalName(c.Zone.Domain)) {
			return c.send(push.Response(m.ID, dns.RcodeNotAuth))
		}
		k := record.Key{Name: m.Name, Kind: m.Kind}
		if m.Kind == record.Kind(dns.TypeANY) {
			k.Kind = 0
		}
		c.mu.Lock()
		c.subs[m.ID] = k
		c.mu.Unlock()
		if err := c.send(push.Response(m.ID, dns.RcodeSuccess)); err != nil {
			return err
		}
		var now []push.OutgoingChange
		for _, kind := range []record.Kind{record.PTR, record.SRV, record.TXT, record.A, record.AAAA} {
			if k.Kind == 0 || k.Kind == kind {
				for _, rr := range c.Zone.get(k.Name, kind) {
					now = append(now, push.OutgoingChange{RR: rr})
				}
			}
		}
		return c.write(now)
	default:
		if m.ID != 0 {
			return c.send(push.Response(m.ID, dns.RcodeStatefulTypeNotImplemented))
		}
	}
	return nil
}

func (c *connection) write(all []push.OutgoingChange) error {
	messages, err := push.ChangeMessages(all)
	for _, m := range messages {
		if err == nil {
			err = c.send(m)
		}
	}
	return err
}

// push tells a session of the changes that it has subscribed to.
func (c *connection) push(all []Change) {
	f := c.faults.Load()
	if f.Silent || f.Mute {
		return
	}
	var out []push.OutgoingChange
	c.mu.Lock()
	wanted := map[record.Key]bool{}
	for _, k := range c.subs {
		wanted[k] = true
	}
	c.mu.Unlock()
	for _, change := range all {
		k := keyOf(change.RR)
		if wanted[k] || wanted[record.Key{Name: k.Name}] {
			out = append(out, push.OutgoingChange{RR: change.RR, Remove: change.Remove})
		}
	}
	if c.write(out) != nil {
		c.conn.Close()
	}
}
