package edge

import (
	"net/http"

	"standpoint/internal/fleet/session/service"
	"standpoint/internal/metrics"
	"standpoint/internal/node"
)

// handleSession prepares the session handling of a request. A request with a resume key is turned into one that resumes
// the session, or cancels the session at once. The response to a request that offers tools will be inspected.
// handleSession reports whether it has responded to the request itself.
func (f *Front) handleSession(w http.ResponseWriter, r *http.Request, request *node.Request) (responded bool) {
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

// cancelSession cancels a session and responds to the request for it.
func (f *Front) cancelSession(w http.ResponseWriter, r *http.Request, key string) {
	if err := f.Sessions.Cancel(r.Context(), key); err != nil {
		f.writeSessionError(w, r, err)
		return
	}
	f.countUnsent(r, metrics.Succeeded)
	w.WriteHeader(http.StatusNoContent)
}

// resumeSession turns the request into one that resumes a session. It reports whether it has responded to the request
// because the session cannot be resumed.
func (f *Front) resumeSession(
	w http.ResponseWriter,
	r *http.Request,
	request *node.Request,
	key string,
) (responded bool) {
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

// writeSessionError responds to a request for a session that cannot be resumed or cancelled. An error that a retry may
// overcome is counted as a rejection, and any other as a failure.
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
