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

// Backend is an emulated box that streams, and keeps a ledger of its own: what it was asked, what it gave, and
// whether two attempts of a request were ever out at once, here or at another box of the same Ledger.
type Backend struct {
	Address string
	Ledger  *Ledger
	Token   time.Duration // between two tokens
	Failing atomic.Bool   // it errs
	server  *http.Server

	talking map[string]int // decodings of a session that are under way, at this box
}

// Ledger is what all boxes of a rig have seen.
type Ledger struct {
	mu     sync.Mutex
	out    map[string]int
	Twice  []string       // requests of which two attempts were out at once
	Served map[string]int // tokens made and told to the end, by request
	Asked  int

	decoding map[string]int // of sessions, at all boxes
	Double   []string       // sessions of which two parts were decoded at once
	Wrong    []string       // prompts that were not what the session had come to
	Parts    int            // of sessions, begun
	Tokens   map[string]int // made for a session, in all parts that came to their end or their call
}

// NewLedger makes an empty one.
func NewLedger() *Ledger {
	return &Ledger{
		out:      map[string]int{},
		Served:   map[string]int{},
		decoding: map[string]int{},
		Tokens:   map[string]int{},
	}
}

func (l *Ledger) begin(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Asked++
	if l.out[id]++; l.out[id] > 1 {
		l.Twice = append(l.Twice, id)
	}
}

func (l *Ledger) end(id string, tokens int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out[id]--
	if whole {
		l.Served[id] += tokens
	}
}

// StartBackend starts a box.
func StartBackend(l *Ledger, token time.Duration) (*Backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Address: listener.Addr().String(), Ledger: l, Token: token, talking: map[string]int{}}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// Close ends it.
func (b *Backend) Close() { b.server.Close() }

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.Ledger.begin(id)
	tokens, whole := 0, false
	defer func() { b.Ledger.end(id, tokens, whole) }()
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
	if name, calls, ok := talk(body.Messages[0].Content); ok {
		b.talk(w, r, name, calls, body.Messages)
		return
	}
	prompt := 0
	for _, m := range body.Messages {
		prompt += len(m.Content) / 4
	}
	// An answer of a length that hangs on the request alone, so that nobody needs to be told what it was.
	want := 1 + (len(strings.TrimSpace(id))*7+prompt)%max(1, body.MaxTokens)
	w.Header().Set("Content-Type", "text/event-stream")
	for tokens < want {
		if _, err := fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":null}]}\n\n", tokens); err != nil {
			return
		}
		tokens++
		w.(http.Flusher).Flush()
		select {
		case <-time.After(b.Token):
		case <-r.Context().Done():
			return
		}
	}
	_, err = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"+
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n", prompt, tokens)
	w.(http.Flusher).Flush()
	whole = err == nil
}
