package endpoints

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/dnssd/browser"
	"standpoint/internal/dnssd/record"
	"standpoint/internal/node"
)

// sourceHarness is a browser without its browser: snapshots are handed in, with the time.
type sourceHarness struct {
	*ServiceSource
	now      time.Time
	notified []node.EndpointList
}

func newSourceHarness() *sourceHarness {
	h := &sourceHarness{now: time.Unix(1_800_000_000, 0)}
	h.ServiceSource = &ServiceSource{
		Key:         "hall",
		Names:       names,
		Log:         zap.NewNop(),
		Guard:       record.Guard{MaxLossFraction: 0.5, HoldTime: int64(10 * time.Second)},
		Damper:      record.Damper{HalfLife: int64(time.Minute), MaxFlaps: 3},
		Notify:      func(list node.EndpointList) { h.notified = append(h.notified, list) },
		unpublished: true,
		observed:    map[string]observedInstance{},
	}
	return h
}

// find evaluates a snapshot with these instances, and a zone's serial if that is not 0.
func (h *sourceHarness) find(serial uint32, all ...record.Instance) (recheckAfter time.Duration) {
	snapshot := browser.Snapshot{Instances: all, ObservedAt: h.now, Mechanism: browser.Poll}
	if serial != 0 {
		snapshot.Serial = &serial
	}
	return h.evaluate(snapshot, h.now)
}

func (h *sourceHarness) publishedNames() []string { return endpointNames(fullList(h.published...)) }

// instance returns one whose TXT record has the given text.
func instance(label string, text ...string) record.Instance {
	return record.Instance{
		Name:       label + "._engine._tcp.hall.test.",
		Label:      label,
		Address:    netip.MustParseAddrPort("127.0.0.1:8001"),
		Attributes: record.ParseTXT(text),
		TTL:        120,
	}
}

// The keys of a TXT record set the endpoint's fields, and an invalid instance affects itself alone, with its fault.
func TestServiceSourceReadsAttributes(t *testing.T) {
	h := newSourceHarness()
	lost := instance("lost")
	lost.Fault = errors.New("no SRV record")
	h.find(1,
		instance("box-1", "site=b", "class=slow", "share=2.5", "born_ms=7", "SITE=c"),
		instance("box-2", "health=draining", "mode=batch", "new=1"),
		instance("odd", "share=much"),
		lost,
		instance("box-3"),
		instance("late", "born_ms=9223372036854775807"),
	)
	const address = "127.0.0.1:8001"
	require.Equal(t, []node.Endpoint{
		{
			Address: address, Source: "hall",
			Engine: standpoint.Engine{Name: "box-1", Zone: 1, Kind: 1, Size: 2.5, ReadyAt: 7e6},
		},
		{
			Address: address, Source: "hall", Batch: true, Labels: map[string]string{"new": "1"},
			Engine: standpoint.Engine{Name: "box-2", Size: 1, State: draining},
		},
		{
			Address: address, Source: "hall",
			Engine: standpoint.Engine{Name: "box-3", Size: 1},
		},
	}, h.published)
	origins := map[string]Origin{}
	for _, origin := range h.Origins() {
		origins[origin.Name] = origin
	}
	require.Len(t, origins, 6)
	require.Contains(t, origins["odd"].Fault, "TXT share:")
	require.Contains(t, origins["late"].Fault, "TXT born_ms:")
	require.Contains(t, origins["lost"].Fault, "no SRV record")
	require.Equal(t, "draining", origins["box-2"].State)
	require.Equal(t, uint32(120), origins["box-1"].TTL)
}

// The error of an invalid value has its key.
func TestServiceSourceReportsInvalidAttributes(t *testing.T) {
	for key, value := range map[string]string{
		attributeBlock:  "first",
		attributeShare:  "0",
		attributeBornMS: "-1",
		attributeHealth: "ill",
	} {
		_, err := newSourceHarness().endpoint(instance("box-1", key+"="+value), time.Now())
		var attributeError *AttributeError
		require.ErrorAs(t, err, &attributeError)
		require.Equal(t, key, attributeError.Key)
	}
}

// A server that was silent for 30 s and then lists nothing has not withdrawn all: the list is held until it has stayed
// empty, or the zone's serial has grown. A single instance that is missing is removed at once.
func TestServiceSourceHoldsLostList(t *testing.T) {
	all := []record.Instance{instance("box-1"), instance("box-2"), instance("box-3")}
	h := newSourceHarness()
	h.find(7, all...)
	h.now = h.now.Add(30 * time.Second)
	require.Positive(t, h.find(7))
	require.Len(t, h.published, 3)
	h.now = h.now.Add(9 * time.Second)
	h.find(0)
	require.Len(t, h.published, 3)
	h.find(7, all...) // it was only a restart
	h.now = h.now.Add(9 * time.Second)
	h.find(6) // an older zone
	require.Len(t, h.published, 3)
	h.now = h.now.Add(11 * time.Second)
	h.find(6)
	require.Empty(t, h.published)

	h = newSourceHarness()
	h.find(7, all...)
	h.find(8) // somebody has emptied it
	require.Empty(t, h.published)

	h = newSourceHarness()
	h.find(7, all...)
	h.find(7, all[:2]...)
	require.Len(t, h.published, 2)
}

