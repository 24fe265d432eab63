// Package fleetsim plays the members of a fleet, three or three hundred of them, in virtual time: the real deciders, messages that
// are lost, late or cut off, nodes that are killed and come back, clocks that are off. The same seed gives the same play.
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

// Trouble is what befalls the fleet in the middle of a play.
type Trouble string

// The troubles. Each begins after a third of the play and ends after two.
const (
	None   Trouble = "none"
	Third  Trouble = "third"   // a third of the nodes is cut off from the others
	OneWay Trouble = "one-way" // the first third hears nobody, and is heard
	Flap   Trouble = "flap"    // that third is cut off in every other second
	Killed Trouble = "killed"  // half of the nodes are killed at once, and come back by and by
)

// Troubles are all of them.
var Troubles = []Trouble{None, Third, OneWay, Flap, Killed}

// Plan is one play.
type Plan struct {
	Seed    uint64
	Nodes   int
	Span    time.Duration
	Trouble Trouble
	Loss    float64
	Clock   time.Duration // by which clocks may be off, each way
	Window  time.Duration
	Wanted  float64 // of the budget, by all nodes together; more than 1: there is not enough
	Few     float64 // part of the nodes that want all of it
	Servers int
	Sharing bool // false: each node judges servers alone, and lends nothing
}

// Result is what came of a play.
type Result struct {
	Overspent  int64   // the most beyond the budget in any window
	Used       float64 // of what was wanted and there, while all were together
	UsedInCut  float64 // during the trouble, of what was wanted and there for the sides; the lowest side
	Agreed     float64 // seconds after the trouble until every node had heard every other that lives
	Healed     float64 // and until all were together by their modes
	Bytes      float64 // a second and node
	Packets    float64 // likewise
	RightAfter float64 // seconds from a server's failing until the median node left it out
	False      int     // judgements, by all nodes, on servers that were well and reached
	Broken     map[string]uint64
}

const (
	amount        = 10_000
	shortestDelay = 2 * time.Millisecond
	longestDelay  = 36 * time.Millisecond
	rate          = 2.0 // requests a second and node, by which nodes see servers
	settle        = 2   // windows at the beginning that do not count
)

type node struct {
	*member.Member
	up      bool
	off     int64
	inc     uint64
	alone   []int // own failures in a row, by server
	since   []int64
	want    float64 // a window
	owed    float64
	left    []bool // by server: has it left it out
	leftAll int64  // when it first left out the one that fails
}

type event struct {
	at    int64
	order uint64
	do    func()
}

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

type world struct {
	Plan
	rng     *rand.Rand
	now     int64
	queue   queue
	order   uint64
	nodes   []*node
	budget  *quota.Budget
	guard   *invariant.Monitor
	begin   int64
	from    int64 // of the trouble
	to      int64
	spent   map[int64]int64
	sides   [2]map[int64]int64
	bytes   int64
	packets int64
	sampled int64
	result  Result
	failing int // the server that fails for everybody
	failsAt int64
}

// Play plays a plan.
func Play(p Plan) Result {
	w := &world{Plan: p, rng: rand.New(rand.NewPCG(p.Seed, 77)), guard: &invariant.Monitor{}, spent: map[int64]int64{}, begin: 1_700_000_000 * int64(time.Second)}
	w.sides = [2]map[int64]int64{{}, {}}
	w.now = w.begin
	w.from, w.to = w.begin+int64(p.Span)/3, w.begin+2*int64(p.Span)/3
	w.failing, w.failsAt = 0, w.from
	w.budget = &quota.Budget{Name: "tokens", Amount: amount, Window: p.Window, TransferWindows: 4}
	for range p.Nodes {
		w.budget.Weights = append(w.budget.Weights, 1)
	}
	if err := w.budget.Complete(); err != nil {
		panic(err) // a plan that cannot be is its caller's fault
	}
	wanting := max(1, int(float64(p.Nodes)*p.Few))
	for i := range p.Nodes {
		n := &node{inc: 1, off: int64((w.rng.Float64()*2 - 1) * float64(p.Clock))}
		if i%max(1, p.Nodes/wanting) == 0 && i/max(1, p.Nodes/wanting) < wanting {
			n.want = p.Wanted * amount / float64(wanting)
		}
		w.nodes = append(w.nodes, n)
		w.start(i, false)
		w.after(time.Duration(w.rng.Int64N(int64(tick))), func() { w.tick(i) })
		w.after(time.Duration(w.rng.ExpFloat64()/rate*1e9), func() { w.request(i) })
		w.after(0, func() { w.spend(i) })
	}
	if p.Trouble == Killed {
		w.after(time.Duration(w.from-w.now), func() {
			for i := range w.nodes {
				if i%2 == 0 {
					w.nodes[i].up = false
					w.after(time.Duration(w.rng.Int64N(w.to-w.from)), func() { w.start(i, true) })
				}
			}
		})
	}
	agreed := false
	var watch func()
	watch = func() {
		if !agreed && w.agreed() {
			agreed, w.result.Agreed = true, float64(w.now-w.to)/1e9
		}
		if w.result.Healed == 0 && !slices.ContainsFunc(w.nodes, func(n *node) bool { m, _ := n.Connectivity.Current(); return m != connectivity.Majority }) {
			w.result.Healed = float64(w.now-w.to) / 1e9
		}
		if !agreed || w.result.Healed == 0 {
			w.after(20*time.Millisecond, watch)
		}
	}
	w.after(time.Duration(w.to-w.now), watch)
	for end := w.begin + int64(p.Span); len(w.queue) > 0 && w.queue[0].at <= end; {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	if !agreed {
		w.result.Agreed = float64(w.now-w.to) / 1e9 // not by the end
	}
	if w.result.Healed == 0 {
		w.result.Healed = float64(w.now-w.to) / 1e9
	}
	w.sum()
	return w.result
}

const tick = 250 * time.Millisecond

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + int64(d), w.order, do})
}

