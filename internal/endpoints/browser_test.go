package endpoints

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/dnssd/browser"
	"standpoint/internal/dnssd/record"
	"standpoint/internal/lab/responder"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

// stage is a browser without its finder: sights are handed in, with the time.
type stage struct {
	*Browser
	now  time.Time
	news []node.EndpointList
}

func newStage() *stage {
	s := &stage{now: time.Unix(1_800_000_000, 0)}
	s.Browser = &Browser{Key: "hall", Names: names, Log: zap.NewNop(), Guard: record.Guard{MaxLossFraction: 0.5, HoldTime: int64(10 * time.Second)},
		Damper: record.Damper{HalfLife: int64(time.Minute), MaxFlaps: 3}, Notify: nil, unpublished: true, observed: map[string]observedInstance{}}
	s.Browser.Notify = func(l node.EndpointList) { s.news = append(s.news, l) }
	return s
}

func instance(label string, text ...string) record.Instance {
	return record.Instance{Name: label + "._engine._tcp.hall.test.", Label: label, Address: netip.MustParseAddrPort("127.0.0.1:8001"),
		Attributes: record.ParseTXT(text), TTL: 120}
}

func (s *stage) see(serial uint32, all ...record.Instance) time.Duration {
	sight := browser.Snapshot{Instances: all, ObservedAt: s.now, Mechanism: browser.Poll}
	if serial != 0 {
		sight.Serial = &serial
	}
	return s.evaluate(sight, s.now)
}

func (s *stage) use() (names []string) {
	for _, e := range s.published {
		names = append(names, e.Name)
	}
	return names
}

// What the TXT keys mean; what is wrong with one instance costs that one alone, and is said.
func TestBrowserReadsAttributes(t *testing.T) {
	s := newStage()
	lost := instance("lost")
	lost.Fault = errors.New("no SRV record")
	s.see(1, instance("box-1", "site=b", "class=slow", "share=2.5", "born_ms=7", "SITE=c"), instance("box-2", "health=draining", "mode=batch", "new=1"),
		instance("odd", "share=much"), lost, instance("box-3"), instance("late", "born_ms=9223372036854775807"))
	at := "127.0.0.1:8001"
	require.Equal(t, []node.Endpoint{
		{Address: at, Source: "hall", Engine: standpoint.Engine{Name: "box-1", Zone: 1, Kind: 1, Size: 2.5, ReadyAt: 7e6}},
		{Address: at, Source: "hall", Batch: true, Labels: map[string]string{"new": "1"}, Engine: standpoint.Engine{Name: "box-2", Size: 1, State: standpoint.Draining}},
		{Address: at, Source: "hall", Engine: standpoint.Engine{Name: "box-3", Size: 1}},
	}, s.published)
	why := map[string]Origin{}
	for _, o := range s.Origins() {
		why[o.Name] = o
	}
	require.Len(t, why, 6)
	require.Contains(t, why["odd"].Fault, "TXT share:")
	require.Contains(t, why["late"].Fault, "TXT born_ms:")
	require.Contains(t, why["lost"].Fault, "no SRV record")
	require.Equal(t, "draining", why["box-2"].State)
	require.Equal(t, uint32(120), why["box-1"].TTL)
}

// A server that was silent for 30 s and then lists nothing has not withdrawn all: the list is held, until it has
// stayed empty, or the zone's serial went up. One box that goes is believed at once.
func TestBrowserHoldsLostList(t *testing.T) {
	all := []record.Instance{instance("box-1"), instance("box-2"), instance("box-3")}
	s := newStage()
	s.see(7, all...)
	s.now = s.now.Add(30 * time.Second)
	require.Positive(t, s.see(7))
	require.Len(t, s.published, 3)
	s.now = s.now.Add(9 * time.Second)
	s.see(0)
	require.Len(t, s.published, 3)
	s.see(7, all...) // it was only a restart
	s.now = s.now.Add(9 * time.Second)
	s.see(6) // an older zone
	require.Len(t, s.published, 3)
	s.now = s.now.Add(11 * time.Second)
	s.see(6)
	require.Empty(t, s.published)

	s = newStage()
	s.see(7, all...)
	s.see(8) // somebody has emptied it
	require.Empty(t, s.published)

	s = newStage()
	s.see(7, all...)
	s.see(7, all[:2]...)
	require.Len(t, s.published, 2)
}

