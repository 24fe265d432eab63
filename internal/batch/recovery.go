package batch

import (
	"context"
	"time"

	"standpoint/internal/node"
)

// recoverLine awaits the outcome of a line that an earlier leader, or an earlier attempt whose outcome could not be
// stored, has left in a file at a batch backend, and records it. After a failure the line is not sent again before the
// time until which it is stored as in flight: a later attempt at a streaming backend may have followed that file.
func (s *Service) recoverLine(ctx context.Context, expires time.Time, l *line, files *submissions) node.AnswerKind {
	traceID := l.record.TraceID
	submitted, attempt := files.find(traceID)
	spec, body, invalid := s.requestFor(l.task.Body)
	if invalid != nil {
		s.logUnrecorded(l, s.failLine(ctx, l, CodeServerError))
		return node.Failed
	}
	end := s.attemptEnd(l.record.untilTime(), expires)
	defer time.AfterFunc(s.remaining(end), submitted.Cancel).Stop()
	content := &responseCollector{}
	request := s.newRequest(spec, l, traceID, body, content)
	sent := s.serve(ctx, request, func() (node.Answer, error) {
		return s.Core.Recover(ctx, request, attempt, submitted.Join), nil
	})
	answer := s.conclude(ctx, l, sent, content, l.record.untilTime())
	if l.record.State == lineInFlight {
		sleep(ctx, failureDelay) // avoids a busy loop while the store rejects writes
	}
	return answer
}