// Records that are not known for now change nothing.
func TestServiceSourceKeepsEndpointsOfPendingRecords(t *testing.T) {
	h := newSourceHarness()
	h.find(7, instance("box-1", "site=b"))
	pending := instance("box-1")
	pending.Pending = true
	pending.Fault = errors.New("not all records are told yet")
	h.find(8, pending)
	require.Len(t, h.published, 1)
	require.Equal(t, 1, h.published[0].Zone)
	pending.Name = "new._engine._tcp.hall.test."
	pending.Label = "new"
	h.find(9, pending)
	require.Empty(t, h.published, "box-1 is missing, and the new one is not known yet")
}

// An instance that flaps is held back when it returns, never when it disappears.
func TestServiceSourceDampsFlappingInstances(t *testing.T) {
	h := newSourceHarness()
	steady := instance("steady")
	for i := range 3 {
		h.find(0, instance("box-1"), steady)
		require.Equal(t, []string{"box-1", "steady"}, h.publishedNames(), i)
		h.find(0, steady)
		require.Equal(t, []string{"steady"}, h.publishedNames(), i)
		h.now = h.now.Add(time.Second)
	}
	h.find(0, instance("box-1"), steady) // three times are allowed
	require.Equal(t, []string{"box-1", "steady"}, h.publishedNames())
	h.find(0, steady)
	recheckAfter := h.find(0, instance("box-1"), steady)
	require.Equal(t, []string{"steady"}, h.publishedNames())
	require.Positive(t, recheckAfter)
	require.Contains(t, h.faults["box-1._engine._tcp.hall.test."], "held back until")
	require.Less(t, recheckAfter, time.Minute)
	h.now = h.now.Add(recheckAfter)
	h.find(0, instance("box-1"), steady)
	require.Equal(t, []string{"box-1", "steady"}, h.publishedNames())
}

// An instance that publishes no start counts as started when it appears while this node watches, or returns after a
// while; not if it was there before, nor if a message was lost.
func TestServiceSourceObservesStarts(t *testing.T) {
	h := newSourceHarness()
	h.find(0, instance("old"))
	require.Zero(t, h.published[0].ReadyAt)
	h.now = h.now.Add(time.Minute)
	h.find(0, instance("old"), instance("new"))
	require.Equal(t, clock.Of(h.now), h.published[0].ReadyAt)
	require.Zero(t, h.published[1].ReadyAt)
	startedAt := h.published[0].ReadyAt
	h.find(0, instance("old"))
	h.now = h.now.Add(100 * time.Millisecond)
	h.find(0, instance("old"), instance("new"))
	require.Equal(t, startedAt, h.published[0].ReadyAt)
	h.find(0, instance("new"))
	h.now = h.now.Add(5 * time.Second)
	h.find(0, instance("old"), instance("new"))
	require.Equal(t, clock.Of(h.now), h.published[1].ReadyAt)
}

// Whatever comes and goes: an instance that is not listed is never used after the snapshot without it, unless the guard
// holds the list; and no faulty one is used.
func TestServiceSourceNeverUsesWithdrawnInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newSourceHarness()
		h.Guard.MaxLossFraction = 1
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			elapsed := rapid.IntRange(0, 20_000).Draw(t, "ms")
			h.now = h.now.Add(time.Duration(elapsed) * time.Millisecond)
			var all []record.Instance
			listed := map[string]bool{}
			for i := range 5 {
				if rapid.Bool().Draw(t, "listed") {
					found := instance(fmt.Sprint("box-", i))
					if rapid.IntRange(0, 4).Draw(t, "fault") == 0 {
						found.Fault = errors.New("no SRV record")
					} else {
						listed[found.Label] = true
					}
					all = append(all, found)
				}
			}
			h.find(0, all...)
			for _, used := range h.published {
				if !listed[used.Name] {
					t.Fatalf("%s is in use", used.Name)
				}
			}
			if last := h.notified[len(h.notified)-1]; len(last.Endpoints) != len(h.published) {
				t.Fatal("another list was passed on")
			}
		}
	})
}

// An instance that publishes no start, and is suddenly at another address, is another process and counts as started
// then.
func TestServiceSourceTreatsNewAddressAsStart(t *testing.T) {
	h := newSourceHarness()
	h.find(0, instance("box"))
	require.Zero(t, h.published[0].ReadyAt)
	h.now = h.now.Add(time.Minute)
	other := instance("box")
	other.Address = netip.MustParseAddrPort("127.0.0.1:8002")
	h.find(0, other)
	require.Equal(t, clock.Of(h.now), h.published[0].ReadyAt)
	startedAt := clock.Of(h.now)
	h.now = h.now.Add(time.Minute)
	h.find(0, other)
	require.Equal(t, startedAt, h.published[0].ReadyAt)
}
