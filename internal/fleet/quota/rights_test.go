package quota

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
func TestBaseQuotasSumToTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Name: "b", Window: time.Second, TransferWindows: 1, Amount: rapid.Int64Range(0, 1000).Draw(t, "amount"), Overdraft: rapid.Int64Range(0, 10).Draw(t, "overdraft"),
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
				share := b.BaseQuota(seat, w)
				sum, over, had[seat] = sum+share, over+b.OverdraftQuota(seat, w), had[seat]+share-b.evenShare(b.Amount, seat)
			}
			if sum != b.Amount || over != b.Overdraft {
				t.Fatalf("window %d: shares of %d in all, of an amount of %d; %d of %d", w, sum, b.Amount, over, b.Overdraft)
			}
		}
		for seat := range had {
			if had[seat] != b.amountRemainder {
				t.Fatalf("seat %d had %d turns of %d", seat, had[seat], b.amountRemainder)
			}
		}
	})
}

func TestCompleteRejectsInvalidBudgets(t *testing.T) {
	good := Budget{Name: "b", Amount: 1, Window: time.Second, TransferWindows: 1, Weights: []int64{1}}
	require.NoError(t, good.Complete())
	for says, edit := range map[string]func(*Budget){
		"name: missing":        func(b *Budget) { b.Name = "" },
		"amount: -1":           func(b *Budget) { b.Amount = -1 },
		"overdraft: -1":        func(b *Budget) { b.Overdraft = -1 },
		"window: 0s":           func(b *Budget) { b.Window = 0 },
		"ahead: 4096":          func(b *Budget) { b.WindowsAhead = MaxWindows },
		"loan: 0":              func(b *Budget) { b.TransferWindows = 0 },
		"0 seats":              func(b *Budget) { b.Weights = nil },
		"seat[0].weight: -1":   func(b *Budget) { b.Weights = []int64{-1} },
		"no seat has a weight": func(b *Budget) { b.Weights = []int64{0, 0} },
	} {
		b := good
		edit(&b)
		require.ErrorContains(t, b.Complete(), says)
	}
}

// simulation is a few nodes with one budget, whose messages may be lost, doubled and late, whose lives end, and whose clocks are off.
type simulation struct {
	b      *Budget
	guard  *invariant.Monitor
	nodes  []*simulatedNode
	spent  map[int64]int64 // by window, over all lives
	mail   []any
	now    int64
	leases []Lease
	owners []Owner
}

type simulatedNode struct {
	*Allocation
	off int64
}

type transferReturn struct {
	lender, by Owner
	number     uint64
	last       int64
}

const clockError = second / 2

func newWorld(t require.TestingT, seats int, b Budget) *simulation {
	for range seats {
		b.Weights = append(b.Weights, 1)
	}
	w := &simulation{b: budget(t, b), guard: &invariant.Monitor{}, spent: map[int64]int64{}, now: 1000 * second, leases: make([]Lease, seats), owners: make([]Owner, seats)}
	w.nodes = make([]*simulatedNode, seats)
	for i := range seats {
		w.start(i, 0, time.Hour, false)
	}
	return w
}

// start begins a life of a seat. heir: on the same folder as the one before, else after that one's lease.
func (w *simulation) start(seat int, off int64, lease time.Duration, heir bool) {
	was := w.leases[seat]
	now := w.now + off
	w.owners[seat] = Owner{seat, w.owners[seat].Incarnation + 1}
	l := &simulatedNode{NewAllocation(w.b, w.owners[seat], clockError, now, w.guard), off}
	switch {
	case was.FencingToken == 0:
		w.leases[seat] = Lease{FencingToken: 1, ValidFrom: now, ExpiresAt: now + int64(lease)}
	case heir:
		w.leases[seat] = Lease{FencingToken: was.FencingToken + 1, ValidFrom: now, ExpiresAt: now + int64(lease), Successor: true}
	case now > was.ExpiresAt+2*clockError:
		w.leases[seat] = Lease{FencingToken: was.FencingToken + 1, ValidFrom: now, ExpiresAt: now + int64(lease)}
	default:
		w.nodes[seat] = l // without a lease: it may borrow
		return
	}
	l.SetLease(w.leases[seat])
	w.nodes[seat] = l
}

