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

// twoZoneList returns a full list of n engines of size 1, spread evenly over two zones.
func twoZoneList(n int) *EngineList {
	l := &EngineList{Kind: ListFull}
	for i := range n {
		l.Engines = append(l.Engines, Engine{Name: engineName(i), Zone: i % 2, Size: 1})
	}
	return l
}

// Guards against requests that use up their attempts in an unreachable zone: half of the engines are in that zone, and
// each gateway ranks its own zone first, so all three attempts of a request went there at 100 ms each. After one failed
// connection the next attempt goes to another zone.
func TestUnreachableZoneCostsRequestOneAttempt(t *testing.T) {
	s := testSettings()
	s.Zones, s.CrossZonePrice, s.HedgedRequests, s.Gateways = 2, 0.03, false, 80
	for seed := range int64(20) {
		r := New(s, seed)
		feed(r, 0, twoZoneList(12))
		zone := map[string]int{}
		for _, e := range r.ready {
			zone[e.Name] = e.Zone
		}
		got := feed(r, second, newRequest(1, 5*second))
		expect(t, got, "send ")
		firstZone := zone[got[0].Engine]
		got = feed(r, second+100*ms, &Outcome{Request: 1, Code: NoConnection})
		expect(t, got, "send ")
		if zone[got[0].Engine] == firstZone {
			t.Fatalf("seed %d: the second attempt also goes to zone %d", seed, firstZone)
		}
	}
}

// A request whose pool lies in one zone stays in its pool after a failed connection to one of the pool's engines.
func TestSingleZonePoolSurvivesOneUnreachableEngine(t *testing.T) {
	s := testSettings()
	s.Zones, s.CrossZonePrice, s.HedgedRequests = 2, 0.03, false
	list := twoZoneList(12)
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
			t.Fatalf("seed %d: the second attempt goes to another pool", seed)
		}
	}
}

// gatewayGroup simulates many gateways in virtual time, each with a small part of the traffic.
type gatewayGroup struct {
	gateways []*Router
	now      int64
	nextID   int64
	sentTo   map[string]int
}

// newGatewayGroup returns s.Gateways gateways, spread evenly over the zones, that have all received the list.
func newGatewayGroup(s Settings, list *EngineList) *gatewayGroup {
	g := &gatewayGroup{now: 100 * second, sentTo: map[string]int{}}
	for i := range s.Gateways {
		s.Ordinal, s.Zone = i, i%max(1, s.Zones)
		g.gateways = append(g.gateways, New(s, int64(i)))
	}
	g.updateEngines(list)
	return g
}

// updateEngines passes an engine list to all gateways.
func (g *gatewayGroup) updateEngines(list *EngineList) {
	for _, r := range g.gateways {
		feed(r, g.now, list)
	}
}

// run sends requests to the gateways in turn, evenly at rate requests a second in total, for the duration. It counts
// the attempts per engine in sentTo; each attempt ends at once with the outcome that the function returns.
func (g *gatewayGroup) run(duration int64, rate float64, outcome func(engine string) Outcome) {
	for end := g.now + duration; g.now < end; g.now += int64(float64(second) / rate) {
		g.nextID++
		r := g.gateways[int(g.nextID)%len(g.gateways)]
		tick(r, g.now)
		q := newRequest(g.nextID, g.now+4*second)
		q.Session = mix(uint64(g.nextID), 7)
		for got := feed(r, g.now, q); len(got) > 0; {
			a := got[0]
			if got = nil; a.Kind == Send {
				g.sentTo[a.Engine]++
				ended := outcome(a.Engine)
				ended.Request, ended.Attempt = a.Request, len(r.requests[a.Request].attempts)-1
				ended.Last = ended.Code == Served
				got = feed(r, g.now, &ended)
			}
		}
	}
}

// served is the outcome of an attempt that any engine serves at once.
func served(string) Outcome { return Outcome{Code: Served, Elapsed: 10 * ms} }

