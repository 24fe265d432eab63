package service

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

// Limits of a response that can be paused.
const (
	maxTextBytes   = 128 << 10 // maximum size of the text before the calls, and of the arguments of one call
	maxCalls       = 16        // maximum number of calls
	maxCallIDBytes = 128       // maximum size of a call's ID
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// finishToolCalls is the finish reason of a response that ends with tool calls.
const finishToolCalls = "tool_calls"

// hook inspects one response: it collects the produced text and tool calls, and stops the decoding at a call that
// pauses the session. It implements node.Hook; its methods are called one at a time, Finished after all others.
type hook struct {
	service *Service
	request standpoint.Request
	body    []byte        // body of the request
	backend func() string // returns the name of the backend that decodes the response

	content      strings.Builder   // text that was produced
	calls        map[int]*toolCall // tool calls that were produced, by their index in the response
	tooLarge     bool              // the response exceeds a limit, so the session cannot be paused
	rejectedTool string            // name of the called tool that may not be called; "" if there is none
	ended        bool              // the end of the session is recorded
	paused       bool              // the session is recorded as paused

	// The fields below are set if the response is that of a resumed session, and zero otherwise. The first pause of a
	// session sets id, too.
	id           string       // session ID
	turn         int          // number of the pause that was resumed
	fencingToken uint64       // fencing token of the claim
	previous     continuation // continuation that the session was resumed from
	beginOnce    sync.Once    // records once that output is forwarded
	timer        *time.Timer  // aborts the response at the deadline
	finish       func()       // removes the request from those in flight
}

// toolCall is a tool call made by the model. A stream contains it in several parts.
type toolCall struct {
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// chunk holds the fields of a streamed event that the hook reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content   string          `json:"content"`
			ToolCalls []toolCallDelta `json:"tool_calls"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
}

// toolCallDelta is one part of a tool call in a stream.
type toolCallDelta struct {
	Index int `json:"index"`
	toolCall
}

// Hook returns the hook for the response to a request that does not resume a session. backend returns the name of the
// backend that decodes the response.
func (s *Service) Hook(request standpoint.Request, body []byte, backend func() string) node.Hook {
	return &hook{service: s, request: request, body: body, backend: backend, calls: map[int]*toolCall{}}
}

// resumed reports whether the response is that of a resumed session, on which this node holds a claim.
func (h *hook) resumed() bool { return h.fencingToken > 0 }

// Event implements node.Hook.
func (h *hook) Event(event []byte) ([]byte, node.HookAction) {
	if h.resumed() {
		h.beginOnce.Do(func() {
			// Nothing waits for the result. The response goes on meanwhile, so that the goroutine must not use the
			// hook.
			go h.service.recordBegin(session.Command{Kind: session.Begin, ID: h.id, FencingToken: h.fencingToken})
		})
	}
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			// The end of the session is recorded before the response is completed, so that its key cannot lead to a
			// second final response.
			if h.resumed() && !h.recordEnd() {
				return nil, node.HookBreak
			}
			continue
		}
		var parsed chunk
		if json.Unmarshal(data, &parsed) != nil {
			continue // forwarded unchanged
		}
		switch h.observe(&parsed) {
		case RejectCall:
			return h.rejection(), node.HookStop
		case PauseSession:
			return event, node.HookStop
		}
	}
	return event, node.HookContinue
}

// observe collects the text and tool calls of a chunk, and returns what happens to the response.
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

// addContent appends produced text, and sets tooLarge if it exceeds its limit.
func (h *hook) addContent(text string) {
	if h.content.Len()+len(text) > maxTextBytes {
		h.tooLarge = true
		return
	}
	h.content.WriteString(text)
}

// addCall adds one part of a tool call, and sets tooLarge if the calls exceed a limit.
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

// action returns the action for all collected calls together: RejectCall if any call is rejected, else PauseSession if
// any call pauses the session, else PassThrough.
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

// rejection returns the event that is forwarded instead of a call that may not be made.
func (h *hook) rejection() []byte {
	message := "the tool " + h.rejectedTool + " may not be called here"
	return fmt.Appendf(nil, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"+
		"\"error\":{\"message\":%q,\"type\":\"tool_refused\"}}\n\n", message)
}

// producedTokens estimates the number of tokens in this part of the response.
func (h *hook) producedTokens() float64 {
	characters := utf8.RuneCountInString(h.content.String())
	for _, call := range h.calls {
		characters += utf8.RuneCountInString(call.Function.Arguments)
	}
	return tokensOf(characters)
}

// errEndNotRecorded is returned for a resumed session whose end could not be recorded.
var errEndNotRecorded = errors.New("end of the resumed session not recorded")

// Stopped implements node.Hook: the decoding has stopped at a call. If the session cannot be recorded, the client gets
// the call without a resume key, and has to send the whole conversation again with the call's result.
func (h *hook) Stopped() (last []byte, usage node.Usage, err error) {
	produced := h.producedTokens()
	usage = node.Usage{Known: true, Started: true, OutputTokens: produced}
	last = fmt.Appendf(nil, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%.0f,\"completion_tokens\":%.0f}}\n\n"+
		"data: [DONE]\n\n", h.request.PromptTokens, produced)
	if h.rejectedTool != "" {
		return last, usage, h.endStopped()
	}
	key, deadline, err := h.pause(produced)
	if err != nil {
		h.service.Unrecorded.Add(1)
		h.service.Log.Info("pause not recorded", zap.Error(err))
		// The session must not be resumed from its previous pause either: only the client has the text produced after
		// it.
		return last, usage, h.endStopped()
	}
	h.service.Paused.Add(1)
	h.paused = true
	resume := fmt.Appendf(nil, "data: {\"choices\":[],\"standpoint\":{\"resume\":%q,\"within_ms\":%d}}\n\n",
		key, time.Until(deadline).Milliseconds())
	return append(resume, last...), usage, nil
}

// endStopped records the end of a resumed session whose response ends without a further pause. If that fails, the
// response must not be completed: the claim is released, and its key leads to another one.
func (h *hook) endStopped() error {
	if h.resumed() && !h.recordEnd() {
		return errEndNotRecorded
	}
	return nil
}

// recordBegin records that output is being forwarded to the client. A failure has no consequences: the claim protects
// the session without it.
func (s *Service) recordBegin(begin session.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	_, _ = s.execute(ctx, begin)
}

// recordEnd records the end of the session, and reports whether that succeeded. If it did not, a final response must
// not be completed.
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
		h.service.Log.Info("session end not recorded; response aborted", zap.String("session", h.id), zap.Error(err))
		return false
	}
	h.ended = true
	return true
}

// Finished implements node.Hook. It releases the claim unless the session has ended or paused again.
func (h *hook) Finished(node.Answer) {
	if !h.resumed() {
		return
	}
	h.timer.Stop()
	h.finish()
	if h.ended || h.paused {
		return
	}
	// Nothing waits for the release: it has a timeout, and a claim that is not released lapses.
	go h.release()
}

// release returns the session to its pause.
func (h *hook) release() {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	release := session.Command{Kind: session.Release, ID: h.id, FencingToken: h.fencingToken}
	if _, err := h.service.executeWithRetry(ctx, release); err != nil {
		h.service.Log.Info("claim not released", zap.String("session", h.id), zap.Error(err))
	}
}
