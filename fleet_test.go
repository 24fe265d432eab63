package standpoint

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// twoZones lists engines evenly over two zones.
func twoZones(n int) *EngineList {
	l := &EngineList{Kind: ListFull}
	for i := range n {
		l.Engines = append(l.Engines, Engine{Name: engineName(i), Zone: i % 2, Size: 1})
	}
	return l
}

// Seen on zone+vast: half of the servers lie in the zone that is lost, each node ranks its own zone first, and all
// three attempts of a request went there, 100 ms each.
func TestLostZoneCostsRequestOneAttempt(t *testing.T) {
	s := testSettings()
	s.Zones, s.CrossZonePrice, s.SecondCopies, s.Gateways = 2, 0.03, false, 80
	for seed := range int64(20) {
		r := New(s, seed)
		feed(r, 0, twoZones(12))
		zone := map[string]int{}
		for _, e := range r.ready {
			zone[e.Name] = e.Zone
		}
		got := feed(r, second, newRequest(1, 5*second))
		expect(t, got, "send ")
		first := zone[got[0].Engine]
		got = feed(r, second+100*ms, &Outcome{Request: 1, Code: NoConnection})
		expect(t, got, "send ")
		if zone[got[0].Engine] == first {
			t.Fatalf("seed %d: the second attempt goes to zone %d too", seed, first)
		}
	}
}

// A pool that lies in one zone is not left because one of its servers could not be reached.
func TestSingleZonePoolSurvivesOneUnreachableServer(t *testing.T) {
	s := testSettings()
	s.Zones, s.CrossZonePrice, s.SecondCopies = 2, 0.03, false
	list := twoZones(12)
	for i := range list.Engines {
		list.Engines[i].Pool = 1 + list.Engines[i].Zone
	}
	for seed := range int64(20) {
		r := New(s, seed)
		feed(r, 0, list)
		q := newRequest(1, 5*second)
		q.Pool = 2
		feed(r, second, q)
		got := feed(r, second+100*ms, &Outcome{Request: 1, Code: NoConnection})
		expect(t, got, "send ")
		if e := r.engines[got[0].Engine]; e.Pool != 2 {
			t.Fatalf("seed %d: the second attempt leaves its pool", seed)
		}
	}
}

// fleet is many gateways that play together in virtual time, each with a little of the traffic. Every attempt is
// answered as answer says.
type fleet struct {
	nodes []*Router
	now   int64
	next  int64
	sent  map[string]int
}

func newFleet(s Settings, list *EngineList) *fleet {
	f := &fleet{now: 100 * second, sent: map[string]int{}}
	for i := range s.Gateways {
		s.Ordinal, s.Zone = i, i%max(1, s.Zones)
		f.nodes = append(f.nodes, New(s, int64(i)))
	}
	f.tell(list)
	return f
}

func (f *fleet) tell(list *EngineList) {
	for _, r := range f.nodes {
		feed(r, f.now, list)
	}
}

// play has requests come evenly to the gateways in turn, so many in all each second, and counts what is sent where.
func (f *fleet) play(span int64, each float64, answer func(engine string) Outcome) {
	for end := f.now + span; f.now < end; f.now += int64(float64(second) / each) {
		f.next++
		r := f.nodes[int(f.next)%len(f.nodes)]
		tick(r, f.now)
		q := newRequest(f.next, f.now+4*second)
		q.Session = mix(uint64(f.next), 7)
		for got := feed(r, f.now, q); len(got) > 0; {
			a := got[0]
			if got = nil; a.Kind == Send {
				f.sent[a.Engine]++
				o := answer(a.Engine)
				o.Request, o.Attempt = a.Request, len(r.requests[a.Request].attempts)-1
				o.Last = o.Code == Served
				got = feed(r, f.now, &o)
			}
		}
	}
}

func served(string) Outcome { return Outcome{Code: Served, Elapsed: 10 * ms} }

// Seen on join+vast: servers of size 3 and of size 10 that had just started got 2.1 to 2.6 requests a second alike;
// the small ones took 5 to 13 s for an answer, and the large ones had four of five places free.
func TestColdBudgetScalesWithServerSize(t *testing.T) {
	s := testSettings()
	s.Gateways = 80
	list := &EngineList{Kind: ListFull}
	for i := range 38 {
		list.Engines = append(list.Engines, Engine{Name: engineName(i), Size: 6})
	}
	f := newFleet(s, list)
	f.play(10*second, 88, served)
	for i, size := range []float64{3, 9} {
		list.Engines = append(list.Engines, Engine{Name: engineName(38 + i), Size: size, ReadyAt: f.now})
	}
	f.tell(list)
	f.play(8*second, 88, served)
	small, large := float64(f.sent[engineName(38)]), float64(f.sent[engineName(39)])
	if !(small > 0 && large > 2*small && large < 4.5*small) {
		t.Fatalf("%g requests to the small one, %g to one of three times its size", small, large)
	}
	// 88 requests to 40 servers, times the allowance of 3, times a capacity that rises from 0.4 to 1: what all may
	// send to one of the mean size.
	if most := 88.0 / 40 * 3 * 8 * 0.7; large > most*9/6 {
		t.Fatalf("%g requests to the large one, whose edge is %g", large, most*9/6)
	}
}

