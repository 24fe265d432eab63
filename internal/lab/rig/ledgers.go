package rig

import (
	"context"
	"fmt"
	"strings"
	"time"

	"standpoint/internal/lab/faults"
)

// Agreement is what came of a play of ledgers.
type Agreement struct {
	Load      Load
	Entries   int64
	Alone     int // requests that the site served while its line was cut
	Agreed    time.Duration
	Overdrawn int64 // by the site, in all windows
}

// PlayLedgers plays a fleet whose last node is a site: its line to the halls is cut for a span, while the halls have
// other troubles; then all is healed, and the ledgers must come to the same sums, to the token those of the boxes.
func PlayLedgers(ctx context.Context, o Options, span time.Duration, each float64) (Agreement, error) {
	var a Agreement
	o.Sites = 1
	o.NoKills = true
	o.Config += "[ledger]\ndir = \"ledger-NODE\"\nevery = \"100ms\"\n"
	r, err := New(o)
	if err != nil {
		return a, err
	}
	defer r.Close()
	if err := r.StartAll(ctx); err != nil {
		return a, err
	}
	site := r.Nodes[len(r.Nodes)-1]
	load := func(span time.Duration, seed uint64) Load {
		some, end := context.WithTimeout(ctx, span)
		defer end()
		return r.Run(some, each, seed)
	}
	a.Load = load(span/3, o.Seed)
	for k := range len(r.Nodes) - 1 {
		r.Net.Set(k, len(r.Nodes)-1, faults.Way{Cut: true})
		r.Net.Set(len(r.Nodes)-1, k, faults.Way{Cut: true})
		r.Net.Set(
			k,
			(k+1)%(len(r.Nodes)-1),
			faults.Way{Loss: 0.3, Double: 0.2, Delay: time.Millisecond, Spread: 30 * time.Millisecond},
		)
	}
	before, err := site.Ledger(ctx)
	if err != nil {
		return a, err
	}
	cut := load(span, o.Seed+1)
	s, err := site.Status(ctx)
	if err != nil {
		return a, err
	}
	if s.SiteState != "alone" {
		return a, fmt.Errorf("the site is %q after %v without its line", s.SiteState, span)
	}
	after, err := site.Ledger(ctx)
	if err != nil {
		return a, err
	}
	a.Alone = int(after.Charged - before.Charged)
	if a.Alone == 0 {
		return a, fmt.Errorf("the site served nothing while it was alone: %+v", cut)
	}
	r.Net.Heal()
	from := time.Now()
	for {
		last, ok, err := r.agree(ctx)
		if err != nil {
			return a, err
		}
		if ok {
			a.Entries, a.Agreed = last, time.Since(from)
			break
		}
		if time.Since(from) > 30*time.Second {
			return a, fmt.Errorf("the ledgers do not agree after %v", time.Since(from))
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err := r.Together(ctx, 30*time.Second); err != nil {
		return a, err
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if s, err = site.Status(ctx); err != nil || s.SiteState == "connected" {
			break
		}
		if time.Now().After(until) {
			return a, fmt.Errorf("the site is %q, its line has long been back", s.SiteState)
		}
	}
	for _, n := range r.Nodes {
		if err := n.Died(); err != nil {
			return a, err
		}
	}
	a.Load.Requests = a.Load.Requests + cut.Requests
	a.Load.Served = a.Load.Served + cut.Served
	a.Load.Rejected = a.Load.Rejected + cut.Rejected
	spent, err := r.Spent()
	if err != nil {
		return a, err
	}
	for _, t := range o.Tenants {
		for w, n := range spent["tokens/"+t.Name] {
			if t.Amount > 0 && n > t.Amount+t.Overdraft {
				return a, fmt.Errorf(
					"%s: %d spent in window %d of a budget of %d and an overdraft of %d",
					t.Name,
					n,
					w,
					t.Amount,
					t.Overdraft,
				)
			}
			a.Overdrawn += max(0, n-t.Amount)
		}
	}
	return a, nil
}

// agree tells whether all ledgers have the same sums, and those are the boxes' own.
func (r *Rig) agree(ctx context.Context) (entries int64, ok bool, err error) {
	own := map[string][2]int64{} // by tenant: entries, and tokens made
	r.Ledger.mu.Lock()
	for id, tokens := range r.Ledger.Served {
		tenant, _, _ := strings.Cut(id, "-")
		s := own[tenant]
		own[tenant] = [2]int64{s[0] + 1, s[1] + int64(tokens)}
	}
	r.Ledger.mu.Unlock()
	for _, n := range r.Nodes {
		s, err := n.Ledger(ctx)
		if err != nil {
			return 0, false, err
		}
		if !s.Consistent || len(s.Corruptions) > 0 || s.Dropped > 0 {
			return 0, false, fmt.Errorf("%s: its ledger does not hold: %+v", n.Name, s)
		}
		entries = 0
		for tenant, is := range own {
			if got := s.Totals[tenant]; got.Entries != is[0] || got.OutputTokens != is[1] {
				return entries, false, nil
			}
			entries += is[0]
		}
		if s.Entries != entries {
			return entries, false, nil
		}
	}
	return entries, true, nil
}
