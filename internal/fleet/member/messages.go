package member

import (
	"time"

	"standpoint/internal/fleet/counter"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/quota"
)

// Bounds of a packet.
const (
	MaxHeartbeats       = 600 // ages, a byte each
	MaxForwardedUpdates = 5   // of other nodes
	MaxQuotaMessages    = 16
	MaxSurpluses        = 8 // budgets of which an update gives the surplus
)

const (
	minAgeUnit = 10 * time.Millisecond
	ageUnknown = 0xff // in place of an age: never heard, or too long ago
)

// Packet is what one node sends to another.
type Packet struct {
	From          quota.Owner    `cbor:"1,keyasint"`
	AgeUnit       int64          `cbor:"5,keyasint,omitempty"` // of HeartbeatAges, in nanoseconds
	FirstSlot     int            `cbor:"6,keyasint,omitempty"` // that HeartbeatAges begin with
	HeartbeatAges []byte         `cbor:"2,keyasint,omitempty"` // how long ago each slot was alive, as it knows
	Updates       []Update       `cbor:"3,keyasint,omitempty"` // the sender's own, and some that it forwards
	QuotaMessages []QuotaMessage `cbor:"4,keyasint,omitempty"`
}

// Update is what one incarnation of a node says of itself. Others forward it as it is.
type Update struct {
	Counters  counter.Snapshot   `cbor:"1,keyasint"`
	Surpluses []Surplus          `cbor:"2,keyasint,omitempty"`
	Evidence  []outlier.Evidence `cbor:"3,keyasint,omitempty"`
}

// Surplus is what a node could lend of a budget when it said so.
type Surplus struct {
	Budget int   `cbor:"1,keyasint"` // its index
	Amount int64 `cbor:"2,keyasint"`
}

// QuotaMessageKind says what a QuotaMessage is.
type QuotaMessageKind uint8

// The kinds, as they are sent to other nodes.
const (
	RequestQuota   QuotaMessageKind = iota // for windows from FirstWindow to LastWindow at the most
	GrantTransfer                          // of quota that was requested
	ReturnTransfer                         // a transfer ends early, after LastWindow
)

// QuotaMessage is one message about quota, from one owner to another.
type QuotaMessage struct {
	Kind        QuotaMessageKind `cbor:"1,keyasint"`
	BudgetHash  uint64           `cbor:"2,keyasint"` // of its definition
	To          quota.Owner      `cbor:"3,keyasint"` // of a request, any incarnation in the slot
	Number      uint64           `cbor:"4,keyasint,omitempty"`
	Amount      int64            `cbor:"5,keyasint,omitempty"`
	FirstWindow int64            `cbor:"6,keyasint,omitempty"`
	LastWindow  int64            `cbor:"7,keyasint,omitempty"`
}

// Outgoing is a packet and the slot that it is for.
type Outgoing struct {
	To     int
	Packet Packet
}
