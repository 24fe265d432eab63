package quota

import "math"

// Of the demand's estimate.
const (
	latestWindowWeight = 0.5 // of the latest window in the moving average
	maxWindowsAveraged = 16  // after which nothing of an earlier average is left
	forecastMargin     = 1.1 // a tenth to spare
)

// demandEstimate estimates how much is requested of a budget in a window, granted or not.
type demandEstimate struct {
	requested int64   // in the current window
	perWindow float64 // an exponential moving average
	first     bool    // no window has ended yet
}

func newDemandEstimate() demandEstimate { return demandEstimate{first: true} }

func (d *demandEstimate) request(amount int64) { d.requested += max(0, amount) }

// endWindows takes in that the current window and those after it have ended, so many in all.
func (d *demandEstimate) endWindows(windows int64) {
	for range min(windows, maxWindowsAveraged) {
		if d.first {
			d.perWindow = float64(d.requested)
			d.first = false
		} else {
			d.perWindow += latestWindowWeight * (float64(d.requested) - d.perWindow)
		}
		d.requested = 0
	}
}

// currentWindow is the demand of the current window, of which the given fraction is left: what was requested
// already, and the usual rate for the rest.
func (d *demandEstimate) currentWindow(left float64) float64 {
	if d.first {
		return float64(d.requested)
	}
	return float64(d.requested) + max(0, min(1, left))*max(d.perWindow, float64(d.requested))
}

// forecastDemand is the demand expected of a window, with a margin.
func (a *Allocation) forecastDemand(window int64) int64 {
	expected := a.demand.perWindow
	if window == a.currentWindow {
		left := 1 - float64(a.now-a.WindowStart(window))/float64(a.Window)
		expected = a.demand.currentWindow(left)
	}
	return int64(math.Ceil(expected * forecastMargin))
}
