package browser

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/miekg/dns"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/dnssd/record"
	"standpoint/internal/lab/responder"
)

const service = "_engine._tcp"

var hall = record.Service{Type: service, Domain: "hall-a.test"}

func box(label string, port int) responder.Box {
	return responder.Box{Label: label, Service: service, TTL: 120, Text: []string{"site=a"},
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))}
}

func boxes(n int) (all []responder.Box) {
	for i := range n {
		all = append(all, box(fmt.Sprintf("box-%d", i+1), 8001+i))
	}
	return all
}

// certificate is a server's own, and its root.
func certificate(t *testing.T) (*tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	form := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"push.hall-a.test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	raw, err := x509.CreateCertificate(rand.Reader, form, form, key.Public(), key)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	return &tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}, roots
}

func start(t *testing.T, c *tls.Certificate, all ...responder.Box) *responder.Server {
	z := responder.NewZone("hall-a.test", 7)
	require.NoError(t, z.Publish(all...))
	s, err := responder.Start(z, "127.0.0.1:0", c)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return s
}

// finding runs a finder and hands on what it tells.
func finding(t *testing.T, s *responder.Server, way Mechanism, change func(*Options)) (*Browser, <-chan Snapshot) {
	sights := make(chan Snapshot, 10_000)
	o := Options{Service: hall, Server: s.Address, Way: way, Every: 50 * time.Millisecond, Refresh: time.Second, Log: zap.NewNop(),
		Tell: func(s Snapshot) { sights <- s }}
	switch way {
	case Push:
		o.PushAddress = s.Address
	case MDNS:
		o.Dial = func() (Transport, error) { return DialUnicast(s.MDNS) }
	}
	if change != nil {
		change(&o)
	}
	f := New(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, sights
}

// until waits for a sight that will do.
func until(t *testing.T, sights <-chan Snapshot, will func(Snapshot) bool) Snapshot {
	t.Helper()
	limit := time.After(60 * time.Second)
	var last Snapshot
	for {
		select {
		case last = <-sights:
			if will(last) {
				return last
			}
		case <-limit:
			require.FailNow(t, "it was not seen", "%d of %d by %s", len(ready(last)), len(last.Instances), last.Way)
		}
	}
}

// ready are the labels of the instances without a fault.
func ready(s Snapshot) (labels []string) {
	for _, in := range s.Instances {
		if in.Fault == nil {
			labels = append(labels, in.Label)
		}
	}
	return labels
}

func has(n int, way Mechanism) func(Snapshot) bool {
	return func(s Snapshot) bool { return len(ready(s)) == n && s.Way == way }
}

// Every way tells of boxes that come, change and go, and of names of any kind.
func TestEveryWay(t *testing.T) {
	odd := "Зал Қ. 3 \"б\"" // dots, spaces, quotes, Kazakh letters
	for _, way := range []Mechanism{Poll, Push, MDNS} {
		t.Run(string(way), func(t *testing.T) {
			s := start(t, nil, box(odd, 8001), box("box-2", 8002))
			_, sights := finding(t, s, way, nil)
			first := until(t, sights, has(2, way))
			require.ElementsMatch(t, []string{odd, "box-2"}, ready(first))
			six := box("box-3", 8003)
			six.Address = netip.MustParseAddrPort("[::1]:8003")
			require.NoError(t, s.Zone.Publish(six))
			three := until(t, sights, has(3, way))
			at := slices.IndexFunc(three.Instances, func(in record.Instance) bool { return in.Label == "box-3" })
			require.Equal(t, "[::1]:8003", three.Instances[at].Address.String())
			require.Equal(t, "a", three.Instances[at].Attributes["site"].Value)
			// A target that changes in one step.
			old, err := s.Zone.Records(box("box-2", 8002))
			require.NoError(t, err)
			moved, err := s.Zone.Records(box("box-2", 8099))
			require.NoError(t, err)
			s.Zone.Apply(responder.Change{RR: old[1], Remove: true}, responder.Change{RR: moved[1]})
			until(t, sights, func(s Snapshot) bool {
				return slices.ContainsFunc(s.Instances, func(in record.Instance) bool { return in.Label == "box-2" && in.Address.Port() == 8099 })
			})
			require.NoError(t, s.Zone.Withdraw(box(odd, 8001)))
			require.ElementsMatch(t, []string{"box-2", "box-3"}, ready(until(t, sights, has(2, way))))
		})
	}
}

// delay is the least time of several that a withdrawal takes to be seen; a busy machine may hold one or two up.
func delay(t *testing.T, s *responder.Server, sights <-chan Snapshot, n int) time.Duration {
	best := time.Hour
	for i := range 3 {
		began := time.Now()
		require.NoError(t, s.Zone.Withdraw(box(fmt.Sprintf("box-%d", i+1), 8001+i)))
		until(t, sights, func(s Snapshot) bool { return len(ready(s)) == n-i-1 })
		best = min(best, time.Since(began))
	}
	return best
}

func TestWithdrawal(t *testing.T) {
	for _, way := range []Mechanism{Poll, Push, MDNS} {
		for _, every := range []int{0, 3} { // no packet is lost, or each third
			t.Run(fmt.Sprint(way, every), func(t *testing.T) {
				s := start(t, nil, boxes(6)...)
				_, sights := finding(t, s, way, nil)
				until(t, sights, has(6, way))
				s.Set(responder.Faults{Every: every, Jitter: 5 * time.Millisecond})
				require.Less(t, delay(t, s, sights, 6), 500*time.Millisecond)
			})
		}
	}
}

// A zone without a serial is asked for its list; one that is published again within 100 ms is there again.
func TestBackWithin100ms(t *testing.T) {
	for _, way := range []Mechanism{Poll, Push, MDNS} {
		t.Run(string(way), func(t *testing.T) {
			s := start(t, nil, boxes(3)...)
			_, sights := finding(t, s, way, nil)
			until(t, sights, has(3, way))
			for range 3 {
				require.NoError(t, s.Zone.Withdraw(box("box-1", 8001)))
				time.Sleep(60 * time.Millisecond)
				require.NoError(t, s.Zone.Publish(box("box-1", 8001)))
				time.Sleep(300 * time.Millisecond)
			}
			// Whatever was seen between, at the end it is there.
			time.Sleep(400 * time.Millisecond)
			for len(sights) > 1 {
				<-sights
			}
			until(t, sights, has(3, way))
		})
	}
}

// Push over TLS is found by the domain's SRV record, and believed only with a certificate of the configured root.
func TestPushOverTLS(t *testing.T) {
	c, roots := certificate(t)
	_, others := certificate(t)
	s := start(t, c, boxes(2)...)
	at := netip.MustParseAddrPort(s.Secure)
	head := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: 60}
	}
	s.Zone.Apply(responder.Change{RR: &dns.SRV{Hdr: head("_dns-push-tls._tcp.hall-a.test.", dns.TypeSRV), Port: at.Port(), Target: "push.hall-a.test."}},
		responder.Change{RR: &dns.A{Hdr: head("push.hall-a.test.", dns.TypeA), A: net.IPv4(127, 0, 0, 1)}})
	_, sights := finding(t, s, Auto, func(o *Options) { o.TLS = &tls.Config{RootCAs: roots} })
	until(t, sights, has(2, Push))
	require.NoError(t, s.Zone.Withdraw(box("box-1", 8001)))
	until(t, sights, has(1, Push))

	began := s.Sessions.Load()
	_, sights = finding(t, s, Auto, func(o *Options) { o.TLS = &tls.Config{RootCAs: others} })
	until(t, sights, has(1, Poll)) // an unknown root: the look-ups go on
	require.NoError(t, s.Zone.Withdraw(box("box-2", 8002)))
	until(t, sights, has(0, Poll))
	require.Equal(t, began, s.Sessions.Load())
}

