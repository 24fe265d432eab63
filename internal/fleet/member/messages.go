package member

import (
	"time"

	"standpoint/internal/fleet/counter"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/quota"
)

// Maximum numbers of elements in a packet.
const (
	MaxHeartbeats       = 600 // heartbeat ages, a byte each
	MaxForwardedUpdates = 5   // forwarded updates of other nodes
	MaxQuotaMessages    = 16  // quota messages
	MaxSurpluses        = 8   // budgets whose surplus an update has
)

const (
	minAgeUnit = 10 * time.Millisecond // smallest unit of heartbeat ages
	ageUnknown = 0xff                  // heartbeat age of a slot never alive, or one too high for the unit
)

// Packet is the gossip message that one node sends to another.
type Packet struct {
	From          quota.Owner    `cbor:"1,keyasint"`
	AgeUnit       int64          `cbor:"5,keyasint,omitempty"` // unit of HeartbeatAges, in nanoseconds
	FirstSlot     int            `cbor:"6,keyasint,omitempty"` // index of the slot of the first of HeartbeatAges
	HeartbeatAges []byte         `cbor:"2,keyasint,omitempty"` // time since each slot was alive, as the sender knows it
	Updates       []Update       `cbor:"3,keyasint,omitempty"` // the sender's own update, then forwarded ones
	QuotaMessages []QuotaMessage `cbor:"4,keyasint,omitempty"`
}

// Update is the state that one incarnation of a node publishes of itself. Other nodes forward it unchanged.
type Update struct {
	Counters  counter.Snapshot   `cbor:"1,keyasint"`
	Surpluses []Surplus          `cbor:"2,keyasint,omitempty"`
	Evidence  []outlier.Evidence `cbor:"3,keyasint,omitempty"`
}

// Surplus is the amount of a budget that a node could lend at the time of its update.
type Surplus struct {
	Budget int   `cbor:"1,keyasint"` // index of the budget
	Amount int64 `cbor:"2,keyasint"` // amount in each window
}

// QuotaMessageKind is the kind of a QuotaMessage.
type QuotaMessageKind uint8

// The kinds of quota messages. Their values are sent to other nodes.
const (
	RequestQuota   QuotaMessageKind = iota // requests up to Amount in each window from FirstWindow to LastWindow
	GrantTransfer                          // lends quota in response to a request
	ReturnTransfer                         // ends a transfer early, after LastWindow
)

// QuotaMessage is one message about quota, from one owner to another.
type QuotaMessage struct {
	Kind        QuotaMessageKind `cbor:"1,keyasint"`
	BudgetHash  uint64           `cbor:"2,keyasint"`           // hash of the budget's definition
	To          quota.Owner      `cbor:"3,keyasint"`           // in a request, Incarnation is 0 and any is meant
	Number      uint64           `cbor:"4,keyasint,omitempty"` // the lender's number of the transfer; 0 in a request
	Amount      int64            `cbor:"5,keyasint,omitempty"` // amount in each window
	FirstWindow int64            `cbor:"6,keyasint,omitempty"` // number of the first window
	LastWindow  int64            `cbor:"7,keyasint,omitempty"` // number of the last window
}

// Outgoing is a packet and its destination.
type Outgoing struct {
	To     int // index of the slot
	Packet Packet
}
