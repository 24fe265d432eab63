package rig

import (
	"context"
	"fmt"
	"time"
)

// BudgetVerdict is what a play of shared budgets came to.
type BudgetVerdict struct {
	Load     Load
	Windows  int // in which something was spent
	MaxSpent int64
	Agreed   time.Duration // after the end of all troubles
}

// RunBudgets plays shared budgets: load and troubles for a span, then all is healed, and checked. Its error says
// what does not hold.
func RunBudgets(ctx context.Context, o Options, span time.Duration, each float64) (BudgetVerdict, error) {
	var v BudgetVerdict
	r, err := New(o)
	if err != nil {
		return v, err
	}
	defer r.Close()
	if err := r.StartAll(ctx); err != nil {
		return v, err
	}
	troubles, end := context.WithTimeout(ctx, span)
	defer end()
	loaded, stop := context.WithCancel(ctx)
	defer stop()
	loads := make(chan Load, 1)
	go func() { loads <- r.Run(loaded, each, o.Seed) }()
	r.Disturb(troubles)
	if err := r.Heal(); err != nil {
		return v, err
	}
	from := time.Now()
	if err := r.Together(ctx, 30*time.Second); err != nil {
		return v, err
	}
	v.Agreed = time.Since(from)
	stop()
	l := <-loads
	// The fleet serves again, whatever it went through.
	again, stopped := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer stopped()
	if after := r.Run(again, each, o.Seed+1); after.Served == 0 {
		return v, fmt.Errorf("nothing is served after the troubles: %+v", after)
	}
	v.Load = l
	for _, n := range r.Nodes {
		if err := n.Died(); err != nil {
			return v, err
		}
		s, err := n.Status(ctx)
		if err != nil {
			return v, err
		}
		if len(s.Violations) > 0 {
			return v, fmt.Errorf("%s: invariants do not hold: %v", n.Name, s.Violations)
		}
	}
	spent, err := r.Spent()
	if err != nil {
		return v, err
	}
	for _, t := range o.Tenants {
		if t.Amount == 0 {
			continue
		}
		windows := spent["tokens/"+t.Name]
		v.Windows += len(windows)
		for w, n := range windows {
			v.MaxSpent = max(v.MaxSpent, n)
			if n > t.Amount {
				return v, fmt.Errorf("%s: %d spent in window %d of a budget of %d", t.Name, n, w, t.Amount)
			}
		}
	}
	r.Ledger.mu.Lock()
	defer r.Ledger.mu.Unlock()
	switch {
	case len(r.Ledger.Twice) > 0:
		return v, fmt.Errorf("two attempts of a request were out at once: %v", r.Ledger.Twice)
	case v.Windows == 0:
		return v, fmt.Errorf("nothing was spent: %+v", v.Load)
	case l.Bare > 0:
		return v, fmt.Errorf("%d were refused and not told when to come back", l.Bare)
	}
	return v, nil
}
