package migration

import "time"

const (
	// warmThreshold is the fraction of its capacity from which a pool counts as warm, so that its share is not limited.
	warmThreshold = 0.9
	// coldBudgetFraction is the fraction of the slow-start budget that a migration sends to a cold pool, over all nodes
	// together. The decision module limits starting backends by a fraction of its own, slowStartMargin.
	coldBudgetFraction = 0.4
	// minCapacity avoids a division by zero if the capacity is unknown.
	minCapacity = 1e-9
)

// Health summarises the state of a pool's backends. Capacities are relative to a standard backend, whose capacity is 1.
type Health struct {
	Backends     int     `json:"boxes"` // listed backends, including draining ones
	Ready        int     `json:"ready"` // backends that accept requests
	Capacity     float64 `json:"size"`  // total capacity of the ready backends
	WarmCapacity float64 `json:"able"`  // the part of Capacity that has warmed up
}

// WarmFraction returns the fraction of a backend's capacity that is available at the given time after its start.
func (p Plan) WarmFraction(age time.Duration) float64 {
	if p.SlowStart <= 0 || age >= p.SlowStart {
		return 1
	}
	return p.ColdCapacityFraction + (1-p.ColdCapacityFraction)*max(0, float64(age)/float64(p.SlowStart))
}

// maximumShare returns the largest share of From's requests that To can handle now. How many requests a backend can
// handle is not known, so the estimate is based on the old pool's load per capacity, and a cold backend is assumed to
// handle its warm fraction of that. If the CollapseFactor is so small that a cold pool collapses under a smaller load,
// the share is reduced further. fromCapacity is the old pool's capacity when the migration started; it applies if the
// old pool has less now.
func (p Plan) maximumShare(from, to Health, fromCapacity float64) float64 {
	if to.Capacity <= 0 {
		return 0
	}
	if to.WarmCapacity >= warmThreshold*to.Capacity {
		return 1
	}
	coldBudget := min(1, coldBudgetFraction*p.CollapseFactor)
	return min(1, coldBudget*to.WarmCapacity/max(from.Capacity, fromCapacity, minCapacity))
}

// merge combines the health that two nodes see. A node that sees no ready backend of the pool does not override one
// that does. The smaller of two warm fractions applies.
func (h Health) merge(other Health) Health {
	backends := max(h.Backends, other.Backends)
	if h.Capacity == 0 {
		other.Backends = backends
		return other
	}
	if other.Capacity == 0 {
		h.Backends = backends
		return h
	}
	warmFraction := min(h.WarmCapacity/h.Capacity, other.WarmCapacity/other.Capacity)
	capacity := max(h.Capacity, other.Capacity)
	return Health{
		Backends:     backends,
		Ready:        max(h.Ready, other.Ready),
		Capacity:     capacity,
		WarmCapacity: warmFraction * capacity,
	}
}
