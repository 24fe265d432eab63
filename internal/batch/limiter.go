package batch

import (
	"sync"

	"standpoint/internal/node"
)

// concurrencyLimiter bounds the lines in flight, so that single requests keep their service. A rejection halves the
// bound, since the fleet has no capacity for more; answers raise it again.
type concurrencyLimiter struct {
	// slots holds an element for each line in flight and each slot that is withheld. Sending to it acquires a slot.
	slots chan struct{}

	mu       sync.Mutex // guards the fields below
	maximum  int
	bound    float64 // from 1 to maximum
	withheld int     // slots that are kept out of use
}

func newConcurrencyLimiter(maximum int) *concurrencyLimiter {
	return &concurrencyLimiter{slots: make(chan struct{}, maximum), maximum: maximum, bound: float64(maximum)}
}

// release gives a line's slot back, or withholds it while the bound is lower than the slots in use.
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
