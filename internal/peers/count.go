// Package peers discovers the nodes of an installation by DNS-SD and counts them, so that limits that apply to all
// nodes together can be divided by the number of nodes.
package peers

// NodeCount determines the number of nodes. A higher number takes effect at once, since each node's part of the common
// limits is then smaller. A lower number takes effect only after HoldTime, so that the others do not use the part of a
// node that is absent for a moment just as it returns. Without observations the count stays. It is not safe for
// concurrent use.
type NodeCount struct {
	HoldTime int64 // how long fewer nodes must be observed before Current decreases, in nanoseconds
	Minimum  int   // the configured minimum of Current; a value below 1 stands for 1

	current      int
	lowerSince   int64 // when fewer than current nodes were first observed, in nanoseconds; 0 if they are not fewer
	highestLower int   // the highest number observed since lowerSince
}

// Current returns the number of nodes by which limits are divided.
func (c *NodeCount) Current() int { return max(1, c.Minimum, c.current) }

// Observe records the number of listed nodes at the time now, in nanoseconds, and reports whether Current has changed.
// An empty list is ignored, as this node itself exists.
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

// hold begins the hold time of a lower number.
func (c *NodeCount) hold(listed int, now int64) {
	c.lowerSince = now
	c.highestLower = listed
}

// lower reduces the count to the highest number observed within the hold time, and begins another hold time if the
// latest number is lower still.
func (c *NodeCount) lower(listed int, now int64) {
	c.current = c.highestLower
	c.lowerSince = 0
	if listed < c.current {
		c.hold(listed, now)
	}
}

// NextObservation returns when Observe must be called again with the latest number if there is no new list before, in
// nanoseconds; 0 if no call is needed.
func (c *NodeCount) NextObservation() int64 {
	if c.lowerSince == 0 {
		return 0
	}
	return c.lowerSince + c.HoldTime
}
