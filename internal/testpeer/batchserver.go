package testpeer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// BatchBackend is a stand-in for a server that takes files, after the public batch API's form: an uploaded
// file becomes a batch, whose lines are run one after the other; a cancel leaves the rest unrun.
type BatchBackend struct {
	Address string
	Ledger  *AttemptLedger
	// Run answers one line: the status, after as long as it takes.
	Run func(line string, try int) int

	mu       sync.Mutex
	files    map[string]string
	batches  map[string]*batchState
	executed int
	skipped  int
	waiting  int
}

// Waiting is how many lines of the batches at hand have not been run yet.
func (s *BatchBackend) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// Lines is how many lines were run, and how many a cancel left unrun.
func (s *BatchBackend) Lines() (ran, unrun int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed, s.skipped
}

type batchState struct {
	status, output, errors string
	cancel                 bool
}

// NewBatchBackend starts a stand-in.
func NewBatchBackend(t testing.TB, ledger *AttemptLedger, run func(line string, try int) int) *BatchBackend {
	s := &BatchBackend{Ledger: ledger, Run: run, files: map[string]string{}, batches: map[string]*batchState{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/files", s.upload)
	mux.HandleFunc("GET /v1/files/{id}/content", s.content)
	mux.HandleFunc("POST /v1/batches", s.create)
	mux.HandleFunc("GET /v1/batches/{id}", s.get)
	mux.HandleFunc("POST /v1/batches/{id}/cancel", s.get)
	s.Address = Backend(t, mux.ServeHTTP)
	return s
}

func (s *BatchBackend) upload(w http.ResponseWriter, r *http.Request) {
	file, _, err := r.FormFile("file")
	if err != nil || r.FormValue("purpose") != "batch" {
		http.Error(w, "no file for a batch", http.StatusBadRequest)
		return
	}
	raw, _ := io.ReadAll(file)
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("file-%d", len(s.files))
	s.files[id] = string(raw)
	fmt.Fprintf(w, `{"id":%q,"object":"file"}`, id)
}

func (s *BatchBackend) content(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(w, s.files[r.PathValue("id")])
}

func (s *BatchBackend) create(w http.ResponseWriter, r *http.Request) {
	var want struct {
		File string `json:"input_file_id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&want)
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("batch_%d", len(s.batches))
	b := &batchState{status: "in_progress"}
	s.batches[id] = b
	defer func() { s.write(w, id, b) }()
	type input struct {
		CustomID string `json:"custom_id"`
		Body     struct {
			Messages []struct{ Content string } `json:"messages"`
		} `json:"body"`
	}
	var lines []input
	var tries []int
	for text := range strings.Lines(s.files[want.File]) {
		var l input
		_ = json.Unmarshal([]byte(text), &l)
		lines, tries = append(lines, l), append(tries, s.Ledger.Begin(l.Body.Messages[0].Content))
	}
	s.waiting += len(lines)
	go func() {
		var output, faults strings.Builder
		for i, l := range lines {
			name := l.Body.Messages[0].Content
			s.mu.Lock()
			cancel := b.cancel
			s.waiting--
			if cancel {
				s.skipped++
			} else {
				s.executed++
			}
			s.mu.Unlock()
			if cancel {
				s.Ledger.End(name, false)
				continue
			}
			status := s.Run(name, tries[i])
			s.Ledger.End(name, status == http.StatusOK)
			to := &output
			if status != http.StatusOK {
				to = &faults
			}
			fmt.Fprintf(to, `{"custom_id":%q,"response":{"status_code":%d,"body":{"model":"chat","choices":[{"message":`+
				`{"content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":1}}},"error":null}`+"\n",
				l.CustomID, status, "answer to "+name)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if output.Len() > 0 {
			b.output = id + "-output"
			s.files[b.output] = output.String()
		}
		if faults.Len() > 0 {
			b.errors = id + "-error"
			s.files[b.errors] = faults.String()
		}
		if b.status = "completed"; b.cancel {
			b.status = "cancelled"
		}
	}()
}

func (s *BatchBackend) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.batches[r.PathValue("id")]
	if b == nil {
		http.NotFound(w, r)
		return
	}
	if r.Method == http.MethodPost && b.status == "in_progress" {
		b.cancel = true
	}
	s.write(w, r.PathValue("id"), b)
}

func (s *BatchBackend) write(w io.Writer, id string, b *batchState) {
	fmt.Fprintf(w, `{"id":%q,"status":%q,"output_file_id":%q,"error_file_id":%q,"created_at":%d}`, id, b.status, b.output,
		b.errors, time.Now().Unix())
}
