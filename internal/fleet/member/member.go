// Package member is one node of a fleet as its others know it: what it tells them, what it takes in from them, and what it may
// do by that. It joins the deciders of its neighbours (rights, tally, judge, mode) and is pure like them: time is passed in,
// what is to be sent is returned, and what is drawn comes from a seed. The actor in internal/fleet does the I/O; the laboratory
// plays hundreds of members in virtual time.
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

// Bounds of what is sent and done at once.
const (
	MaxHeartbeats       = 600 // signs of life in a packet, a byte each
	MaxForwardedUpdates = 5   // of others, in a packet
	MaxQuotaMessages    = 16  // asks, loans and returns in a packet
	MaxSurpluses        = 8   // budgets of which a piece of news says what is spare
	TransfersPerTick    = 8   // loans given in a tick at the usual pace
	lendersPerRequest   = 3   // lenders that are asked at once
	minAgeUnit          = 10 * time.Millisecond
	ageUnknown          = 0xff // in place of an age: not heard, or too long ago
)

// Slot is a place in the fleet that one node has at a time.
type Slot struct {
	Name string
	Zone int
}

// Config is what all nodes of a fleet agree on, and which of them this one is.
type Config struct {
	Owner              quota.Owner
	Slots              []Slot
	Budgets            []*quota.Budget
	MaxRates           []int64 // by count: what a node can add in a second
	GossipInterval     time.Duration
	GossipFanout       int           // to which news goes in each tick
	HeartbeatTimeout   time.Duration // after which a node counts as not heard
	ConnectivityTiming connectivity.Timing
	OutlierLimits      outlier.Limits
	ClockError         time.Duration // of clocks
	RequestInterval    time.Duration // between two asks for rights of one budget, at the usual pace
	Seed               uint64
}

// Surplus is what a node could lend of a budget when it told so.
type Surplus struct {
	Budget int   `cbor:"1,keyasint"`
	Amount int64 `cbor:"2,keyasint"`
}

// Update is what one life of a node tells of itself; it is passed on as it is.
type Update struct {
	Counters  counter.Snapshot   `cbor:"1,keyasint"`
	Surpluses []Surplus          `cbor:"2,keyasint,omitempty"`
	Evidence  []outlier.Evidence `cbor:"3,keyasint,omitempty"`
}

// QuotaMessageKind says what an order is.
type QuotaMessageKind uint8

// The orders.
const (
	RequestQuota   QuotaMessageKind = iota // for rights of the windows from First on, for Last - First + 1 of them at the most
	GrantTransfer                          // a loan
	ReturnTransfer                         // a loan ends early, after Last
)

// QuotaMessage is one message about rights, between two owners.
type QuotaMessage struct {
	Kind        QuotaMessageKind `cbor:"1,keyasint"`
	BudgetHash  uint64           `cbor:"2,keyasint"` // its definition
	To          quota.Owner      `cbor:"3,keyasint"` // of an ask, any life of the seat
	Number      uint64           `cbor:"4,keyasint,omitempty"`
	Amount      int64            `cbor:"5,keyasint,omitempty"`
	FirstWindow int64            `cbor:"6,keyasint,omitempty"`
	LastWindow  int64            `cbor:"7,keyasint,omitempty"`
}

// Packet is what goes from one node to another.
type Packet struct {
	From          quota.Owner    `cbor:"1,keyasint"`
	AgeUnit       int64          `cbor:"5,keyasint,omitempty"` // of the ages, nanoseconds
	FirstSlot     int            `cbor:"6,keyasint,omitempty"` // seat of the first age
	HeartbeatAges []byte         `cbor:"2,keyasint,omitempty"` // how long ago each seat was alive, as far as the sender knows
	Updates       []Update       `cbor:"3,keyasint,omitempty"`
	QuotaMessages []QuotaMessage `cbor:"4,keyasint,omitempty"`
}

// Outgoing is a packet and the seat that it is for.
type Outgoing struct {
	To     int
	Packet Packet
}

// Member is one node's part.
type Member struct {
	Config
	Invariants   *invariant.Monitor
	Allocations  []*quota.Allocation
	Counters     *counter.Table
	Detector     *outlier.Detector
	Connectivity *connectivity.Machine

	rng              *rand.Rand
	now              int64
	lastAlive        []int64 // by seat: when it was last alive as far as known; 0: never heard
	incarnations     []uint64
	updates          []Update // by seat, the newest
	unforwarded      []bool   // it has not been passed on yet
	nextSurplus      int      // of the budgets whose spare is told
	nextRequestAt    []int64
	reviewedWindow   []int64 // by budget: the window in which loans were last looked through for what is not wanted
	grantsLeft       int
	pending          map[int][]QuotaMessage // owed to seats
	malformedPackets int                    // packets that said what cannot be
}