// A server without DSO is polled, and nothing else happens.
func TestNoPush(t *testing.T) {
	s := start(t, nil, boxes(2)...)
	s.Set(responder.Faults{NoPush: true})
	_, sights := finding(t, s, Push, nil)
	until(t, sights, has(2, Poll))
	require.NoError(t, s.Zone.Withdraw(box("box-1", 8001)))
	until(t, sights, has(1, Poll))
	require.Zero(t, s.Sessions.Load())
}

// gate passes a push session's bytes on until it is shut; then they go nowhere, and nobody is told.
type gate struct {
	net.Listener
	shut chan struct{}
}

func newGate(t *testing.T, to string) *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := &gate{l, make(chan struct{})}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				return
			}
			t.Cleanup(func() { in.Close(); out.Close() })
			for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
				go func() {
					buffer := make([]byte, 64<<10)
					for {
						n, err := pair[0].Read(buffer)
						if err != nil {
							return
						}
						select {
						case <-g.shut:
							continue
						default:
						}
						if _, err := pair[1].Write(buffer[:n]); err != nil {
							return
						}
					}
				}()
			}
		}
	}()
	return g
}

// A session that dies without a word is noticed by its checks, and look-ups go on: what is withdrawn meanwhile is seen
// within 500 ms all the same.
func TestPushDiesSilently(t *testing.T) {
	best := time.Hour
	for range 3 {
		s := start(t, nil, boxes(3)...)
		g := newGate(t, s.Address)
		_, sights := finding(t, s, Push, func(o *Options) { o.PushAddress = g.Addr().String() })
		until(t, sights, has(3, Push))
		close(g.shut)
		began := time.Now()
		require.NoError(t, s.Zone.Withdraw(box("box-1", 8001)))
		until(t, sights, has(2, Poll))
		best = min(best, time.Since(began))
	}
	require.Less(t, best, 500*time.Millisecond)
}

