package record

// Guard tells a real emptying of a list from one that only looks so. A server that lost its zone answers "no such
// instances" as readily as one whose boxes were all withdrawn; taking the first for the second would stop all traffic.
// One box that goes is believed at once, always: work to it must stop within 500 ms. Only when most of the boxes go in
// one step is the news held for a while, and it is believed when it has stayed the same for that long, or when the
// zone's own serial shows that somebody has changed it.
type Guard struct {
	// MaxLossFraction of the list that may go in one step without being held; 1 holds nothing.
	MaxLossFraction float64
	// HoldTime is how long a greater loss must stay the same, in nanoseconds.
	HoldTime int64

	holding   bool
	heldSince int64
	remaining int
}

// Decision is what a Guard makes of a list.
type Decision int

// The judgements of a Guard.
const (
	Accept Decision = iota // the answer is the list
	Hold                   // hold the last list, and ask again
)

// Check is shown each whole answer: how many boxes were listed, how many of them are still, whether the zone's serial
// has gone up since the list that is held, and the time in nanoseconds.
func (g *Guard) Check(listed, remaining int, changed bool, now int64) Decision {
	gone := listed - remaining
	if listed == 0 || gone <= 1 || float64(gone) <= g.MaxLossFraction*float64(listed) || changed {
		g.holding = false
		return Accept
	}
	if !g.holding || g.remaining != remaining {
		g.holding, g.heldSince, g.remaining = true, now, remaining
	}
	if now-g.heldSince >= g.HoldTime {
		g.holding = false
		return Accept
	}
	return Hold
}

// HeldSince tells whether a loss is being held, and since when.
func (g *Guard) HeldSince() (since int64, held bool) { return g.heldSince, g.holding }

// Newer compares two serials of a zone (RFC 1982): whether a is later than b.
func Newer(a, b uint32) bool { return a != b && int32(a-b) > 0 }
