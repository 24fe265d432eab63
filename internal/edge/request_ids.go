package edge

import (
	"sync"
	"time"
)

const (
	// requestIDRetention is the minimum time for which an ID is remembered after its request has ended. It may be
	// remembered for twice as long.
	requestIDRetention = 30 * time.Second
	// maxRecentRequestIDs is the number of recent IDs at which the sets rotate early, so that IDs are forgotten before
	// requestIDRetention has passed.
	maxRecentRequestIDs = 4096
)

// requestIDs remembers the IDs of open and recently closed requests. Every request must have a new ID: an attempt with
// the ID of another request would be taken for a hedged copy of it. The zero value is ready to use. It is safe for
// concurrent use.
type requestIDs struct {
	mu       sync.Mutex // guards the fields below
	active   map[string]bool
	recent   map[string]bool // opened or closed since the last rotation
	previous map[string]bool // opened or closed in the period before that
	rotated  time.Time
}

// open adds the ID of an open request. It returns false if the ID is known already.
func (i *requestIDs) open(id string, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active[id] || i.recent[id] || i.previous[id] {
		return false
	}
	if i.active == nil {
		i.active = map[string]bool{}
	}
	if i.recent == nil || now.Sub(i.rotated) > requestIDRetention || len(i.recent) >= maxRecentRequestIDs {
		i.previous = i.recent
		i.recent = map[string]bool{}
		i.rotated = now
	}
	i.active[id] = true
	i.recent[id] = true
	return true
}

// close moves the ID of a request that has ended to the recent ones.
func (i *requestIDs) close(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.active, id)
	i.recent[id] = true
}
