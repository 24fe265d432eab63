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

// sourceHarness is a ServiceSource without a browser: tests pass snapshots and the time to it.
type sourceHarness struct {
	*ServiceSource
	now      time.Time
	notified []node.EndpointList
}

// newSourceHarness returns a harness whose guard holds a list for 10 s if more than 0.5 of the instances are missing,
// and whose damper allows 3 flaps.
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

// observe evaluates a snapshot with the given instances, and with the zone's serial if that is not 0.
func (h *sourceHarness) observe(serial uint32, all ...record.Instance) (recheckAfter time.Duration) {
	snapshot := browser.Snapshot{Instances: all, ObservedAt: h.now, Mechanism: browser.Poll}
	if serial != 0 {
		snapshot.Serial = &serial
	}
	return h.evaluate(snapshot, h.now)
}

func (h *sourceHarness) publishedNames() []string { return endpointNames(fullList(h.published...)) }

// instance returns an instance whose TXT record has the given strings.
func instance(label string, text ...string) record.Instance {
	return record.Instance{
		Name:       label + "._engine._tcp.hall.test.",
		Label:      label,
		Address:    netip.MustParseAddrPort("127.0.0.1:8001"),
		Attributes: record.ParseTXT(text),
		TTL:        120,
	}
}

// The keys of a TXT record set the endpoint's fields. An invalid instance affects no other, and its origin has the
// fault.
func TestServiceSourceReadsAttributes(t *testing.T) {
	source := newSourceHarness()
	lost := instance("lost")
	lost.Fault = errors.New("no SRV record")
	source.observe(1,
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
			Engine: standpoint.Engine{Name: "box-1", Zone: 1, Kind: 1, Size: 2.5, StartedAt: 7e6},
		},
		{
			Address: address, Source: "hall", Batch: true, Labels: map[string]string{"new": "1"},
			Engine: standpoint.Engine{Name: "box-2", Size: 1, State: draining},
		},
		{
			Address: address, Source: "hall",
			Engine: standpoint.Engine{Name: "box-3", Size: 1},
		},
	}, source.published)
	origins := map[string]Origin{}
	for _, origin := range source.Origins() {
		origins[origin.Name] = origin
	}
	require.Len(t, origins, 6)
	require.Contains(t, origins["odd"].Fault, "TXT share:")
	require.Contains(t, origins["late"].Fault, "TXT born_ms:")
	require.Contains(t, origins["lost"].Fault, "no SRV record")
	require.Equal(t, "draining", origins["box-2"].State)
	require.Equal(t, uint32(120), origins["box-1"].TTL)
}

// The error of an invalid value contains its key.
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

// A server that lists nothing after 30 s of silence may have restarted: the previous list is held until the list has
// been empty for the guard's hold time, or the zone's serial has increased. A single missing instance is removed at
// once.
func TestServiceSourceHoldsLostList(t *testing.T) {
	all := []record.Instance{instance("box-1"), instance("box-2"), instance("box-3")}
	source := newSourceHarness()
	source.observe(7, all...)
	source.now = source.now.Add(30 * time.Second)
	require.Positive(t, source.observe(7))
	require.Len(t, source.published, 3)
	source.now = source.now.Add(9 * time.Second)
	source.observe(0)
	require.Len(t, source.published, 3)
	source.observe(7, all...) // the server had restarted
	source.now = source.now.Add(9 * time.Second)
	source.observe(6) // an older serial
	require.Len(t, source.published, 3)
	source.now = source.now.Add(11 * time.Second)
	source.observe(6)
	require.Empty(t, source.published)

	source = newSourceHarness()
	source.observe(7, all...)
	source.observe(8) // a newer serial: the zone was emptied on purpose
	require.Empty(t, source.published)

	source = newSourceHarness()
	source.observe(7, all...)
	source.observe(7, all[:2]...)
	require.Len(t, source.published, 2)
}

