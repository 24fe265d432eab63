// Package fleetsim simulates the members of a fleet, three or three hundred of them, in virtual time. It runs the
// real decision code of the nodes, with messages that are lost, delayed or blocked, nodes that are killed and restart,
// and clocks that are wrong. The same seed gives the same run.
package fleetsim

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"standpoint/internal/fleet/connectivity"
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/member"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/quota"
)

// Fault is the fault that is injected in the middle third of a run.
type Fault string

// The faults. Each begins after one third of the run and ends after two thirds.
const (
	None      Fault = "none"
	Partition Fault = "third"   // the first third of the nodes is partitioned from the others
	OneWay    Fault = "one-way" // the first third receives nothing from the others, which still receive from it
	Flap      Fault = "flap"    // the first third is partitioned in every other second
	Killed    Fault = "killed"  // half of the nodes are killed at once, and restart at random times until the fault ends
)

// Faults lists all faults.
var Faults = []Fault{None, Partition, OneWay, Flap, Killed}

// Plan is the parameters of one run. With a Demand above 1 the budget is not enough.
type Plan struct {
	Seed           uint64
	Nodes          int
	Duration       time.Duration // duration of the run, in virtual time
	Fault          Fault
	Loss           float64       // probability that a message is lost
	MaxClockError  time.Duration // maximum clock error, in either direction
	Window         time.Duration // the budget's window
	Demand         float64       // demand of all nodes together as a fraction of the budget
	DemandingShare float64       // fraction of the nodes that the demand comes from
	Backends       int           // backends that the nodes send requests to
	Sharing        bool          // whether nodes exchange evidence and quota; without, each detects outliers alone
}

// Result is the result of a run.
type Result struct {
	// Overspent is the maximum spending in any window less the budget. Above 0 the budget was exceeded.
	Overspent int64
	// Used is the spending as a fraction of the demand or the budget, whichever is less, without the time of the fault
	// and the 12 windows after it.
	Used float64
	// UsedDuringFault is the same from 5 windows after the start of the fault to its end. Each side has its nodes'
	// share of the budget; the lower result of both sides counts.
	UsedDuringFault float64
	// ConvergedAfter is the time in seconds from the end of the fault until every live node regards all others as live.
	ConvergedAfter float64
	// HealedAfter is the time in seconds from the end of the fault until all nodes are in the connectivity mode
	// Majority.
	HealedAfter float64
	// Bytes and Packets are sent per second and node.
	Bytes   float64
	Packets float64
	// ExcludedAfter is the time in seconds from the failure of a backend until the median node excludes it.
	ExcludedAfter float64
	// FalseExclusions counts the exclusions, by all nodes, of healthy and reachable backends on others' evidence.
	FalseExclusions int
	// Violations counts the violations of invariants, by name.
	Violations map[string]uint64
}

const (
	budgetAmount  = 10_000                // per window
	minDelay      = 2 * time.Millisecond  // of a message
	maxDelay      = 36 * time.Millisecond // of a message
	requestRate   = 2.0                   // requests to backends, per second and node
	settleWindows = 2                     // windows at the start that are left out of the results
)

// node is a simulated node. Slices are indexed by backend; times are in nanoseconds of virtual time.
type node struct {
	*member.Member
	alive               bool
	clockOffset         int64 // in nanoseconds
	incarnation         uint64
	consecutiveFailures []int   // of the node's own requests
	lastObserved        []int64 // time of the node's last request
	demand              float64 // quota wanted per window
	backlog             float64 // quota wanted and not yet spent
	excluded            []bool
	excludedFailingAt   int64 // when the node first excluded the failing backend; 0: not yet
}

// event is a function that runs at a point of virtual time. Events of the same time run in the order of scheduling.
type event struct {
	at    int64
	order uint64
	do    func()
}

// queue is a heap of events, the earliest first.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simulation is the state of a run. Times are in Unix nanoseconds of virtual time.
type simulation struct {
	Plan
	rng            *rand.Rand
	now            int64
	queue          queue
	order          uint64 // number of the last event scheduled
	nodes          []*node
	budget         *quota.Budget
	monitor        *invariant.Monitor
	startedAt      int64
	faultStart     int64
	faultEnd       int64
	spentByWindow  map[int64]int64
	spentBySide    [2]map[int64]int64 // by window
	bytes          int64              // of the sampled packets
	packets        int64              // packets sent
	sampledPackets int64              // packets that were encoded to measure their size
	result         Result
	failingBackend int // the backend that fails for all nodes
	failsAt        int64
}

