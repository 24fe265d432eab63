package testpeer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// The values of a batch's status in the batch API that BatchBackend uses.
const (
	batchInProgress = "in_progress"
	batchCompleted  = "completed"
	batchCancelled  = "cancelled"
)

// BatchBackend is a scripted backend with the public batch API: a batch is created from an uploaded file of requests,
// its lines are run one after the other, and a cancellation skips the lines that have not been run.
type BatchBackend struct {
	Address string // the listen address on loopback
	// Counter counts each line as a request, whose key is the content of its only message.
	Counter *AttemptCounter
	// Run processes one line and returns the HTTP status of its answer. It may block. The arguments are the line's key
	// and the number of this attempt of it, from 1.
	Run func(line string, attempt int) int

	server *httptest.Server

	mu       sync.Mutex // guards all below
	stopped  bool       // Stop was called: no further line is run
	fault    func(*http.Request) CallFault
	uploads  int               // uploaded files
	files    map[string]string // content, by file id
	batches  map[string]*batch // by batch id
	executed int               // lines that have been run
	skipped  int               // lines that were not run because of a cancellation
	waiting  int               // lines of batches in progress that have not been run yet
}

// CallFault is what goes wrong with a call to a batch backend.
type CallFault uint8

// The faults of calls.
const (
	NoFault     CallFault = iota
	LostCall              // the connection is reset, and the call is not carried out
	LostAnswer            // the call is carried out, and the connection is reset before the response
	Unsupported           // the backend has no such call
	ServerFault           // the call is carried out, and the response is 500
	BadAnswer             // the call is carried out, and the response is not JSON
	Hang                  // the call is not carried out, and there is no response until the client gives up
)

// SetFault sets the function that decides what goes wrong with each call.
func (b *BatchBackend) SetFault(fault func(*http.Request) CallFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = fault
}

// serveFaulty passes a call to next, with the fault that is set for it.
func (b *BatchBackend) serveFaulty(w http.ResponseWriter, r *http.Request, next http.Handler) {
	b.mu.Lock()
	decide := b.fault
	b.mu.Unlock()
	fault := NoFault
	if decide != nil {
		fault = decide(r)
	}
	switch fault {
	case NoFault:
		next.ServeHTTP(w, r)
	case LostCall:
		Reset(w)
	case LostAnswer:
		next.ServeHTTP(httptest.NewRecorder(), r)
		Reset(w)
	case Unsupported:
		http.Error(w, "no such call", http.StatusMethodNotAllowed)
	case ServerFault:
		next.ServeHTTP(httptest.NewRecorder(), r)
		http.Error(w, "internal error", http.StatusInternalServerError)
	case BadAnswer:
		next.ServeHTTP(httptest.NewRecorder(), r)
		_, _ = io.WriteString(w, `{"id":`)
	case Hang:
		_, _ = io.Copy(io.Discard, r.Body) // the client's disconnect is noticed only once the body was read
		<-r.Context().Done()
	}
}

// batch is the state of a batch. BatchBackend.mu guards it.
type batch struct {
	status     string
	inputFile  string // the id of the file of its lines
	outputFile string // the id of the file of answers with status 200; empty: none yet
	errorFile  string // the id of the file of the other answers; empty: none yet
	cancelling bool   // a cancellation has been requested
}

// batchLine is a line of an uploaded file.
type batchLine struct {
	CustomID string `json:"custom_id"`
	Body     struct {
		Messages []struct{ Content string } `json:"messages"`
	} `json:"body"`

	attempt int // the number of this attempt of the line, from 1
}

// key returns the line's request key in the counter.
func (l *batchLine) key() string { return l.Body.Messages[0].Content }

// NewBatchBackend starts a batch backend, which stops when the test ends.
func NewBatchBackend(t testing.TB, counter *AttemptCounter, run func(line string, attempt int) int) *BatchBackend {
	t.Helper()
	b := &BatchBackend{Counter: counter, Run: run, files: map[string]string{}, batches: map[string]*batch{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/files", b.upload)
	mux.HandleFunc("GET /v1/files/{id}/content", b.content)
	mux.HandleFunc("DELETE /v1/files/{id}", b.deleteFile)
	mux.HandleFunc("POST /v1/batches", b.create)
	mux.HandleFunc("GET /v1/batches", b.list)
	mux.HandleFunc("GET /v1/batches/{id}", b.get)
	mux.HandleFunc("POST /v1/batches/{id}/cancel", b.cancel)
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.serveFaulty(w, r, mux)
	}))
	b.Address = strings.TrimPrefix(b.server.URL, "http://")
	t.Cleanup(b.Stop)
	return b
}