// Seen on zone+vast: a lost zone answers again 3 s before the list tells of its new starts. All nodes went back to it
// at once, up to 90 requests a second to servers at an eighth of their capacity; before, each of 80 nodes had tried
// each lost server.
func TestLostZoneIsProbedOnceAndReturnsCold(t *testing.T) {
	s := testSettings()
	s.Gateways, s.Zones, s.CrossZonePrice, s.SecondCopies, s.MaxAttempts, s.ColdCapacityFraction, s.OverloadFactor = 80, 2, 0.03, false, 3, 0.13, 4
	s.WarmUp = 24 * second
	f := newFleet(s, twoZones(40))
	zone := map[string]int{}
	for _, e := range f.nodes[0].ready {
		zone[e.Name] = e.Zone
	}
	f.play(10*second, 88, served)
	count := func() (one int) {
		for name, n := range f.sent {
			one += n * zone[name]
		}
		return one
	}
	lost := func(engine string) Outcome {
		if zone[engine] == 1 {
			return Outcome{Code: NoConnection, Elapsed: 100 * ms}
		}
		return served(engine)
	}
	f.play(4*second, 88, lost) // in which every node of that zone has found out
	before := count()
	f.play(4*second, 88, lost)
	// Alone, each of 40 nodes would try 20 servers every 1.5 s, as often as it has requests: 176 in 4 s.
	if tries := count() - before; tries > 40*4*2/3+20 {
		t.Fatalf("%d attempts in 4 s to servers of a lost zone, by 40 nodes that each may try it every 1.5 s", tries)
	}
	before = count()
	f.play(3*second, 88, served) // it answers again, and the list does not tell
	// 20 servers, 2.2 requests a second each, times half of the allowance of 4, times a capacity from 0.13 to 0.24;
	// and one trial of each node of that zone.
	if back := count() - before; back < 20 || float64(back) > 20*2.2*2*0.19*3+40 {
		t.Fatalf("%d requests in 3 s to a zone that has just come back", back)
	}
	f.now += s.DiscoveryTimeout
	before = count()
	f.play(4*second, 88, served) // no start was told in all that time: there was none
	if warm := count() - before; warm < 140 {
		t.Fatalf("%d of 352 requests to a zone that only was cut off", warm)
	}
}

// Seen on join+vast: the servers of the zone with more of the traffic had 0.9 of their places taken, their likes in
// the other 0.3; each node ranks its own zone first and hears of a given server less than once a minute. A node that
// hears enough keeps to its zone, and so do all once every server is warm.
func TestLowTrafficGatewaysDoNotOverloadTheirZone(t *testing.T) {
	share := func(nodes int, started int64) float64 {
		s := testSettings()
		s.Gateways, s.Zones, s.CrossZonePrice, s.SecondCopies, s.WarmUp = nodes, 2, 0.03, false, 24*second
		list := twoZones(40)
		list.Engines[39].ReadyAt = started
		f := newFleet(s, list)
		var lean []*Router // three of four requests come to zone 0
		for i, r := range f.nodes {
			lean = append(lean, r)
			if i%2 == 0 {
				lean = append(lean, r, r)
			}
		}
		f.nodes = lean
		f.play(20*second, 88, served)
		own, all := 0, 0
		for i := range 40 {
			all += f.sent[engineName(i)]
			if i%2 == 0 {
				own += f.sent[engineName(i)]
			}
		}
		return float64(own) / float64(all)
	}
	if got := share(2, 100*second); got < 0.7 {
		t.Errorf("%.2f of the requests stay in the zone of three quarters, before two busy nodes", got)
	}
	if got := share(80, second); got < 0.7 {
		t.Errorf("%.2f of the requests stay in the zone of three quarters, before 80 nodes and warm servers", got)
	}
	if got := share(80, 100*second); got < 0.55 || got > 0.68 {
		t.Errorf(
			"%.2f of the requests stay in the zone of three quarters, before 80 thin nodes; half of what leans is 0.63",
			got,
		)
	}
}

