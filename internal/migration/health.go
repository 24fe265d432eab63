package migration

import "time"

const (
	// warmThreshold is the fraction of its capacity from which a pool counts as warm: it is then no longer limited.
	warmThreshold = 0.9
	// coldBudgetFraction is the fraction of the slow-start allowance that a migration gives to a cold pool, all nodes
	// together; the decision modules give their own starting backends as much (coldMargin).
	coldBudgetFraction = 0.4
	// minCapacity keeps a division by an unknown capacity defined.
	minCapacity = 1e-9
)

// Health is what is known of a pool's backends. Capacities are in units of a usual backend.
type Health struct {
	Backends     int     `json:"boxes"` // listed, draining ones included
	Ready        int     `json:"ready"`
	Capacity     float64 `json:"size"` // of the ready ones
	WarmCapacity float64 `json:"able"` // the part of it that has warmed up by now
}

// WarmFraction is the fraction of a backend's capacity that is available at an age since its start.
func (p Plan) WarmFraction(age time.Duration) float64 {
	if p.SlowStart <= 0 || age >= p.SlowStart {
		return 1
	}
	return p.ColdCapacityFraction + (1-p.ColdCapacityFraction)*max(0, float64(age)/float64(p.SlowStart))
}

// maximumShare is the largest share of From's requests that To can take now. The capacity of a backend in requests is
// not known, so what the old pool carries for its capacity is the guide, and a cold backend is taken to carry its
// warm fraction of that. The share is smaller still where a cold pool would be overloaded by less.
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

// merge combines the views of two nodes. A node that sees no backend of a pool does not outweigh one that does; of
// the warm fractions the smaller counts.
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
