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
	guardDivisor  = 10              // a line's attempts end this part of its time before it runs out
	maxGuard      = 2 * time.Second // and this much before at the most
	rejectedDelay = 500 * time.Millisecond
	failedDelay   = 200 * time.Millisecond // doubled with each attempt
	maxDoublings  = 5
)

// sendLine sends a line once and records what follows. The store has the line as out before anything is sent, and its
// result before anybody is notified: a later leader neither sends it while an attempt may be in flight nor gives it a
// second result.
func (s *Service) sendLine(ctx context.Context, expires time.Time, l *line) node.AnswerKind {
	request, body, invalid := s.requestFor(l.task.Body)
	if invalid != nil { // it was valid before; the operator's file may have changed since
		s.logUnrecorded(l, s.failLine(ctx, l, CodeServerError))
		return node.Failed
	}
	began := time.Now()
	until := began.Add(s.LineTimeout)
	out := lineRecord{State: lineOut, Attempts: l.record.Attempts + 1}.withUntil(until)
	if err := s.writeLine(ctx, l, out, nil); err != nil {
		s.logUnrecorded(l, err)
		sleep(ctx, failedDelay) // a store that takes nothing is not tried at full speed
		return node.ClientDisconnected
	}
	end := until.Add(-min(s.LineTimeout/guardDivisor, maxGuard))
	if expires.Before(end) {
		end = expires
	}
	// The end of the request's context ends even a stream that has begun, for which no deadline runs.
	requestCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	request.Deadline = s.Core.Expires(began, time.Until(end))
	traceID := newID("")
	content := &collector{}
	answer, ended := s.serve(requestCtx, node.NewRequest(request, node.Work{
		Method:      http.MethodPost,
		Target:      l.task.URL,
		TraceID:     traceID,
		ContentType: "application/json",
		Body:        body,
	}, content))
	if !ended || ctx.Err() != nil {
		return node.ClientDisconnected // the line is not ours any more: the store has it out until then
	}
	s.recordAnswer(ctx, l, answer, traceID, content)
	return answer.Kind
}

// serve has the core serve a request, and returns once no attempt of it is in flight; ended is false where the core
// stopped before.
func (s *Service) serve(ctx context.Context, request *node.Request) (answer node.Answer, ended bool) {
	answer, err := s.Core.Serve(ctx, request)
	if err != nil { // it takes no requests
		return node.Answer{Kind: node.Rejected}, true
	}
	select {
	case <-request.Idle():
		return answer, true
	case <-s.Core.Stopped():
		return answer, false
	}
}

// recordAnswer records a line's result, or when it may be sent again.
func (s *Service) recordAnswer(ctx context.Context, l *line, answer node.Answer, traceID string, content *collector) {
	switch {
	case answer.Kind == node.Served:
		s.logUnrecorded(l, s.completeLine(ctx, l, traceID, content))
	case answer.Kind == node.Rejected: // a rejection costs none of the line's attempts
		s.retryLine(ctx, l, l.record.Attempts-1, max(answer.RetryAfter, rejectedDelay))
	case l.record.Attempts >= s.MaxAttempts || answer.Kind == node.Invalid:
		s.logUnrecorded(l, s.failLine(ctx, l, CodeServerError))
	default:
		s.retryLine(ctx, l, l.record.Attempts, failedDelay<<min(l.record.Attempts, maxDoublings))
	}
}

// completeLine gives a line its answer as its result.
func (s *Service) completeLine(ctx context.Context, l *line, traceID string, content *collector) error {
	completion, err := content.completion(traceID, modelOf(l.task.Body), unixNow())
	if err != nil {
		return s.failLine(ctx, l, CodeServerError)
	}
	record := lineRecord{State: lineDone, Attempts: l.record.Attempts}
	return s.writeLine(ctx, l, record, &Result{
		ID:       newID("batch_req_"),
		CustomID: l.task.CustomID,
		Response: &Response{StatusCode: http.StatusOK, RequestID: traceID, Body: completion},
	})
}

// retryLine has a line sent again after a wait, which is made longer by up to a half at random.
func (s *Service) retryLine(ctx context.Context, l *line, attempts int, wait time.Duration) {
	wait += time.Duration(rand.Int64N(int64(wait)/2 + 1))
	record := lineRecord{State: lineWaiting, Attempts: attempts}.withUntil(time.Now().Add(wait))
	s.logUnrecorded(l, s.writeLine(ctx, l, record, nil))
}

// modelOf returns the model that a line's body names.
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
