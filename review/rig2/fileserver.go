package rig2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
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
	// ListLag is the time after which a batch is in the list. LostAnswers is how many answers to the creation of a batch
	// get lost: the batch is created, and the connection is reset.
	ListLag     time.Duration
	LostAnswers int

	c        *Case
	name     string
	listener net.Listener
	handler  http.Handler
	book     *Book
	next     int
	files    map[string][]byte
	batches  []*fileBatch
}

// Book is what the servers of a case have of the lines, all together.
type Book struct {
	mu      sync.Mutex // guards the rest, and the state of all servers
	servers []*FileServer
	runs    map[string]int // by the text of the line's prompt: how often it has run
	overlap []string       // lines that came to a server while an earlier attempt of theirs was out
}

// NewBook returns a book without lines.
func NewBook() *Book { return &Book{runs: map[string]int{}} }

type fileBatch struct {
	id, input, output, errors, status string
	cancelling                        bool
	created                           time.Time
	lines                             []*fileLine
}

type fileLine struct {
	id, prompt string
	state      string // waiting, running, ran, cancelled
}

// StartFileServer starts a server that takes files.
func (c *Case) StartFileServer(name string, book *Book, freeAt time.Time, lineTime time.Duration) *FileServer {
	s := &FileServer{Address: c.FreeAddress(), FreeAt: freeAt, LineTime: lineTime, c: c, name: name, book: book,
		files: map[string][]byte{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/files", s.upload)
	mux.HandleFunc("GET /v1/files/{id}/content", s.content)
	mux.HandleFunc("DELETE /v1/files/{id}", s.deleteFile)
	mux.HandleFunc("POST /v1/batches", s.create)
	mux.HandleFunc("GET /v1/batches", s.list)
	mux.HandleFunc("GET /v1/batches/{id}", s.get)
	mux.HandleFunc("POST /v1/batches/{id}/cancel", s.cancel)
	s.handler = mux
	book.mu.Lock()
	book.servers = append(book.servers, s)
	book.mu.Unlock()
	s.Up()
	go s.run()
	return s
}

// Up begins to listen. The server has the files and batches that it had before.
func (s *FileServer) Up() {
	var err error
	if s.listener, err = net.Listen("tcp4", s.Address); err != nil {
		s.c.Fatal("%v", err)
	}
	server := &http.Server{Handler: s.handler}
	l := s.listener
	go func() {
		_ = server.Serve(l)
		_ = server.Close() // also the open connections
	}()
	s.c.Log("%s is up", s.name)
}

// Down ends the server's process: its connections end, and new ones are refused.
func (s *FileServer) Down() {
	_ = s.listener.Close()
	s.c.Log("%s is down", s.name)
}

// Created returns how many lines the server has in batches that it has taken, over or not.
func (s *FileServer) Created() int {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	n := 0
	for _, b := range s.batches {
		n += len(b.lines)
	}
	return n
}

// Overlaps returns the lines that came to a server while an earlier attempt of theirs was out.
func (b *Book) Overlaps() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.overlap)
}

// Runs returns how often each line has run.
func (b *Book) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

// note notes a line that comes in a batch. The caller holds the lock.
func (b *Book) note(s *FileServer, id, prompt string) {
	for _, server := range b.servers {
		for _, other := range server.batches {
			for _, known := range other.lines {
				if !other.over() && known.prompt == prompt && (known.state == "waiting" || known.state == "running") {
					b.overlap = append(b.overlap, prompt)
					s.c.Log("%s: line %q comes in %s while it is %s in %s of %s", s.name, prompt, id, known.state, other.id,
						server.name)
				}
			}
		}
	}
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
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	id := s.newID("file")
	s.files[id] = raw
	reply(w, http.StatusOK, map[string]any{"id": id, "object": "file", "bytes": len(raw), "purpose": "batch"})
}

func (s *FileServer) content(w http.ResponseWriter, r *http.Request) {
	s.book.mu.Lock()
	raw, ok := s.files[r.PathValue("id")]
	s.book.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]string{"error": "no such file"})
		return
	}
	_, _ = w.Write(raw)
}

func (s *FileServer) deleteFile(w http.ResponseWriter, r *http.Request) {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
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
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	raw, ok := s.files[body.Input]
	if !ok {
		reply(w, http.StatusBadRequest, map[string]string{"error": "no such file"})
		return
	}
	b := &fileBatch{id: s.newID("batch"), input: body.Input, status: "in_progress", created: time.Now()}
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
		s.book.note(s, b.id, prompt)
		b.lines = append(b.lines, &fileLine{id: line.ID, prompt: prompt, state: "waiting"})
	}
	s.batches = append(s.batches, b)
	s.c.Log(s.name+": %s created of %s with %d lines", b.id, b.input, len(b.lines))
	if s.LostAnswers > 0 {
		s.LostAnswers--
		s.c.Log("%s: the answer to the creation of %s gets lost", s.name, b.id)
		resetConnection(w)
	}
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
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	if b := s.find(r.PathValue("id")); b != nil {
		reply(w, http.StatusOK, b.object())
		return
	}
	reply(w, http.StatusNotFound, map[string]string{"error": "no such batch"})
}

// list lists the batches, the latest first, in pages.
func (s *FileServer) list(w http.ResponseWriter, r *http.Request) {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		limit = 20
	}
	after := r.URL.Query().Get("after")
	began := after == ""
	data, more := []map[string]any{}, false
	for _, b := range slices.Backward(s.batches) {
		if time.Since(b.created) < s.ListLag {
			continue
		}
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
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	b := s.find(r.PathValue("id"))
	if b == nil {
		reply(w, http.StatusNotFound, map[string]string{"error": "no such batch"})
		return
	}
	if !b.over() {
		s.c.Log(s.name+": %s is cancelled", b.id)
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
		s.book.mu.Lock()
		for _, b := range s.batches {
			for _, line := range b.lines {
				if line.state == "waiting" {
					line.state = "running"
					go s.runLine(b, line)
				}
			}
		}
		s.book.mu.Unlock()
	}
}

func (s *FileServer) runLine(b *fileBatch, line *fileLine) {
	time.Sleep(s.LineTime)
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	line.state = "ran"
	s.book.runs[line.prompt]++
	s.c.Log(s.name+": line %q of %s has run, time %d of this line", line.prompt, b.id, s.book.runs[line.prompt])
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
	s.c.Log(s.name+": %s is %s", b.id, b.status)
}
