// Package peers finds the nodes of an installation by DNS-SD and counts them, so that what all nodes may do together is
// divided among as many as there are.
package peers

// NodeCount decides how many nodes there are. More nodes count at once, as each must then do with less; fewer count
// only after there have been fewer for HoldTime, so that a node that is away for a moment does not let the others use
// its part just as it returns. The last count stays while nothing is observed. It is not safe for concurrent use.
type NodeCount struct {
	HoldTime int64 // nanoseconds
	Minimum  int   // as configured; below 1 it is 1

	current      int
	lowerSince   int64 // since when fewer than current have been observed; 0: not fewer
	highestLower int   // the highest number observed since lowerSince
}

// Current is the number by which parts are worked out.
func (c *NodeCount) Current() int { return max(1, c.Minimum, c.current) }

// Observe takes in how many nodes are listed at a time in nanoseconds, and reports whether Current has changed. A list
// without any node is ignored: at least the observer is there.
func (c *NodeCount) Observe(listed int, now int64) bool {
	before := c.Current()
	switch {
	case listed <= 0:
		return false
	case listed >= c.current:
		c.current = listed
		c.lowerSince = 0
	case c.lowerSince == 0:
		c.hold(listed, now)
	default:
		c.highestLower = max(c.highestLower, listed)
		if now-c.lowerSince >= c.HoldTime {
			c.lower(listed, now)
		}
	}
	return c.Current() != before
}

// hold begins to wait whether the lower number lasts.
func (c *NodeCount) hold(listed int, now int64) {
	c.lowerSince = now
	c.highestLower = listed
}

// lower lowers the count to the highest number within the hold time, and holds again if even fewer are listed now.
func (c *NodeCount) lower(listed int, now int64) {
	c.current = c.highestLower
	c.lowerSince = 0
	if listed < c.current {
		c.hold(listed, now)
	}
}

// NextObservation is when Observe is to be called again with the last list if none is received before, in nanoseconds;
// 0 for never.
func (c *NodeCount) NextObservation() int64 {
	if c.lowerSince == 0 {
		return 0
	}
	return c.lowerSince + c.HoldTime
}
