package node

import "errors"

// HookAction is how the answer continues after the events that a Hook has inspected.
type HookAction uint8

// The actions of a hook.
const (
	HookContinue HookAction = iota // the answer continues
	HookStop                       // decoding stops, and the events that Stopped returns end the answer
	HookBreak                      // the answer is interrupted
)

// Hook inspects the answer of one request as it is forwarded. The attempt that has claimed the request calls Event and
// Stopped, one at a time. Serve calls Finished once, after them.
type Hook interface {
	// Event inspects complete events and returns the events to forward in their place.
	Event(events []byte) (forward []byte, action HookAction)
	// Stopped is called once decoding has stopped because of HookStop. It returns the events that end the answer. After an
	// error the answer must not be completed, and is interrupted.
	Stopped() (last []byte, usage Usage, err error)
	// Finished is called with the request's final answer.
	Finished(answer Answer)
}

// Errors of an attempt whose answer was ended by its hook.
var (
	ErrHookStop  = errors.New("hook stopped the decoding")
	ErrHookBreak = errors.New("hook interrupted the answer")
)
