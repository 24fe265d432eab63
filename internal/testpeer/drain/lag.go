package drain

import (
	"sync"
	"time"
)

const (
	lagSampleInterval = 5 * time.Millisecond   // the time between two measurements
	recentLagPeriod   = 500 * time.Millisecond // how long the longest measured lag counts as recent
)

// lagMeter measures by how much too late the goroutines of this process are woken. It is safe for concurrent use.
type lagMeter struct {
	mu            sync.Mutex    // guards all below
	recentMaximum time.Duration // the longest lag within recentLagPeriod
	recentAt      time.Time     // when recentMaximum was measured
	maximum       time.Duration // the longest lag since the start
}

// measure measures the lag every lagSampleInterval until stop is closed.
func (l *lagMeter) measure(stop <-chan struct{}) {
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-stop:
			return
		case <-time.After(lagSampleInterval):
		}
		l.add(time.Since(last) - lagSampleInterval)
	}
}

func (l *lagMeter) add(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lag > l.recentMaximum || time.Since(l.recentAt) > recentLagPeriod {
		l.recentMaximum = lag
		l.recentAt = time.Now()
	}
	l.maximum = max(l.maximum, lag)
}

// recent returns the longest lag within recentLagPeriod.
func (l *lagMeter) recent() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.recentMaximum)
}

// longest returns the longest lag measured so far.
func (l *lagMeter) longest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maximum
}
