package standpoint

// The rules for repeating a request: which attempts are allowed, and whether the final response may be a
// rejection.

import (
	"slices"
)

// mayUse reports whether an attempt of q may be sent to e: e is ready and no earlier attempt forbids it, by
// the effect of q's class, because hedged attempts are not allowed, or because it may have run at e itself.
func (r *Router) mayUse(q *request, e *engine) bool {
	c := r.class(q)
	for _, a := range q.attempts {
		switch {
		case a.inFlight && !r.settings.HedgedRequests:
			return false
		case a.engine == e && (a.inFlight || a.mayHaveRun):
			return false
		case a.mayHaveRun && c.Effect == Unsafe:
			return false
		case a.mayHaveRun && c.Effect == Keyed && r.now-a.sentAt >= c.DedupWindow:
			return false
		case a.mayHaveRun && c.Effect == Keyed && !sameGroup(c.DedupScope, a.engine, e):
			return false
		}
	}
	return !e.notReady
}

// mayShed reports whether it is safe for the client to retry the request, so that the final response may be a
// rejection.
func (r *Router) mayShed(q *request) bool {
	c := r.class(q)
	if c.Effect == Safe || c.Effect == Keyed && c.DedupScope == GroupAll {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// sameGroup reports whether two engines drop each other's repeats within the scope g.
func sameGroup(g Group, a, b *engine) bool {
	switch g {
	case GroupZone:
		return a.Zone == b.Zone
	case GroupCell:
		return a.Cell == b.Cell
	}
	return true
}

// MayShed reports whether it is safe for the client to retry the open request with this ID. It is true for an
// unknown ID.
func (r *Router) MayShed(id int64) bool {
	q := r.requests[id]
	return q == nil || r.mayShed(q)
}
