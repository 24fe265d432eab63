package quota

import (
	"fmt"
	"math"
	"slices"

	"standpoint/internal/fleet/invariant"
)

// Transfer is quota that one owner lends to another, in each window from FirstWindow to LastWindow. Its lender and
// its number identify it.
type Transfer struct {
	Lender      Owner
	Number      uint64
	Borrower    Owner
	Amount      int64 // in each window
	FirstWindow int64
	LastWindow  int64
}

// transferRecord is a transfer as its lender or its borrower has it.
type transferRecord struct {
	Transfer
	// originalLast is the last window that it had at first. It is remembered until then, so that it counts once
	// however often it is announced.
	originalLast int64
	// reclaimAt is when its lender uses again what was not returned, in Unix nanoseconds; 0 at its borrower.
	reclaimAt int64
}

func (t *transferRecord) covers(window int64) bool {
	return t.FirstWindow <= window && window <= t.LastWindow
}

// lentAmount is what is lent of a window, or was lent and may not be used again yet.
func (a *Allocation) lentAmount(window int64) int64 {
	total := int64(0)
	for i := range a.lent {
		transfer := &a.lent[i]
		if transfer.covers(window) || a.awaitsReclaim(transfer, window) {
			total += transfer.Amount
		}
	}
	return total
}

// awaitsReclaim reports whether a transfer has ended before a window, but a clock in the fleet may still be before
// its end.
func (a *Allocation) awaitsReclaim(transfer *transferRecord, window int64) bool {
	return window > transfer.LastWindow && a.now < transfer.reclaimAt && window <= a.WindowAt(transfer.reclaimAt)
}

// borrowedAmount is what is borrowed for a window.
func (a *Allocation) borrowedAmount(window int64) int64 {
	total := int64(0)
	for i := range a.borrowed {
		if a.borrowed[i].covers(window) {
			total += a.borrowed[i].Amount
		}
	}
	return total
}

// Surplus is what may be lent in each window from first to last: of the base quota alone, beyond what is spent,
// lent or expected to be demanded.
func (a *Allocation) Surplus(first, last int64) int64 {
	minimum := int64(math.MaxInt64)
	for window := first; window <= last; window++ {
		needed := max(a.Spent(window), a.forecastDemand(window)) - a.borrowedAmount(window)
		surplus := a.leasedQuota(window) - a.lentAmount(window) - a.debtRepayment(window) - max(0, needed)
		minimum = min(minimum, surplus)
	}
	return max(0, minimum)
}

// minSurplusDivisor is the part of its base quota that a lender must have to spare: less is not worth a message.
const minSurplusDivisor = 64

// Lend lends to another owner up to an amount, in so many windows from first on; TransferWindows bounds them. Of
// the surplus half is lent at a time, since several may ask, and each asks several. False: nothing is lent.
func (a *Allocation) Lend(borrower Owner, amount, first int64, windows int) (Transfer, bool) {
	first = max(first, a.currentWindow)
	last := first + int64(min(windows, a.TransferWindows)) - 1
	if borrower.Slot == a.Owner.Slot || amount <= 0 || windows < 1 || first > a.currentWindow+int64(a.TransferWindows) {
		return Transfer{}, false
	}
	// Refused rather than forgotten: a transfer that its lender does not remember would be spent twice.
	if len(a.lent) >= MaxTransfers {
		return Transfer{}, false
	}
	surplus := a.Surplus(first, last)
	if surplus < a.BaseQuota(a.Owner.Slot, first)/minSurplusDivisor {
		return Transfer{}, false
	}
	amount = min(amount, (surplus+1)/2)
	if amount <= 0 {
		return Transfer{}, false
	}
	a.lastNumber++
	transfer := Transfer{
		Lender:      a.Owner,
		Number:      a.lastNumber,
		Borrower:    borrower,
		Amount:      amount,
		FirstWindow: first,
		LastWindow:  last,
	}
	a.lent = append(a.lent, transferRecord{
		Transfer:     transfer,
		originalLast: last,
		reclaimAt:    a.WindowStart(last+1) + a.ClockError,
	})
	a.checkLent(first, last)
	return transfer, true
}

// checkLent reports windows of which more is lent than the owner has.
func (a *Allocation) checkLent(first, last int64) {
	for window := first; window <= last; window++ {
		lent := a.lentAmount(window)
		own := a.leasedQuota(window)
		if lent > own {
			detail := fmt.Sprintf("%s, window %d: %d of %d", a.Name, window, lent, own)
			a.Invariants.Violated(invariant.LentOverBaseQuota, detail)
		}
	}
}

// Accept takes in a transfer to this owner, once, unless it has ended or is malformed. It reports whether it did.
// What cannot be remembered is not accepted: it is nobody's until its end.
func (a *Allocation) Accept(transfer Transfer) bool {
	if transfer.Borrower != a.Owner || transfer.LastWindow < a.currentWindow || !a.wellFormed(transfer) {
		return false
	}
	if len(a.borrowed) >= MaxTransfers {
		return false
	}
	known := slices.ContainsFunc(a.borrowed, func(b transferRecord) bool {
		return b.Lender == transfer.Lender && b.Number == transfer.Number
	})
	if known {
		return false
	}
	a.borrowed = append(a.borrowed, transferRecord{Transfer: transfer, originalLast: transfer.LastWindow})
	return true
}

// wellFormed reports whether a transfer is one that a lender of this budget can have granted by now.
func (a *Allocation) wellFormed(transfer Transfer) bool {
	if transfer.Amount <= 0 || transfer.Amount > MaxAmount || transfer.FirstWindow > transfer.LastWindow {
		return false
	}
	windows := int64(a.TransferWindows)
	return transfer.LastWindow-transfer.FirstWindow < windows && transfer.LastWindow <= a.currentWindow+2*windows
}

// ReturnUnneeded ends borrowed transfers that are not needed after the current window, and returns them with their
// new end. A transfer is not needed where each of its further windows has twice its amount to spare.
func (a *Allocation) ReturnUnneeded() []Transfer {
	var returned []Transfer
	for i := range a.borrowed {
		transfer := &a.borrowed[i].Transfer
		if transfer.LastWindow > a.currentWindow && a.unneeded(transfer) {
			transfer.LastWindow = a.currentWindow
			returned = append(returned, *transfer)
		}
	}
	return returned
}

func (a *Allocation) unneeded(transfer *Transfer) bool {
	for window := max(a.currentWindow+1, transfer.FirstWindow); window <= transfer.LastWindow; window++ {
		spare := a.Quota(window) - max(a.Spent(window), a.forecastDemand(window))
		if spare < 2*transfer.Amount {
			return false
		}
	}
	return true
}

// AcceptReturn takes in that a borrower has ended a transfer early, after window last.
func (a *Allocation) AcceptReturn(borrower Owner, number uint64, last int64) {
	for i := range a.lent {
		transfer := &a.lent[i]
		if transfer.Number == number && transfer.Borrower == borrower && last < transfer.LastWindow {
			transfer.LastWindow = last
			transfer.reclaimAt = 0 // the borrower has said so itself: no clock matters
		}
	}
}

// dropEndedTransfers forgets transfers that can neither be spent nor be counted twice any more.
func (a *Allocation) dropEndedTransfers() {
	window := a.currentWindow
	// By the end that they had at first: one that was returned early could come once more, as a message that was late.
	a.borrowed = slices.DeleteFunc(a.borrowed, func(t transferRecord) bool { return t.originalLast < window })
	a.lent = slices.DeleteFunc(a.lent, func(t transferRecord) bool {
		return t.originalLast < window && t.reclaimAt <= a.now
	})
}