func (w *simulation) advance(by int64) {
	w.now += by
	for _, n := range w.nodes {
		n.Advance(w.now + n.off)
	}
}

func (w *simulation) spend(seat int, n int64, further int) bool {
	p := w.nodes[seat]
	if !p.Overdraw(n, further) {
		return false
	}
	for i := range int64(further) + 1 {
		w.spent[p.CurrentWindow()+i] += n
	}
	return true
}

func (w *simulation) lend(from, to int, amount int64, ahead int64, span int) {
	if l, ok := w.nodes[from].Lend(w.nodes[to].Owner, amount, w.nodes[from].CurrentWindow()+ahead, span); ok {
		w.mail = append(w.mail, l)
	}
}

func (w *simulation) deliver(m any) {
	switch m := m.(type) {
	case Transfer:
		w.nodes[m.Borrower.Slot].Accept(m)
	case transferReturn:
		if n := w.nodes[m.lender.Slot]; n.Owner == m.lender {
			n.AcceptReturn(m.by, m.number, m.last)
		}
	}
}

func (w *simulation) check(t require.TestingT) {
	require.Empty(t, w.guard.Violations())
	for at, n := range w.spent {
		require.LessOrEqual(t, n, w.b.Amount+w.b.Overdraft, "window %d", at)
	}
}

// Whatever is lost, doubled or late, whoever restarts and however clocks are off within what they may: no window is overspent.
func TestNoWindowIsOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 5).Draw(t, "seats"), Budget{Name: "b", Amount: rapid.Int64Range(0, 60).Draw(t, "amount"),
			Overdraft: rapid.Int64Range(0, 3).Draw(t, "overdraft"), Window: time.Second, WindowsAhead: 3, TransferWindows: rapid.IntRange(1, 4).Draw(t, "loan")})
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
				for _, l := range n.ReturnUnneeded() {
					w.mail = append(w.mail, transferReturn{l.Lender, n.Owner, l.Number, l.LastWindow})
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
				if at := n.CurrentWindow(); n.Spent(at) > 0 {
					n.Refund(1, at, at)
					w.spent[at]--
				}
			},
			"": func(t *rapid.T) { w.check(t) },
		})
	})
}

// What is lent is spent by one of the two, and comes back at the loan's end plus what clocks may be off, or when it is returned.
func TestTransferredQuotaComesBack(t *testing.T) {
	w := newWorld(t, 2, Budget{Name: "b", Amount: 20, Window: time.Second, TransferWindows: 3})
	w.advance(second)
	a, b := w.nodes[0], w.nodes[1]
	at := a.CurrentWindow()
	l, ok := a.Lend(b.Owner, 4, at, 2)
	require.True(t, ok)
	require.True(t, b.Accept(l))
	require.False(t, b.Accept(l), "a second time it is the same loan")
	require.EqualValues(t, []int64{6, 14}, []int64{a.Quota(at), b.Quota(at)})
	require.EqualValues(t, 10, b.Quota(at+2))
	w.advance(2 * second)
	require.EqualValues(t, 6, a.Quota(at+2), "a clock may still be before the end")
	w.advance(clockError)
	require.EqualValues(t, 10, a.Quota(at+2))
	l, _ = a.Lend(b.Owner, 4, at+2, 3)
	require.True(t, b.Accept(l))
	back := b.ReturnUnneeded()
	require.Len(t, back, 1)
	require.EqualValues(t, 10, b.Quota(at+3))
	a.AcceptReturn(b.Owner, back[0].Number, back[0].LastWindow)
	require.EqualValues(t, []int64{6, 10}, []int64{a.Quota(at + 2), a.Quota(at + 3)})
	require.False(t, b.Accept(l), "nor once it has been given back")
	w.advance(second)
	require.False(t, b.Accept(l), "nor while it would last")
	other := l
	other.Number, other.Borrower.Incarnation = 99, b.Owner.Incarnation+1
	require.False(t, b.Accept(other), "nor one that is another life's")
}

