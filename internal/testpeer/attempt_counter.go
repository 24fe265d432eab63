package testpeer

import (
	"maps"
	"sync"
)

// AttemptCounter counts, at the backends, the attempts in flight of each request and the complete answers to it. The
// test chooses the key of a request: its id, or the content of its only message. An AttemptCounter is safe for
// concurrent use.
type AttemptCounter struct {
	mu              sync.Mutex     // guards all below
	inFlight        map[string]int // current attempts, by request key
	maximumInFlight int            // highest value that any entry of inFlight has had
	attempts        map[string]int // all attempts that have begun, by request key
	answers         map[string]int // complete answers, by request key
}

// NewAttemptCounter creates a counter without attempts.
func NewAttemptCounter() *AttemptCounter {
	return &AttemptCounter{inFlight: map[string]int{}, attempts: map[string]int{}, answers: map[string]int{}}
}

// Begin counts the start of an attempt and returns the request's number of attempts so far, this one included.
func (l *AttemptCounter) Begin(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[request]++
	l.attempts[request]++
	l.maximumInFlight = max(l.maximumInFlight, l.inFlight[request])
	return l.attempts[request]
}

// End counts the end of an attempt; answered is whether the backend answered it completely.
func (l *AttemptCounter) End(request string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[request]--
	if answered {
		l.answers[request]++
	}
}

// Attempts returns the number of attempts of each request, by request key.
func (l *AttemptCounter) Attempts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.attempts)
}

// Answers returns the number of complete answers to each request, by request key.
func (l *AttemptCounter) Answers() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.answers)
}

// Total returns the number of complete answers to all requests.
func (l *AttemptCounter) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, n := range l.answers {
		total += n
	}
	return total
}

// MaximumInFlight returns the highest number of attempts of one request that were in flight at the same time.
func (l *AttemptCounter) MaximumInFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maximumInFlight
}
