package quota

// Usage describes an allocation and its current window.
type Usage struct {
	Budget            string  `json:"budget"`
	Window            int64   `json:"window"`
	Quota             int64   `json:"Rights"`
	Spent             int64   `json:"Spent"`
	BaseQuota         int64   `json:"Share"`
	Lent              int64   `json:"Lent"`
	Borrowed          int64   `json:"Held"`
	Demand            float64 `json:"Wanted"` // in a window, as the latest ones show it
	Debt              int64   `json:"Debt"`
	LentTransfers     int     `json:"LoansOut"`
	BorrowedTransfers int     `json:"LoansIn"`
	FencingToken      uint64  `json:"LeaseEpoch"`
	LeaseValidFrom    int64   `json:"LeaseFirst"` // Unix nanoseconds
	LeaseExpiresAt    int64   `json:"LeaseEnd"`   // Unix nanoseconds
}

// Usage describes the allocation as it stands.
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
		Demand:            a.demand.perWindow,
		Debt:              a.debt,
		LentTransfers:     len(a.lent),
		BorrowedTransfers: len(a.borrowed),
		FencingToken:      a.lease.FencingToken,
		LeaseValidFrom:    a.lease.ValidFrom,
		LeaseExpiresAt:    a.lease.ExpiresAt,
	}
}
