package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"
	"unicode/utf8"

	"standpoint"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/session"
	"standpoint/internal/node"
)

const (
	// abortMargin is the time allowed for aborting a response before its claim ends, in addition to the difference
	// between clocks.
	abortMargin   = 500 * time.Millisecond
	minResumeRate = 0.1 // sessions per second
)

// ResumedSession is a session that this node has claimed. Its Hook has to inspect the response; otherwise the claim
// remains until it lapses.
type ResumedSession struct {
	Request        standpoint.Request // request for the rest of the response; the caller sets its ID and deadline
	Body           []byte             // body of the request, with the tools' results
	UncachedTokens float64            // tokens of the results, the only prompt tokens that have not been charged yet
	Backend        string             // backend that probably has the rest of the prompt in its cache
	BackendStart   int64              // start time of that backend in Unix nanoseconds; 0 if not known
	CachedTokens   float64            // tokens of the prompt without the results
	// Deadline is the time by which the decoding has to end.
	Deadline time.Time
	hook     *hook
}

// Hook returns the hook for the response. backend returns the name of the backend that decodes the response; abort is
// called at the deadline.
func (r *ResumedSession) Hook(backend func() string, abort func()) node.Hook {
	r.hook.backend = backend
	r.hook.timer = time.AfterFunc(time.Until(r.Deadline), abort)
	return r.hook
}

// toolMessage is a message with a tool's result, as a client sends it to resume a session.
type toolMessage struct {
	Role    string          `json:"role"`
	ID      string          `json:"tool_call_id"`
	Content json.RawMessage `json:"content"`
}

