// Package server drives the model of package emulator by sockets: each emulated box is a real server on loopback that speaks
// the platform's protocol for engines. It belongs to the laboratory: the daemon never imports it.
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
	bodyMost   = 256 << 10
	eventEvery = 4 // tokens in an event
	jobsMost   = 4096
	tokenChars = 4
	outMost    = 4096
)

// Server is one emulated box on a socket.
type Server struct {
	Name    string
	Address string

	mu      sync.Mutex
	box     *emulator.Box
	zero    time.Time
	timer   *time.Timer
	jobs    map[int64]chan emulator.Progress
	nextID  int64
	rng     *rand.Rand
	out     float64
	spread  float64
	http    *http.Server
	served  chan error
	open    map[net.Conn]struct{}
	seen    map[string]int // attempts of each trace id that are out
	doubles int
	taken   int
	firsts  []float64 // seconds to the first token, since they were last asked for
	spoiled map[string]float64
}

// Spoil has a share of the requests end in a failure of the wire: reset, silence, garbage or half.
func (s *Server) Spoil(how string, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.spoiled == nil {
		s.spoiled = map[string]float64{}
	}
	s.spoiled[how] = share
}

// fault draws what befalls a request; "" for nothing.
func (s *Server) fault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, how := range []string{"reset", "silence", "garbage", "half"} {
		if share := s.spoiled[how]; share > 0 && s.rng.Float64() < share {
			return how
		}
	}
	return ""
}

const firstsMost = 4096

// Firsts are the times to the first token of the answers that began since the last call, in seconds.
func (s *Server) Firsts() []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.firsts
	s.firsts = nil
	return all
}

// seedOfKeys makes the same text the same key in all boxes of a program.
var seedOfKeys = maphash.MakeSeed()

// Options of a server.
type Options struct {
	Name    string
	Listen  string // loopback
	Figures emulator.Figures
	Seed    uint64
	Cold    bool    // starts now; else long ago
	Out     float64 // tokens of an answer, on average; 0: 100
	Spread  float64 // sigma of their logarithm
}

// Start listens and serves.
func Start(o Options) (*Server, error) {
	host, _, err := net.SplitHostPort(o.Listen)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("box %s: %q is no loopback address", o.Name, o.Listen)
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("box %s: %w", o.Name, err)
	}
	s := &Server{Name: o.Name, Address: l.Addr().String(), zero: time.Now(), jobs: map[int64]chan emulator.Progress{},
		rng: rand.New(rand.NewPCG(o.Seed, 7)), out: o.Out, spread: o.Spread, served: make(chan error, 1),
		open: map[net.Conn]struct{}{}, seen: map[string]int{}}
	if s.out <= 0 {
		s.out = 100
	}
	started := emulator.LongAgo
	if o.Cold {
		started = 0
	}
	s.box = emulator.New(o.Figures, o.Seed, started)
	s.timer = time.AfterFunc(time.Hour, s.advance)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.chat)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second, ConnState: s.note}
	go func() { s.served <- s.http.Serve(l) }()
	return s, nil
}

// note follows the open connections, for a kill resets them.
func (s *Server) note(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if !s.box.Alive() {
			reset(c)
			return
		}
		s.open[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Close ends the box and its listener.
func (s *Server) Close() error {
	s.timer.Stop()
	err := s.http.Close()
	if served := <-s.served; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}

func (s *Server) now() float64 { return time.Since(s.zero).Seconds() }

// Do has something done to the model, such as a failure.
func (s *Server) Do(change func(b *emulator.Box, now float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catchUp()
	change(s.box, s.now())
	s.arm()
}

// Kill ends the process that the box stands for: its connections are reset, and new ones too.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(s.box.Kill())
}

// Restart brings it up anew, cold.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(s.box.Restart(s.now()))
}

func (s *Server) drop(ids []int64) {
	for _, id := range ids {
		if c := s.jobs[id]; c != nil {
			delete(s.jobs, id)
			close(c)
		}
	}
	for c := range s.open {
		reset(c)
	}
	clear(s.open)
}

// Doubles is how often two attempts of a request were out at once here, and taken how many came.
func (s *Server) Doubles() (doubles, taken int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doubles, s.taken
}

// Load is the box's present report.
func (s *Server) Load() emulator.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.box.Load(s.now())
}

// advance is called when a step ends.
func (s *Server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catchUp()
	s.arm()
}

// catchUp lets all steps end that are due, each at its own time: a late timer slows no box down.
func (s *Server) catchUp() {
	for now := s.now(); s.box.Next() <= now; {
		for _, p := range s.box.Advance(s.box.Next()) {
			if c := s.jobs[p.ID]; c != nil {
				select {
				case c <- p:
				default: // a reader that far behind has gone
				}
				if p.Done {
					delete(s.jobs, p.ID)
					close(c)
				}
			}
		}
	}
}

