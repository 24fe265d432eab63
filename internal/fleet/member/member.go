// Package member implements the protocol of one node of a fleet: which packets it sends, how it handles those of other
// nodes, and what it may spend as a result. It combines the state machines of the packages quota, counter, outlier
// and connectivity, and is deterministic like them: the time is an argument, packets to send are returned, and random
// draws come from a seed. The actor in internal/fleet does the I/O; the fleet simulation runs hundreds of members in
// virtual time.
package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"standpoint/internal/fleet/connectivity"
	"standpoint/internal/fleet/counter"
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/quota"
)

// TransfersPerTick is the maximum number of transfers that a member grants in a tick at its usual rate. At a lower rate
// the maximum is lower, but at least 1.
const TransfersPerTick = 8

// Slot is a member slot of the fleet. One node at a time holds it.
type Slot struct {
	Name string
	Zone int
}

// Config is the configuration of a member. All nodes of a fleet have the same, except for Owner and Seed.
type Config struct {
	Owner              quota.Owner // this incarnation and its slot
	Slots              []Slot
	Budgets            []*quota.Budget
	MaxRates           []int64       // by counter: maximum that one node adds to it in a second
	GossipInterval     time.Duration // time between two calls of Tick
	GossipFanout       int           // number of nodes that are sent a packet in each tick
	HeartbeatTimeout   time.Duration // time without a heartbeat after which a node counts as down
	ConnectivityTiming connectivity.Timing
	OutlierLimits      outlier.Limits
	ClockError         time.Duration // maximum difference between the clocks of two nodes
	RequestInterval    time.Duration // mean time between two requests for quota of a budget, at the usual rate
	Seed               uint64        // seed of the random draws
}

// Member is the state of one node. It is not safe for concurrent use.
type Member struct {
	Config
	Invariants   *invariant.Monitor
	Allocations  []*quota.Allocation // by budget
	Counters     *counter.Table
	Detector     *outlier.Detector
	Connectivity *connectivity.Machine

	rng *rand.Rand
	now int64

	// Indexed by slot.
	lastAlive       []int64                // latest time at which the slot was alive, Unix nanoseconds; 0 if never
	incarnations    []uint64               // incarnation that the latest update came from; 0 if there is none
	updates         []Update               // latest update
	unforwarded     []bool                 // whether the latest update has not been forwarded yet
	pendingMessages map[int][]QuotaMessage // quota messages for the next packet to the slot

	// Indexed by budget.
	nextRequestAt  []int64 // time before which no more quota is requested, Unix nanoseconds
	reviewedWindow []int64 // window in which unneeded transfers were last returned

	firstSurplusBudget int // index, modulo the number of budgets, of the first surplus in the next update
	grantsLeft         int // number of transfers that may still be granted in this tick
}

// New returns a member that starts now, in Unix nanoseconds.
func New(config Config, now int64, monitor *invariant.Monitor) *Member {
	slots, budgets := len(config.Slots), len(config.Budgets)
	m := &Member{
		Config:          config,
		Invariants:      monitor,
		Counters:        counter.New(slots, config.MaxRates, config.Owner, int64(config.ClockError), now, monitor),
		Detector:        outlier.New(config.OutlierLimits, config.Owner, monitor),
		Connectivity:    connectivity.New(config.ConnectivityTiming, now, monitor),
		rng:             rand.New(rand.NewPCG(config.Seed, uint64(config.Owner.Slot))),
		now:             now,
		lastAlive:       make([]int64, slots),
		incarnations:    make([]uint64, slots),
		updates:         make([]Update, slots),
		unforwarded:     make([]bool, slots),
		pendingMessages: map[int][]QuotaMessage{},
		nextRequestAt:   make([]int64, budgets),
		reviewedWindow:  make([]int64, budgets),
	}
	for _, budget := range config.Budgets {
		allocation := quota.NewAllocation(budget, config.Owner, int64(config.ClockError), now, monitor)
		m.Allocations = append(m.Allocations, allocation)
	}
	return m
}

// SetLease sets the lease of the node's slot in all budgets.
func (m *Member) SetLease(lease quota.Lease) {
	for _, allocation := range m.Allocations {
		allocation.SetLease(lease)
	}
}

