package rights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
)

const second = int64(time.Second)

func budget(t require.TestingT, b Budget) *Budget {
	require.NoError(t, b.Complete())
	return &b
}

// The shares of all seats are the amount in every window, and each seat has its turn for what does not divide evenly.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Name: "b", Window: time.Second, Loan: 1, Amount: rapid.Int64Range(0, 1000).Draw(t, "amount"), Overdraft: rapid.Int64Range(0, 10).Draw(t, "overdraft"),
			Weights: rapid.SliceOfN(rapid.Int64Range(0, 5), 1, 20).Draw(t, "weights")}
		if b.Complete() != nil {
			return // no seat has a weight
		}
		n := int64(len(b.Weights))
		had := make([]int64, n)
		from := rapid.Int64Range(0, 1000).Draw(t, "window")
		for w := from; w < from+n; w++ {
			sum, over := int64(0), int64(0)
			for seat := range b.Weights {
				share := b.Share(seat, w)
				sum, over, had[seat] = sum+share, over+b.Grace(seat, w), had[seat]+share-b.part(b.Amount, seat)
			}
			if sum != b.Amount || over != b.Overdraft {
				t.Fatalf("window %d: shares of %d in all, of an amount of %d; %d of %d", w, sum, b.Amount, over, b.Overdraft)
			}
		}
		for seat := range had {
			if had[seat] != b.rest {
				t.Fatalf("seat %d had %d turns of %d", seat, had[seat], b.rest)
			}
		}
	})
}

func TestBudgetsThatCannotBe(t *testing.T) {
	good := Budget{Name: "b", Amount: 1, Window: time.Second, Loan: 1, Weights: []int64{1}}
	require.NoError(t, good.Complete())
	for says, edit := range map[string]func(*Budget){
		"name: missing":        func(b *Budget) { b.Name = "" },
		"amount: -1":           func(b *Budget) { b.Amount = -1 },
		"overdraft: -1":        func(b *Budget) { b.Overdraft = -1 },
		"window: 0s":           func(b *Budget) { b.Window = 0 },
		"ahead: 4096":          func(b *Budget) { b.Ahead = WindowsMost },
		"loan: 0":              func(b *Budget) { b.Loan = 0 },
		"0 seats":              func(b *Budget) { b.Weights = nil },
		"seat[0].weight: -1":   func(b *Budget) { b.Weights = []int64{-1} },
		"no seat has a weight": func(b *Budget) { b.Weights = []int64{0, 0} },
	} {
		b := good
		edit(&b)
		require.ErrorContains(t, b.Complete(), says)
	}
}

// world is a few nodes with one budget, whose messages may be lost, doubled and late, whose lives end, and whose clocks are off.
type world struct {
	b      *Budget
	guard  *invariant.Guard
	nodes  []*life
	spent  map[int64]int64 // by window, over all lives
	mail   []any
	now    int64
	leases []Lease
	owners []Owner
}

type life struct {
	*Purse
	off int64
}

type returned struct {
	lender, by Owner
	number     uint64
	last       int64
}

const clockError = second / 2

func newWorld(t require.TestingT, seats int, b Budget) *world {
	for range seats {
		b.Weights = append(b.Weights, 1)
	}
	w := &world{b: budget(t, b), guard: &invariant.Guard{}, spent: map[int64]int64{}, now: 1000 * second, leases: make([]Lease, seats), owners: make([]Owner, seats)}
	w.nodes = make([]*life, seats)
	for i := range seats {
		w.start(i, 0, time.Hour, false)
	}
	return w
}

// start begins a life of a seat. heir: on the same folder as the one before, else after that one's lease.
func (w *world) start(seat int, off int64, lease time.Duration, heir bool) {
	was := w.leases[seat]
	now := w.now + off
	w.owners[seat] = Owner{seat, w.owners[seat].Inc + 1}
	l := &life{NewPurse(w.b, w.owners[seat], clockError, now, w.guard), off}
	switch {
	case was.Epoch == 0:
		w.leases[seat] = Lease{Epoch: 1, First: now, Until: now + int64(lease)}
	case heir:
		w.leases[seat] = Lease{Epoch: was.Epoch + 1, First: now, Until: now + int64(lease), Heir: true}
	case now > was.Until+2*clockError:
		w.leases[seat] = Lease{Epoch: was.Epoch + 1, First: now, Until: now + int64(lease)}
	default:
		w.nodes[seat] = l // without a lease: it may borrow
		return
	}
	l.Lease(w.leases[seat])
	w.nodes[seat] = l
}

func (w *world) advance(by int64) {
	w.now += by
	for _, n := range w.nodes {
		n.Advance(w.now + n.off)
	}
}

