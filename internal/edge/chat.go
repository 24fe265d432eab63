package edge

import (
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/metrics"
	"standpoint/internal/node"
)

const (
	// busyRetryAfter is the time after which the client of a request that found no capacity should retry.
	busyRetryAfter = 500 * time.Millisecond
	// rejectedBodyGrace is how long the rest of a malformed request may take to arrive.
	rejectedBodyGrace = 100 * time.Millisecond
	// drainRejectAfter is the time after the start of a manual drain from which requests that still arrive are
	// rejected.
	drainRejectAfter = 1900 * time.Millisecond
)

// chat handles a chat request.
func (f *Front) chat(w http.ResponseWriter, r *http.Request) {
	began := arrivalOf(r)
	control := http.NewResponseController(w)
	f.setConnectionHeader(w, r, f.Lifecycle.Phase())
	request, err := f.decode(r, began)
	if err != nil {
		f.rejectUnreadable(w, r, control, err)
		return
	}
	if conn, tracked := clientConnOf(r); tracked && !conn.tracker.Requests.Available(1) {
		f.rejectUnreadable(w, r, control, errTooManyRequests) // before its body is read
		return
	}
	metered := &meteredBody{ReadCloser: r.Body, limiter: f.BodyLimiter, tenant: request.Tenant}
	defer metered.release()
	r.Body = metered
	raw, body, err := readBody(w, r)
	if err != nil {
		f.rejectUnreadable(w, r, control, err)
		return
	}
	body.boundLengths(&request)
	if err := admit(r); err != nil {
		f.rejectUnreadable(w, r, control, err)
		return
	}
	// The request is complete. Without a read deadline, the server can notice that the client disconnects.
	_ = control.SetReadDeadline(time.Time{})
	phase, since := f.Lifecycle.PhaseSince()
	f.setConnectionHeader(w, r, phase)
	if phase == node.ManuallyDrained && time.Since(since) > drainRejectAfter {
		f.countUnsent(r, metrics.Rejected)
		writeRejection(w, busyRetryAfter)
		return
	}
	if conn, tracked := clientConnOf(r); tracked {
		if err := conn.awaitPipelined(r.Context()); err != nil {
			f.rejectUnreadable(w, r, control, err)
			return
		}
	}
	id := r.Header.Get(traceHeader)
	if err := f.ids.open(id, began); err != nil {
		f.rejectUnreadable(w, r, control, err)
		return
	}
	attempted := true // also if the handler panics
	defer func() { f.ids.close(id, attempted, time.Now()) }()
	attempted = f.serve(w, r, control, request, node.Work{Body: raw, MaxTokens: body.maxTokens()})
}

// admit charges a request that was read completely for what it takes until it is answered. Requests that never come in
// full take nothing of the rate.
func admit(r *http.Request) error {
	conn, tracked := clientConnOf(r)
	switch {
	case !tracked:
		return nil
	case !conn.tracker.Requests.Allow(1):
		return errTooManyRequests
	case !conn.memory.Grow(requestMemory):
		return errBodyCapacity
	}
	return nil
}

// arrivalOf returns when the head of a request was read.
func arrivalOf(r *http.Request) time.Time {
	if conn, tracked := clientConnOf(r); tracked {
		return conn.requestAt
	}
	return time.Now()
}

// isRestSmall reports whether the rest of a rejected request is worth reading, so that its connection can be kept.
func isRestSmall(r *http.Request) bool {
	conn, tracked := clientConnOf(r)
	return r.ContentLength >= 0 && r.ContentLength <= maxDiscardedBytes && !(tracked && conn.reclaimed.Load())
}

// discardRest bounds how much of the rest of a request is read before its connection closes.
func discardRest(r *http.Request) {
	if conn, tracked := clientConnOf(r); tracked {
		conn.discardRest()
	}
}

