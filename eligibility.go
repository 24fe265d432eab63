package standpoint

// What may be sent, and how a request may end.

import (
	"slices"
)

// mayUse tells whether an attempt of q may go to e: drains, effects, copies.
func (r *Router) mayUse(q *request, e *engine) bool {
	c := r.class(q)
	for _, a := range q.attempts {
		switch {
		case a.inFlight && !r.settings.SecondCopies:
			return false
		case a.engine == e && (a.inFlight || a.mayHaveRun):
			return false
		case a.mayHaveRun && c.Effect == Unsafe:
			return false
		case a.mayHaveRun && c.Effect == Keyed && r.now-a.sent >= c.Window:
			return false
		case a.mayHaveRun && c.Effect == Keyed && !sameGroup(c.Group, a.engine, e):
			return false
		}
	}
	return !e.notReady
}

// mayShed tells whether saying "try again, it is harmless" is true.
func (r *Router) mayShed(q *request) bool {
	c := r.class(q)
	if c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

func sameGroup(g Group, a, b *engine) bool {
	switch g {
	case GroupZone:
		return a.Zone == b.Zone
	case GroupCell:
		return a.Cell == b.Cell
	}
	return true
}

// MayShed tells whether it is true of an open request that trying it again is harmless.
func (r *Router) MayShed(id int64) bool {
	q := r.requests[id]
	return q == nil || r.mayShed(q)
}
