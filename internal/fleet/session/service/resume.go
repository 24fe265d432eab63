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
	// breakOffMargin is what breaking an answer off may take, besides what clocks may differ by.
	breakOffMargin = 500 * time.Millisecond
	minResumeRate  = 0.1 // sessions a second
)

// ResumedSession is a session that this node has claimed. Its Hook has to inspect the answer: else the claim lasts
// until it lapses.
type ResumedSession struct {
	Request        standpoint.Request // without an ID and a deadline, which are the caller's
	Body           []byte
	UncachedTokens float64 // tokens of the prompt that no earlier part was charged for: the results'
	Backend        string  // that is expected to have cached the rest
	BackendStart   int64   // when it was started, as far as known
	CachedTokens   float64 // tokens of the rest
	// Deadline is when nothing of the answer may be decoded any more.
	Deadline time.Time
	hook     *hook
}

// Hook returns what inspects the answer. backend returns who decodes it; breakOff is called at the deadline.
func (r *ResumedSession) Hook(backend func() string, breakOff func()) node.Hook {
	r.hook.backend = backend
	r.hook.timer = time.AfterFunc(time.Until(r.Deadline), breakOff)
	return r.hook
}

// toolMessage is a tool's result, as a client resumes a session with it.
type toolMessage struct {
	Role    string          `json:"role"`
	ID      string          `json:"tool_call_id"`
	Content json.RawMessage `json:"content"`
}

// parseResults decodes the results of a request that resumes a session. The error wraps session.ErrResultsMismatch.
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

// Cancel ends a paused session for its client.
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

// Resume claims the session that a key names, with its tools' results in body. claimID names the request that resumes
// it: resuming once more by the same request is the same claim. tenant is the request's: another tenant's session is
// unknown to it.
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
	// Before the claim is made, so that it is early rather than late.
	deadline := time.Now().Add(s.DecodeTimeout - 2*s.ClockError - breakOffMargin)
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
		_, _ = s.execute(ctx, release) // a claim that is not released lapses by itself
		return nil, newRequestError(err)
	}
	resumed.Deadline = deadline
	resumed.hook.id = id
	resumed.hook.turn = turn
	s.Resumed.Add(1)
	return resumed, nil
}

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

// claimError returns the answer to a client whose claim was not granted.
func claimError(err error) *RequestError {
	rejection := newRequestError(err)
	if errors.Is(err, fleet.ErrNoLeader) {
		rejection.Message = "this node cannot reach those who know whether the session may go on"
	}
	return rejection
}

// rebuild returns the request that a claimed session is resumed with, whose prompt ends with the tools' results.
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
			done:         s.finishResume,
		},
	}, nil
}

// admitResume admits a resume, which finishResume has to follow, or returns how long to wait for it. Resumes are
// admitted at a rate, which is lower while the fleet heals, and no more at once than leaves room for other requests.
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

// finishResume takes a resumed request off those in flight.
func (s *Service) finishResume() { s.inFlight.Add(-1) }
