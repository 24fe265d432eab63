package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Message is a message of a prompt.
type Message struct {
	Role       string `json:"role"`
	Content    string `json:"content"`
	ToolCallID string `json:"tool_call_id"`
}

// Prompt is what a server reads of a request.
type Prompt struct {
	ID       string // X-Trace-Id
	Messages []Message
}

// Stream writes the events of a server's answer.
type Stream struct {
	w http.ResponseWriter
	r *http.Request
}

// Event writes the data of one event at once, and reports whether the node is still there.
func (s *Stream) Event(format string, args ...any) bool {
	return s.Raw("data: " + fmt.Sprintf(format, args...) + "\n\n")
}

// Raw writes text at once, and reports whether the node is still there.
func (s *Stream) Raw(text string) bool {
	if _, err := fmt.Fprint(s.w, text); err != nil {
		return false
	}
	s.w.(http.Flusher).Flush()
	return s.r.Context().Err() == nil
}

// Text writes a text, a few tokens an event.
func (s *Stream) Text(text string, gap time.Duration) bool {
	for word := range strings.SplitAfterSeq(text, " ") {
		if !s.Event(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, word) || !s.Wait(gap) {
			return false
		}
	}
	return true
}

// Wait waits, and reports whether the node is still there.
func (s *Stream) Wait(span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-s.r.Context().Done():
		return false
	}
}

// Call writes a tool call.
func (s *Stream) Call(id, name, arguments string) bool {
	return s.Event(`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":%q,"type":"function",`+
		`"function":{"name":%q,"arguments":%q}}]},"finish_reason":null}]}`, id, name, arguments)
}

// End writes the final events.
func (s *Stream) End(reason string, promptTokens, tokens int) bool {
	return s.Event(`{"choices":[{"index":0,"delta":{},"finish_reason":%q}]}`, reason) &&
		s.Event(`{"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":0}}}`,
			promptTokens, tokens) &&
		s.Event("[DONE]")
}

// StartEngine starts a stand-in of a server that streams its answers, as the protocol page describes, until the end of
// the case. answer writes the events of one answer.
func (c *Case) StartEngine(name, address string, answer func(*Stream, Prompt)) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		prompt := Prompt{ID: r.Header.Get("X-Trace-Id")}
		if err := json.NewDecoder(r.Body).Decode(&prompt); err != nil || prompt.ID == "" || len(prompt.Messages) == 0 {
			http.Error(w, "the request cannot be read", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		answer(&Stream{w, r}, prompt)
	}
	listener, err := net.Listen("tcp", address)
	c.Must(err)
	server := &http.Server{Handler: http.HandlerFunc(handler)}
	go func() { _ = server.Serve(listener) }()
	c.AtEnd(func() { _ = server.Close() })
	c.Note("%s: a server at %s", name, address)
}
