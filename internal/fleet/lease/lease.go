// Package lease decides which incarnation of a node holds a member slot of its fleet, and persists in the node's
// directory which of its incarnations may have claimed the slot.
//
// The store's leader grants a slot under a lease that expires. The fencing token grows with each new holder. Decide
// is a pure function; Directory does the I/O.
package lease

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Record is the store's record of the lease of a slot. Its zero value is that of a slot that was never leased. Times
// are Unix nanoseconds.
type Record struct {
	Incarnation  uint64 `json:"inc"`            // incarnation that holds the slot
	FencingToken uint64 `json:"epoch"`          // number of the holder, from 1; grows with each new holder
	ValidFrom    int64  `json:"first"`          // time from which this incarnation holds the slot
	ExpiresAt    int64  `json:"until"`          // time at which the lease expires unless it is renewed
	Successor    bool   `json:"heir,omitempty"` // whether it took over before its predecessor's lease expired
}

// Claim requests the lease of a slot for an incarnation, or the renewal of the lease that it has.
type Claim struct {
	Slot        string `json:"name"`
	Incarnation uint64 `json:"inc"`
	// Predecessors are earlier incarnations of the same directory. Its lock proves that they have ended.
	Predecessors []uint64      `json:"before,omitempty"`
	Duration     time.Duration `json:"for"` // requested duration of the lease
	// ClaimantTime is the claimant's clock, in Unix nanoseconds. Its quota windows follow that clock.
	ClaimantTime int64 `json:"clock"`
}

// ErrSlotHeld is returned while another incarnation holds the slot, or may do so by its own clock.
var ErrSlotHeld = errors.New("another life of this node has its seat")

// Decide returns the record after a claim made at now, by the leader's clock. The clocks of two nodes differ by at
// most clockError. A holder that is one of the claim's predecessors is replaced at once, any other one only once its
// lease has expired by both clocks; until then, Decide returns the record unchanged and an error that wraps
// ErrSlotHeld. An invalid claim is rejected with another error.
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
		return record, fmt.Errorf("%w: a later one", ErrSlotHeld)
	case now < record.ExpiresAt+2*int64(clockError):
		return record, fmt.Errorf("%w until %s",
			ErrSlotHeld, time.Unix(0, record.ExpiresAt).UTC().Format(time.RFC3339Nano))
	}
	granted.ValidFrom = max(granted.ValidFrom, record.ExpiresAt)
	return granted, nil
}
