package node

import "errors"

// HookAction is what follows the events that a Hook has seen.
type HookAction uint8

// The actions of a hook.
const (
	HookContinue HookAction = iota // the answer goes on
	HookStop                       // the decoding ends, and what Stopped returns ends the answer
	HookBreak                      // the answer is broken off
)

// Hook sees the answer of one request as it is forwarded. Event and Stopped are called by the attempt that has
// claimed the request, one at a time; Finished once, after them, by whoever serves the request.
type Hook interface {
	// Event sees complete events; what it returns is forwarded in their place.
	Event(events []byte) (forward []byte, action HookAction)
	// Stopped is called once the decoding has ended because of HookStop; what it returns ends the answer.
	Stopped() (last []byte, usage Usage)
	// Finished notifies of the request's final answer.
	Finished(answer Answer)
}

// Errors of an attempt whose answer its hook has ended.
var (
	ErrStopped = errors.New("the decoding ends here")
	ErrBroken  = errors.New("the answer is broken off here")
)
