package node

import (
	"container/heap"
	"slices"
)

// timerSweepMinimum is how many timers there may be before those that the module no longer awaits are looked for.
const timerSweepMinimum = 1024

// sweepTimers drops the timers that the module no longer awaits, if there are many.
func (c *Core) sweepTimers() {
	if len(c.timers) < max(c.timerSweepAt, timerSweepMinimum) {
		return
	}
	c.timers = slices.DeleteFunc(c.timers, func(t timer) bool { return !c.router.NeedsTimer(t.token) })
	heap.Init(&c.timers)
	c.timerSweepAt = 2 * len(c.timers)
}

// timer is a timer that the module has set. at is in its time.
type timer struct{ at, token int64 }

// timerHeap has the next timer first. It implements heap.Interface.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
