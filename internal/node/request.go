package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"standpoint"
)

// Work is what a request asks for, carried to a backend as it came. The core never looks inside.
type Work struct {
	Method, Target, TraceID, ContentType string
	Body                                 []byte
	MaxTokens                            float64 // the most that the body allows for its answer; 0: it does not say
}

// ClientConnection is the client's side of a request. Its methods are called by the attempt that claimed the
// request, one at a time, and never after the request's answer is out.
type ClientConnection interface {
	Begin() error         // the answer begins
	Event(b []byte) error // whole events of the answer, to be passed on at once
}

// HookAction is what follows events that a hook has seen.
type HookAction uint8

// What may follow.
const (
	HookContinue HookAction = iota // the rest
	HookStop                       // nothing more of the decoding, and what Stopped returns
	HookBreak                      // nothing: the answer is broken off
)

// Hook looks at the answer of one request as it is passed on. Event and Stopped are called by the attempt that has claimed the request,
// one at a time; Over once, behind all of them, by whoever serves it.
type Hook interface {
	// Event sees whole events; what it returns is passed on in their place.
	Event(b []byte) (pass []byte, then HookAction)
	// Stopped is called once the decoding has ended where Event had it stop; what it returns ends the answer.
	Stopped() (last []byte, usage Usage)
	// Finished tells the request's final answer.
	Finished(a Answer)
}

// ErrStopped is an attempt's whose answer ends where its hook had it stop; ErrBroken, where that had it broken off.
var (
	ErrStopped = errors.New("the decoding ends here")
	ErrBroken  = errors.New("the answer is broken off here")
)

// DisconnectDetector is a client connection that can be asked whether its client has left. It is asked before each attempt begins: that nobody has
// told of it yet does not mean that the client is there.
type DisconnectDetector interface {
	// Disconnected must not wait.
	Disconnected() bool
}

// AnswerKind says how a request ended for its client.
type AnswerKind uint8

// How a request may end for its client.
const (
	Served     AnswerKind = iota // whole, passed on
	Broken                       // begun and broken off
	Rejected                     // refused: trying again is harmless
	Failed                       // no promise is made of its effect
	ClientGone                   // nobody is there to answer
	Moved                        // begun, and left with its connection to another process of this node
	Invalid                      // by a backend, for what the request itself is: no other would take it
)

// Answer is a request's one final answer. Wait, if not 0, is when a rejected client should come back; Status is the
// backend's, of an invalid one. Unsent tells that no attempt was ever made.
type Answer struct {
	Kind   AnswerKind
	Wait   time.Duration
	Status int
	Unsent bool
	Usage  Usage
}

// Usage is what an answer took of a backend, as far as known.
type Usage struct {
	Known                      bool    // the server told it
	Begun                      bool    // something of the answer was passed on
	Paused                     bool    // it was ended at a call
	CachedTokens, OutputTokens float64 // tokens of the prompt that it held, and of the answer
}

// Reasons for which an attempt is given up; the last two may come after its first event.
var (
	ErrNoAnswer   = errors.New("no answer in time")
	ErrCancelled  = errors.New("called off")
	ErrClientGone = errors.New("the client has gone")
	ErrHandedBack = errors.New("handed back to the client, to go on elsewhere")
)

// Reasons for which an attempt that was decided on is not begun. What was true then may have changed on the way to the socket.
var (
	ErrBackendDraining = errors.New("the backend is to get nothing new")
	ErrTooLate         = errors.New("the time in which repeats are dropped is over")
	ErrRequestOver     = errors.New("the request is over")
)

// Request is one request taken on, which is owed one final answer.
type Request struct {
	Spec standpoint.Request
	Work Work
	// Hook, if not nil, looks at the answer.
	Hook Hook
	// UncachedTokens, if not 0, are the tokens of the prompt that are charged: the others were, with an earlier part of the session.
	UncachedTokens float64
	// CacheHolder is the backend's process that is taken to hold so many tokens of the prompt, as somebody else knows; "": nobody.
	CacheHolder     string
	HolderStartedAt int64
	HeldTokens      float64

	client ClientConnection
	done   chan Answer // holds one: the final answer
	idle   chan struct{}

	mu       sync.Mutex
	arrived  time.Time // the core's alone
	settled  bool      // the final answer is decided
	claimed  *Attempt
	attempts []*Attempt // the core's alone
}

// NewRequest makes a request that is to be answered over edge.
func NewRequest(request standpoint.Request, work Work, edge ClientConnection) *Request {
	return &Request{Spec: request, Work: work, client: edge, done: make(chan Answer, 1),
		idle: make(chan struct{})}
}

