package testpeer

import (
	"maps"
	"sync"
)

// AttemptCounter counts, at the backends, the attempts of each request that are in flight, and the answers that it got.
// A request is known by a name of the test's choice: its id, or the content of its only message. It is safe for
// concurrent use.
type AttemptCounter struct {
	mu       sync.Mutex     // guards all below
	inFlight map[string]int // attempts, by request
	maximum  int            // of inFlight, of any request at any time
	sent     map[string]int // attempts in all
	answers  map[string]int
}

// NewAttemptCounter creates an empty ledger.
func NewAttemptCounter() *AttemptCounter {
	return &AttemptCounter{inFlight: map[string]int{}, sent: map[string]int{}, answers: map[string]int{}}
}

// Begin counts an attempt and returns how many the request has had.
func (l *AttemptCounter) Begin(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[request]++
	l.sent[request]++
	l.maximum = max(l.maximum, l.inFlight[request])
	return l.sent[request]
}

// End counts the end of an attempt.
func (l *AttemptCounter) End(request string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[request]--
	if answered {
		l.answers[request]++
	}
}

// Attempts returns the number of attempts that each request has had.
func (l *AttemptCounter) Attempts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.sent)
}

// Answers returns the number of answers that each request got.
func (l *AttemptCounter) Answers() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.answers)
}

// Total returns the number of answers given.
func (l *AttemptCounter) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, n := range l.answers {
		total += n
	}
	return total
}

// MaximumInFlight returns the most attempts of one request that were in flight at once.
func (l *AttemptCounter) MaximumInFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maximum
}
