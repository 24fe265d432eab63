package node

import "time"

// AnswerKind is how a request ended for its client.
type AnswerKind uint8

// The kinds of answers.
const (
	Served     AnswerKind = iota // complete
	Broken                       // broken off after it had begun
	Rejected                     // a retry is harmless
	Failed                       // it may have taken effect
	ClientGone                   // nobody is there to answer
	Moved                        // begun, and handed over with its connection to another process of this node
	Invalid                      // a backend found fault with the request itself: no other would take it
)

// Answer is the one final answer of a request.
type Answer struct {
	Kind   AnswerKind
	Wait   time.Duration // when the client of a rejected request should retry; 0 if it is not known
	Status int           // the backend's, of an invalid request
	Unsent bool          // no attempt was ever made
	Usage  Usage
}

// Usage is what an answer took of a backend, as far as it is known.
type Usage struct {
	Known        bool    // the backend told it
	Begun        bool    // something of the answer was forwarded
	Paused       bool    // it was ended at a tool call
	CachedTokens float64 // of the prompt
	OutputTokens float64
}
