package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/memory"
	"standpoint/internal/node"
)

// stream relays the body of a response. See runningStreams.relay.
func (b *streamBackend) stream(ctx context.Context, cancel context.CancelCauseFunc, response *http.Response,
	attempt *node.Attempt, conn *connection,
) (node.Result, error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return node.Result{Code: standpoint.ServerError},
			errors.New("response has neither a length nor chunked encoding: its end could not be detected")
	}
	state := &streamState{
		buffer:  make([]byte, 0, readSize),
		summary: responseSummary{report: parseReport(response.Header.Get(LoadHeader))},
	}
	if response.ContentLength >= 0 {
		conn = nil // a response that is not chunked cannot be handed over
	}
	return b.streams.relay(ctx, cancel, response.Body, state, attempt, conn)
}

// relay relays a stream to its end, forwarding complete events as they arrive. The first event claims the request.
// Bytes that are not a valid event are not forwarded: the stream is broken off before them. conn, if not nil, is the
// connection with which the stream can be handed over.
func (r *runningStreams) relay(ctx context.Context, cancel context.CancelCauseFunc, body io.Reader,
	state *streamState, attempt *node.Attempt, conn *connection,
) (node.Result, error) {
	if conn != nil {
		attempt.OnHandBack(conn.endForHandBack)
	}
	holder := r.memory.Open(0, nil) // the initial buffer counts as a part of the request
	defer holder.Close()
	stream := &relay{
		streamState: state,
		memory:      holder,
		streams:     r,
		ctx:         ctx,
		cancel:      cancel,
		body:        body,
		attempt:     attempt,
		connection:  conn,
	}
	result, err := stream.run()
	if err != nil && stream.begun {
		r.log.Info("stream ended early", append(stream.logFields(), zap.Stringer("code", result.Code),
			zap.NamedError("cause", context.Cause(ctx)), zap.Error(err))...)
	}
	return result, err
}

// relay is a stream that is being relayed to its client.
type relay struct {
	*streamState
	memory     *memory.Holder // what the buffer holds beyond its initial size
	streams    *runningStreams
	ctx        context.Context
	cancel     context.CancelCauseFunc
	body       io.Reader
	attempt    *node.Attempt
	connection *connection // connection to hand over with the stream; nil if it cannot be handed over
	// silenceTimer breaks a silent stream off. The connection to a machine that has disappeared stays open, and the
	// client must not wait for it.
	silenceTimer *time.Timer
	closeOwn     func() // closes the connection; nil unless the stream goes on here after a failed handover
	// shared reports whether another process may have got descriptors of the stream's connections without having taken it
	// over.
	shared atomic.Bool
}

// streamEnd is how a stream ended.
type streamEnd struct {
	result node.Result
	err    error // why the stream did not end normally; nil if it did
}

// run relays the stream to its end.
func (r *relay) run() (node.Result, error) {
	if r.begun {
		r.streamBegun()
	} else {
		r.eventReceived()
		r.silenceTimer = time.AfterFunc(firstEventTimeout, func() { r.cancel(errNoFirstEvent) })
	}
	defer func() {
		r.silenceTimer.Stop()
		r.endConnection()
	}()
	for {
		complete, err := r.read()
		if complete > 0 {
			if end := r.forward(complete); end != nil {
				return end.result, end.err
			}
		}
		if errors.Is(err, errHandedOver) && r.connection != nil {
			end := r.handOver()
			if end == nil {
				continue
			}
			return end.result, end.err
		}
		if end := r.endFor(err); end != nil {
			return end.result, end.err
		}
	}
}

// streamBegun is called once the first event was received, in this process or in the one that handed the stream over.
func (r *relay) streamBegun() {
	r.begun = true
	r.silenceTimer = time.AfterFunc(r.untilSilent(), func() { r.cancel(errStreamSilent) })
	if r.connection != nil {
		r.streams.add(r)
	}
}

// untilSilent returns the time until the stream is broken off unless more of it is received.
func (r *relay) untilSilent() time.Duration {
	return time.Until(r.silenceDeadline(r.attempt.ClientResumes))
}

// read reads further bytes into the buffer, and returns how many bytes of the buffer are complete events.
func (r *relay) read() (complete int, err error) {
	if len(r.buffer) == cap(r.buffer) && !r.growBuffer() {
		return 0, errMemoryShort
	}
	n, err := r.body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	r.receivedBytes += n
	r.awaitTurn(n)
	if err == io.EOF && r.begun {
		return len(r.buffer), err
	}
	complete = completeEvents(r.buffer)
	if r.begun && n > 0 && !r.attempt.ClientResumes && bytes.HasPrefix(r.buffer[complete:], dataField) {
		r.eventInProgress()
	}
	return complete, err
}

