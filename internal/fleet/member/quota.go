package member

import (
	"slices"

	"standpoint/internal/fleet/quota"
)

// lendersPerRequest is the number of nodes that quota is requested from at once.
const lendersPerRequest = 3

// enqueue adds a message to the next packet to a slot. Messages beyond MaxQuotaMessages are dropped; the protocol
// tolerates that, since messages may be lost in transit too.
func (m *Member) enqueue(slot int, message QuotaMessage) {
	if len(m.pendingMessages[slot]) < MaxQuotaMessages {
		m.pendingMessages[slot] = append(m.pendingMessages[slot], message)
	}
}

// requestQuota requests quota of a budget from other nodes if this node has less than its demand, in the current
// window or in the next.
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
	// The interval is between half and one and a half of RequestInterval, since many nodes may find a shortfall at the
	// same time.
	m.nextRequestAt[budget] = m.now + int64(float64(m.RequestInterval)*(0.5+m.rng.Float64())/rateFactor)
	lenders := m.sampleLenders(budget)
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

// returnUnneeded returns borrowed quota of a budget that this node does not need, once in each window.
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

// lender is a node that may lend quota.
type lender struct {
	slot   int
	weight float64 // its surplus
}

// sampleLenders draws the slots to request quota of a budget from, weighted by the surplus in their latest updates.
// If no surplus is known, it draws from all slots; those that are not alive are drawn with a lower probability.
func (m *Member) sampleLenders(budget int) []int {
	candidates, total := m.knownLenders(budget)
	if len(candidates) == 0 {
		return m.samplePeers(lendersPerRequest, m.withinHeartbeatTimeout)
	}
	var sampled []int
	for len(sampled) < lendersPerRequest && len(candidates) > 0 {
		position := m.rng.Float64() * total
		i := 0
		for i < len(candidates)-1 && position >= candidates[i].weight {
			position -= candidates[i].weight
			i++
		}
		sampled = append(sampled, candidates[i].slot)
		total -= candidates[i].weight
		candidates = slices.Delete(candidates, i, i+1)
	}
	return sampled
}

// knownLenders returns the slots that are alive and have a surplus of a budget by their latest updates, and the sum of
// their weights.
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

// withinHeartbeatTimeout is IsAlive without the check that the slot was ever alive.
func (m *Member) withinHeartbeatTimeout(slot int) bool {
	return m.now-m.lastAlive[slot] <= int64(m.HeartbeatTimeout)
}

// handleQuotaMessage handles a message from another owner, and returns the reply, if there is one.
func (m *Member) handleQuotaMessage(from quota.Owner, message QuotaMessage) (reply QuotaMessage, ok bool) {
	// Nodes lend to each other only if their definitions of the budget are the same.
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

// grant lends quota in response to a request, if there is a surplus and this tick's limit of grants is not reached.
func (m *Member) grant(allocation *quota.Allocation, borrower quota.Owner, request QuotaMessage) (QuotaMessage, bool) {
	furtherWindows := request.LastWindow - request.FirstWindow
	if m.grantsLeft <= 0 || request.LastWindow < request.FirstWindow || furtherWindows >= quota.MaxWindows {
		return QuotaMessage{}, false
	}
	transfer, ok := allocation.Lend(borrower, request.Amount, request.FirstWindow, int(furtherWindows+1))
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
	// The grant is sent again with the next tick: if it were lost, no node could spend the quota until its end.
	m.enqueue(borrower.Slot, granted)
	return granted, true
}