// Guards against a slow-start budget that ignores the engine's size: starting engines of size 3 and of size 10 both got
// 2.1 to 2.6 requests a second. The small ones took 5 to 13 s for a response, and the large ones had four of five slots
// free.
func TestSlowStartBudgetScalesWithEngineSize(t *testing.T) {
	s := testSettings()
	s.Gateways = 80
	list := &EngineList{Kind: ListFull}
	for i := range 38 {
		list.Engines = append(list.Engines, Engine{Name: engineName(i), Size: 6})
	}
	g := newGatewayGroup(s, list)
	g.run(10*second, 88, served)
	for i, size := range []float64{3, 9} {
		list.Engines = append(list.Engines, Engine{Name: engineName(38 + i), Size: size, StartedAt: g.now})
	}
	g.updateEngines(list)
	g.run(8*second, 88, served)
	small, large := float64(g.sentTo[engineName(38)]), float64(g.sentTo[engineName(39)])
	if !(small > 0 && large > 2*small && large < 4.5*small) {
		t.Fatalf("%g requests to the small engine, %g to one of three times its size", small, large)
	}
	// 88 requests a second to 40 engines, times the overload factor of 3, for 8 s, times a capacity that rises from 0.4
	// to 1: what all gateways together may send to an engine of the mean size, which is 6.
	if meanLimit := 88.0 / 40 * 3 * 8 * 0.7; large > meanLimit*9/6 {
		t.Fatalf("%g requests to the large engine, limit %g", large, meanLimit*9/6)
	}
}

// Guards against two faults around an unreachable zone. While it is unreachable, each of 80 gateways tried each of its
// engines. When it responds again, 3 s before the list contains the new starts, all gateways returned to it at once,
// with up to 90 requests a second to engines that have an eighth of their capacity.
func TestUnreachableZoneIsTriedOnceAndReturnsInSlowStart(t *testing.T) {
	s := testSettings()
	s.Gateways, s.Zones, s.CrossZonePrice, s.HedgedRequests, s.MaxAttempts, s.ColdCapacityFraction, s.OverloadFactor =
		80, 2, 0.03, false, 3, 0.13, 4
	s.WarmUp = 24 * second
	g := newGatewayGroup(s, twoZoneList(40))
	zone := map[string]int{}
	for _, e := range g.gateways[0].ready {
		zone[e.Name] = e.Zone
	}
	g.run(10*second, 88, served)
	countZone1 := func() (total int) {
		for name, n := range g.sentTo {
			total += n * zone[name]
		}
		return total
	}
	zone1Unreachable := func(engine string) Outcome {
		if zone[engine] == 1 {
			return Outcome{Code: NoConnection, Elapsed: 100 * ms}
		}
		return served(engine)
	}
	g.run(4*second, 88, zone1Unreachable) // meanwhile every gateway of that zone has detected it
	before := countZone1()
	g.run(4*second, 88, zone1Unreachable)
	// Without a common trial each of 40 gateways could try each of 20 engines every 1.5 s, and would with every request
	// that it gets: 176 in 4 s.
	if trials := countZone1() - before; trials > 40*4*2/3+20 {
		t.Fatalf("%d attempts in 4 s at an unreachable zone, by 40 gateways that may each try it every 1.5 s", trials)
	}
	before = countZone1()
	g.run(3*second, 88, served) // the zone responds again, and the list does not contain the restarts yet
	// 20 engines, 2.2 requests a second each, times half of the overload factor of 4, times a capacity from 0.13 to
	// 0.24, for 3 s; and one trial of each of the 40 gateways of that zone.
	if returned := countZone1() - before; returned < 20 || float64(returned) > 20*2.2*2*0.19*3+40 {
		t.Fatalf("%d requests in 3 s to a zone that has just become reachable", returned)
	}
	g.now += s.DiscoveryTimeout
	before = countZone1()
	g.run(4*second, 88, served) // no start was listed within the discovery timeout, so there was none
	if returned := countZone1() - before; returned < 140 {
		t.Fatalf("%d of 352 requests to a zone that was only disconnected, want at least 140", returned)
	}
}

