// Package work bounds the rate of work that peers can cause, so that what one of them sends in bulk does not keep the
// process from serving the others.
package work

import (
	"sync"
	"time"
)

// maxWait is the longest wait for a turn.
const maxWait = time.Second

// Limiter is a token bucket whose users wait for their tokens in turn. A nil *Limiter has no bound. It is safe for
// concurrent use.
type Limiter struct {
	mu    sync.Mutex // guards the fields below
	rate  float64    // units per second
	burst float64    // units that may be used at once after a pause
	used  float64    // units used and not yet replenished; over burst, users wait
	at    time.Time  // when used was last brought up to date
}

// NewLimiter creates a limiter of rate units per second, of which burst may be used at once.
func NewLimiter(rate, burst float64) *Limiter {
	return &Limiter{rate: rate, burst: burst, at: time.Now()}
}

// SetRate changes the rate and the burst.
func (l *Limiter) SetRate(rate, burst float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replenish()
	l.rate, l.burst = rate, burst
}

// Use takes n units, and returns how long the caller has to wait before it goes on, at most maxWait.
func (l *Limiter) Use(n float64) time.Duration {
	if l == nil || n <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replenish()
	l.used = min(l.used+n, l.burst+l.rate*maxWait.Seconds())
	return time.Duration(max(0, l.used-l.burst) / l.rate * float64(time.Second))
}

// Available reports whether Allow would take n units at this moment.
func (l *Limiter) Available(n float64) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replenish()
	return l.used+n <= l.burst
}

// Allow takes n units if nobody has to wait for them, and reports whether it did so.
func (l *Limiter) Allow(n float64) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replenish()
	if l.used+n > l.burst {
		return false
	}
	l.used += n
	return true
}

// replenish returns the units of the time that has passed. The caller must hold the lock.
func (l *Limiter) replenish() {
	now := time.Now()
	l.used = max(0, l.used-now.Sub(l.at).Seconds()*l.rate)
	l.at = now
}