// Run runs a simulation. It panics if the plan gives an invalid budget.
func Run(p Plan) Result {
	sim := &simulation{Plan: p, rng: rand.New(rand.NewPCG(p.Seed, 77)), monitor: &invariant.Monitor{},
		spentByWindow: map[int64]int64{}, startedAt: 1_700_000_000 * int64(time.Second)}
	sim.spentBySide = [2]map[int64]int64{{}, {}}
	sim.now = sim.startedAt
	sim.faultStart, sim.faultEnd = sim.startedAt+int64(p.Duration)/3, sim.startedAt+2*int64(p.Duration)/3
	sim.failingBackend, sim.failsAt = 0, sim.faultStart
	sim.budget = &quota.Budget{Name: "tokens", Amount: budgetAmount, Window: p.Window, TransferWindows: 4}
	for range p.Nodes {
		sim.budget.Weights = append(sim.budget.Weights, 1)
	}
	if err := sim.budget.Complete(); err != nil {
		panic(err) // an invalid plan is an error of the caller
	}
	demanding := max(1, int(float64(p.Nodes)*p.DemandingShare))
	for i := range p.Nodes {
		n := &node{incarnation: 1, clockOffset: int64((sim.rng.Float64()*2 - 1) * float64(p.MaxClockError))}
		if i%max(1, p.Nodes/demanding) == 0 && i/max(1, p.Nodes/demanding) < demanding {
			n.demand = p.Demand * budgetAmount / float64(demanding)
		}
		sim.nodes = append(sim.nodes, n)
		sim.startNode(i, false)
		sim.schedule(time.Duration(sim.rng.Int64N(int64(tickInterval))), func() { sim.tick(i) })
		sim.schedule(time.Duration(sim.rng.ExpFloat64()/requestRate*1e9), func() { sim.sendRequest(i) })
		sim.schedule(0, func() { sim.spendQuota(i) })
	}
	if p.Fault == Killed {
		sim.schedule(time.Duration(sim.faultStart-sim.now), func() {
			for i := range sim.nodes {
				if i%2 == 0 {
					sim.nodes[i].alive = false
					sim.schedule(time.Duration(sim.rng.Int64N(sim.faultEnd-sim.faultStart)),
						func() { sim.startNode(i, true) })
				}
			}
		})
	}
	allLive := false
	var checkRecovery func()
	checkRecovery = func() {
		if !allLive && sim.allPeersLive() {
			allLive, sim.result.ConvergedAfter = true, float64(sim.now-sim.faultEnd)/1e9
		}
		if sim.result.HealedAfter == 0 && !slices.ContainsFunc(sim.nodes, func(n *node) bool {
			m, _ := n.Connectivity.Current()
			return m != connectivity.Majority
		}) {
			sim.result.HealedAfter = float64(sim.now-sim.faultEnd) / 1e9
		}
		if !allLive || sim.result.HealedAfter == 0 {
			sim.schedule(20*time.Millisecond, checkRecovery)
		}
	}
	sim.schedule(time.Duration(sim.faultEnd-sim.now), checkRecovery)
	for end := sim.startedAt + int64(p.Duration); len(sim.queue) > 0 && sim.queue[0].at <= end; {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	if !allLive {
		sim.result.ConvergedAfter = float64(sim.now-sim.faultEnd) / 1e9 // not reached by the end of the run
	}
	if sim.result.HealedAfter == 0 {
		sim.result.HealedAfter = float64(sim.now-sim.faultEnd) / 1e9
	}
	sim.computeResult()
	return sim.result
}

// tickInterval is the interval at which nodes gossip.
const tickInterval = 250 * time.Millisecond

// schedule runs a function after a delay.
func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.queue, event{sim.now + int64(d), sim.order, do})
}

// startNode starts a node. With successor it is a new incarnation, which replaces one that was killed in the same
// directory.
func (sim *simulation) startNode(i int, successor bool) {
	n := sim.nodes[i]
	if successor {
		n.incarnation++
	}
	slots := make([]member.Slot, sim.Nodes)
	for k := range slots {
		slots[k].Zone = sim.side(k)
	}
	c := member.Config{Owner: quota.Owner{Slot: i, Incarnation: n.incarnation}, Slots: slots,
		Budgets: []*quota.Budget{sim.budget}, MaxRates: []int64{budgetAmount},
		GossipInterval: tickInterval, GossipFanout: 2, HeartbeatTimeout: 3 * time.Second,
		ConnectivityTiming: connectivity.Timing{JoinTimeout: 5 * time.Second, SettleTime: time.Second,
			RecoveryRamp: time.Second},
		ClockError: max(2*sim.MaxClockError, 50*time.Millisecond), RequestInterval: 100 * time.Millisecond, Seed: sim.Seed,
		OutlierLimits: outlier.Limits{MinSources: 2, EvidenceLifetime: int64(5 * time.Second),
			OwnEvidenceLifetime: int64(2 * time.Second), MaxEjectedShare: 0.5, IsolationShare: 0.34,
			ClockError: int64(max(2*sim.MaxClockError, 50*time.Millisecond))}}
	at := sim.now + n.clockOffset
	n.Member, n.alive = member.New(c, at, sim.monitor), true
	n.SetLease(quota.Lease{FencingToken: n.incarnation, ValidFrom: at, ExpiresAt: at + int64(time.Hour),
		Successor: successor})
	n.consecutiveFailures, n.lastObserved, n.excluded =
		make([]int, sim.Backends), make([]int64, sim.Backends), make([]bool, sim.Backends)
	var backends []outlier.Backend
	for s := range sim.Backends {
		backends = append(backends, outlier.Backend{Hash: uint64(s + 1), Zone: s % 2})
	}
	n.Detector.SetBackends(backends)
}

