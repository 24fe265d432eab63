package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
	"standpoint/internal/transient"
)

const (
	// maxHeadBytes is the maximum size of the head of a response, including preceding 1xx responses.
	maxHeadBytes = 16 << 10
	// maxDrainBytes is the maximum number of bytes read of a response other than 200, so that its connection can be
	// reused.
	maxDrainBytes = 16 << 10
	// drainTimeout is the maximum time for reading the rest of a response other than 200.
	drainTimeout = 100 * time.Millisecond
	// maxExtraConnections is the maximum number of further connections tried for a request that could not be written to
	// the one before.
	maxExtraConnections = 2
	// neverRanHeader is set to 1 by a backend that rejects a request before it runs.
	neverRanHeader = "X-Never-Ran"
)

var (
	errStreamSilent = errors.New("backend silent for too long within a response")
	errMemoryShort  = errors.New("no memory for an event of this size")
	errNoFirstEvent = errors.New("no event received in time after the head of the response")
)

// streamBackend is a backend that responds with streams of events.
type streamBackend struct {
	Options
	backendHandle
	idleLimit *idleLimit
	streams   *runningStreams
}

// run handles the mailbox. Each attempt has a goroutine of its own, so that waiting for a connection does not block the
// mailbox.
func (b *streamBackend) run(current process) {
	connections := transport(b.Options, b.idleLimit)
	defer func() { connections.CloseIdleConnections() }()
	for received := range b.mailbox {
		switch msg := received.(type) {
		case sendAttempt:
			go b.runAttempt(connections, current.address, msg.attempt) // the request waits until the attempt has ended
		case processChanged:
			// Open connections lead to the previous process, and its idle limit does not apply to the new one.
			if msg.process != current {
				connections.CloseIdleConnections()
				b.idleLimit = &idleLimit{}
				connections = transport(b.Options, b.idleLimit)
				current = msg.process
			}
		case limitsChanged:
			b.DialTimeout = msg.dialTimeout
			b.BackendIdleTimeout = msg.backendIdleTimeout
			b.MaxIdlePerBackend = msg.maxIdlePerBackend
			connections.CloseIdleConnections()
			connections = transport(b.Options, b.idleLimit)
		case closeIdle:
			connections.CloseIdleConnections()
		case backendRemoved:
			return
		}
	}
}

// runAttempt runs one attempt and reports its result.
func (b *streamBackend) runAttempt(transport *http.Transport, address string, attempt *node.Attempt) {
	result, err := b.send(transport, address, attempt)
	if err != nil && result.Code != standpoint.Cancelled {
		b.Log.Info("attempt failed",
			zap.String("server", b.name),
			zap.String("trace", attempt.Request.Work.TraceID),
			zap.Int("leg", attempt.Number),
			zap.Stringer("code", result.Code),
			zap.Duration("after", time.Since(attempt.Sent)),
			zap.Error(err))
	}
	attempt.Finish(result)
}

// send sends the request, and retries on another connection if the request was not written completely because a reused
// connection had ended or had unexpected bytes to read, or because the connection failed. This counts neither as a
// failure of the backend nor as a further attempt.
func (b *streamBackend) send(
	transport *http.Transport, address string, attempt *node.Attempt,
) (node.Result, error) {
	for extra := 0; ; extra++ {
		result, reused, err := b.sendOnce(transport, address, attempt)
		mayRetry := reused || isConnectionError(err)
		if result.Code != standpoint.NoConnection || extra >= maxExtraConnections || !mayRetry {
			return result, err
		}
		transport.CloseIdleConnections() // the others have been idle for even longer
	}
}

// isConnectionError reports whether an error means that the connection was closed or reset.
func isConnectionError(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed)
}

// sendOnce sends the request over one connection, an idle one if there is one, and relays the response.
func (b *streamBackend) sendOnce(
	transport *http.Transport, address string, attempt *node.Attempt,
) (result node.Result, reused bool, err error) {
	var used atomic.Pointer[connection]
	var request *http.Request
	// The request may have run only if its last byte was written: a backend does not start before that.
	ctx := httptrace.WithClientTrace(attempt.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			reused = info.Reused
			// Opening the connection may have taken long; the head is written after this call.
			setExpiry(request, attempt)
			if conn, ok := info.Conn.(*connection); ok {
				conn.begin(len(attempt.Request.Work.Body), attempt.CheckStart)
				used.Store(conn)
			}
		},
	})
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := attempt.CheckStart(); err != nil {
		return notBegunResult(ctx), false, err
	}
	request, err = newRequest(ctx, address, attempt)
	if err != nil {
		return node.Result{Code: standpoint.NotSent}, false, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return resultWithoutResponse(ctx, used.Load(), reused, err), reused, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		result, err = b.stream(ctx, cancel, response, attempt, used.Load())
		return result, reused, err
	}
	// The body is read so that the connection can be reused, but a body that does not arrive must not delay the next
	// attempt.
	defer time.AfterFunc(drainTimeout, func() { cancel(errStreamSilent) }).Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
	return rejectedResult(response), reused, fmt.Errorf("response status %s", response.Status)
}

// resultWithoutResponse returns the result of an attempt whose round trip failed.
func resultWithoutResponse(ctx context.Context, used *connection, reused bool, err error) node.Result {
	if used != nil && used.wasWithheld() {
		return notBegunResult(ctx)
	}
	if used != nil && reused {
		used.recordIdleLoss()
	}
	written := used != nil && used.isWritten()
	if transient.IsLocalShortage(err) && ctx.Err() == nil {
		return shortageResult(written)
	}
	return node.Result{Code: failureCode(ctx, written, used)}
}

// rejectedResult returns the result of an attempt whose response has another status than 200.
func rejectedResult(response *http.Response) node.Result {
	result := node.Result{Code: standpoint.ServerError, Report: parseReport(response.Header.Get(LoadHeader))}
	switch {
	case response.Header.Get(neverRanHeader) == "1":
		result.Code = standpoint.Rejected
	case slices.Contains(requestFaultStatuses, response.StatusCode):
		result.Code = standpoint.Cancelled
		result.InvalidStatus = response.StatusCode
	}
	return result
}