func (w *world) spend(seat int, n int64, further int) bool {
	p := w.nodes[seat]
	if !p.Overdraw(n, further) {
		return false
	}
	for i := range int64(further) + 1 {
		w.spent[p.Window()+i] += n
	}
	return true
}

func (w *world) lend(from, to int, amount int64, ahead int64, span int) {
	if l, ok := w.nodes[from].Lend(w.nodes[to].Own, amount, w.nodes[from].Window()+ahead, span); ok {
		w.mail = append(w.mail, l)
	}
}

func (w *world) deliver(m any) {
	switch m := m.(type) {
	case Loan:
		w.nodes[m.To.Seat].Take(m)
	case returned:
		if n := w.nodes[m.lender.Seat]; n.Own == m.lender {
			n.Returned(m.by, m.number, m.last)
		}
	}
}

func (w *world) check(t require.TestingT) {
	require.Empty(t, w.guard.Counts())
	for at, n := range w.spent {
		require.LessOrEqual(t, n, w.b.Amount+w.b.Overdraft, "window %d", at)
	}
}

// Whatever is lost, doubled or late, whoever restarts and however clocks are off within what they may: no window is overspent.
func TestNoWindowIsOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 5).Draw(t, "seats"), Budget{Name: "b", Amount: rapid.Int64Range(0, 60).Draw(t, "amount"),
			Overdraft: rapid.Int64Range(0, 3).Draw(t, "overdraft"), Window: time.Second, Ahead: 3, Loan: rapid.IntRange(1, 4).Draw(t, "loan")})
		seat := rapid.IntRange(0, len(w.nodes)-1)
		some := rapid.Int64Range(1, 20)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { w.advance(rapid.Int64Range(0, 2*second).Draw(t, "by")) },
			"spend": func(t *rapid.T) {
				w.spend(seat.Draw(t, "seat"), some.Draw(t, "n"), rapid.IntRange(0, 3).Draw(t, "further"))
			},
			"spend all": func(t *rapid.T) {
				for i := range w.nodes {
					for w.spend(i, 1, 0) {
					}
				}
			},
			"lend": func(t *rapid.T) {
				w.lend(seat.Draw(t, "from"), seat.Draw(t, "to"), some.Draw(t, "n"), rapid.Int64Range(0, 2).Draw(t, "ahead"), rapid.IntRange(1, 5).Draw(t, "span"))
			},
			"return": func(t *rapid.T) {
				n := w.nodes[seat.Draw(t, "seat")]
				for _, l := range n.Return() {
					w.mail = append(w.mail, returned{l.Lender, n.Own, l.Number, l.Last})
				}
			},
			"deliver": func(t *rapid.T) { // and perhaps once more later
				if len(w.mail) > 0 {
					i := rapid.IntRange(0, len(w.mail)-1).Draw(t, "which")
					w.deliver(w.mail[i])
					if rapid.Bool().Draw(t, "gone") {
						w.mail = append(w.mail[:i], w.mail[i+1:]...)
					}
				}
			},
			"restart": func(t *rapid.T) {
				w.start(seat.Draw(t, "seat"), rapid.Int64Range(-clockError, clockError).Draw(t, "off"), time.Minute, rapid.Bool().Draw(t, "heir"))
			},
			"give back": func(t *rapid.T) {
				n := w.nodes[seat.Draw(t, "seat")]
				if at := n.Window(); n.Spent(at) > 0 {
					n.GiveBack(1, at, at)
					w.spent[at]--
				}
			},
			"": func(t *rapid.T) { w.check(t) },
		})
	})
}

// What is lent is spent by one of the two, and comes back at the loan's end plus what clocks may be off, or when it is returned.
func TestALoanComesBack(t *testing.T) {
	w := newWorld(t, 2, Budget{Name: "b", Amount: 20, Window: time.Second, Loan: 3})
	w.advance(second)
	a, b := w.nodes[0], w.nodes[1]
	at := a.Window()
	l, ok := a.Lend(b.Own, 4, at, 2)
	require.True(t, ok)
	require.True(t, b.Take(l))
	require.False(t, b.Take(l), "a second time it is the same loan")
	require.EqualValues(t, []int64{6, 14}, []int64{a.Rights(at), b.Rights(at)})
	require.EqualValues(t, 10, b.Rights(at+2))
	w.advance(2 * second)
	require.EqualValues(t, 6, a.Rights(at+2), "a clock may still be before the end")
	w.advance(clockError)
	require.EqualValues(t, 10, a.Rights(at+2))
	l, _ = a.Lend(b.Own, 4, at+2, 3)
	require.True(t, b.Take(l))
	back := b.Return()
	require.Len(t, back, 1)
	require.EqualValues(t, 10, b.Rights(at+3))
	a.Returned(b.Own, back[0].Number, back[0].Last)
	require.EqualValues(t, []int64{6, 10}, []int64{a.Rights(at + 2), a.Rights(at + 3)})
	require.False(t, b.Take(l), "nor once it has been given back")
	w.advance(second)
	require.False(t, b.Take(l), "nor while it would last")
	other := l
	other.Number, other.To.Inc = 99, b.Own.Inc+1
	require.False(t, b.Take(other), "nor one that is another life's")
}

