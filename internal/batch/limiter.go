package batch

import (
	"sync"

	"standpoint/internal/node"
)

// concurrencyLimiter limits the lines in flight, so that batches do not impair interactive requests. A rejection halves
// the limit, since it shows that the backends have no capacity for more; served lines raise it again.
type concurrencyLimiter struct {
	// slots holds an element for each line in flight and each withheld slot. Sending to it acquires a slot.
	slots chan struct{}

	mu       sync.Mutex // guards the fields below
	maximum  int        // maximum number of lines in flight
	bound    float64    // current limit, from 1 to maximum
	withheld int        // slots that are occupied to enforce the limit
}

func newConcurrencyLimiter(maximum int) *concurrencyLimiter {
	return &concurrencyLimiter{slots: make(chan struct{}, maximum), maximum: maximum, bound: float64(maximum)}
}

// tryAcquire acquires a slot if one is free, and reports whether it did so.
func (l *concurrencyLimiter) tryAcquire() bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// release adjusts the limit to a line's outcome, and then frees the line's slot or withholds it if more slots must be
// withheld.
func (l *concurrencyLimiter) release(answer node.AnswerKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch answer {
	case node.Rejected:
		l.bound = max(1, l.bound/2)
	case node.Served:
		l.bound = min(float64(l.maximum), l.bound+1/l.bound)
	}
	toWithhold := l.maximum - int(l.bound)
	if l.withheld < toWithhold {
		l.withheld++
		return
	}
	<-l.slots
	for l.withheld > toWithhold {
		l.withheld--
		<-l.slots
	}
}