// An endpoint stays in use while its records are pending, and a new instance is not used before they are known.
func TestServiceSourceKeepsEndpointsOfPendingRecords(t *testing.T) {
	source := newSourceHarness()
	source.observe(7, instance("box-1", "site=b"))
	pending := instance("box-1")
	pending.Pending = true
	pending.Fault = errors.New("records pending")
	source.observe(8, pending)
	require.Len(t, source.published, 1)
	require.Equal(t, 1, source.published[0].Zone)
	pending.Name = "new._engine._tcp.hall.test."
	pending.Label = "new"
	source.observe(9, pending)
	require.Empty(t, source.published, "box-1 is missing, and the records of the new instance are pending")
}

// A flapping instance is held back when it reappears; its disappearance always takes effect at once.
func TestServiceSourceDampsFlappingInstances(t *testing.T) {
	source := newSourceHarness()
	steady := instance("steady")
	for i := range 3 {
		source.observe(0, instance("box-1"), steady)
		require.Equal(t, []string{"box-1", "steady"}, source.publishedNames(), i)
		source.observe(0, steady)
		require.Equal(t, []string{"steady"}, source.publishedNames(), i)
		source.now = source.now.Add(time.Second)
	}
	source.observe(0, instance("box-1"), steady) // three flaps are allowed
	require.Equal(t, []string{"box-1", "steady"}, source.publishedNames())
	source.observe(0, steady)
	recheckAfter := source.observe(0, instance("box-1"), steady)
	require.Equal(t, []string{"steady"}, source.publishedNames())
	require.Positive(t, recheckAfter)
	require.Contains(t, source.faults["box-1._engine._tcp.hall.test."], "held back until")
	require.Less(t, recheckAfter, time.Minute)
	source.now = source.now.Add(recheckAfter)
	source.observe(0, instance("box-1"), steady)
	require.Equal(t, []string{"box-1", "steady"}, source.publishedNames())
}

// An instance that publishes no start counts as started when it appears after the first list, or reappears after
// maxAbsence, but not if it is in the first list or is missing for a shorter time, as after a lost message.
func TestServiceSourceObservesStarts(t *testing.T) {
	source := newSourceHarness()
	source.observe(0, instance("old"))
	require.Zero(t, source.published[0].StartedAt)
	source.now = source.now.Add(time.Minute)
	source.observe(0, instance("old"), instance("new"))
	require.Equal(t, clock.Of(source.now), source.published[0].StartedAt)
	require.Zero(t, source.published[1].StartedAt)
	startedAt := source.published[0].StartedAt
	source.observe(0, instance("old"))
	source.now = source.now.Add(100 * time.Millisecond)
	source.observe(0, instance("old"), instance("new"))
	require.Equal(t, startedAt, source.published[0].StartedAt)
	source.observe(0, instance("new"))
	source.now = source.now.Add(5 * time.Second)
	source.observe(0, instance("old"), instance("new"))
	require.Equal(t, clock.Of(source.now), source.published[1].StartedAt)
}

// For any sequence of snapshots, no instance that is missing from the latest one is in use unless the guard holds the
// list, and no faulty instance is in use.
func TestServiceSourceNeverUsesWithdrawnInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newSourceHarness()
		source.Guard.MaxLossFraction = 1
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			elapsed := rapid.IntRange(0, 20_000).Draw(t, "ms")
			source.now = source.now.Add(time.Duration(elapsed) * time.Millisecond)
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
			source.observe(0, all...)
			for _, used := range source.published {
				if !listed[used.Name] {
					t.Fatalf("%s is in use, although it is missing or faulty", used.Name)
				}
			}
			if last := source.notified[len(source.notified)-1]; len(last.Endpoints) != len(source.published) {
				t.Fatal("the last list passed on differs from the published one")
			}
		}
	})
}

// An instance that publishes no start and changes its address is another process, and counts as started at that moment.
func TestServiceSourceTreatsNewAddressAsStart(t *testing.T) {
	source := newSourceHarness()
	source.observe(0, instance("box"))
	require.Zero(t, source.published[0].StartedAt)
	source.now = source.now.Add(time.Minute)
	other := instance("box")
	other.Address = netip.MustParseAddrPort("127.0.0.1:8002")
	source.observe(0, other)
	require.Equal(t, clock.Of(source.now), source.published[0].StartedAt)
	startedAt := clock.Of(source.now)
	source.now = source.now.Add(time.Minute)
	source.observe(0, other)
	require.Equal(t, startedAt, source.published[0].StartedAt)
}
