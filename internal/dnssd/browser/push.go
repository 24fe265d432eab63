package browser

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"
	"go.uber.org/zap"

	"standpoint/internal/clock"
	"standpoint/internal/dnssd/push"
	"standpoint/internal/dnssd/record"
)

// noPush says that the server offers no push session; retryLater that it wants to be left alone for a while.
type (
	noPush     struct{ why string }
	retryLater struct{ delay time.Duration }
)

func (e *noPush) Error() string { return "the server offers no push: " + e.why }
func (e *retryLater) Error() string {
	return fmt.Sprintf("the server wants no session for %v", e.delay)
}

const (
	connectTime = 2 * time.Second
	firstTime   = 5 * time.Second // for the list and its records, before a session counts
	// checkTime is how often a session is asked for the zone's serial. With a question out and nothing heard for
	// quietTicks a session has died silently, and the poll takes over: together under 500 ms.
	checkTime  = 150 * time.Millisecond
	tickTime   = checkTime / 3
	quietTicks = 4
	// auditTime is the least time between two comparisons of the list as pushed with the list as asked for.
	auditTime   = time.Second
	keepalive   = 15 * time.Second // asked for; servers may say otherwise
	writeTime   = time.Second
	messageMost = 65_535
	retryMost   = 10 * time.Minute
	inboxSize   = 64
)

// session is one push session. Everything but the reader belongs to one goroutine.
type session struct {
	*Browser
	conn    net.Conn
	view    *record.Cache
	labels  map[string]string
	ids     uint16
	asked   map[uint16]subscription // SUBSCRIBE requests without a response yet
	subs    map[string]subscription // by name
	fence   map[string]bool         // names that were acknowledged before the check that is out
	acked   map[string]bool         // acknowledged since
	check   uint16                  // id of the question that is out; 0: none
	checked time.Time               // when it was sent
	serial  *uint32
	audit   uint16
	audited time.Time
	moved   bool // the serial has changed since the list was last asked for
	odd     int  // audits in a row that differ
	quiet   int  // ticks in a row without a message
	spoke   time.Time
	beat    time.Duration // between two keep-alives
	began   time.Time
	inForce bool
	told    time.Time
	changed bool // since the view was last gone over
	rest    pace
}

type subscription struct {
	id   uint16
	name string
	kind uint16
}