// Guards against overloading the zone with more traffic while engines start: its engines had 0.9 of their slots in use,
// equal ones in the other zone 0.3. Each gateway ranks its own zone first, and one with little traffic gets a response
// from a given engine less than once a minute, so it cannot see the load. Gateways with more traffic prefer their own
// zone, and so do all once every engine is warm.
func TestLowTrafficGatewaysDoNotOverloadTheirZone(t *testing.T) {
	ownZoneShare := func(gateways int, startedAt int64) float64 {
		s := testSettings()
		s.Gateways, s.Zones, s.CrossZonePrice, s.HedgedRequests, s.WarmUp = gateways, 2, 0.03, false, 24*second
		list := twoZoneList(40)
		list.Engines[39].StartedAt = startedAt
		g := newGatewayGroup(s, list)
		var skewed []*Router // three of four requests come to zone 0
		for i, r := range g.gateways {
			skewed = append(skewed, r)
			if i%2 == 0 {
				skewed = append(skewed, r, r)
			}
		}
		g.gateways = skewed
		g.run(20*second, 88, served)
		inZone0, all := 0, 0
		for i := range 40 {
			all += g.sentTo[engineName(i)]
			if i%2 == 0 {
				inZone0 += g.sentTo[engineName(i)]
			}
		}
		return float64(inZone0) / float64(all)
	}
	if got := ownZoneShare(2, 100*second); got < 0.7 {
		t.Errorf("two busy gateways: %.2f of the requests in the zone that gets three quarters, want 0.7", got)
	}
	if got := ownZoneShare(80, second); got < 0.7 {
		t.Errorf("80 gateways, warm engines: %.2f of the requests in the zone that gets three quarters, want 0.7", got)
	}
	// Half of the sessions are ranked regardless of the zone: half of 0.75 and half of 0.5 is 0.63.
	if got := ownZoneShare(80, 100*second); got < 0.55 || got > 0.68 {
		t.Errorf(
			"80 low-traffic gateways: %.2f of the requests in the zone that gets three quarters, want about 0.63",
			got,
		)
	}
}

// Edge cases of starting engines and unreachable zones: a capacity of 0 at the start, a start that the next list no
// longer contains, and zones that may have other numbers after a change of settings.
func TestSlowStartAndUnreachableZoneEdgeCases(t *testing.T) {
	s := testSettings()
	s.Zones, s.ColdCapacityFraction = 2, 0
	r := New(s, 1)
	list := twoZoneList(8)
	list.Engines[0].StartedAt = 100 * second
	feed(r, 100*second, list)
	if fraction := r.minCapacityFraction(r.engines[engineName(0)]); fraction != 0 {
		t.Errorf("capacity fraction %g of an engine that has just started, want 0", fraction)
	}
	list.Engines[0].StartedAt = 1e6 * second
	feed(r, 101*second, list)
	list.Engines[0].StartedAt = 0
	feed(r, 102*second, list)
	if r.fleetWarmUpEnd > 102*second {
		t.Error("the fleet's warm-up still ends with a start that is no longer listed")
	}
	r.unreachableByZone[0] = unreachableZoneThreshold
	r.UpdateSettings(s)
	if len(r.failureDomain(r.engines[engineName(0)])) != 1 {
		t.Error("a zone is still taken to be unreachable after its number may have changed")
	}
}

