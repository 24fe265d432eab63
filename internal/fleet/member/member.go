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

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/judge"
	"standpoint/internal/fleet/mode"
	"standpoint/internal/fleet/rights"
	"standpoint/internal/fleet/tally"
)

// Bounds of what is sent and done at once.
const (
	BeatsMost  = 600 // signs of life in a packet, a byte each
	NewsMost   = 5   // of others, in a packet
	OrdersMost = 16  // asks, loans and returns in a packet
	SparesMost = 8   // budgets of which a piece of news says what is spare
	LoansATick = 8   // loans given in a tick at the usual pace
	asked      = 3   // lenders that are asked at once
	beatLeast  = 10 * time.Millisecond
	beatNever  = 0xff // in place of an age: not heard, or too long ago
)

// Seat is a place in the fleet that one node has at a time.
type Seat struct {
	Name string
	Zone int
}

// Config is what all nodes of a fleet agree on, and which of them this one is.
type Config struct {
	Own     rights.Owner
	Seats   []Seat
	Budgets []*rights.Budget
	Most    []int64 // by count: what a node can add in a second
	Tick    time.Duration
	Peers   int           // to which news goes in each tick
	Silence time.Duration // after which a node counts as not heard
	Mode    mode.Limits
	Judge   judge.Limits
	Error   time.Duration // of clocks
	Ask     time.Duration // between two asks for rights of one budget, at the usual pace
	Seed    uint64
}

// Spare is what a node could lend of a budget when it told so.
type Spare struct {
	Budget int   `cbor:"1,keyasint"`
	Amount int64 `cbor:"2,keyasint"`
}

// News is what one life of a node tells of itself; it is passed on as it is.
type News struct {
	Row    tally.Row        `cbor:"1,keyasint"`
	Spares []Spare          `cbor:"2,keyasint,omitempty"`
	Seen   []judge.Evidence `cbor:"3,keyasint,omitempty"`
}

// OrderKind says what an order is.
type OrderKind uint8

// The orders.
const (
	Ask    OrderKind = iota // for rights of the windows from First on, for Last - First + 1 of them at the most
	Lend                    // a loan
	Return                  // a loan ends early, after Last
)

// Order is one message about rights, between two owners.
type Order struct {
	Kind   OrderKind    `cbor:"1,keyasint"`
	Budget uint64       `cbor:"2,keyasint"` // its definition
	To     rights.Owner `cbor:"3,keyasint"` // of an ask, any life of the seat
	Number uint64       `cbor:"4,keyasint,omitempty"`
	Amount int64        `cbor:"5,keyasint,omitempty"`
	First  int64        `cbor:"6,keyasint,omitempty"`
	Last   int64        `cbor:"7,keyasint,omitempty"`
}

// Packet is what goes from one node to another.
type Packet struct {
	From   rights.Owner `cbor:"1,keyasint"`
	Unit   int64        `cbor:"5,keyasint,omitempty"` // of the ages, nanoseconds
	First  int          `cbor:"6,keyasint,omitempty"` // seat of the first age
	Beats  []byte       `cbor:"2,keyasint,omitempty"` // how long ago each seat was alive, as far as the sender knows
	News   []News       `cbor:"3,keyasint,omitempty"`
	Orders []Order      `cbor:"4,keyasint,omitempty"`
}

// Send is a packet and the seat that it is for.
type Send struct {
	To     int
	Packet Packet
}

// Member is one node's part.
type Member struct {
	Config
	Guard  *invariant.Guard
	Purses []*rights.Purse
	Counts *tally.Table
	Bench  *judge.Bench
	Mode   *mode.Machine

	rng    *rand.Rand
	now    int64
	heard  []int64 // by seat: when it was last alive as far as known; 0: never heard
	incs   []uint64
	news   []News // by seat, the newest
	fresh  []bool // it has not been passed on yet
	turn   int    // of the budgets whose spare is told
	asks   []int64
	whole  []int64 // by budget: the window in which loans were last looked through for what is not wanted
	grants int
	orders map[int][]Order // owed to seats
	broken int             // packets that said what cannot be
}

// New makes a member that starts now.
func New(c Config, now int64, g *invariant.Guard) *Member {
	m := &Member{Config: c, Guard: g, rng: rand.New(rand.NewPCG(c.Seed, uint64(c.Own.Seat))), now: now, heard: make([]int64, len(c.Seats)),
		incs: make([]uint64, len(c.Seats)), news: make([]News, len(c.Seats)), fresh: make([]bool, len(c.Seats)), asks: make([]int64, len(c.Budgets)), whole: make([]int64, len(c.Budgets)),
		orders: map[int][]Order{}, Counts: tally.New(len(c.Seats), c.Most, c.Own, int64(c.Error), now, g), Bench: judge.New(c.Judge, c.Own, g), Mode: mode.New(c.Mode, now, g)}
	for _, b := range c.Budgets {
		m.Purses = append(m.Purses, rights.NewPurse(b, c.Own, int64(c.Error), now, g))
	}
	return m
}

