package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/quota"
)

const second = int64(time.Second)

var limits = Limits{
	MinSources:          2,
	EvidenceLifetime:    5 * second,
	OwnEvidenceLifetime: 2 * second,
	MaxEjectedShare:     0.5,
	IsolationShare:      0.34,
	ClockError:          second / 2,
}

// newTestDetector returns the detector of slot 0, with eight backends in two zones.
func newTestDetector(limits Limits) *Detector {
	detector := New(limits, quota.Owner{Slot: 0, Incarnation: 1}, &invariant.Monitor{})
	var backends []Backend
	for i := range 8 {
		backends = append(backends, Backend{Hash: uint64(i), Zone: i % 2, StartedAt: 7})
	}
	detector.SetBackends(backends)
	return detector
}

func evidence(backend int, kind Kind, at int64) Evidence {
	return Evidence{BackendHash: uint64(backend), StartedAt: 7, Kind: kind, ObservedAt: at}
}

func ejectedBackends(ejections []Ejection) (backends []int) {
	for _, ejection := range ejections {
		backends = append(backends, int(ejection.Backend.Hash))
	}
	return backends
}

func TestEjectionNeedsIndependentEvidence(t *testing.T) {
	now := 100 * second
	receive := func(d *Detector, slot, zone int, e Evidence) {
		d.Receive(quota.Owner{Slot: slot, Incarnation: 1}, zone, e, now)
	}
	// Two sources have evidence on backend 3.
	twoSources := func(kind Kind, zone1, zone2 int) *Detector {
		d := newTestDetector(limits)
		receive(d, 1, zone1, evidence(3, kind, now))
		receive(d, 2, zone2, evidence(3, kind, now))
		return d
	}
	require.Equal(t, []int{3}, ejectedBackends(twoSources(BackendFault, 0, 0).Ejections(now)))
	d := newTestDetector(limits)
	receive(d, 1, 0, evidence(3, BackendFault, now))
	receive(d, 1, 0, evidence(3, BackendFault, now+1))
	require.Empty(t, d.Ejections(now), "repeated evidence of one source counts once")
	d = twoSources(BackendFault, 0, 0)
	d.Observe(evidence(3, Healthy, now-second))
	require.Empty(t, d.Ejections(now), "the node's own evidence outweighs that of others")
	require.Equal(t, []int{3}, ejectedBackends(d.Ejections(now+2*second)), "own evidence has expired")
	require.Empty(t, twoSources(BackendFault, 0, 0).Ejections(now+6*second), "all evidence expires")
	d = twoSources(Unreachable, 0, 0)
	receive(d, 3, 1, evidence(3, Healthy, now))
	require.Empty(t, d.Ejections(now), "unreachable from one zone, healthy from another: the network's fault")
	require.Equal(t, []int{3}, ejectedBackends(twoSources(Unreachable, 0, 1).Ejections(now)))
	d = twoSources(BackendFault, 0, 0)
	for slot := 3; slot < 6; slot++ {
		receive(d, slot, 0, evidence(3, Healthy, now))
	}
	require.Empty(t, d.Ejections(now), "most find it healthy")
	d = twoSources(BackendFault, 0, 1)
	for backend := range 4 {
		receive(d, 1, 0, evidence(backend, BackendFault, now))
	}
	require.Empty(t, d.Ejections(now), "a source that finds half of all backends at fault does not count")
	d = twoSources(BackendFault, 0, 1)
	d.SetBackends([]Backend{{Hash: 3, Zone: 1, StartedAt: 8}, {Hash: 4}})
	require.Empty(t, d.Ejections(now), "evidence is void after a restart of the backend")
	receive(d, 1, 0, evidence(3, BackendFault, now))
	require.Empty(t, d.received, "late evidence on the earlier process is ignored")
	d = twoSources(BackendFault, 0, 1)
	for backend := range 4 {
		d.Observe(evidence(backend+4, Unreachable, now))
	}
	require.Empty(t, d.Ejections(now), "a node that cannot reach half of the backends is isolated itself")
	require.Empty(t, d.EvidenceToPublish(now), "an isolated node publishes nothing")
	d = twoSources(BackendFault, 0, 1)
	receive(d, 1, 0, Evidence{3, 7, Healthy, now - second})
	require.Equal(t, []int{3}, ejectedBackends(d.Ejections(now)), "older evidence does not replace newer")
	receive(d, 1, 0, Evidence{3, 7, BackendFault, now + 10*second})
	require.Equal(t, now, d.Ejections(now)[0].LatestEvidence, "evidence from the future is ignored")
}

// With arbitrary evidence, at most the configured share of a zone is ejected, no backend that this node recently found
// healthy is, and the numbers of sources and of published evidence stay within their limits.
func TestEjectedShareOfAZoneIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits
		l.IsolationShare = 1
		l.MaxEjectedShare = rapid.Float64Range(0, 1).Draw(t, "share")
		d := newTestDetector(l)
		now := 100 * second
		for range rapid.IntRange(0, 80).Draw(t, "evidence") {
			now += rapid.Int64Range(0, second/4).Draw(t, "by")
			backend := rapid.IntRange(0, 9).Draw(t, "backend")
			kind := Kind(rapid.IntRange(0, 3).Draw(t, "kind"))
			e := evidence(backend, kind, now-rapid.Int64Range(-second, 6*second).Draw(t, "age"))
			if rapid.Bool().Draw(t, "own") {
				d.Observe(e)
			} else {
				owner := quota.Owner{
					Slot:        rapid.IntRange(0, 20).Draw(t, "slot"),
					Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				}
				d.Receive(owner, 0, e, now)
			}
			checkEjections(t, d, now)
		}
	})
}

// checkEjections checks the limits of a detector with four backends in each zone.
func checkEjections(t *rapid.T, d *Detector, now int64) {
	ejected := map[int]int{} // number of ejections by zone
	for _, ejection := range d.Ejections(now) {
		zone := ejection.Backend.Zone
		ejected[zone]++
		if ejected[zone] > int(d.MaxEjectedShare*4) {
			t.Fatalf("%d of 4 backends ejected, maximum share %g", ejected[zone], d.MaxEjectedShare)
		}
		own, observed := d.own[ejection.Backend.Hash]
		if observed && own.Kind == Healthy && now-own.ObservedAt <= d.OwnEvidenceLifetime {
			t.Fatal("a backend is ejected against the node's own recent evidence")
		}
	}
	for _, reports := range d.received {
		if len(reports) > MaxSourcesPerBackend {
			t.Fatal("a backend has more than MaxSourcesPerBackend sources")
		}
	}
	if len(d.EvidenceToPublish(now)) > MaxEvidencePerNode || len(d.Invariants.Violations()) > 0 {
		t.Fatal("too much evidence to publish, or a violated invariant")
	}
}
