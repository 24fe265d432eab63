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

func instance(label string, port int) responder.Box {
	return responder.Box{Label: label, Service: service, TTL: 120, Text: []string{"site=a"},
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))}
}

func instances(n int) (all []responder.Box) {
	for i := range n {
		all = append(all, instance(fmt.Sprintf("box-%d", i+1), 8001+i))
	}
	return all
}

func startResponder(t *testing.T, c *tls.Certificate, all ...responder.Box) *responder.Server {
	t.Helper()
	z := responder.NewZone("hall-a.test", 7)
	require.NoError(t, z.Publish(all...))
	s, err := responder.Start(z, "127.0.0.1:0", c)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return s
}

// startBrowser runs a browser until the test ends, and passes on its snapshots.
func startBrowser(
	t *testing.T,
	s *responder.Server,
	mechanism Mechanism,
	change func(*Options),
) (*Browser, <-chan Snapshot) {
	t.Helper()
	snapshots := make(chan Snapshot, 10_000)
	o := Options{
		Service:         testService,
		Server:          s.Address,
		Mechanism:       mechanism,
		PollInterval:    50 * time.Millisecond,
		RefreshInterval: time.Second,
		Log:             zap.NewNop(),
		Publish:         func(s Snapshot) { snapshots <- s },
	}
	switch mechanism {
	case Push:
		o.PushAddress = s.Address
	case MDNS:
		o.DialMDNS = func() (Transport, error) { return DialUnicast(s.MDNS) }
	}
	if change != nil {
		change(&o)
	}
	f := New(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, snapshots
}

// waitForSnapshot waits for a snapshot that is accepted.
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
			require.FailNow(t, "no such snapshot", "%d of %d instances ready by %s",
				len(readyLabels(last)), len(last.Instances), last.Mechanism)
		}
	}
}

// readyLabels are the labels of the instances without a fault.
func readyLabels(s Snapshot) (labels []string) {
	for _, in := range s.Instances {
		if in.Fault == nil {
			labels = append(labels, in.Label)
		}
	}
	return labels
}

func readyBy(n int, mechanism Mechanism) func(Snapshot) bool {
	return func(s Snapshot) bool { return len(readyLabels(s)) == n && s.Mechanism == mechanism }
}

// Every mechanism tells of boxes that come, change and go, and of names of any kind.
func TestAllMechanismsSeeInstancesComeChangeAndGo(t *testing.T) {
	label := "Зал Қ. 3 \"б\"" // dots, spaces, quotes, Kazakh letters
	for _, mechanism := range []Mechanism{Poll, Push, MDNS} {
		t.Run(string(mechanism), func(t *testing.T) {
			s := startResponder(t, nil, instance(label, 8001), instance("box-2", 8002))
			_, snapshots := startBrowser(t, s, mechanism, nil)
			first := waitForSnapshot(t, snapshots, readyBy(2, mechanism))
			require.ElementsMatch(t, []string{label, "box-2"}, readyLabels(first))
			added := instance("box-3", 8003)
			added.Address = netip.MustParseAddrPort("[::1]:8003")
			require.NoError(t, s.Zone.Publish(added))
			three := waitForSnapshot(t, snapshots, readyBy(3, mechanism))
			at := slices.IndexFunc(three.Instances, func(in record.Instance) bool { return in.Label == "box-3" })
			require.Equal(t, "[::1]:8003", three.Instances[at].Address.String())
			require.Equal(t, "a", three.Instances[at].Attributes["site"].Value)
			// A target that changes in one step.
			old, err := s.Zone.Records(instance("box-2", 8002))
			require.NoError(t, err)
			moved, err := s.Zone.Records(instance("box-2", 8099))
			require.NoError(t, err)
			s.Zone.Apply(responder.Change{RR: old[1], Remove: true}, responder.Change{RR: moved[1]})
			waitForSnapshot(t, snapshots, func(s Snapshot) bool {
				return slices.ContainsFunc(
					s.Instances,
					func(in record.Instance) bool { return in.Label == "box-2" && in.Address.Port() == 8099 },
				)
			})
			require.NoError(t, s.Zone.Withdraw(instance(label, 8001)))
			require.ElementsMatch(
				t,
				[]string{"box-2", "box-3"},
				readyLabels(waitForSnapshot(t, snapshots, readyBy(2, mechanism))),
			)
		})
	}
}

// bestWithdrawalDelay is the least time of several that a withdrawal takes to be seen; a busy machine may hold one or
// two up.
func bestWithdrawalDelay(t *testing.T, s *responder.Server, snapshots <-chan Snapshot, n int) time.Duration {
	t.Helper()
	best := time.Hour
	for i := range 3 {
		began := time.Now()
		require.NoError(t, s.Zone.Withdraw(instance(fmt.Sprintf("box-%d", i+1), 8001+i)))
		waitForSnapshot(t, snapshots, func(s Snapshot) bool { return len(readyLabels(s)) == n-i-1 })
		best = min(best, time.Since(began))
	}
	return best
}