// A clock that is set back does not bring a window back: what is spent stays spent, and nothing is had twice.
func TestClockThatGoesBackReopensNoWindow(t *testing.T) {
	w := newWorld(t, 1, Budget{Name: "b", Amount: 20, Window: time.Second, TransferWindows: 2})
	w.advance(2 * second)
	p := w.nodes[0]
	require.True(t, w.spend(0, 20, 0))
	at := p.CurrentWindow()
	p.Advance(w.now - second)
	require.Equal(t, at, p.CurrentWindow())
	require.False(t, w.spend(0, 1, 0))
	p.Advance(w.now)
	require.False(t, w.spend(0, 1, 0))
}

// A node that hears nobody has its seat's share, while its lease lasts, and nothing more; an heir leaves the windows alone that
// the life before it can have spent or lent of.
func TestBaseQuotaNeedsALeaseAndSuccessorsWait(t *testing.T) {
	w := newWorld(t, 2, Budget{Name: "b", Amount: 20, Window: time.Second, TransferWindows: 2})
	w.advance(second)
	require.False(t, w.spend(0, 11, 0))
	require.True(t, w.spend(0, 10, 0))
	w.advance(2 * time.Hour.Nanoseconds())
	require.False(t, w.spend(0, 1, 0), "its lease is over")
	w = newWorld(t, 2, Budget{Name: "b", Amount: 20, Window: time.Second, TransferWindows: 2})
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
func TestOverdraftIsRepaidFromLaterWindows(t *testing.T) {
	w := newWorld(t, 1, Budget{Name: "b", Amount: 20, Overdraft: 12, Window: time.Second, TransferWindows: 2})
	w.advance(second)
	p := w.nodes[0]
	require.False(t, p.Spend(21, 0))
	require.True(t, w.spend(0, 32, 0))
	require.False(t, w.spend(0, 1, 0))
	for _, rights := range []int64{15, 15, 18, 20} {
		w.advance(second)
		require.Equal(t, rights, p.Quota(p.CurrentWindow()))
	}
	w.check(t)
}

// Loans are bounded: a lender with as many as it remembers lends no more, and a borrower takes none that it would forget.
func TestTransfersAreBounded(t *testing.T) {
	w := newWorld(t, 2, Budget{Name: "b", Amount: 1 << 40, Window: time.Second, TransferWindows: 2})
	w.advance(second)
	for range 3 * MaxTransfers {
		w.lend(0, 1, 1, 0, 2)
	}
	require.Len(t, w.mail, MaxTransfers)
	for i := range 3 * MaxTransfers {
		w.nodes[1].Accept(Transfer{Lender: Owner{0, 9}, Number: uint64(i), Borrower: w.nodes[1].Owner, Amount: 1, FirstWindow: w.nodes[1].CurrentWindow(), LastWindow: w.nodes[1].CurrentWindow()})
	}
	require.Len(t, w.nodes[1].borrowed, MaxTransfers)
	w.advance(5 * second)
	require.Empty(t, w.nodes[1].borrowed)
	require.Empty(t, w.nodes[0].lent)
}

func BenchmarkSpend(b *testing.B) {
	p := newWorld(b, 3, Budget{Name: "b", Amount: 1 << 50, Window: time.Hour, TransferWindows: 4}).nodes[0]
	p.SetLease(Lease{FencingToken: 2, ValidFrom: 0, ExpiresAt: 1 << 62})
	b.ReportAllocs()
	for b.Loop() {
		if !p.Spend(1, 0) {
			b.Fatal("no rights")
		}
	}
}
