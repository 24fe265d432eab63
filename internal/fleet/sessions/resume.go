package sessions

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

// Resumed is a session that this node has claimed: what it goes on with.
type Resumed struct {
	Request standpoint.Request // as far as the session says; id and deadline are the caller's
	Body    []byte
	Fresh   float64 // tokens of the prompt that no part has been charged for: the results'
	Server  string  // that is taken to hold the rest
	Start   int64
	Held    float64   // tokens of that
	Ends    time.Time // when nothing of it may be decoded any more; the flow has to be answered, or have begun, before
	hook    *hook
}

// Hook is what looks at the answer. The flow must have it: else the claim lasts to its end.
func (r *Resumed) Hook(server func() string, breakOff func()) node.Hook {
	r.hook.server = server
	// By the claim's end, by any clock, nothing of it is decoded any more.
	r.hook.timer = time.AfterFunc(time.Until(r.Ends), breakOff)
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
func (s *Sessions) Cancel(ctx context.Context, key string) *Fault {
	id, turn, err := session.ParseKey(key)
	if err == nil {
		_, err = s.op(ctx, session.Op{Kind: session.Cancel, ID: id, Turn: turn})
	}
	if err != nil {
		return s.fault(err)
	}
	return nil
}

// Resume claims the session that a key names, with its tools' results. claim names the request that does: the same once more is
// the same claim.
// tenant is whose request it is: nobody resumes another's session.
func (s *Sessions) Resume(ctx context.Context, key, claim string, tenant int, body []byte) (*Resumed, *Fault) {
	id, turn, err := session.ParseKey(key)
	if err != nil {
		return nil, s.fault(err)
	}
	var given results
	if err := json.Unmarshal(body, &given); err != nil {
		return nil, s.fault(fmt.Errorf("%w: %v", session.ErrResults, err))
	}
	o := session.Op{Kind: session.Take, ID: id, Turn: turn, Claim: claim, For: int64(s.Decode), Before: s.Before}
	size := 0
	for _, m := range given.Messages {
		if m.Role != "tool" || m.ID == "" {
			return nil, s.fault(fmt.Errorf("%w: a message that is no tool's", session.ErrResults))
		}
		o.Results = append(o.Results, m.ID)
		size += len(m.Content)
	}
	if wait, ok := s.pace(); !ok {
		s.Refused.Add(1)
		return nil, &Fault{Status: 503, Text: "sessions are resumed at a pace; this one's turn comes", Wait: wait}
	}
	give := func() { s.inHand.Add(-1) }
	ends := time.Now().Add(s.Decode - 2*s.Error - endMargin)
	record, err := s.op(ctx, o)
	if err != nil {
		give()
		s.Refused.Add(1)
		f := s.fault(err)
		if errors.Is(err, fleet.ErrNoLeader) {
			f.Text = "this node cannot reach those who know whether the session may go on"
		}
		return nil, f
	}
	release := func(err error) (*Resumed, *Fault) {
		give()
		_, _ = s.op(ctx, session.Op{Kind: session.Release, ID: id, Fence: record.Fence}) // else the claim ends by itself
		return nil, s.fault(err)
	}
	k, err := s.decode(record.Data)
	if err != nil {
		return release(fmt.Errorf("what is on record of the session cannot be read: %w", err))
	}
	if k.Tenant != tenant {
		return release(session.ErrUnknown)
	}
	if size > k.Result {
		return release(fmt.Errorf("%w: results of %d bytes, %d are taken", session.ErrTooLarge, size, k.Result))
	}
	var more []any
	chars := 0
	for _, m := range given.Messages {
		more = append(more, m)
		chars += len([]rune(string(m.Content)))
	}
	r := &Resumed{Server: k.Server, Start: k.Start, Held: k.Prompt, Fresh: tokensOf(chars), Ends: ends}
	if r.Body, err = extend(k.Body, more...); err != nil {
		return release(err)
	}
	r.Request = standpoint.Request{Class: k.Class, Tenant: k.Tenant, Session: k.Session, Prefix: k.Prefix, PrefixTokens: k.Shared, PromptTokens: k.Prompt + r.Fresh, MaxTokens: k.Most, Again: false}
	r.hook = &hook{s: s, request: r.Request, body: r.Body, calls: map[int]*toolCall{}, id: id, turn: turn, fence: record.Fence, before: k, done: give}
	s.Resumed.Add(1)
	return r, nil
}

// pace lets so many resumes through, fewer while the fleet heals, and no more at once than leaves room for fresh requests.
func (s *Sessions) pace() (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	rate := max(0.1, s.Resumes*s.Pace())
	s.tokens = math.Min(max(1, rate), s.tokens+rate*float64(max(0, now-s.at))/1e9)
	s.at = max(s.at, now)
	if s.inHand.Load() >= int64(s.InHand) {
		return freshWait, false
	}
	if s.tokens < 1 {
		return time.Duration((1 - s.tokens) / rate * 1e9), false
	}
	s.tokens--
	s.inHand.Add(1)
	return 0, true
}