// New makes a member that starts now.
func New(c Config, now int64, g *invariant.Monitor) *Member {
	m := &Member{Config: c, Invariants: g, rng: rand.New(rand.NewPCG(c.Seed, uint64(c.Owner.Slot))), now: now, lastAlive: make([]int64, len(c.Slots)),
		incarnations: make([]uint64, len(c.Slots)), updates: make([]Update, len(c.Slots)), unforwarded: make([]bool, len(c.Slots)), nextRequestAt: make([]int64, len(c.Budgets)), reviewedWindow: make([]int64, len(c.Budgets)),
		pending: map[int][]QuotaMessage{}, Counters: counter.New(len(c.Slots), c.MaxRates, c.Owner, int64(c.ClockError), now, g), Detector: outlier.New(c.OutlierLimits, c.Owner, g), Connectivity: connectivity.New(c.ConnectivityTiming, now, g)}
	for _, b := range c.Budgets {
		m.Allocations = append(m.Allocations, quota.NewAllocation(b, c.Owner, int64(c.ClockError), now, g))
	}
	return m
}

// SetLease takes in the node's hold of its seat.
func (m *Member) SetLease(l quota.Lease) {
	for _, p := range m.Allocations {
		p.SetLease(l)
	}
}

// IsAlive tells whether a seat has been alive within the time of silence.
func (m *Member) IsAlive(seat int) bool {
	return m.lastAlive[seat] > 0 && m.now-m.lastAlive[seat] <= int64(m.HeartbeatTimeout)
}

// LivePeers is how many other seats have been alive within the time of silence.
func (m *Member) LivePeers() int {
	n := 0
	for i := range m.lastAlive {
		if i != m.Owner.Slot && m.IsAlive(i) {
			n++
		}
	}
	return n
}

// Advance goes on to a time, which never goes back.
func (m *Member) Advance(now int64) int64 {
	m.now = max(m.now, now)
	for _, p := range m.Allocations {
		p.Advance(m.now)
	}
	return m.now
}

// Tick is called every Tick: it is what the node tells, asks and gives back by itself.
func (m *Member) Tick(now int64, alive func(seat int) bool) []Outgoing {
	now = m.Advance(now)
	m.Connectivity.Update(now, m.LivePeers(), len(m.Slots)-1)
	pace := m.Connectivity.RateFactor(now)
	m.grantsLeft = int(max(1, TransfersPerTick*pace))
	for i, p := range m.Allocations {
		m.requestQuota(i, p, pace)
		if w := p.CurrentWindow(); w > m.reviewedWindow[i] {
			m.reviewedWindow[i] = w
			for _, l := range p.ReturnUnneeded() {
				m.enqueue(l.Lender.Slot, QuotaMessage{Kind: ReturnTransfer, BudgetHash: p.DefinitionHash(), To: l.Lender, Number: l.Number, LastWindow: l.LastWindow})
			}
		}
	}
	var out []Outgoing
	for _, seat := range m.drawPeers(m.GossipFanout, alive) {
		out = append(out, Outgoing{seat, m.buildPacket(seat)})
	}
	for _, seat := range slices.Sorted(maps.Keys(m.pending)) {
		if !slices.ContainsFunc(out, func(s Outgoing) bool { return s.To == seat }) {
			out = append(out, Outgoing{seat, m.buildPacket(seat)})
		}
	}
	clear(m.pending)
	slices.SortFunc(out, func(a, b Outgoing) int { return cmp.Compare(a.To, b.To) })
	return out
}

// drawPeers draws seats that news goes to. Those that are taken to be gone are tried too, now and then: nobody else would find
// out that a cut has healed.
func (m *Member) drawPeers(n int, alive func(int) bool) []int {
	var some []int
	for range 4 * n {
		seat := m.rng.IntN(len(m.Slots))
		if len(some) >= n || len(m.Slots) < 2 {
			break
		}
		if seat == m.Owner.Slot || slices.Contains(some, seat) || alive != nil && !alive(seat) && m.rng.IntN(8) > 0 {
			continue
		}
		some = append(some, seat)
	}
	return some
}