// start begins a life of a node; heir: one was killed on the same folder.
func (w *world) start(i int, heir bool) {
	n := w.nodes[i]
	if heir {
		n.inc++
	}
	seats := make([]member.Slot, w.Nodes)
	for k := range seats {
		seats[k].Zone = w.third(k)
	}
	c := member.Config{Owner: quota.Owner{Slot: i, Incarnation: n.inc}, Slots: seats, Budgets: []*quota.Budget{w.budget}, MaxRates: []int64{amount}, GossipInterval: tick, GossipFanout: 2,
		HeartbeatTimeout: 3 * time.Second, ConnectivityTiming: connectivity.Timing{JoinTimeout: 5 * time.Second, SettleTime: time.Second, RecoveryRamp: time.Second}, ClockError: max(2*w.Clock, 50*time.Millisecond), RequestInterval: 100 * time.Millisecond, Seed: w.Seed,
		OutlierLimits: outlier.Limits{MinSources: 2, EvidenceLifetime: int64(5 * time.Second), OwnEvidenceLifetime: int64(2 * time.Second), MaxEjectedShare: 0.5, IsolationShare: 0.34, ClockError: int64(max(2*w.Clock, 50*time.Millisecond))}}
	at := w.now + n.off
	n.Member, n.up = member.New(c, at, w.guard), true
	n.SetLease(quota.Lease{FencingToken: n.inc, ValidFrom: at, ExpiresAt: at + int64(time.Hour), Successor: heir})
	n.alone, n.since, n.left = make([]int, w.Servers), make([]int64, w.Servers), make([]bool, w.Servers)
	var all []outlier.Backend
	for s := range w.Servers {
		all = append(all, outlier.Backend{Hash: uint64(s + 1), Zone: s % 2})
	}
	n.Detector.SetBackends(all)
}

func (w *world) third(i int) int {
	if 3*i < w.Nodes {
		return 0
	}
	return 1
}

// reaches tells whether what a node sends now gets to another.
func (w *world) reaches(from, to int) bool {
	if w.now < w.from || w.now >= w.to || w.third(from) == w.third(to) {
		return true
	}
	switch w.Trouble {
	case Third:
		return false
	case OneWay:
		return w.third(to) != 0
	case Flap:
		return (w.now-w.from)/int64(time.Second)%2 == 1
	}
	return true
}

func (w *world) send(from int, all []member.Outgoing) {
	for _, s := range all {
		w.packets++
		if w.packets%16 == 0 {
			raw, err := cbor.Marshal(s.Packet)
			if err != nil {
				panic(err) // of this program's own type
			}
			w.bytes, w.sampled = w.bytes+int64(len(raw))+28, w.sampled+1
		}
		if !w.reaches(from, s.To) || w.rng.Float64() < w.Loss {
			continue
		}
		times := 1
		if w.rng.Float64() < 0.01 {
			times = 2 // doubled on its way
		}
		for range times {
			w.after(shortestDelay+time.Duration(w.rng.Int64N(int64(longestDelay-shortestDelay))), func() {
				if n := w.nodes[s.To]; n.up {
					w.send(s.To, n.Receive(w.now+n.off, s.Packet))
				}
			})
		}
	}
}

func (w *world) tick(i int) {
	n := w.nodes[i]
	if n.up {
		var out []member.Outgoing
		if w.Sharing {
			out = n.Tick(w.now+n.off, nil)
		} else {
			n.Advance(w.now + n.off)
		}
		w.send(i, out)
		w.judge(n)
	}
	w.after(tick, func() { w.tick(i) })
}

// spend wants a tenth of what the node wants in a window, every tenth of it.
func (w *world) spend(i int) {
	n := w.nodes[i]
	if n.up && n.want > 0 {
		n.Advance(w.now + n.off)
		n.owed = min(n.owed+n.want/10, n.want) // what could not be had is asked for again, within a window's worth
		p := n.Allocations[0]
		for piece := int64(max(1, n.want/200)); n.owed >= float64(piece); n.owed -= float64(piece) {
			if !p.Spend(piece, 0) {
				break
			}
			w.spent[p.CurrentWindow()] += piece
			w.sides[w.third(i)][p.CurrentWindow()] += piece
		}
		n.owed = min(n.owed, n.want/10)
	}
	w.after(w.Window/10, func() { w.spend(i) })
}

