// Package session decides what may happen to a session that pauses for a tool: who may resume it, and when it ends.
// It is pure: the store's leader applies commands, one after the other, each to the present record, and time is
// passed in.
//
// A session is never decoded twice at once, over all nodes: whoever decodes holds a claim, under a fencing token that
// grows with each claim, and stops decoding before the claim's deadline by the greatest difference between two
// clocks; no further claim is granted before the deadline plus that difference. A resume key names a session and the
// pause that it belongs to, and is used once.
package session

import "slices"

// State is the state of a session.
type State string

// The states. A session is on record from its first pause on: the first two are those of a node's own sessions.
const (
	Running  State = "running"  // its answer is being decoded for the first time
	Pausing  State = "pausing"  // its decoding has ended at a tool call, which is being recorded
	Paused   State = "paused"   // it waits for its tools' results; any node may claim it
	Claimed  State = "claimed"  // a node has its results and may decode it
	Resuming State = "resuming" // a part of what follows has been passed on to the client
	Ended    State = "ended"    // it has had its final answer, or was cancelled
	Expired  State = "expired"  // its tools did not answer in time
)

// transitions are the states that may follow each state.
var transitions = map[State][]State{
	Running:  {Pausing, Ended},
	Pausing:  {Paused, Ended},
	Paused:   {Claimed, Ended, Expired},
	Claimed:  {Resuming, Paused, Ended, Claimed},
	Resuming: {Paused, Ended, Claimed},
	Ended:    {},
	Expired:  {},
}

// CanTransition reports whether a state may follow another.
func CanTransition(from, to State) bool { return slices.Contains(transitions[from], to) }

// EndReason says how a session ended.
type EndReason string

// The reasons for which a session ends.
const (
	ReasonServed    EndReason = "served"     // its client has had the final answer
	ReasonCancelled EndReason = "called off" // by its client
	ReasonExpired   EndReason = "expired"    // its tools did not answer in time
)

// ToolCall is one call of a tool, as the model made it.
type ToolCall struct {
	ID   string `json:"id"`
	Name string `json:"name"`
}

// Owner is one incarnation of a member.
type Owner struct {
	Slot        string `json:"seat"`
	Incarnation uint64 `json:"life"`
}

// Record is a session as the store has it. Times are Unix nanoseconds, by the leader's clock.
type Record struct {
	ID           string `json:"id"`
	Turn         int    `json:"turn"` // of the pause, from 1; the second part of its resume key
	State        State  `json:"state"`
	FencingToken uint64 `json:"fence"` // of the latest claim; 0: there was none
	// Deadline is when a paused session expires, when a claim ends, or when a session that is over is forgotten.
	Deadline int64 `json:"until"`
	// ToolDeadline is when the wait for the results of the latest pause ends. It stays while the session is claimed.
	ToolDeadline int64      `json:"wait"`
	Tenant       int        `json:"tenant"`
	Owner        Owner      `json:"by"`    // who paused the session, or holds the claim
	ClaimID      string     `json:"claim"` // the request that made the claim
	Calls        []ToolCall `json:"calls"` // that wait for results
	// Data is what a node needs to resume the session. It is opaque here, and removed once the session is over.
	Data      []byte    `json:"data,omitempty"`
	EndReason EndReason `json:"last,omitempty"`
}

// claimed reports whether a node holds a claim, which may have passed its deadline.
func (r *Record) claimed() bool { return r.State == Claimed || r.State == Resuming }
