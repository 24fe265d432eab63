package record

// Guard tells a list that was really emptied from one that only looks so. A server that has lost its zone answers "no
// such instances" as readily as one whose instances were all withdrawn, and to take the first for the second would stop
// all traffic. The loss of one instance is always accepted at once, as requests to it must stop within 500 ms. Only if
// more than MaxLossFraction of the instances go in one step is the answer held: it is accepted once it has stayed the
// same for HoldTime, or when the zone's serial shows that the zone was changed. It is not safe for concurrent use.
type Guard struct {
	// MaxLossFraction of the list may go in one step without being held; 1 holds nothing.
	MaxLossFraction float64
	// HoldTime is how long a greater loss must stay the same, in nanoseconds.
	HoldTime int64

	holding   bool
	heldSince int64
	remaining int // instances in the answer that is held
}

// Decision is what a Guard decides about an answer.
type Decision int

// The decisions of a Guard.
const (
	Accept Decision = iota // the answer is the list
	Hold                   // keep the last list, and query again
)

// Check decides about a complete answer: listed is how many instances the last list has, remaining how many of them the
// answer still has, changed whether the zone's serial has gone up since that list, and now is in nanoseconds.
func (g *Guard) Check(listed, remaining int, changed bool, now int64) Decision {
	lost := listed - remaining
	if listed == 0 || lost <= 1 || float64(lost) <= g.MaxLossFraction*float64(listed) || changed {
		g.holding = false
		return Accept
	}
	if !g.holding || g.remaining != remaining {
		g.holding = true
		g.heldSince = now
		g.remaining = remaining
	}
	if now-g.heldSince >= g.HoldTime {
		g.holding = false
		return Accept
	}
	return Hold
}

// HoldingSince reports whether an answer is being held, and since when.
func (g *Guard) HoldingSince() (since int64, held bool) { return g.heldSince, g.holding }

// SerialNewer reports whether serial a of a zone is later than b (RFC 1982).
func SerialNewer(a, b uint32) bool { return a != b && int32(a-b) > 0 }