// request shows a node how one server does. The failing one errs, for everybody; in a trouble that cuts the third off, the
// servers of the other zone are not reached from there either.
func (w *world) request(i int) {
	n := w.nodes[i]
	w.after(time.Duration(w.rng.ExpFloat64()/rate*1e9), func() { w.request(i) })
	if !n.up || w.Servers == 0 {
		return
	}
	s := w.rng.IntN(w.Servers)
	if n.left[s] && w.rng.IntN(20) > 0 { // left out but for trials
		return
	}
	e := outlier.Evidence{BackendHash: uint64(s + 1), ObservedAt: w.now + n.off}
	switch {
	case !w.serves(i, s):
		e.Kind = outlier.Unreachable
	case s == w.failing && w.now >= w.failsAt:
		e.Kind = outlier.BackendFault
	}
	if e.Kind == outlier.Healthy {
		n.alone[s] = 0
	} else {
		n.alone[s]++
	}
	if e.Kind != outlier.BackendFault || n.alone[s] >= 2 {
		n.Detector.Observe(e)
	}
	n.since[s] = w.now
	w.judge(n)
}

// serves tells whether a node reaches a server.
func (w *world) serves(i, s int) bool {
	return !(w.Trouble == Third && w.now >= w.from && w.now < w.to && w.third(i) == 0 && s%2 == 1)
}

// judge has a node leave servers out: those that failed it twice in a row, and those that the others' evidence speaks against.
func (w *world) judge(n *node) {
	for s := range n.left {
		n.left[s] = n.alone[s] >= 2
	}
	if w.Sharing {
		for _, j := range n.Detector.Ejections(w.now + n.off) {
			s := int(j.Backend.Hash) - 1
			if n.since[s]+n.off < j.LatestEvidence || n.alone[s] > 0 {
				if !n.left[s] && s != w.failing && !(w.Trouble == Third && s%2 == 1) {
					w.result.False++
				}
				n.left[s] = true
			}
		}
	}
	if w.Servers > 0 && n.left[w.failing] && n.leftAll == 0 && w.now >= w.failsAt {
		n.leftAll = w.now
	}
}

// agreed tells that every node has heard every other that lives, within the time of silence less what is lost.
func (w *world) agreed() bool {
	for _, n := range w.nodes {
		if n.up && n.LivePeers() < w.Nodes-1 {
			return false
		}
	}
	return true
}

func (w *world) sum() {
	first := w.budget.WindowAt(w.begin) + settle
	inTrouble := func(at int64) bool {
		return w.Trouble != None && w.budget.WindowStart(at+1) > w.from && w.budget.WindowStart(at) < w.to+int64(12*w.Window)
	}
	var used, there, sideUsed, sideThere [2]float64
	sideThere[0], sideThere[1] = 0, 0
	want := [2]float64{}
	weight := [2]float64{}
	for i, n := range w.nodes {
		want[w.third(i)] += n.want
		weight[w.third(i)]++
	}
	last := w.budget.WindowAt(w.begin+int64(w.Span)) - 1
	for at := w.budget.WindowAt(w.begin); at <= last+8; at++ {
		w.result.Overspent = max(w.result.Overspent, w.spent[at]-amount)
	}
	for at := first; at <= last; at++ {
		if !inTrouble(at) {
			used[0] += float64(w.spent[at])
			there[0] += min(want[0]+want[1], amount)
			continue
		}
		if w.budget.WindowStart(at) < w.from+int64(5*w.Window) || w.budget.WindowStart(at+1) > w.to {
			continue // loans from before the cut end first
		}
		for side := range 2 {
			sideUsed[side] += float64(w.sides[side][at])
			sideThere[side] += min(want[side], amount*weight[side]/float64(w.Nodes))
		}
	}
	if there[0] > 0 {
		w.result.Used = used[0] / there[0]
	}
	w.result.UsedInCut = 1
	for side := range 2 {
		if sideThere[side] > 0 {
			w.result.UsedInCut = min(w.result.UsedInCut, sideUsed[side]/sideThere[side])
		}
	}
	if w.sampled > 0 {
		each := float64(w.packets) / float64(w.Nodes) / w.Span.Seconds()
		w.result.Packets, w.result.Bytes = each, each*float64(w.bytes)/float64(w.sampled)
	}
	var took []float64
	for _, n := range w.nodes {
		if n.leftAll > 0 {
			took = append(took, float64(n.leftAll-w.failsAt)/1e9)
		} else {
			took = append(took, w.Span.Seconds())
		}
	}
	slices.Sort(took)
	w.result.RightAfter = took[len(took)/2]
	w.result.Broken = w.guard.Violations()
}