// Lease takes in the node's hold of its seat.
func (m *Member) Lease(l rights.Lease) {
	for _, p := range m.Purses {
		p.Lease(l)
	}
}

// Alive tells whether a seat has been alive within the time of silence.
func (m *Member) Alive(seat int) bool {
	return m.heard[seat] > 0 && m.now-m.heard[seat] <= int64(m.Silence)
}

// Heard is how many other seats have been alive within the time of silence.
func (m *Member) Heard() int {
	n := 0
	for i := range m.heard {
		if i != m.Own.Seat && m.Alive(i) {
			n++
		}
	}
	return n
}

// Advance goes on to a time, which never goes back.
func (m *Member) Advance(now int64) int64 {
	m.now = max(m.now, now)
	for _, p := range m.Purses {
		p.Advance(m.now)
	}
	return m.now
}

// Tick is called every Tick: it is what the node tells, asks and gives back by itself.
func (m *Member) Tick(now int64, alive func(seat int) bool) []Send {
	now = m.Advance(now)
	m.Mode.Step(now, m.Heard(), len(m.Seats)-1)
	pace := m.Mode.Pace(now)
	m.grants = int(max(1, LoansATick*pace))
	for i, p := range m.Purses {
		m.ask(i, p, pace)
		if w := p.Window(); w > m.whole[i] {
			m.whole[i] = w
			for _, l := range p.Return() {
				m.owe(l.Lender.Seat, Order{Kind: Return, Budget: p.Definition(), To: l.Lender, Number: l.Number, Last: l.Last})
			}
		}
	}
	var out []Send
	for _, seat := range m.peers(m.Peers, alive) {
		out = append(out, Send{seat, m.packet(seat)})
	}
	for _, seat := range slices.Sorted(maps.Keys(m.orders)) {
		if !slices.ContainsFunc(out, func(s Send) bool { return s.To == seat }) {
			out = append(out, Send{seat, m.packet(seat)})
		}
	}
	clear(m.orders)
	slices.SortFunc(out, func(a, b Send) int { return cmp.Compare(a.To, b.To) })
	return out
}

// peers draws seats that news goes to. Those that are taken to be gone are tried too, now and then: nobody else would find
// out that a cut has healed.
func (m *Member) peers(n int, alive func(int) bool) []int {
	var some []int
	for range 4 * n {
		seat := m.rng.IntN(len(m.Seats))
		if len(some) >= n || len(m.Seats) < 2 {
			break
		}
		if seat == m.Own.Seat || slices.Contains(some, seat) || alive != nil && !alive(seat) && m.rng.IntN(8) > 0 {
			continue
		}
		some = append(some, seat)
	}
	return some
}

func (m *Member) owe(seat int, o Order) {
	if len(m.orders[seat]) < OrdersMost {
		m.orders[seat] = append(m.orders[seat], o)
	}
}

// packet is what a seat is told now: this node's own news, some of others', signs of life, and the orders owed to it.
func (m *Member) packet(to int) Packet {
	p := Packet{From: m.Own, News: []News{m.own()}, Orders: m.orders[to]}
	from := m.rng.IntN(len(m.Seats))
	for _, fresh := range []bool{true, false} { // what came anew first
		for i := range m.Seats {
			if seat := (from + i) % len(m.Seats); len(p.News) <= NewsMost && seat != to && seat != m.Own.Seat && m.incs[seat] != 0 && m.fresh[seat] == fresh {
				p.News = append(p.News, m.news[seat])
				m.fresh[seat] = false
			}
		}
	}
	// Ages, not times: nobody's clock matters for who is heard.
	p.Unit = int64(max(beatLeast, m.Silence/(beatNever-1)))
	if len(m.Seats) > BeatsMost {
		p.First = from
	}
	for i := range min(len(m.Seats), BeatsMost) {
		seat := (p.First + i) % len(m.Seats)
		age := (m.now - m.heard[seat] + p.Unit - 1) / p.Unit
		if m.heard[seat] == 0 || age >= beatNever {
			age = beatNever
		}
		p.Beats = append(p.Beats, byte(age))
	}
	return p
}

func (m *Member) own() News {
	n := News{Row: m.Counts.Own(m.now), Seen: m.Bench.Tell(m.now)}
	for i := range m.Purses {
		k := (m.turn + i) % len(m.Purses)
		p := m.Purses[k]
		if w := p.Window(); len(n.Spares) < SparesMost {
			if spare := p.Spare(w, w+int64(p.Loan)-1); spare > 0 {
				n.Spares = append(n.Spares, Spare{k, spare})
			}
		}
	}
	m.turn++
	return n
}

