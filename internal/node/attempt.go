package node

import (
	"context"
	"errors"
	"time"

	"standpoint"
)

// MinClientStall is the shortest write to a client that counts as a stall of the client. A shorter one may be a delay
// of this machine.
const MinClientStall = 100 * time.Millisecond

// Attempt is one attempt of a request at a backend. The backend calls Context, CheckStart, Claim, Forward and Finish,
// each from one goroutine at a time.
type Attempt struct {
	Request  *Request
	Number   int // 0 for the first
	Backend  string
	Sent     time.Time
	Deadline time.Time // deadline for the first event
	// StartBefore is the time before which the first byte must be written; zero if there is no limit.
	StartBefore time.Time
	// IsBackendDraining reports whether the backend drains and may get no new attempts. The Backends set it before the
	// attempt starts; it may be nil.
	IsBackendDraining func() bool
	// ClientResumes is true if clients request the rest of an interrupted stream.
	ClientResumes bool

	ctx           context.Context
	cancelContext context.CancelCauseFunc
	deadlineTimer *time.Timer
	post          func(message)

	// Only the goroutine of Core.Run uses these.
	inFlight   bool          // its end has not been reported yet
	firstEvent time.Duration // time from Sent to the first event; 0 before it

	// Request.mu guards these.
	cancelled bool
	endStream func() bool // set by OnHandBack; nil if only the end of the context ends the stream
}

// Result is how an attempt ended at its backend.
type Result struct {
	Code         standpoint.OutcomeCode
	CachedTokens float64            // prompt tokens that the backend had cached
	OutputTokens float64            // generated tokens; 0 if unknown
	Report       *standpoint.Report // the backend's load report; nil if there is none
	// ClientStall is the total time for which the client blocked the stream; 0 if it did not stall.
	ClientStall time.Duration
	// InvalidStatus is the HTTP status with which the backend rejected the request itself as invalid; 0 if it did not.
	// Such a status is the request's answer, and no evidence about the backend, whatever Code is.
	InvalidStatus int
	// Local is true if the attempt failed because this machine was short of resources, which is no evidence about the
	// backend.
	Local bool
	// Moved is true if another process continues the stream.
	Moved bool
	// Complete is true if the answer is complete although the backend did not end it: this node stopped the decoding.
	Complete bool
	// Unresolved is true if the attempt may still be running at its backend, and it cannot be found out whether it is.
	// The request fails then, since another attempt might run at the same time.
	Unresolved bool
}

// Context returns the attempt's context. It ends when the attempt is cancelled, with the reason, such as
// ErrNoFirstEvent, as its cause.
func (a *Attempt) Context() context.Context { return a.ctx }

// CheckStart returns nil if the attempt may still start, or the reason why not. It must be called immediately before
// the first byte is written: while the connection is being established, the backend may start to drain, the client may
// disconnect, and the idempotency window may close.
func (a *Attempt) CheckStart() error {
	switch {
	case a.ctx.Err() != nil:
		return context.Cause(a.ctx)
	case a.Request.isSettled():
		return ErrRequestSettled
	case a.IsBackendDraining != nil && a.IsBackendDraining():
		return ErrBackendDraining
	case a.Request.settleIfDisconnected():
		return ErrClientDisconnected
	case !a.StartBefore.IsZero() && !time.Now().Before(a.StartBefore):
		return ErrIdempotencyWindowClosed
	}
	return nil
}

// Claim claims the request for this attempt at its first event, and reports whether it succeeded. It fails if the
// request is settled or claimed by another attempt, if this attempt was cancelled, or if the answer could not be begun.
// Nothing of this attempt may reach the client then.
func (a *Attempt) Claim() bool {
	request := a.Request
	request.mu.Lock()
	claimed := !request.settled && request.claimed == nil && !a.cancelled
	if claimed {
		request.claimed = a
	}
	request.mu.Unlock()
	if !claimed {
		return false
	}
	a.deadlineTimer.Stop()
	a.post(firstEventReceived{attempt: a, elapsed: time.Since(a.Sent)})
	return request.connection.Begin() == nil
}

