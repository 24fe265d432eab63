// Package member is the protocol of one node of a fleet: what it sends to the others, what it takes in from them,
// and what it may do by that. It joins the state machines of its neighbours (quota, counter, outlier, connectivity)
// and is deterministic like them: the time is an argument, what is to be sent is returned, and random draws come
// from a seed. The actor in internal/fleet does the I/O; the fleet simulation plays hundreds of members in virtual
// time.
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

// TransfersPerTick is how many transfers a member grants in a tick at its usual rate.
const TransfersPerTick = 8

// Slot is a place in the fleet that one node holds at a time.
type Slot struct {
	Name string
	Zone int
}

// Config is what all nodes of a fleet agree on, and which of them this one is.
type Config struct {
	Owner              quota.Owner
	Slots              []Slot
	Budgets            []*quota.Budget
	MaxRates           []int64       // by counter: what a node can add to it in a second
	GossipInterval     time.Duration // between two calls of Tick
	GossipFanout       int           // nodes that are sent a packet in each tick
	HeartbeatTimeout   time.Duration // after which a node that was not heard counts as gone
	ConnectivityTiming connectivity.Timing
	OutlierLimits      outlier.Limits
	ClockError         time.Duration // by which two clocks may differ
	RequestInterval    time.Duration // between two requests for quota of one budget, at the usual rate
	Seed               uint64        // of the random draws
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

	// By slot.
	lastAlive    []int64  // Unix nanoseconds, as far as known; 0: never heard
	incarnations []uint64 // the latest that an update came from; 0: none
	updates      []Update // the latest
	unforwarded  []bool   // the latest update has not been forwarded yet
	pending      map[int][]QuotaMessage

	// By budget.
	nextRequestAt  []int64 // before which no more quota is requested
	reviewedWindow []int64 // in which borrowed transfers were last looked through for those that are not needed

	nextSurplus int // the budget whose surplus is the first in the next update
	grantsLeft  int // in this tick
}

// New returns a member that starts now, in Unix nanoseconds.
func New(config Config, now int64, monitor *invariant.Monitor) *Member {
	slots, budgets := len(config.Slots), len(config.Budgets)
	m := &Member{
		Config:         config,
		Invariants:     monitor,
		Counters:       counter.New(slots, config.MaxRates, config.Owner, int64(config.ClockError), now, monitor),
		Detector:       outlier.New(config.OutlierLimits, config.Owner, monitor),
		Connectivity:   connectivity.New(config.ConnectivityTiming, now, monitor),
		rng:            rand.New(rand.NewPCG(config.Seed, uint64(config.Owner.Slot))),
		now:            now,
		lastAlive:      make([]int64, slots),
		incarnations:   make([]uint64, slots),
		updates:        make([]Update, slots),
		unforwarded:    make([]bool, slots),
		pending:        map[int][]QuotaMessage{},
		nextRequestAt:  make([]int64, budgets),
		reviewedWindow: make([]int64, budgets),
	}
	for _, budget := range config.Budgets {
		allocation := quota.NewAllocation(budget, config.Owner, int64(config.ClockError), now, monitor)
		m.Allocations = append(m.Allocations, allocation)
	}
	return m
}

// SetLease replaces the node's hold of its slot, in all budgets.
func (m *Member) SetLease(lease quota.Lease) {
	for _, allocation := range m.Allocations {
		allocation.SetLease(lease)
	}
}

// IsAlive reports whether a slot has been alive within the heartbeat timeout.
func (m *Member) IsAlive(slot int) bool {
	return m.lastAlive[slot] > 0 && m.now-m.lastAlive[slot] <= int64(m.HeartbeatTimeout)
}

// LivePeers is how many other slots have been alive within the heartbeat timeout.
func (m *Member) LivePeers() int {
	count := 0
	for slot := range m.lastAlive {
		if slot != m.Owner.Slot && m.IsAlive(slot) {
			count++
		}
	}
	return count
}

// Advance moves on to a time, in Unix nanoseconds, and returns the member's time, which never goes back.
func (m *Member) Advance(now int64) int64 {
	m.now = max(m.now, now)
	for _, allocation := range m.Allocations {
		allocation.Advance(m.now)
	}
	return m.now
}

// Tick is called once in each GossipInterval. It returns the packets that the node sends of its own accord, by
// slot. listed reports whether a slot is taken to be there by other means; nil: every one is.
func (m *Member) Tick(now int64, listed func(slot int) bool) []Outgoing {
	now = m.Advance(now)
	m.Connectivity.Update(now, m.LivePeers(), len(m.Slots)-1)
	rateFactor := m.Connectivity.RateFactor(now)
	m.grantsLeft = int(max(1, TransfersPerTick*rateFactor))
	for budget := range m.Allocations {
		m.requestQuota(budget, rateFactor)
		m.returnUnneeded(budget)
	}
	return m.packets(m.drawPeers(m.GossipFanout, listed))
}

// packets builds the packets of a tick: to the peers, and to all that quota messages are pending for.
func (m *Member) packets(peers []int) []Outgoing {
	var outgoing []Outgoing
	for _, slot := range peers {
		outgoing = append(outgoing, Outgoing{To: slot, Packet: m.buildPacket(slot)})
	}
	for _, slot := range slices.Sorted(maps.Keys(m.pending)) {
		if !slices.Contains(peers, slot) {
			outgoing = append(outgoing, Outgoing{To: slot, Packet: m.buildPacket(slot)})
		}
	}
	clear(m.pending)
	slices.SortFunc(outgoing, func(a, b Outgoing) int { return cmp.Compare(a.To, b.To) })
	return outgoing
}

// Receive takes in a packet, and returns what is to be sent at once. A malformed packet is ignored.
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

// wellFormed reports whether a packet keeps its bounds. What is in it is checked where it is taken in.
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
