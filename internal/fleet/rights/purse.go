package rights

import (
	"fmt"
	"math"
	"slices"

	"standpoint/internal/fleet/invariant"
)

// Owner is one life of a node: a seat of the fleet, and the incarnation that has it. Whatever is granted, lent or counted is an
// owner's, never a seat's: who comes after it owes and holds nothing of it.
type Owner struct {
	Seat int    `cbor:"1,keyasint"`
	Inc  uint64 `cbor:"2,keyasint"`
}

// Lease is a node's hold of its seat. Epoch is the fence under which it was given, 0 for none; First is the moment from which
// on the seat is this owner's, Until the one at which it ends, unless it is given anew. Heir tells that another life of the
// same node may have had it until First: what that one has spent and lent is not known.
type Lease struct {
	Epoch uint64
	First int64
	Until int64
	Heir  bool
}

// Loan is rights that one owner lends to another, for windows from First to Last. Its lender and number name it.
type Loan struct {
	Lender Owner
	Number uint64
	To     Owner
	Amount int64
	First  int64
	Last   int64
}

// loan is a loan as one of the two has it. given is when it was to end at first: it is remembered until then, so that it counts
// once however often it is told. guard is up to when the lender does not use again what it has not been given back.
type loan struct {
	Loan
	given int64
	guard int64
}

func (l *loan) covers(w int64) bool { return l.First <= w && w <= l.Last }

// Purse is what one node holds and spends of one budget.
type Purse struct {
	*Budget
	Own   Owner
	Error int64 // of clocks: what was lent is used again only so long after the loan's end
	Guard *invariant.Guard

	lease  Lease
	now    int64
	window int64
	spent  []int64 // by window, from the present one on
	lent   []loan
	held   []loan
	number uint64

	debt   int64   // overdrawn in windows that are over, and not made good yet
	asked  int64   // in the present window, granted or not
	wanted float64 // in a window, as the latest ones show
	first  bool    // no window has ended yet
}

// NewPurse makes an empty purse of a life that begins now. Nothing may be spent before it has a lease or a loan.
func NewPurse(b *Budget, own Owner, clockError, now int64, g *invariant.Guard) *Purse {
	p := &Purse{Budget: b, Own: own, Error: clockError, Guard: g, spent: make([]int64, b.Ahead+1), first: true}
	p.now, p.window = now, b.At(now)
	return p
}

// Lease takes in the node's hold of its seat. An earlier epoch changes nothing.
func (p *Purse) Lease(l Lease) {
	if l.Epoch >= p.lease.Epoch {
		p.lease = l
	}
}

// Advance goes on to a time. A clock that goes back does not bring windows back: what is over stays over.
func (p *Purse) Advance(now int64) {
	p.now = max(p.now, now)
	w := p.At(p.now)
	if w <= p.window {
		return
	}
	const weight = 0.5 // of the latest window
	for range min(w-p.window, 16) {
		if p.first {
			p.wanted, p.first = float64(p.asked), false
		} else {
			p.wanted += weight * (float64(p.asked) - p.wanted)
		}
		p.asked = 0
	}
	// An overdraft becomes a debt on the windows that follow: each gives up a part of its share for it.
	p.debt -= min(p.debt, p.due(p.window))
	p.debt += max(0, p.spent[0]-p.Rights(p.window))
	gone := min(w-p.window, int64(len(p.spent)))
	copy(p.spent, p.spent[gone:])
	clear(p.spent[int64(len(p.spent))-gone:])
	p.window = w
	p.held = slices.DeleteFunc(p.held, func(l loan) bool { return l.given < w })
	p.lent = slices.DeleteFunc(p.lent, func(l loan) bool { return l.given < w && l.guard <= p.now })
}

// Window is the present window.
func (p *Purse) Window() int64 { return p.window }

// from is the first window whose share is this owner's. An heir leaves alone all windows that the life before it can have
// spent or lent of, by a clock that went ahead of its own by as much as clocks may.
func (p *Purse) from() int64 {
	if p.lease.Heir {
		return p.At(p.lease.First+2*p.Error) + 2*int64(p.Loan) + 1
	}
	return p.At(p.lease.First + int64(p.Budget.Window) - 1)
}

