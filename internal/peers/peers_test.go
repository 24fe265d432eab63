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

// More nodes count at once, fewer only once it has been fewer for the hold; nothing heard changes nothing.
func TestCount(t *testing.T) {
	c := Count{Hold: 10 * second}
	require.Equal(t, 1, c.Now())
	require.True(t, c.Heard(3, 0))
	require.False(t, c.Heard(0, second))
	require.False(t, c.Heard(1, second))
	require.Equal(t, 11*second, c.Due())
	require.False(t, c.Heard(2, 5*second))
	require.False(t, c.Heard(3, 6*second), "it is back")
	require.Zero(t, c.Due())
	require.False(t, c.Heard(1, 7*second))
	require.False(t, c.Heard(2, 8*second))
	require.False(t, c.Heard(1, 9*second))
	require.True(t, c.Heard(1, 17*second))
	require.Equal(t, 2, c.Now(), "the most that there were meanwhile")
	require.True(t, c.Heard(5, 18*second))
	c.Least = 7
	require.Equal(t, 7, c.Now())
}

// Whatever is heard: the number is never below what was last heard, nor below the most that was heard within the hold.
func TestCountIsCautious(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Count{Hold: 10 * second}
		type heard struct {
			n  int
			at int64
		}
		var all []heard
		now := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(1, 4*second).Draw(t, "wait")
			n := rapid.IntRange(1, 6).Draw(t, "nodes")
			all = append(all, heard{n, now})
			c.Heard(n, now)
			if c.Now() < n {
				t.Fatalf("%d nodes were heard, %d count", n, c.Now())
			}
			most, since := 0, int64(0)
			for i := len(all) - 1; i >= 0 && now-all[i].at < c.Hold; i-- {
				most, since = max(most, all[i].n), all[i].at
			}
			_ = since
			if c.Now() < most {
				t.Fatalf("%d nodes were there within the hold, %d count", most, c.Now())
			}
		}
	})
}

// Three nodes publish themselves, and each counts three; one that dies without a word is gone with its lease.
func TestNodesFindEachOther(t *testing.T) {
	s, err := responder.Start(responder.NewZone("hall.test", 1), "127.0.0.1:0", nil)
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	var actors []*Actor
	var stops []context.CancelFunc
	ended := make(chan struct{}, 3)
	for _, name := range []string{"Node 1.a", "node-2", "node-3"} {
		a := New(Options{Name: name, Address: "127.0.0.1:8443", Publish: true, Lease: 2 * time.Second, Hold: 100 * time.Millisecond,
			Changed: func(int) {}, Log: zap.NewNop(), Find: browser.Options{Server: s.Address, Mechanism: browser.Poll, Log: zap.NewNop(),
				PollInterval: 50 * time.Millisecond, RefreshInterval: time.Second, Service: record.Service{Type: "_standpoint._tcp", Domain: "hall.test"}}})
		ctx, cancel := context.WithCancel(t.Context())
		actors, stops = append(actors, a), append(stops, cancel)
		go func() { a.Run(ctx); ended <- struct{}{} }()
	}
	count := func(want int) {
		t.Helper()
		require.Eventually(t, func() bool {
			for i, a := range actors {
				nodes, n := a.Nodes()
				if i < want && (n != want || len(nodes) != want) {
					return false
				}
			}
			return true
		}, 20*time.Second, 10*time.Millisecond)
	}
	count(3)
	time.Sleep(2500 * time.Millisecond) // longer than a lease: they renew
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
