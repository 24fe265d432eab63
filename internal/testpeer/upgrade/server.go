package upgrade

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"standpoint/internal/testpeer"
)

// Answer is what a request asks its backend for, as a part of the body.
type Answer struct {
	Delay  time.Duration `json:"delay"`  // until the first event
	Events int           `json:"events"` // number of events before the last ones
	Pause  time.Duration `json:"pause"`  // between two events
}

// Hang is how a backend hangs.
type Hang int

// How a backend hangs in the middle of its streams.
const (
	Running       Hang = iota
	BetweenEvents      // it writes nothing
	WithinEvent        // it writes a part of an event, and then nothing
	Comments           // it writes comments and empty lines, and no event
	Trickle            // it writes a byte of an event every 500 ms, and never its end
)

const (
	hangInterval    = 10 * time.Millisecond  // between two checks whether the backend still hangs
	trickleInterval = 500 * time.Millisecond // between two bytes or comments of a backend that hangs
)

// Server is a backend whose answers are long streams and which hangs on request. It is safe for concurrent use.
type Server struct {
	Address string

	mu       sync.Mutex // guards the fields below
	hang     Hang
	events   map[string][]time.Time // when it wrote each event, by trace ID
	attempts map[string]int         // by trace ID
}

// NewServer starts a backend, which runs until the test ends.
func NewServer(t testing.TB) *Server {
	s := &Server{events: map[string][]time.Time{}, attempts: map[string]int{}}
	s.Address = testpeer.StartBackend(t, s.answer)
	return s
}

// SetHang makes the backend hang, or run again.
func (s *Server) SetHang(hang Hang) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hang = hang
}

func (s *Server) hanging() Hang {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hang
}

// HasBegun reports whether the backend has written an event of a request's answer.
func (s *Server) HasBegun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events[id]) > 0
}

// LastEvent returns when the backend last wrote an event of a request's answer before a time; the zero time if it wrote
// none.
func (s *Server) LastEvent(id string, before time.Time) (last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.events[id] {
		if at.Before(before) {
			last = at
		}
	}
	return last
}

// Attempts returns how often a request has arrived.
func (s *Server) Attempts(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[id]
}

// answer is the handler of the backend.
func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	s.mu.Lock()
	s.attempts[id]++
	s.mu.Unlock()
	raw, _ := io.ReadAll(r.Body) // without the whole body, the zero answer is given
	var request struct{ Answer Answer }
	_ = json.Unmarshal(raw, &request) // as above
	stream := &serverStream{server: s, id: id, w: w, ended: r.Context().Done()}
	if !stream.sleep(request.Answer.Delay) {
		return
	}
	for range max(1, request.Answer.Events) {
		if !stream.event() || !stream.sleep(request.Answer.Pause) {
			return
		}
	}
	if stream.awaitRunning() {
		testpeer.WriteStreamEnd(w)
	}
}

// serverStream is one answer of a Server.
type serverStream struct {
	server *Server
	id     string
	w      http.ResponseWriter
	ended  <-chan struct{} // closed when the node has ended the connection
	begun  bool
}

// eventText is an event. A part of it is written before a hang within an event.
const eventText = `data: {"choices":[{"index":0,"delta":{"content":"word"},"finish_reason":null}]}` + "\n\n"

// event writes one event, once the backend runs. It returns false if the node has ended the connection.
func (s *serverStream) event() bool {
	rest := eventText
	if s.begun && s.server.hanging() == WithinEvent {
		s.write(rest[:len(rest)/2])
		rest = rest[len(rest)/2:]
	}
	if !s.awaitRunning() {
		return false
	}
	s.write(rest)
	s.begun = true
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.server.events[s.id] = append(s.server.events[s.id], time.Now())
	return true
}

// awaitRunning waits until the backend runs. It returns false if the node ends the connection before.
func (s *serverStream) awaitRunning() bool {
	for written := 0; ; written++ {
		switch s.server.hanging() {
		case Running:
			return true
		case Comments:
			if s.begun {
				s.write(": still here\n\n")
			}
		case Trickle:
			if s.begun {
				text := "data: "
				if written >= len(text) {
					text += " "
					written = len(text) - 1
				}
				s.write(text[written : written+1])
			}
		default:
			if !s.sleep(hangInterval) {
				return false
			}
			continue
		}
		if !s.sleep(trickleInterval) {
			return false
		}
	}
}

func (s *serverStream) write(text string) {
	s.w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(s.w, text) // fails only if the node has ended the connection
	s.w.(http.Flusher).Flush()
}

// sleep waits for a duration. It returns false if the node ends the connection before.
func (s *serverStream) sleep(duration time.Duration) bool {
	select {
	case <-s.ended:
		return false
	case <-time.After(duration):
		return true
	}
}
