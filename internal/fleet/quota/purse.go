package quota

import (
	"fmt"
	"math"
	"slices"

	"standpoint/internal/fleet/invariant"
)

// Owner is one life of a node: a seat of the fleet, and the incarnation that has it. Whatever is granted, lent or counted is an
// owner's, never a seat's: who comes after it owes and holds nothing of it.
type Owner struct {
	Slot        int    `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Lease is a node's hold of its seat. Epoch is the fence under which it was given, 0 for none; First is the moment from which
// on the seat is this owner's, Until the one at which it ends, unless it is given anew. Heir tells that another life of the
// same node may have had it until First: what that one has spent and lent is not known.
type Lease struct {
	FencingToken uint64
	ValidFrom    int64
	ExpiresAt    int64
	Successor    bool
}

// Transfer is rights that one owner lends to another, for windows from First to Last. Its lender and number name it.
type Transfer struct {
	Lender      Owner
	Number      uint64
	Borrower    Owner
	Amount      int64
	FirstWindow int64
	LastWindow  int64
}

// transferRecord is a loan as one of the two has it. given is when it was to end at first: it is remembered until then, so that it counts
// once however often it is told. guard is up to when the lender does not use again what it has not been given back.
type transferRecord struct {
	Transfer
	originalLast int64
	reclaimAt    int64
}

func (l *transferRecord) covers(w int64) bool { return l.FirstWindow <= w && w <= l.LastWindow }

// Allocation is what one node holds and spends of one budget.
type Allocation struct {
	*Budget
	Owner      Owner
	ClockError int64 // of clocks: what was lent is used again only so long after the loan's end
	Invariants *invariant.Monitor

	lease         Lease
	now           int64
	currentWindow int64
	spent         []int64 // by window, from the present one on
	lent          []transferRecord
	borrowed      []transferRecord
	lastNumber    uint64

	debt          int64   // overdrawn in windows that are over, and not made good yet
	requested     int64   // in the present window, granted or not
	demand        float64 // in a window, as the latest ones show
	noWindowEnded bool    // no window has ended yet
}

// NewAllocation makes an empty purse of a life that begins now. Nothing may be spent before it has a lease or a loan.
func NewAllocation(b *Budget, own Owner, clockError, now int64, g *invariant.Monitor) *Allocation {
	p := &Allocation{Budget: b, Owner: own, ClockError: clockError, Invariants: g, spent: make([]int64, b.WindowsAhead+1), noWindowEnded: true}
	p.now, p.currentWindow = now, b.WindowAt(now)
	return p
}

// SetLease takes in the node's hold of its seat. An earlier epoch changes nothing.
func (p *Allocation) SetLease(l Lease) {
	if l.FencingToken >= p.lease.FencingToken {
		p.lease = l
	}
}

// Advance goes on to a time. A clock that goes back does not bring windows back: what is over stays over.
func (p *Allocation) Advance(now int64) {
	p.now = max(p.now, now)
	w := p.WindowAt(p.now)
	if w <= p.currentWindow {
		return
	}
	const weight = 0.5 // of the latest window
	for range min(w-p.currentWindow, 16) {
		if p.noWindowEnded {
			p.demand, p.noWindowEnded = float64(p.requested), false
		} else {
			p.demand += weight * (float64(p.requested) - p.demand)
		}
		p.requested = 0
	}
	// An overdraft becomes a debt on the windows that follow: each gives up a part of its share for it.
	p.debt -= min(p.debt, p.debtRepayment(p.currentWindow))
	p.debt += max(0, p.spent[0]-p.Quota(p.currentWindow))
	gone := min(w-p.currentWindow, int64(len(p.spent)))
	copy(p.spent, p.spent[gone:])
	clear(p.spent[int64(len(p.spent))-gone:])
	p.currentWindow = w
	p.borrowed = slices.DeleteFunc(p.borrowed, func(l transferRecord) bool { return l.originalLast < w })
	p.lent = slices.DeleteFunc(p.lent, func(l transferRecord) bool { return l.originalLast < w && l.reclaimAt <= p.now })
}

// CurrentWindow is the present window.
func (p *Allocation) CurrentWindow() int64 { return p.currentWindow }

// firstOwnWindow is the first window whose share is this owner's. An heir leaves alone all windows that the life before it can have
// spent or lent of, by a clock that went ahead of its own by as much as clocks may.
func (p *Allocation) firstOwnWindow() int64 {
	if p.lease.Successor {
		return p.WindowAt(p.lease.ValidFrom+2*p.ClockError) + 2*int64(p.TransferWindows) + 1
	}
	return p.WindowAt(p.lease.ValidFrom + int64(p.Budget.Window) - 1)
}

// leasedQuota is the seat's share in a window that is this owner's, lent or not.
func (p *Allocation) leasedQuota(w int64) int64 {
	if p.lease.FencingToken == 0 || w < p.firstOwnWindow() || p.WindowStart(w+1) > p.lease.ExpiresAt {
		return 0
	}
	return p.BaseQuota(p.Owner.Slot, w)
}

// lentAmount is what is lent of a window. What comes back at a loan's end comes back when no clock in the fleet can still be before it.
func (p *Allocation) lentAmount(w int64) int64 {
	n := int64(0)
	for i := range p.lent {
		if l := &p.lent[i]; l.covers(w) || w > l.LastWindow && p.now < l.reclaimAt && w <= p.WindowAt(l.reclaimAt) {
			n += l.Amount
		}
	}
	return n
}

func (p *Allocation) borrowedAmount(w int64) int64 {
	n := int64(0)
	for i := range p.borrowed {
		if p.borrowed[i].covers(w) {
			n += p.borrowed[i].Amount
		}
	}
	return n
}

// debtDivisor is the part of a share that a window gives up for a debt.
const debtDivisor = 4

// debtRepayment is what a window gives up for the debt: what it has left of its share, a part of that at the most.
func (p *Allocation) debtRepayment(w int64) int64 {
	return max(0, min(p.debt, p.leasedQuota(w)/debtDivisor, p.leasedQuota(w)-p.lentAmount(w)))
}

// Debt is what has been overdrawn and not made good yet.
func (p *Allocation) Debt() int64 { return p.debt }

// Quota are what may be spent in a window.
func (p *Allocation) Quota(w int64) int64 {
	return max(0, p.leasedQuota(w)-p.lentAmount(w)-p.debtRepayment(w)) + p.borrowedAmount(w)
}

func (p *Allocation) spendLimit(w int64, grace bool) int64 {
	if !grace || p.Overdraft == 0 || p.leasedQuota(w) == 0 {
		return p.Quota(w)
	}
	return p.Quota(w) + p.OverdraftQuota(p.Owner.Slot, w)
}

// Spent is what is spent in a window.
func (p *Allocation) Spent(w int64) int64 {
	if i := w - p.currentWindow; i >= 0 && i < int64(len(p.spent)) {
		return p.spent[i]
	}
	return 0
}

// Spend spends n in the present window and in as many further ones as are asked for, in all of them or in none. further must
// not be over Ahead.
func (p *Allocation) Spend(n int64, further int) bool { return p.spend(n, further, false) }

// Overdraw is Spend that may go into this seat's part of the overdraft.
func (p *Allocation) Overdraw(n int64, further int) bool { return p.spend(n, further, true) }

func (p *Allocation) spend(n int64, further int, grace bool) bool {
	p.requested += max(0, n)
	if n < 0 || further < 0 || further >= len(p.spent) {
		return false
	}
	for i := range further + 1 {
		if w := p.currentWindow + int64(i); p.spent[i]+n > p.spendLimit(w, grace) {
			return false
		}
	}
	for i := range further + 1 {
		p.spent[i] += n
	}
	p.checkSpent(further)
	return true
}

// Refund takes back what was spent and is not needed: n in each window from a first one to a last one. What is over is over.
func (p *Allocation) Refund(n, first, last int64) {
	for w := max(first, p.currentWindow); w <= last && w-p.currentWindow < int64(len(p.spent)); w++ {
		p.spent[w-p.currentWindow] = max(0, p.spent[w-p.currentWindow]-n)
	}
}

func (p *Allocation) checkSpent(further int) {
	for i := range further + 1 {
		w := p.currentWindow + int64(i)
		if p.spent[i] > p.spendLimit(w, true) {
			p.Invariants.Violated(invariant.SpentOverQuota, fmt.Sprintf("%s, window %d: %d of %d", p.Name, w, p.spent[i], p.spendLimit(w, true)))
		}
	}
}

// NextWindowStart is when something may be had again, where there is nothing left: the beginning of the next window.
func (p *Allocation) NextWindowStart() int64 { return p.WindowStart(p.currentWindow + 1) }

// forecastDemand is what is wanted of a window, with a tenth to spare.
func (p *Allocation) forecastDemand(w int64) int64 {
	f := p.demand
	if w == p.currentWindow {
		// What was asked already, and at the usual pace for the rest.
		left := 1 - float64(p.now-p.WindowStart(w))/float64(p.Budget.Window)
		f = float64(p.requested) + max(0, min(1, left))*max(p.demand, float64(p.requested))
		if p.noWindowEnded {
			f = float64(p.requested)
		}
	}
	return int64(math.Ceil(f * 1.1))
}

// Shortfall is what is wanted of a window beyond what is held.
func (p *Allocation) Shortfall(w int64) int64 { return max(0, p.forecastDemand(w)-p.Quota(w)) }

// Surplus is what may be lent of the windows from first to last: of the own share alone, beyond what is spent, lent or wanted.
func (p *Allocation) Surplus(first, last int64) int64 {
	least := int64(math.MaxInt64)
	for w := first; w <= last; w++ {
		need := max(p.Spent(w), p.forecastDemand(w)) - p.borrowedAmount(w)
		least = min(least, p.leasedQuota(w)-p.lentAmount(w)-p.debtRepayment(w)-max(0, need))
	}
	return max(0, least)
}

// Lend lends to another owner up to so much, for windows from first on, for a stated span at the most. Of what is spare half is
// lent at a time: several may ask, and each at several.
func (p *Allocation) Lend(to Owner, amount, first int64, span int) (Transfer, bool) {
	first = max(first, p.currentWindow)
	last := first + int64(min(span, p.TransferWindows)) - 1
	if to.Slot == p.Owner.Slot || amount <= 0 || span < 1 || first > p.currentWindow+int64(p.TransferWindows) {
		return Transfer{}, false
	}
	// Refused rather than forgotten: a loan that nobody remembers would be spent twice.
	if len(p.lent) >= MaxTransfers {
		return Transfer{}, false
	}
	spare := p.Surplus(first, last)
	if spare < p.BaseQuota(p.Owner.Slot, first)/64 {
		return Transfer{}, false
	}
	amount = min(amount, (spare+1)/2)
	if amount <= 0 {
		return Transfer{}, false
	}
	p.lastNumber++
	l := Transfer{Lender: p.Owner, Number: p.lastNumber, Borrower: to, Amount: amount, FirstWindow: first, LastWindow: last}
	p.lent = append(p.lent, transferRecord{l, last, p.WindowStart(last+1) + p.ClockError})
	for w := first; w <= last; w++ {
		if p.lentAmount(w) > p.leasedQuota(w) {
			p.Invariants.Violated(invariant.LentOverBaseQuota, fmt.Sprintf("%s, window %d: %d of %d", p.Name, w, p.lentAmount(w), p.leasedQuota(w)))
		}
	}
	return l, true
}

// Accept takes a loan in, once, if it is this owner's and not over. What cannot be kept in mind is not taken: it is nobody's until
// its end.
func (p *Allocation) Accept(l Transfer) bool {
	if l.Borrower != p.Owner || l.LastWindow < p.currentWindow || l.Amount <= 0 || l.Amount > MaxAmount || l.FirstWindow > l.LastWindow ||
		l.LastWindow-l.FirstWindow >= int64(p.TransferWindows) || l.LastWindow > p.currentWindow+2*int64(p.TransferWindows) || len(p.borrowed) >= MaxTransfers {
		return false
	}
	if slices.ContainsFunc(p.borrowed, func(h transferRecord) bool { return h.Lender == l.Lender && h.Number == l.Number }) {
		return false
	}
	p.borrowed = append(p.borrowed, transferRecord{l, l.LastWindow, 0})
	return true
}

// ReturnUnneeded gives back loans that are not wanted, from the next window on: those of which all further windows have room for it.
func (p *Allocation) ReturnUnneeded() []Transfer {
	var back []Transfer
	next := p.currentWindow + 1
	for i := range p.borrowed {
		l := &p.borrowed[i]
		if l.LastWindow < next {
			continue
		}
		spare := true
		for w := max(next, l.FirstWindow); w <= l.LastWindow && spare; w++ {
			spare = p.Quota(w)-max(p.Spent(w), p.forecastDemand(w)) >= 2*l.Amount
		}
		if spare {
			l.LastWindow = next - 1
			back = append(back, l.Transfer)
		}
	}
	return back
}

// AcceptReturn takes in that a loan ends early.
func (p *Allocation) AcceptReturn(by Owner, number uint64, last int64) {
	for i := range p.lent {
		if l := &p.lent[i]; l.Number == number && l.Borrower == by && last < l.LastWindow {
			l.LastWindow, l.reclaimAt = last, 0
		}
	}
}

// Usage is what a purse shows of itself.
type Usage struct {
	Budget            string  `json:"budget"`
	Window            int64   `json:"window"`
	Quota             int64   `json:"Rights"`
	Spent             int64   `json:"Spent"`
	BaseQuota         int64   `json:"Share"`
	Lent              int64   `json:"Lent"`
	Borrowed          int64   `json:"Held"`
	Demand            float64 `json:"Wanted"`
	Debt              int64   `json:"Debt"`
	LentTransfers     int     `json:"LoansOut"`
	BorrowedTransfers int     `json:"LoansIn"`
	FencingToken      uint64  `json:"LeaseEpoch"`
	LeaseValidFrom    int64   `json:"LeaseFirst"`
	LeaseExpiresAt    int64   `json:"LeaseEnd"`
}

// Usage is how the purse stands.
func (p *Allocation) Usage() Usage {
	w := p.currentWindow
	return Usage{p.Name, w, p.Quota(w), p.Spent(w), p.leasedQuota(w), p.lentAmount(w), p.borrowedAmount(w), p.demand, p.debt, len(p.lent), len(p.borrowed), p.lease.FencingToken, p.lease.ValidFrom, p.lease.ExpiresAt}
}
