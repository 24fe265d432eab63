package peers

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"standpoint/internal/dnssd/browser"
	"standpoint/internal/dnssd/record"
	"standpoint/internal/lab/responder"
)

const second = int64(time.Second)

// A higher number counts at once, a lower one only after the hold time; an empty list changes nothing.
func TestCountRisesAtOnceAndFallsAfterHoldTime(t *testing.T) {
	c := NodeCount{HoldTime: 10 * second}
	require.Equal(t, 1, c.Current())
	require.True(t, c.Observe(3, 0))
	require.False(t, c.Observe(0, second))
	require.False(t, c.Observe(1, second))
	require.Equal(t, 11*second, c.NextObservation())
	require.False(t, c.Observe(2, 5*second))
	require.False(t, c.Observe(3, 6*second), "all nodes are back within the hold time")
	require.Zero(t, c.NextObservation())
	require.False(t, c.Observe(1, 7*second))
	require.False(t, c.Observe(2, 8*second))
	require.False(t, c.Observe(1, 9*second))
	require.True(t, c.Observe(1, 17*second))
	require.Equal(t, 2, c.Current(), "the highest number within the hold time")
	require.True(t, c.Observe(5, 18*second))
	c.Minimum = 7
	require.Equal(t, 7, c.Current())
}

// The count is never below the last observation, nor below the highest within the hold time.
func TestCountIsNeverBelowRecentObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NodeCount{HoldTime: 10 * second}
		type observation struct {
			n  int
			at int64
		}
		var all []observation
		now := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(1, 4*second).Draw(t, "wait")
			n := rapid.IntRange(1, 6).Draw(t, "nodes")
			all = append(all, observation{n, now})
			c.Observe(n, now)
			if c.Current() < n {
				t.Fatalf("%d nodes were observed, the count is %d", n, c.Current())
			}
			highest := 0
			for i := len(all) - 1; i >= 0 && now-all[i].at < c.HoldTime; i-- {
				highest = max(highest, all[i].n)
			}
			if c.Current() < highest {
				t.Fatalf("%d nodes were observed within the hold time, the count is %d", highest, c.Current())
			}
		}
	})
}

// Three nodes register themselves, and each counts three. They renew their leases, and a node that stops removes its
// registration, which the others notice.
func TestNodesPublishThemselvesAndCountEachOther(t *testing.T) {
	s, err := responder.Start(responder.NewZone("hall.test", 1), "127.0.0.1:0", nil)
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	var memberships []*Membership
	var stops []context.CancelFunc
	ended := make(chan struct{}, 3)
	for _, name := range []string{"Node 1.a", "node-2", "node-3"} {
		a := New(
			Options{
				Name:           name,
				Address:        "127.0.0.1:8443",
				Publish:        true,
				Lease:          2 * time.Second,
				HoldTime:       100 * time.Millisecond,
				OnCountChanged: func(int) {},
				Log:            zap.NewNop(),
				BrowserOptions: browser.Options{
					Service:         record.Service{Type: "_standpoint._tcp", Domain: "hall.test"},
					Server:          s.Address,
					Mechanism:       browser.Poll,
					PollInterval:    50 * time.Millisecond,
					RefreshInterval: time.Second,
					Log:             zap.NewNop(),
				},
			},
		)
		ctx, cancel := context.WithCancel(t.Context())
		memberships = append(memberships, a)
		stops = append(stops, cancel)
		go func() { a.Run(ctx); ended <- struct{}{} }()
	}
	count := func(want int) {
		t.Helper()
		require.Eventually(t, func() bool {
			for i, a := range memberships {
				nodes, n := a.Nodes()
				if i < want && (n != want || len(nodes) != want) {
					return false
				}
			}
			return true
		}, 20*time.Second, 10*time.Millisecond)
	}
	count(3)
	time.Sleep(2500 * time.Millisecond) // longer than a lease, so that nodes that do not renew it would be dropped
	count(3)
	stops[2]()
	<-ended
	count(2)
	require.Equal(t, []string{"Node 1.a", "node-2"}, s.Zone.Labels("_standpoint._tcp"))
	stops[0]()
	stops[1]()
	<-ended
	<-ended
	require.Empty(t, s.Zone.Labels("_standpoint._tcp"))
}
