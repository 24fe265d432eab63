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
	maxHeadBytes = 16 << 10 // of an answer, with the 1xx answers before it
	// maxDrainBytes and drainTimeout bound what is read of an answer that is no stream, so that its connection can be
	// kept.
	maxDrainBytes = 16 << 10
	drainTimeout  = 100 * time.Millisecond
	// maxFreshConnections is the number of further connections for a request that reused ones did not take.
	maxFreshConnections = 2
	// neverRanHeader is set to 1 by a backend that rejects a request before it runs.
	neverRanHeader = "X-Never-Ran"
)

var (
	errSilent  = errors.New("the stream fell silent")
	errNoEvent = errors.New("no event behind the head of the answer")
)

// streamBackend is a backend that answers with streams.
type streamBackend struct {
	Options
	member
	idleLimit *idleLimit
	streams   *runningStreams
}

// run handles the mailbox. Each attempt waits for its connection in a goroutine of its own: a silent connection must
// not hold up the mailbox.
func (b *streamBackend) run(current process) {
	connections := transport(b.Options, b.idleLimit)
	defer func() { connections.CloseIdleConnections() }()
	for m := range b.mailbox {
		switch m := m.(type) {
		case sendAttempt:
			go b.runAttempt(connections, current.address, m.attempt) // the attempt's request waits for its end
		case processChanged:
			// The open connections lead to the process before, and how long that one let them be idle says nothing of
			// this one.
			if m.process != current {
				connections.CloseIdleConnections()
				b.idleLimit = &idleLimit{}
				connections = transport(b.Options, b.idleLimit)
				current = m.process
			}
		case limitsChanged:
			b.DialTimeout = m.dialTimeout
			b.ConnIdle = m.connIdle
			b.MaxIdle = m.maxIdle
			connections.CloseIdleConnections()
			connections = transport(b.Options, b.idleLimit)
		case closeIdle:
			connections.CloseIdleConnections()
		case backendRemoved:
			return
		}
	}
}

// runAttempt carries one attempt to its end.
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

// send sends the request, on a further connection if one took nothing of it: a reused connection that had ended or
// held what nobody asked for, or one that broke off before the request's last byte. That is no failure of the
// backend, and no further attempt.
func (b *streamBackend) send(
	transport *http.Transport, address string, attempt *node.Attempt,
) (node.Result, error) {
	for fresh := 0; ; fresh++ {
		result, reused, err := b.sendOnce(transport, address, attempt)
		tookNothing := reused || isConnectionError(err)
		if result.Code != standpoint.NoConnection || fresh >= maxFreshConnections || !tookNothing {
			return result, err
		}
		transport.CloseIdleConnections() // they have been idle for longer still
	}
}

func isConnectionError(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed)
}

// sendOnce sends the request over one connection, a reused one if there is one, and relays its answer.
func (b *streamBackend) sendOnce(
	transport *http.Transport, address string, attempt *node.Attempt,
) (result node.Result, reused bool, err error) {
	var used atomic.Pointer[connection]
	var request *http.Request
	// Whether the request may have run is told by its last byte: before that is written no backend starts.
	ctx := httptrace.WithClientTrace(attempt.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			reused = info.Reused
			setExpiry(request, attempt) // the connection may have come up late; the head is written after this call
			if c, ok := info.Conn.(*connection); ok {
				c.begin(len(attempt.Request.Work.Body), attempt.MayBegin)
				used.Store(c)
			}
		},
	})
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := attempt.MayBegin(); err != nil {
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
	// The rest is read so that the connection can be kept, but a body that does not come must not hold up the next
	// attempt.
	defer time.AfterFunc(drainTimeout, func() { cancel(errSilent) }).Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
	return rejectedResult(response), reused, fmt.Errorf("answered %s", response.Status)
}

// resultWithoutResponse is the result of an attempt whose round trip failed.
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

// rejectedResult is the result of an attempt that was answered with another status than 200.
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