func (m *Member) enqueue(seat int, o QuotaMessage) {
	if len(m.pending[seat]) < MaxQuotaMessages {
		m.pending[seat] = append(m.pending[seat], o)
	}
}

// buildPacket is what a seat is told now: this node's own news, some of others', signs of life, and the orders owed to it.
func (m *Member) buildPacket(to int) Packet {
	p := Packet{From: m.Owner, Updates: []Update{m.ownUpdate()}, QuotaMessages: m.pending[to]}
	from := m.rng.IntN(len(m.Slots))
	for _, fresh := range []bool{true, false} { // what came anew first
		for i := range m.Slots {
			if seat := (from + i) % len(m.Slots); len(p.Updates) <= MaxForwardedUpdates && seat != to && seat != m.Owner.Slot && m.incarnations[seat] != 0 && m.unforwarded[seat] == fresh {
				p.Updates = append(p.Updates, m.updates[seat])
				m.unforwarded[seat] = false
			}
		}
	}
	// Ages, not times: nobody's clock matters for who is heard.
	p.AgeUnit = int64(max(minAgeUnit, m.HeartbeatTimeout/(ageUnknown-1)))
	if len(m.Slots) > MaxHeartbeats {
		p.FirstSlot = from
	}
	for i := range min(len(m.Slots), MaxHeartbeats) {
		seat := (p.FirstSlot + i) % len(m.Slots)
		age := (m.now - m.lastAlive[seat] + p.AgeUnit - 1) / p.AgeUnit
		if m.lastAlive[seat] == 0 || age >= ageUnknown {
			age = ageUnknown
		}
		p.HeartbeatAges = append(p.HeartbeatAges, byte(age))
	}
	return p
}

func (m *Member) ownUpdate() Update {
	n := Update{Counters: m.Counters.OwnSnapshot(m.now), Evidence: m.Detector.EvidenceToPublish(m.now)}
	for i := range m.Allocations {
		k := (m.nextSurplus + i) % len(m.Allocations)
		p := m.Allocations[k]
		if w := p.CurrentWindow(); len(n.Surpluses) < MaxSurpluses {
			if spare := p.Surplus(w, w+int64(p.TransferWindows)-1); spare > 0 {
				n.Surpluses = append(n.Surpluses, Surplus{k, spare})
			}
		}
	}
	m.nextSurplus++
	return n
}

// requestQuota asks for rights that are wanted and lacking.
func (m *Member) requestQuota(i int, p *quota.Allocation, pace float64) {
	w := p.CurrentWindow()
	first, lack := w, p.Shortfall(w)
	if next := p.Shortfall(w + 1); lack == 0 && next > 0 {
		first, lack = w+1, next
	}
	if lack == 0 || pace == 0 || m.now < m.nextRequestAt[i] {
		return
	}
	// Half of the time is drawn: many find out together that they lack something.
	m.nextRequestAt[i] = m.now + int64(float64(m.RequestInterval)*(0.5+m.rng.Float64())/pace)
	lenders := m.drawLenders(i)
	for _, seat := range lenders {
		m.enqueue(seat, QuotaMessage{Kind: RequestQuota, BudgetHash: p.DefinitionHash(), To: quota.Owner{Slot: seat}, Amount: lack/int64(len(lenders)) + 1, FirstWindow: first, LastWindow: first + int64(p.TransferWindows) - 1})
	}
}

// drawLenders are the seats that are asked: drawn by what they could lend when last heard; where nothing is known of anybody, drawn.
func (m *Member) drawLenders(budget int) []int {
	type candidate struct {
		seat  int
		spare float64
	}
	var all []candidate
	sum := 0.0
	for seat, n := range m.updates {
		if seat == m.Owner.Slot || m.incarnations[seat] == 0 || m.now-m.lastAlive[seat] > int64(m.HeartbeatTimeout) {
			continue
		}
		for _, s := range n.Surpluses {
			if s.Budget == budget && s.Amount > 0 {
				all = append(all, candidate{seat, float64(s.Amount)})
				sum += float64(s.Amount)
			}
		}
	}
	if len(all) == 0 {
		return m.drawPeers(lendersPerRequest, func(seat int) bool { return m.now-m.lastAlive[seat] <= int64(m.HeartbeatTimeout) })
	}
	var some []int
	for len(some) < lendersPerRequest && len(all) > 0 {
		at := m.rng.Float64() * sum
		i := 0
		for i < len(all)-1 && at >= all[i].spare {
			at -= all[i].spare
			i++
		}
		some = append(some, all[i].seat)
		sum -= all[i].spare
		all = slices.Delete(all, i, i+1)
	}
	return some
}

