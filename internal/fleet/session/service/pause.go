package service

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"standpoint/internal/fleet/session"
)

const (
	maxRecordBytes = 512 << 10 // maximum size of a record's data
	sessionIDBytes = 16        // random bytes of a session ID, which has twice as many hexadecimal digits
)

// newSessionID returns a random session ID. Whoever has a resume key can resume the session, so the ID must not be
// guessable.
func newSessionID() string {
	b := make([]byte, sessionIDBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// pause records the session as paused, and returns the key with which the client can resume it until the deadline.
// produced is the number of tokens that were produced in this part of the response.
func (h *hook) pause(produced float64) (key string, deadline time.Time, err error) {
	command, err := h.pauseCommand(produced)
	if err != nil {
		return "", time.Time{}, err
	}
	timeout := time.Duration(command.ToolTimeout)
	releaseSlot := func() {}
	if reserve := h.service.ReserveSession; reserve != nil {
		var ok bool
		if releaseSlot, ok = reserve(h.request.Tenant, timeout); !ok {
			return "", time.Time{}, session.ErrTooManyPaused
		}
	}
	if command.ID == "" {
		command.ID = newSessionID()
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	record, err := h.service.executeWithRetry(ctx, command)
	if err != nil {
		releaseSlot()
		return "", time.Time{}, err
	}
	h.id = command.ID
	h.service.holdReservation(command.ID, releaseSlot)
	return session.ResumeKey(command.ID, record.Turn), time.Now().Add(timeout), nil
}

// pauseCommand returns the command that records the pause. At the first pause of a session the command has no session
// ID: the caller sets it.
func (h *hook) pauseCommand(produced float64) (session.Command, error) {
	command := session.Command{
		Kind:         session.Pause,
		ID:           h.id,
		Turn:         h.turn,
		FencingToken: h.fencingToken,
		Tenant:       h.request.Tenant,
	}
	if h.tooLarge {
		return command, session.ErrTooLarge
	}
	next := h.continuation(produced)
	calls := h.sortedCalls()
	for _, call := range calls {
		if call.ID == "" {
			return command, fmt.Errorf("%w: tool call without an ID", session.ErrResultsMismatch)
		}
		command.Calls = append(command.Calls, session.ToolCall{ID: call.ID, Name: call.Function.Name})
		tool := h.service.tool(call.Function.Name)
		if tool == nil {
			continue
		}
		command.ToolTimeout = max(command.ToolTimeout, int64(tool.ResultTimeout))
		next.MaxResultBytes += tool.MaxResultBytes
		if tool.Class >= 0 {
			next.Class = tool.Class
		}
	}
	var err error
	if next.Body, err = appendMessages(h.body, assistantMessage{"assistant", h.content.String(), calls}); err != nil {
		return command, err
	}
	if command.Data, err = h.service.encode(next); err != nil {
		return command, err
	}
	if len(command.Data) > maxRecordBytes {
		return command, session.ErrTooLarge
	}
	return command, nil
}

// continuation returns the continuation of the session, without its body and without the limits and class of its tools.
func (h *hook) continuation(produced float64) continuation {
	backend := h.backend()
	return continuation{
		Class:          h.request.Class,
		Tenant:         h.request.Tenant,
		Session:        h.request.Session,
		Prefix:         h.request.Prefix,
		PrefixTokens:   h.request.PrefixTokens,
		MaxTokens:      max(1, h.request.MaxTokens-produced),
		Backend:        backend,
		BackendStart:   h.service.BackendStart(backend),
		PromptTokens:   h.request.PromptTokens + produced,
		ProducedTokens: h.previous.ProducedTokens + produced,
		PauseCount:     h.previous.PauseCount + 1,
	}
}

// assistantMessage is the message with the text and the tool calls that the model produced.
type assistantMessage struct {
	Role    string      `json:"role"`
	Content string      `json:"content"`
	Calls   []*toolCall `json:"tool_calls"`
}

// holdReservation stores the function that releases a session's slot, to be called once the session is no longer
// paused. The slot of an earlier pause of the session, if any, is released now.
func (s *Service) holdReservation(id string, release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if earlier := s.reservations[id]; earlier != nil {
		earlier()
	}
	s.reservations[id] = release
}
