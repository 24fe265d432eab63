package rig2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// FileServer is a server that takes files, with the public batch API. Its model is busy with other work until FreeAt,
// and then runs the lines of all batches, each line for LineTime. A cancelled batch runs none of the lines that have not
// begun, and ends once those that have begun are over.
type FileServer struct {
	Address  string
	FreeAt   time.Time
	LineTime time.Duration

	c       *Case
	mu      sync.Mutex
	next    int
	files   map[string][]byte
	batches []*fileBatch
	runs    map[string]int // by the text of the line's prompt: how often it has run
	overlap []string       // lines that were in two batches at once, neither of them over
}

type fileBatch struct {
	id, input, output, errors, status string
	cancelling                        bool
	lines                             []*fileLine
}

type fileLine struct {
	id, prompt string
	state      string // waiting, running, ran, cancelled
}

// StartFileServer starts a server that takes files.
func (c *Case) StartFileServer(freeAt time.Time, lineTime time.Duration) *FileServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	s := &FileServer{Address: l.Addr().String(), FreeAt: freeAt, LineTime: lineTime, c: c,
		files: map[string][]byte{}, runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/files", s.upload)
	mux.HandleFunc("GET /v1/files/{id}/content", s.content)
	mux.HandleFunc("DELETE /v1/files/{id}", s.deleteFile)
	mux.HandleFunc("POST /v1/batches", s.create)
	mux.HandleFunc("GET /v1/batches", s.list)
	mux.HandleFunc("GET /v1/batches/{id}", s.get)
	mux.HandleFunc("POST /v1/batches/{id}/cancel", s.cancel)
	go func() { _ = http.Serve(l, mux) }()
	go s.run()
	return s
}

// Created returns how many lines the server has in batches that it has taken, over or not.
func (s *FileServer) Created() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, b := range s.batches {
		n += len(b.lines)
	}
	return n
}

// Overlaps returns the lines that were in two batches at once, neither of them over.
func (s *FileServer) Overlaps() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.overlap)
}

// Runs returns how often each line has run.
func (s *FileServer) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	for line, n := range s.runs {
		runs[line] = n
	}
	return runs
}

func (s *FileServer) newID(kind string) string {
	s.next++
	return fmt.Sprintf("%s-%d", kind, s.next)
}

func reply(w http.ResponseWriter, status int, value any) {
	raw, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *FileServer) upload(w http.ResponseWriter, r *http.Request) {
	file, _, err := r.FormFile("file")
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	raw, _ := io.ReadAll(file)
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.newID("file")
	s.files[id] = raw
	reply(w, http.StatusOK, map[string]any{"id": id, "object": "file", "bytes": len(raw), "purpose": "batch"})
}

func (s *FileServer) content(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	raw, ok := s.files[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]string{"error": "no such file"})
		return
	}
	_, _ = w.Write(raw)
}

func (s *FileServer) deleteFile(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.PathValue("id")
	if _, ok := s.files[id]; !ok {
		reply(w, http.StatusNotFound, map[string]string{"error": "no such file"})
		return
	}
	delete(s.files, id)
	reply(w, http.StatusOK, map[string]any{"id": id, "deleted": true})
}

