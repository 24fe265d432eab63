package rig

import (
	"context"
	"sync"
	"time"

	"standpoint/internal/lab/faults"
)

// InjectFaults injects faults into nodes and the network between them until ctx ends. The kind of each fault, its
// target and its duration are random. Kills do not spare the majority of the store's members.
func (r *Rig) InjectFaults(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait()
	after := func(delay time.Duration, end func()) {
		pending.Go(func() {
			select {
			case <-time.After(delay):
			case <-ctx.Done():
			}
			end()
		})
	}
	for ctx.Err() == nil {
		node := r.Nodes[r.rng.IntN(len(r.Nodes))]
		other := (r.nodeIndex(node) + 1 + r.rng.IntN(len(r.Nodes)-1)) % len(r.Nodes)
		duration := time.Duration(300+r.rng.IntN(1700)) * time.Millisecond
		kind := r.rng.IntN(9)
		if r.NoProcessFaults && kind >= 4 && kind <= 6 {
			kind = 0
		}
		switch kind {
		case 0: // a partition: the first one or more nodes, up to half of them, are separated from the others
			side := 1 + r.rng.IntN(len(r.Nodes)/2)
			r.Log("%d nodes are partitioned from the others for %v", side, duration)
			for i := range r.Nodes {
				for j := range r.Nodes {
					if (i < side) != (j < side) {
						r.Network.SetConditions(i, j, faults.Conditions{Blocked: true})
					}
				}
			}
			after(duration, r.Network.ClearConditions)
		case 1: // one direction between two nodes is blocked
			r.Log("%s does not reach n%d for %v", node.Name, other, duration)
			r.Network.SetConditions(r.nodeIndex(node), other, faults.Conditions{Blocked: true})
			after(duration, func() { r.Network.SetConditions(r.nodeIndex(node), other, faults.Conditions{}) })
		case 2, 3: // all packets may be dropped, duplicated, delayed and reordered
			r.Log("packet loss between all nodes for %v", duration)
			for i := range r.Nodes {
				for j := range r.Nodes {
					r.Network.SetConditions(
						i,
						j,
						faults.Conditions{
							LossRate:      0.3,
							DuplicateRate: 0.1,
							Delay:         time.Millisecond,
							Jitter:        40 * time.Millisecond,
						},
					)
				}
			}
			after(duration, r.Network.ClearConditions)
		case 4:
			r.Log("%s is killed for %v", node.Name, duration)
			node.Kill()
			after(duration, func() {
				if err := node.Start(); err != nil {
					r.Log("%s: start failed: %v", node.Name, err)
				}
			})
		case 5, 6:
			r.Log("%s is suspended for %v", node.Name, duration)
			node.SetSuspended(true)
			after(duration, func() { node.SetSuspended(false) })
		default:
			r.Log("streams between %s and n%d are reset", node.Name, other)
			r.Network.ResetStreams(r.nodeIndex(node), other)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+r.rng.IntN(700)) * time.Millisecond):
		}
	}
}

// nodeIndex returns the index of a node in r.Nodes, or -1.
func (r *Rig) nodeIndex(node *Node) int {
	for i := range r.Nodes {
		if r.Nodes[i] == node {
			return i
		}
	}
	return -1
}

// EndFaults ends all faults: it clears the conditions of the network, resumes suspended nodes and restarts killed ones.
func (r *Rig) EndFaults() error {
	r.Network.ClearConditions()
	for _, node := range r.Nodes {
		node.SetSuspended(false)
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}
