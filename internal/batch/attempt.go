package batch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"standpoint/internal/node"
)

const (
	// deadlineMarginDivisor determines how long before its timeout an attempt ends: the timeout divided by this.
	deadlineMarginDivisor = 10
	// maxDeadlineMargin is the maximum time that an attempt ends before its timeout.
	maxDeadlineMargin = 2 * time.Second
	// minRejectionDelay is the minimum delay before a rejected line is sent again.
	minRejectionDelay = 500 * time.Millisecond
	// failureDelay is the delay before a failed line is sent again. It is doubled with each attempt, at most
	// maxDelayDoublings times.
	failureDelay      = 200 * time.Millisecond
	maxDelayDoublings = 5
)

// sendLine sends a line once and records the outcome. The line is stored as in flight before anything is sent, and its
// result is stored before the scheduler learns of it. A later leader therefore neither sends the line while an attempt
// may be in flight nor gives it a second result.
func (s *Service) sendLine(ctx context.Context, expires time.Time, l *line) node.AnswerKind {
	request, body, invalid := s.requestFor(l.task.Body)
	if invalid != nil { // the operator's file may have changed since the line was validated
		s.logUnrecorded(l, s.failLine(ctx, l, CodeServerError))
		return node.Failed
	}
	began := time.Now()
	until := began.Add(s.LineTimeout)
	inFlight := lineRecord{State: lineInFlight, Attempts: l.record.Attempts + 1}.withUntil(until)
	if err := s.writeLine(ctx, l, inFlight, nil); err != nil {
		s.logUnrecorded(l, err)
		sleep(ctx, failureDelay) // avoids a busy loop while the store rejects writes
		return node.ClientDisconnected
	}
	end := until.Add(-min(s.LineTimeout/deadlineMarginDivisor, maxDeadlineMargin))
	if expires.Before(end) {
		end = expires
	}
	// The request's deadline does not apply to a stream that has begun, but the end of its context ends it, too.
	requestCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	request.Deadline = s.Core.Expires(began, time.Until(end))
	traceID := newID("")
	content := &responseCollector{}
	sent := s.serve(requestCtx, node.NewRequest(request, node.Work{
		Method:      http.MethodPost,
		Target:      l.task.URL,
		TraceID:     traceID,
		ContentType: "application/json",
		Body:        body,
	}, content))
	if !sent.ended || ctx.Err() != nil {
		// Another leader may own the line. It is stored as in flight until the time in its record's Until has passed.
		return node.ClientDisconnected
	}
	s.recordOutcome(ctx, l, sent, traceID, content)
	return sent.answer.Kind
}

// lineOutcome is what came of sending a line.
type lineOutcome struct {
	answer     node.Answer
	ended      bool // no attempt is known to be in flight; false if the core stopped before
	unresolved bool // an attempt may run all the same, so that the line must not be sent again
}

// serve passes a request to the core and returns once no attempt of it is in flight.
func (s *Service) serve(ctx context.Context, request *node.Request) lineOutcome {
	answer, err := s.Core.Serve(ctx, request)
	if err != nil { // the core accepts no requests
		return lineOutcome{answer: node.Answer{Kind: node.Rejected}, ended: true}
	}
	select {
	case <-request.Idle():
		return lineOutcome{answer: answer, ended: true, unresolved: request.Unresolved()}
	case <-s.Core.Stopped():
		return lineOutcome{answer: answer}
	}
}

// recordOutcome records a line's result, or the time at which it may be sent again.
func (s *Service) recordOutcome(
	ctx context.Context,
	l *line,
	sent lineOutcome,
	traceID string,
	content *responseCollector,
) {
	answer := sent.answer
	switch {
	case answer.Kind == node.Served:
		s.logUnrecorded(l, s.completeLine(ctx, l, traceID, content))
	case sent.unresolved:
		s.logUnrecorded(l, s.failUnresolvedLine(ctx, l))
	case answer.Kind == node.Rejected: // a rejection does not count as an attempt
		s.retryLine(ctx, l, l.record.Attempts-1, max(answer.RetryAfter, minRejectionDelay))
	case l.record.Attempts >= s.MaxAttempts || answer.Kind == node.Invalid:
		s.logUnrecorded(l, s.failLine(ctx, l, CodeServerError))
	default:
		s.retryLine(ctx, l, l.record.Attempts, failureDelay<<min(l.record.Attempts, maxDelayDoublings))
	}
}

// completeLine records a line's response as its result.
func (s *Service) completeLine(ctx context.Context, l *line, traceID string, content *responseCollector) error {
	completion, err := content.completion(traceID, modelOf(l.task.Body), unixNow())
	if err != nil {
		return s.failLine(ctx, l, CodeServerError)
	}
	record := lineRecord{State: lineCompleted, Attempts: l.record.Attempts}
	return s.writeLine(ctx, l, record, &Result{
		ID:       newID("batch_req_"),
		CustomID: l.task.CustomID,
		Response: &Response{StatusCode: http.StatusOK, RequestID: traceID, Body: completion},
	})
}

// retryLine schedules a line to be sent again after a delay, which is extended by a random jitter of up to one half.
func (s *Service) retryLine(ctx context.Context, l *line, attempts int, wait time.Duration) {
	wait += time.Duration(rand.Int64N(int64(wait)/2 + 1))
	record := lineRecord{State: lineWaiting, Attempts: attempts}.withUntil(time.Now().Add(wait))
	s.logUnrecorded(l, s.writeLine(ctx, l, record, nil))
}

// modelOf returns the model named in a line's body.
func modelOf(body json.RawMessage) string {
	var fields struct {
		Model string `json:"model"`
	}
	_ = json.Unmarshal(body, &fields) // the body was valid when the line was sent
	return fields.Model
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