// IsAlive reports whether a slot has been alive within the heartbeat timeout.
func (m *Member) IsAlive(slot int) bool {
	return m.lastAlive[slot] > 0 && m.now-m.lastAlive[slot] <= int64(m.HeartbeatTimeout)
}

// LivePeers returns the number of other slots that have been alive within the heartbeat timeout.
func (m *Member) LivePeers() int {
	count := 0
	for slot := range m.lastAlive {
		if slot != m.Owner.Slot && m.IsAlive(slot) {
			count++
		}
	}
	return count
}

// Advance advances the member's time to now, in Unix nanoseconds, and returns it. It is never set back.
func (m *Member) Advance(now int64) int64 {
	m.now = max(m.now, now)
	for _, allocation := range m.Allocations {
		allocation.Advance(m.now)
	}
	return m.now
}

// Tick is called once in each GossipInterval. It returns the packets to send now, in the order of their slots. listed
// reports whether a slot is up by the member list of the transport; if it is nil, all are taken to be.
func (m *Member) Tick(now int64, listed func(slot int) bool) []Outgoing {
	now = m.Advance(now)
	m.Connectivity.Update(now, m.LivePeers(), len(m.Slots)-1)
	rateFactor := m.Connectivity.RateFactor(now)
	m.grantsLeft = int(max(1, TransfersPerTick*rateFactor))
	for budget := range m.Allocations {
		m.requestQuota(budget, rateFactor)
		m.returnUnneeded(budget)
	}
	return m.packets(m.samplePeers(m.GossipFanout, listed))
}

// packets builds the packets of a tick: to the peers, and to all slots with pending quota messages.
func (m *Member) packets(peers []int) []Outgoing {
	var outgoing []Outgoing
	for _, slot := range peers {
		outgoing = append(outgoing, Outgoing{To: slot, Packet: m.buildPacket(slot)})
	}
	for _, slot := range slices.Sorted(maps.Keys(m.pendingMessages)) {
		if !slices.Contains(peers, slot) {
			outgoing = append(outgoing, Outgoing{To: slot, Packet: m.buildPacket(slot)})
		}
	}
	clear(m.pendingMessages)
	slices.SortFunc(outgoing, func(a, b Outgoing) int { return cmp.Compare(a.To, b.To) })
	return outgoing
}

// Receive handles a packet, and returns the packets to send at once. A malformed packet is ignored.
func (m *Member) Receive(now int64, packet Packet) []Outgoing {
	now = m.Advance(now)
	if !m.wellFormed(packet) {
		return nil
	}
	m.markAlive(packet.From.Slot, now)
	for i, age := range packet.HeartbeatAges {
		if age != ageUnknown {
			m.markAlive((packet.FirstSlot+i)%len(m.Slots), now-int64(age)*packet.AgeUnit)
		}
	}
	for _, update := range packet.Updates {
		m.mergeUpdate(update)
	}
	var replies []QuotaMessage
	for _, message := range packet.QuotaMessages {
		if reply, ok := m.handleQuotaMessage(packet.From, message); ok {
			replies = append(replies, reply)
		}
	}
	if len(replies) == 0 {
		return nil
	}
	return []Outgoing{{To: packet.From.Slot, Packet: Packet{From: m.Owner, QuotaMessages: replies}}}
}

// wellFormed reports whether a packet is within its bounds. Its elements are checked where they are handled.
func (m *Member) wellFormed(packet Packet) bool {
	slots := len(m.Slots)
	switch {
	case packet.From.Slot < 0 || packet.From.Slot >= slots || packet.From.Slot == m.Owner.Slot:
		return false
	case len(packet.Updates) > 1+MaxForwardedUpdates || len(packet.QuotaMessages) > MaxQuotaMessages:
		return false
	case len(packet.HeartbeatAges) > MaxHeartbeats || len(packet.HeartbeatAges) > slots:
		return false
	case packet.FirstSlot < 0 || packet.FirstSlot >= slots:
		return false
	}
	return packet.AgeUnit >= 0 && packet.AgeUnit <= int64(time.Hour)
}
