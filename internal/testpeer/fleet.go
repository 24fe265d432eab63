package testpeer

import (
	"math/rand/v2"
	"sync"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

// RejectingFleet is a node.Fleet that rejects a random fraction of the requests, as budgets without tokens do. It is
// safe for concurrent use.
type RejectingFleet struct {
	// RetryAfter is the time after which the clients of rejected requests should retry.
	RetryAfter time.Duration

	mu       sync.Mutex // guards all below
	rng      *rand.Rand
	fraction float64 // of the requests that are rejected, 0 to 1
	rejected int     // requests that were rejected
}

var _ node.Fleet = (*RejectingFleet)(nil)

// NewRejectingFleet creates a RejectingFleet that rejects no request yet. The seed determines its random draws.
func NewRejectingFleet(seed uint64, retryAfter time.Duration) *RejectingFleet {
	return &RejectingFleet{RetryAfter: retryAfter, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Reject makes the fleet reject a fraction of the requests from now on.
func (f *RejectingFleet) Reject(fraction float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fraction = fraction
}

// Rejected returns the number of requests that were rejected.
func (f *RejectingFleet) Rejected() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rejected
}

// Admit implements node.Fleet.
func (f *RejectingFleet) Admit(*standpoint.Request) (node.Charge, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.Float64() < f.fraction {
		f.rejected++
		return node.Charge{}, f.RetryAfter, false
	}
	return node.Charge{}, 0, true
}

// Settle implements node.Fleet.
func (*RejectingFleet) Settle(*standpoint.Request, node.Charge, node.Answer) {}

// AllowRetry implements node.Fleet.
func (*RejectingFleet) AllowRetry() bool { return true }

// RecordFinished implements node.Fleet.
func (*RejectingFleet) RecordFinished(node.Observation) {}

// UpdateEndpoints implements node.Fleet.
func (*RejectingFleet) UpdateEndpoints(node.EndpointList) {}