// Idle is closed once the request is over and none of its attempts is out any more. It tells a caller that may
// ask for the same thing again that it cannot have two attempts out.
func (f *Request) Idle() <-chan struct{} { return f.idle }

// settle decides the final answer unless it is decided, or an attempt has claimed the request.
func (f *Request) settle(a Answer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settled || f.claimed != nil {
		return false
	}
	f.settled = true
	f.done <- a
	return true
}

func (f *Request) isSettled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settled
}

// disconnect is called when the client has gone. A claimed request's attempt is stopped; its end settles the request.
func (f *Request) disconnect() bool {
	if f.settle(Answer{Kind: ClientGone}) {
		return true
	}
	f.breakOff(ErrClientGone)
	return false
}

// clientGone asks whether the client has left, and settles the request if so.
func (f *Request) clientGone() bool {
	client, ok := f.client.(DisconnectDetector)
	if !ok || !client.Disconnected() {
		return false
	}
	f.disconnect()
	return true
}

// breakOff stops the attempt that has claimed the request, if one has. One that is handed back first takes what its server
// has sent already: that may be the end of its stream.
func (f *Request) breakOff(why error) {
	f.mu.Lock()
	a := f.claimed
	f.mu.Unlock()
	if a != nil {
		a.breakOff(why)
	}
}

// handBack settles the request with an answer, if there is one, or, where begun is set, breaks off the attempt that has claimed it.
// Which of the two is decided in one step: an attempt that claims the request meanwhile came before, and is broken off, or comes
// behind, and finds the request over. It returns whether the request was settled.
func (f *Request) handBack(answer *Answer, begun bool) (settled bool) {
	f.mu.Lock()
	a := f.claimed
	if a == nil && answer != nil && !f.settled {
		f.settled, settled = true, true
		f.done <- *answer
	}
	f.mu.Unlock()
	if a != nil && begun {
		a.breakOff(ErrHandedBack)
	}
	return settled
}

// Attempt is one try of a request at a backend. A backend's actor calls Context, First, Event and End.
type Attempt struct {
	Request *Request
	Number  int
	Backend string
	Until   time.Time
	Sent    time.Time
	// BeginBy is the moment from which the attempt may not begin any more; zero: none.
	BeginBy time.Time
	// BackendDraining, if not nil, tells that its server may get nothing new. The actors of the backends set it before the attempt
	// is on its way.
	BackendDraining func() bool
	// ClientResumes tells that the client, should the stream break, asks for the rest of it.
	ClientResumes bool

	ctx       context.Context
	stop      context.CancelCauseFunc
	timer     *time.Timer
	post      func(any)
	inFlight  bool          // the core's alone: no outcome yet
	first     time.Duration // likewise: from the sending to the first event; 0: none yet
	givenUp   bool          // under the request's lock: given up
	endStream func() bool   // likewise: ends the stream once what has come of it is passed on; nil: by its context alone
}

func (a *Attempt) breakOff(why error) {
	a.Request.mu.Lock()
	leave := a.endStream
	a.Request.mu.Unlock()
	if !errors.Is(why, ErrHandedBack) || leave == nil || !leave() {
		a.stop(why)
	}
}

// OnHandBack sets what has the attempt's stream end, once it is handed back, behind all that its server has sent by then.
// leave must not wait; false: it cannot, and the attempt's context ends.
func (a *Attempt) OnHandBack(leave func() bool) {
	a.Request.mu.Lock()
	defer a.Request.mu.Unlock()
	a.endStream = leave
}

// MinClientStall is from when on a client counts as slow to take an event; less may be this machine's own delay.
const MinClientStall = 100 * time.Millisecond

// Result is how an attempt ended, as the backend's actor saw it.
type Result struct {
	Code         standpoint.Code
	CachedTokens float64
	OutputTokens float64 // of the answer; 0: not told
	Report       *standpoint.Report
	// ClientStall is for how long in all the client kept the stream waiting; 0: it took events as they came.
	ClientStall time.Duration
	// InvalidStatus, if not 0, is the status by which the server found the request itself wrong. It speaks against the
	// request alone, whatever the code, and is the request's answer.
	InvalidStatus int
	// Local tells that the attempt failed for a shortage of this machine: it says nothing of the server.
	Local bool
	// Moved tells that another process goes on with the stream.
	Moved bool
	// Complete tells that the answer is whole though the server did not end it: its decoding was ended here.
	Complete bool
}

