package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Backend is an emulated backend that streams its responses and counts requests, attempts and tokens in a record that
// it shares with the other backends of the rig.
type Backend struct {
	Address       string
	Record        *BackendRecord
	TokenInterval time.Duration // the time between two tokens
	Failing       atomic.Bool   // every request is answered with status 500
	server        *http.Server

	decoding map[string]int // turns of a session that are being decoded at this backend, by session
}

// BackendRecord is what all backends of a rig have received and served. It is safe for concurrent use through its
// methods.
type BackendRecord struct {
	mu                 sync.Mutex     // guards all below
	inFlight           map[string]int // attempts in flight, by request id
	ConcurrentAttempts []string       // ids of requests that had more than one attempt in flight at the same time
	ServedTokens       map[string]int // output tokens of complete responses, by request id
	Attempts           int            // attempts that were received

	decoding          map[string]int // turns that are being decoded at any backend, by session
	ConcurrentDecodes []string       // sessions of which more than one turn was decoded at the same time
	WrongPrompts      []string       // descriptions of prompts that differ from the state of their session
	Turns             int            // turns of sessions that were begun
	SessionTokens     map[string]int // output tokens of turns that reached their end or their tool calls, by session
}

// NewBackendRecord creates an empty record.
func NewBackendRecord() *BackendRecord {
	return &BackendRecord{
		inFlight:      map[string]int{},
		ServedTokens:  map[string]int{},
		decoding:      map[string]int{},
		SessionTokens: map[string]int{},
	}
}

// begin records the start of an attempt.
func (r *BackendRecord) begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Attempts++
	if r.inFlight[id]++; r.inFlight[id] > 1 {
		r.ConcurrentAttempts = append(r.ConcurrentAttempts, id)
	}
}

// end records the end of an attempt, and its output tokens if its response was complete.
func (r *BackendRecord) end(id string, tokens int, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[id]--
	if complete {
		r.ServedTokens[id] += tokens
	}
}

// StartBackend starts a backend with the given time between two tokens.
func StartBackend(record *BackendRecord, tokenInterval time.Duration) (*Backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{
		Address:       listener.Addr().String(),
		Record:        record,
		TokenInterval: tokenInterval,
		decoding:      map[string]int{},
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// Close stops the backend and closes its connections.
func (b *Backend) Close() { b.server.Close() }

// serve serves a chat request: a turn of a conversation that calls tools, or a plain response.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.Record.begin(id)
	tokens, complete := 0, false
	defer func() { b.Record.end(id, tokens, complete) }()
	if b.Failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	var body struct {
		Messages  []message `json:"messages"`
		MaxTokens int       `json:"max_tokens"`
	}
	if err := json.Unmarshal(raw, &body); err != nil || len(body.Messages) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name, callingTurns, ok := parseConversation(body.Messages[0].Content); ok {
		b.serveTurn(w, r, name, callingTurns, body.Messages)
		return
	}
	promptTokens := 0
	for _, message := range body.Messages {
		promptTokens += len(message.Content) / 4
	}
	// The number of output tokens is determined by the request alone, so that clients need not be told it.
	outputTokens := 1 + (len(strings.TrimSpace(id))*7+promptTokens)%max(1, body.MaxTokens)
	w.Header().Set("Content-Type", "text/event-stream")
	for tokens < outputTokens {
		if _, err := fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},"+
			"\"finish_reason\":null}]}\n\n", tokens); err != nil {
			return
		}
		tokens++
		w.(http.Flusher).Flush()
		select {
		case <-time.After(b.TokenInterval):
		case <-r.Context().Done():
			return
		}
	}
	_, err = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"+
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n", promptTokens, tokens)
	w.(http.Flusher).Flush()
	complete = err == nil
}
