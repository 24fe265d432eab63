package quota

// Owner is one incarnation of a node in a member slot of the fleet. Leases, transfers and counts belong to an owner,
// never to a slot: the next incarnation in the slot takes over none of them.
type Owner struct {
	Slot        int    `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Lease is the lease of a slot by its owner. Times are Unix nanoseconds. The zero value is no lease.
type Lease struct {
	FencingToken uint64 // number of the holder; 0 without a lease
	ValidFrom    int64  // time from which the owner holds the slot
	ExpiresAt    int64  // time at which the lease expires unless it is renewed
	// Successor is whether an earlier incarnation of the same node may have held the slot until ValidFrom. The
	// amounts that it spent and lent are not known.
	Successor bool
}
