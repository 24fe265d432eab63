package member

import (
	"slices"

	"standpoint/internal/fleet/quota"
)

// lendersPerRequest is how many nodes are asked for quota at once.
const lendersPerRequest = 3

// enqueue adds a message to the next packet to a slot. Messages beyond MaxQuotaMessages are dropped, as they could
// be on their way.
func (m *Member) enqueue(slot int, message QuotaMessage) {
	if len(m.pending[slot]) < MaxQuotaMessages {
		m.pending[slot] = append(m.pending[slot], message)
	}
}

// requestQuota requests quota of a budget that is demanded and lacking, in the current window or in the next.
func (m *Member) requestQuota(budget int, rateFactor float64) {
	allocation := m.Allocations[budget]
	first := allocation.CurrentWindow()
	shortfall := allocation.Shortfall(first)
	if next := allocation.Shortfall(first + 1); shortfall == 0 && next > 0 {
		first++
		shortfall = next
	}
	if shortfall == 0 || rateFactor == 0 || m.now < m.nextRequestAt[budget] {
		return
	}
	// Half of the interval is random: many nodes find out together that they lack something.
	m.nextRequestAt[budget] = m.now + int64(float64(m.RequestInterval)*(0.5+m.rng.Float64())/rateFactor)
	lenders := m.drawLenders(budget)
	for _, slot := range lenders {
		m.enqueue(slot, QuotaMessage{
			Kind:        RequestQuota,
			BudgetHash:  allocation.DefinitionHash(),
			To:          quota.Owner{Slot: slot},
			Amount:      shortfall/int64(len(lenders)) + 1,
			FirstWindow: first,
			LastWindow:  first + int64(allocation.TransferWindows) - 1,
		})
	}
}

// returnUnneeded returns what is borrowed of a budget and not needed, once in each window.
func (m *Member) returnUnneeded(budget int) {
	allocation := m.Allocations[budget]
	window := allocation.CurrentWindow()
	if window <= m.reviewedWindow[budget] {
		return
	}
	m.reviewedWindow[budget] = window
	for _, transfer := range allocation.ReturnUnneeded() {
		m.enqueue(transfer.Lender.Slot, QuotaMessage{
			Kind:       ReturnTransfer,
			BudgetHash: allocation.DefinitionHash(),
			To:         transfer.Lender,
			Number:     transfer.Number,
			LastWindow: transfer.LastWindow,
		})
	}
}

// lender is a node that could lend.
type lender struct {
	slot   int
	weight float64
}

// drawLenders draws the slots that quota of a budget is requested from: weighted by their surplus when they were
// last heard, or, where no surplus is known, any that are alive.
func (m *Member) drawLenders(budget int) []int {
	candidates, total := m.knownLenders(budget)
	if len(candidates) == 0 {
		return m.drawPeers(lendersPerRequest, m.withinHeartbeatTimeout)
	}
	var drawn []int
	for len(drawn) < lendersPerRequest && len(candidates) > 0 {
		position := m.rng.Float64() * total
		i := 0
		for i < len(candidates)-1 && position >= candidates[i].weight {
			position -= candidates[i].weight
			i++
		}
		drawn = append(drawn, candidates[i].slot)
		total -= candidates[i].weight
		candidates = slices.Delete(candidates, i, i+1)
	}
	return drawn
}

// knownLenders returns the slots that are alive and said that they had a surplus of a budget, and the sum of their
// weights.
func (m *Member) knownLenders(budget int) (lenders []lender, total float64) {
	for slot, update := range m.updates {
		if slot == m.Owner.Slot || m.incarnations[slot] == 0 || !m.withinHeartbeatTimeout(slot) {
			continue
		}
		for _, surplus := range update.Surpluses {
			if surplus.Budget == budget && surplus.Amount > 0 {
				lenders = append(lenders, lender{slot: slot, weight: float64(surplus.Amount)})
				total += float64(surplus.Amount)
			}
		}
	}
	return lenders, total
}

// withinHeartbeatTimeout is IsAlive without its test that the slot was ever heard.
func (m *Member) withinHeartbeatTimeout(slot int) bool {
	return m.now-m.lastAlive[slot] <= int64(m.HeartbeatTimeout)
}

// handleQuotaMessage takes in a message from another owner, and returns the reply, if there is one.
func (m *Member) handleQuotaMessage(from quota.Owner, message QuotaMessage) (reply QuotaMessage, ok bool) {
	// Another definition: nothing is lent between nodes whose budgets are not the same.
	budget := slices.IndexFunc(m.Budgets, func(b *quota.Budget) bool {
		return b.DefinitionHash() == message.BudgetHash
	})
	if budget < 0 || message.To.Slot != m.Owner.Slot {
		return QuotaMessage{}, false
	}
	allocation := m.Allocations[budget]
	switch message.Kind {
	case RequestQuota:
		return m.grant(allocation, from, message)
	case GrantTransfer:
		allocation.Accept(quota.Transfer{
			Lender:      from,
			Number:      message.Number,
			Borrower:    message.To,
			Amount:      message.Amount,
			FirstWindow: message.FirstWindow,
			LastWindow:  message.LastWindow,
		})
	case ReturnTransfer:
		if message.To == m.Owner {
			allocation.AcceptReturn(from, message.Number, message.LastWindow)
		}
	}
	return QuotaMessage{}, false
}

// grant lends what is requested, as far as there is a surplus and this tick's grants last.
func (m *Member) grant(allocation *quota.Allocation, borrower quota.Owner, request QuotaMessage) (QuotaMessage, bool) {
	further := request.LastWindow - request.FirstWindow
	if m.grantsLeft <= 0 || request.LastWindow < request.FirstWindow || further >= quota.MaxWindows {
		return QuotaMessage{}, false
	}
	transfer, ok := allocation.Lend(borrower, request.Amount, request.FirstWindow, int(further+1))
	if !ok {
		return QuotaMessage{}, false
	}
	granted := QuotaMessage{
		Kind:        GrantTransfer,
		BudgetHash:  request.BudgetHash,
		To:          transfer.Borrower,
		Number:      transfer.Number,
		Amount:      transfer.Amount,
		FirstWindow: transfer.FirstWindow,
		LastWindow:  transfer.LastWindow,
	}
	m.grantsLeft--
	// It is sent again with the next tick, since a grant that is lost is spent by nobody until its end.
	m.enqueue(borrower.Slot, granted)
	return granted, true
}
