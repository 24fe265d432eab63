package batch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"standpoint"
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
// may be in flight nor gives it a second result. The journal records the files at batch backends that contain the line.
func (s *Service) sendLine(
	ctx context.Context, expires time.Time, l *line, traceID string, journal node.Journal,
) node.AnswerKind {
	spec, body, invalid := s.requestFor(l.task.Body)
	if invalid != nil { // the operator's file may have changed since the line was validated
		s.logUnrecorded(l, s.failLine(ctx, l, CodeServerError))
		return node.Failed
	}
	began := time.Now()
	end := s.attemptEnd(began.Add(s.LineTimeout), expires)
	until := end.Add(s.deadlineMargin())
	inFlight := lineRecord{State: lineInFlight, Attempts: l.record.Attempts + 1, TraceID: traceID}.withUntil(until)
	if err := s.writeLine(ctx, l, inFlight, nil); err != nil {
		s.logUnrecorded(l, err)
		sleep(ctx, failureDelay) // avoids a busy loop while the store rejects writes
		return node.ClientDisconnected
	}
	// The request's deadline does not apply to a stream that has begun, but the end of its context ends it, too.
	requestCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	spec.Deadline = s.Core.Expires(began, time.Until(end))
	content := &responseCollector{}
	request := s.newRequest(spec, l, traceID, body, content)
	request.Journal = journal
	sent := s.serve(ctx, request, func() (node.Answer, error) { return s.Core.Serve(requestCtx, request) })
	return s.conclude(ctx, l, sent, content, time.Time{})
}

// deadlineMargin returns how long before the time until which a line is stored as in flight its attempt is given up.
func (s *Service) deadlineMargin() time.Duration {
	return min(s.LineTimeout/deadlineMarginDivisor, maxDeadlineMargin)
}

// attemptEnd returns the time at which an attempt of a line is given up that is stored as in flight until the given
// time, in a batch that expires.
func (s *Service) attemptEnd(until, expires time.Time) time.Time {
	end := until.Add(-s.deadlineMargin())
	if expires.Before(end) {
		return expires
	}
	return end
}

// newRequest returns the request for a line, whose answer is collected in content.
func (s *Service) newRequest(
	spec standpoint.Request, l *line, traceID string, body []byte, content *responseCollector,
) *node.Request {
	return node.NewRequest(spec, node.Work{
		Method:      http.MethodPost,
		Target:      l.task.URL,
		TraceID:     traceID,
		ContentType: "application/json",
		Body:        body,
	}, content)
}

// lineOutcome is what came of sending a line.
type lineOutcome struct {
	answer     node.Answer
	traceID    string
	ended      bool // no attempt is known to be in flight; false if the core stopped or leadership was lost before
	unresolved bool // an attempt may run all the same, so that the line must not be sent again
}

// serve calls a function that passes a request to the core, and returns once no attempt of it is in flight, or
// leadership ends: nobody waits for the outcome then.
func (s *Service) serve(
	leadership context.Context, request *node.Request, pass func() (node.Answer, error),
) lineOutcome {
	answer, err := pass()
	outcome := lineOutcome{answer: answer, traceID: request.Work.TraceID}
	if err != nil { // the core accepts no requests
		outcome.answer = node.Answer{Kind: node.Rejected}
		outcome.ended = true
		return outcome
	}
	select {
	case <-request.Idle():
		outcome.ended = true
		outcome.unresolved = request.Unresolved()
	case <-s.Core.Stopped():
	case <-leadership.Done():
	}
	return outcome
}

// conclude records the outcome of sending a line, which is not sent again before notBefore. Nothing is recorded if
// another leader may own the line: it is stored as in flight until the time in its record's Until has passed.
func (s *Service) conclude(
	ctx context.Context, l *line, sent lineOutcome, content *responseCollector, notBefore time.Time,
) node.AnswerKind {
	if !sent.ended || ctx.Err() != nil {
		return node.ClientDisconnected
	}
	s.recordOutcome(ctx, l, sent, content, notBefore)
	return sent.answer.Kind
}

// recordOutcome records a line's result, or the time at which it may be sent again, at least notBefore.
func (s *Service) recordOutcome(
	ctx context.Context, l *line, sent lineOutcome, content *responseCollector, notBefore time.Time,
) {
	answer := sent.answer
	attempts := l.record.Attempts
	var delay time.Duration
	switch {
	case answer.Kind == node.Served:
		s.logUnrecorded(l, s.completeLine(ctx, l, sent.traceID, content))
		return
	case sent.unresolved:
		s.logUnrecorded(l, s.failUnresolvedLine(ctx, l))
		return
	case answer.Kind == node.Rejected: // a rejection does not count as an attempt
		attempts--
		delay = max(answer.RetryAfter, minRejectionDelay)
	case attempts >= s.MaxAttempts || answer.Kind == node.Invalid:
		s.logUnrecorded(l, s.failLine(ctx, l, CodeServerError))
		return
	default:
		delay = failureDelay << min(attempts, maxDelayDoublings)
	}
	s.retryLine(ctx, l, attempts, delay, notBefore)
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

// retryLine schedules a line to be sent again after a delay, which is extended by a random jitter of up to one half,
// and not before the given time, which may have been set by another process.
func (s *Service) retryLine(ctx context.Context, l *line, attempts int, delay time.Duration, notBefore time.Time) {
	delay += time.Duration(rand.Int64N(int64(delay)/2 + 1))
	wait := max(delay, s.remaining(notBefore))
	record := lineRecord{State: lineWaiting, Attempts: attempts}.withUntil(time.Now().Add(wait))
	s.logUnrecorded(l, s.writeLine(ctx, l, record, nil))
}

// remaining returns the duration until a time that an attempt's process has set. The clock of that process may differ
// from that of this one, so the duration is at most the timeout of an attempt.
func (s *Service) remaining(end time.Time) time.Duration { return min(time.Until(end), s.LineTimeout) }

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
