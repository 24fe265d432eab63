package rig

import (
	"context"
	"fmt"
	"strings"
	"time"

	"standpoint/internal/lab/faults"
)

// LedgerResult is the result of RunLedgers.
type LedgerResult struct {
	Load           Load
	Entries        int64         // the number of entries in each ledger at the end
	ServedIsolated int           // requests that the site served while its connection was blocked
	ConvergedAfter time.Duration // from the end of the faults until all ledgers had the same totals
	Overdrawn      int64         // tokens spent beyond the budgets, over all windows
}

// RunLedgers runs a fleet whose last node is a site. The site's connection to the core nodes is blocked for
// faultDuration, while the network between the core nodes has other faults. Then all faults end, and all ledgers must
// converge to the same totals, which must equal those recorded by the backends to the token.
func RunLedgers(
	ctx context.Context,
	options Options,
	faultDuration time.Duration,
	requestsPerSecond float64,
) (LedgerResult, error) {
	var result LedgerResult
	options.Sites = 1
	options.NoProcessFaults = true
	options.ExtraConfig += "[ledger]\ndir = \"ledger-NODE\"\nevery = \"100ms\"\n"
	r, err := New(options)
	if err != nil {
		return result, err
	}
	defer r.Close()
	if err := r.StartAll(ctx); err != nil {
		return result, err
	}
	site := r.Nodes[len(r.Nodes)-1]
	load := func(duration time.Duration, seed uint64) Load {
		loaded, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		return r.RunLoad(loaded, requestsPerSecond, seed)
	}
	result.Load = load(faultDuration/3, options.Seed)
	for i := range len(r.Nodes) - 1 {
		r.Network.SetConditions(i, len(r.Nodes)-1, faults.Conditions{Blocked: true})
		r.Network.SetConditions(len(r.Nodes)-1, i, faults.Conditions{Blocked: true})
		r.Network.SetConditions(
			i,
			(i+1)%(len(r.Nodes)-1),
			faults.Conditions{
				LossRate:      0.3,
				DuplicateRate: 0.2,
				Delay:         time.Millisecond,
				Jitter:        30 * time.Millisecond,
			},
		)
	}
	before, err := site.LedgerStatus(ctx)
	if err != nil {
		return result, err
	}
	isolatedLoad := load(faultDuration, options.Seed+1)
	status, err := site.Status(ctx)
	if err != nil {
		return result, err
	}
	if status.SiteState != "alone" {
		return result, fmt.Errorf("site state is %q after %v without connection, want \"alone\"",
			status.SiteState, faultDuration)
	}
	after, err := site.LedgerStatus(ctx)
	if err != nil {
		return result, err
	}
	result.ServedIsolated = int(after.Charged - before.Charged)
	if result.ServedIsolated == 0 {
		return result, fmt.Errorf("the site served no request while it was isolated: %+v", isolatedLoad)
	}
	r.Network.ClearConditions()
	start := time.Now()
	for {
		entries, ok, err := r.ledgersConverged(ctx)
		if err != nil {
			return result, err
		}
		if ok {
			result.Entries, result.ConvergedAfter = entries, time.Since(start)
			break
		}
		if time.Since(start) > 30*time.Second {
			return result, fmt.Errorf("ledgers differ %v after the end of the faults", time.Since(start))
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err := r.WaitTogether(ctx, 30*time.Second); err != nil {
		return result, err
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if status, err = site.Status(ctx); err != nil || status.SiteState == "connected" {
			break
		}
		if time.Now().After(until) {
			return result, fmt.Errorf("site state is %q 10 s after all nodes are together, want \"connected\"",
				status.SiteState)
		}
	}
	for _, node := range r.Nodes {
		if err := node.UnexpectedExit(); err != nil {
			return result, err
		}
	}
	result.Load.Requests = result.Load.Requests + isolatedLoad.Requests
	result.Load.Served = result.Load.Served + isolatedLoad.Served
	result.Load.Rejected = result.Load.Rejected + isolatedLoad.Rejected
	spent, err := r.SpentByWindow()
	if err != nil {
		return result, err
	}
	for _, tenant := range options.Tenants {
		for window, amount := range spent["tokens/"+tenant.Name] {
			if tenant.Amount > 0 && amount > tenant.Amount+tenant.Overdraft {
				return result, fmt.Errorf(
					"tenant %s: %d tokens spent in window %d, over the budget of %d and the overdraft of %d",
					tenant.Name,
					amount,
					window,
					tenant.Amount,
					tenant.Overdraft,
				)
			}
			result.Overdrawn += max(0, amount-tenant.Amount)
		}
	}
	return result, nil
}

// ledgersConverged reports whether all ledgers have the totals recorded by the backends, and returns the number of
// entries. It returns an error if a ledger is inconsistent or has lost entries.
func (r *Rig) ledgersConverged(ctx context.Context) (entries int64, ok bool, err error) {
	recorded := map[string][2]int64{} // the numbers of entries and of output tokens, by tenant
	r.Record.mu.Lock()
	for id, tokens := range r.Record.ServedTokens {
		tenant, _, _ := strings.Cut(id, "-")
		sums := recorded[tenant]
		recorded[tenant] = [2]int64{sums[0] + 1, sums[1] + int64(tokens)}
	}
	r.Record.mu.Unlock()
	for _, node := range r.Nodes {
		status, err := node.LedgerStatus(ctx)
		if err != nil {
			return 0, false, err
		}
		if !status.Consistent || len(status.Corruptions) > 0 || status.Dropped > 0 {
			return 0, false, fmt.Errorf("%s: ledger is inconsistent or has lost entries: %+v", node.Name, status)
		}
		entries = 0
		for tenant, want := range recorded {
			if got := status.Totals[tenant]; got.Entries != want[0] || got.OutputTokens != want[1] {
				return entries, false, nil
			}
			entries += want[0]
		}
		if status.Entries != entries {
			return entries, false, nil
		}
	}
	return entries, true, nil
}