// Records that are not told for now change nothing.
func TestBrowserKeepsEndpointsOfPendingRecords(t *testing.T) {
	s := newStage()
	s.see(7, instance("box-1", "site=b"))
	pending := instance("box-1")
	pending.Pending, pending.Fault = true, errors.New("not all records are told yet")
	s.see(8, pending)
	require.Len(t, s.published, 1)
	require.Equal(t, 1, s.published[0].Zone)
	pending.Name, pending.Label = "new._engine._tcp.hall.test.", "new"
	s.see(9, pending)
	require.Empty(t, s.published, "box-1 went, and the new one is not known yet")
}

// A box that flaps is held back when it returns, never when it goes.
func TestBrowserDampsFlappingInstances(t *testing.T) {
	s := newStage()
	steady := instance("steady")
	for i := range 3 {
		s.see(0, instance("box-1"), steady)
		require.Equal(t, []string{"box-1", "steady"}, s.use(), i)
		s.see(0, steady)
		require.Equal(t, []string{"steady"}, s.use(), i)
		s.now = s.now.Add(time.Second)
	}
	s.see(0, instance("box-1"), steady) // three times are not held against it
	require.Equal(t, []string{"box-1", "steady"}, s.use())
	s.see(0, steady)
	again := s.see(0, instance("box-1"), steady)
	require.Equal(t, []string{"steady"}, s.use())
	require.Positive(t, again)
	require.Contains(t, s.faults["box-1._engine._tcp.hall.test."], "held back until")
	require.Less(t, again, time.Minute)
	s.now = s.now.Add(again)
	s.see(0, instance("box-1"), steady)
	require.Equal(t, []string{"box-1", "steady"}, s.use())
}

// A box that tells no start is cold when it appears while this node watches, and when it comes back after a while; not
// where it was there before, nor when a message was lost.
func TestBrowserObservesStarts(t *testing.T) {
	s := newStage()
	s.see(0, instance("old"))
	require.Zero(t, s.published[0].ReadyAt)
	s.now = s.now.Add(time.Minute)
	s.see(0, instance("old"), instance("new"))
	require.Equal(t, clock.Of(s.now), s.published[0].ReadyAt)
	require.Zero(t, s.published[1].ReadyAt)
	began := s.published[0].ReadyAt
	s.see(0, instance("old"))
	s.now = s.now.Add(100 * time.Millisecond)
	s.see(0, instance("old"), instance("new"))
	require.Equal(t, began, s.published[0].ReadyAt)
	s.see(0, instance("new"))
	s.now = s.now.Add(5 * time.Second)
	s.see(0, instance("old"), instance("new"))
	require.Equal(t, clock.Of(s.now), s.published[1].ReadyAt)
}

// Whatever comes and goes: a box that is not listed is never in use after the sight that says so, unless the guard
// holds the list; and nothing is in use that is faulty.
func TestBrowserNeverUsesWithdrawnInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStage()
		s.Guard.MaxLossFraction = 1
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			var all []record.Instance
			listed := map[string]bool{}
			for i := range 5 {
				if rapid.Bool().Draw(t, "listed") {
					in := instance(fmt.Sprint("box-", i))
					if rapid.IntRange(0, 4).Draw(t, "fault") == 0 {
						in.Fault = errors.New("no SRV record")
					} else {
						listed[in.Label] = true
					}
					all = append(all, in)
				}
			}
			s.see(0, all...)
			for _, e := range s.published {
				if !listed[e.Name] {
					t.Fatalf("%s is in use", e.Name)
				}
			}
			if last := s.news[len(s.news)-1]; len(last.Endpoints) != len(s.published) {
				t.Fatal("the core was told something else")
			}
		}
	})
}