// own is the seat's share in a window that is this owner's, lent or not.
func (p *Purse) own(w int64) int64 {
	if p.lease.Epoch == 0 || w < p.from() || p.Begins(w+1) > p.lease.Until {
		return 0
	}
	return p.Share(p.Own.Seat, w)
}

// out is what is lent of a window. What comes back at a loan's end comes back when no clock in the fleet can still be before it.
func (p *Purse) out(w int64) int64 {
	n := int64(0)
	for i := range p.lent {
		if l := &p.lent[i]; l.covers(w) || w > l.Last && p.now < l.guard && w <= p.At(l.guard) {
			n += l.Amount
		}
	}
	return n
}

func (p *Purse) in(w int64) int64 {
	n := int64(0)
	for i := range p.held {
		if p.held[i].covers(w) {
			n += p.held[i].Amount
		}
	}
	return n
}

// debtPart is the part of a share that a window gives up for a debt.
const debtPart = 4

// due is what a window gives up for the debt: what it has left of its share, a part of that at the most.
func (p *Purse) due(w int64) int64 {
	return max(0, min(p.debt, p.own(w)/debtPart, p.own(w)-p.out(w)))
}

// Debt is what has been overdrawn and not made good yet.
func (p *Purse) Debt() int64 { return p.debt }

// Rights are what may be spent in a window.
func (p *Purse) Rights(w int64) int64 { return max(0, p.own(w)-p.out(w)-p.due(w)) + p.in(w) }

func (p *Purse) most(w int64, grace bool) int64 {
	if !grace || p.Overdraft == 0 || p.own(w) == 0 {
		return p.Rights(w)
	}
	return p.Rights(w) + p.Grace(p.Own.Seat, w)
}

// Spent is what is spent in a window.
func (p *Purse) Spent(w int64) int64 {
	if i := w - p.window; i >= 0 && i < int64(len(p.spent)) {
		return p.spent[i]
	}
	return 0
}

// Spend spends n in the present window and in as many further ones as are asked for, in all of them or in none. further must
// not be over Ahead.
func (p *Purse) Spend(n int64, further int) bool { return p.spend(n, further, false) }

// Overdraw is Spend that may go into this seat's part of the overdraft.
func (p *Purse) Overdraw(n int64, further int) bool { return p.spend(n, further, true) }

func (p *Purse) spend(n int64, further int, grace bool) bool {
	p.asked += max(0, n)
	if n < 0 || further < 0 || further >= len(p.spent) {
		return false
	}
	for i := range further + 1 {
		if w := p.window + int64(i); p.spent[i]+n > p.most(w, grace) {
			return false
		}
	}
	for i := range further + 1 {
		p.spent[i] += n
	}
	p.check(further)
	return true
}

// GiveBack takes back what was spent and is not needed: n in each window from a first one to a last one. What is over is over.
func (p *Purse) GiveBack(n, first, last int64) {
	for w := max(first, p.window); w <= last && w-p.window < int64(len(p.spent)); w++ {
		p.spent[w-p.window] = max(0, p.spent[w-p.window]-n)
	}
}

func (p *Purse) check(further int) {
	for i := range further + 1 {
		w := p.window + int64(i)
		if p.spent[i] > p.most(w, true) {
			p.Guard.Broken(invariant.SpentOverRights, fmt.Sprintf("%s, window %d: %d of %d", p.Name, w, p.spent[i], p.most(w, true)))
		}
	}
}

// Due is when something may be had again, where there is nothing left: the beginning of the next window.
func (p *Purse) Due() int64 { return p.Begins(p.window + 1) }

// forecast is what is wanted of a window, with a tenth to spare.
func (p *Purse) forecast(w int64) int64 {
	f := p.wanted
	if w == p.window {
		// What was asked already, and at the usual pace for the rest.
		left := 1 - float64(p.now-p.Begins(w))/float64(p.Budget.Window)
		f = float64(p.asked) + max(0, min(1, left))*max(p.wanted, float64(p.asked))
		if p.first {
			f = float64(p.asked)
		}
	}
	return int64(math.Ceil(f * 1.1))
}

// Lacks is what is wanted of a window beyond what is held.
func (p *Purse) Lacks(w int64) int64 { return max(0, p.forecast(w)-p.Rights(w)) }

