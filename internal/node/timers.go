package node

import (
	"container/heap"
	"slices"
)

// timerSweepMinimum is the number of timers below which no sweep takes place.
const timerSweepMinimum = 1024

// sweepTimers drops the timers that the decision module no longer needs, each time their number has doubled.
func (c *Core) sweepTimers() {
	if len(c.timers) < max(c.nextTimerSweep, timerSweepMinimum) {
		return
	}
	c.timers = slices.DeleteFunc(c.timers, func(t timer) bool { return !c.router.NeedsTimer(t.token) })
	heap.Init(&c.timers)
	c.nextTimerSweep = 2 * len(c.timers)
}

// timer is a timer that the decision module has set. due is in the module's time.
type timer struct{ due, token int64 }

// timerHeap is a heap of timers with the earliest first. It implements heap.Interface.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }

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
