// Package server runs the model of package emulator on sockets: each emulated backend is a real HTTP server on a
// loopback address that speaks the platform's protocol for engines. It is test equipment; the daemon never imports it.
package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"standpoint/internal/lab/emulator"
)

const (
	maxBodyBytes      = 256 << 10
	tokensPerEvent    = 4 // a stream event is written once so many tokens are unsent
	maxJobs           = 4096
	bytesPerToken     = 4 // by which prompt lengths are computed from the text
	maxResponseTokens = 4096
)

// Server is one emulated backend on a socket.
type Server struct {
	Name    string
	Address string // host:port

	mu                 sync.Mutex
	backend            *emulator.Backend
	startedAt          time.Time
	stepTimer          *time.Timer
	jobs               map[int64]chan emulator.Progress
	nextID             int64
	rng                *rand.Rand
	meanTokens         float64 // mean length of a response
	tokenSpread        float64 // standard deviation of the logarithm of that length
	http               *http.Server
	serveResult        chan error
	openConns          map[net.Conn]struct{}
	openAttempts       map[string]int     // attempts in flight, by trace id
	concurrentAttempts int                // attempts that came while another of the same request was in flight
	received           int                // attempts received
	firstTokenTimes    []float64          // what the next call of FirstTokenTimes returns
	wireFaults         map[string]float64 // share of requests affected, by fault
}

// SetWireFault sets the share of requests that end in a wire fault: reset, silence, garbage or half.
func (s *Server) SetWireFault(fault string, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wireFaults == nil {
		s.wireFaults = map[string]float64{}
	}
	s.wireFaults[fault] = share
}

// drawWireFault draws the wire fault of a request; "": none.
func (s *Server) drawWireFault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fault := range []string{"reset", "silence", "garbage", "half"} {
		if share := s.wireFaults[fault]; share > 0 && s.rng.Float64() < share {
			return fault
		}
	}
	return ""
}

// maxFirstTokenTimes bounds the first-token times stored between two calls of FirstTokenTimes.
const maxFirstTokenTimes = 4096

// FirstTokenTimes returns the times to the first token, in seconds, of the responses that began since the last call.
func (s *Server) FirstTokenTimes() []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := s.firstTokenTimes
	s.firstTokenTimes = nil
	return times
}

// cacheKeySeed makes equal texts have equal cache keys in all backends of a process.
var cacheKeySeed = maphash.MakeSeed()

// Options are the parameters of a server.
type Options struct {
	Name        string
	Listen      string // host:port on a loopback address
	Parameters  emulator.Parameters
	Seed        uint64
	Cold        bool    // true: the backend starts now and has to warm up
	MeanTokens  float64 // mean length of a response in tokens; 0: 100
	TokenSpread float64 // standard deviation of the logarithm of that length
}

// Start starts a server; it serves until Close.
func Start(o Options) (*Server, error) {
	host, _, err := net.SplitHostPort(o.Listen)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("box %s: listen address %q is no loopback address", o.Name, o.Listen)
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("box %s: %w", o.Name, err)
	}
	s := &Server{Name: o.Name, Address: l.Addr().String(), startedAt: time.Now(),
		jobs: map[int64]chan emulator.Progress{}, rng: rand.New(rand.NewPCG(o.Seed, 7)), meanTokens: o.MeanTokens,
		tokenSpread: o.TokenSpread, serveResult: make(chan error, 1), openConns: map[net.Conn]struct{}{},
		openAttempts: map[string]int{}}
	if s.meanTokens <= 0 {
		s.meanTokens = 100
	}
	started := emulator.LongAgo
	if o.Cold {
		started = 0
	}
	s.backend = emulator.New(o.Parameters, o.Seed, started)
	s.stepTimer = time.AfterFunc(time.Hour, s.onStepEnd)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.chat)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second,
		ConnState: s.trackConn}
	go func() { s.serveResult <- s.http.Serve(l) }()
	return s, nil
}

// trackConn records which connections are open, so that a kill can reset them.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if !s.backend.Alive() {
			reset(c)
			return
		}
		s.openConns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.openConns, c)
	}
}

