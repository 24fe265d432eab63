package node

import (
	"errors"
	"sync"
	"time"

	"standpoint"
)

// Work is what a request asks for, carried to a backend as it arrived. The Core never looks into it.
type Work struct {
	Method      string
	Target      string
	TraceID     string
	ContentType string
	Body        []byte
	MaxTokens   float64 // that the body allows for its answer; 0 if it does not say
}

// ClientConnection is the client's side of a request. Its methods are called by the attempt that has claimed the
// request, one at a time, and never after the request's answer.
type ClientConnection interface {
	// Begin begins the answer.
	Begin() error
	// Event forwards complete events of the answer at once.
	Event(events []byte) error
}

// DisconnectDetector is a ClientConnection that can tell whether its client has gone. It is asked before each attempt
// begins: the end of the connection may not have been noticed yet.
type DisconnectDetector interface {
	// Disconnected does not block.
	Disconnected() bool
}

// Detacher is a ClientConnection that another process can continue.
type Detacher interface {
	// Detach gives the client's connection up: the returned descriptor belongs to the caller.
	Detach() (descriptor int, err error)
}

// Reasons for which an attempt is given up; the last two may come after its first event.
var (
	ErrNoAnswer   = errors.New("no answer in time")
	ErrCancelled  = errors.New("called off")
	ErrClientGone = errors.New("the client has gone")
	ErrHandedBack = errors.New("handed back to the client, to go on elsewhere")
)

// Reasons for which an attempt that was decided on does not begin: the state may have changed before it reached the
// socket.
var (
	ErrBackendDraining = errors.New("the backend is to get nothing new")
	ErrTooLate         = errors.New("the time in which repeats are dropped is over")
	ErrRequestOver     = errors.New("the request is over")
)

// Request is a request that was accepted, and is owed one final answer.
type Request struct {
	Spec standpoint.Request
	Work Work
	// Hook sees the answer; nil if there is none.
	Hook Hook
	// UncachedTokens are the prompt tokens that are charged, if an earlier part of the session was charged for the
	// others; 0 stands for all.
	UncachedTokens float64
	// CacheHolder is the backend that is known to have HeldTokens of the prompt cached, in its process that started
	// at HolderStartedAt; empty if none is.
	CacheHolder     string
	HolderStartedAt int64
	HeldTokens      float64

	client ClientConnection
	done   chan Answer   // receives the final answer, without blocking
	idle   chan struct{} // see Idle

	// These belong to the goroutine of Core.Run.
	arrived  time.Time
	attempts []*Attempt

	mu      sync.Mutex // guards the rest, and the fields of Attempt that say so
	settled bool       // the final answer is decided
	claimed *Attempt   // the attempt whose answer is forwarded
}

// NewRequest creates a request that is answered over client.
func NewRequest(spec standpoint.Request, work Work, client ClientConnection) *Request {
	return &Request{
		Spec:   spec,
		Work:   work,
		client: client,
		done:   make(chan Answer, 1),
		idle:   make(chan struct{}),
	}
}

// Idle is closed once the request is settled and none of its attempts is in flight. A caller that retries the same
// work after it cannot have two attempts in flight.
func (r *Request) Idle() <-chan struct{} { return r.idle }

// Server is the backend whose answer is forwarded; empty before one is.
func (r *Request) Server() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimed == nil {
		return ""
	}
	return r.claimed.Backend
}

// BreakOff ends the answer where it stands, if something of it has been forwarded.
func (r *Request) BreakOff() { r.breakOff(ErrHandedBack) }

// settle decides the final answer, unless it is decided or an attempt has claimed the request.
func (r *Request) settle(answer Answer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.settled || r.claimed != nil {
		return false
	}
	r.settled = true
	r.done <- answer
	return true
}

func (r *Request) isSettled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled
}

// hasAttemptInFlight is called by the goroutine of Core.Run.
func (r *Request) hasAttemptInFlight() bool {
	for _, attempt := range r.attempts {
		if attempt.inFlight {
			return true
		}
	}
	return false
}

// disconnect is called when the client has gone. It reports whether that settled the request. The attempt of a
// claimed request is stopped instead; its end settles the request.
func (r *Request) disconnect() bool {
	if r.settle(Answer{Kind: ClientGone}) {
		return true
	}
	r.breakOff(ErrClientGone)
	return false
}

// clientGone reports whether the client has gone, and settles the request if so.
func (r *Request) clientGone() bool {
	client, ok := r.client.(DisconnectDetector)
	if !ok || !client.Disconnected() {
		return false
	}
	r.disconnect()
	return true
}

// breakOff stops the attempt that has claimed the request, if one has.
func (r *Request) breakOff(reason error) {
	r.mu.Lock()
	attempt := r.claimed
	r.mu.Unlock()
	if attempt != nil {
		attempt.breakOff(reason)
	}
}

// handBack settles the request with the answer, if there is one, or, with begun, breaks off the attempt that has
// claimed it, and reports whether the request was settled. Which of the two happens is decided at once: an attempt
// that claims the request meanwhile either came first, and is broken off, or comes later, and finds the request
// settled.
func (r *Request) handBack(answer *Answer, begun bool) (settled bool) {
	r.mu.Lock()
	attempt := r.claimed
	if attempt == nil && answer != nil && !r.settled {
		r.settled = true
		settled = true
		r.done <- *answer
	}
	r.mu.Unlock()
	if attempt != nil && begun {
		attempt.breakOff(ErrHandedBack)
	}
	return settled
}
