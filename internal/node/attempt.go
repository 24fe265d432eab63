package node

import (
	"context"
	"errors"
	"time"

	"standpoint"
)

// MinClientStall is the time from which a client counts as slow to take an event; less may be this machine's own delay.
const MinClientStall = 100 * time.Millisecond

// Attempt is one attempt of a request at a backend. The backend calls Context, MayBegin, Claim, Forward and Finish,
// each from one goroutine at a time.
type Attempt struct {
	Request *Request
	Number  int // 0 for the first
	Backend string
	Sent    time.Time
	Until   time.Time // its deadline, up to the first event
	// BeginBy is the time from which the attempt may not begin any more; zero if there is none.
	BeginBy time.Time
	// BackendDraining reports whether the backend may get nothing new. The backends set it before the attempt starts;
	// it may be nil.
	BackendDraining func() bool
	// ClientResumes tells that the client requests the rest of a stream that breaks.
	ClientResumes bool

	ctx   context.Context
	stop  context.CancelCauseFunc
	timer *time.Timer
	post  func(message)

	// These belong to the goroutine of Core.Run.
	inFlight   bool          // its end was not reported yet
	firstEvent time.Duration // from Sent to its first event; 0 if there was none yet

	// These are guarded by Request.mu.
	givenUp   bool
	endStream func() bool // see OnHandBack; nil if the stream ends by its context alone
}

// Result is how an attempt ended, as the backend saw it.
type Result struct {
	Code         standpoint.OutcomeCode
	CachedTokens float64 // of the prompt
	OutputTokens float64 // 0 if the answer's length is not known
	Report       *standpoint.Report
	// ClientStall is how long the client kept the stream waiting in all; 0 if it took the events as they came.
	ClientStall time.Duration
	// InvalidStatus is the status by which the backend found fault with the request itself; 0 if it did not. It says
	// nothing of the backend, whatever the code, and is the request's answer.
	InvalidStatus int
	// Local tells that the attempt failed for a shortage of this machine: it says nothing of the backend.
	Local bool
	// Moved tells that another process continues the stream.
	Moved bool
	// Complete tells that the answer is complete though the backend did not end it: its decoding was ended here.
	Complete bool
}

// Context ends when the attempt is given up; its cause is one of the reasons for it, such as ErrNoAnswer.
func (a *Attempt) Context() context.Context { return a.ctx }

// MayBegin returns nil if the attempt may still begin, or the reason why not. It has to be called as the first byte
// is about to be written: while a connection comes up the backend may begin to drain, the client may go, and the
// window for repeats may close.
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

// Claim claims the request for this attempt at its first event. If it is false, the request is settled or the attempt
// was given up, and nothing of it may reach the client.
func (a *Attempt) Claim() bool {
	request := a.Request
	request.mu.Lock()
	claimed := !request.settled && request.claimed == nil && !a.givenUp
	if claimed {
		request.claimed = a
	}
	request.mu.Unlock()
	if !claimed {
		return false
	}
	a.timer.Stop()
	a.post(firstEventReceived{attempt: a, elapsed: time.Since(a.Sent)})
	return request.client.Begin() == nil
}

// Forward forwards complete events to the client, through the request's hook if there is one. The error is ErrStopped
// or ErrBroken if the hook ends the answer.
func (a *Attempt) Forward(events []byte) error {
	request := a.Request
	if request.Hook == nil {
		return request.client.Event(events)
	}
	events, action := request.Hook.Event(events)
	if action == HookBreak {
		return ErrBroken
	}
	if len(events) > 0 {
		if err := request.client.Event(events); err != nil {
			return err
		}
	}
	if action == HookStop {
		return ErrStopped
	}
	return nil
}

// ForwardStopped forwards the end of an answer whose decoding the hook has stopped. It is called once the attempt
// uses its connection no more.
func (a *Attempt) ForwardStopped() Result {
	last, usage := a.Request.Hook.Stopped()
	if err := a.Request.client.Event(last); err != nil {
		return Result{Code: standpoint.Cancelled}
	}
	return Result{Code: standpoint.Cancelled, Complete: true, OutputTokens: usage.OutputTokens}
}

// Detach gives the client's connection up for another process, if it can be: the returned descriptor belongs to the
// caller.
func (a *Attempt) Detach() (descriptor int, err error) {
	if client, ok := a.Request.client.(Detacher); ok {
		return client.Detach()
	}
	return 0, errors.New("a client whose connection cannot move")
}

// OnHandBack sets how the attempt's stream ends when it is handed back: after all that the backend has sent by then.
// endStream must not block; if it is false, it could not, and the attempt's context ends.
func (a *Attempt) OnHandBack(endStream func() bool) {
	a.Request.mu.Lock()
	defer a.Request.mu.Unlock()
	a.endStream = endStream
}

// Finish reports how the attempt ended. If it has claimed the request, that is the request's final answer too. It is
// the last call for an attempt, when it uses its connection no more.
func (a *Attempt) Finish(result Result) {
	a.timer.Stop()
	a.stop(nil)
	a.Request.settleByAttempt(a, result)
	a.post(attemptFinished{attempt: a, result: result, elapsed: time.Since(a.Sent)})
}

// settleByAttempt settles the request if the attempt has claimed it, or if its backend found fault with the request
// itself.
func (r *Request) settleByAttempt(a *Attempt, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.settled {
		return
	}
	switch {
	case r.claimed == a:
		r.settled = true
		r.done <- claimedAnswer(result)
	case r.claimed == nil && result.InvalidStatus != 0:
		r.settled = true
		r.done <- Answer{Kind: Invalid, Status: result.InvalidStatus}
	}
}

// claimedAnswer is the answer of a request whose claiming attempt ended so.
func claimedAnswer(result Result) Answer {
	answer := Answer{
		Kind: Broken,
		Usage: Usage{
			Known:        result.OutputTokens > 0 || result.Complete,
			Begun:        true,
			Paused:       result.Complete,
			CachedTokens: result.CachedTokens,
			OutputTokens: result.OutputTokens,
		},
	}
	switch {
	case result.Moved:
		answer.Kind = Moved
	case result.Code == standpoint.Served, result.Complete:
		answer.Kind = Served
	}
	return answer
}

// giveUp ends the attempt, unless it has claimed its request: from the first event on the answer belongs to the
// client, and no deadline applies.
func (a *Attempt) giveUp(reason error) {
	a.Request.mu.Lock()
	claimed := a.Request.claimed == a
	a.givenUp = a.givenUp || !claimed
	a.Request.mu.Unlock()
	if !claimed {
		a.stop(reason)
	}
}

// breakOff ends an attempt that has claimed its request. One that is handed back first takes what its backend has
// sent already: that may be the end of its stream.
func (a *Attempt) breakOff(reason error) {
	a.Request.mu.Lock()
	endStream := a.endStream
	a.Request.mu.Unlock()
	if !errors.Is(reason, ErrHandedBack) || endStream == nil || !endStream() {
		a.stop(reason)
	}
}