// parseResults decodes the results in the body of a request that resumes a session. Its error wraps
// session.ErrResultsMismatch.
func parseResults(body []byte) ([]toolMessage, error) {
	var request struct {
		Messages []toolMessage `json:"messages"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("%w: %v", session.ErrResultsMismatch, err)
	}
	for _, message := range request.Messages {
		if message.Role != "tool" || message.ID == "" {
			return nil, fmt.Errorf("%w: a message that is no tool's", session.ErrResultsMismatch)
		}
	}
	return request.Messages, nil
}

// Cancel ends a paused session at its client's request.
func (s *Service) Cancel(ctx context.Context, key string) *RequestError {
	id, turn, err := session.ParseResumeKey(key)
	if err == nil {
		_, err = s.execute(ctx, session.Command{Kind: session.Cancel, ID: id, Turn: turn})
	}
	if err != nil {
		return newRequestError(err)
	}
	return nil
}

// Resume claims the session that a resume key refers to; body contains the results of its tool calls. claimID
// identifies the request: if the same request resumes the session again, it gets the same claim. tenant is the tenant
// of the request: sessions of other tenants are treated as unknown.
func (s *Service) Resume(
	ctx context.Context, key, claimID string, tenant int, body []byte,
) (*ResumedSession, *RequestError) {
	id, turn, err := session.ParseResumeKey(key)
	if err != nil {
		return nil, newRequestError(err)
	}
	results, err := parseResults(body)
	if err != nil {
		return nil, newRequestError(err)
	}
	if wait, ok := s.admitResume(); !ok {
		s.Rejected.Add(1)
		return nil, &RequestError{
			Status:     http.StatusServiceUnavailable,
			Message:    "sessions are resumed at a pace; this one's turn comes",
			RetryAfter: wait,
		}
	}
	// Computed before the claim is made, so that it is too early rather than too late.
	deadline := time.Now().Add(s.DecodeTimeout - 2*s.ClockError - abortMargin)
	record, err := s.claim(ctx, id, turn, claimID, results)
	if err != nil {
		s.finishResume()
		s.Rejected.Add(1)
		return nil, claimError(err)
	}
	resumed, err := s.rebuild(record, results, tenant)
	if err != nil {
		s.finishResume()
		release := session.Command{Kind: session.Release, ID: id, FencingToken: record.FencingToken}
		_, _ = s.execute(ctx, release) // a claim that is not released lapses
		return nil, newRequestError(err)
	}
	resumed.Deadline = deadline
	resumed.hook.id = id
	resumed.hook.turn = turn
	s.Resumed.Add(1)
	return resumed, nil
}

// claim claims the session at the pause of the given turn, and returns its record.
func (s *Service) claim(
	ctx context.Context, id string, turn int, claimID string, results []toolMessage,
) (*session.Record, error) {
	command := session.Command{
		Kind:          session.Claim,
		ID:            id,
		Turn:          turn,
		ClaimID:       claimID,
		ClaimDuration: int64(s.DecodeTimeout),
		Predecessors:  s.Predecessors,
	}
	for _, result := range results {
		command.ResultIDs = append(command.ResultIDs, result.ID)
	}
	return s.execute(ctx, command)
}

// claimError returns the error for a client whose claim was not granted.
func claimError(err error) *RequestError {
	rejection := newRequestError(err)
	if errors.Is(err, fleet.ErrNoLeader) {
		rejection.Message = "this node cannot reach those who know whether the session may go on"
	}
	return rejection
}

// rebuild returns the claimed session with the request to resume it, whose prompt ends with the tools' results.
func (s *Service) rebuild(record *session.Record, results []toolMessage, tenant int) (*ResumedSession, error) {
	previous, err := s.decode(record.Data)
	if err != nil {
		return nil, fmt.Errorf("what is on record of the session cannot be read: %w", err)
	}
	if previous.Tenant != tenant {
		return nil, session.ErrUnknownKey
	}
	var messages []any
	size := 0
	characters := 0
	for _, result := range results {
		messages = append(messages, result)
		size += len(result.Content)
		characters += utf8.RuneCount(result.Content)
	}
	if size > previous.MaxResultBytes {
		return nil, fmt.Errorf("%w: results of %d bytes, %d are taken",
			session.ErrTooLarge, size, previous.MaxResultBytes)
	}
	body, err := appendMessages(previous.Body, messages...)
	if err != nil {
		return nil, err
	}
	uncached := tokensOf(characters)
	request := standpoint.Request{
		Class:        previous.Class,
		Tenant:       previous.Tenant,
		Session:      previous.Session,
		Prefix:       previous.Prefix,
		PrefixTokens: previous.PrefixTokens,
		PromptTokens: previous.PromptTokens + uncached,
		MaxTokens:    previous.MaxTokens,
	}
	return &ResumedSession{
		Request:        request,
		Body:           body,
		UncachedTokens: uncached,
		Backend:        previous.Backend,
		BackendStart:   previous.BackendStart,
		CachedTokens:   previous.PromptTokens,
		hook: &hook{
			service:      s,
			request:      request,
			body:         body,
			calls:        map[int]*toolCall{},
			fencingToken: record.FencingToken,
			previous:     previous,
			finish:       s.finishResume,
		},
	}, nil
}

// admitResume reports in ok whether a resume may begin. If it may, finishResume has to be called when the request is
// complete; otherwise wait is the time to wait before the next attempt. A token bucket limits the rate of resumes,
// which is lower while the fleet recovers from a partition, and their number in flight is bounded to leave capacity for
// other requests.
func (s *Service) admitResume() (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	rate := max(minResumeRate, s.ResumeRate*s.RateFactor())
	earned := rate * float64(max(0, now-s.tokensAt)) / 1e9
	s.resumeTokens = math.Min(max(1, rate), s.resumeTokens+earned)
	s.tokensAt = max(s.tokensAt, now)
	if s.inFlight.Load() >= int64(s.MaxConcurrentResumes) {
		return defaultRetryAfter, false
	}
	if s.resumeTokens < 1 {
		return time.Duration((1 - s.resumeTokens) / rate * 1e9), false
	}
	s.resumeTokens--
	s.inFlight.Add(1)
	return 0, true
}

// finishResume removes a resumed request from those in flight.
func (s *Service) finishResume() { s.inFlight.Add(-1) }
