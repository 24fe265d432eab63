package backend

import "time"

// minUnanswered is the minimum number of calls in a row without a usable response after which a backend counts as lost.
// The time of a single call says little: this process may have been stalled during it.
const minUnanswered = 2

// silence measures for how long a backend has not given usable responses. It begins with a call that got none, not with
// the last response: in between, this process may have been stalled.
type silence struct {
	limit      time.Duration // time after which the backend counts as lost
	since      time.Time     // when the first unanswered call was made
	unanswered int           // calls in a row without a usable response
}

// end records a usable response.
func (s *silence) end() { s.unanswered = 0 }

// add records a call without a usable response that was made at the given time, and reports whether the backend counts
// as lost.
func (s *silence) add(made time.Time) (lost bool) {
	if s.unanswered == 0 {
		s.since = made
	}
	s.unanswered++
	return s.unanswered >= minUnanswered && time.Since(s.since) > s.limit
}