func (s *Server) arm() {
	next := s.box.Next()
	if math.IsInf(next, 1) {
		s.timer.Reset(time.Hour)
		return
	}
	s.timer.Reset(time.Duration((next - s.now()) * 1e9))
}

type chatBody struct {
	MaxTokens float64 `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func key(parts ...string) uint64 {
	var h maphash.Hash
	h.SetSeed(seedOfKeys)
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
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	var body chatBody
	if err != nil || json.Unmarshal(raw, &body) != nil || len(body.Messages) == 0 {
		http.Error(w, "the body cannot be used", http.StatusBadRequest)
		return
	}
	how := s.fault()
	switch how {
	case "reset":
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(c)
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
		j.Prompt += math.Ceil(float64(len(m.Content)) / tokenChars)
		if i == 0 && len(body.Messages) > 1 {
			j.Prefix, j.Shared = key(m.Content), j.Prompt
		}
		if i == 1 {
			j.Session = key(body.Messages[0].Content, m.Content)
		}
	}
	news, verdict := s.submit(id, &j, body.MaxTokens)
	switch verdict {
	case emulator.Full:
		w.Header().Set("X-Never-Ran", "1")
		s.load(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case emulator.Errored:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case emulator.Dead:
		panic(http.ErrAbortHandler)
	}
	defer s.leave(id, j.ID)
	s.stream(r.Context(), w, &j, news, how == "half")
}

func (s *Server) submit(trace string, j *emulator.Job, most float64) (<-chan emulator.Progress, emulator.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken++
	s.catchUp()
	s.nextID++
	j.ID = s.nextID
	out := s.out * math.Exp(s.spread*s.rng.NormFloat64()-s.spread*s.spread/2)
	if most > 0 {
		out = min(out, most)
	}
	j.Out = int(max(2, min(out, outMost)))
	if len(s.jobs) >= jobsMost {
		return nil, emulator.Full
	}
	v, fell := s.box.Submit(s.now(), *j)
	if fell {
		s.drop(s.box.Kill())
	}
	if v != emulator.Taken {
		return nil, v
	}
	if s.seen[trace]++; s.seen[trace] > 1 {
		s.doubles++
	}
	c := make(chan emulator.Progress, j.Out)
	s.jobs[j.ID] = c
	s.arm()
	return c, v
}

// leave lets a job go whose connection ended, or that is over.
func (s *Server) leave(trace string, id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[trace]--; s.seen[trace] <= 0 {
		delete(s.seen, trace)
	}
	if s.jobs[id] != nil {
		delete(s.jobs, id)
		s.catchUp()
		s.box.Cancel(id)
		s.arm()
	}
}

func (s *Server) began(after float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.firsts) < firstsMost {
		s.firsts = append(s.firsts, after)
	}
}

func (s *Server) load(h http.Header) {
	h.Set("Endpoint-Load-Metrics", s.report())
}

func (s *Server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.box.Load(s.now())
	return fmt.Sprintf("TEXT x0=%.3f, x1=%.3f, util=%.3f", l.Memory, l.Unread, l.Slots)
}

// stream passes the job's tokens on as they are made.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, j *emulator.Job, news <-chan emulator.Progress, half bool) {
	waiting, made, kept, came := 0, 0, 0.0, time.Now()
	flush := w.(http.Flusher).Flush
	var event bytes.Buffer
	write := func(finish string) {
		event.Reset()
		fmt.Fprintf(&event, `data: {"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":%s}]}`+"\n\n", strings.Repeat("word", waiting), finish)
		waiting = 0
		_, _ = w.Write(event.Bytes())
	}
	for {
		select {
		case <-ctx.Done():
			return
		case p, ok := <-news:
			if !ok && made < j.Out {
				panic(http.ErrAbortHandler) // the box died
			}
			if ok {
				made, waiting, kept = made+p.Tokens, waiting+p.Tokens, p.Kept
				if p.First {
					s.began(time.Since(came).Seconds())
					w.Header().Set("Content-Type", "text/event-stream")
				}
				if half && 2*made >= j.Out {
					panic(http.ErrAbortHandler)
				}
				if !p.Done {
					if p.First || waiting >= eventEvery {
						write("null")
						flush()
					}
					continue
				}
			}
			write(`"stop"`)
			fmt.Fprintf(w, `data: {"choices":[],"usage":{"prompt_tokens":%.0f,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%.0f}}}`+
				"\n\ndata: [DONE]\n\n: Endpoint-Load-Metrics: %s\n\n", j.Prompt, made, kept, s.report())
			flush()
			return
		}
	}
}
