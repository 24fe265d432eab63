package daemon

import (
	"net/http"
	"slices"
	"strings"

	"standpoint/internal/edge"
	"standpoint/internal/node"
)

// edgeComponent creates the HTTP front that serves single requests.
func edgeComponent(a *assembly) (component, error) {
	_, names, _ := a.requestSettings()
	a.front = &edge.Front{
		Core:          a.core,
		Names:         names,
		Lifecycle:     a.lifecycle,
		BodyLimiter:   node.NewTenantLimiter(a.limits.MaxBodyBytes(), len(names.Tenants)),
		MaxRequestIDs: a.limits.MaxRequestIDs(),
		Metrics:       a.counters,
		Sessions:      a.sessions,
		Log:           a.log,
	}
	if a.requestIDs != nil { // a nil *handover.RequestIDs would make the interface non-nil
		a.front.SharedIDs = a.requestIDs
	}
	reload := func(next deployment) {
		_, names, _ := next.requestSettings()
		a.front.SetNames(names)
		a.memory.SetCapacity(next.limits.MaxPeerBytes())
		a.work.SetRate(next.limits.BulkRate())
		a.requests.SetRate(next.limits.RequestRate())
		a.answers.SetRate(next.limits.AnswerRate())
		a.front.BodyLimiter.SetCapacity(next.limits.MaxBodyBytes(), len(names.Tenants))
	}
	return component{name: "edge", reload: reload}, nil
}

// handler returns the handler for all paths that clients use.
func (a *assembly) handler() http.Handler {
	front := a.front.Handler()
	if len(a.handlers) == 0 {
		return front
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, h := range a.handlers {
			if h.matches(r.URL.Path) {
				h.handler.ServeHTTP(w, r)
				return
			}
		}
		front.ServeHTTP(w, r)
	})
}

// matches reports whether the path begins with one of the prefixes.
func (h *prefixHandler) matches(path string) bool {
	return slices.ContainsFunc(h.prefixes, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}
