package kit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Run is one run of a line at a batch server.
type Run struct {
	Line, Server string
	Begun, Ended time.Time // Ended is zero while the line runs
}

// BatchLedger records the runs of lines at all batch servers. It is safe for concurrent use.
type BatchLedger struct {
	mu   sync.Mutex
	runs []*Run
}

// begin records that a line begins to run.
func (l *BatchLedger) begin(line, server string) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &Run{Line: line, Server: server, Begun: time.Now()}
	l.runs = append(l.runs, run)
	return run
}

// end records that a line has run.
func (l *BatchLedger) end(run *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Ended = time.Now()
}

// Runs returns the runs so far, by line.
func (l *BatchLedger) Runs() map[string][]Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	byLine := map[string][]Run{}
	for _, run := range l.runs {
		byLine[run.Line] = append(byLine[run.Line], *run)
	}
	return byLine
}

// BatchServer is a stand-in of a server that takes files: the public batch API, with files, batches that run their lines
// some at a time, and cancellation, which drops the lines that do not run yet.
type BatchServer struct {
	Name, Address string
	LineTime      time.Duration // time that a line runs
	Slots         int           // lines that run at once
	Ledger        *BatchLedger
	// LoseAnswer is asked at each creation of a batch. If it returns true the batch is created and runs, and the
	// connection breaks before the answer.
	LoseAnswer func() bool

	c       *Case
	slots   chan struct{}
	mu      sync.Mutex // guards the fields below
	files   map[string][]byte
	batches map[string]*serverBatch
}

// serverBatch is a batch of a batch server.
type serverBatch struct {
	status, output string
	cancelled      bool
}

// StartBatchServer starts a batch server that stops at the end of the case.
func (c *Case) StartBatchServer(s *BatchServer) {
	s.c = c
	s.slots = make(chan struct{}, s.Slots)
	s.files = map[string][]byte{}
	s.batches = map[string]*serverBatch{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/files", s.upload)
	mux.HandleFunc("GET /v1/files/{id}/content", s.content)
	mux.HandleFunc("POST /v1/batches", s.create)
	mux.HandleFunc("GET /v1/batches/{id}", s.show)
	mux.HandleFunc("POST /v1/batches/{id}/cancel", s.cancel)
	listener, err := net.Listen("tcp", s.Address)
	c.Must(err)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	c.AtEnd(func() { _ = server.Close() })
}

func (s *BatchServer) upload(w http.ResponseWriter, r *http.Request) {
	file, _, err := r.FormFile("file")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	raw, err := io.ReadAll(file)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("file-%d", len(s.files))
	s.files[id] = raw
	fmt.Fprintf(w, `{"id":%q,"object":"file"}`, id)
}

func (s *BatchServer) content(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	raw := s.files[r.PathValue("id")]
	s.mu.Unlock()
	_, _ = w.Write(raw)
}

// serverLine is a line of an uploaded file.
type serverLine struct {
	CustomID string `json:"custom_id"`
	Body     struct {
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
	} `json:"body"`
}

func (s *BatchServer) create(w http.ResponseWriter, r *http.Request) {
	var request struct {
		File string `json:"input_file_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	raw, ok := s.files[request.File]
	id := fmt.Sprintf("batch-%d", len(s.batches))
	batch := &serverBatch{status: "in_progress"}
	s.batches[id] = batch
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such file", http.StatusBadRequest)
		return
	}
	var lines []serverLine
	var names []string
	for text := range bytes.Lines(raw) {
		var line serverLine
		if err := json.Unmarshal(text, &line); err != nil || len(line.Body.Messages) == 0 {
			http.Error(w, "a line cannot be read", http.StatusBadRequest)
			return
		}
		lines = append(lines, line)
		names = append(names, line.Body.Messages[0].Content)
	}
	go s.run(id, batch, lines)
	if s.LoseAnswer != nil && s.LoseAnswer() {
		s.c.Note("%s: %s created with %s; the connection breaks before the answer", s.Name, id, strings.Join(names, ", "))
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	s.c.Note("%s: %s created with %s", s.Name, id, strings.Join(names, ", "))
	fmt.Fprintf(w, `{"id":%q,"object":"batch","status":"in_progress"}`, id)
}

// run runs the lines of a batch.
func (s *BatchServer) run(id string, batch *serverBatch, lines []serverLine) {
	var mu sync.Mutex
	var output bytes.Buffer
	var running sync.WaitGroup
	for _, line := range lines {
		s.slots <- struct{}{}
		s.mu.Lock()
		cancelled := batch.cancelled
		s.mu.Unlock()
		if cancelled {
			<-s.slots
			break
		}
		running.Go(func() {
			defer func() { <-s.slots }()
			name := line.Body.Messages[0].Content
			run := s.Ledger.begin(name, s.Name)
			s.c.Note("%s: %s of %s begins", s.Name, name, id)
			time.Sleep(s.LineTime)
			s.Ledger.end(run)
			s.c.Note("%s: %s of %s has run", s.Name, name, id)
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(&output, `{"id":"r","custom_id":%q,"response":{"status_code":200,"request_id":"r","body":{"id":"c",`+
				`"object":"chat.completion","model":"m","choices":[{"index":0,"message":{"role":"assistant","content":%q},`+
				`"finish_reason":"stop"}],"usage":{"prompt_tokens":10,"completion_tokens":4}}}}`+"\n",
				line.CustomID, "hours of "+name)
		})
	}
	running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	batch.output = id + "-output"
	s.files[batch.output] = output.Bytes()
	batch.status = "completed"
	if batch.cancelled {
		batch.status = "cancelled"
	}
	s.c.Note("%s: %s is %s", s.Name, id, batch.status)
}

func (s *BatchServer) show(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.batches[id]
	if batch == nil {
		http.Error(w, "no such batch", http.StatusNotFound)
		return
	}
	fmt.Fprintf(w, `{"id":%q,"object":"batch","status":%q,"output_file_id":%q}`, id, batch.status, batch.output)
}

func (s *BatchServer) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.batches[id]
	if batch == nil {
		http.Error(w, "no such batch", http.StatusNotFound)
		return
	}
	s.c.Note("%s: %s is cancelled by the node", s.Name, id)
	batch.cancelled = true
	fmt.Fprintf(w, `{"id":%q,"object":"batch","status":"cancelling"}`, id)
}
