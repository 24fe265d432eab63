// Package lease decides which incarnation of a node holds a member slot of its fleet, and persists in the node's
// own directory which of its incarnations may have claimed the slot.
//
// The store's leader grants a slot under a lease that expires. A fencing token grows with each new holder. Decide
// is a pure function; Directory does the I/O.
package lease

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Record says who holds a slot, as it stands in the store. Its zero value is that of a slot that was never held.
// Times are Unix nanoseconds.
type Record struct {
	Incarnation  uint64 `json:"inc"`
	FencingToken uint64 `json:"epoch"`          // grows with each holder, from 1
	ValidFrom    int64  `json:"first"`          // from when on this incarnation holds the slot
	ExpiresAt    int64  `json:"until"`          // unless it is renewed
	Successor    bool   `json:"heir,omitempty"` // it took over before the lease of its predecessor had expired
}

// Claim asks for a slot on behalf of an incarnation, or for the renewal of the lease that it has.
type Claim struct {
	Slot        string `json:"name"`
	Incarnation uint64 `json:"inc"`
	// Predecessors are incarnations of the same directory. Its lock proves that they have ended.
	Predecessors []uint64      `json:"before,omitempty"`
	Duration     time.Duration `json:"for"`
	// ClaimantTime is the claimant's own clock, in Unix nanoseconds, which its quota windows follow.
	ClaimantTime int64 `json:"clock"`
}

// ErrHeld is returned while another incarnation holds the slot.
var ErrHeld = errors.New("another life of this node has its seat")

// Decide returns the record that follows a claim made at now, by the leader's clock. Clocks of two nodes differ by
// clockError at the most. It returns an error that wraps ErrHeld where another incarnation holds the slot, and the
// record unchanged.
func Decide(record Record, claim Claim, now int64, clockError time.Duration) (Record, error) {
	granted := Record{
		Incarnation:  claim.Incarnation,
		FencingToken: record.FencingToken + 1,
		ValidFrom:    max(now, claim.ClaimantTime),
		ExpiresAt:    now + int64(claim.Duration),
	}
	switch {
	case claim.Incarnation == 0 || claim.Duration <= 0:
		return record, fmt.Errorf("a claim that cannot be: life %d, for %v", claim.Incarnation, claim.Duration)
	case record.FencingToken == 0:
		return granted, nil
	case record.Incarnation == claim.Incarnation: // a renewal
		record.ExpiresAt = max(record.ExpiresAt, granted.ExpiresAt)
		return record, nil
	case slices.Contains(claim.Predecessors, record.Incarnation):
		granted.Successor = true
		return granted, nil
	case claim.Incarnation < record.Incarnation && now < record.ExpiresAt:
		return record, fmt.Errorf("%w: a later one", ErrHeld)
	case now < record.ExpiresAt+2*int64(clockError):
		return record, fmt.Errorf("%w until %s", ErrHeld, time.Unix(0, record.ExpiresAt).UTC().Format(time.RFC3339Nano))
	}
	granted.ValidFrom = max(granted.ValidFrom, record.ExpiresAt)
	return granted, nil
}