// ask asks for rights that are wanted and lacking.
func (m *Member) ask(i int, p *rights.Purse, pace float64) {
	w := p.Window()
	first, lack := w, p.Lacks(w)
	if next := p.Lacks(w + 1); lack == 0 && next > 0 {
		first, lack = w+1, next
	}
	if lack == 0 || pace == 0 || m.now < m.asks[i] {
		return
	}
	// Half of the time is drawn: many find out together that they lack something.
	m.asks[i] = m.now + int64(float64(m.Ask)*(0.5+m.rng.Float64())/pace)
	lenders := m.lenders(i)
	for _, seat := range lenders {
		m.owe(seat, Order{Kind: Ask, Budget: p.Definition(), To: rights.Owner{Seat: seat}, Amount: lack/int64(len(lenders)) + 1, First: first, Last: first + int64(p.Loan) - 1})
	}
}

// lenders are the seats that are asked: drawn by what they could lend when last heard; where nothing is known of anybody, drawn.
func (m *Member) lenders(budget int) []int {
	type candidate struct {
		seat  int
		spare float64
	}
	var all []candidate
	sum := 0.0
	for seat, n := range m.news {
		if seat == m.Own.Seat || m.incs[seat] == 0 || m.now-m.heard[seat] > int64(m.Silence) {
			continue
		}
		for _, s := range n.Spares {
			if s.Budget == budget && s.Amount > 0 {
				all = append(all, candidate{seat, float64(s.Amount)})
				sum += float64(s.Amount)
			}
		}
	}
	if len(all) == 0 {
		return m.peers(asked, func(seat int) bool { return m.now-m.heard[seat] <= int64(m.Silence) })
	}
	var some []int
	for len(some) < asked && len(all) > 0 {
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
func (m *Member) Receive(now int64, p Packet) []Send {
	now = m.Advance(now)
	if p.From.Seat < 0 || p.From.Seat >= len(m.Seats) || p.From.Seat == m.Own.Seat || len(p.News) > 1+NewsMost || len(p.Orders) > OrdersMost ||
		len(p.Beats) > BeatsMost || len(p.Beats) > len(m.Seats) || p.First < 0 || p.First >= len(m.Seats) || p.Unit < 0 || p.Unit > int64(time.Hour) {
		m.broken++
		return nil
	}
	m.alive(p.From.Seat, now)
	for i, age := range p.Beats {
		if age != beatNever {
			m.alive((p.First+i)%len(m.Seats), now-int64(age)*p.Unit)
		}
	}
	for _, n := range p.News {
		m.hear(n)
	}
	var back []Order
	for _, o := range p.Orders {
		if answer, ok := m.order(p.From, o); ok {
			back = append(back, answer)
		}
	}
	if len(back) == 0 {
		return nil
	}
	return []Send{{p.From.Seat, Packet{From: m.Own, Orders: back}}}
}

func (m *Member) alive(seat int, at int64) {
	if seat >= 0 && seat < len(m.heard) && seat != m.Own.Seat {
		m.heard[seat] = max(m.heard[seat], min(at, m.now))
	}
}

func (m *Member) hear(n News) {
	seat := n.Row.Owner.Seat
	if seat < 0 || seat >= len(m.Seats) || len(n.Spares) > SparesMost || len(n.Seen) > judge.PerNode || !m.Counts.Hear(n.Row, m.now) {
		return
	}
	for _, e := range n.Seen {
		m.Bench.Hear(n.Row.Owner, m.Seats[seat].Zone, e, m.now)
	}
	if n.Row.Owner.Inc >= m.incs[seat] {
		m.incs[seat], m.news[seat], m.fresh[seat] = n.Row.Owner.Inc, n, true
	}
}

func (m *Member) order(from rights.Owner, o Order) (Order, bool) {
	i := slices.IndexFunc(m.Budgets, func(b *rights.Budget) bool { return b.Definition() == o.Budget })
	if i < 0 || o.To.Seat != m.Own.Seat {
		return Order{}, false // another definition: nothing is lent between those that do not mean the same
	}
	p := m.Purses[i]
	switch o.Kind {
	case Ask:
		if m.grants <= 0 || o.Last < o.First || o.Last-o.First >= rights.WindowsMost {
			return Order{}, false
		}
		l, ok := p.Lend(from, o.Amount, o.First, int(o.Last-o.First+1))
		lent := Order{Kind: Lend, Budget: o.Budget, To: l.To, Number: l.Number, Amount: l.Amount, First: l.First, Last: l.Last}
		if ok {
			m.grants--
			m.owe(from.Seat, lent) // told once more with the next tick: one that is lost is spent by nobody until its end
		}
		return lent, ok
	case Lend:
		p.Take(rights.Loan{Lender: from, Number: o.Number, To: o.To, Amount: o.Amount, First: o.First, Last: o.Last})
	case Return:
		if o.To == m.Own {
			p.Returned(from, o.Number, o.Last)
		}
	}
	return Order{}, false
}
