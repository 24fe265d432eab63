package endpoints

import (
	"time"

	"standpoint/internal/clock"
	"standpoint/internal/dnssd/record"
)

const (
	// maxObserved bounds the instances whose first and last appearance is remembered.
	maxObserved = 2 * record.MaxInstances
	// maxAbsence is how long an instance that publishes no start may be missing and still count as the process that it
	// was: longer than a lost message, shorter than a backend takes to start.
	maxAbsence = 2 * time.Second
)

// observedInstance is what has been observed of an instance that publishes no start.
type observedInstance struct {
	startedAt int64 // an instant of internal/clock; 0 if it was there before this node
	lastSeen  time.Time
	address   string
}

// observeStart returns when an instance that publishes no start counts as started. One that is in the first list may
// have run for long: 0. One that appears later, reappears, or is at another address has just started as far as this
// node can know, and warms up.
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
	if !known && len(s.observed) >= maxObserved {
		s.forgetAbsent(now)
	}
	instance.lastSeen = now
	instance.address = address
	s.observed[name] = instance
	return instance.startedAt
}

// forgetAbsent forgets the instances that would count as started anew if they reappeared.
func (s *ServiceSource) forgetAbsent(now time.Time) {
	for name, instance := range s.observed {
		if !s.listed[name] && now.Sub(instance.lastSeen) >= maxAbsence {
			delete(s.observed, name)
		}
	}
}
