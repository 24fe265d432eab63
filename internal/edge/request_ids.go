package edge

import (
	"sync"
	"time"
)

const (
	// requestIDRetention is how long an id is known after its request at the least; at the most it is twice as long.
	requestIDRetention = 30 * time.Second
	// maxRecentRequestIDs is how many ids may come before the older ones are forgotten sooner than that.
	maxRecentRequestIDs = 4096
)

// requestIDs knows the ids of open requests and of the latest that are over. Every request has a new one, and an
// attempt under the id of another request would be taken for a hedged copy of that. The zero value is ready to use; it
// is safe for concurrent use.
type requestIDs struct {
	mu      sync.Mutex // guards all below
	active  map[string]bool
	recent  map[string]bool // opened or closed since the last rotation
	older   map[string]bool // those of the time before it
	rotated time.Time
}

// open claims an id; false if it is known.
func (i *requestIDs) open(id string, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active[id] || i.recent[id] || i.older[id] {
		return false
	}
	if i.active == nil {
		i.active = map[string]bool{}
	}
	if i.recent == nil || now.Sub(i.rotated) > requestIDRetention || len(i.recent) >= maxRecentRequestIDs {
		i.older = i.recent
		i.recent = map[string]bool{}
		i.rotated = now
	}
	i.active[id] = true
	i.recent[id] = true
	return true
}

// close tells that the id's request is over.
func (i *requestIDs) close(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.active, id)
	i.recent[id] = true
}
