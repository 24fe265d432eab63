package quota

import "math"

// Parameters of the demand estimate.
const (
	latestWindowWeight = 0.5 // weight of the latest window in the moving average
	maxWindowsAveraged = 16  // number of windows without a request after which an earlier average is negligible
	forecastMargin     = 1.1 // factor of the forecast: a tenth above the estimate
)

// demandEstimate estimates the amount that is requested of a budget in a window, whether granted or not.
type demandEstimate struct {
	requested        int64   // amount requested in the current window
	averagePerWindow float64 // exponential moving average of the amounts requested in a window
	noHistory        bool    // whether no window has ended yet
}

func newDemandEstimate() demandEstimate { return demandEstimate{noHistory: true} }

// record adds a requested amount to the current window.
func (d *demandEstimate) record(amount int64) { d.requested += max(0, amount) }

// endWindows updates the average after the end of a number of windows, from the current one on.
func (d *demandEstimate) endWindows(windows int64) {
	for range min(windows, maxWindowsAveraged) {
		if d.noHistory {
			d.averagePerWindow = float64(d.requested)
			d.noHistory = false
		} else {
			d.averagePerWindow += latestWindowWeight * (float64(d.requested) - d.averagePerWindow)
		}
		d.requested = 0
	}
}

// forecastCurrentWindow returns the expected demand of the current window, of which the given fraction remains: the
// amount requested so far, plus the average rate, or the window's own if that is higher, for the remainder.
func (d *demandEstimate) forecastCurrentWindow(remaining float64) float64 {
	if d.noHistory {
		return float64(d.requested)
	}
	return float64(d.requested) + max(0, min(1, remaining))*max(d.averagePerWindow, float64(d.requested))
}

// forecastDemand returns the expected demand of a window, plus a margin.
func (a *Allocation) forecastDemand(window int64) int64 {
	expected := a.demand.averagePerWindow
	if window == a.currentWindow {
		remaining := 1 - float64(a.now-a.WindowStart(window))/float64(a.Window)
		expected = a.demand.forecastCurrentWindow(remaining)
	}
	return int64(math.Ceil(expected * forecastMargin))
}
