package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"standpoint"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/session"
	"standpoint/internal/node"
)

// ResumedSession is a session that this node has claimed: what it goes on with.
type ResumedSession struct {
	Request        standpoint.Request // as far as the session says; id and deadline are the caller's
	Body           []byte
	UncachedTokens float64 // tokens of the prompt that no part has been charged for: the results'
	Backend        string  // that is taken to hold the rest
	BackendStart   int64
	CachedTokens   float64   // tokens of that
	Deadline       time.Time // when nothing of it may be decoded any more; the flow has to be answered, or have begun, before
	hook           *hook
}

// Hook is what looks at the answer. The flow must have it: else the claim lasts to its end.
func (r *ResumedSession) Hook(server func() string, breakOff func()) node.Hook {
	r.hook.server = server
	// By the claim's end, by any clock, nothing of it is decoded any more.
	r.hook.timer = time.AfterFunc(time.Until(r.Deadline), breakOff)
	return r.hook
}

// endMargin is what an answer that is broken off may take for that, besides what clocks may differ.
const endMargin = 500 * time.Millisecond

// results are the messages that a client resumes with.
type results struct {
	Messages []struct {
		Role    string          `json:"role"`
		ID      string          `json:"tool_call_id"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// Cancel calls a paused session off.
func (s *Service) Cancel(ctx context.Context, key string) *RequestError {
	id, turn, err := session.ParseResumeKey(key)
	if err == nil {
		_, err = s.execute(ctx, session.Command{Kind: session.Cancel, ID: id, Turn: turn})
	}
	if err != nil {
		return s.requestError(err)
	}
	return nil
}

// Resume claims the session that a key names, with its tools' results. claim names the request that does: the same once more is
// the same claim.
// tenant is whose request it is: nobody resumes another's session.
func (s *Service) Resume(ctx context.Context, key, claim string, tenant int, body []byte) (*ResumedSession, *RequestError) {
	id, turn, err := session.ParseResumeKey(key)
	if err != nil {
		return nil, s.requestError(err)
	}
	var given results
	if err := json.Unmarshal(body, &given); err != nil {
		return nil, s.requestError(fmt.Errorf("%w: %v", session.ErrResultsMismatch, err))
	}
	o := session.Command{Kind: session.Claim, ID: id, Turn: turn, ClaimID: claim, ClaimDuration: int64(s.DecodeTimeout), Predecessors: s.Predecessors}
	size := 0
	for _, m := range given.Messages {
		if m.Role != "tool" || m.ID == "" {
			return nil, s.requestError(fmt.Errorf("%w: a message that is no tool's", session.ErrResultsMismatch))
		}
		o.ResultIDs = append(o.ResultIDs, m.ID)
		size += len(m.Content)
	}
	if wait, ok := s.admitResume(); !ok {
		s.Rejected.Add(1)
		return nil, &RequestError{Status: 503, Message: "sessions are resumed at a pace; this one's turn comes", RetryAfter: wait}
	}
	give := func() { s.inFlight.Add(-1) }
	ends := time.Now().Add(s.DecodeTimeout - 2*s.ClockError - endMargin)
	record, err := s.execute(ctx, o)
	if err != nil {
		give()
		s.Rejected.Add(1)
		f := s.requestError(err)
		if errors.Is(err, fleet.ErrNoLeader) {
			f.Message = "this node cannot reach those who know whether the session may go on"
		}
		return nil, f
	}
	release := func(err error) (*ResumedSession, *RequestError) {
		give()
		_, _ = s.execute(ctx, session.Command{Kind: session.Release, ID: id, FencingToken: record.FencingToken}) // else the claim ends by itself
		return nil, s.requestError(err)
	}
	k, err := s.decode(record.Data)
	if err != nil {
		return release(fmt.Errorf("what is on record of the session cannot be read: %w", err))
	}
	if k.Tenant != tenant {
		return release(session.ErrUnknownKey)
	}
	if size > k.MaxResultBytes {
		return release(fmt.Errorf("%w: results of %d bytes, %d are taken", session.ErrTooLarge, size, k.MaxResultBytes))
	}
	var more []any
	chars := 0
	for _, m := range given.Messages {
		more = append(more, m)
		chars += len([]rune(string(m.Content)))
	}
	r := &ResumedSession{Backend: k.Backend, BackendStart: k.BackendStart, CachedTokens: k.PromptTokens, UncachedTokens: tokensOf(chars), Deadline: ends}
	if r.Body, err = extend(k.Body, more...); err != nil {
		return release(err)
	}
	r.Request = standpoint.Request{Class: k.Class, Tenant: k.Tenant, Session: k.Session, Prefix: k.Prefix, PrefixTokens: k.PrefixTokens, PromptTokens: k.PromptTokens + r.UncachedTokens, MaxTokens: k.MaxTokens, Again: false}
	r.hook = &hook{s: s, request: r.Request, body: r.Body, calls: map[int]*toolCall{}, id: id, turn: turn, fence: record.FencingToken, before: k, done: give}
	s.Resumed.Add(1)
	return r, nil
}

// admitResume lets so many resumes through, fewer while the fleet heals, and no more at once than leaves room for fresh requests.
func (s *Service) admitResume() (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	rate := max(0.1, s.ResumeRate*s.RateFactor())
	s.tokens = math.Min(max(1, rate), s.tokens+rate*float64(max(0, now-s.at))/1e9)
	s.at = max(s.at, now)
	if s.inFlight.Load() >= int64(s.MaxConcurrentResumes) {
		return defaultRetryAfter, false
	}
	if s.tokens < 1 {
		return time.Duration((1 - s.tokens) / rate * 1e9), false
	}
	s.tokens--
	s.inFlight.Add(1)
	return 0, true
}
