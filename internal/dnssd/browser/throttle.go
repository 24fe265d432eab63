package browser

import "time"

// maxThrottlePause is the longest pause after one run.
const maxThrottlePause = 100 * time.Millisecond

// throttle limits work that iterates over the whole cache to a quarter of the time: each run is followed by a pause of
// three times its duration, up to maxThrottlePause. The zero value allows the first run immediately.
type throttle struct{ pausedUntil time.Time }

// remaining returns the rest of the pause; it is zero or negative once the next run is allowed.
func (t *throttle) remaining(now time.Time) time.Duration { return t.pausedUntil.Sub(now) }

// record starts the pause after a run that began and ended at the given times.
func (t *throttle) record(began, ended time.Time) {
	t.pausedUntil = ended.Add(min(maxThrottlePause, 3*ended.Sub(began)))
}