// eventInProgress records that a part of an event was received: its backend still writes, however slowly. Comments do
// not count.
func (r *relay) eventInProgress() {
	r.lastReceived = time.Now()
	r.silenceTimer.Reset(r.untilSilent())
}

// awaitTurn waits until bytes of a stream may be processed that come faster than a model writes.
func (r *relay) awaitTurn(received int) {
	expected := maxStreamBurst + maxStreamRate*time.Since(r.attempt.Sent).Seconds()
	if float64(r.receivedBytes) > expected {
		time.Sleep(min(maxTurnWait, r.streams.work.Use(float64(received))))
	}
}

// growBuffer doubles the buffer, for an event that is larger than it, and reports whether there is memory for that.
func (r *relay) growBuffer() bool {
	if !r.memory.Grow(2 * cap(r.buffer)) {
		return false
	}
	released := cap(r.buffer)
	r.buffer = append(make([]byte, 0, 2*cap(r.buffer)), r.buffer...)
	r.memory.Shrink(released) // no more than was charged before
	return true
}

// forward forwards complete events. It returns how the stream ended, or nil if it goes on.
func (r *relay) forward(complete int) *streamEnd {
	eventsBefore := r.summary.events
	if err := r.summary.scan(r.buffer[:complete]); err != nil {
		return &streamEnd{node.Result{Code: standpoint.ServerError}, err}
	}
	if r.summary.events > eventsBefore {
		r.eventReceived()
	}
	if r.begun && !r.lastForwarded.IsZero() {
		r.longestPause = max(r.longestPause, time.Since(r.lastForwarded))
	}
	if !r.begun {
		if !r.attempt.Claim() {
			result := node.Result{Code: failureCode(r.ctx, true, nil)}
			return &streamEnd{result, errors.New("request already settled, or attempt given up")}
		}
		r.silenceTimer.Stop()
		r.streamBegun()
	}
	err := r.writeEvents(complete)
	switch {
	case errors.Is(err, node.ErrHookStop):
		return r.stopDecoding(err)
	case err != nil:
		return &streamEnd{node.Result{Code: standpoint.Cancelled}, err}
	}
	r.buffer = append(r.buffer[:0], r.buffer[complete:]...)
	return nil
}

// writeEvents writes complete events to the client. The time of the write counts neither as silence of the backend nor
// as part of its pauses. Silence is measured from the last event with data, since comments do not show that the
// response makes progress.
func (r *relay) writeEvents(complete int) error {
	r.silenceTimer.Stop()
	started := time.Now()
	err := r.attempt.Forward(r.buffer[:complete])
	r.lastForwarded = time.Now()
	r.clientStalled(r.lastForwarded.Sub(started))
	r.silenceTimer.Reset(r.untilSilent())
	return err
}

// stopDecoding ends a stream whose decoding the request's hook has stopped. The response is closed first, because
// ForwardStopped may be called only when the attempt no longer uses its connection.
func (r *relay) stopDecoding(reason error) *streamEnd {
	r.silenceTimer.Stop()
	r.cancel(reason)
	if body, ok := r.body.(io.Closer); ok {
		_ = body.Close()
	}
	return &streamEnd{r.attempt.ForwardStopped(), nil}
}

// endFor returns how the stream ended, given the error of the last read, or nil if it goes on.
func (r *relay) endFor(err error) *streamEnd {
	report := r.summary.report
	switch {
	case err == io.EOF && r.begun && r.summary.done:
		return &streamEnd{r.servedResult(), nil}
	case err == io.EOF:
		result := node.Result{Code: standpoint.ServerError, Report: report}
		return &streamEnd{result, errors.New("response ended before its last event")}
	case errors.Is(err, errHandedBack):
		return &streamEnd{node.Result{Code: standpoint.Cancelled, Report: report}, err}
	case errors.Is(err, errMemoryShort):
		return &streamEnd{node.Result{Code: standpoint.ConnectionLost, Report: report, Local: true}, err}
	case err != nil:
		return &streamEnd{node.Result{Code: failureCode(r.ctx, true, r.connection), Report: report}, err}
	case len(r.buffer) > maxEventBytes, r.receivedBytes > maxStreamBytes,
		r.hasTooManyEvents(r.attempt.Request.Work.MaxTokens):
		result := node.Result{Code: standpoint.ServerError}
		return &streamEnd{result, errors.New("response exceeds the maximum size, event size or number of events")}
	}
	return nil
}

// servedResult returns the result of a stream that was relayed completely.
func (r *relay) servedResult() node.Result {
	return node.Result{
		Code:         standpoint.Served,
		CachedTokens: r.summary.cachedTokens,
		OutputTokens: r.summary.outputTokens,
		Report:       r.summary.report,
		ClientStall:  r.clientStall,
	}
}