// rejectUnreadable responds to a request that is not forwarded because it could not be read or decoded, or because its
// trace ID is that of another request.
func (f *Front) rejectUnreadable(w http.ResponseWriter, r *http.Request, control *http.ResponseController, err error) {
	trace, client := zap.String("trace", r.Header.Get(traceHeader)), zap.String("client", r.RemoteAddr)
	if isCapacityError(err) {
		f.Log.Info("request rejected", trace, client, zap.Error(err), zap.Int("bodies", f.BodyLimiter.InUse()))
		f.countUnsent(r, metrics.Rejected)
		if errors.Is(err, errStillSending) || !isRestSmall(r) {
			w.Header().Set("Connection", "close") // the rest of its body is not read
			discardRest(r)
		}
		writeRejection(w, busyRetryAfter)
		return
	}
	var malformed *requestError
	if !errors.As(err, &malformed) {
		f.Log.Info("request aborted by client", trace, client, zap.Error(err))
		panic(http.ErrAbortHandler) // the client aborted its request
	}
	if r.ContentLength < 0 || malformed.status == http.StatusRequestTimeout {
		w.Header().Set("Connection", "close") // the end of the body is unknown or not awaited
		discardRest(r)
		_ = control.SetReadDeadline(time.Now().Add(rejectedBodyGrace))
	}
	f.countUnsent(r, metrics.Failed)
	f.Metrics.CountFailedUnsent(malformed.cause())
	f.Log.Info("malformed request", trace, client, zap.Error(malformed))
	writeError(w, malformed.status, malformed.message)
}

// countUnsent counts a request that is handled without the core, if its class is known.
func (f *Front) countUnsent(r *http.Request, outcome metrics.Outcome) {
	if class, ok := f.indexes.Load().classes[r.Header.Get(classHeader)]; ok {
		f.Metrics.CountRequest(class, outcome)
	}
}

// errTooManyRequests is the error of a request beyond the rate that the cores of the node can serve.
var errTooManyRequests = errors.New("too many requests per second")

// isCapacityError reports whether a request was rejected because this node is short of a resource, and not because of a
// fault of its own.
func isCapacityError(err error) bool {
	return errors.Is(err, errBodyCapacity) || errors.Is(err, errIDCapacity) || errors.Is(err, errStillSending) ||
		errors.Is(err, errTooManyRequests)
}

// serve has the core serve a decoded request, and completes the response. It reports whether the request may have run.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, control *http.ResponseController,
	decoded standpoint.Request, work node.Work) (attempted bool) {
	work.Method = r.Method
	work.Target = r.URL.RequestURI()
	work.TraceID = r.Header.Get(traceHeader)
	work.ContentType = r.Header.Get(contentTypeHeader)
	conn, _ := clientConnOf(r)
	stream := &clientStream{w: w, control: control, conn: conn, supportsChunked: r.ProtoAtLeast(1, 1)}
	request := node.NewRequest(decoded, work, stream)
	if responded := f.handleSession(w, r, request); responded {
		return true
	}
	answer, err := f.Core.Serve(r.Context(), request)
	if err != nil {
		f.Log.Info("request rejected", zap.String("trace", work.TraceID), zap.String("client", r.RemoteAddr),
			zap.Error(err), zap.Int("open", f.Core.OpenRequests()))
		answer = node.Answer{Kind: node.Rejected, RetryAfter: busyRetryAfter}
	}
	if conn != nil {
		conn.served = err == nil && (answer.Kind == node.Served || answer.Kind == node.Interrupted)
	}
	if conn != nil && answer.Kind != node.Moved {
		conn.keepIfPipelined(w.Header())
	}
	switch answer.Kind {
	case node.Served:
		// The last chunk gets the full write timeout, however long the client stalled before.
		_ = control.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	case node.Moved:
	case node.Interrupted, node.ClientDisconnected:
		// The connection closes without the last chunk, or without any response: an empty response would look complete.
		panic(http.ErrAbortHandler)
	case node.Rejected:
		writeRejection(w, answer.RetryAfter)
	case node.Invalid:
		writeError(w, answer.Status, "a backend found the request itself wrong")
	default:
		writeError(w, http.StatusBadGateway, "failed")
	}
	return answer.Kind != node.Rejected && !answer.NoAttempt
}