// reset closes a connection with a TCP RST.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Close stops the backend and its listener.
func (s *Server) Close() error {
	s.stepTimer.Stop()
	err := s.http.Close()
	if served := <-s.serveResult; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}

// now returns the model's time: the seconds since the server was started.
func (s *Server) now() float64 { return time.Since(s.startedAt).Seconds() }

// Update applies a change, such as a failure, to the model at the current time.
func (s *Server) Update(change func(b *emulator.Backend, now float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeDueSteps()
	change(s.backend, s.now())
	s.scheduleStep()
}

// Kill emulates the end of the backend's process: it resets open connections, and from then on new ones.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropJobs(s.backend.Kill())
}

// Restart kills the backend and starts it again, cold.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropJobs(s.backend.Restart(s.now()))
}

// dropJobs ends the streams of the given jobs and resets all connections.
func (s *Server) dropJobs(ids []int64) {
	for _, id := range ids {
		if c := s.jobs[id]; c != nil {
			delete(s.jobs, id)
			close(c)
		}
	}
	for c := range s.openConns {
		reset(c)
	}
	clear(s.openConns)
}

// AttemptCounts returns how many attempts arrived while another of the same request was in flight here, and how many
// attempts arrived in all.
func (s *Server) AttemptCounts() (concurrent, received int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.concurrentAttempts, s.received
}

// Load returns the backend's load report.
func (s *Server) Load() emulator.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backend.Load(s.now())
}

// onStepEnd is the step timer's function: it completes the steps that are due and sets the timer for the next.
func (s *Server) onStepEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeDueSteps()
	s.scheduleStep()
}

// completeDueSteps completes all steps that are due, each at its own time, so that a late timer doesn't slow the
// backend down.
func (s *Server) completeDueSteps() {
	for now := s.now(); s.backend.NextStepEnd() <= now; {
		for _, p := range s.backend.Advance(s.backend.NextStepEnd()) {
			if c := s.jobs[p.ID]; c != nil {
				select {
				case c <- p:
				default: // drop the progress of a reader that is a whole response behind
				}
				if p.Done {
					delete(s.jobs, p.ID)
					close(c)
				}
			}
		}
	}
}

// scheduleStep sets the timer to the end of the current step.
func (s *Server) scheduleStep() {
	next := s.backend.NextStepEnd()
	if math.IsInf(next, 1) {
		s.stepTimer.Reset(time.Hour)
		return
	}
	s.stepTimer.Reset(time.Duration((next - s.now()) * 1e9))
}

