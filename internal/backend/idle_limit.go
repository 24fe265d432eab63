package backend

import (
	"sync/atomic"
	"time"

	"standpoint/internal/clock"
)

const (
	// minIdle is the lower bound of an idleLimit.
	minIdle = 20 * time.Millisecond
	// idleRecovery is the time without a lost connection after which the limit doubles.
	idleRecovery = 20 * time.Second
	// maxDoublings is the maximum number of doublings, which keeps the limit from overflowing.
	maxDoublings = 16
)

// idleLimit is the longest time that a connection to a backend may have been idle and still be reused. A backend may
// drop an idle connection silently; a request on it then fails with a reset and may have run. Each such loss shortens
// the limit, since opening a connection costs far less than losing an attempt. The zero value is an idleLimit without a
// loss. It is safe for concurrent use.
type idleLimit struct {
	// duration is the limit right after the last loss, in nanoseconds. lostAt is the instant of that loss; 0 if there
	// was none.
	duration, lostAt atomic.Int64
}

// current returns the present limit, which is no longer than maximum.
func (l *idleLimit) current(maximum time.Duration) time.Duration {
	duration := time.Duration(l.duration.Load())
	lostAt := l.lostAt.Load()
	if lostAt == 0 {
		return maximum
	}
	doublings := min(maxDoublings, time.Duration(clock.Now()-lostAt)/idleRecovery)
	return min(maximum, duration<<doublings)
}

// shorten records the loss of a connection that had been idle for the given time. The limit becomes half of that time,
// or half of the present limit if that is lower.
func (l *idleLimit) shorten(idle, maximum time.Duration) {
	l.duration.Store(int64(max(minIdle, min(idle, l.current(maximum))/2)))
	l.lostAt.Store(clock.Now())
}
