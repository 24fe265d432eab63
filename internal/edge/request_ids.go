package edge

import (
	"sync"
	"time"
)

const (
	idsKept = 30 * time.Second // an id is known for at least as long after its request, and at most twice as long
	idsMost = 4096             // unless so many come in that time
)

// ids knows the open requests and the latest that are over by their X-Trace-Id. It is fresh on every request, and
// a second attempt under the same id would be taken for a second copy of the first.
type ids struct {
	mu           sync.Mutex
	live         map[string]bool
	young, older map[string]bool
	turned       time.Time
}

// open claims an id, unless it is known.
func (d *ids) open(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.live[id] || d.young[id] || d.older[id] {
		return false
	}
	if d.live == nil {
		d.live = map[string]bool{}
	}
	if d.young == nil || now.Sub(d.turned) > idsKept || len(d.young) >= idsMost {
		d.young, d.older, d.turned = map[string]bool{}, d.young, now
	}
	d.live[id], d.young[id] = true, true
	return true
}

// close tells that the id's request is over.
func (d *ids) close(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.live, id)
	d.young[id] = true
}