func (s *FileServer) create(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Input string `json:"input_file_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, ok := s.files[body.Input]
	if !ok {
		reply(w, http.StatusBadRequest, map[string]string{"error": "no such file"})
		return
	}
	b := &fileBatch{id: s.newID("batch"), input: body.Input, status: "in_progress"}
	for text := range bytes.Lines(raw) {
		var line struct {
			ID   string `json:"custom_id"`
			Body struct {
				Messages []struct {
					Content string `json:"content"`
				} `json:"messages"`
			} `json:"body"`
		}
		if json.Unmarshal(text, &line) != nil || len(line.Body.Messages) == 0 {
			continue
		}
		prompt := line.Body.Messages[len(line.Body.Messages)-1].Content
		for _, other := range s.batches {
			for _, known := range other.lines {
				if !other.over() && known.prompt == prompt && (known.state == "waiting" || known.state == "running") {
					s.overlap = append(s.overlap, prompt)
					s.c.Log("server: line %q comes in %s while it is %s in %s", prompt, b.id, known.state, other.id)
				}
			}
		}
		b.lines = append(b.lines, &fileLine{id: line.ID, prompt: prompt, state: "waiting"})
	}
	s.batches = append(s.batches, b)
	s.c.Log("server: %s created of %s with %d lines", b.id, b.input, len(b.lines))
	reply(w, http.StatusOK, b.object())
}

func (b *fileBatch) over() bool { return b.status == "completed" || b.status == "cancelled" }

func (b *fileBatch) object() map[string]any {
	object := map[string]any{"id": b.id, "object": "batch", "status": b.status, "input_file_id": b.input,
		"endpoint": "/v1/chat/completions"}
	if b.output != "" {
		object["output_file_id"] = b.output
	}
	if b.errors != "" {
		object["error_file_id"] = b.errors
	}
	return object
}

func (s *FileServer) find(id string) *fileBatch {
	for _, b := range s.batches {
		if b.id == id {
			return b
		}
	}
	return nil
}

func (s *FileServer) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.find(r.PathValue("id")); b != nil {
		reply(w, http.StatusOK, b.object())
		return
	}
	reply(w, http.StatusNotFound, map[string]string{"error": "no such batch"})
}

// list lists the batches, the latest first, in pages.
func (s *FileServer) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		limit = 20
	}
	after := r.URL.Query().Get("after")
	began := after == ""
	data, more := []map[string]any{}, false
	for _, b := range slices.Backward(s.batches) {
		if began {
			if len(data) == limit {
				more = true
				break
			}
			data = append(data, b.object())
		}
		began = began || b.id == after
	}
	reply(w, http.StatusOK, map[string]any{"object": "list", "data": data, "has_more": more})
}

func (s *FileServer) cancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.find(r.PathValue("id"))
	if b == nil {
		reply(w, http.StatusNotFound, map[string]string{"error": "no such batch"})
		return
	}
	if !b.over() {
		s.c.Log("server: %s is cancelled", b.id)
		b.cancelling = true
		b.status = "cancelling"
		for _, line := range b.lines {
			if line.state == "waiting" {
				line.state = "cancelled"
			}
		}
		s.finishIfOver(b)
	}
	reply(w, http.StatusOK, b.object())
}

// run runs the lines of all batches once the server is free of other work.
func (s *FileServer) run() {
	for {
		time.Sleep(10 * time.Millisecond)
		if time.Now().Before(s.FreeAt) {
			continue
		}
		s.mu.Lock()
		for _, b := range s.batches {
			for _, line := range b.lines {
				if line.state == "waiting" {
					line.state = "running"
					go s.runLine(b, line)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *FileServer) runLine(b *fileBatch, line *fileLine) {
	time.Sleep(s.LineTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	line.state = "ran"
	s.runs[line.prompt]++
	s.c.Log("server: line %q of %s has run, time %d of this line", line.prompt, b.id, s.runs[line.prompt])
	s.finishIfOver(b)
}

// finishIfOver ends a batch once none of its lines waits or runs.
func (s *FileServer) finishIfOver(b *fileBatch) {
	var output, failed strings.Builder
	for _, line := range b.lines {
		switch line.state {
		case "waiting", "running":
			return
		case "ran":
			raw, _ := json.Marshal(map[string]any{"id": s.newID("r"), "custom_id": line.id, "response": map[string]any{
				"status_code": 200, "request_id": line.id, "body": map[string]any{"object": "chat.completion", "model": "m",
					"choices": []any{map[string]any{"index": 0, "finish_reason": "stop",
						"message": map[string]string{"role": "assistant", "content": "done: " + line.prompt}}},
					"usage": map[string]int{"prompt_tokens": 10, "completion_tokens": 5}}}})
			output.Write(append(raw, '\n'))
		case "cancelled":
			raw, _ := json.Marshal(map[string]any{"id": s.newID("r"), "custom_id": line.id,
				"error": map[string]string{"code": "batch_cancelled", "message": "cancelled before it ran"}})
			failed.Write(append(raw, '\n'))
		}
	}
	if output.Len() > 0 {
		b.output = s.newID("file")
		s.files[b.output] = []byte(output.String())
	}
	if failed.Len() > 0 {
		b.errors = s.newID("file")
		s.files[b.errors] = []byte(failed.String())
	}
	b.status = "completed"
	if b.cancelling {
		b.status = "cancelled"
	}
	s.c.Log("server: %s is %s", b.id, b.status)
}
