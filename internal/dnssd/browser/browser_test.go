package browser

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/dnssd/record"
	"standpoint/internal/lab/responder"
)

const service = "_engine._tcp"

var testService = record.Service{Type: service, Domain: "hall-a.test"}

// instance returns an instance of the test service at a port of 127.0.0.1.
func instance(label string, port int) responder.Instance {
	return responder.Instance{Label: label, Service: service, TTL: 120, Text: []string{"site=a"},
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))}
}

// instances returns n instances, box-1 to box-n, at the ports from 8001.
func instances(n int) (all []responder.Instance) {
	for i := range n {
		all = append(all, instance(fmt.Sprintf("box-%d", i+1), 8001+i))
	}
	return all
}

// startResponder starts a DNS server with the given instances; it offers push over TLS if certificate is not nil.
func startResponder(t *testing.T, certificate *tls.Certificate, all ...responder.Instance) *responder.Server {
	t.Helper()
	zone := responder.NewZone("hall-a.test", 7)
	require.NoError(t, zone.Publish(all...))
	server, err := responder.Start(zone, "127.0.0.1:0", certificate)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	return server
}

// startBrowser runs a browser until the test ends and returns it with the channel of its snapshots.
func startBrowser(
	t *testing.T,
	server *responder.Server,
	mechanism Mechanism,
	change func(*Options),
) (*Browser, <-chan Snapshot) {
	t.Helper()
	snapshots := make(chan Snapshot, 10_000)
	options := Options{
		Service:         testService,
		Server:          server.Address,
		Mechanism:       mechanism,
		PollInterval:    50 * time.Millisecond,
		RefreshInterval: time.Second,
		Log:             zap.NewNop(),
		Publish:         func(s Snapshot) { snapshots <- s },
	}
	switch mechanism {
	case Push:
		options.PushAddress = server.Address
	case MDNS:
		options.DialMDNS = func() (Transport, error) { return DialUnicast(server.MDNSAddress) }
	}
	if change != nil {
		change(&options)
	}
	browser := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { browser.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return browser, snapshots
}

// waitForSnapshot returns the first snapshot that accept reports true for, and fails the test after 60 s without one.
func waitForSnapshot(t *testing.T, snapshots <-chan Snapshot, accept func(Snapshot) bool) Snapshot {
	t.Helper()
	limit := time.After(60 * time.Second)
	var last Snapshot
	for {
		select {
		case last = <-snapshots:
			if accept(last) {
				return last
			}
		case <-limit:
			require.FailNow(t, "no accepted snapshot within 60 s", "last one: %d of %d instances ready, mechanism %s",
				len(readyLabels(last)), len(last.Instances), last.Mechanism)
		}
	}
}

// readyLabels returns the labels of the instances without a fault.
func readyLabels(s Snapshot) (labels []string) {
	for _, in := range s.Instances {
		if in.Fault == nil {
			labels = append(labels, in.Label)
		}
	}
	return labels
}

// readyBy accepts snapshots obtained by mechanism that have n instances without a fault.
func readyBy(n int, mechanism Mechanism) func(Snapshot) bool {
	return func(s Snapshot) bool { return len(readyLabels(s)) == n && s.Mechanism == mechanism }
}

// Guards against a mechanism that misses an added, changed or withdrawn instance, or damages an instance name with
// spaces, dots, quotes or non-ASCII letters.
func TestAllMechanismsSeeInstancesComeChangeAndGo(t *testing.T) {
	label := "Зал Қ. 3 \"б\"" // dots, spaces, quotes, Kazakh letters
	for _, mechanism := range []Mechanism{Poll, Push, MDNS} {
		t.Run(string(mechanism), func(t *testing.T) {
			server := startResponder(t, nil, instance(label, 8001), instance("box-2", 8002))
			_, snapshots := startBrowser(t, server, mechanism, nil)
			first := waitForSnapshot(t, snapshots, readyBy(2, mechanism))
			require.ElementsMatch(t, []string{label, "box-2"}, readyLabels(first))
			added := instance("box-3", 8003)
			added.Address = netip.MustParseAddrPort("[::1]:8003")
			require.NoError(t, server.Zone.Publish(added))
			three := waitForSnapshot(t, snapshots, readyBy(3, mechanism))
			index := slices.IndexFunc(three.Instances, func(in record.Instance) bool { return in.Label == "box-3" })
			require.Equal(t, "[::1]:8003", three.Instances[index].Address.String())
			require.Equal(t, "a", three.Instances[index].Attributes["site"].Value)
			// Replace an SRV record in one change.
			old, err := server.Zone.Records(instance("box-2", 8002))
			require.NoError(t, err)
			moved, err := server.Zone.Records(instance("box-2", 8099))
			require.NoError(t, err)
			server.Zone.Apply(responder.Change{RR: old[1], Remove: true}, responder.Change{RR: moved[1]})
			waitForSnapshot(t, snapshots, func(s Snapshot) bool {
				return slices.ContainsFunc(
					s.Instances,
					func(in record.Instance) bool { return in.Label == "box-2" && in.Address.Port() == 8099 },
				)
			})
			require.NoError(t, server.Zone.Withdraw(instance(label, 8001)))
			require.ElementsMatch(
				t,
				[]string{"box-2", "box-3"},
				readyLabels(waitForSnapshot(t, snapshots, readyBy(2, mechanism))),
			)
		})
	}
}

// bestWithdrawalDelay returns the shortest of three times from the withdrawal of an instance to the snapshot without
// it. The others may be delayed by load on the machine.
func bestWithdrawalDelay(t *testing.T, server *responder.Server, snapshots <-chan Snapshot, n int) time.Duration {
	t.Helper()
	best := time.Hour
	for i := range 3 {
		began := time.Now()
		require.NoError(t, server.Zone.Withdraw(instance(fmt.Sprintf("box-%d", i+1), 8001+i)))
		waitForSnapshot(t, snapshots, func(s Snapshot) bool { return len(readyLabels(s)) == n-i-1 })
		best = min(best, time.Since(began))
	}
	return best
}

// Guards against a mechanism that takes 500 ms or more to discover a withdrawal, with and without packet loss.
func TestWithdrawalIsSeenWithinBoundDespitePacketLoss(t *testing.T) {
	for _, mechanism := range []Mechanism{Poll, Push, MDNS} {
		for _, every := range []int{0, 3} { // no packet is lost, or every third one
			t.Run(fmt.Sprint(mechanism, every), func(t *testing.T) {
				server := startResponder(t, nil, instances(6)...)
				_, snapshots := startBrowser(t, server, mechanism, nil)
				waitForSnapshot(t, snapshots, readyBy(6, mechanism))
				server.SetFaults(responder.Faults{LossInterval: every, Jitter: 5 * time.Millisecond})
				require.Less(t, bestWithdrawalDelay(t, server, snapshots, 6), 500*time.Millisecond)
			})
		}
	}
}

// Guards against the permanent loss of an instance that is withdrawn and published again within 100 ms.
func TestInstanceRepublishedWithin100msIsListed(t *testing.T) {
	for _, mechanism := range []Mechanism{Poll, Push, MDNS} {
		t.Run(string(mechanism), func(t *testing.T) {
			server := startResponder(t, nil, instances(3)...)
			_, snapshots := startBrowser(t, server, mechanism, nil)
			waitForSnapshot(t, snapshots, readyBy(3, mechanism))
			for range 3 {
				require.NoError(t, server.Zone.Withdraw(instance("box-1", 8001)))
				time.Sleep(60 * time.Millisecond)
				require.NoError(t, server.Zone.Publish(instance("box-1", 8001)))
				time.Sleep(300 * time.Millisecond)
			}
			// Intermediate snapshots may lack the instance; the last one must have it.
			time.Sleep(400 * time.Millisecond)
			for len(snapshots) > 1 {
				<-snapshots
			}
			waitForSnapshot(t, snapshots, readyBy(3, mechanism))
		})
	}
}

// Guards against the acceptance of forged or damaged responses: a wrong id, a name in the wrong case, additional
// records outside the domain, or random bytes.
func TestForgedAnswersAreRejected(t *testing.T) {
	server := startResponder(t, nil, instances(4)...)
	server.SetFaults(responder.Faults{WrongID: 1, Poison: 1, Garbage: 1})
	browser, snapshots := startBrowser(t, server, Poll, nil)
	waitForSnapshot(t, snapshots, readyBy(4, Poll))
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		for len(snapshots) > 0 {
			require.Len(t, readyLabels(<-snapshots), 4)
		}
	}
	require.Positive(t, browser.client.RejectedResponses.Load())
	response, err := browser.client.Query(t.Context(), "box-1."+testService.BaseName(), record.SRV)
	require.NoError(t, err)
	for _, r := range response.Additional {
		require.True(t, record.Within(r.Name, "hall-a.test."), r.Name)
	}
}