// Forward forwards complete events to the client, through the request's hook if there is one. It returns ErrHookStop or
// ErrHookBreak if the hook ends the answer.
func (a *Attempt) Forward(events []byte) error {
	request := a.Request
	if request.Hook == nil {
		return request.connection.Event(events)
	}
	events, action := request.Hook.Event(events)
	if action == HookBreak {
		return ErrHookBreak
	}
	if len(events) > 0 {
		if err := request.connection.Event(events); err != nil {
			return err
		}
	}
	if action == HookStop {
		return ErrHookStop
	}
	return nil
}

// ForwardStopped forwards the end of an answer whose decoding the hook has stopped. It must be called after the
// attempt's last use of its connection.
func (a *Attempt) ForwardStopped() Result {
	last, usage, err := a.Request.Hook.Stopped()
	if err != nil {
		return Result{Code: standpoint.Cancelled, OutputTokens: usage.OutputTokens}
	}
	if err := a.Request.connection.Event(last); err != nil {
		return Result{Code: standpoint.Cancelled}
	}
	return Result{Code: standpoint.Cancelled, Complete: true, OutputTokens: usage.OutputTokens}
}

// errNotDetachable is returned for a client connection that another process cannot continue.
var errNotDetachable = errors.New("client connection cannot be moved to another process")

// errHooked is returned for a request whose answer a hook inspects, which exists in this process alone.
var errHooked = errors.New("answer is inspected by a hook of this process")

// DuplicateClient returns a file descriptor of the client's connection, which the caller owns, so that another process
// can continue the answer. DetachClient must be called once that process has agreed.
func (a *Attempt) DuplicateClient() (descriptor int, err error) {
	if a.Request.Hook != nil {
		return 0, errHooked
	}
	if client, ok := a.Request.connection.(Detacher); ok {
		return client.Duplicate()
	}
	return 0, errNotDetachable
}

// DetachClient gives up the client's connection to the process that continues the answer.
func (a *Attempt) DetachClient() error {
	if client, ok := a.Request.connection.(Detacher); ok {
		return client.Detach()
	}
	return errNotDetachable
}

// OnHandBack sets the function that is called when the request is handed back. It makes the attempt's stream end once
// everything that the backend has sent by then was forwarded. endStream must not block. If it returns false, it could
// not end the stream, and the attempt's context is cancelled instead.
func (a *Attempt) OnHandBack(endStream func() bool) {
	a.Request.mu.Lock()
	defer a.Request.mu.Unlock()
	a.endStream = endStream
}

// Finish reports how the attempt ended. If the attempt has claimed the request, this settles the request too. It is the
// last call for an attempt, made after the last use of its connection.
func (a *Attempt) Finish(result Result) {
	a.deadlineTimer.Stop()
	a.cancelContext(nil)
	a.Request.settleByAttempt(a, result)
	a.post(attemptFinished{attempt: a, result: result, elapsed: time.Since(a.Sent)})
}

// settleByAttempt settles the request if the attempt has claimed it, or if its backend rejected the request itself as
// invalid.
func (r *Request) settleByAttempt(a *Attempt, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.settled {
		return
	}
	switch {
	case r.claimed == a:
		r.settled = true
		r.done <- answerOfClaim(result)
	case r.claimed == nil && result.InvalidStatus != 0:
		r.settled = true
		r.done <- Answer{Kind: Invalid, Status: result.InvalidStatus}
	}
}

// answerOfClaim returns the answer of a request whose claiming attempt ended with the result.
func answerOfClaim(result Result) Answer {
	answer := Answer{
		Kind: Interrupted,
		Usage: Usage{
			Known:        result.OutputTokens > 0 || result.Complete,
			Started:      true,
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

// cancelUnclaimed cancels the attempt unless it has claimed its request: no deadline applies to a stream after its
// first event.
func (a *Attempt) cancelUnclaimed(reason error) {
	a.Request.mu.Lock()
	claimed := a.Request.claimed == a
	a.cancelled = a.cancelled || !claimed
	a.Request.mu.Unlock()
	if !claimed {
		a.cancelContext(reason)
	}
}

// interrupt ends an attempt that has claimed its request. If the request is handed back, the attempt first forwards
// what its backend has sent already, since that may include the end of the stream.
func (a *Attempt) interrupt(reason error) {
	a.Request.mu.Lock()
	endStream := a.endStream
	a.Request.mu.Unlock()
	if !errors.Is(reason, ErrHandedBack) || endStream == nil || !endStream() {
		a.cancelContext(reason)
	}
}
