package rig

import (
	"context"
	"fmt"
	"time"
)

// BudgetResult is the result of RunBudgets.
type BudgetResult struct {
	Load          Load
	Windows       int           // the number of windows in which tokens of a budget were spent, over all tenants
	MaxSpent      int64         // the most tokens spent of a budget in one window
	TogetherAfter time.Duration // from the end of the faults until all nodes were together again
}

// RunBudgets runs a fleet with shared budgets under load and random faults for faultDuration. Then all faults end, and
// the budgets' windows, the nodes' invariants and the backends' records are checked. The error describes the first
// violation.
func RunBudgets(
	ctx context.Context,
	options Options,
	faultDuration time.Duration,
	requestsPerSecond float64,
) (BudgetResult, error) {
	var result BudgetResult
	r, err := New(options)
	if err != nil {
		return result, err
	}
	defer r.Close()
	if err := r.StartAll(ctx); err != nil {
		return result, err
	}
	faulty, cancelFaults := context.WithTimeout(ctx, faultDuration)
	defer cancelFaults()
	loaded, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loads := make(chan Load, 1)
	go func() { loads <- r.RunLoad(loaded, requestsPerSecond, options.Seed) }()
	r.InjectFaults(faulty)
	if err := r.EndFaults(); err != nil {
		return result, err
	}
	start := time.Now()
	if err := r.WaitTogether(ctx, 30*time.Second); err != nil {
		return result, err
	}
	result.TogetherAfter = time.Since(start)
	stopLoad()
	load := <-loads
	// After any faults the fleet must serve requests again.
	after, stopAfter := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer stopAfter()
	if afterLoad := r.RunLoad(after, requestsPerSecond, options.Seed+1); afterLoad.Served == 0 {
		return result, fmt.Errorf("no request was served after the faults: %+v", afterLoad)
	}
	result.Load = load
	for _, node := range r.Nodes {
		if err := node.UnexpectedExit(); err != nil {
			return result, err
		}
		status, err := node.Status(ctx)
		if err != nil {
			return result, err
		}
		if len(status.Violations) > 0 {
			return result, fmt.Errorf("%s: invariants are violated: %v", node.Name, status.Violations)
		}
	}
	spent, err := r.SpentByWindow()
	if err != nil {
		return result, err
	}
	for _, tenant := range options.Tenants {
		if tenant.Amount == 0 {
			continue
		}
		windows := spent["tokens/"+tenant.Name]
		result.Windows += len(windows)
		for window, amount := range windows {
			result.MaxSpent = max(result.MaxSpent, amount)
			if amount > tenant.Amount {
				return result, fmt.Errorf("tenant %s: %d tokens spent in window %d, over the budget of %d",
					tenant.Name, amount, window, tenant.Amount)
			}
		}
	}
	r.Record.mu.Lock()
	defer r.Record.mu.Unlock()
	switch {
	case len(r.Record.ConcurrentAttempts) > 0:
		return result, fmt.Errorf("requests with more than one attempt in flight at the same time: %v",
			r.Record.ConcurrentAttempts)
	case result.Windows == 0:
		return result, fmt.Errorf("no tokens were spent: %+v", result.Load)
	case load.WithoutRetryAfter > 0:
		return result, fmt.Errorf("%d responses with status 503 have no Retry-After header", load.WithoutRetryAfter)
	}
	return result, nil
}
