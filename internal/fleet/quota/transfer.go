package quota

import (
	"fmt"
	"math"
	"slices"

	"standpoint/internal/fleet/invariant"
)

// Transfer is quota that one owner lends to another, in each window from FirstWindow to LastWindow. It is identified
// by its lender and its number.
type Transfer struct {
	Lender      Owner
	Number      uint64
	Borrower    Owner
	Amount      int64 // amount in each window
	FirstWindow int64 // number of the first window
	LastWindow  int64 // number of the last window
}

// transferRecord is the record that the lender or the borrower has of a transfer.
type transferRecord struct {
	Transfer
	// originalLast is the last window at the time of the grant. The record is kept until that window has ended, so that
	// the transfer counts once however often its grant is received.
	originalLast int64
	// reclaimAt is the time from which the lender uses quota again that was not returned, in Unix nanoseconds. It is 0
	// after a return, and in the borrower's record.
	reclaimAt int64
}

// covers reports whether a window is one of the transfer's.
func (t *transferRecord) covers(window int64) bool {
	return t.FirstWindow <= window && window <= t.LastWindow
}

// lentAmount returns the amount of a window that is lent, or was lent and must not be used again yet.
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

// awaitsReclaim reports whether a transfer ends before a window, but may not have ended by the slowest clock of the
// fleet.
func (a *Allocation) awaitsReclaim(transfer *transferRecord, window int64) bool {
	return window > transfer.LastWindow && a.now < transfer.reclaimAt && window <= a.WindowAt(transfer.reclaimAt)
}

// borrowedAmount returns the amount that is borrowed in a window.
func (a *Allocation) borrowedAmount(window int64) int64 {
	total := int64(0)
	for i := range a.borrowed {
		if a.borrowed[i].covers(window) {
			total += a.borrowed[i].Amount
		}
	}
	return total
}

// Surplus returns the amount that can be lent in each window from first to last. It is the part of the base quota
// that is neither spent, nor lent, nor expected to be demanded. Borrowed quota is not lent on.
func (a *Allocation) Surplus(first, last int64) int64 {
	minimum := int64(math.MaxInt64)
	for window := first; window <= last; window++ {
		needed := max(a.Spent(window), a.forecastDemand(window)) - a.borrowedAmount(window)
		surplus := a.leasedQuota(window) - a.lentAmount(window) - a.debtRepayment(window) - max(0, needed)
		minimum = min(minimum, surplus)
	}
	return max(0, minimum)
}

// minSurplusDivisor is the divisor of the base quota that gives the minimum surplus of a lender. A smaller transfer
// does not justify a message.
const minSurplusDivisor = 64

// Lend lends up to an amount to another owner, in a number of windows from first on, at most TransferWindows. It
// lends at most half of the surplus, since several nodes may request quota, each from several lenders. It returns
// false if it lends nothing.
func (a *Allocation) Lend(borrower Owner, amount, first int64, windows int) (Transfer, bool) {
	first = max(first, a.currentWindow)
	last := first + int64(min(windows, a.TransferWindows)) - 1
	if borrower.Slot == a.Owner.Slot || amount <= 0 || windows < 1 || first > a.currentWindow+int64(a.TransferWindows) {
		return Transfer{}, false
	}
	// A further transfer is rejected, since dropping the record of one would let its quota be spent twice.
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
	a.lastTransferNumber++
	transfer := Transfer{
		Lender:      a.Owner,
		Number:      a.lastTransferNumber,
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

// checkLent reports a violation for each window from first to last of which more is lent than the base quota.
func (a *Allocation) checkLent(first, last int64) {
	for window := first; window <= last; window++ {
		lent := a.lentAmount(window)
		own := a.leasedQuota(window)
		if lent > own {
			detail := fmt.Sprintf("budget %s, window %d: %d lent, base quota %d", a.Name, window, lent, own)
			a.Invariants.RecordViolation(invariant.LentOverBaseQuota, detail)
		}
	}
}

// Accept records a transfer to this owner, and reports whether it did. It rejects a transfer that it has recorded
// before, that has ended or that is malformed, and any beyond MaxTransfers. No node can spend the quota of a rejected
// transfer until its end.
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

// wellFormed reports whether a lender of this budget can have granted a transfer by now.
func (a *Allocation) wellFormed(transfer Transfer) bool {
	if transfer.Amount <= 0 || transfer.Amount > MaxAmount || transfer.FirstWindow > transfer.LastWindow {
		return false
	}
	windows := int64(a.TransferWindows)
	return transfer.LastWindow-transfer.FirstWindow < windows && transfer.LastWindow <= a.currentWindow+2*windows
}

// ReturnUnneeded ends borrowed transfers that are not needed after the current window, and returns them with their
// new end. A transfer is not needed if each of its later windows has spare quota of at least twice its amount.
func (a *Allocation) ReturnUnneeded() []Transfer {
	var returned []Transfer
	for i := range a.borrowed {
		transfer := &a.borrowed[i].Transfer
		if transfer.LastWindow > a.currentWindow && a.isUnneeded(transfer) {
			transfer.LastWindow = a.currentWindow
			returned = append(returned, *transfer)
		}
	}
	return returned
}

// isUnneeded reports whether a borrowed transfer is not needed after the current window.
func (a *Allocation) isUnneeded(transfer *Transfer) bool {
	for window := max(a.currentWindow+1, transfer.FirstWindow); window <= transfer.LastWindow; window++ {
		spare := a.Quota(window) - max(a.Spent(window), a.forecastDemand(window))
		if spare < 2*transfer.Amount {
			return false
		}
	}
	return true
}

// AcceptReturn records that a borrower has ended a transfer early, after window last.
func (a *Allocation) AcceptReturn(borrower Owner, number uint64, last int64) {
	for i := range a.lent {
		transfer := &a.lent[i]
		if transfer.Number == number && transfer.Borrower == borrower && last < transfer.LastWindow {
			transfer.LastWindow = last
			transfer.reclaimAt = 0 // the borrower has ended it itself, so its clock does not matter
		}
	}
}

// dropEndedTransfers removes the records of transfers that can neither be spent nor be counted twice any more.
func (a *Allocation) dropEndedTransfers() {
	window := a.currentWindow
	// Their original end counts, since the grant of a transfer that was returned early may be received once more.
	a.borrowed = slices.DeleteFunc(a.borrowed, func(t transferRecord) bool { return t.originalLast < window })
	a.lent = slices.DeleteFunc(a.lent, func(t transferRecord) bool {
		return t.originalLast < window && t.reclaimAt <= a.now
	})
}
