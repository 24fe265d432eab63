package browser

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/miekg/dns"
	"github.com/stretchr/testify/require"

	"standpoint/internal/lab/responder"
)

// newCertificate makes a self-signed server certificate, and the pool that trusts it.
func newCertificate(t *testing.T) (*tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		DNSNames:              []string{"push.hall-a.test"},
		IsCA:                  true,
		BasicConstraintsValid: true,
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	return &tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}, roots
}

// Push over TLS is found by the domain's SRV record, and believed only with a certificate of the configured root.
func TestPushOverTLSRequiresTrustedRoot(t *testing.T) {
	c, roots := newCertificate(t)
	_, others := newCertificate(t)
	s := startResponder(t, c, instances(2)...)
	at := netip.MustParseAddrPort(s.Secure)
	head := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: 60}
	}
	s.Zone.Apply(
		responder.Change{
			RR: &dns.SRV{
				Hdr:    head("_dns-push-tls._tcp.hall-a.test.", dns.TypeSRV),
				Port:   at.Port(),
				Target: "push.hall-a.test.",
			},
		},
		responder.Change{RR: &dns.A{Hdr: head("push.hall-a.test.", dns.TypeA), A: net.IPv4(127, 0, 0, 1)}},
	)
	_, snapshots := startBrowser(t, s, Auto, func(o *Options) { o.TLS = &tls.Config{RootCAs: roots} })
	waitForSnapshot(t, snapshots, readyBy(2, Push))
	require.NoError(t, s.Zone.Withdraw(instance("box-1", 8001)))
	waitForSnapshot(t, snapshots, readyBy(1, Push))

	began := s.Sessions.Load()
	_, snapshots = startBrowser(t, s, Auto, func(o *Options) { o.TLS = &tls.Config{RootCAs: others} })
	waitForSnapshot(t, snapshots, readyBy(1, Poll)) // an unknown root: the look-ups go on
	require.NoError(t, s.Zone.Withdraw(instance("box-2", 8002)))
	waitForSnapshot(t, snapshots, readyBy(0, Poll))
	require.Equal(t, began, s.Sessions.Load())
}

// A server without DSO is polled, and nothing else happens.
func TestServerWithoutPushIsPolled(t *testing.T) {
	s := startResponder(t, nil, instances(2)...)
	s.Set(responder.Faults{NoPush: true})
	_, snapshots := startBrowser(t, s, Push, nil)
	waitForSnapshot(t, snapshots, readyBy(2, Poll))
	require.NoError(t, s.Zone.Withdraw(instance("box-1", 8001)))
	waitForSnapshot(t, snapshots, readyBy(1, Poll))
	require.Zero(t, s.Sessions.Load())
}

// blackholeProxy forwards a push session until shut is closed; from then on it drops the bytes silently.
type blackholeProxy struct {
	net.Listener
	shut chan struct{}
}

func newBlackholeProxy(t *testing.T, to string) *blackholeProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	proxy := &blackholeProxy{listener, make(chan struct{})}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
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
						case <-proxy.shut:
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
	return proxy
}

// A session that dies without a word is noticed by its checks, and look-ups go on: what is withdrawn meanwhile is seen
// within 500 ms all the same.
func TestSilentPushSessionFallsBackToPolling(t *testing.T) {
	best := time.Hour
	for range 3 {
		s := startResponder(t, nil, instances(3)...)
		proxy := newBlackholeProxy(t, s.Address)
		_, snapshots := startBrowser(t, s, Push, func(o *Options) { o.PushAddress = proxy.Addr().String() })
		waitForSnapshot(t, snapshots, readyBy(3, Push))
		close(proxy.shut)
		began := time.Now()
		require.NoError(t, s.Zone.Withdraw(instance("box-1", 8001)))
		waitForSnapshot(t, snapshots, readyBy(2, Poll))
		best = min(best, time.Since(began))
	}
	require.Less(t, best, 500*time.Millisecond)
}

// A server that answers checks and no longer pushes is found out by comparing the list.
func TestPushSessionWithoutChangesIsDetectedByAudit(t *testing.T) {
	s := startResponder(t, nil, instances(3)...)
	_, snapshots := startBrowser(t, s, Push, nil)
	waitForSnapshot(t, snapshots, readyBy(3, Push))
	s.Set(responder.Faults{Mute: true})
	require.NoError(t, s.Zone.Withdraw(instance("box-1", 8001)))
	waitForSnapshot(t, snapshots, readyBy(2, Poll))
}
