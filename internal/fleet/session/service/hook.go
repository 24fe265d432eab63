package service

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/fleet/session"
	"standpoint/internal/node"
)

// hook looks at one answer: it gathers what is produced, and has the decoding end at a call that pauses. The attempt that has
// claimed the flow calls it, one call at a time; Over comes behind all others.
type hook struct {
	s       *Service
	request standpoint.Request
	body    []byte
	server  func() string

	content  strings.Builder
	calls    map[int]*toolCall
	tooLarge bool
	refused  string // the tool that may not be called
	ended    bool   // the final answer is on record

	// Of an answer that goes on with a session.
	id     string
	turn   int
	fence  uint64
	before continuation
	once   sync.Once
	timer  *time.Timer
	done   func()
	paused bool
}

type toolCall struct {
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

type delta struct {
	Choices []struct {
		Delta struct {
			Content   string `json:"content"`
			ToolCalls []struct {
				Index int `json:"index"`
				toolCall
			} `json:"tool_calls"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
}

// Hook is what looks at the answer of a first part.
func (s *Service) Hook(q standpoint.Request, body []byte, server func() string) node.Hook {
	return &hook{s: s, request: q, body: body, server: server, calls: map[int]*toolCall{}}
}

var (
	dataMark = []byte("data:")
	doneMark = []byte("[DONE]")
)

// Event implements node.Hook.
func (h *hook) Event(b []byte) ([]byte, node.Then) {
	if h.fence > 0 {
		h.once.Do(func() { go h.begin() })
	}
	for line := range bytes.Lines(b) {
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataMark)
		data = bytes.TrimSpace(data)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMark) {
			// The final answer of a session is on record before it is out: its key gets no second one.
			if h.fence > 0 && !h.end() {
				return nil, node.Break
			}
			continue
		}
		var d delta
		if json.Unmarshal(data, &d) != nil {
			continue // passed on as it is
		}
		for _, c := range d.Choices {
			h.gather(c.Delta.Content)
			for _, t := range c.Delta.ToolCalls {
				if len(h.calls) >= maxCalls && h.calls[t.Index] == nil {
					h.tooLarge = true
					continue
				}
				if h.calls[t.Index] == nil {
					h.calls[t.Index] = &toolCall{Type: "function"}
				}
				whole := h.calls[t.Index]
				whole.ID += t.ID
				whole.Function.Name += t.Function.Name
				whole.Function.Arguments += t.Function.Arguments
				h.tooLarge = h.tooLarge || len(whole.Function.Arguments) > maxTextBytes || len(whole.ID) > maxCallIDBytes
			}
			if c.Finish == "tool_calls" {
				switch h.does() {
				case RejectCall:
					return h.refuse(), node.Stop
				case PauseSession:
					return b, node.Stop
				}
				clear(h.calls)
			}
		}
	}
	return b, node.GoOn
}

func (h *hook) gather(text string) {
	if h.content.Len()+len(text) > maxTextBytes {
		h.tooLarge = true
		return
	}
	h.content.WriteString(text)
}

// does is what the calls that were made do together: one that is refused ends the answer, else one that pauses pauses it.
func (h *hook) does() ToolAction {
	does := PassThrough
	for _, c := range h.sorted() {
		t := h.s.tool(c.Function.Name)
		switch {
		case t == nil || t.Action == PassThrough:
		case t.Action == RejectCall:
			h.refused = c.Function.Name
			return RejectCall
		default:
			does = PauseSession
		}
	}
	return does
}

func (h *hook) sorted() []*toolCall {
	var at []int
	for i := range h.calls {
		at = append(at, i)
	}
	sort.Ints(at)
	var all []*toolCall
	for _, i := range at {
		all = append(all, h.calls[i])
	}
	return all
}

// refuse is passed on in place of a call that may not be made.
func (h *hook) refuse() []byte {
	return fmt.Appendf(nil, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"error\":{\"message\":%q,\"type\":\"tool_refused\"}}\n\n", "the tool "+h.refused+" may not be called here")
}

// made are the tokens of this part, by the page's four characters.
func (h *hook) made() float64 {
	chars := len([]rune(h.content.String()))
	for _, c := range h.calls {
		chars += len([]rune(c.Function.Arguments))
	}
	return tokensOf(chars)
}

// Stopped implements node.Hook: the decoding has ended. The session is put on record, and its client gets the key; where that
// cannot be, the client has the call all the same, and sends the conversation again with its result.
func (h *hook) Stopped() ([]byte, node.Usage) {
	made := h.made()
	usage := node.Usage{Known: true, Begun: true, Out: made}
	last := fmt.Appendf(nil, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%.0f,\"completion_tokens\":%.0f}}\n\ndata: [DONE]\n\n", h.request.PromptTokens, made)
	if h.refused != "" {
		if h.fence > 0 {
			h.end()
		}
		return last, usage
	}
	key, until, err := h.pause(made)
	if err != nil {
		h.s.Unrecorded.Add(1)
		h.s.Log.Info("a call could not be put on record; its client got no key", zap.Error(err))
		if h.fence > 0 {
			// Nor may the session go on from the pause before: what came since is with the client alone.
			h.end()
		}
		return last, usage
	}
	h.s.Paused.Add(1)
	h.paused = true
	return append(fmt.Appendf(nil, "data: {\"choices\":[],\"standpoint\":{\"resume\":%q,\"within_ms\":%d}}\n\n", key, time.Until(until).Milliseconds()), last...), usage
}

func (h *hook) pause(made float64) (string, time.Time, error) {
	if h.tooLarge {
		return "", time.Time{}, session.ErrTooLarge
	}
	all := h.sorted()
	var wait time.Duration
	o := session.Command{Kind: session.Pause, ID: h.id, Turn: h.turn, FencingToken: h.fence, Tenant: h.request.Tenant}
	k := continuation{Class: h.request.Class, Tenant: h.request.Tenant, Session: h.request.Session, Prefix: h.request.Prefix, PrefixTokens: h.request.PrefixTokens,
		MaxTokens: max(1, h.request.MaxTokens-made), Backend: h.server(), PromptTokens: h.request.PromptTokens + made, ProducedTokens: h.before.ProducedTokens + made, Parts: h.before.Parts + 1}
	k.BackendStart = h.s.BackendStart(k.Backend)
	for _, c := range all {
		if c.ID == "" {
			return "", time.Time{}, fmt.Errorf("%w: a call without an id", session.ErrResultsMismatch)
		}
		o.Calls = append(o.Calls, session.ToolCall{ID: c.ID, Name: c.Function.Name})
		if t := h.s.tool(c.Function.Name); t != nil {
			wait, k.MaxResultBytes = max(wait, t.ResultTimeout), k.MaxResultBytes+t.MaxResultBytes
			if t.Class >= 0 {
				k.Class = t.Class
			}
		}
	}
	var err error
	if k.Body, err = extend(h.body, assistant(h.content.String(), all)); err != nil {
		return "", time.Time{}, err
	}
	if o.Data, err = h.s.encode(k); err != nil {
		return "", time.Time{}, err
	}
	if len(o.Data) > maxRecordBytes {
		return "", time.Time{}, session.ErrTooLarge
	}
	free := func() {}
	if h.s.ReserveSession != nil {
		var ok bool
		if free, ok = h.s.ReserveSession(h.request.Tenant, wait); !ok {
			return "", time.Time{}, session.ErrTooManyPaused
		}
	}
	if o.ID == "" {
		o.ID = newID()
	}
	o.ToolTimeout = int64(wait)
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	r, err := h.s.executeWithRetry(ctx, o)
	if err != nil {
		free()
		return "", time.Time{}, err
	}
	h.id = o.ID
	h.s.mu.Lock()
	if old := h.s.reservations[o.ID]; old != nil {
		old()
	}
	h.s.reservations[o.ID] = free
	h.s.mu.Unlock()
	return session.ResumeKey(o.ID, r.Turn), time.Now().Add(wait), nil
}

// assistant is the message that the model made, up to its calls.
func assistant(content string, calls []*toolCall) any {
	return struct {
		Role    string      `json:"role"`
		Content string      `json:"content"`
		Calls   []*toolCall `json:"tool_calls"`
	}{"assistant", content, calls}
}

// extend adds messages to a request's body, which stays as it is otherwise.
func extend(body []byte, more ...any) ([]byte, error) {
	var whole map[string]json.RawMessage
	if err := json.Unmarshal(body, &whole); err != nil {
		return nil, err
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(whole["messages"], &messages); err != nil {
		return nil, err
	}
	for _, m := range more {
		raw, err := json.Marshal(m)
		if err != nil {
			return nil, err
		}
		messages = append(messages, raw)
	}
	var err error
	if whole["messages"], err = json.Marshal(messages); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(whole)
	if err == nil && len(raw) > maxBodyBytes {
		err = session.ErrTooLarge
	}
	return raw, err
}

func (h *hook) begin() {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	_, _ = h.s.execute(ctx, session.Command{Kind: session.Begin, ID: h.id, FencingToken: h.fence}) // the claim says as much without it
}

// end puts the final answer on record. False: that is not known to have been done, and the answer may not end here.
func (h *hook) end() bool {
	if h.ended {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	_, err := h.s.executeWithRetry(ctx, session.Command{Kind: session.End, ID: h.id, FencingToken: h.fence, EndReason: "served"})
	if err != nil {
		h.s.Log.Info("the end of a session could not be put on record; its answer is broken off", zap.String("session", h.id), zap.Error(err))
	}
	h.ended = err == nil
	return h.ended
}

// Over implements node.Hook: what was claimed and neither ended nor paused anew is given back.
func (h *hook) Over(node.Answer) {
	if h.fence == 0 {
		return
	}
	h.timer.Stop()
	h.done()
	if h.ended || h.paused {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if _, err := h.s.executeWithRetry(ctx, session.Command{Kind: session.Release, ID: h.id, FencingToken: h.fence}); err != nil {
			h.s.Log.Info("a claim could not be given back; it ends by itself", zap.String("session", h.id), zap.Error(err))
		}
	}()
}
