package rig

import (
	"context"
	"sync"
	"time"

	"standpoint/internal/lab/faults"
)

// Disturb does something to nodes and their messages, again and again, until ctx ends: what, to whom and for how long
// is drawn. Kills leave a process of each store's majority alone or not, as it falls.
func (r *Rig) Disturb(ctx context.Context) {
	var waits sync.WaitGroup
	defer waits.Wait()
	after := func(d time.Duration, do func()) {
		waits.Go(func() {
			select {
			case <-time.After(d):
			case <-ctx.Done():
			}
			do()
		})
	}
	for ctx.Err() == nil {
		n := r.Nodes[r.rng.IntN(len(r.Nodes))]
		other := (r.index(n) + 1 + r.rng.IntN(len(r.Nodes)-1)) % len(r.Nodes)
		span := time.Duration(300+r.rng.IntN(1700)) * time.Millisecond
		what := r.rng.IntN(9)
		if r.NoKills && what >= 4 && what <= 6 {
			what = 0
		}
		switch what {
		case 0: // a side of one to half of the nodes is cut off
			side := 1 + r.rng.IntN(len(r.Nodes)/2)
			r.Log("%d nodes are cut off for %v", side, span)
			for i := range r.Nodes {
				for k := range r.Nodes {
					if (i < side) != (k < side) {
						r.Net.SetConditions(i, k, faults.Conditions{Blocked: true})
					}
				}
			}
			after(span, r.Net.ClearConditions)
		case 1: // one way
			r.Log("%s does not reach n%d for %v", n.Name, other, span)
			r.Net.SetConditions(r.index(n), other, faults.Conditions{Blocked: true})
			after(span, func() { r.Net.SetConditions(r.index(n), other, faults.Conditions{}) })
		case 2, 3: // everything is lossy, doubled, late and out of order
			r.Log("losses for %v", span)
			for i := range r.Nodes {
				for k := range r.Nodes {
					r.Net.SetConditions(
						i,
						k,
						faults.Conditions{LossRate: 0.3, DuplicateRate: 0.1, Delay: time.Millisecond, Jitter: 40 * time.Millisecond},
					)
				}
			}
			after(span, r.Net.ClearConditions)
		case 4:
			r.Log("%s is killed for %v", n.Name, span)
			n.Kill()
			after(span, func() {
				if err := n.Start(); err != nil {
					r.Log("%s does not start: %v", n.Name, err)
				}
			})
		case 5, 6:
			r.Log("%s stands still for %v", n.Name, span)
			n.Stall(true)
			after(span, func() { n.Stall(false) })
		default:
			r.Log("streams between %s and n%d are reset", n.Name, other)
			r.Net.ResetStreams(r.index(n), other)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+r.rng.IntN(700)) * time.Millisecond):
		}
	}
}

func (r *Rig) index(n *Node) int {
	for i := range r.Nodes {
		if r.Nodes[i] == n {
			return i
		}
	}
	return -1
}

// Heal ends all troubles.
func (r *Rig) Heal() error {
	r.Net.ClearConditions()
	for _, n := range r.Nodes {
		n.Stall(false)
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}
