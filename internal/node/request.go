package node

import (
	"errors"
	"sync"
	"time"

	"standpoint"
)

// Work is the content of a request, which is forwarded to a backend unchanged. The Core does not inspect it.
type Work struct {
	Method      string
	Target      string
	TraceID     string
	ContentType string
	Body        []byte
	MaxTokens   float64 // output tokens that the body allows; 0 if it states no limit
}

// ClientConnection writes the answer of a request to its client. Only the attempt that has claimed the request calls
// its methods, one at a time, and never after the request was settled.
type ClientConnection interface {
	// Begin begins the answer.
	Begin() error
	// Event forwards complete events of the answer without buffering them.
	Event(events []byte) error
}

// DisconnectDetector is a ClientConnection that can check whether its client has disconnected. It is checked before
// each attempt starts, since the server may not have noticed the end of the connection yet.
type DisconnectDetector interface {
	// Disconnected reports whether the client has disconnected. It does not block.
	Disconnected() bool
}

// Detacher is a ClientConnection that another process can continue.
type Detacher interface {
	// Duplicate returns a file descriptor of the client's connection, which the caller owns, or an error if no other
	// process can continue the answer. The connection can still be used.
	Duplicate() (descriptor int, err error)
	// Detach gives up the client's connection to the process that has got the descriptor.
	Detach() error
}

// Reasons for which an attempt is cancelled. ErrClientDisconnected and ErrHandedBack may also end it after its first
// event.
var (
	ErrNoFirstEvent       = errors.New("no first event before the attempt deadline")
	ErrCancelled          = errors.New("attempt cancelled")
	ErrClientDisconnected = errors.New("client disconnected")
	ErrHandedBack         = errors.New("request handed back to the client for another node")
)

// Reasons for which an attempt does not start after the decision module has decided on it: the state may change between
// the decision and the first byte.
var (
	ErrBackendDraining         = errors.New("backend is draining")
	ErrIdempotencyWindowClosed = errors.New("idempotency window has closed")
	ErrRequestSettled          = errors.New("request is already settled")
)

// Request is an accepted request, which gets exactly one final answer.
type Request struct {
	Spec standpoint.Request
	Work Work
	// Hook inspects the answer; it may be nil.
	Hook Hook
	// UncachedTokens is the number of prompt tokens to charge for, if an earlier part of the session was charged for
	// the others; 0 stands for the whole prompt.
	UncachedTokens float64
	// CachedBackend is the backend that is known to have cached CachedTokens of the prompt, in its process that started
	// at CachedBackendStartedAt (module time); empty if none is known.
	CachedBackend          string
	CachedBackendStartedAt int64
	CachedTokens           float64

	// Journal records the files at batch backends that contain the request; nil if no other process would recover it.
	Journal Journal

	connection ClientConnection
	recovered  bool          // an earlier process has sent it, as Core.Recover describes
	done       chan Answer   // gets the one final answer; its buffer of one keeps the sender from blocking
	idle       chan struct{} // closed as Idle describes

	// Only the goroutine of Core.Run uses these, and Unresolved once idle is closed.
	arrivedAt  time.Time
	attempts   []*Attempt
	unresolved bool // an attempt ended as Result.Unresolved describes

	mu      sync.Mutex // guards the fields below, and cancelled and endStream of the request's attempts
	settled bool       // the final answer has been decided
	claimed *Attempt   // the attempt whose answer is forwarded; nil if there is none yet
}

// NewRequest creates a request whose answer is written to client.
func NewRequest(spec standpoint.Request, work Work, client ClientConnection) *Request {
	return &Request{
		Spec:       spec,
		Work:       work,
		connection: client,
		done:       make(chan Answer, 1),
		idle:       make(chan struct{}),
	}
}

// Idle returns a channel that is closed once the request is settled and none of its attempts is in flight. A caller
// that retries the same work only then, and only if the request is not Unresolved, never has two attempts in flight.
func (r *Request) Idle() <-chan struct{} { return r.idle }

// Unresolved reports whether an attempt of the request may still be running although none is known to be in flight. It
// must be called only once the channel of Idle is closed. A caller must not retry the same work then.
func (r *Request) Unresolved() bool { return r.unresolved }

// Backend returns the name of the backend whose answer is forwarded; empty if there is none yet.
func (r *Request) Backend() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimed == nil {
		return ""
	}
	return r.claimed.Backend
}

// Interrupt ends the answer at its current position if an attempt has begun it.
func (r *Request) Interrupt() { r.interruptClaimed(ErrHandedBack) }

// settle decides the final answer and reports whether it did so. It does nothing if the request is settled already or
// an attempt has claimed it.
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

// endUnsubmitted ends a request that was answered without being submitted to the goroutine of Core.Run, which therefore
// does not close idle.
func (r *Request) endUnsubmitted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled = true
	close(r.idle)
}

func (r *Request) isSettled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled
}

// hasAttemptInFlight reports whether an attempt is in flight. Only the goroutine of Core.Run may call it.
func (r *Request) hasAttemptInFlight() bool {
	for _, attempt := range r.attempts {
		if attempt.inFlight {
			return true
		}
	}
	return false
}

// disconnect settles the request because its client has disconnected, and reports whether it did so. The attempt of a
// claimed request is interrupted instead, and settles the request as it ends.
func (r *Request) disconnect() bool {
	if r.settle(Answer{Kind: ClientDisconnected}) {
		return true
	}
	r.interruptClaimed(ErrClientDisconnected)
	return false
}

// settleIfDisconnected reports whether the client has disconnected. If it has, the request is settled, or the attempt
// that has claimed it is interrupted.
func (r *Request) settleIfDisconnected() bool {
	client, ok := r.connection.(DisconnectDetector)
	if !ok || !client.Disconnected() {
		return false
	}
	r.disconnect()
	return true
}

// interruptClaimed interrupts the attempt that has claimed the request, if there is one.
func (r *Request) interruptClaimed(reason error) {
	r.mu.Lock()
	attempt := r.claimed
	r.mu.Unlock()
	if attempt != nil {
		attempt.interrupt(reason)
	}
}

// handBack settles the request with the answer unless that is nil or an attempt has claimed the request, and reports
// whether it did so. With begun set, it interrupts an attempt that has claimed the request. The choice is made under
// the lock: an attempt that claims the request concurrently either came first, and is interrupted, or comes later, and
// finds the request settled.
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
		attempt.interrupt(ErrHandedBack)
	}
	return settled
}