// Shedding is spread: however little value its requests have, no class and no tenant within its quota loses more than
// maxGroupShedRate of them, while all requests beyond a quota may be shed.
func TestNoClassOrTenantStarves(t *testing.T) {
	s := testSettings()
	s.Gateways, s.OverQuotaWeight = 1, 0.05
	s.Tenants = []Tenant{{QuotaRPS: 60}, {QuotaRPS: 60}, {QuotaRPS: 10}}
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Weight = 50
	for name, prepare := range map[string]func(i int64, q *Request) bool{
		"class": func(i int64, q *Request) bool { // its weight is a fiftieth of the other's
			q.Tenant = int(i / 2 % 2)
			q.Class = int(i % 2)
			return q.Class == 0
		},
		"tenant": func(i int64, q *Request) bool { // all prompts of tenant 0 are long
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
		sent, shed := 0.0, 0.0
		for i := int64(1); i <= 1200; i++ { // 100 a second
			now := i * 10 * ms
			r.shedFraction, r.shedFractionAt = 0.45, now
			q := newRequest(i, now+2*second)
			leastValuable := prepare(i, q)
			got := kinds(feed(r, now, q))
			if leastValuable && i > 200 {
				sent++
				if got == "shed " {
					shed++
				}
			}
		}
		if fraction := shed / sent; name == "beyond its quota" && fraction < 0.7 ||
			name != "beyond its quota" && (fraction < 0.3 || fraction > maxGroupShedRate+0.05) {
			t.Errorf("%s: %.2f of the least valuable requests shed", name, fraction)
		}
	}
}

// No starting engine gets more in any overload window than the rule permits: N plus 2 times the square root of N plus 2
// requests, where N is the overload factor times its capacity. This holds for all gateways together, for any number of
// gateways and any number that the settings state, from the first moment of a start that all learn of at once, with
// traffic spread evenly over the gateways or not, and with one engine starting or half of them.
func TestSlowStartLimitHoldsOverAllGateways(t *testing.T) {
	for _, gateways := range []int{2, 3, 5, 10, 20, 30, 40, 300} {
		for _, assumed := range []int{1, gateways, 10 * gateways} {
			// Three requests a second per engine, taken as what a warm one can serve; and one, of which a starting
			// engine may first get two per window.
			for _, rate := range []float64{300, 100} {
				testSlowStartLimit(t, gateways, assumed, rate, 1, assumed != gateways)
				testSlowStartLimit(t, gateways, assumed, rate, 50, true)
			}
		}
	}
}

// testSlowStartLimit restarts the first engines of a hundred, as many as starting says, all at once, while the gateways
// receive rate requests a second in total. It checks that none of the starting engines gets more requests in an
// overload window than the rule permits, and that the first one gets some. assumed is the number of gateways according
// to the gateways' settings. If uneven is set, a fifth of the gateways get six times the traffic of the others.
func testSlowStartLimit(t *testing.T, gateways, assumed int, rate float64, starting int, uneven bool) {
	const stepsPerWindow = 4 // the sliding window advances by a quarter of its length
	t.Run(
		fmt.Sprintf(
			"%d gateways, %d assumed, %g requests a second, %d starting, uneven %t",
			gateways,
			assumed,
			rate,
			starting,
			uneven,
		),
		func(t *testing.T) {
			t.Parallel()
			s := testSettings()
			s.Gateways, s.WarmUp, s.ColdCapacityFraction, s.OverloadFactor, s.OverloadWindow =
				gateways, 24*second, 0.13, 4, 3*second
			list := &EngineList{Kind: ListFull}
			for i := range 100 {
				list.Engines = append(list.Engines, Engine{Name: engineName(i), Size: 1})
			}
			g := newGatewayGroup(s, list)
			for i, r := range g.gateways {
				r.settings.Gateways = assumed
				if uneven && i%5 == 0 { // six times the traffic of the others
					g.gateways = append(g.gateways, r, r, r, r, r)
				}
			}
			g.run(20*second, rate, served)
			start := g.now
			for i := range starting {
				list.Engines[i].StartedAt = start
			}
			g.updateEngines(list)
			var snapshots []map[string]int
			for at := start; at < start+s.WarmUp; at += s.OverloadWindow / stepsPerWindow {
				snapshots = append(snapshots, maps.Clone(g.sentTo))
				g.run(s.OverloadWindow/stepsPerWindow, rate, served)
				if len(snapshots) < stepsPerWindow {
					continue
				}
				from := snapshots[len(snapshots)-stepsPerWindow]
				capacity := s.ColdCapacityFraction + (1-s.ColdCapacityFraction)*
					(seconds(g.now-start)-seconds(s.OverloadWindow)/2)/seconds(s.WarmUp)
				n := s.OverloadFactor * capacity * rate / 100 * seconds(s.OverloadWindow)
				for i := range starting {
					if got, limit := float64(
						g.sentTo[engineName(i)]-from[engineName(i)],
					), n+2*math.Sqrt(n)+2; got > limit {
						t.Errorf(
							"%g requests in the 3 s up to %g s after the start, limit %.1f",
							got,
							seconds(g.now-start),
							limit,
						)
					}
				}
			}
			if g.sentTo[engineName(0)] == snapshots[0][engineName(0)] {
				t.Error("the starting engine got no requests")
			}
		},
	)
}

// However much is shed, the requests with the longest prompts of a class, which have the least value for their work,
// are served at no less than two thirds of the class's rate; this holds for the longest tenth and for the next fifth.
// And sessions whose turns all have long prompts are not shed completely while most requests can be served.
func TestLargestRequestsKeepTheirShare(t *testing.T) {
	for _, classes := range []int{1, 3} {
		for _, shedFraction := range []float64{0.05, 0.15, 0.3, 0.6, 0.8} {
			s := testSettings()
			s.Gateways, s.HedgedRequests = 1, false
			s.Classes = slices.Repeat(s.Classes[:1], classes)
			for i := range s.Classes {
				s.Classes[i].Weight = float64(1 + 3*i)
			}
			r := New(s, 1)
			feed(r, 0, engineList("a", "b", "c"))
			type outcome struct {
				prompt float64
				shed   bool
			}
			all, sessions := make([][]outcome, classes), map[uint64][]bool{}
			rng := rand.New(rand.NewPCG(7, 7))
			for i := int64(1); i <= 6000; i++ { // 100 a second
				now := i * 10 * ms
				r.shedFraction, r.shedFractionAt = shedFraction, now
				q := newRequest(i, now+2*second)
				q.Class, q.Session = int(i-1)%classes, uint64(1+(i-1)%1500) // of four turns each
				q.PromptTokens = 500 * math.Exp(
					1.2*rand.New(rand.NewPCG(q.Session, 7)).NormFloat64()+0.2*rng.NormFloat64(),
				)
				shed := kinds(feed(r, now, q)) == "shed "
				all[q.Class] = append(all[q.Class], outcome{q.PromptTokens, shed})
				sessions[q.Session] = append(sessions[q.Session], shed)
			}
			servedFraction := func(outcomes []outcome) float64 {
				n := 0.0
				for _, o := range outcomes {
					if !o.shed {
						n++
					}
				}
				return n / float64(len(outcomes))
			}
			for class, outcomes := range all {
				ofClass := servedFraction(outcomes)
				slices.SortFunc(outcomes, func(a, b outcome) int { return cmp.Compare(b.prompt, a.prompt) })
				n := len(outcomes)
				for band, longest := range map[string][]outcome{
					"longest tenth": outcomes[:n/10], "fifth behind it": outcomes[n/10 : 3*n/10],
				} {
					if got := servedFraction(longest); got < 2.0/3*ofClass {
						t.Errorf(
							"%d classes, shed fraction %g: %.2f of class %d is served, and %.2f of its %s",
							classes,
							shedFraction,
							ofClass,
							class,
							got,
							band,
						)
					}
				}
			}
			// Sessions of which all four turns are shed, beyond the number to expect by chance at the class's rate.
			for class, outcomes := range all {
				allTurnsShed, count := 0.0, 0.0
				for session, turns := range sessions {
					if int(session-1)%classes == class {
						if count++; !slices.Contains(turns, false) {
							allTurnsShed++
						}
					}
				}
				if excess := allTurnsShed/count - math.Pow(1-servedFraction(outcomes), 4); shedFraction <= 0.15 &&
					excess > 0.1 {
					t.Errorf(
						"%d classes, shed fraction %g: %.2f of class %d is served, and %.2f of its sessions are shed "+
							"completely beyond chance",
						classes,
						shedFraction,
						servedFraction(outcomes),
						class,
						excess,
					)
				}
			}
		}
	}
}
