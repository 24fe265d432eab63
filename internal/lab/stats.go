package lab

import "slices"

// quantile of some values, which it sorts; the nearest rank.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
