// Package session is the state machine of sessions that pause at tool calls: it decides who may resume a session and
// when the session ends. It is pure: the leader of the store applies commands one at a time, each to the current
// record, and passes in the time.
//
// At most one node decodes a session at any time. A node that decodes holds a claim, identified by a fencing token
// that grows with each claim. It stops decoding before the claim's deadline by at least the maximum difference between
// two clocks, which is twice the clock error, and the next claim is not granted until as much time has passed after
// the deadline. A resume key identifies a session and one of its pauses, and can be used once.
package session

import "slices"

// State is the state of a session.
type State string

// The states. The store has a record of a session from its first pause on, so Running and Pausing never occur in a
// record: they exist only at the node that decodes the session.
const (
	Running  State = "running"  // the response is being decoded for the first time
	Pausing  State = "pausing"  // decoding has ended at a tool call, and the pause is being recorded
	Paused   State = "paused"   // the session waits for the results of its tool calls; any node may claim it
	Claimed  State = "claimed"  // a node has the results and may decode the session
	Resuming State = "resuming" // the claiming node has forwarded output to the client
	Ended    State = "ended"    // the response has ended without a further pause, or the session was cancelled
	Expired  State = "expired"  // the tools did not return their results in time
)

// transitions lists the states that may follow each state.
var transitions = map[State][]State{
	Running:  {Pausing, Ended},
	Pausing:  {Paused, Ended},
	Paused:   {Claimed, Ended, Expired},
	Claimed:  {Resuming, Paused, Ended, Claimed},
	Resuming: {Paused, Ended, Claimed},
	Ended:    {},
	Expired:  {},
}

// CanTransition reports whether a session in state from may change to state to.
func CanTransition(from, to State) bool { return slices.Contains(transitions[from], to) }

// EndReason says how a session ended.
type EndReason string

// The reasons for which a session ends.
const (
	ReasonServed    EndReason = "served"     // the response has ended without a further pause
	ReasonCancelled EndReason = "called off" // the client cancelled the session
	ReasonExpired   EndReason = "expired"    // the tools did not return their results in time
)

// ToolCall identifies one tool call made by the model.
type ToolCall struct {
	ID   string `json:"id"`
	Name string `json:"name"`
}

// Owner is one incarnation of a fleet member.
type Owner struct {
	Slot        string `json:"seat"`
	Incarnation uint64 `json:"life"`
}

// Record is the stored state of a session. Times are Unix nanoseconds by the leader's clock.
type Record struct {
	ID           string `json:"id"`
	Turn         int    `json:"turn"` // number of the latest pause, from 1; the second part of its resume key
	State        State  `json:"state"`
	FencingToken uint64 `json:"fence"` // fencing token of the latest claim; 0 if there was none
	// Deadline is the time at which a paused session expires, at which a claim ends, or at which the record of an ended
	// or expired session is deleted.
	Deadline int64 `json:"until"`
	// ToolDeadline is the time at which the wait for the results of the latest pause ends. A claim does not change it.
	ToolDeadline int64      `json:"wait"`
	Tenant       int        `json:"tenant"`
	Owner        Owner      `json:"by"`    // the member that paused the session or holds its claim
	ClaimID      string     `json:"claim"` // ID of the request that made the claim
	Calls        []ToolCall `json:"calls"` // tool calls whose results the session waits for
	// Data is what a node needs to resume the session. It is opaque to this package, and removed when the session ends
	// or expires.
	Data      []byte    `json:"data,omitempty"`
	EndReason EndReason `json:"last,omitempty"`
}

// claimed reports whether a node holds a claim on the session. The claim's deadline may have passed.
func (r *Record) claimed() bool { return r.State == Claimed || r.State == Resuming }
