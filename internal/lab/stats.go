package lab

import "slices"

// quantile returns a quantile of the values by nearest rank. It sorts the values.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
