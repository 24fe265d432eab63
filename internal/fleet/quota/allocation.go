package quota

import (
	"fmt"

	"standpoint/internal/fleet/invariant"
)

// Allocation tracks the quota that one node owns, has lent and has borrowed of a shared budget, and what it has
// spent of it in each window. It is not safe for concurrent use.
type Allocation struct {
	*Budget
	Owner Owner
	// ClockError is the maximum difference between the clocks of two nodes, in nanoseconds. A lender uses quota again
	// only that long after the end of its transfer.
	ClockError int64
	Invariants *invariant.Monitor

	lease              Lease
	now                int64   // Unix nanoseconds; never set back
	currentWindow      int64   // number of the current window
	spent              []int64 // amount spent in each window, from the current one on
	lent               []transferRecord
	borrowed           []transferRecord
	lastTransferNumber uint64 // number of the latest transfer lent

	debt   int64 // amount overdrawn in windows that have ended and not repaid yet
	demand demandEstimate
}

// NewAllocation returns the allocation of an incarnation that starts now, in Unix nanoseconds. Nothing can be spent
// before it has a lease or a borrowed transfer.
func NewAllocation(budget *Budget, owner Owner, clockError, now int64, monitor *invariant.Monitor) *Allocation {
	return &Allocation{
		Budget:        budget,
		Owner:         owner,
		ClockError:    clockError,
		Invariants:    monitor,
		now:           now,
		currentWindow: budget.WindowAt(now),
		spent:         make([]int64, budget.WindowsAhead+1),
		demand:        newDemandEstimate(),
	}
}

// SetLease sets the owner's lease of its slot. A lease with a lower fencing token than the present one is ignored.
func (a *Allocation) SetLease(lease Lease) {
	if lease.FencingToken >= a.lease.FencingToken {
		a.lease = lease
	}
}

// Advance advances the allocation's time to now, in Unix nanoseconds. An earlier time than the present one is
// ignored, so that a clock that is set back does not reopen windows that have ended.
func (a *Allocation) Advance(now int64) {
	a.now = max(a.now, now)
	window := a.WindowAt(a.now)
	if window <= a.currentWindow {
		return
	}
	a.demand.endWindows(window - a.currentWindow)
	a.settleOverdraft()
	a.dropSpent(window - a.currentWindow)
	a.currentWindow = window
	a.dropEndedTransfers()
}

// settleOverdraft deducts from the debt what the current window has repaid, and adds the amount by which that window
// was overdrawn.
func (a *Allocation) settleOverdraft() {
	a.debt -= min(a.debt, a.debtRepayment(a.currentWindow))
	a.debt += max(0, a.spent[0]-a.Quota(a.currentWindow))
}

// dropSpent removes the spent amounts of a number of windows, from the current one on.
func (a *Allocation) dropSpent(windows int64) {
	ended := min(windows, int64(len(a.spent)))
	copy(a.spent, a.spent[ended:])
	clear(a.spent[int64(len(a.spent))-ended:])
}

// CurrentWindow returns the number of the current window.
func (a *Allocation) CurrentWindow() int64 { return a.currentWindow }

// NextWindowStart returns the start of the next window in Unix nanoseconds, at which new quota becomes available.
func (a *Allocation) NextWindowStart() int64 { return a.WindowStart(a.currentWindow + 1) }

// firstOwnWindow returns the first window whose base quota is this owner's. A successor skips all windows of which its
// predecessor can have spent or lent quota, even if the predecessor's clock was ahead by the maximum.
func (a *Allocation) firstOwnWindow() int64 {
	if a.lease.Successor {
		return a.WindowAt(a.lease.ValidFrom+2*a.ClockError) + 2*int64(a.TransferWindows) + 1
	}
	return a.WindowAt(a.lease.ValidFrom + int64(a.Window) - 1)
}

