package node

import (
	"time"

	"standpoint"
)

// Endpoint is an entry of the endpoint list: the module's engine, and where this node reaches it.
type Endpoint struct {
	standpoint.Engine
	Address string
	Batch   bool              // it takes files of requests instead of streams
	Labels  map[string]string // nil if the source has none
	Source  string            // which of several sources lists it; empty if there is one
}

// EndpointList is an endpoint list, or a change of it.
type EndpointList struct {
	Kind      standpoint.ListKind
	Endpoints []Endpoint
}

// Backends carries attempts. No method blocks on a peer.
type Backends interface {
	// Update takes an endpoint list in.
	Update(EndpointList)
	// Send starts an attempt. If it is false, the attempt was not taken, and nothing was sent.
	Send(*Attempt) bool
}

// EndpointWatcher watches the endpoint list.
type EndpointWatcher interface {
	// Watch asks for changes of the list from now on. It does not block.
	Watch()
}

// Pools assigns requests to pools of backends, and is notified of what becomes of them. The Core calls it from one
// goroutine; no method blocks.
type Pools interface {
	// Place returns the number of the pool that an endpoint is in, by its labels; 0 for none.
	Place(endpoint *Endpoint) int
	// Listed notifies of the endpoints as the module has them now.
	Listed(list EndpointList)
	// Assign returns the number of the pool that a request belongs to; 0 for any.
	Assign(request *standpoint.Request) int
	// Sent notifies of an attempt.
	Sent(request *standpoint.Request, backend string, attempt int)
	// Finished notifies of how an attempt ended.
	Finished(o Observation)
	// Rejected notifies of a request that the module rejected or failed.
	Rejected(request *standpoint.Request)
}

// Fleet is what the nodes of an installation share. Admit and Settle are called by whoever serves a request, the
// other methods by the Core; none blocks on a peer.
type Fleet interface {
	// Admit charges the budgets that a request counts against with the most that it may cost. If it is false, there
	// is not enough left, and the client should retry after the returned time.
	Admit(request *standpoint.Request) (Charge, time.Duration, bool)
	// Settle corrects the charge of an admitted request by what it cost.
	Settle(request *standpoint.Request, charge Charge, answer Answer)
	// AllowRetry reports whether a retry is allowed, and charges it.
	AllowRetry() bool
	// Finished notifies of how an attempt ended.
	Finished(o Observation)
	// Listed notifies of the endpoints as the module has them now.
	Listed(list EndpointList)
}

// Peers carries the module's messages to the other nodes.
type Peers interface {
	// Send sends a message to a node, by its number. It does not block; a message may be lost.
	Send(to int, data string)
}

// Charge is what a request was admitted for: an amount of a budget in one of its windows.
type Charge struct {
	Budget int // -1 if it counts against none
	Window int64
	Amount int64
	// UncachedTokens are the prompt tokens that nobody has been charged for; 0 stands for the whole prompt.
	UncachedTokens float64
}

// Observation is the end of an attempt.
type Observation struct {
	Request *standpoint.Request
	Backend string
	Sent    time.Time
	Result  Result
	// FirstToken is the time from the request's arrival to its first event, and AttemptFirstToken that from the
	// attempt's start; 0 if there was none.
	FirstToken        time.Duration
	AttemptFirstToken time.Duration
	// Decode is the time from the first event to the last; 0 if the client was slow to take them.
	Decode time.Duration
	// Inconclusive attempts were cancelled by this node or its client, or failed here: they say nothing of the backend.
	Inconclusive bool
}
