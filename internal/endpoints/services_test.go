package endpoints

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/dnssd/browser"
	"standpoint/internal/dnssd/record"
	"standpoint/internal/lab/responder"
	"standpoint/internal/node"
)

// serveDomain runs a DNS server, with a backend for each label, until the test ends.
func serveDomain(t *testing.T, domain string, labels ...string) *responder.Server {
	t.Helper()
	zone := responder.NewZone(domain, 7)
	for i, label := range labels {
		require.NoError(t, zone.Publish(publishedBackend(label, 8001+i)))
	}
	server, err := responder.Start(zone, "127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	return server
}

func publishedBackend(label string, port int) responder.Instance {
	return responder.Instance{
		Label:   label,
		Service: "_engine._tcp",
		TTL:     60,
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)),
	}
}

func newTestSource(server *responder.Server, domain, site string) *ServiceSource {
	return &ServiceSource{
		Key:    "_engine._tcp." + domain,
		Config: server.Address + site,
		Suffix: "@" + domain,
		Site:   site,
		Names:  names,
		Log:    zap.NewNop(),
		Guard:  record.Guard{MaxLossFraction: 0.5, HoldTime: int64(time.Hour)},
		BrowserOptions: browser.Options{
			Server:          server.Address,
			Mechanism:       browser.Poll,
			Log:             zap.NewNop(),
			PollInterval:    50 * time.Millisecond,
			RefreshInterval: time.Second,
			Service:         record.Service{Type: "_engine._tcp", Domain: domain},
		},
	}
}

func endpointNames(list node.EndpointList) (all []string) {
	for _, listed := range list.Endpoints {
		all = append(all, listed.Name)
	}
	return all
}

// Several domains, each at its own server, are combined. The same label in two domains gives two endpoints. A server
// that does not respond affects only its own domain, whose persisted endpoints stay in use. The set of domains changes
// while the sources run.
func TestServiceSourcesCombineDomains(t *testing.T) {
	serverA := serveDomain(t, "a.test", "box-1", "box-2")
	serverB := serveDomain(t, "b.test", "box-1")
	serverC := serveDomain(t, "c.test", "box-1")
	serverC.SetFaults(responder.Faults{Unresponsive: true})
	notify, updates := receiver(t)
	sources := NewServiceSources(notify,
		newTestSource(serverA, "a.test", "a"),
		newTestSource(serverB, "b.test", "b"),
		newTestSource(serverC, "c.test", "a"))
	persisted := node.Endpoint{
		Source: "_engine._tcp.c.test",
		Engine: standpoint.Engine{Name: "box-9@c.test", Stale: true},
	}
	sources.Restore(node.EndpointList{Endpoints: []node.Endpoint{persisted}})
	runUntilEnd(t, sources.Run)
	require.Equal(t, []string{"box-1@a.test", "box-2@a.test", "box-1@b.test", "box-9@c.test"},
		endpointNames(receive(t, updates)))
	require.NoError(t, serverA.Zone.Withdraw(publishedBackend("box-1", 8001)))
	require.Equal(t, []string{"box-2@a.test", "box-1@b.test", "box-9@c.test"}, endpointNames(receive(t, updates)))
	serverC.SetFaults(responder.Faults{})
	last := receive(t, updates)
	require.Equal(t, []string{"box-2@a.test", "box-1@b.test", "box-1@c.test"}, endpointNames(last))
	require.False(t, last.Endpoints[2].Stale)

	// The source of a.test is unchanged, that of b.test gets another configuration, c.test is removed, d.test added.
	serverD := serveDomain(t, "d.test", "box-7")
	sources.Replace([]*ServiceSource{
		newTestSource(serverA, "a.test", "a"),
		newTestSource(serverB, "b.test", "a"),
		newTestSource(serverD, "d.test", "a"),
	})
	require.Eventually(t, func() bool {
		last = <-updates
		listed := endpointNames(last)
		require.Contains(t, listed, "box-2@a.test", "never withdrawn")
		require.Contains(t, listed, "box-1@b.test", "never withdrawn")
		return len(listed) == 3 && listed[2] == "box-7@d.test" && last.Endpoints[1].Zone == 0
	}, 10*time.Second, time.Millisecond)
}