// MayBegin tells whether the attempt may still begin: nil, or why not. It is asked as its first byte is about to be written,
// for a server may be told to leave, a client go, and a window close, while a connection comes up.
func (a *Attempt) MayBegin() error {
	switch {
	case a.ctx.Err() != nil:
		return context.Cause(a.ctx)
	case a.Request.isSettled():
		return ErrRequestOver
	case a.BackendDraining != nil && a.BackendDraining():
		return ErrBackendDraining
	case a.Request.clientGone():
		return ErrClientGone
	case !a.BeginBy.IsZero() && !time.Now().Before(a.BeginBy):
		return ErrTooLate
	}
	return nil
}

// Context ends when the attempt is given up; its cause is one of the reasons above.
func (a *Attempt) Context() context.Context { return a.ctx }

// giveUp stops waiting. It does nothing to an attempt that has claimed its request: from the first event on
// the answer belongs to the client and no deadline runs.
func (a *Attempt) giveUp(why error) {
	a.Request.mu.Lock()
	claimed := a.Request.claimed == a
	a.givenUp = a.givenUp || !claimed
	a.Request.mu.Unlock()
	if !claimed {
		a.stop(why)
	}
}

// Claim claims the request for this attempt at its first event. False: the request is over or the attempt was
// given up, and nothing of it may reach the client.
func (a *Attempt) Claim() bool {
	f := a.Request
	f.mu.Lock()
	ok := !f.settled && f.claimed == nil && !a.givenUp
	if ok {
		f.claimed = a
	}
	f.mu.Unlock()
	if !ok {
		return false
	}
	a.timer.Stop()
	a.post(firstEventReceived{a, time.Since(a.Sent)})
	return f.client.Begin() == nil
}

// Forward passes whole events on to the client, as the request's hook has it.
func (a *Attempt) Forward(b []byte) error {
	f := a.Request
	if f.Hook == nil {
		return f.client.Event(b)
	}
	b, then := f.Hook.Event(b)
	if then == HookBreak {
		return ErrBroken
	}
	if len(b) > 0 {
		if err := f.client.Event(b); err != nil {
			return err
		}
	}
	if then == HookStop {
		return ErrStopped
	}
	return nil
}

// ForwardStopped passes on what ends an answer whose decoding has ended where its hook had it stop. It is called once nothing of the
// attempt is out any more.
func (a *Attempt) ForwardStopped() Result {
	last, usage := a.Request.Hook.Stopped()
	if err := a.Request.client.Event(last); err != nil {
		return Result{Code: standpoint.Cancelled}
	}
	return Result{Code: standpoint.Cancelled, Complete: true, OutputTokens: usage.OutputTokens}
}

// BreakOff ends the answer where it stands, if something of it has been passed on.
func (f *Request) BreakOff() { f.breakOff(ErrHandedBack) }

// Server is the backend whose answer is passed on; "" before any is.
func (f *Request) Server() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.claimed == nil {
		return ""
	}
	return f.claimed.Backend
}

// Detacher is a client connection that another process can go on with.
type Detacher interface {
	// Detach takes the client's connection out of this process's hands: the descriptor is the caller's from then on.
	Detach() (int, error)
}

// Detach takes the client's connection out of this process's hands, where it can be.
func (a *Attempt) Detach() (int, error) {
	if d, ok := a.Request.client.(Detacher); ok {
		return d.Detach()
	}
	return 0, errors.New("a client whose connection cannot move")
}

// Finish tells how the attempt ended. Where it had claimed the request, that is the request's final answer too.
// It is called last, when nothing of the attempt is out on an open connection any more.
func (a *Attempt) Finish(r Result) {
	a.timer.Stop()
	a.stop(nil)
	f := a.Request
	f.mu.Lock()
	if f.claimed == a && !f.settled {
		f.settled = true
		kind := Broken
		switch {
		case r.Moved:
			kind = Moved
		case r.Code == standpoint.Served, r.Complete:
			kind = Served
		}
		f.done <- Answer{Kind: kind, Usage: Usage{Known: r.OutputTokens > 0 || r.Complete, Begun: true, Paused: r.Complete, CachedTokens: r.CachedTokens, OutputTokens: r.OutputTokens}}
	}
	if r.InvalidStatus != 0 && f.claimed == nil && !f.settled {
		f.settled = true
		f.done <- Answer{Kind: Invalid, Status: r.InvalidStatus}
	}
	f.mu.Unlock()
	a.post(attemptFinished{a, r, time.Since(a.Sent)})
}