// Receive takes a packet in, and returns what is to be sent at once.
func (m *Member) Receive(now int64, p Packet) []Outgoing {
	now = m.Advance(now)
	if p.From.Slot < 0 || p.From.Slot >= len(m.Slots) || p.From.Slot == m.Owner.Slot || len(p.Updates) > 1+MaxForwardedUpdates || len(p.QuotaMessages) > MaxQuotaMessages ||
		len(p.HeartbeatAges) > MaxHeartbeats || len(p.HeartbeatAges) > len(m.Slots) || p.FirstSlot < 0 || p.FirstSlot >= len(m.Slots) || p.AgeUnit < 0 || p.AgeUnit > int64(time.Hour) {
		m.malformedPackets++
		return nil
	}
	m.markAlive(p.From.Slot, now)
	for i, age := range p.HeartbeatAges {
		if age != ageUnknown {
			m.markAlive((p.FirstSlot+i)%len(m.Slots), now-int64(age)*p.AgeUnit)
		}
	}
	for _, n := range p.Updates {
		m.mergeUpdate(n)
	}
	var back []QuotaMessage
	for _, o := range p.QuotaMessages {
		if answer, ok := m.handleQuotaMessage(p.From, o); ok {
			back = append(back, answer)
		}
	}
	if len(back) == 0 {
		return nil
	}
	return []Outgoing{{p.From.Slot, Packet{From: m.Owner, QuotaMessages: back}}}
}

func (m *Member) markAlive(seat int, at int64) {
	if seat >= 0 && seat < len(m.lastAlive) && seat != m.Owner.Slot {
		m.lastAlive[seat] = max(m.lastAlive[seat], min(at, m.now))
	}
}

func (m *Member) mergeUpdate(n Update) {
	seat := n.Counters.Owner.Slot
	if seat < 0 || seat >= len(m.Slots) || len(n.Surpluses) > MaxSurpluses || len(n.Evidence) > outlier.MaxEvidencePerNode || !m.Counters.Merge(n.Counters, m.now) {
		return
	}
	for _, e := range n.Evidence {
		m.Detector.Receive(n.Counters.Owner, m.Slots[seat].Zone, e, m.now)
	}
	if n.Counters.Owner.Incarnation >= m.incarnations[seat] {
		m.incarnations[seat], m.updates[seat], m.unforwarded[seat] = n.Counters.Owner.Incarnation, n, true
	}
}

func (m *Member) handleQuotaMessage(from quota.Owner, o QuotaMessage) (QuotaMessage, bool) {
	i := slices.IndexFunc(m.Budgets, func(b *quota.Budget) bool { return b.DefinitionHash() == o.BudgetHash })
	if i < 0 || o.To.Slot != m.Owner.Slot {
		return QuotaMessage{}, false // another definition: nothing is lent between those that do not mean the same
	}
	p := m.Allocations[i]
	switch o.Kind {
	case RequestQuota:
		if m.grantsLeft <= 0 || o.LastWindow < o.FirstWindow || o.LastWindow-o.FirstWindow >= quota.MaxWindows {
			return QuotaMessage{}, false
		}
		l, ok := p.Lend(from, o.Amount, o.FirstWindow, int(o.LastWindow-o.FirstWindow+1))
		lent := QuotaMessage{Kind: GrantTransfer, BudgetHash: o.BudgetHash, To: l.Borrower, Number: l.Number, Amount: l.Amount, FirstWindow: l.FirstWindow, LastWindow: l.LastWindow}
		if ok {
			m.grantsLeft--
			m.enqueue(from.Slot, lent) // told once more with the next tick: one that is lost is spent by nobody until its end
		}
		return lent, ok
	case GrantTransfer:
		p.Accept(quota.Transfer{Lender: from, Number: o.Number, Borrower: o.To, Amount: o.Amount, FirstWindow: o.FirstWindow, LastWindow: o.LastWindow})
	case ReturnTransfer:
		if o.To == m.Owner {
			p.AcceptReturn(from, o.Number, o.LastWindow)
		}
	}
	return QuotaMessage{}, false
}
