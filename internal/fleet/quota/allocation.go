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
	// ClockError is by how many nanoseconds two clocks may differ. What was lent is used again only so long after it
	// ends.
	ClockError int64
	Invariants *invariant.Monitor

	lease         Lease
	now           int64
	currentWindow int64
	spent         []int64 // by window, from the current one on
	lent          []transferRecord
	borrowed      []transferRecord
	lastNumber    uint64 // of the transfers that were lent

	debt   int64 // overdrawn in windows that are over, and not repaid yet
	demand demandEstimate
}

// NewAllocation returns the allocation of an incarnation that begins now. Nothing may be spent before it has a
// lease or a transfer.
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

// SetLease replaces the owner's hold of its slot. A lease of an earlier fencing token changes nothing.
func (a *Allocation) SetLease(lease Lease) {
	if lease.FencingToken >= a.lease.FencingToken {
		a.lease = lease
	}
}

// Advance moves on to a time, in Unix nanoseconds. A clock that is set back does not reopen windows that have ended.
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

// settleOverdraft makes what the current window was overdrawn by a debt, after what the window itself has repaid of it.
func (a *Allocation) settleOverdraft() {
	a.debt -= min(a.debt, a.debtRepayment(a.currentWindow))
	a.debt += max(0, a.spent[0]-a.Quota(a.currentWindow))
}

// dropSpent forgets what was spent in so many windows from the current one on.
func (a *Allocation) dropSpent(windows int64) {
	ended := min(windows, int64(len(a.spent)))
	copy(a.spent, a.spent[ended:])
	clear(a.spent[int64(len(a.spent))-ended:])
}

// CurrentWindow is the number of the current window.
func (a *Allocation) CurrentWindow() int64 { return a.currentWindow }

// NextWindowStart is when the next window begins, in Unix nanoseconds: where nothing is left, there may be
// something then.
func (a *Allocation) NextWindowStart() int64 { return a.WindowStart(a.currentWindow + 1) }

// firstOwnWindow is the first window whose base quota is this owner's. A successor leaves out all windows of which its
// predecessor can have spent or lent, by a clock that was ahead of its own by as much as clocks may be.
func (a *Allocation) firstOwnWindow() int64 {
	if a.lease.Successor {
		return a.WindowAt(a.lease.ValidFrom+2*a.ClockError) + 2*int64(a.TransferWindows) + 1
	}
	return a.WindowAt(a.lease.ValidFrom + int64(a.Window) - 1)
}

// leasedQuota is the slot's base quota in a window that the owner's lease covers whole, lent or not.
func (a *Allocation) leasedQuota(window int64) int64 {
	if a.lease.FencingToken == 0 || window < a.firstOwnWindow() || a.WindowStart(window+1) > a.lease.ExpiresAt {
		return 0
	}
	return a.BaseQuota(a.Owner.Slot, window)
}

// debtDivisor bounds the part of its base quota that a window gives up to repay a debt: a quarter.
const debtDivisor = 4

// debtRepayment is what a window gives up to repay the debt, out of the base quota that is not lent.
func (a *Allocation) debtRepayment(window int64) int64 {
	leased := a.leasedQuota(window)
	return max(0, min(a.debt, leased/debtDivisor, leased-a.lentAmount(window)))
}

// Quota is what may be spent in a window, without the overdraft.
func (a *Allocation) Quota(window int64) int64 {
	own := a.leasedQuota(window) - a.lentAmount(window) - a.debtRepayment(window)
	return max(0, own) + a.borrowedAmount(window)
}

// spendLimit is what may be spent in a window, with the overdraft or without it. Without a lease there is no overdraft.
func (a *Allocation) spendLimit(window int64, overdraft bool) int64 {
	if !overdraft || a.Overdraft == 0 || a.leasedQuota(window) == 0 {
		return a.Quota(window)
	}
	return a.Quota(window) + a.OverdraftQuota(a.Owner.Slot, window)
}

// Spent is what was spent in a window; 0 in one that has ended.
func (a *Allocation) Spent(window int64) int64 {
	offset := window - a.currentWindow
	if offset < 0 || offset >= int64(len(a.spent)) {
		return 0
	}
	return a.spent[offset]
}

// Spend spends an amount in the current window and in each of the next further ones, in all of them or in none. It
// reports whether it did. further may be up to WindowsAhead.
func (a *Allocation) Spend(amount int64, further int) bool { return a.spend(amount, further, false) }

// Overdraw is Spend that may use this slot's share of the overdraft.
func (a *Allocation) Overdraw(amount int64, further int) bool { return a.spend(amount, further, true) }

func (a *Allocation) spend(amount int64, further int, overdraft bool) bool {
	a.demand.request(amount)
	if amount < 0 || further < 0 || further >= len(a.spent) {
		return false
	}
	for i := range further + 1 {
		if a.spent[i]+amount > a.spendLimit(a.currentWindow+int64(i), overdraft) {
			return false
		}
	}
	for i := range further + 1 {
		a.spent[i] += amount
	}
	a.checkSpent(further)
	return true
}

// Refund takes back an amount that was spent and not needed, in each window from first to last. Windows that have
// ended are left as they are.
func (a *Allocation) Refund(amount, first, last int64) {
	last = min(last, a.currentWindow+int64(len(a.spent))-1)
	for window := max(first, a.currentWindow); window <= last; window++ {
		offset := window - a.currentWindow
		a.spent[offset] = max(0, a.spent[offset]-amount)
	}
}

// checkSpent reports windows in which more was spent than may be.
func (a *Allocation) checkSpent(further int) {
	for i := range further + 1 {
		window := a.currentWindow + int64(i)
		limit := a.spendLimit(window, true)
		if a.spent[i] > limit {
			detail := fmt.Sprintf("%s, window %d: %d of %d", a.Name, window, a.spent[i], limit)
			a.Invariants.Violated(invariant.SpentOverQuota, detail)
		}
	}
}

// Shortfall is the demand of a window beyond its quota.
func (a *Allocation) Shortfall(window int64) int64 {
	return max(0, a.forecastDemand(window)-a.Quota(window))
}
