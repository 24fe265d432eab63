package standpoint

import "testing"

// twoZones lists engines evenly over two zones.
func twoZones(n int) *EngineList {
	l := &EngineList{Kind: ListFull}
	for i := range n {
		l.Engines = append(l.Engines, Engine{Name: name(i), Zone: i % 2, Size: 1})
	}
	return l
}

// Seen on zone+vast: half of the servers lie in the zone that is lost, each node ranks its own zone first, and all three
// attempts of a request went there, 100 ms each.
func TestALostZoneCostsARequestOneAttempt(t *testing.T) {
	s := base()
	s.Zones, s.CrossZonePrice, s.SecondCopies, s.Balancers = 2, 0.03, false, 80
	for seed := range int64(20) {
		r := New(s, seed)
		feed(r, 0, twoZones(12))
		zone := map[string]int{}
		for _, e := range r.ready {
			zone[e.Name] = e.Zone
		}
		got := feed(r, second, ask(1, 5*second))
		expect(t, got, "send ")
		first := zone[got[0].Engine]
		got = feed(r, second+100*ms, &Outcome{Request: 1, Code: NoConnection})
		expect(t, got, "send ")
		if zone[got[0].Engine] == first {
			t.Fatalf("seed %d: the second attempt goes to zone %d too", seed, first)
		}
	}
}