func TestWithdrawalIsSeenWithinBoundDespitePacketLoss(t *testing.T) {
	for _, mechanism := range []Mechanism{Poll, Push, MDNS} {
		for _, every := range []int{0, 3} { // no packet is lost, or each third
			t.Run(fmt.Sprint(mechanism, every), func(t *testing.T) {
				s := startResponder(t, nil, instances(6)...)
				_, snapshots := startBrowser(t, s, mechanism, nil)
				waitForSnapshot(t, snapshots, readyBy(6, mechanism))
				s.Set(responder.Faults{Every: every, Jitter: 5 * time.Millisecond})
				require.Less(t, bestWithdrawalDelay(t, s, snapshots, 6), 500*time.Millisecond)
			})
		}
	}
}

// A zone without a serial is asked for its list; one that is published again within 100 ms is there again.
func TestInstanceRepublishedWithin100msIsListed(t *testing.T) {
	for _, mechanism := range []Mechanism{Poll, Push, MDNS} {
		t.Run(string(mechanism), func(t *testing.T) {
			s := startResponder(t, nil, instances(3)...)
			_, snapshots := startBrowser(t, s, mechanism, nil)
			waitForSnapshot(t, snapshots, readyBy(3, mechanism))
			for range 3 {
				require.NoError(t, s.Zone.Withdraw(instance("box-1", 8001)))
				time.Sleep(60 * time.Millisecond)
				require.NoError(t, s.Zone.Publish(instance("box-1", 8001)))
				time.Sleep(300 * time.Millisecond)
			}
			// Whatever was seen between, at the end it is there.
			time.Sleep(400 * time.Millisecond)
			for len(snapshots) > 1 {
				<-snapshots
			}
			waitForSnapshot(t, snapshots, readyBy(3, mechanism))
		})
	}
}

// Forged and damaged answers change nothing: a wrong id, the wrong case, a name outside the zone, noise.
func TestForgedAnswersAreRejected(t *testing.T) {
	s := startResponder(t, nil, instances(4)...)
	s.Set(responder.Faults{WrongID: 1, Poison: 1, Garbage: 1})
	f, snapshots := startBrowser(t, s, Poll, nil)
	waitForSnapshot(t, snapshots, readyBy(4, Poll))
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		for len(snapshots) > 0 {
			require.Len(t, readyLabels(<-snapshots), 4)
		}
	}
	require.Positive(t, f.client.RejectedAnswers.Load())
	a, err := f.client.Query(t.Context(), "box-1."+testService.BaseName(), record.SRV)
	require.NoError(t, err)
	for _, r := range a.Additional {
		require.True(t, record.Within(r.Name, "hall-a.test."), r.Name)
	}
}

// Answers that do not fit a packet come over TCP; a TTL of 0 does not flood the server.
func TestTruncatedAnswersAndZeroTTL(t *testing.T) {
	s := startResponder(t, nil, instances(5)...)
	s.Set(responder.Faults{Truncate: true, ZeroTTL: true})
	_, snapshots := startBrowser(t, s, Poll, nil)
	waitForSnapshot(t, snapshots, readyBy(5, Poll))
	before := s.Questions.Load()
	time.Sleep(time.Second)
	require.Less(
		t,
		s.Questions.Load()-before,
		int64(150),
	) // 40 serials, and 16 sets at most once a second, each asked twice
}

// 2,000 instances in one domain, polled and pushed; 400 by mDNS, whose questions after lost messages come ever more
// seldom.
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
			s := startResponder(t, nil, instances(n)...)
			_, snapshots := startBrowser(t, s, mechanism, nil)
			waitForSnapshot(t, snapshots, readyBy(n, mechanism))
			require.NoError(t, s.Zone.Withdraw(instance("box-1", 8001)))
			waitForSnapshot(t, snapshots, readyBy(n-1, mechanism))
		})
	}
}

// Two servers behind one address, one of which lags: what is withdrawn stays so, though half of the answers still
// list it.
func TestLaggingServerDoesNotReviveWithdrawnInstances(t *testing.T) {
	s := startResponder(t, nil, instances(4)...)
	s.Set(responder.Faults{Other: s.Zone.Copy()})
	_, snapshots := startBrowser(t, s, Poll, nil)
	waitForSnapshot(t, snapshots, readyBy(4, Poll))
	for i := range 3 {
		require.NoError(t, s.Zone.Withdraw(instance(fmt.Sprintf("box-%d", i+1), 8001+i)))
		waitForSnapshot(t, snapshots, readyBy(3-i, Poll))
		for range 10 {
			time.Sleep(50 * time.Millisecond)
			for len(snapshots) > 0 {
				require.Len(t, readyLabels(<-snapshots), 3-i)
			}
		}
	}
}