func serve(t *testing.T, domain string, labels ...string) *responder.Server {
	z := responder.NewZone(domain, 7)
	for i, label := range labels {
		require.NoError(t, z.Publish(box(label, 8001+i)))
	}
	s, err := responder.Start(z, "127.0.0.1:0", nil)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return s
}

func box(label string, port int) responder.Box {
	return responder.Box{Label: label, Service: "_engine._tcp", TTL: 60, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))}
}

func browse(server, domain, site string) *Browser {
	return &Browser{Key: "_engine._tcp." + domain, Config: server + site, Suffix: "@" + domain, Site: site, Names: names, Log: zap.NewNop(),
		Guard: record.Guard{MaxLossFraction: 0.5, HoldTime: int64(time.Hour)}, FinderOptions: browser.Options{Server: server, Mechanism: browser.Poll, Log: zap.NewNop(),
			PollInterval: 50 * time.Millisecond, RefreshInterval: time.Second, Service: record.Service{Type: "_engine._tcp", Domain: domain}}}
}

func told(l node.EndpointList) (all []string) {
	for _, e := range l.Endpoints {
		all = append(all, e.Name)
	}
	return all
}

// Several halls, each a domain of its own at a server of its own. The same name in two is two boxes; a server that does
// not answer costs its own hall alone, and of that the store's list stands. The halls change while all runs.
func TestBrowsersCombineDomains(t *testing.T) {
	a, b := serve(t, "a.test", "box-1", "box-2"), serve(t, "b.test", "box-1")
	c := serve(t, "c.test", "box-1")
	c.Set(responder.Faults{Silent: true})
	news := make(chan node.EndpointList, 100)
	all := NewBrowsers(func(l node.EndpointList) { news <- l }, browse(a.Address, "a.test", "a"), browse(b.Address, "b.test", "b"), browse(c.Address, "c.test", "a"))
	all.Restore(node.EndpointList{Endpoints: []node.Endpoint{{Source: "_engine._tcp.c.test", Engine: standpoint.Engine{Name: "box-9@c.test", Stale: true}}}})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { all.Run(ctx); close(ended) }()
	require.Equal(t, []string{"box-1@a.test", "box-2@a.test", "box-1@b.test", "box-9@c.test"}, told(<-news))
	require.NoError(t, a.Zone.Withdraw(box("box-1", 8001)))
	require.Equal(t, []string{"box-2@a.test", "box-1@b.test", "box-9@c.test"}, told(<-news))
	c.Set(responder.Faults{})
	last := <-news
	require.Equal(t, []string{"box-2@a.test", "box-1@b.test", "box-1@c.test"}, told(last))
	require.False(t, last.Endpoints[2].Stale)
	// a stays as it is, b is told otherwise, c goes, d comes.
	d := serve(t, "d.test", "box-7")
	all.Replace([]*Browser{browse(a.Address, "a.test", "a"), browse(b.Address, "b.test", "a"), browse(d.Address, "d.test", "a")})
	require.Eventually(t, func() bool {
		last = <-news
		names := told(last)
		require.Contains(t, names, "box-2@a.test", "never away")
		require.Contains(t, names, "box-1@b.test", "never away")
		return len(names) == 3 && names[2] == "box-7@d.test" && last.Endpoints[1].Zone == 0
	}, 10*time.Second, time.Millisecond)
	cancel()
	<-ended
}

