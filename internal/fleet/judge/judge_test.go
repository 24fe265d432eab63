package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/rights"
)

const second = int64(time.Second)

var limits = Limits{Sources: 2, Lasts: 5 * second, Own: 2 * second, Most: 0.5, Many: 0.34, Error: second / 2}

// bench is the judgements of seat 0 on eight servers, in two zones.
func bench(l Limits) *Bench {
	b := New(l, rights.Owner{Seat: 0, Inc: 1}, &invariant.Guard{})
	var all []Server
	for i := range 8 {
		all = append(all, Server{Name: uint64(i), Zone: i % 2, Start: 7})
	}
	b.Listed(all)
	return b
}

func at(server int, kind Kind, t int64) Evidence {
	return Evidence{Server: uint64(server), Start: 7, Kind: kind, At: t}
}

func names(all []Judgement) (out []int) {
	for _, j := range all {
		out = append(out, int(j.Server.Name))
	}
	return out
}

func TestJudgements(t *testing.T) {
	now := 100 * second
	say := func(b *Bench, seat, zone int, e Evidence) { b.Hear(rights.Owner{Seat: seat, Inc: 1}, zone, e, now) }
	two := func(kind Kind, zone1, zone2 int) *Bench {
		b := bench(limits)
		say(b, 1, zone1, at(3, kind, now))
		say(b, 2, zone2, at(3, kind, now))
		return b
	}
	require.Equal(t, []int{3}, names(two(Fault, 0, 0).Judge(now)))
	b := bench(limits)
	say(b, 1, 0, at(3, Fault, now))
	say(b, 1, 0, at(3, Fault, now+1))
	require.Empty(t, b.Judge(now), "one source, however often it says so")
	b = two(Fault, 0, 0)
	b.Saw(at(3, Well, now-second))
	require.Empty(t, b.Judge(now), "own evidence outweighs it")
	require.Equal(t, []int{3}, names(b.Judge(now+2*second)), "while it is fresh")
	require.Empty(t, two(Fault, 0, 0).Judge(now+6*second), "all expires")
	b = two(Path, 0, 0)
	say(b, 3, 1, at(3, Well, now))
	require.Empty(t, b.Judge(now), "one zone does not reach what another does: the path's fault")
	require.Equal(t, []int{3}, names(two(Path, 0, 1).Judge(now)))
	b = two(Fault, 0, 0)
	for seat := 3; seat < 6; seat++ {
		say(b, seat, 0, at(3, Well, now))
	}
	require.Empty(t, b.Judge(now), "most find it well")
	b = two(Fault, 0, 1)
	for server := range 4 {
		say(b, 1, 0, at(server, Fault, now))
	}
	require.Empty(t, b.Judge(now), "who finds half of all bad is no witness")
	b = two(Fault, 0, 1)
	b.Listed([]Server{{Name: 3, Zone: 1, Start: 8}, {Name: 4}})
	require.Empty(t, b.Judge(now), "a new start voids it")
	say(b, 1, 0, at(3, Fault, now))
	require.Empty(t, b.heard, "and what comes late of the process before")
	b = two(Fault, 0, 1)
	for server := range 4 {
		b.Saw(at(server+4, Path, now))
	}
	require.Empty(t, b.Judge(now), "who reaches nothing itself does not know whose fault it is")
	require.Empty(t, b.Tell(now), "and tells nobody")
	b = two(Fault, 0, 1)
	say(b, 1, 0, Evidence{3, 7, Well, now - second})
	require.Equal(t, []int{3}, names(b.Judge(now)), "an older word does not go over a newer one")
	say(b, 1, 0, Evidence{3, 7, Fault, now + 10*second})
	require.Equal(t, now, b.Judge(now)[0].At, "nor one from the time to come")
}

// Of a zone at most the stated share is left out, the most certain first, and nothing else follows from any evidence.
func TestShareOfAZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits
		l.Many, l.Most = 1, rapid.Float64Range(0, 1).Draw(t, "most")
		b := bench(l)
		now := 100 * second
		for range rapid.IntRange(0, 80).Draw(t, "pieces") {
			now += rapid.Int64Range(0, second/4).Draw(t, "by")
			e := at(rapid.IntRange(0, 9).Draw(t, "server"), Kind(rapid.IntRange(0, 3).Draw(t, "kind")), now-rapid.Int64Range(-second, 6*second).Draw(t, "age"))
			if rapid.Bool().Draw(t, "own") {
				b.Saw(e)
			} else {
				b.Hear(rights.Owner{Seat: rapid.IntRange(0, 20).Draw(t, "seat"), Inc: rapid.Uint64Range(1, 3).Draw(t, "life")}, 0, e, now)
			}
			out := map[int]int{}
			for _, j := range b.Judge(now) {
				if out[j.Server.Zone]++; out[j.Server.Zone] > int(l.Most*4) {
					t.Fatalf("%d of 4 left out, share %g", out[j.Server.Zone], l.Most)
				}
				if own, seen := b.own[j.Server.Name]; seen && own.Kind == Well && now-own.At <= l.Own {
					t.Fatal("left out against fresh own evidence")
				}
			}
			for _, some := range b.heard {
				if len(some) > PerServer {
					t.Fatal("too many sources are kept")
				}
			}
			if len(b.Tell(now)) > PerNode || len(b.Guard.Counts()) > 0 {
				t.Fatal("bounds")
			}
		}
	})
}
