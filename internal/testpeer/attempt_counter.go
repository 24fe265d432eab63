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
func (c *AttemptCounter) Begin(request string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[request]++
	c.attempts[request]++
	c.maximumInFlight = max(c.maximumInFlight, c.inFlight[request])
	return c.attempts[request]
}

// End counts the end of an attempt; answered is whether the backend answered it completely.
func (c *AttemptCounter) End(request string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[request]--
	if answered {
		c.answers[request]++
	}
}

// Attempts returns the number of attempts of each request, by request key.
func (c *AttemptCounter) Attempts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.attempts)
}

// Answers returns the number of complete answers to each request, by request key.
func (c *AttemptCounter) Answers() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.answers)
}

// Total returns the number of complete answers to all requests.
func (c *AttemptCounter) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, n := range c.answers {
		total += n
	}
	return total
}

// MaximumInFlight returns the highest number of attempts of one request that were in flight at the same time.
func (c *AttemptCounter) MaximumInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maximumInFlight
}