// The store's list has its ages: what is past its time is stale, and what was never told anew stays so.
func TestCachePersistsExpiryTimes(t *testing.T) {
	s := store.NewMemory()
	k := NewCache(s, zap.NewNop())
	now := time.Now()
	k.ExpiryTimes = func() map[string]time.Time {
		return map[string]time.Time{"new": now.Add(time.Minute), "old": now.Add(-time.Minute)}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go k.Run(ctx)
	k.Store(node.EndpointList{Kind: standpoint.ListFull, Endpoints: []node.Endpoint{{Engine: standpoint.Engine{Name: "new"}},
		{Engine: standpoint.Engine{Name: "old"}}, {Engine: standpoint.Engine{Name: "unsaid", Stale: true}}, {Engine: standpoint.Engine{Name: "file"}}}})
	stale := map[string]bool{}
	require.Eventually(t, func() bool {
		l, ok := k.Load(now)
		for _, e := range l.Endpoints {
			stale[e.Name] = e.Stale
		}
		return ok && len(l.Endpoints) == 4
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, map[string]bool{"new": false, "old": true, "unsaid": true, "file": false}, stale)
}

// A box that tells no start and is at another address all at once is another box under the same name, and cold.
func TestBrowserTreatsNewAddressAsStart(t *testing.T) {
	s := newStage()
	s.see(0, instance("box"))
	require.Zero(t, s.published[0].ReadyAt)
	s.now = s.now.Add(time.Minute)
	other := instance("box")
	other.Address = netip.MustParseAddrPort("127.0.0.1:8002")
	s.see(0, other)
	require.Equal(t, clock.Of(s.now), s.published[0].ReadyAt)
	began := clock.Of(s.now)
	s.now = s.now.Add(time.Minute)
	s.see(0, other)
	require.Equal(t, began, s.published[0].ReadyAt)
}

// A last list that is torn is named, and none of it is used.
func TestCacheIgnoresTornList(t *testing.T) {
	keys := store.NewMemory()
	_, err := keys.Write(t.Context(), store.Op{Key: cacheKey, Data: []byte(`[{"host":"a","dial":"127.0.0.1:1","health":"ready"},{"ho`)})
	require.NoError(t, err)
	seen, logs := observer.New(zap.ErrorLevel)
	l, ok := NewCache(keys, zap.New(seen)).Load(time.Now())
	require.False(t, ok)
	require.Empty(t, l.Endpoints)
	require.Equal(t, cacheKey, logs.All()[0].ContextMap()["key"])
}

// failing is a store that does not take its first writes.
type failing struct {
	store.Memory
	left atomic.Int64
}

func (f *failing) Write(ctx context.Context, ops ...store.Op) (uint64, error) {
	if f.left.Add(-1) >= 0 {
		return 0, errors.New("store: the write broke off")
	}
	return f.Memory.Write(ctx, ops...)
}

// A last list that the store did not take is written again, though nothing changes any more.
func TestCacheRetriesFailedWrite(t *testing.T) {
	keys := &failing{Memory: store.NewMemory()}
	keys.left.Store(1)
	k := NewCache(keys, zap.NewNop())
	go k.Run(t.Context())
	k.Store(node.EndpointList{Kind: standpoint.ListFull, Endpoints: []node.Endpoint{{Engine: standpoint.Engine{Name: "a"}}}})
	require.Eventually(t, func() bool { return keys.Get(cacheKey).Version != 0 }, 10*time.Second, time.Millisecond)
}

// What was kept is read by the words of the file that holds then: another order of halls and kinds takes no box
// elsewhere.
func TestCachePersistsZoneAndKindNames(t *testing.T) {
	keys := store.NewMemory()
	k := NewCache(keys, zap.NewNop())
	k.Names = Names{Zones: []string{"a", "b"}, Kinds: []string{"fast", "slow"}}
	go k.Run(t.Context())
	e := node.Endpoint{Address: "127.0.0.1:1", Batch: true, Labels: map[string]string{"v": "1"}, Source: "hall",
		Engine: standpoint.Engine{Name: "s", Zone: 1, Kind: 0, Cell: 3, State: standpoint.Draining, Size: 2, ReadyAt: 5e6}}
	k.Store(node.EndpointList{Kind: standpoint.ListFull, Endpoints: []node.Endpoint{e}})
	require.Eventually(t, func() bool { return keys.Get(cacheKey).Version != 0 }, 10*time.Second, time.Millisecond)
	next := NewCache(keys, zap.NewNop())
	next.Names = Names{Zones: []string{"b", "a"}, Kinds: []string{"slow", "fast"}}
	l, ok := next.Load(time.Now())
	require.True(t, ok)
	e.Zone, e.Kind = 0, 1
	require.Equal(t, []node.Endpoint{e}, l.Endpoints)
}
