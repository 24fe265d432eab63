package edge

import (
	"net/http"
	"strconv"

	"standpoint/internal/fleet/session/service"
	"standpoint/internal/metrics"
	"standpoint/internal/node"
)

// The headers of requests that go on with a session that paused, or call it off. Their bodies hold the tools' messages alone.
const (
	resumeKey = "X-Resume"
	cancelKey = "X-Resume-Cancel"
)

// session makes of a request one that goes on with a session, where the request names one, or has its answer looked at where it
// names tools. True: the request has been answered.
func (f *Front) session(w http.ResponseWriter, r *http.Request, flow *node.Request) bool {
	key := r.Header.Get(resumeKey)
	switch {
	case key == "" && f.Sessions != nil && f.Sessions.InspectsResponse(flow.Work.Body):
		flow.Hook = f.Sessions.Hook(flow.Spec, flow.Work.Body, flow.Server)
		return false
	case key == "":
		return false
	case f.Sessions == nil:
		f.ended(r, metrics.Failed)
		f.Metrics.CountFailedUnsent(metrics.Malformed)
		refuse(w, http.StatusBadRequest, resumeKey+": no sessions are kept here")
		return true
	case r.Header.Get(cancelKey) == "1":
		if fault := f.Sessions.Cancel(r.Context(), key); fault != nil {
			f.fault(w, r, fault)
			return true
		}
		f.ended(r, metrics.Succeeded)
		w.WriteHeader(http.StatusNoContent)
		return true
	}
	resumed, fault := f.Sessions.Resume(r.Context(), key, r.Header.Get("X-Trace-Id"), flow.Spec.Tenant, flow.Work.Body)
	if fault != nil {
		f.fault(w, r, fault)
		return true
	}
	q := resumed.Request
	q.Expires = min(flow.Spec.Expires, f.Core.ExpiresAt(resumed.Deadline))
	flow.Spec, flow.Work.Body, flow.UncachedTokens = q, resumed.Body, resumed.UncachedTokens
	flow.CacheHolder, flow.HolderStartedAt, flow.HeldTokens = resumed.Backend, resumed.BackendStart, resumed.CachedTokens
	flow.Hook = resumed.Hook(flow.Server, flow.BreakOff)
	return false
}

// fault answers a request about a session that cannot go on: now, with when to come again, or ever.
func (f *Front) fault(w http.ResponseWriter, r *http.Request, fault *service.RequestError) {
	if fault.Status >= 500 || fault.RetryAfter > 0 {
		f.ended(r, metrics.Rejected)
	} else {
		f.ended(r, metrics.Failed)
		f.Metrics.CountFailedUnsent(metrics.Malformed)
	}
	if fault.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(fault.RetryAfter.Seconds(), 'f', 3, 64))
	}
	refuse(w, fault.Status, fault.Message)
}
