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

// newCertificate returns a self-signed server certificate and a pool that trusts it.
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

// Guards against push over TLS that is not located by the domain's SRV record, and against a session with a server
// whose certificate is not signed by the configured root.
func TestPushOverTLSRequiresTrustedRoot(t *testing.T) {
	certificate, roots := newCertificate(t)
	_, others := newCertificate(t)
	server := startResponder(t, certificate, instances(2)...)
	secureAddress := netip.MustParseAddrPort(server.TLSAddress)
	head := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: 60}
	}
	server.Zone.Apply(
		responder.Change{
			RR: &dns.SRV{
				Hdr:    head("_dns-push-tls._tcp.hall-a.test.", dns.TypeSRV),
				Port:   secureAddress.Port(),
				Target: "push.hall-a.test.",
			},
		},
		responder.Change{RR: &dns.A{Hdr: head("push.hall-a.test.", dns.TypeA), A: net.IPv4(127, 0, 0, 1)}},
	)
	_, snapshots := startBrowser(t, server, Auto, func(o *Options) { o.TLS = &tls.Config{RootCAs: roots} })
	waitForSnapshot(t, snapshots, readyBy(2, Push))
	require.NoError(t, server.Zone.Withdraw(instance("box-1", 8001)))
	waitForSnapshot(t, snapshots, readyBy(1, Push))

	sessions := server.SessionCount.Load()
	_, snapshots = startBrowser(t, server, Auto, func(o *Options) { o.TLS = &tls.Config{RootCAs: others} })
	waitForSnapshot(t, snapshots, readyBy(1, Poll)) // the root is not trusted, so polling continues
	require.NoError(t, server.Zone.Withdraw(instance("box-2", 8002)))
	waitForSnapshot(t, snapshots, readyBy(0, Poll))
	require.Equal(t, sessions, server.SessionCount.Load())
}

// Guards against missed changes at a server without DSO: the browser must fall back to polling and open no session.
func TestServerWithoutPushIsPolled(t *testing.T) {
	server := startResponder(t, nil, instances(2)...)
	server.SetFaults(responder.Faults{NoPush: true})
	_, snapshots := startBrowser(t, server, Push, nil)
	waitForSnapshot(t, snapshots, readyBy(2, Poll))
	require.NoError(t, server.Zone.Withdraw(instance("box-1", 8001)))
	waitForSnapshot(t, snapshots, readyBy(1, Poll))
	require.Zero(t, server.SessionCount.Load())
}

// blackholeProxy forwards connections until shut is closed, and then drops all bytes without closing them.
type blackholeProxy struct {
	net.Listener
	shut chan struct{}
}

// newBlackholeProxy starts a proxy to the given address.
func newBlackholeProxy(t *testing.T, to string) *blackholeProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	proxy := &blackholeProxy{listener, make(chan struct{})}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to)
			if err != nil {
				client.Close()
				return
			}
			t.Cleanup(func() { client.Close(); server.Close() })
			for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
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

// Guards against a withdrawal that is missed because the connection of the push session has stopped delivering data
// without being closed: the liveness check must fail and polling discover the withdrawal within 500 ms.
func TestSilentPushSessionFallsBackToPolling(t *testing.T) {
	best := time.Hour
	for range 3 {
		server := startResponder(t, nil, instances(3)...)
		proxy := newBlackholeProxy(t, server.Address)
		_, snapshots := startBrowser(t, server, Push, func(o *Options) { o.PushAddress = proxy.Addr().String() })
		waitForSnapshot(t, snapshots, readyBy(3, Push))
		close(proxy.shut)
		began := time.Now()
		require.NoError(t, server.Zone.Withdraw(instance("box-1", 8001)))
		waitForSnapshot(t, snapshots, readyBy(2, Poll))
		best = min(best, time.Since(began))
	}
	require.Less(t, best, 500*time.Millisecond)
}

// Guards against a server that responds to liveness checks but no longer pushes changes: audits of the list must end
// the session.
func TestPushSessionWithoutChangesIsDetectedByAudit(t *testing.T) {
	server := startResponder(t, nil, instances(3)...)
	_, snapshots := startBrowser(t, server, Push, nil)
	waitForSnapshot(t, snapshots, readyBy(3, Push))
	server.SetFaults(responder.Faults{NoPushChanges: true})
	require.NoError(t, server.Zone.Withdraw(instance("box-1", 8001)))
	waitForSnapshot(t, snapshots, readyBy(2, Poll))
}
