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
	maxRecordBytes = 512 << 10 // of a record's data
	sessionIDBytes = 16
)

// newSessionID returns a random ID. A resume key is worth as much as what it resumes: it cannot be guessed.
func newSessionID() string {
	b := make([]byte, sessionIDBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// pause records the session as paused, and returns the key by which its client resumes it until the deadline.
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

// pauseCommand returns the command that records the session; its ID is empty at a first pause.
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
			return command, fmt.Errorf("%w: a call without an id", session.ErrResultsMismatch)
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

// continuation returns what the session is resumed with, but for its body and what its tools add.
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
		Parts:          h.previous.Parts + 1,
	}
}

// assistantMessage is what the model produced, up to its calls.
type assistantMessage struct {
	Role    string      `json:"role"`
	Content string      `json:"content"`
	Calls   []*toolCall `json:"tool_calls"`
}

// holdReservation keeps a session's slot until the session is resumed. One that it held from an earlier pause is
// released.
func (s *Service) holdReservation(id string, release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if earlier := s.reservations[id]; earlier != nil {
		earlier()
	}
	s.reservations[id] = release
}