type chatBody struct {
	MaxTokens float64 `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// cacheKey returns the hash of a text. Its lowest bit is set, as 0 stands for no key.
func cacheKey(parts ...string) uint64 {
	var h maphash.Hash
	h.SetSeed(cacheKeySeed)
	for _, p := range parts {
		h.WriteString(p)
		h.WriteByte(0)
	}
	return h.Sum64() | 1
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		http.Error(w, "no id", http.StatusNotFound)
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var body chatBody
	if err != nil || json.Unmarshal(raw, &body) != nil || len(body.Messages) == 0 {
		http.Error(w, "the body cannot be used", http.StatusBadRequest)
		return
	}
	fault := s.drawWireFault()
	switch fault {
	case "reset":
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(conn)
		}
		return
	case "silence":
		<-r.Context().Done()
		return
	case "garbage":
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("data: {\"choices\": [}\xff\x00\n\nno event\n\n"))
		return
	}
	j := emulator.Job{}
	for i, m := range body.Messages {
		j.Prompt += math.Ceil(float64(len(m.Content)) / bytesPerToken)
		if i == 0 && len(body.Messages) > 1 {
			j.Prefix, j.PrefixTokens = cacheKey(m.Content), j.Prompt
		}
		if i == 1 {
			j.Session = cacheKey(body.Messages[0].Content, m.Content)
		}
	}
	progress, verdict := s.submit(id, &j, body.MaxTokens)
	switch verdict {
	case emulator.Rejected:
		w.Header().Set("X-Never-Ran", "1")
		s.setLoadReport(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case emulator.Errored:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case emulator.Unreachable:
		panic(http.ErrAbortHandler)
	}
	defer s.finishJob(id, j.ID)
	s.stream(r.Context(), w, &j, progress, fault == "half")
}

// submit draws the length of the response and submits the job. The job's progress comes over the channel, which is
// closed when the job is complete or dropped.
func (s *Server) submit(trace string, j *emulator.Job, maxTokens float64) (<-chan emulator.Progress, emulator.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	s.completeDueSteps()
	s.nextID++
	j.ID = s.nextID
	tokens := s.meanTokens * math.Exp(s.tokenSpread*s.rng.NormFloat64()-s.tokenSpread*s.tokenSpread/2)
	if maxTokens > 0 {
		tokens = min(tokens, maxTokens)
	}
	j.OutputTokens = int(max(2, min(tokens, maxResponseTokens)))
	if len(s.jobs) >= maxJobs {
		return nil, emulator.Rejected
	}
	verdict, overloaded := s.backend.Submit(s.now(), *j)
	if overloaded {
		s.dropJobs(s.backend.Kill())
	}
	if verdict != emulator.Accepted {
		return nil, verdict
	}
	if s.openAttempts[trace]++; s.openAttempts[trace] > 1 {
		s.concurrentAttempts++
	}
	progress := make(chan emulator.Progress, j.OutputTokens)
	s.jobs[j.ID] = progress
	s.scheduleStep()
	return progress, verdict
}

// finishJob cleans up after a request: it cancels the job if its connection ended before the job did.
func (s *Server) finishJob(trace string, id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openAttempts[trace]--; s.openAttempts[trace] <= 0 {
		delete(s.openAttempts, trace)
	}
	if s.jobs[id] != nil {
		delete(s.jobs, id)
		s.completeDueSteps()
		s.backend.Cancel(id)
		s.scheduleStep()
	}
}

// recordFirstToken stores the seconds that a response took until its first token.
func (s *Server) recordFirstToken(elapsed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.firstTokenTimes) < maxFirstTokenTimes {
		s.firstTokenTimes = append(s.firstTokenTimes, elapsed)
	}
}

func (s *Server) setLoadReport(h http.Header) {
	h.Set("Endpoint-Load-Metrics", s.loadReport())
}

func (s *Server) loadReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.backend.Load(s.now())
	return fmt.Sprintf("TEXT x0=%.3f, x1=%.3f, util=%.3f", l.Memory, l.PendingPrompt, l.Slots)
}

// stream sends the job's tokens as they are generated. With breakHalfway it aborts the connection after half of them.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, j *emulator.Job, progress <-chan emulator.Progress,
	breakHalfway bool) {
	unsent, generated, cached, received := 0, 0, 0.0, time.Now()
	flush := w.(http.Flusher).Flush
	var event bytes.Buffer
	write := func(finishReason string) {
		event.Reset()
		fmt.Fprintf(&event, `data: {"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":%s}]}`+"\n\n",
			strings.Repeat("word", unsent), finishReason)
		unsent = 0
		_, _ = w.Write(event.Bytes())
	}
	for {
		select {
		case <-ctx.Done():
			return
		case p, ok := <-progress:
			if !ok && generated < j.OutputTokens {
				panic(http.ErrAbortHandler) // the backend was killed
			}
			if ok {
				generated, unsent, cached = generated+p.Tokens, unsent+p.Tokens, p.CachedTokens
				if p.First {
					s.recordFirstToken(time.Since(received).Seconds())
					w.Header().Set("Content-Type", "text/event-stream")
				}
				if breakHalfway && 2*generated >= j.OutputTokens {
					panic(http.ErrAbortHandler)
				}
				if !p.Done {
					if p.First || unsent >= tokensPerEvent {
						write("null")
						flush()
					}
					continue
				}
			}
			write(`"stop"`)
			fmt.Fprintf(w, `data: {"choices":[],"usage":{"prompt_tokens":%.0f,"completion_tokens":%d,`+
				`"prompt_tokens_details":{"cached_tokens":%.0f}}}`+
				"\n\ndata: [DONE]\n\n: Endpoint-Load-Metrics: %s\n\n", j.Prompt, generated, cached, s.loadReport())
			flush()
			return
		}
	}
}
