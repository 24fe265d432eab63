package node

import "time"

// AnswerKind is how a request ended for its client.
type AnswerKind uint8

// The kinds of answers.
const (
	Served             AnswerKind = iota // the answer is complete
	Interrupted                          // the answer was interrupted after its first event
	Rejected                             // the request did not run; a retry is harmless
	Failed                               // the request failed, and may have taken effect
	ClientDisconnected                   // the client disconnected before there was an answer
	Moved                                // another process of this node continues the answer on the same connection
	Invalid                              // a backend found the request itself invalid; no other backend would accept it
)

// Answer is the one final answer of a request.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration // time after which the client of a rejected request should retry; 0 if unknown
	Status     int           // HTTP status that the backend returned for an invalid request
	NoAttempt  bool          // no attempt was made
	Usage      Usage
}

// Usage is what an answer used of its backend, as far as it is known.
type Usage struct {
	Known        bool    // the token counts below are known
	Started      bool    // a part of the answer was forwarded
	Paused       bool    // this node ended the answer at a tool call
	CachedTokens float64 // prompt tokens that the backend had cached
	OutputTokens float64 // tokens that the backend generated
}
