package quota

// Usage is the state of an allocation in its current window.
type Usage struct {
	Budget            string  `json:"budget"`     // name of the budget
	Window            int64   `json:"window"`     // number of the window
	Quota             int64   `json:"Rights"`     // amount that may be spent, without the overdraft
	Spent             int64   `json:"Spent"`      // amount spent
	BaseQuota         int64   `json:"Share"`      // base quota of the slot; 0 without a lease
	Lent              int64   `json:"Lent"`       // amount lent, or not to be used again yet
	Borrowed          int64   `json:"Held"`       // amount borrowed
	Demand            float64 `json:"Wanted"`     // average amount requested in a window
	Debt              int64   `json:"Debt"`       // amount overdrawn in ended windows and not repaid yet
	LentTransfers     int     `json:"LoansOut"`   // number of transfers lent
	BorrowedTransfers int     `json:"LoansIn"`    // number of transfers borrowed
	FencingToken      uint64  `json:"LeaseEpoch"` // fencing token of the lease; 0 without one
	LeaseValidFrom    int64   `json:"LeaseFirst"` // Unix nanoseconds
	LeaseExpiresAt    int64   `json:"LeaseEnd"`   // Unix nanoseconds
}

// Usage returns the present state of the allocation.
func (a *Allocation) Usage() Usage {
	window := a.currentWindow
	return Usage{
		Budget:            a.Name,
		Window:            window,
		Quota:             a.Quota(window),
		Spent:             a.Spent(window),
		BaseQuota:         a.leasedQuota(window),
		Lent:              a.lentAmount(window),
		Borrowed:          a.borrowedAmount(window),
		Demand:            a.demand.averagePerWindow,
		Debt:              a.debt,
		LentTransfers:     len(a.lent),
		BorrowedTransfers: len(a.borrowed),
		FencingToken:      a.lease.FencingToken,
		LeaseValidFrom:    a.lease.ValidFrom,
		LeaseExpiresAt:    a.lease.ExpiresAt,
	}
}