// side returns the side of a partition that node i is on: 0 for the first third of the nodes, 1 for the others.
func (sim *simulation) side(i int) int {
	if 3*i < sim.Nodes {
		return 0
	}
	return 1
}

// reachable reports whether the fault lets messages pass from one node to another at present.
func (sim *simulation) reachable(from, to int) bool {
	if sim.now < sim.faultStart || sim.now >= sim.faultEnd || sim.side(from) == sim.side(to) {
		return true
	}
	switch sim.Fault {
	case Partition:
		return false
	case OneWay:
		return sim.side(to) != 0
	case Flap:
		return (sim.now-sim.faultStart)/int64(time.Second)%2 == 1
	}
	return true
}

// sendPackets delivers packets after a random delay, unless they are blocked or lost. It duplicates one in a hundred.
// The size of one packet in 16 is measured, with 28 bytes of IPv4 and UDP headers added.
func (sim *simulation) sendPackets(from int, packets []member.Outgoing) {
	for _, s := range packets {
		sim.packets++
		if sim.packets%16 == 0 {
			raw, err := cbor.Marshal(s.Packet)
			if err != nil {
				panic(err) // packets can always be encoded
			}
			sim.bytes, sim.sampledPackets = sim.bytes+int64(len(raw))+28, sim.sampledPackets+1
		}
		if !sim.reachable(from, s.To) || sim.rng.Float64() < sim.Loss {
			continue
		}
		copies := 1
		if sim.rng.Float64() < 0.01 {
			copies = 2 // duplicated in the network
		}
		for range copies {
			sim.schedule(minDelay+time.Duration(sim.rng.Int64N(int64(maxDelay-minDelay))), func() {
				if n := sim.nodes[s.To]; n.alive {
					sim.sendPackets(s.To, n.Receive(sim.now+n.clockOffset, s.Packet))
				}
			})
		}
	}
}

// tick lets a node gossip, and updates its exclusions.
func (sim *simulation) tick(i int) {
	n := sim.nodes[i]
	if n.alive {
		var packets []member.Outgoing
		if sim.Sharing {
			packets = n.Tick(sim.now+n.clockOffset, nil)
		} else {
			n.Advance(sim.now + n.clockOffset)
		}
		sim.sendPackets(i, packets)
		sim.updateExclusions(n)
	}
	sim.schedule(tickInterval, func() { sim.tick(i) })
}

// spendQuota has a node spend a tenth of its demand per window, in every tenth of a window.
func (sim *simulation) spendQuota(i int) {
	n := sim.nodes[i]
	if n.alive && n.demand > 0 {
		n.Advance(sim.now + n.clockOffset)
		n.backlog = min(n.backlog+n.demand/10, n.demand) // includes what was denied before, up to one window's demand
		p := n.Allocations[0]
		for piece := int64(max(1, n.demand/200)); n.backlog >= float64(piece); n.backlog -= float64(piece) {
			if !p.Spend(piece, 0) {
				break
			}
			sim.spentByWindow[p.CurrentWindow()] += piece
			sim.spentBySide[sim.side(i)][p.CurrentWindow()] += piece
		}
		n.backlog = min(n.backlog, n.demand/10)
	}
	sim.schedule(sim.Window/10, func() { sim.spendQuota(i) })
}

// sendRequest has a node send a request to a random backend and observe the outcome. The failing backend fails for all
// nodes. In a partition, the backends of the other zone are unreachable from the first third.
func (sim *simulation) sendRequest(i int) {
	n := sim.nodes[i]
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/requestRate*1e9), func() { sim.sendRequest(i) })
	if !n.alive || sim.Backends == 0 {
		return
	}
	s := sim.rng.IntN(sim.Backends)
	if n.excluded[s] && sim.rng.IntN(20) > 0 { // an excluded backend gets one trial request in 20
		return
	}
	e := outlier.Evidence{BackendHash: uint64(s + 1), ObservedAt: sim.now + n.clockOffset}
	switch {
	case !sim.backendReachable(i, s):
		e.Kind = outlier.Unreachable
	case s == sim.failingBackend && sim.now >= sim.failsAt:
		e.Kind = outlier.BackendFault
	}
	if e.Kind == outlier.Healthy {
		n.consecutiveFailures[s] = 0
	} else {
		n.consecutiveFailures[s]++
	}
	if e.Kind != outlier.BackendFault || n.consecutiveFailures[s] >= 2 {
		n.Detector.Observe(e)
	}
	n.lastObserved[s] = sim.now
	sim.updateExclusions(n)
}

