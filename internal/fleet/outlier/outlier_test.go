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

var limits = Limits{MinSources: 2, EvidenceLifetime: 5 * second, OwnEvidenceLifetime: 2 * second, MaxEjectedShare: 0.5, IsolationShare: 0.34, ClockError: second / 2}

// newTestDetector is the judgements of seat 0 on eight servers, in two zones.
func newTestDetector(l Limits) *Detector {
	b := New(l, quota.Owner{Slot: 0, Incarnation: 1}, &invariant.Monitor{})
	var all []Backend
	for i := range 8 {
		all = append(all, Backend{Hash: uint64(i), Zone: i % 2, StartedAt: 7})
	}
	b.SetBackends(all)
	return b
}

func at(server int, kind Kind, t int64) Evidence {
	return Evidence{BackendHash: uint64(server), StartedAt: 7, Kind: kind, ObservedAt: t}
}

func names(all []Ejection) (out []int) {
	for _, j := range all {
		out = append(out, int(j.Backend.Hash))
	}
	return out
}

func TestEjectionNeedsIndependentEvidence(t *testing.T) {
	now := 100 * second
	say := func(b *Detector, seat, zone int, e Evidence) {
		b.Receive(quota.Owner{Slot: seat, Incarnation: 1}, zone, e, now)
	}
	two := func(kind Kind, zone1, zone2 int) *Detector {
		b := newTestDetector(limits)
		say(b, 1, zone1, at(3, kind, now))
		say(b, 2, zone2, at(3, kind, now))
		return b
	}
	require.Equal(t, []int{3}, names(two(BackendFault, 0, 0).Ejections(now)))
	b := newTestDetector(limits)
	say(b, 1, 0, at(3, BackendFault, now))
	say(b, 1, 0, at(3, BackendFault, now+1))
	require.Empty(t, b.Ejections(now), "one source, however often it says so")
	b = two(BackendFault, 0, 0)
	b.Observe(at(3, Healthy, now-second))
	require.Empty(t, b.Ejections(now), "own evidence outweighs it")
	require.Equal(t, []int{3}, names(b.Ejections(now+2*second)), "while it is fresh")
	require.Empty(t, two(BackendFault, 0, 0).Ejections(now+6*second), "all expires")
	b = two(Unreachable, 0, 0)
	say(b, 3, 1, at(3, Healthy, now))
	require.Empty(t, b.Ejections(now), "one zone does not reach what another does: the path's fault")
	require.Equal(t, []int{3}, names(two(Unreachable, 0, 1).Ejections(now)))
	b = two(BackendFault, 0, 0)
	for seat := 3; seat < 6; seat++ {
		say(b, seat, 0, at(3, Healthy, now))
	}
	require.Empty(t, b.Ejections(now), "most find it well")
	b = two(BackendFault, 0, 1)
	for server := range 4 {
		say(b, 1, 0, at(server, BackendFault, now))
	}
	require.Empty(t, b.Ejections(now), "who finds half of all bad is no witness")
	b = two(BackendFault, 0, 1)
	b.SetBackends([]Backend{{Hash: 3, Zone: 1, StartedAt: 8}, {Hash: 4}})
	require.Empty(t, b.Ejections(now), "a new start voids it")
	say(b, 1, 0, at(3, BackendFault, now))
	require.Empty(t, b.received, "and what comes late of the process before")
	b = two(BackendFault, 0, 1)
	for server := range 4 {
		b.Observe(at(server+4, Unreachable, now))
	}
	require.Empty(t, b.Ejections(now), "who reaches nothing itself does not know whose fault it is")
	require.Empty(t, b.EvidenceToPublish(now), "and tells nobody")
	b = two(BackendFault, 0, 1)
	say(b, 1, 0, Evidence{3, 7, Healthy, now - second})
	require.Equal(t, []int{3}, names(b.Ejections(now)), "an older word does not go over a newer one")
	say(b, 1, 0, Evidence{3, 7, BackendFault, now + 10*second})
	require.Equal(t, now, b.Ejections(now)[0].LatestEvidence, "nor one from the time to come")
}

// Of a zone at most the stated share is left out, the most certain first, and nothing else follows from any evidence.
func TestEjectedShareOfAZoneIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits
		l.IsolationShare, l.MaxEjectedShare = 1, rapid.Float64Range(0, 1).Draw(t, "most")
		b := newTestDetector(l)
		now := 100 * second
		for range rapid.IntRange(0, 80).Draw(t, "pieces") {
			now += rapid.Int64Range(0, second/4).Draw(t, "by")
			e := at(rapid.IntRange(0, 9).Draw(t, "server"), Kind(rapid.IntRange(0, 3).Draw(t, "kind")), now-rapid.Int64Range(-second, 6*second).Draw(t, "age"))
			if rapid.Bool().Draw(t, "own") {
				b.Observe(e)
			} else {
				b.Receive(quota.Owner{Slot: rapid.IntRange(0, 20).Draw(t, "seat"), Incarnation: rapid.Uint64Range(1, 3).Draw(t, "life")}, 0, e, now)
			}
			out := map[int]int{}
			for _, j := range b.Ejections(now) {
				if out[j.Backend.Zone]++; out[j.Backend.Zone] > int(l.MaxEjectedShare*4) {
					t.Fatalf("%d of 4 left out, share %g", out[j.Backend.Zone], l.MaxEjectedShare)
				}
				if own, seen := b.own[j.Backend.Hash]; seen && own.Kind == Healthy && now-own.ObservedAt <= l.OwnEvidenceLifetime {
					t.Fatal("left out against fresh own evidence")
				}
			}
			for _, some := range b.received {
				if len(some) > MaxSourcesPerBackend {
					t.Fatal("too many sources are kept")
				}
			}
			if len(b.EvidenceToPublish(now)) > MaxEvidencePerNode || len(b.Invariants.Violations()) > 0 {
				t.Fatal("bounds")
			}
		}
	})
}