// A clock that is set back does not bring a window back: what is spent stays spent, and nothing is had twice.
func TestAClockThatGoesBack(t *testing.T) {
	w := newWorld(t, 1, Budget{Name: "b", Amount: 20, Window: time.Second, Loan: 2})
	w.advance(2 * second)
	p := w.nodes[0]
	require.True(t, w.spend(0, 20, 0))
	at := p.Window()
	p.Advance(w.now - second)
	require.Equal(t, at, p.Window())
	require.False(t, w.spend(0, 1, 0))
	p.Advance(w.now)
	require.False(t, w.spend(0, 1, 0))
}

// A node that hears nobody has its seat's share, while its lease lasts, and nothing more; an heir leaves the windows alone that
// the life before it can have spent or lent of.
func TestFloorAndHeirs(t *testing.T) {
	w := newWorld(t, 2, Budget{Name: "b", Amount: 20, Window: time.Second, Loan: 2})
	w.advance(second)
	require.False(t, w.spend(0, 11, 0))
	require.True(t, w.spend(0, 10, 0))
	w.advance(2 * time.Hour.Nanoseconds())
	require.False(t, w.spend(0, 1, 0), "its lease is over")
	w = newWorld(t, 2, Budget{Name: "b", Amount: 20, Window: time.Second, Loan: 2})
	w.advance(second)
	w.start(0, 0, time.Minute, true)
	for range 5 {
		require.False(t, w.spend(0, 1, 0))
		w.advance(second)
	}
	w.advance(second)
	require.True(t, w.spend(0, 10, 0))
	w.start(1, 0, time.Minute, false)
	require.False(t, w.spend(1, 1, 0), "the lease of the life before it lasts")
	w.lend(0, 1, 5, 1, 2)
	w.deliver(w.mail[0])
	w.advance(second)
	require.True(t, w.spend(1, 5, 0), "but it may borrow")
}

// An overdraft becomes a debt: the windows that follow give up a quarter of their share each until it is made good.
func TestOverdraftsAreMadeGood(t *testing.T) {
	w := newWorld(t, 1, Budget{Name: "b", Amount: 20, Overdraft: 12, Window: time.Second, Loan: 2})
	w.advance(second)
	p := w.nodes[0]
	require.False(t, p.Spend(21, 0))
	require.True(t, w.spend(0, 32, 0))
	require.False(t, w.spend(0, 1, 0))
	for _, rights := range []int64{15, 15, 18, 20} {
		w.advance(second)
		require.Equal(t, rights, p.Rights(p.Window()))
	}
	w.check(t)
}

// Loans are bounded: a lender with as many as it remembers lends no more, and a borrower takes none that it would forget.
func TestLoansAreBounded(t *testing.T) {
	w := newWorld(t, 2, Budget{Name: "b", Amount: 1 << 40, Window: time.Second, Loan: 2})
	w.advance(second)
	for range 3 * LoansMost {
		w.lend(0, 1, 1, 0, 2)
	}
	require.Len(t, w.mail, LoansMost)
	for i := range 3 * LoansMost {
		w.nodes[1].Take(Loan{Lender: Owner{0, 9}, Number: uint64(i), To: w.nodes[1].Own, Amount: 1, First: w.nodes[1].Window(), Last: w.nodes[1].Window()})
	}
	require.Len(t, w.nodes[1].held, LoansMost)
	w.advance(5 * second)
	require.Empty(t, w.nodes[1].held)
	require.Empty(t, w.nodes[0].lent)
}

func BenchmarkSpend(b *testing.B) {
	p := newWorld(b, 3, Budget{Name: "b", Amount: 1 << 50, Window: time.Hour, Loan: 4}).nodes[0]
	p.Lease(Lease{Epoch: 2, First: 0, Until: 1 << 62})
	b.ReportAllocs()
	for b.Loop() {
		if !p.Spend(1, 0) {
			b.Fatal("no rights")
		}
	}
}
