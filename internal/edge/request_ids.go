package edge

import (
	"errors"
	"hash/fnv"
	"sync"
	"time"
)

const (
	// requestIDRetention is the minimum time for which an ID is remembered after its request has ended. It may be
	// remembered for twice as long.
	requestIDRetention = 30 * time.Second
	// defaultMaxRequestIDs is the capacity of a requestIDs that is not set.
	defaultMaxRequestIDs = 64 << 10
)

// Errors of requestIDs.open.
var (
	errKnownID    = &requestError{409, "X-Trace-Id: that of another request"}
	errIDCapacity = errors.New("too many request IDs to remember")
)

// SharedIDs passes the IDs of requests, as hashes, between the processes of this node. Its methods are safe for
// concurrent use.
type SharedIDs interface {
	// Publish tells the other processes of a request that this one has accepted.
	Publish(id uint64)
	// Collect returns the IDs that other processes have published since the last call.
	Collect() []uint64
}

// requestIDs remembers the IDs of open and recently closed requests. Every request must have a new ID: an attempt with
// the ID of another request would be taken for a hedged copy of it, or run a second time. IDs of requests that were never
// attempted are forgotten. If there are too many to remember, further requests are rejected, and none is forgotten. The
// zero value is ready to use. It is safe for concurrent use.
type requestIDs struct {
	mu       sync.Mutex // guards the fields below
	maximum  int        // IDs opened or closed in one period; 0 for the default
	shared   SharedIDs  // nil if this node has no other process
	active   map[uint64]bool
	recent   map[uint64]struct{} // opened or closed since the last rotation
	previous map[uint64]struct{} // opened or closed in the period before that
	rotated  time.Time
}

// hashID returns the hash by which an ID is remembered. It is the same in all processes.
func hashID(id string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id)) // cannot fail
	return sum.Sum64()
}

// open adds the ID of an open request. It returns errKnownID if the ID is known already, and errIDCapacity if there are
// too many to remember.
func (i *requestIDs) open(id string, now time.Time) error {
	hash := hashID(id)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rotate(now)
	if i.shared != nil {
		i.shared.Publish(hash) // before the others' are read: of two processes with the same ID, at most one accepts it
		for _, other := range i.shared.Collect() {
			i.recent[other] = struct{}{}
		}
	}
	if i.isKnown(hash) {
		return errKnownID
	}
	if len(i.recent)+len(i.active) >= i.capacity() {
		return errIDCapacity
	}
	i.active[hash] = true
	return nil
}

// isKnown reports whether an ID is that of an open or recent request. The caller must hold the lock.
func (i *requestIDs) isKnown(hash uint64) bool {
	_, recent := i.recent[hash]
	_, previous := i.previous[hash]
	return i.active[hash] || recent || previous
}

func (i *requestIDs) capacity() int {
	if i.maximum == 0 {
		return defaultMaxRequestIDs
	}
	return i.maximum
}

// rotate begins a new period if the current one is over. The caller must hold the lock.
func (i *requestIDs) rotate(now time.Time) {
	if i.active == nil {
		i.active = map[uint64]bool{}
	}
	if i.recent != nil && now.Sub(i.rotated) <= requestIDRetention {
		return
	}
	i.previous = i.recent
	i.recent = map[uint64]struct{}{}
	i.rotated = now
}

// close moves the ID of a request that has ended to the recent ones, or forgets it if no attempt was made.
func (i *requestIDs) close(id string, attempted bool, now time.Time) {
	hash := hashID(id)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rotate(now)
	delete(i.active, hash)
	if attempted {
		i.recent[hash] = struct{}{}
	}
}

// known returns the IDs of all open and recent requests.
func (i *requestIDs) known() []uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	var ids []uint64
	for hash := range i.active {
		ids = append(ids, hash)
	}
	for hash := range i.recent {
		ids = append(ids, hash)
	}
	for hash := range i.previous {
		ids = append(ids, hash)
	}
	return ids
}
