package record

// Guard decides whether a list that has shrunk is accepted. A server that has lost its zone reports that there are no
// instances, exactly like one whose instances were all withdrawn, and accepting its list would stop all traffic. The
// loss of a single instance is always accepted immediately, because requests to that instance must stop within 500 ms.
// A list that lacks more than MaxLossFraction of the instances is held instead: it is accepted once the number of
// remaining instances has been the same for HoldTime, or if the zone's serial shows that the zone has changed. It is
// not safe for concurrent use.
type Guard struct {
	// MaxLossFraction is the largest fraction of the list that may disappear at once without being held; with 1 no list
	// is held.
	MaxLossFraction float64
	// HoldTime is the time in nanoseconds for which the number of remaining instances must be the same after a larger
	// loss before the list is accepted.
	HoldTime int64

	isHolding    bool  // whether a list is held
	holdingSince int64 // time in nanoseconds since which the list has been held
	remaining    int   // number of instances of the previous list that the held list still has
}

// Decision is the decision of a Guard on a list.
type Decision int

// The decisions of a Guard.
const (
	Accept Decision = iota // use the new list
	Hold                   // use the previous list, and query again
)

// Check decides on a complete list. listed is the number of instances in the previous list, remaining the number of
// those that the new list still has, and changed reports whether the zone's serial has increased in between. now is in
// nanoseconds.
func (g *Guard) Check(listed, remaining int, changed bool, now int64) Decision {
	missing := listed - remaining
	if listed == 0 || missing <= 1 || float64(missing) <= g.MaxLossFraction*float64(listed) || changed {
		g.isHolding = false
		return Accept
	}
	if !g.isHolding || g.remaining != remaining {
		g.isHolding = true
		g.holdingSince = now
		g.remaining = remaining
	}
	if now-g.holdingSince >= g.HoldTime {
		g.isHolding = false
		return Accept
	}
	return Hold
}

// HoldingSince reports whether a list is held, and since which time in nanoseconds.
func (g *Guard) HoldingSince() (since int64, held bool) { return g.holdingSince, g.isHolding }

// SerialNewer reports whether zone serial a is later than b in serial number arithmetic (RFC 1982).
func SerialNewer(a, b uint32) bool { return a != b && int32(a-b) > 0 }
