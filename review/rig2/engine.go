package rig2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Engine is a server that streams its answers, as the protocol page has it.
type Engine struct {
	Address string

	c        *Case
	mu       sync.Mutex
	requests []EngineRequest
}

// EngineRequest is a request that an engine got.
type EngineRequest struct {
	Trace    string
	Messages []Message
	At       time.Time
}

// Message is a message of a request.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Stream writes the events of one answer.
type Stream struct {
	w       http.ResponseWriter
	request *http.Request
}

// Event writes one event at once; false means that the node has gone.
func (s *Stream) Event(data string) bool {
	if s.request.Context().Err() != nil {
		return false
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", data); err != nil {
		return false
	}
	return http.NewResponseController(s.w).Flush() == nil
}

// Text writes an event with some text.
func (s *Stream) Text(text string) bool {
	return s.Event(fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, text))
}

// Fail answers with a status in place of a stream. It must be the only call.
func (s *Stream) Fail(status int) { s.w.WriteHeader(status) }

// Reset ends the connection in the middle of the answer.
func (s *Stream) Reset() { resetConnection(s.w) }

// resetConnection resets a request's connection and ends its handler.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	panic(http.ErrAbortHandler)
}

// Gone returns a channel that is closed when the node has closed the connection.
func (s *Stream) Gone() <-chan struct{} { return s.request.Context().Done() }

// Finish writes the final events of an answer that has ended by itself.
func (s *Stream) Finish(prompt, completion int) {
	s.Event(`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
	s.Event(fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,`+
		`"prompt_tokens_details":{"cached_tokens":0}}}`, prompt, completion))
	s.Event("[DONE]")
}

// StartEngine starts a server whose answers answer writes. It is called after the request has been recorded.
func (c *Case) StartEngine(name string, answer func(r EngineRequest, s *Stream)) *Engine {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	e := &Engine{Address: l.Addr().String(), c: c}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var body struct {
			Messages []Message `json:"messages"`
		}
		if json.Unmarshal(raw, &body) != nil {
			http.Error(w, "no JSON", http.StatusBadRequest)
			return
		}
		request := EngineRequest{Trace: r.Header.Get("X-Trace-Id"), Messages: body.Messages, At: time.Now()}
		e.mu.Lock()
		e.requests = append(e.requests, request)
		e.mu.Unlock()
		c.Log("%s: request %s with %d messages", name, request.Trace, len(request.Messages))
		w.Header().Set("Content-Type", "text/event-stream")
		answer(request, &Stream{w: w, request: r})
		c.Log("%s: request %s is over", name, request.Trace)
	})
	go func() { _ = http.Serve(l, handler) }()
	return e
}

// StartQuietEngine starts a server that records nothing, for many requests, and returns its address.
func (c *Case) StartQuietEngine(answer func(s *Stream)) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		answer(&Stream{w: w, request: r})
	})
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String()
}

// Requests returns the requests that the engine got.
func (e *Engine) Requests() []EngineRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]EngineRequest{}, e.requests...)
}

// ChatHeader returns the headers of a chat request.
func ChatHeader(class, tenant string, wait time.Duration) map[string]string {
	return map[string]string{
		"X-Trace-Id":   NewID(),
		"X-Qos":        class,
		"X-Customer":   tenant,
		"X-Object":     NewID(),
		"X-Expires-In": fmt.Sprintf("%dm", wait.Milliseconds()),
		"X-Props":      "prompt_len=200,max_out=100",
		"Content-Type": "application/json",
	}
}
