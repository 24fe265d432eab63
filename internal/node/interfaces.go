package node

import (
	"time"

	"standpoint"
)

// Endpoint is an entry of the endpoint list: an engine of the decision module with its address.
type Endpoint struct {
	standpoint.Engine
	Address string
	Batch   bool              // accepts files of requests instead of streaming requests
	Labels  map[string]string // nil if the source supplies none
	Source  string            // name of the source that lists it; empty if there is only one source
}

// EndpointList is a full endpoint list or a change to it.
type EndpointList struct {
	Kind      standpoint.ListKind
	Endpoints []Endpoint
}

// Backends carries attempts to backends. No method blocks on a network peer.
type Backends interface {
	// Update applies an endpoint list.
	Update(EndpointList)
	// Send starts an attempt. It returns false if it did not accept the attempt; nothing was sent then.
	Send(*Attempt) bool
}

// EndpointWatcher watches the endpoint list.
type EndpointWatcher interface {
	// Watch starts to watch for changes of the list. It does not block.
	Watch()
}

// Pools assigns requests to pools of backends, and is notified of their progress. The Core calls it from one goroutine;
// no method blocks.
type Pools interface {
	// Place returns the number of the pool that the endpoint's labels select; 0 if there is none.
	Place(endpoint *Endpoint) int
	// UpdateEndpoints is called with every endpoint list, just before it is passed to the decision module.
	UpdateEndpoints(list EndpointList)
	// Assign returns the number of the pool that a request belongs to; 0 if any pool will do.
	Assign(request *standpoint.Request) int
	// RecordSent is called when an attempt has been started.
	RecordSent(request *standpoint.Request, backend string, attempt int)
	// RecordFinished is called when an attempt has ended.
	RecordFinished(o Observation)
	// RecordRejected is called when the decision module has rejected or failed a request.
	RecordRejected(request *standpoint.Request)
}

// Fleet is the state that the nodes of an installation share. Serve calls Admit and Settle; the goroutine of Run calls
// the other methods. No method blocks on another node.
type Fleet interface {
	// Admit charges the maximum cost of a request to the budgets that it counts against. It returns false if they do
	// not suffice; the client should then retry after the returned time.
	Admit(request *standpoint.Request) (Charge, time.Duration, bool)
	// Settle replaces the charge of an admitted request by its actual cost.
	Settle(request *standpoint.Request, charge Charge, answer Answer)
	// AllowRetry reports whether the retry budget allows a retry, and charges it.
	AllowRetry() bool
	// RecordFinished is called when an attempt has ended.
	RecordFinished(o Observation)
	// UpdateEndpoints is called with every endpoint list, just before it is passed to the decision module.
	UpdateEndpoints(list EndpointList)
}

// Peers carries the decision module's messages to the other nodes.
type Peers interface {
	// Send sends a message to the node with the given number. It does not block, and the message may be lost.
	Send(to int, data string)
}

// NoBudget is the Budget of a Charge for a request that counts against none.
const NoBudget = -1

// Charge is the amount charged for an admitted request to a budget in one of its windows.
type Charge struct {
	Budget int   // index of the budget; NoBudget if the request counts against none
	Window int64 // the budget's window at the time of the charge
	Amount int64 // tokens charged
	// UncachedTokens is the number of prompt tokens that have not been charged for before; 0 stands for the whole
	// prompt.
	UncachedTokens float64
}

// Observation is what was observed of an attempt that has ended.
type Observation struct {
	Request *standpoint.Request
	Backend string
	Sent    time.Time
	Result  Result
	// FirstToken is the time from the request's arrival to the attempt's first event, and AttemptFirstToken the time
	// from the attempt's start to it. Both are 0 if there was none.
	FirstToken        time.Duration
	AttemptFirstToken time.Duration
	// Decode is the time from the first event to the end of the attempt; 0 if the client stalled.
	Decode time.Duration
	// Inconclusive is true if the attempt was cancelled by this node or its client, or failed locally. It is then no
	// evidence about the backend.
	Inconclusive bool
}
