package drain

import (
	"sync"
	"time"
)

const (
	lagInterval = 5 * time.Millisecond   // between two measurements
	lagMemory   = 500 * time.Millisecond // how long a measurement counts as the present lag
)

// lagMeter measures how much too late a goroutine of this process is woken. It is safe for concurrent use.
type lagMeter struct {
	mu            sync.Mutex    // guards all below
	recentMaximum time.Duration // the longest lag within lagMemory
	recentAt      time.Time     // when it was measured
	maximum       time.Duration // the longest lag of all
}

// measure measures until stop is closed.
func (l *lagMeter) measure(stop <-chan struct{}) {
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-stop:
			return
		case <-time.After(lagInterval):
		}
		l.add(time.Since(last) - lagInterval)
	}
}

func (l *lagMeter) add(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if late > l.recentMaximum || time.Since(l.recentAt) > lagMemory {
		l.recentMaximum = late
		l.recentAt = time.Now()
	}
	l.maximum = max(l.maximum, late)
}

// present returns the lag of late.
func (l *lagMeter) present() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.recentMaximum)
}

// longest returns the longest lag so far.
func (l *lagMeter) longest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maximum
}
