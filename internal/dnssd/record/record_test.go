package record

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/miekg/dns"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261201") }

func TestInstanceNamesRoundTrip(t *testing.T) {
	for full, label := range map[string]string{
		`box-1._engine._tcp.hall-a.test.`:            "box-1",
		`box\.1._engine._tcp.hall-a.test.`:           "box.1",
		`hall\032a\ 7._engine._tcp.hall-a.test.`:     "hall a 7",
		`\208\145\208\186._engine._tcp.hall-a.test.`: "Бк",
		`a\\b._engine._tcp.hall-a.test.`:             `a\b`,
	} {
		got, rest, err := SplitInstance(full)
		require.NoError(t, err)
		require.Equal(t, label, got)
		require.Equal(t, "_engine._tcp.hall-a.test.", rest)
	}
	for _, full := range []string{"", "box", `box\`, `\999.x.`, `.x.`, `\255\254.x.`} {
		_, _, err := SplitInstance(full)
		require.Error(t, err, full)
	}
	rapid.Check(t, func(r *rapid.T) {
		label := rapid.StringN(1, 20, 60).Draw(r, "label")
		if !utf8.ValidString(label) || len(label) > 63 {
			return
		}
		full, err := JoinInstance(label, "_engine._tcp.hall-a.test.")
		require.NoError(t, err)
		wire := make([]byte, 300)
		end, err := dns.PackDomainName(full, wire, 0, nil, false)
		require.NoError(t, err, full)
		back, _, err := dns.UnpackDomainName(wire[:end], 0)
		require.NoError(t, err)
		got, _, err := SplitInstance(back)
		require.NoError(t, err)
		require.Equal(t, label, got, "over the wire and back")
	})
}

func TestParseTXTKeepsFirstValueOfEachKey(t *testing.T) {
	all := ParseTXT([]string{"Site=hall-a", "site=hall-b", "SITE", "empty=", "bare", "=x", "", "v=a=b", "bad\x07=1"})
	require.Equal(
		t,
		Attributes{"site": {"hall-a", true}, "empty": {"", true}, "bare": {"", false}, "v": {"a=b", true}},
		all,
	)
	var many []string
	for i := range 1000 {
		many = append(many, fmt.Sprintf("k%d=1", i))
	}
	require.Len(t, ParseTXT(many), 64)
}

func TestChooseFollowsPriorityAndWeight(t *testing.T) {
	a, b, c := Target{10, 3, 1, "a."}, Target{10, 1, 2, "b."}, Target{5, 0, 3, "c."}
	got, err := Choose([]Target{a, b, c}, 0.5)
	require.NoError(t, err)
	require.Equal(t, c, got, "the lowest priority")
	count := map[string]int{}
	for i := range 1000 {
		got, err = Choose([]Target{a, b}, float64(i)/1000)
		require.NoError(t, err)
		count[got.Host]++
	}
	require.Equal(t, map[string]int{"a.": 750, "b.": 250}, count)
	_, err = Choose(nil, 0)
	require.ErrorContains(t, err, "no SRV record")
	_, err = Choose([]Target{{0, 0, 0, "."}}, 0)
	require.ErrorIs(t, err, ErrWithdrawn)
	_, err = Choose([]Target{{0, 0, 0, "a."}}, 0)
	require.ErrorContains(t, err, "no port")
}

// The loss of one instance is accepted at once; that of most only when it lasts, or the zone was changed.
func TestGuardHoldsLargeLosses(t *testing.T) {
	const second = int64(1e9)
	g := Guard{MaxLossFraction: 0.5, HoldTime: 10 * second}
	require.Equal(t, Accept, g.Check(8, 7, false, 0))
	require.Equal(t, Accept, g.Check(1, 0, false, 0), "the only one")
	require.Equal(t, Accept, g.Check(8, 4, false, 0))
	require.Equal(t, Hold, g.Check(8, 0, false, second))
	require.Equal(t, Hold, g.Check(8, 0, false, 10*second))
	require.Equal(t, Accept, g.Check(8, 8, false, 10*second+1), "they are back")
	require.Equal(t, Hold, g.Check(8, 0, false, 12*second), "held anew")
	require.Equal(t, Hold, g.Check(8, 2, false, 21*second), "another loss")
	require.Equal(t, Hold, g.Check(8, 2, false, 30*second))
	require.Equal(t, Accept, g.Check(8, 2, false, 31*second))
	require.Equal(t, Accept, g.Check(8, 0, true, 40*second), "the zone's serial says so")
	for _, s := range []struct {
		a, b  uint32
		newer bool
	}{{2, 1, true}, {1, 2, false}, {1, 1, false}, {0, 1<<32 - 1, true}, {1<<32 - 1, 0, false}} {
		require.Equal(t, s.newer, SerialNewer(s.a, s.b), "%d %d", s.a, s.b)
	}
}

func record(name string, kind Kind, ttl uint32, fill func(*Record)) Record {
	r := Record{Name: name, Kind: kind, TTL: ttl}
	if fill != nil {
		fill(&r)
	}
	return r
}

// A cache tells known, missing and unknown records apart, and says when to query them again.
func TestCacheTracksKnownAndMissingRecords(t *testing.T) {
	const second = int64(time.Second)
	s := Service{Type: "_e._tcp", Domain: "Hall.test"}
	cache := NewCache()
	list := Key{s.ListName(), PTR}
	require.Equal(t, "_e._tcp.hall.test.", list.Name)
	require.Equal(
		t,
		"_big._sub._e._tcp.hall.test.",
		Service{Type: "_e._tcp", Subtype: "_big", Domain: "hall.test"}.ListName(),
	)
	ptr := func(to string) Record { return record(list.Name, PTR, 60, func(r *Record) { r.Target = to }) }
	require.True(
		t,
		cache.Put(
			list,
			[]Record{
				ptr("B._e._tcp.Hall.test."),
				ptr("a._e._tcp.hall.test."),
				ptr("x.elsewhere.test."),
				ptr("b._e._tcp.hall.test."),
			},
			0,
			second,
		),
	)
	require.False(
		t,
		cache.Put(
			list,
			[]Record{
				ptr("b._e._tcp.hall.test."),
				ptr("a._e._tcp.hall.test."),
				ptr("x.elsewhere.test."),
				ptr("b._e._tcp.hall.test."),
			},
			0,
			second,
		),
	)
	names, omitted := cache.Instances(s)
	require.Equal(t, []string{"a._e._tcp.hall.test.", "b._e._tcp.hall.test."}, names)
	require.Zero(t, omitted)
	a := names[0]
	require.True(t, cache.Assemble(a, "").Pending)
	srv := record(a, SRV, 120, func(r *Record) { r.Server = Target{Port: 1, Host: "h.test."} })
	cache.Put(Key{a, SRV}, []Record{srv}, 0, second)
	cache.Put(Key{a, TXT}, nil, 600, second)
	require.Equal(
		t,
		second+int64(maxNegativeTTL),
		cache.Get(a, TXT).ExpiresAt,
		"that there is nothing is believed for 5 s at the most",
	)
	require.Equal(t, []Key{{a, SRV}, {a, TXT}, {"h.test.", A}}, cache.RequiredKeys(a))
	cache.RecordFailure(Key{"h.test.", A}, "SERVFAIL", 2*second)
	in := cache.Assemble(a, "a")
	require.True(t, in.Pending)
	require.ErrorContains(t, in.Fault, "A h.test.: SERVFAIL")
	cache.Put(Key{"h.test.", A}, nil, 1, second)
	require.Contains(t, cache.RequiredKeys(a), Key{"h.test.", AAAA})
	address := func(text string) Record {
		return record("h.test.", AAAA, 30, func(r *Record) { r.IP = netip.MustParseAddr(text) })
	}
	cache.Put(Key{"h.test.", AAAA}, []Record{address("::2"), address("::1")}, 0, second)
	in = cache.Assemble(a, "a")
	require.NoError(t, in.Fault)
	require.Equal(t, "[::1]:1", in.Address.String())
	require.Equal(t, uint32(30), in.TTL)
	require.True(t, cache.Remove(srv, 2*second))
	require.False(t, cache.Remove(srv, 2*second))
	require.ErrorContains(t, cache.Assemble(a, "a").Fault, "no SRV record")
	require.True(t, cache.Add(srv, 2*second))
	require.False(t, cache.Add(srv, 3*second))
	require.True(t, cache.Clear(a, 0, 3*second))
	cache.Invalidate(5 * second)
	require.LessOrEqual(t, cache.Get(list.Name, PTR).RefreshAt, 5*second)
	cache.Retain(map[Key]bool{list: true})
	require.Equal(t, 1, cache.Len())
}

// An instance that is held back returns within a bounded time, however often it was withdrawn.
func TestDamperHoldTimeIsBounded(t *testing.T) {
	const minute = int64(time.Minute)
	d := Damper{HalfLife: minute, MaxFlaps: 3}
	for range 1000 {
		d.RecordWithdrawal("a", 0)
	}
	require.LessOrEqual(t, d.SuppressedUntil("a", 0), minute+2)
	require.Equal(t, int64(5), d.SuppressedUntil("b", 5))
	require.Equal(t, 2*minute, d.SuppressedUntil("a", 2*minute))
	off := Damper{}
	off.RecordWithdrawal("a", 0)
	require.Equal(t, int64(7), off.SuppressedUntil("a", 7))
}