// Spare is what may be lent of the windows from first to last: of the own share alone, beyond what is spent, lent or wanted.
func (p *Purse) Spare(first, last int64) int64 {
	least := int64(math.MaxInt64)
	for w := first; w <= last; w++ {
		need := max(p.Spent(w), p.forecast(w)) - p.in(w)
		least = min(least, p.own(w)-p.out(w)-p.due(w)-max(0, need))
	}
	return max(0, least)
}

// Lend lends to another owner up to so much, for windows from first on, for a stated span at the most. Of what is spare half is
// lent at a time: several may ask, and each at several.
func (p *Purse) Lend(to Owner, amount, first int64, span int) (Loan, bool) {
	first = max(first, p.window)
	last := first + int64(min(span, p.Loan)) - 1
	if to.Seat == p.Own.Seat || amount <= 0 || span < 1 || first > p.window+int64(p.Loan) {
		return Loan{}, false
	}
	// Refused rather than forgotten: a loan that nobody remembers would be spent twice.
	if len(p.lent) >= LoansMost {
		return Loan{}, false
	}
	spare := p.Spare(first, last)
	if spare < p.Share(p.Own.Seat, first)/64 {
		return Loan{}, false
	}
	amount = min(amount, (spare+1)/2)
	if amount <= 0 {
		return Loan{}, false
	}
	p.number++
	l := Loan{Lender: p.Own, Number: p.number, To: to, Amount: amount, First: first, Last: last}
	p.lent = append(p.lent, loan{l, last, p.Begins(last+1) + p.Error})
	for w := first; w <= last; w++ {
		if p.out(w) > p.own(w) {
			p.Guard.Broken(invariant.LentOverShare, fmt.Sprintf("%s, window %d: %d of %d", p.Name, w, p.out(w), p.own(w)))
		}
	}
	return l, true
}

// Take takes a loan in, once, if it is this owner's and not over. What cannot be kept in mind is not taken: it is nobody's until
// its end.
func (p *Purse) Take(l Loan) bool {
	if l.To != p.Own || l.Last < p.window || l.Amount <= 0 || l.Amount > AmountMost || l.First > l.Last ||
		l.Last-l.First >= int64(p.Loan) || l.Last > p.window+2*int64(p.Loan) || len(p.held) >= LoansMost {
		return false
	}
	if slices.ContainsFunc(p.held, func(h loan) bool { return h.Lender == l.Lender && h.Number == l.Number }) {
		return false
	}
	p.held = append(p.held, loan{l, l.Last, 0})
	return true
}

// Return gives back loans that are not wanted, from the next window on: those of which all further windows have room for it.
func (p *Purse) Return() []Loan {
	var back []Loan
	next := p.window + 1
	for i := range p.held {
		l := &p.held[i]
		if l.Last < next {
			continue
		}
		spare := true
		for w := max(next, l.First); w <= l.Last && spare; w++ {
			spare = p.Rights(w)-max(p.Spent(w), p.forecast(w)) >= 2*l.Amount
		}
		if spare {
			l.Last = next - 1
			back = append(back, l.Loan)
		}
	}
	return back
}

// Returned takes in that a loan ends early.
func (p *Purse) Returned(by Owner, number uint64, last int64) {
	for i := range p.lent {
		if l := &p.lent[i]; l.Number == number && l.To == by && last < l.Last {
			l.Last, l.guard = last, 0
		}
	}
}

// Use is what a purse shows of itself.
type Use struct {
	Budget     string  `json:"budget"`
	Window     int64   `json:"window"`
	Rights     int64   `json:"Rights"`
	Spent      int64   `json:"Spent"`
	Share      int64   `json:"Share"`
	Lent       int64   `json:"Lent"`
	Held       int64   `json:"Held"`
	Wanted     float64 `json:"Wanted"`
	Debt       int64   `json:"Debt"`
	LoansOut   int     `json:"LoansOut"`
	LoansIn    int     `json:"LoansIn"`
	LeaseEpoch uint64  `json:"LeaseEpoch"`
	LeaseFirst int64   `json:"LeaseFirst"`
	LeaseEnd   int64   `json:"LeaseEnd"`
}

// Use is how the purse stands.
func (p *Purse) Use() Use {
	w := p.window
	return Use{p.Name, w, p.Rights(w), p.Spent(w), p.own(w), p.out(w), p.in(w), p.wanted, p.debt, len(p.lent), len(p.held), p.lease.Epoch, p.lease.First, p.lease.Until}
}