// What is believed of cold servers and of zones holds at its edges: no capacity told, a start that the list takes
// back, zones with new numbers.
func TestColdAndLostZoneEdgeCases(t *testing.T) {
	s := testSettings()
	s.Zones, s.ColdCapacityFraction = 2, 0
	r := New(s, 1)
	list := twoZones(8)
	list.Engines[0].ReadyAt = 100 * second
	feed(r, 100*second, list)
	if w := r.minCapacityFraction(r.engines[engineName(0)]); w != 0 {
		t.Errorf("a server that has just started is taken to have %g of its capacity, and none is told", w)
	}
	list.Engines[0].ReadyAt = 1e6 * second
	feed(r, 101*second, list)
	list.Engines[0].ReadyAt = 0
	feed(r, 102*second, list)
	if r.fleetWarmUpEnd > 102*second {
		t.Error("a start that is told no longer is still believed")
	}
	r.unreachableByZone[0] = lostZoneThreshold
	r.UpdateSettings(s)
	if len(r.failureDomain(r.engines[engineName(0)])) != 1 {
		t.Error("a zone is lost that may be another by now")
	}
}

// What the fleet gives up is spread: however poor its requests, no class and no tenant within its quota loses more
// than the stated part, while what is beyond a quota may be refused whole.
func TestNoClassOrTenantStarves(t *testing.T) {
	s := testSettings()
	s.Gateways, s.OverQuotaWeight = 1, 0.05
	s.Tenants = []Tenant{{QuotaRPS: 60}, {QuotaRPS: 60}, {QuotaRPS: 10}}
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Weight = 50
	for name, poor := range map[string]func(i int64, q *Request) bool{
		"class": func(i int64, q *Request) bool { // worth a fiftieth
			q.Tenant = int(i / 2 % 2)
			q.Class = int(i % 2)
			return q.Class == 0
		},
		"tenant": func(i int64, q *Request) bool { // all of its prompts are long
			q.Class, q.Tenant = 1, int(i%2)
			if q.Tenant == 0 {
				q.PromptTokens *= 20
			}
			return q.Tenant == 0
		},
		"beyond its quota": func(i int64, q *Request) bool {
			q.Class, q.Tenant = 1, int(i%2)*2
			return q.Tenant == 2
		},
	} {
		r := New(s, 1)
		feed(r, 0, engineList("a", "b", "c"))
		asked, refused := 0.0, 0.0
		for i := int64(1); i <= 1200; i++ { // 100 a second
			now := i * 10 * ms
			r.shedFraction, r.shedFractionAt = 0.45, now
			q := newRequest(i, now+2*second)
			mine := poor(i, q)
			got := kinds(feed(r, now, q))
			if mine && i > 200 {
				asked++
				if got == "shed " {
					refused++
				}
			}
		}
		if part := refused / asked; name == "beyond its quota" && part < 0.7 ||
			name != "beyond its quota" && (part < 0.3 || part > maxShedOfGroup+0.05) {
			t.Errorf("%s: %.2f of the poorest refused", name, part)
		}
	}
}

// Servers that have just started get no more in any window in which they could fall than the rule allows, N + 2 root
// of N + 2 requests from all nodes together, whatever the number of nodes is and is thought to be: from the first
// moment of a start that is told to all at once, with all of the traffic before it, evenly over the nodes or not, one
// server cold or half of them.
func TestColdBudgetHoldsOverAllNodes(t *testing.T) {
	for _, nodes := range []int{2, 3, 5, 10, 20, 30, 40, 300} {
		for _, thought := range []int{1, nodes, 10 * nodes} {
			// Three requests a second to each server, what they are taken to do when warm, and one, whose allowance
			// begins at two.
			for _, each := range []float64{300, 100} {
				testColdAllowance(t, nodes, thought, each, 1, thought != nodes)
				testColdAllowance(t, nodes, thought, each, 50, true)
			}
		}
	}
}