// Guards against a failure to retry truncated responses over TCP, and against a flood of queries for records with a TTL
// of 0.
func TestTruncatedResponsesAndZeroTTL(t *testing.T) {
	server := startResponder(t, nil, instances(5)...)
	server.SetFaults(responder.Faults{Truncate: true, ZeroTTL: true})
	_, snapshots := startBrowser(t, server, Poll, nil)
	waitForSnapshot(t, snapshots, readyBy(5, Poll))
	before := server.QueryCount.Load()
	time.Sleep(time.Second)
	require.Less(
		t,
		server.QueryCount.Load()-before,
		int64(150),
	) // in one second: 40 queries for the serial, and 16 sets queried at most once, with one retry each
}

// Guards against a mechanism that cannot handle a large domain: 2,000 instances by polling and push, and 400 by mDNS,
// where queries that replace lost messages are sent at growing intervals.
func TestTwoThousandInstances(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	for _, mechanism := range []Mechanism{Poll, Push, MDNS} {
		t.Run(string(mechanism), func(t *testing.T) {
			n := 2000
			if mechanism == MDNS {
				n = 400
			}
			server := startResponder(t, nil, instances(n)...)
			_, snapshots := startBrowser(t, server, mechanism, nil)
			waitForSnapshot(t, snapshots, readyBy(n, mechanism))
			require.NoError(t, server.Zone.Withdraw(instance("box-1", 8001)))
			waitForSnapshot(t, snapshots, readyBy(n-1, mechanism))
		})
	}
}

// Guards against withdrawn instances that reappear: of two servers behind one address, one has an outdated zone, so
// half of the responses still list the instance.
func TestLaggingServerDoesNotReviveWithdrawnInstances(t *testing.T) {
	server := startResponder(t, nil, instances(4)...)
	server.SetFaults(responder.Faults{SecondZone: server.Zone.Copy()})
	_, snapshots := startBrowser(t, server, Poll, nil)
	waitForSnapshot(t, snapshots, readyBy(4, Poll))
	for i := range 3 {
		require.NoError(t, server.Zone.Withdraw(instance(fmt.Sprintf("box-%d", i+1), 8001+i)))
		waitForSnapshot(t, snapshots, readyBy(3-i, Poll))
		for range 10 {
			time.Sleep(50 * time.Millisecond)
			for len(snapshots) > 0 {
				require.Len(t, readyLabels(<-snapshots), 3-i)
			}
		}
	}
}
