// Package memory bounds the memory that clients, backends and discovery can make the process hold. All of it is charged
// to one Budget, at the size that it has in memory rather than on the wire.
package memory

import (
	"sync"
	"time"
)

const (
	// reservedFraction is the part of the budget, as a divisor, that is left to small holders. The others are turned
	// away before it is used, so that they cannot shut out ordinary requests.
	reservedFraction = 8
	// maxSmallHolder is the size up to which a holder is small, in bytes: a connection with an ordinary request.
	maxSmallHolder = 96 << 10
	// reclaimInterval is the minimum time between two searches for holders to reclaim memory from.
	reclaimInterval = 5 * time.Millisecond
)

// Budget is an amount of memory that holders share. When it is nearly used up, it reclaims memory from the holders that
// have waited for their peers longest, weighed by what they hold. A nil *Budget has no bound. It is safe for concurrent
// use.
type Budget struct {
	mu          sync.Mutex // guards the fields below, and those of all holders
	capacity    int        // bytes
	used        int        // bytes
	reclaiming  int        // bytes of holders that were asked to release theirs and have not done so yet
	reclaimable map[*Holder]bool
	searched    time.Time // when holders to reclaim memory from were last searched
}

// NewBudget creates a budget of capacity bytes.
func NewBudget(capacity int) *Budget {
	return &Budget{capacity: capacity, reclaimable: map[*Holder]bool{}}
}

// SetCapacity changes the capacity. It revokes nothing.
func (b *Budget) SetCapacity(capacity int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
}

// Used returns the bytes in use.
func (b *Budget) Used() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// HasCapacity reports whether size bytes are available beside those reserved for small holders. If not, it reclaims
// memory from others.
func (b *Budget) HasCapacity(size int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.capacity - b.capacity/reservedFraction
	b.reclaimFor(size, nil)
	return b.used+size <= limit
}

// Open creates a holder with size bytes, whatever the capacity. Its reclaim function asks it to release what it holds
// beyond that; it is called at most once while the holder waits, with the budget locked, and must neither block nor call
// the budget. It is nil for a holder from which nothing is reclaimed.
func (b *Budget) Open(size int, reclaim func()) *Holder {
	h := &Holder{budget: b, reclaim: reclaim, base: size, held: size}
	if b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.used += size
	}
	return h
}

// reclaimFor reclaims memory if size further bytes would use that reserved for small holders. The caller must hold the
// lock.
func (b *Budget) reclaimFor(size int, requester *Holder) {
	excess := b.used + size - (b.capacity - b.capacity/reservedFraction)
	now := time.Now()
	if excess <= b.reclaiming || now.Sub(b.searched) < reclaimInterval {
		return
	}
	b.searched = now
	for excess > b.reclaiming {
		victim := b.longestStalled(now, requester)
		if victim == nil {
			return
		}
		victim.reclaimed = true
		b.reclaiming += victim.held - victim.base
		delete(b.reclaimable, victim)
		victim.reclaim()
	}
}

// longestStalled returns the waiting holder with the largest product of what it holds and how long it has made no
// progress; nil if there is none. The caller must hold the lock.
func (b *Budget) longestStalled(now time.Time, requester *Holder) *Holder {
	var found *Holder
	var largest float64
	for h := range b.reclaimable {
		if weight := float64(h.held-h.base) * now.Sub(h.progressAt).Seconds(); weight > largest && h != requester {
			found, largest = h, weight
		}
	}
	return found
}

// Holder is what one connection or stream holds. A nil *Holder, and one of a nil Budget, has no bound.
type Holder struct {
	budget  *Budget
	reclaim func()
	base    int // bytes that it holds until it is closed

	// Budget.mu guards the fields below.
	held       int
	waiting    bool      // it waits for its peer, so that its memory may be reclaimed
	reclaimed  bool      // it was asked to release its memory
	progressAt time.Time // when the peer last sent something
}

// Grow charges size further bytes. It returns false, and charges nothing, if the budget does not allow them.
func (h *Holder) Grow(size int) bool {
	if h == nil || h.budget == nil || size <= 0 {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.capacity
	if h.held+size > maxSmallHolder {
		limit -= b.capacity / reservedFraction
	}
	b.reclaimFor(size, h)
	if b.used+size > limit {
		return false
	}
	b.charge(h, size)
	return true
}

// Charge charges size further bytes whatever the capacity, for what must not wait for clients. Others are turned away
// instead. It returns true, as Grow does.
func (h *Holder) Charge(size int) bool {
	if h == nil || h.budget == nil || size <= 0 {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.reclaimFor(size, h)
	h.budget.charge(h, size)
	return true
}

// charge adds size bytes, which may be negative, to what a holder holds. The caller must hold the lock.
func (b *Budget) charge(h *Holder, size int) {
	h.held += size
	b.used += size
	if h.reclaimed {
		b.reclaiming += size
	}
}

// Shrink releases size bytes.
func (h *Holder) Shrink(size int) {
	if h == nil || h.budget == nil || size <= 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.charge(h, -min(size, h.held-h.base))
}

// Reset releases all that the holder holds beyond its size at the start. It waits for nothing then.
func (h *Holder) Reset() {
	if h == nil || h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.reset()
}

func (h *Holder) reset() {
	h.budget.charge(h, h.base-h.held)
	h.waiting = false
	h.reclaimed = false
	delete(h.budget.reclaimable, h)
}

// Await records that the holder waits for its peer, which has just sent something: from now on its memory may be
// reclaimed.
func (h *Holder) Await() {
	if h == nil || h.budget == nil || h.reclaim == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progressAt = time.Now()
	if !h.waiting && !h.reclaimed {
		h.waiting = true
		h.budget.reclaimable[h] = true
	}
}

// Resume records that the holder no longer waits for its peer. It returns false if its memory was reclaimed before.
func (h *Holder) Resume() bool {
	if h == nil || h.budget == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.waiting = false
	delete(h.budget.reclaimable, h)
	return !h.reclaimed
}

// Reclaimed reports whether the holder was asked to release its memory.
func (h *Holder) Reclaimed() bool {
	if h == nil || h.budget == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.reclaimed
}

// Close releases all that the holder holds.
func (h *Holder) Close() {
	if h == nil || h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.reset()
	h.budget.used -= h.base
	h.held, h.base = 0, 0
}