// testColdAllowance has so many servers of a hundred start, before nodes that get so many requests a second together.
func testColdAllowance(t *testing.T, nodes, thought int, each float64, fresh int, uneven bool) {
	const slide = 4 // of a window
	t.Run(
		fmt.Sprintf(
			"%d nodes, %d thought, %g requests a second, %d cold, uneven %t",
			nodes,
			thought,
			each,
			fresh,
			uneven,
		),
		func(t *testing.T) {
			t.Parallel()
			s := testSettings()
			s.Gateways, s.WarmUp, s.ColdCapacityFraction, s.OverloadFactor, s.OverloadWindow = nodes, 24*second, 0.13, 4, 3*second
			list := &EngineList{Kind: ListFull}
			for i := range 100 {
				list.Engines = append(list.Engines, Engine{Name: engineName(i), Size: 1})
			}
			f := newFleet(s, list)
			for i, r := range f.nodes {
				r.settings.Gateways = thought
				if uneven && i%5 == 0 { // six times what the others have
					f.nodes = append(f.nodes, r, r, r, r, r)
				}
			}
			f.play(20*second, each, served)
			start := f.now
			for i := range fresh {
				list.Engines[i].ReadyAt = start
			}
			f.tell(list)
			var sent []map[string]int
			for at := start; at < start+s.WarmUp; at += s.OverloadWindow / slide {
				sent = append(sent, maps.Clone(f.sent))
				f.play(s.OverloadWindow/slide, each, served)
				if len(sent) < slide {
					continue
				}
				from := sent[len(sent)-slide]
				warm := s.ColdCapacityFraction + (1-s.ColdCapacityFraction)*(seconds(f.now-start)-seconds(s.OverloadWindow)/2)/seconds(s.WarmUp)
				n := s.OverloadFactor * warm * each / 100 * seconds(s.OverloadWindow)
				for i := range fresh {
					if got, most := float64(f.sent[engineName(i)]-from[engineName(i)]), n+2*math.Sqrt(n)+2; got > most {
						t.Errorf(
							"%g requests in the 3 s to %g s, the rule allows %.1f",
							got,
							seconds(f.now-start),
							most,
						)
					}
				}
			}
			if f.sent[engineName(0)] == sent[0][engineName(0)] {
				t.Error("it got nothing at all")
			}
		},
	)
}

// However much the fleet gives up, the requests with the longest prompts of a class, which promise the least for
// their work, get two thirds of the class's answered share, the longest tenth and the fifth behind it; and sessions
// whose turns are all long are not refused throughout while there is room for most.
func TestLargestRequestsKeepTheirShare(t *testing.T) {
	for _, classes := range []int{1, 3} {
		for _, cut := range []float64{0.05, 0.15, 0.3, 0.6, 0.8} {
			s := testSettings()
			s.Gateways, s.SecondCopies = 1, false
			s.Classes = slices.Repeat(s.Classes[:1], classes)
			for i := range s.Classes {
				s.Classes[i].Weight = float64(1 + 3*i)
			}
			r := New(s, 1)
			feed(r, 0, engineList("a", "b", "c"))
			type asked struct {
				prompt  float64
				refused bool
			}
			all, sessions := make([][]asked, classes), map[uint64][]bool{}
			rng := rand.New(rand.NewPCG(7, 7))
			for i := int64(1); i <= 6000; i++ { // 100 a second
				now := i * 10 * ms
				r.shedFraction, r.shedFractionAt = cut, now
				q := newRequest(i, now+2*second)
				q.Class, q.Session = int(i-1)%classes, uint64(1+(i-1)%1500) // of four turns each
				q.PromptTokens = 500 * math.Exp(
					1.2*rand.New(rand.NewPCG(q.Session, 7)).NormFloat64()+0.2*rng.NormFloat64(),
				)
				refused := kinds(feed(r, now, q)) == "shed "
				all[q.Class] = append(all[q.Class], asked{q.PromptTokens, refused})
				sessions[q.Session] = append(sessions[q.Session], refused)
			}
			answered := func(some []asked) float64 {
				n := 0.0
				for _, a := range some {
					if !a.refused {
						n++
					}
				}
				return n / float64(len(some))
			}
			for class, some := range all {
				whole := answered(some)
				slices.SortFunc(some, func(a, b asked) int { return cmp.Compare(b.prompt, a.prompt) })
				n := len(some)
				for what, part := range map[string][]asked{"tenth": some[:n/10], "fifth behind it": some[n/10 : 3*n/10]} {
					if got := answered(part); got < 2.0/3*whole {
						t.Errorf(
							"%d classes, cut %g: %.2f of class %d is answered, and %.2f of the longest %s",
							classes,
							cut,
							whole,
							class,
							got,
							what,
						)
					}
				}
			}
			// Those of which all four turns are refused, beyond what chance gives where a class loses so many.
			for class, some := range all {
				throughout, of := 0.0, 0.0
				for session, turns := range sessions {
					if int(session-1)%classes == class {
						if of++; !slices.Contains(turns, false) {
							throughout++
						}
					}
				}
				if over := throughout/of - math.Pow(1-answered(some), 4); cut <= 0.15 && over > 0.1 {
					t.Errorf(
						"%d classes, cut %g: %.2f of class %d is answered, and %.2f of its sessions are refused throughout beyond chance",
						classes,
						cut,
						answered(some),
						class,
						over,
					)
				}
			}
		}
	}
}
