package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

// stream relays the answer of a response. See runningStreams.relay.
func (b *streamBackend) stream(ctx context.Context, cancel context.CancelCauseFunc, response *http.Response,
	attempt *node.Attempt, conn *connection,
) (node.Result, error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return node.Result{Code: standpoint.ServerError},
			errors.New("an answer whose end cannot be told from a break")
	}
	state := &streamState{
		buffer:  make([]byte, 0, readSize),
		summary: answerSummary{report: parseReport(response.Header.Get(LoadHeader))},
	}
	if response.ContentLength >= 0 {
		conn = nil // it does not come in chunks, and cannot be handed over
	}
	return b.streams.relay(ctx, cancel, response.Body, state, attempt, conn)
}

// relay relays a stream to its end: complete events as they come. The first claims the request. What is no event is not
// forwarded, and the stream ends there, broken. conn, if not nil, is the connection with which the stream can be handed
// over.
func (r *runningStreams) relay(ctx context.Context, cancel context.CancelCauseFunc, body io.Reader,
	state *streamState, attempt *node.Attempt, conn *connection,
) (node.Result, error) {
	if conn != nil {
		defer r.remove(conn)
		attempt.OnHandBack(conn.endForHandBack)
	}
	stream := &relay{
		streamState: state,
		streams:     r,
		ctx:         ctx,
		cancel:      cancel,
		body:        body,
		attempt:     attempt,
		connection:  conn,
	}
	return stream.run()
}

// relay is a stream on its way to its client.
type relay struct {
	*streamState
	streams    *runningStreams
	ctx        context.Context
	cancel     context.CancelCauseFunc
	body       io.Reader
	attempt    *node.Attempt
	connection *connection // with which it can be handed over; nil if it cannot
	// silenceTimer ends a silent stream: connections to a machine that has vanished stay open, and the client must
	// not be left waiting.
	silenceTimer *time.Timer
}

// streamEnd is how a stream ended.
type streamEnd struct {
	result node.Result
	err    error
}

func (r *relay) run() (node.Result, error) {
	r.lastReceived = time.Now()
	if r.begun {
		r.claimed()
	} else {
		r.silenceTimer = time.AfterFunc(firstEventTimeout, func() { r.cancel(errNoEvent) })
	}
	defer func() { r.silenceTimer.Stop() }()
	for {
		complete, err := r.read()
		if complete > 0 {
			if end := r.forward(complete); end != nil {
				return end.result, end.err
			}
		}
		if end := r.endOf(err); end != nil {
			return end.result, end.err
		}
	}
}

// claimed is called when the first event has come, here or in the process before.
func (r *relay) claimed() {
	r.begun = true
	r.silenceTimer = time.AfterFunc(r.silenceTimeout(r.attempt.ClientResumes), func() { r.cancel(errSilent) })
	if r.connection != nil {
		r.streams.add(r.connection)
	}
}

// read reads what comes next, and returns how many bytes of the buffer are complete events.
func (r *relay) read() (complete int, err error) {
	if len(r.buffer) == cap(r.buffer) {
		r.buffer = append(r.buffer, 0)[:len(r.buffer)]
	}
	n, err := r.body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	r.size += n
	if err == io.EOF && r.begun {
		return len(r.buffer), err
	}
	return completeEvents(r.buffer), err
}

// forward forwards complete events. It returns how the stream ended if it ends with them.
func (r *relay) forward(complete int) *streamEnd {
	before := r.summary.events
	if err := r.summary.scan(r.buffer[:complete]); err != nil {
		return &streamEnd{node.Result{Code: standpoint.ServerError}, err}
	}
	if r.summary.events > before {
		r.lastReceived = time.Now()
	}
	if r.begun && !r.lastForwarded.IsZero() {
		r.longestPause = max(r.longestPause, time.Since(r.lastForwarded))
	}
	if !r.begun {
		if !r.attempt.Claim() {
			result := node.Result{Code: failureCode(r.ctx, true, nil)}
			return &streamEnd{result, errors.New("the request is over")}
		}
		r.silenceTimer.Stop()
		r.claimed()
	}
	err := r.writeEvents(complete)
	switch {
	case errors.Is(err, node.ErrStopped):
		return r.stopDecoding(err)
	case err != nil:
		return &streamEnd{node.Result{Code: standpoint.Cancelled}, err}
	}
	r.buffer = append(r.buffer[:0], r.buffer[complete:]...)
	return nil
}

// writeEvents writes complete events to the client. Meanwhile it is not the backend that is silent, and the time is no
// part of its pace. The silence counts from the last event with data: comments are no sign of an answer.
func (r *relay) writeEvents(complete int) error {
	r.silenceTimer.Stop()
	from := time.Now()
	err := r.attempt.Forward(r.buffer[:complete])
	if wait := time.Since(from); wait > node.MinClientStall {
		r.clientStall += wait
	}
	r.lastForwarded = time.Now()
	r.silenceTimer.Reset(r.silenceTimeout(r.attempt.ClientResumes) - from.Sub(r.lastReceived))
	return err
}

// stopDecoding ends the decoding because the hook stops it. It ends first, and then it is recorded that it has.
func (r *relay) stopDecoding(reason error) *streamEnd {
	r.silenceTimer.Stop()
	r.cancel(reason)
	if body, ok := r.body.(io.Closer); ok {
		_ = body.Close()
	}
	return &streamEnd{r.attempt.ForwardStopped(), nil}
}

// endOf returns how the stream ended by the error of the last read; nil if it goes on.
func (r *relay) endOf(err error) *streamEnd {
	report := r.summary.report
	switch {
	case err == io.EOF && r.begun && r.summary.done:
		return &streamEnd{r.served(), nil}
	case err == io.EOF:
		result := node.Result{Code: standpoint.ServerError, Report: report}
		return &streamEnd{result, errors.New("the answer ends before its last event")}
	case errors.Is(err, errHandedOver) && r.connection != nil:
		result, err := r.streams.handOverStream(r.streamState, r.attempt, r.connection)
		return &streamEnd{result, err}
	case errors.Is(err, errHandedBack):
		return &streamEnd{node.Result{Code: standpoint.Cancelled, Report: report}, err}
	case err != nil:
		return &streamEnd{node.Result{Code: failureCode(r.ctx, true, r.connection), Report: report}, err}
	case len(r.buffer) > maxEventBytes, r.size > maxStreamBytes, r.isEndless(r.attempt.Request.Work.MaxTokens):
		result := node.Result{Code: standpoint.ServerError}
		return &streamEnd{result, errors.New("the answer, or one event of it, does not end")}
	}
	return nil
}

// served is the result of a stream that has come to its end.
func (r *relay) served() node.Result {
	return node.Result{
		Code:         standpoint.Served,
		CachedTokens: r.summary.cachedTokens,
		OutputTokens: r.summary.outputTokens,
		Report:       r.summary.report,
		ClientStall:  r.clientStall,
	}
}
