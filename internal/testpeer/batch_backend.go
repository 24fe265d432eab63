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

// The states of a batch.
const (
	batchInProgress = "in_progress"
	batchCompleted  = "completed"
	batchCancelled  = "cancelled"
)

// BatchBackend is a scripted backend that takes files of requests, in the form of the public batch API: an uploaded
// file becomes a batch, whose lines are run one after the other; a cancellation leaves the rest unrun.
type BatchBackend struct {
	Address string
	// Ledger counts the lines as requests, by the content of their only message.
	Ledger *AttemptCounter
	// Run returns the status of one line's answer, after as long as it takes.
	Run func(line string, attempt int) int

	mu       sync.Mutex // guards all below
	files    map[string]string
	batches  map[string]*batch
	executed int // lines
	skipped  int // lines that a cancellation left unrun
	waiting  int // lines of batches in progress that have not been run yet
}

// batch is a batch as it is shown. BatchBackend.mu guards it.
type batch struct {
	status     string
	outputFile string
	errorFile  string
	cancel     bool // it is to be cancelled
}

// batchLine is a line of an uploaded file.
type batchLine struct {
	CustomID string `json:"custom_id"`
	Body     struct {
		Messages []struct{ Content string } `json:"messages"`
	} `json:"body"`

	attempt int // of this line, from 1 on
}

// name returns what the ledger knows the line by.
func (l *batchLine) name() string { return l.Body.Messages[0].Content }

// NewBatchBackend starts a batch backend, which stops with the test.
func NewBatchBackend(t testing.TB, ledger *AttemptCounter, run func(line string, attempt int) int) *BatchBackend {
	t.Helper()
	b := &BatchBackend{Ledger: ledger, Run: run, files: map[string]string{}, batches: map[string]*batch{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/files", b.upload)
	mux.HandleFunc("GET /v1/files/{id}/content", b.content)
	mux.HandleFunc("POST /v1/batches", b.create)
	mux.HandleFunc("GET /v1/batches/{id}", b.get)
	mux.HandleFunc("POST /v1/batches/{id}/cancel", b.cancel)
	b.Address = StartBackend(t, mux.ServeHTTP)
	return b
}

// Waiting returns how many lines of the batches in progress have not been run yet.
func (b *BatchBackend) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting
}

// Lines returns how many lines were run, and how many a cancellation left unrun.
func (b *BatchBackend) Lines() (executed, skipped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.executed, b.skipped
}

func (b *BatchBackend) upload(w http.ResponseWriter, r *http.Request) {
	file, _, err := r.FormFile("file")
	if err != nil || r.FormValue("purpose") != "batch" {
		http.Error(w, "no file for a batch", http.StatusBadRequest)
		return
	}
	raw, _ := io.ReadAll(file) // held in memory by the form
	b.mu.Lock()
	defer b.mu.Unlock()
	id := fmt.Sprintf("file-%d", len(b.files))
	b.files[id] = string(raw)
	fmt.Fprintf(w, `{"id":%q,"object":"file"}`, id)
}

func (b *BatchBackend) content(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = io.WriteString(w, b.files[r.PathValue("id")])
}

// create starts a batch of an uploaded file.
func (b *BatchBackend) create(w http.ResponseWriter, r *http.Request) {
	var request struct {
		File string `json:"input_file_id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request) // a wrong one names no file
	b.mu.Lock()
	defer b.mu.Unlock()
	id := fmt.Sprintf("batch_%d", len(b.batches))
	created := &batch{status: batchInProgress}
	b.batches[id] = created
	var lines []batchLine
	for text := range strings.Lines(b.files[request.File]) {
		var line batchLine
		_ = json.Unmarshal([]byte(text), &line) // the tests upload well-formed lines
		line.attempt = b.Ledger.Begin(line.name())
		lines = append(lines, line)
	}
	b.waiting += len(lines)
	go b.run(id, created, lines) // ends with the lines
	b.write(w, id, created)
}

// run runs the lines of a batch and stores its output and error files.
func (b *BatchBackend) run(id string, running *batch, lines []batchLine) {
	var output, errors strings.Builder
	for i := range lines {
		line := &lines[i]
		if !b.startLine(running) {
			b.Ledger.End(line.name(), false)
			continue
		}
		status := b.Run(line.name(), line.attempt)
		b.Ledger.End(line.name(), status == http.StatusOK)
		file := &output
		if status != http.StatusOK {
			file = &errors
		}
		fmt.Fprintf(file, `{"custom_id":%q,"response":{"status_code":%d,"body":{"model":"chat","choices":[{"message":`+
			`{"content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":1}}},"error":null}`+"\n",
			line.CustomID, status, "answer to "+line.name())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if output.Len() > 0 {
		running.outputFile = id + "-output"
		b.files[running.outputFile] = output.String()
	}
	if errors.Len() > 0 {
		running.errorFile = id + "-error"
		b.files[running.errorFile] = errors.String()
	}
	running.status = batchCompleted
	if running.cancel {
		running.status = batchCancelled
	}
}

// startLine counts the next line of a batch as run, or as skipped if the batch is to be cancelled; it reports which.
func (b *BatchBackend) startLine(running *batch) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	if running.cancel {
		b.skipped++
		return false
	}
	b.executed++
	return true
}

func (b *BatchBackend) get(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	shown := b.batches[r.PathValue("id")]
	if shown == nil {
		http.NotFound(w, r)
		return
	}
	b.write(w, r.PathValue("id"), shown)
}

func (b *BatchBackend) cancel(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cancelled := b.batches[r.PathValue("id")]
	if cancelled == nil {
		http.NotFound(w, r)
		return
	}
	if cancelled.status == batchInProgress {
		cancelled.cancel = true
	}
	b.write(w, r.PathValue("id"), cancelled)
}

// write writes a batch as it stands. The caller holds the lock.
func (b *BatchBackend) write(w io.Writer, id string, shown *batch) {
	fmt.Fprintf(w, `{"id":%q,"status":%q,"output_file_id":%q,"error_file_id":%q,"created_at":%d}`, id, shown.status,
		shown.outputFile, shown.errorFile, time.Now().Unix())
}
