package endpoints

import (
	"time"

	"standpoint/internal/clock"
	"standpoint/internal/dnssd/record"
)

const (
	// maxObservedInstances bounds the instances whose start and last appearance are remembered.
	maxObservedInstances = 2 * record.MaxInstances
	// maxAbsence is how long an instance that publishes no start may be missing and still count as the same process: it
	// is longer than the effect of a lost message, and shorter than the start of a backend.
	maxAbsence = 2 * time.Second
)

// observedInstance describes an instance that publishes no start, as observed by this node.
type observedInstance struct {
	startedAt int64 // an instant of internal/clock; 0 if the instance was in this node's first list
	lastSeen  time.Time
	address   string
}

// observeStart records an instance that publishes no start, and returns when it is assumed to have started. For an
// instance in the first list that is 0, since it may have run for a long time. An instance that appears later,
// reappears after maxAbsence, or changes its address is assumed to have just started, so that it warms up.
func (s *ServiceSource) observeStart(name, address string, now time.Time) int64 {
	instance, known := s.observed[name]
	switch {
	case known && instance.address != address:
		instance.startedAt = clock.Of(now)
	case known && (s.listed[name] || now.Sub(instance.lastSeen) < maxAbsence):
		// the same process
	case s.unpublished:
		instance.startedAt = 0
	default:
		instance.startedAt = clock.Of(now)
	}
	if !known && len(s.observed) >= maxObservedInstances {
		s.forgetAbsent(now)
	}
	instance.lastSeen = now
	instance.address = address
	s.observed[name] = instance
	return instance.startedAt
}

// forgetAbsent removes the instances that would count as newly started if they reappeared.
func (s *ServiceSource) forgetAbsent(now time.Time) {
	for name, instance := range s.observed {
		if !s.listed[name] && now.Sub(instance.lastSeen) >= maxAbsence {
			delete(s.observed, name)
		}
	}
}
