package edge

import (
	"net/http"

	"standpoint/internal/fleet/session/service"
	"standpoint/internal/metrics"
	"standpoint/internal/node"
)

// handleSession prepares a request that has to do with sessions: it makes the resumption of one that names a session,
// and has the answer inspected of one that offers tools. It reports whether the request has been answered already.
func (f *Front) handleSession(w http.ResponseWriter, r *http.Request, request *node.Request) (answered bool) {
	key := r.Header.Get(resumeHeader)
	switch {
	case key == "" && f.Sessions != nil && f.Sessions.InspectsResponse(request.Work.Body):
		request.Hook = f.Sessions.Hook(request.Spec, request.Work.Body, request.Backend)
		return false
	case key == "":
		return false
	case f.Sessions == nil:
		f.countUnsent(r, metrics.Failed)
		f.Metrics.CountFailedUnsent(metrics.Malformed)
		writeError(w, http.StatusBadRequest, resumeHeader+": no sessions are kept here")
		return true
	case r.Header.Get(cancelHeader) == "1":
		f.cancelSession(w, r, key)
		return true
	}
	return f.resumeSession(w, r, request, key)
}

// cancelSession answers a request that cancels a session.
func (f *Front) cancelSession(w http.ResponseWriter, r *http.Request, key string) {
	if err := f.Sessions.Cancel(r.Context(), key); err != nil {
		f.writeSessionError(w, r, err)
		return
	}
	f.countUnsent(r, metrics.Succeeded)
	w.WriteHeader(http.StatusNoContent)
}

// resumeSession makes the request that resumes a session. It reports whether the request has been answered, since that
// session cannot be resumed.
func (f *Front) resumeSession(
	w http.ResponseWriter,
	r *http.Request,
	request *node.Request,
	key string,
) (answered bool) {
	traceID := r.Header.Get(traceHeader)
	resumed, err := f.Sessions.Resume(r.Context(), key, traceID, request.Spec.Tenant, request.Work.Body)
	if err != nil {
		f.writeSessionError(w, r, err)
		return true
	}
	spec := resumed.Request
	spec.Deadline = min(request.Spec.Deadline, f.Core.ModuleTime(resumed.Deadline))
	request.Spec = spec
	request.Work.Body = resumed.Body
	request.UncachedTokens = resumed.UncachedTokens
	request.CachedBackend = resumed.Backend
	request.CachedBackendStartedAt = resumed.BackendStart
	request.CachedTokens = resumed.CachedTokens
	request.Hook = resumed.Hook(request.Backend, request.Interrupt)
	return false
}

// writeSessionError answers a request for a session that cannot go on now, or ever.
func (f *Front) writeSessionError(w http.ResponseWriter, r *http.Request, err *service.RequestError) {
	if err.Status >= 500 || err.RetryAfter > 0 {
		f.countUnsent(r, metrics.Rejected)
	} else {
		f.countUnsent(r, metrics.Failed)
		f.Metrics.CountFailedUnsent(metrics.Malformed)
	}
	setRetryAfter(w, err.RetryAfter)
	writeError(w, err.Status, err.Message)
}