// leasedQuota returns the base quota of the slot in a window, whether lent or not, or 0 if the owner's lease does not
// cover the entire window.
func (a *Allocation) leasedQuota(window int64) int64 {
	if a.lease.FencingToken == 0 || window < a.firstOwnWindow() || a.WindowStart(window+1) > a.lease.ExpiresAt {
		return 0
	}
	return a.BaseQuota(a.Owner.Slot, window)
}

// debtDivisor limits the repayment of a debt to a quarter of the base quota of each window.
const debtDivisor = 4

// debtRepayment returns the amount by which the debt reduces the quota of a window. It comes out of base quota that is
// not lent.
func (a *Allocation) debtRepayment(window int64) int64 {
	leased := a.leasedQuota(window)
	return max(0, min(a.debt, leased/debtDivisor, leased-a.lentAmount(window)))
}

// Quota returns the amount that may be spent in a window, without the overdraft.
func (a *Allocation) Quota(window int64) int64 {
	own := a.leasedQuota(window) - a.lentAmount(window) - a.debtRepayment(window)
	return max(0, own) + a.borrowedAmount(window)
}

// spendLimit returns the amount that may be spent in a window, with or without the overdraft. There is no overdraft in
// a window in which the owner has no base quota, for example because its lease does not cover the window.
func (a *Allocation) spendLimit(window int64, withOverdraft bool) int64 {
	if !withOverdraft || a.Overdraft == 0 || a.leasedQuota(window) == 0 {
		return a.Quota(window)
	}
	return a.Quota(window) + a.OverdraftQuota(a.Owner.Slot, window)
}

// Spent returns the amount spent in a window, or 0 if the window has ended or is more than WindowsAhead away.
func (a *Allocation) Spent(window int64) int64 {
	offset := window - a.currentWindow
	if offset < 0 || offset >= int64(len(a.spent)) {
		return 0
	}
	return a.spent[offset]
}

// Spend spends an amount in the current window and in each of furtherWindows after it, in all of them or in none, and
// reports whether it did. furtherWindows is at most WindowsAhead.
func (a *Allocation) Spend(amount int64, furtherWindows int) bool {
	return a.spend(amount, furtherWindows, false)
}

// Overdraw is like Spend, but may also use this slot's share of the overdraft.
func (a *Allocation) Overdraw(amount int64, furtherWindows int) bool {
	return a.spend(amount, furtherWindows, true)
}

// spend implements Spend and Overdraw.
func (a *Allocation) spend(amount int64, furtherWindows int, withOverdraft bool) bool {
	a.demand.record(amount)
	if amount < 0 || furtherWindows < 0 || furtherWindows >= len(a.spent) {
		return false
	}
	for i := range furtherWindows + 1 {
		if a.spent[i]+amount > a.spendLimit(a.currentWindow+int64(i), withOverdraft) {
			return false
		}
	}
	for i := range furtherWindows + 1 {
		a.spent[i] += amount
	}
	a.checkSpent(furtherWindows)
	return true
}

// Refund returns an amount that was spent but not used, in each window from first to last. Windows that have ended
// are not changed.
func (a *Allocation) Refund(amount, first, last int64) {
	last = min(last, a.currentWindow+int64(len(a.spent))-1)
	for window := max(first, a.currentWindow); window <= last; window++ {
		offset := window - a.currentWindow
		a.spent[offset] = max(0, a.spent[offset]-amount)
	}
}

// checkSpent reports a violation for each window, of the current one and furtherWindows after it, in which more is
// spent than the limit.
func (a *Allocation) checkSpent(furtherWindows int) {
	for i := range furtherWindows + 1 {
		window := a.currentWindow + int64(i)
		limit := a.spendLimit(window, true)
		if a.spent[i] > limit {
			detail := fmt.Sprintf("budget %s, window %d: %d spent, limit %d", a.Name, window, a.spent[i], limit)
			a.Invariants.RecordViolation(invariant.SpentOverQuota, detail)
		}
	}
}

// Shortfall returns the amount by which the expected demand of a window exceeds its quota.
func (a *Allocation) Shortfall(window int64) int64 {
	return max(0, a.forecastDemand(window)-a.Quota(window))
}
