package service

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/fleet/session"
	"standpoint/internal/node"
)

// Bounds of an answer that can be paused.
const (
	maxTextBytes   = 128 << 10 // produced before a call, and of a call's arguments
	maxCalls       = 16
	maxCallIDBytes = 128
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// finishToolCalls is the finish reason of an answer that ends with tool calls.
const finishToolCalls = "tool_calls"

// hook inspects one answer: it collects what is produced, and has the decoding end at a call that pauses the session.
// It implements node.Hook; its methods are called one at a time, Over after all others.
type hook struct {
	service *Service
	request standpoint.Request
	body    []byte        // of the request
	backend func() string // that decodes the answer

	content      strings.Builder
	calls        map[int]*toolCall // by their index in the answer
	tooLarge     bool
	rejectedTool string // the tool that may not be called; "": none was
	ended        bool   // the end of the session is recorded
	paused       bool   // the session is recorded as paused

	// Of an answer of a resumed session; the zero values stand for the first part of an answer.
	id           string
	turn         int
	fencingToken uint64
	previous     continuation
	beginOnce    sync.Once
	timer        *time.Timer // breaks the answer off at the claim's end
	done         func()      // takes the request off those in flight
}

// toolCall is a call as the model makes it. Streams bring its parts one after the other.
type toolCall struct {
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// chunk is what the hook reads of a streamed event.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content   string          `json:"content"`
			ToolCalls []toolCallDelta `json:"tool_calls"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
}

// toolCallDelta is a part of a call.
type toolCallDelta struct {
	Index int `json:"index"`
	toolCall
}

// Hook returns what inspects the answer to a request that resumes no session. backend returns who decodes it.
func (s *Service) Hook(request standpoint.Request, body []byte, backend func() string) node.Hook {
	return &hook{service: s, request: request, body: body, backend: backend, calls: map[int]*toolCall{}}
}

// resumed reports whether the answer is that of a resumed session, on which this node holds a claim.
func (h *hook) resumed() bool { return h.fencingToken > 0 }

// Event implements node.Hook.
func (h *hook) Event(event []byte) ([]byte, node.HookAction) {
	if h.resumed() {
		// Nothing waits for it, and it needs no answer: the claim says as much without it.
		h.beginOnce.Do(func() { go h.recordBegin() })
	}
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			// The final answer of a session is recorded before it is passed on: its key gets no second one.
			if h.resumed() && !h.recordEnd() {
				return nil, node.HookBreak
			}
			continue
		}
		var c chunk
		if json.Unmarshal(data, &c) != nil {
			continue // passed on as it is
		}
		switch h.observe(&c) {
		case RejectCall:
			return h.rejection(), node.HookStop
		case PauseSession:
			return event, node.HookStop
		}
	}
	return event, node.HookContinue
}

// observe collects a chunk, and returns what happens to the answer.
func (h *hook) observe(c *chunk) ToolAction {
	for _, choice := range c.Choices {
		h.addContent(choice.Delta.Content)
		for i := range choice.Delta.ToolCalls {
			h.addCall(&choice.Delta.ToolCalls[i])
		}
		if choice.Finish != finishToolCalls {
			continue
		}
		if action := h.action(); action != PassThrough {
			return action
		}
		clear(h.calls)
	}
	return PassThrough
}

func (h *hook) addContent(text string) {
	if h.content.Len()+len(text) > maxTextBytes {
		h.tooLarge = true
		return
	}
	h.content.WriteString(text)
}

func (h *hook) addCall(delta *toolCallDelta) {
	call := h.calls[delta.Index]
	if call == nil {
		if len(h.calls) >= maxCalls {
			h.tooLarge = true
			return
		}
		call = &toolCall{Type: "function"}
		h.calls[delta.Index] = call
	}
	call.ID += delta.ID
	call.Function.Name += delta.Function.Name
	call.Function.Arguments += delta.Function.Arguments
	if len(call.Function.Arguments) > maxTextBytes || len(call.ID) > maxCallIDBytes {
		h.tooLarge = true
	}
}

// action returns what the collected calls do together: one that is rejected ends the answer, else one that pauses the
// session does.
func (h *hook) action() ToolAction {
	action := PassThrough
	for _, call := range h.sortedCalls() {
		tool := h.service.tool(call.Function.Name)
		switch {
		case tool == nil || tool.Action == PassThrough:
		case tool.Action == RejectCall:
			h.rejectedTool = call.Function.Name
			return RejectCall
		default:
			action = PauseSession
		}
	}
	return action
}

func (h *hook) sortedCalls() []*toolCall {
	var calls []*toolCall
	for _, index := range slices.Sorted(maps.Keys(h.calls)) {
		calls = append(calls, h.calls[index])
	}
	return calls
}

// rejection is passed on in place of a call that may not be made.
func (h *hook) rejection() []byte {
	message := "the tool " + h.rejectedTool + " may not be called here"
	return fmt.Appendf(nil, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"+
		"\"error\":{\"message\":%q,\"type\":\"tool_refused\"}}\n\n", message)
}

// producedTokens estimates the tokens of this part of the answer.
func (h *hook) producedTokens() float64 {
	characters := utf8.RuneCountInString(h.content.String())
	for _, call := range h.calls {
		characters += utf8.RuneCountInString(call.Function.Arguments)
	}
	return tokensOf(characters)
}

// Stopped implements node.Hook: the decoding has ended at a call. Where the session cannot be recorded its client
// gets the call without a key, and sends the conversation again with the call's result.
func (h *hook) Stopped() ([]byte, node.Usage) {
	produced := h.producedTokens()
	usage := node.Usage{Known: true, Started: true, OutputTokens: produced}
	last := fmt.Appendf(nil, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%.0f,\"completion_tokens\":%.0f}}\n\n"+
		"data: [DONE]\n\n", h.request.PromptTokens, produced)
	if h.rejectedTool != "" {
		if h.resumed() {
			h.recordEnd()
		}
		return last, usage
	}
	key, deadline, err := h.pause(produced)
	if err != nil {
		h.service.Unrecorded.Add(1)
		h.service.Log.Info("pause not recorded", zap.Error(err))
		if h.resumed() {
			// Nor may the session be resumed from the pause before: what came since is with the client alone.
			h.recordEnd()
		}
		return last, usage
	}
	h.service.Paused.Add(1)
	h.paused = true
	resume := fmt.Appendf(nil, "data: {\"choices\":[],\"standpoint\":{\"resume\":%q,\"within_ms\":%d}}\n\n",
		key, time.Until(deadline).Milliseconds())
	return append(resume, last...), usage
}

// recordBegin records that output is passed on.
func (h *hook) recordBegin() {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	begin := session.Command{Kind: session.Begin, ID: h.id, FencingToken: h.fencingToken}
	_, _ = h.service.execute(ctx, begin) // the claim says as much without it
}

// recordEnd records the end of the session. It returns false where that is not known to have been done: the answer
// may not be completed then.
func (h *hook) recordEnd() bool {
	if h.ended {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	end := session.Command{
		Kind:         session.End,
		ID:           h.id,
		FencingToken: h.fencingToken,
		EndReason:    session.ReasonServed,
	}
	if _, err := h.service.executeWithRetry(ctx, end); err != nil {
		h.service.Log.Info("session end not recorded; answer broken off", zap.String("session", h.id), zap.Error(err))
		return false
	}
	h.ended = true
	return true
}

// Finished implements node.Hook: a claim that has neither ended the session nor paused it anew is released.
func (h *hook) Finished(node.Answer) {
	if !h.resumed() {
		return
	}
	h.timer.Stop()
	h.done()
	if h.ended || h.paused {
		return
	}
	// Nothing waits for it: it ends in time, and a claim that is not released lapses by itself.
	go h.release()
}

func (h *hook) release() {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	release := session.Command{Kind: session.Release, ID: h.id, FencingToken: h.fencingToken}
	if _, err := h.service.executeWithRetry(ctx, release); err != nil {
		h.service.Log.Info("claim not released", zap.String("session", h.id), zap.Error(err))
	}
}