// push has a session, and returns when it ends. start is called once its view is whole, before it is told.
func (f *Browser) push(ctx context.Context, start func()) error {
	address, host, err := f.pushServer(ctx)
	if err != nil {
		return err
	}
	dialing, cancel := context.WithTimeout(ctx, connectTime)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(dialing, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if f.TLS != nil {
		c := f.TLS.Clone()
		if c.ServerName == "" {
			c.ServerName = host
		}
		secured := tls.Client(conn, c)
		if err := secured.HandshakeContext(dialing); err != nil {
			return err
		}
		conn = secured
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	now := time.Now()
	s := &session{Browser: f, conn: conn, view: record.NewCache(), labels: map[string]string{}, asked: map[uint16]subscription{},
		subs: map[string]subscription{}, fence: map[string]bool{}, acked: map[string]bool{}, began: now, beat: keepalive}
	return s.run(ctx, start)
}

// pushServer is where push is had: as configured, or as the domain's SRV record has it (RFC 8765, 6.1).
func (f *Browser) pushServer(ctx context.Context) (address, host string, err error) {
	if f.PushAddress != "" {
		host, _, err = net.SplitHostPort(f.PushAddress)
		return f.PushAddress, host, err
	}
	if f.TLS == nil {
		return "", "", &noPush{"no root certificate is configured, and no address"}
	}
	a, err := f.client.Ask(ctx, "_dns-push-tls._tcp."+f.domain, record.SRV)
	if err != nil {
		return "", "", err
	}
	var all []record.Target
	for _, r := range a.Records {
		all = append(all, r.Server)
	}
	target, err := record.Choose(all, 0)
	if err != nil {
		return "", "", &noPush{"no SRV record of _dns-push-tls._tcp." + f.domain}
	}
	for _, kind := range []record.Kind{record.A, record.AAAA} {
		a, err := f.client.Ask(ctx, target.Host, kind)
		if err != nil {
			return "", "", err
		}
		if len(a.Records) > 0 {
			ip := a.Records[0].IP
			if !ip.IsLoopback() {
				return "", "", &noPush{fmt.Sprintf("its address, %v, is no loopback address", ip)}
			}
			return net.JoinHostPort(ip.String(), strconv.Itoa(int(target.Port))), strings.TrimSuffix(target.Host, "."), nil
		}
	}
	return "", "", &noPush{"no address of " + target.Host}
}

// read hands on whole messages until the connection ends.
func read(r io.Reader, inbox chan<- []byte, done <-chan struct{}) error {
	b := bufio.NewReader(r)
	var size [2]byte
	for {
		if _, err := io.ReadFull(b, size[:]); err != nil {
			return err
		}
		raw := make([]byte, binary.BigEndian.Uint16(size[:]))
		if _, err := io.ReadFull(b, raw); err != nil {
			return err
		}
		select {
		case inbox <- raw:
		case <-done:
			return nil
		}
	}
}

func (s *session) send(raw []byte) error {
	if len(raw) > messageMost {
		return fmt.Errorf("a message of %d bytes", len(raw))
	}
	s.spoke = time.Now()
	_ = s.conn.SetWriteDeadline(s.spoke.Add(writeTime))
	_, err := s.conn.Write(append(binary.BigEndian.AppendUint16(make([]byte, 0, len(raw)+2), uint16(len(raw))), raw...))
	return err
}

func (s *session) id() uint16 {
	for s.ids++; s.ids == 0 || s.asked[s.ids].id != 0 || s.ids == s.check || s.ids == s.audit; s.ids++ {
	}
	return s.ids
}

func (s *session) run(ctx context.Context, start func()) error {
	done := make(chan struct{})
	defer close(done)
	inbox, ended := make(chan []byte, inboxSize), make(chan error, 1)
	go func() { ended <- read(s.conn, inbox, done) }()
	if err := s.send(push.KeepaliveMessage(s.id(), false, keepalive, keepalive)); err != nil {
		return err
	}
	first := s.ids
	established := false
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	for {
		var raw []byte
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-ended:
			// What came before the end still counts.
			for len(inbox) > 0 {
				if _, herr := s.handle(<-inbox, time.Now()); herr != nil {
					break
				}
			}
			return fmt.Errorf("the connection ended: %w", err)
		case raw = <-inbox:
		case <-tick.C:
			if len(inbox) == 0 {
				s.quiet++ // time in which this loop was busy itself does not count
			}
		}
		now := time.Now()
		if raw != nil {
			s.quiet = 0
			if !established {
				m, err := push.Decode(raw)
				switch {
				case err == nil && m.Type == push.RetryDelay && !m.Response:
					return &retryLater{min(m.Delay, retryMost)}
				case !push.IsDSO(raw), err == nil && m.Response && m.ID == first && m.Rcode != dns.RcodeSuccess:
					return &noPush{"it does not speak DSO"}
				case err != nil:
					return err
				}
				s.keepalive(m)
				established = true
				if err := s.subscribe(); err != nil {
					return err
				}
				continue
			}
			changed, err := s.handle(raw, now)
			if err != nil {
				return err
			}
			s.changed = s.changed || changed
			if len(inbox) > 0 || s.rest.wait(now) > 0 {
				continue
			}
		}
		if !established {
			if now.Sub(s.began) > connectTime {
				return &noPush{"no answer to the first message"}
			}
			continue
		}
		if err := s.beatAndCheck(now); err != nil {
			return err
		}
		if s.rest.wait(now) > 0 {
			continue
		}
		if s.changed {
			if err := s.subscribe(); err != nil {
				return err
			}
		}
		if err := s.tellWhen(now, start, s.changed); err != nil {
			return err
		}
		if s.changed {
			s.changed = false
			s.rest.took(now, time.Now())
		}
	}
}

// beatAndCheck asks for the zone's serial over the session, and gives the session up that does not answer.
func (s *session) beatAndCheck(now time.Time) error {
	if s.check != 0 {
		most := quietTicks
		if !s.inForce {
			most = int(firstTime / tickTime) // it has much to tell
		}
		if s.quiet > most {
			return fmt.Errorf("the server has been silent for %v", time.Duration(s.quiet)*tickTime)
		}
		return nil
	}
	if now.Sub(s.checked) < checkTime {
		return nil
	}
	if now.Sub(s.spoke) > s.beat {
		if err := s.send(push.KeepaliveMessage(s.id(), false, keepalive, keepalive)); err != nil {
			return err
		}
	}
	s.check, s.checked = s.id(), now
	s.fence, s.acked = s.acked, map[string]bool{}
	return s.ask(s.check, s.domain, dns.TypeSOA)
}

func (s *session) ask(id uint16, name string, kind uint16) error {
	q := new(dns.Msg).SetQuestion(name, kind)
	q.Id, q.RecursionDesired = id, false
	raw, err := q.Pack()
	if err != nil {
		return err
	}
	return s.send(raw)
}

func (s *session) keepalive(m push.Message) {
	if m.Type == push.Keepalive && m.Interval > 0 {
		s.beat = min(keepalive, m.Interval*3/4)
	}
}

// handle takes in one message, and tells whether the view has changed.
func (s *session) handle(raw []byte, now time.Time) (bool, error) {
	if !push.IsDSO(raw) {
		m := new(dns.Msg)
		if err := m.Unpack(raw); err != nil {
			return false, fmt.Errorf("a message that cannot be read: %w", err)
		}
		return s.answered(m, now)
	}
	m, err := push.Decode(raw)
	if err != nil {
		return false, err
	}
	if m.Response {
		return s.responded(m)
	}
	switch m.Type {
	case push.Keepalive:
		s.keepalive(m)
	case push.RetryDelay:
		return false, &retryLater{min(m.Delay, retryMost)}
	case push.Push:
		s.note(Push, nil)
		s.Metrics.pushed(s.Browser, len(m.Changes))
		changed := false
		for _, c := range m.Changes {
			changed = s.apply(c, clock.Of(now)) || changed
		}
		return changed, nil
	case push.Padding:
	default:
		if m.ID != 0 { // a request that is not known here
			return false, s.send(push.Response(m.ID, dns.RcodeStatefulTypeNotImplemented))
		}
		return false, fmt.Errorf("an unknown unidirectional message, of type %#x", uint16(m.Type)) // RFC 8490, 5.1.2
	}
	return false, nil
}

func (s *session) apply(c push.Change, now int64) bool {
	if _, ours := s.subs[c.Record.Name]; !ours {
		return false // nothing that was asked for
	}
	switch {
	case c.All:
		return s.view.Clear(c.Record.Name, c.Record.Kind, now)
	case c.Remove:
		return s.view.Remove(c.Record, now)
	}
	if c.Record.Kind == record.PTR {
		if label, _, err := record.SplitInstance(c.Record.Target); err == nil {
			s.labels[record.CanonicalName(c.Record.Target)] = label
		}
	}
	return s.view.Add(c.Record, now)
}

// responded takes in the response to a request of ours.
func (s *session) responded(m push.Message) (bool, error) {
	s.keepalive(m)
	sub, ok := s.asked[m.ID]
	if !ok {
		return false, nil // to a keep-alive
	}
	delete(s.asked, m.ID)
	if m.Rcode == dns.RcodeSuccess {
		s.acked[sub.name] = true
		return false, nil
	}
	why := "the subscription was refused: " + dns.RcodeToString[m.Rcode]
	if sub.name == s.Service.List() {
		return false, &noPush{why}
	}
	for _, k := range []record.Kind{record.SRV, record.TXT, record.A, record.AAAA} {
		s.view.Fail(record.Key{Name: sub.name, Kind: k}, why, 0)
	}
	return true, nil
}

// answered takes in the answer to a check or an audit.
func (s *session) answered(m *dns.Msg, now time.Time) (changed bool, err error) {
	switch {
	case m.Id == s.check && s.check != 0:
		s.check = 0
		s.note(Push, nil)
		// What was acknowledged before the question and has had no records pushed by the answer has none.
		for name := range s.fence {
			for _, k := range s.kinds(name) {
				if set := s.view.Get(name, k); set == nil || set.Heard == 0 {
					changed = s.view.Put(record.Key{Name: name, Kind: k}, nil, 0, clock.Of(now)) || changed
				}
			}
		}
		s.fence = map[string]bool{}
		for _, rr := range m.Answer {
			soa, ok := record.Decode(rr)
			if !ok || soa.Kind != record.SOA {
				continue
			}
			s.moved = s.moved || s.serial == nil || *s.serial != soa.Serial
			s.serial = &soa.Serial
			if (s.moved || s.odd > 0) && s.audit == 0 && now.Sub(s.audited) > auditTime {
				s.audit, s.audited, s.moved = s.id(), now, false
				err = s.ask(s.audit, s.Service.List(), dns.TypePTR)
			}
		}
	case m.Id == s.audit && s.audit != 0:
		s.audit = 0
		err = s.compare(m)
	}
	return changed, err
}

// kinds are those that a name is subscribed for.
func (s *session) kinds(name string) []record.Kind {
	if name == s.Service.List() {
		return []record.Kind{record.PTR}
	}
	if record.Within(name, s.Service.Base()) {
		return []record.Kind{record.SRV, record.TXT}
	}
	return []record.Kind{record.A, record.AAAA}
}

// compare holds the list as asked for against the list as pushed. What differs twice in a row was not pushed: the
// session cannot be relied upon.
func (s *session) compare(m *dns.Msg) error {
	if m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError || m.Truncated {
		return nil
	}
	asked := map[string]bool{}
	for _, rr := range m.Answer {
		if r, ok := record.Decode(rr); ok && r.Kind == record.PTR && r.Name == s.Service.List() {
			asked[record.CanonicalName(r.Target)] = true
		}
	}
	same := 0
	pushed := s.view.All(s.Service.List(), record.PTR)
	for _, r := range pushed {
		if asked[record.CanonicalName(r.Target)] {
			same++
		}
	}
	if same == len(asked) && same == len(pushed) {
		s.odd = 0
		return nil
	}
	if s.odd++; s.odd > 1 {
		return errors.New("the server has changed the list without pushing it")
	}
	return nil
}

// subscribe asks for what the view wants by now, and lets go of what it does not.
func (s *session) subscribe() error {
	want := func(name string, kind uint16) error {
		if _, ok := s.subs[name]; ok {
			return nil
		}
		if len(s.subs) >= record.SetsMost/4 || len(s.asked) >= 1<<15 {
			return nil
		}
		sub := subscription{s.id(), name, kind}
		raw, err := push.SubscribeMessage(sub.id, name, kind)
		if err != nil {
			return err
		}
		s.subs[name], s.asked[sub.id] = sub, sub
		return s.send(raw)
	}
	list := s.Service.List()
	if err := want(list, dns.TypePTR); err != nil {
		return err
	}
	names, _ := s.view.Instances(s.Service)
	wanted := map[string]bool{list: true}
	for _, name := range names {
		for _, k := range s.view.Wants(name) {
			wanted[k.Name] = true
			if err := want(k.Name, dns.TypeANY); err != nil {
				return err
			}
		}
	}
	if len(s.subs) == len(wanted) {
		return nil
	}
	dropped := false
	for name, sub := range s.subs {
		if wanted[name] {
			continue
		}
		delete(s.subs, name)
		dropped = true
		if err := s.send(push.UnsubscribeMessage(sub.id)); err != nil {
			return err
		}
	}
	if dropped {
		s.view.Keep(s.keys())
	}
	return nil
}

// keys are those of all names that are subscribed for.
func (s *session) keys() map[record.Key]bool {
	keep := map[record.Key]bool{}
	for name := range s.subs {
		for _, k := range []record.Kind{record.PTR, record.SRV, record.TXT, record.A, record.AAAA} {
			keep[record.Key{Name: name, Kind: k}] = true
		}
	}
	return keep
}

// tellWhen tells the view, once it is whole or has had time to become so.
func (s *session) tellWhen(now time.Time, start func(), changed bool) error {
	if !changed && s.inForce && now.Sub(s.told) < tellEvery {
		return nil
	}
	if set := s.view.Get(s.Service.List(), record.PTR); set == nil || set.Heard == 0 {
		if !s.inForce && now.Sub(s.began) > firstTime+connectTime {
			return errors.New("the list was not pushed")
		}
		return nil
	}
	found := sight(s.view, s.Service, s.labels, Snapshot{Serial: s.serial, Way: Push, At: now})
	if !s.inForce {
		for _, in := range found.Instances {
			if in.Pending && now.Sub(s.began) < firstTime {
				return nil
			}
		}
		s.inForce = true
		start()
		s.note(Push, nil)
		s.Log.Info("news comes by push", zap.String("server", s.conn.RemoteAddr().String()), zap.Int("instances", len(found.Instances)))
	}
	s.told = now
	s.Tell(found)
	return nil
}