// backendReachable reports whether a node reaches a backend.
func (sim *simulation) backendReachable(i, s int) bool {
	return !(sim.Fault == Partition && sim.now >= sim.faultStart && sim.now < sim.faultEnd &&
		sim.side(i) == 0 && s%2 == 1)
}

// updateExclusions has a node exclude the backends that failed its own last two requests. With sharing it also excludes
// those that the evidence of other nodes speaks against, unless its own last request, made after that evidence,
// succeeded.
func (sim *simulation) updateExclusions(n *node) {
	for s := range n.excluded {
		n.excluded[s] = n.consecutiveFailures[s] >= 2
	}
	if sim.Sharing {
		for _, j := range n.Detector.Ejections(sim.now + n.clockOffset) {
			s := int(j.Backend.Hash) - 1
			if n.lastObserved[s]+n.clockOffset < j.LatestEvidence || n.consecutiveFailures[s] > 0 {
				if !n.excluded[s] && s != sim.failingBackend && !(sim.Fault == Partition && s%2 == 1) {
					sim.result.FalseExclusions++
				}
				n.excluded[s] = true
			}
		}
	}
	if sim.Backends > 0 && n.excluded[sim.failingBackend] && n.excludedFailingAt == 0 && sim.now >= sim.failsAt {
		n.excludedFailingAt = sim.now
	}
}

// allPeersLive reports whether every live node has received heartbeats of all other nodes within the heartbeat timeout.
func (sim *simulation) allPeersLive() bool {
	for _, n := range sim.nodes {
		if n.alive && n.LivePeers() < sim.Nodes-1 {
			return false
		}
	}
	return true
}

// computeResult computes the result at the end of a run.
func (sim *simulation) computeResult() {
	first := sim.budget.WindowAt(sim.startedAt) + settleWindows
	duringFault := func(at int64) bool {
		return sim.Fault != None && sim.budget.WindowStart(at+1) > sim.faultStart &&
			sim.budget.WindowStart(at) < sim.faultEnd+int64(12*sim.Window)
	}
	var used, available, sideUsed, sideAvailable [2]float64
	sideAvailable[0], sideAvailable[1] = 0, 0
	demand := [2]float64{}
	nodeCount := [2]float64{}
	for i, n := range sim.nodes {
		demand[sim.side(i)] += n.demand
		nodeCount[sim.side(i)]++
	}
	last := sim.budget.WindowAt(sim.startedAt+int64(sim.Duration)) - 1
	for at := sim.budget.WindowAt(sim.startedAt); at <= last+8; at++ {
		sim.result.Overspent = max(sim.result.Overspent, sim.spentByWindow[at]-budgetAmount)
	}
	for at := first; at <= last; at++ {
		if !duringFault(at) {
			used[0] += float64(sim.spentByWindow[at])
			available[0] += min(demand[0]+demand[1], budgetAmount)
			continue
		}
		if sim.budget.WindowStart(at) < sim.faultStart+int64(5*sim.Window) ||
			sim.budget.WindowStart(at+1) > sim.faultEnd {
			continue // quota transfers from before the fault have to expire first
		}
		for side := range 2 {
			sideUsed[side] += float64(sim.spentBySide[side][at])
			sideAvailable[side] += min(demand[side], budgetAmount*nodeCount[side]/float64(sim.Nodes))
		}
	}
	if available[0] > 0 {
		sim.result.Used = used[0] / available[0]
	}
	sim.result.UsedDuringFault = 1
	for side := range 2 {
		if sideAvailable[side] > 0 {
			sim.result.UsedDuringFault = min(sim.result.UsedDuringFault, sideUsed[side]/sideAvailable[side])
		}
	}
	if sim.sampledPackets > 0 {
		packetRate := float64(sim.packets) / float64(sim.Nodes) / sim.Duration.Seconds()
		sim.result.Packets, sim.result.Bytes = packetRate, packetRate*float64(sim.bytes)/float64(sim.sampledPackets)
	}
	var exclusionTimes []float64
	for _, n := range sim.nodes {
		if n.excludedFailingAt > 0 {
			exclusionTimes = append(exclusionTimes, float64(n.excludedFailingAt-sim.failsAt)/1e9)
		} else {
			exclusionTimes = append(exclusionTimes, sim.Duration.Seconds())
		}
	}
	slices.Sort(exclusionTimes)
	sim.result.ExcludedAfter = exclusionTimes[len(exclusionTimes)/2]
	sim.result.Violations = sim.monitor.Violations()
}
