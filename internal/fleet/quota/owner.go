package quota

// Owner is one incarnation of a node, in a member slot of the fleet. Whatever is granted, lent or counted belongs
// to an owner, never to a slot: the next incarnation in the slot owes and holds nothing of it.
type Owner struct {
	Slot        int    `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Lease is an owner's hold of its slot. Times are Unix nanoseconds. The zero value is no lease.
type Lease struct {
	FencingToken uint64 // under which the lease was granted; 0: there is none
	ValidFrom    int64  // the moment from which on the slot is this owner's
	ExpiresAt    int64  // the moment at which it stops being so, unless the lease is renewed
	// Successor reports that another incarnation of the same node may have held the slot until ValidFrom. What that
	// one spent and lent is not known.
	Successor bool
}