// Stop stops the backend as if its process had been killed: nothing listens at its address any more, and the lines that
// have not begun are not run.
func (b *BatchBackend) Stop() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.server.CloseClientConnections()
	b.server.Close()
}

// Waiting returns the number of lines of the batches in progress that have not been run yet.
func (b *BatchBackend) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting
}

// Lines returns the number of lines that were run and the number that were skipped because of a cancellation.
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
	raw, _ := io.ReadAll(file) // the form keeps the file in memory: reading cannot fail
	b.mu.Lock()
	defer b.mu.Unlock()
	b.uploads++
	id := fmt.Sprintf("file-%d", b.uploads)
	b.files[id] = string(raw)
	fmt.Fprintf(w, `{"id":%q,"object":"file"}`, id)
}

func (b *BatchBackend) deleteFile(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := r.PathValue("id")
	if _, ok := b.files[id]; !ok {
		http.NotFound(w, r)
		return
	}
	delete(b.files, id)
	fmt.Fprintf(w, `{"id":%q,"object":"file","deleted":true}`, id)
}

func (b *BatchBackend) content(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = io.WriteString(w, b.files[r.PathValue("id")])
}

// create starts a batch that runs the lines of an uploaded file.
func (b *BatchBackend) create(w http.ResponseWriter, r *http.Request) {
	var request struct {
		File string `json:"input_file_id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request) // after an error File is empty, and there is no such file
	b.mu.Lock()
	defer b.mu.Unlock()
	content, ok := b.files[request.File]
	if !ok {
		http.Error(w, "no such file", http.StatusBadRequest)
		return
	}
	id := fmt.Sprintf("batch_%d", len(b.batches))
	created := &batch{status: batchInProgress, inputFile: request.File}
	b.batches[id] = created
	var lines []batchLine
	for text := range strings.Lines(content) {
		var line batchLine
		_ = json.Unmarshal([]byte(text), &line) // tests upload only well-formed lines
		line.attempt = b.Counter.Begin(line.key())
		lines = append(lines, line)
	}
	b.waiting += len(lines)
	go b.run(id, created, lines) // returns after the last line
	b.write(w, id, created)
}

// run runs the lines of a batch, stores its output and error files and sets its final status.
func (b *BatchBackend) run(id string, running *batch, lines []batchLine) {
	var output, errors strings.Builder
	for i := range lines {
		line := &lines[i]
		if !b.startLine(running) {
			b.Counter.End(line.key(), false)
			continue
		}
		status := b.Run(line.key(), line.attempt)
		b.Counter.End(line.key(), status == http.StatusOK)
		file := &output
		if status != http.StatusOK {
			file = &errors
		}
		fmt.Fprintf(file, `{"custom_id":%q,"response":{"status_code":%d,"body":{"model":"chat","choices":[{"message":`+
			`{"content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":1}}},"error":null}`+"\n",
			line.CustomID, status, "answer to "+line.key())
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
	if running.cancelling {
		running.status = batchCancelled
	}
}

// startLine counts the next line of a batch as run, or as skipped if a cancellation has been requested or the backend
// was stopped. It reports whether the line is to be run.
func (b *BatchBackend) startLine(running *batch) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	if running.cancelling || b.stopped {
		b.skipped++
		return false
	}
	b.executed++
	return true
}

// list responds with all batches on one page.
func (b *BatchBackend) list(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = io.WriteString(w, `{"object":"list","has_more":false,"data":[`)
	separator := ""
	for id, shown := range b.batches {
		_, _ = io.WriteString(w, separator)
		b.write(w, id, shown)
		separator = ","
	}
	_, _ = io.WriteString(w, `]}`)
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
		cancelled.cancelling = true
	}
	b.write(w, r.PathValue("id"), cancelled)
}

// write writes the current state of a batch as JSON. The caller holds b.mu.
func (b *BatchBackend) write(w io.Writer, id string, shown *batch) {
	fmt.Fprintf(w, `{"id":%q,"status":%q,"input_file_id":%q,"output_file_id":%q,"error_file_id":%q,"created_at":%d}`,
		id, shown.status, shown.inputFile, shown.outputFile, shown.errorFile, time.Now().Unix())
}