// A server that answers checks and no longer pushes is found out by comparing the list.
func TestPushThatPushesNothing(t *testing.T) {
	s := start(t, nil, boxes(3)...)
	_, sights := finding(t, s, Push, nil)
	until(t, sights, has(3, Push))
	s.Set(responder.Faults{Mute: true})
	require.NoError(t, s.Zone.Withdraw(box("box-1", 8001)))
	until(t, sights, has(2, Poll))
}

// Forged and damaged answers change nothing: a wrong id, the wrong case, a name outside the zone, noise.
func TestForgedAnswers(t *testing.T) {
	s := start(t, nil, boxes(4)...)
	s.Set(responder.Faults{WrongID: 1, Poison: 1, Garbage: 1})
	f, sights := finding(t, s, Poll, nil)
	until(t, sights, has(4, Poll))
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		for len(sights) > 0 {
			require.Len(t, ready(<-sights), 4)
		}
	}
	require.Positive(t, f.client.Spoofed.Load())
	a, err := f.client.Ask(t.Context(), "box-1."+hall.Base(), record.SRV)
	require.NoError(t, err)
	for _, r := range a.Extra {
		require.True(t, record.Within(r.Name, "hall-a.test."), r.Name)
	}
}

// Answers that do not fit a packet come over TCP; a TTL of 0 does not flood the server.
func TestTruncatedAndWithoutTTL(t *testing.T) {
	s := start(t, nil, boxes(5)...)
	s.Set(responder.Faults{Truncate: true, ZeroTTL: true})
	_, sights := finding(t, s, Poll, nil)
	until(t, sights, has(5, Poll))
	before := s.Questions.Load()
	time.Sleep(time.Second)
	require.Less(t, s.Questions.Load()-before, int64(150)) // 40 serials, and 16 sets at most once a second, each asked twice
}

// 2,000 boxes in one domain, polled and pushed; 400 by mDNS, whose questions after lost messages come ever more seldom.
func TestTwoThousandBoxes(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	for _, way := range []Mechanism{Poll, Push, MDNS} {
		t.Run(string(way), func(t *testing.T) {
			n := 2000
			if way == MDNS {
				n = 400
			}
			s := start(t, nil, boxes(n)...)
			_, sights := finding(t, s, way, nil)
			until(t, sights, has(n, way))
			require.NoError(t, s.Zone.Withdraw(box("box-1", 8001)))
			until(t, sights, has(n-1, way))
		})
	}
}

// Two servers behind one address, one of which lags: what is withdrawn stays so, though half of the answers still list it.
func TestSplitAnswers(t *testing.T) {
	s := start(t, nil, boxes(4)...)
	s.Set(responder.Faults{Other: s.Zone.Copy()})
	_, sights := finding(t, s, Poll, nil)
	until(t, sights, has(4, Poll))
	for i := range 3 {
		require.NoError(t, s.Zone.Withdraw(box(fmt.Sprintf("box-%d", i+1), 8001+i)))
		until(t, sights, has(3-i, Poll))
		for range 10 {
			time.Sleep(50 * time.Millisecond)
			for len(sights) > 0 {
				require.Len(t, ready(<-sights), 3-i)
			}
		}
	}
}
