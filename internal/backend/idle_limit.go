package backend

import (
	"sync/atomic"
	"time"

	"standpoint/internal/clock"
)

const (
	// minIdle is the least idle time that is always trusted.
	minIdle = 20 * time.Millisecond
	// idleRecovery is the time without a loss after which twice the idle time is trusted again.
	idleRecovery = 20 * time.Second
	// maxDoublings keeps the trusted idle time from overflowing.
	maxDoublings = 16
)

// idleLimit is how long connections to a backend may be idle before they are used again. The backend may drop one
// without a word, and the request on it ends as a reset that may have run: such a loss shows that less is safe. A new
// connection costs far less than an attempt. The zero value has had no loss. It is safe for concurrent use.
type idleLimit struct{ duration, lostAt atomic.Int64 }

// current is the idle time that is trusted now, up to a maximum.
func (l *idleLimit) current(maximum time.Duration) time.Duration {
	duration := time.Duration(l.duration.Load())
	lostAt := l.lostAt.Load()
	if lostAt == 0 {
		return maximum
	}
	doublings := min(maxDoublings, time.Duration(clock.Now()-lostAt)/idleRecovery)
	return min(maximum, duration<<doublings)
}

// shorten notes that a connection was lost after it had been idle for so long.
func (l *idleLimit) shorten(idle, maximum time.Duration) {
	l.duration.Store(int64(max(minIdle, min(idle, l.current(maximum))/2)))
	l.lostAt.Store(clock.Now())
}
