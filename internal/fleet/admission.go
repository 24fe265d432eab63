package fleet

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/fleet/ledger"
	"standpoint/internal/fleet/quota"
	"standpoint/internal/node"
)

// ledgerFullRetryAfter is the Retry-After of a request rejected because the ledger accepts no entries for now.
const ledgerFullRetryAfter = 500 * time.Millisecond

// maxRetryJitter is the upper bound of the random part of a Retry-After.
const maxRetryJitter = 500 * time.Millisecond

// Admit charges the maximum cost of a request to its tenant's budget, if the tenant has one. It returns false if the
// quota is not sufficient or the ledger is full; the client should then retry after the wait.
func (f *Fleet) Admit(request *standpoint.Request) (charge node.Charge, wait time.Duration, ok bool) {
	if f.LedgerFull != nil && f.LedgerFull() {
		return node.Charge{}, ledgerFullRetryAfter, false
	}
	if request.Tenant < 0 || request.Tenant >= len(f.TokenBudgets) || f.TokenBudgets[request.Tenant] < 0 {
		return node.Charge{Budget: node.NoBudget}, 0, true
	}
	budget := f.TokenBudgets[request.Tenant]
	amount := int64(request.PromptTokens + request.MaxTokens)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.member.Advance(f.Now())
	allocation := f.member.Allocations[budget]
	if !allocation.Spend(amount, 0) && !(f.mayOverdraw(request.Class) && allocation.Overdraw(amount, 0)) {
		f.rejectedRequests++
		return node.Charge{}, f.retryAfter(allocation), false
	}
	window := allocation.CurrentWindow()
	f.logSpending(messageSpent, allocation.Name, window, amount)
	return node.Charge{Budget: budget, Window: window, Amount: amount}, 0, true
}

// mayOverdraw reports whether requests of a class may use the overdraft now. The caller holds f.mu.
func (f *Fleet) mayOverdraw(class int) bool {
	return class < len(f.OverdraftClasses) && f.OverdraftClasses[class] && f.isolated()
}

// retryAfter returns the time after which the client of a rejected request should retry: when the next window has
// begun, plus a random part, so that clients do not all retry at that moment.
func (f *Fleet) retryAfter(allocation *quota.Allocation) time.Duration {
	nextWindow := max(0, time.Duration(allocation.NextWindowStart()-f.Now()))
	jitterRange := max(time.Millisecond, min(allocation.Window/4, maxRetryJitter))
	return nextWindow + rand.N(jitterRange)
}

// Settle settles the charge of an admitted request by its outcome: it refunds the difference to the actual cost and
// counts that cost. If the request was served at least in part, it also writes a ledger entry.
func (f *Fleet) Settle(request *standpoint.Request, charge node.Charge, answer node.Answer) {
	promptTokens := request.PromptTokens
	if charge.UncachedTokens > 0 {
		promptTokens = charge.UncachedTokens
	}
	cost := tokenCost(promptTokens, request, answer)
	if f.RecordUsage != nil && (answer.Kind == node.Served || answer.Kind == node.Interrupted) {
		if !f.RecordUsage(f.ledgerEntry(promptTokens, request, answer)) {
			f.Log.Error("usage not recorded", zap.String("reason", "too many entries wait to be written"))
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.member.Counters.Add(RequestCounter, 1)
	f.member.Counters.Add(TokenCounter, cost)
	f.member.Counters.Add(FirstTenantCounter+request.Tenant, cost)
	f.refund(charge, cost)
}

// tokenCost returns the cost of a request in tokens. It is the maximum cost if the usage of a served request is not
// known, if the response was interrupted or moved, or if the client disconnected after its start.
func tokenCost(promptTokens float64, request *standpoint.Request, answer node.Answer) int64 {
	switch answer.Kind {
	case node.Served:
		if answer.Usage.Known {
			return int64(promptTokens + answer.Usage.OutputTokens)
		}
	case node.Interrupted, node.Moved:
	case node.ClientDisconnected:
		if !answer.Usage.Started {
			return 0
		}
	default:
		return 0
	}
	return int64(promptTokens + request.MaxTokens)
}

// ledgerEntry returns the ledger entry of a request that was served, at least in part.
func (f *Fleet) ledgerEntry(promptTokens float64, request *standpoint.Request, answer node.Answer) ledger.Entry {
	entry := ledger.Entry{
		Session:      request.Session,
		InputTokens:  int64(promptTokens),
		CachedTokens: int64(answer.Usage.CachedTokens),
		OutputTokens: int64(answer.Usage.OutputTokens),
	}
	if request.Tenant >= 0 && request.Tenant < len(f.TenantNames) {
		entry.Tenant = f.TenantNames[request.Tenant]
	}
	if request.Class >= 0 && request.Class < len(f.ClassNames) {
		entry.Class = f.ClassNames[request.Class]
	}
	switch {
	case answer.Kind == node.Interrupted:
		entry.Outcome = ledger.Interrupted
	case answer.Usage.Paused:
		entry.Outcome = ledger.Paused
	}
	return entry
}

// refund returns to its budget what a request was charged beyond its cost, unless the window has ended. The caller
// holds f.mu.
func (f *Fleet) refund(charge node.Charge, cost int64) {
	if charge.Budget < 0 || cost >= charge.Amount {
		return
	}
	allocation := f.member.Allocations[charge.Budget]
	if charge.Window < allocation.CurrentWindow() {
		return
	}
	f.logSpending(messageRefunded, allocation.Name, charge.Window, charge.Amount-cost)
	allocation.Refund(charge.Amount-cost, charge.Window, charge.Window)
}

// Messages of logSpending. The multi-process tests use them to sum up what nodes of this and of earlier versions
// have spent.
const (
	messageSpent    = "spent"
	messageRefunded = "given back"
)

// logSpending logs a charge or a refund at debug level, before anything else depends on it.
func (f *Fleet) logSpending(message, budget string, window, amount int64) {
	if entry := f.Log.Check(zap.DebugLevel, message); entry != nil {
		entry.Write(zap.String("budget", budget), zap.Int64("window", window), zap.Int64("amount", amount))
	}
}

// reservation is one unit of a budget, spent in each window from first to last.
type reservation struct {
	allocation *quota.Allocation
	first      int64 // number of the first window
	last       int64 // number of the last window
}

// ReserveSession reserves one unit for a paused session of a tenant, in each window of its wait and in every budget
// that it counts against. It returns false, and reserves nothing, if any of them is not sufficient. The caller calls
// release once.
func (f *Fleet) ReserveSession(tenant int, wait time.Duration) (release func(), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.member.Advance(f.Now())
	var reservations []reservation
	for _, budget := range f.SessionBudgets {
		if budget.Tenant >= 0 && budget.Tenant != tenant {
			continue
		}
		allocation := f.member.Allocations[budget.Budget]
		first := allocation.CurrentWindow()
		last := allocation.WindowAt(now + int64(wait))
		if !allocation.Spend(1, int(last-first)) {
			releaseReservations(reservations)
			return nil, false
		}
		reservations = append(reservations, reservation{allocation: allocation, first: first, last: last})
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.member.Advance(f.Now())
		releaseReservations(reservations)
	}, true
}

func releaseReservations(reservations []reservation) {
	for _, r := range reservations {
		r.allocation.Refund(1, r.first, r.last)
	}
}

// AllowRetry reports whether a retry may be made, and charges the budget of retries for it.
func (f *Fleet) AllowRetry() bool {
	if f.RetryBudget < 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.member.Advance(f.Now())
	return f.member.Allocations[f.RetryBudget].Spend(1, 0)
}
