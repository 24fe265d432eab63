package browser

import "time"

// maxThrottlePause bounds the pause after one run.
const maxThrottlePause = 100 * time.Millisecond

// throttle limits work that goes over the whole cache to a quarter of the time: each run is followed by a pause of
// three times its length, up to maxThrottlePause. The zero value allows the first run at once.
type throttle struct{ pausedUntil time.Time }

// remaining is how much of the pause is left; it is not positive once the next run is allowed.
func (t *throttle) remaining(now time.Time) time.Duration { return t.pausedUntil.Sub(now) }

// record starts the pause after a run.
func (t *throttle) record(began, ended time.Time) {
	t.pausedUntil = ended.Add(min(maxThrottlePause, 3*ended.Sub(began)))
}
