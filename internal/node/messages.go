package node

import (
	"context"
	"time"

	"standpoint"
)

// handBackRetryAfter is when the client of a request that was handed back should retry; by then it finds another node.
const handBackRetryAfter = 300 * time.Millisecond

// message is what the Core receives from other goroutines.
type message interface{ message() }

type (
	// updateSettings puts new settings in force.
	updateSettings struct{ settings standpoint.Settings }
	// updateAdvice has the module weigh what other nodes have observed of the backends.
	updateAdvice struct{ advice *standpoint.Advice }
	// peerMessage is a message of another node's module.
	peerMessage struct {
		from int
		data string
	}
	// exportLearned asks for a copy of what the module has learned.
	exportLearned struct{ reply chan<- *standpoint.Learned }
	// importLearned has the module take what another process of this node has learned.
	importLearned struct {
		learned *standpoint.Learned
		reply   chan<- error
	}
	// submitRequest hands over a request that was admitted.
	submitRequest struct{ request *Request }
	// adoptRequest hands over a request whose answer another process of this node has begun.
	adoptRequest struct{ request *Request }
	// clientDisconnected tells that the request's client has gone; nothing more is sent for it.
	clientDisconnected struct{ request *Request }
	// handBackRequests gives up what this node cannot finish; with all, requests that wait too.
	handBackRequests struct{ all bool }
	// firstEventReceived tells that an attempt has claimed its request, and how long after it was sent.
	firstEventReceived struct {
		attempt *Attempt
		elapsed time.Duration
	}
	// attemptFinished reports how an attempt ended, and how long after it was sent.
	attemptFinished struct {
		attempt *Attempt
		result  Result
		elapsed time.Duration
	}
)

func (updateSettings) message()     {}
func (updateAdvice) message()       {}
func (peerMessage) message()        {}
func (exportLearned) message()      {}
func (importLearned) message()      {}
func (submitRequest) message()      {}
func (adoptRequest) message()       {}
func (clientDisconnected) message() {}
func (handBackRequests) message()   {}
func (firstEventReceived) message() {}
func (attemptFinished) message()    {}

// post sends a message, waiting for room in the mailbox.
func (c *Core) post(m message) {
	select {
	case c.mailbox <- m:
	case <-c.stopped:
	}
}

// UpdateEndpoints sends a change of the endpoint list, which is handled before whatever else waits.
func (c *Core) UpdateEndpoints(list EndpointList) {
	select {
	case c.endpointUpdates <- list:
	case <-c.stopped:
	}
}

// Adjust puts new settings in force. Open requests keep the deadlines that they arrived with.
func (c *Core) Adjust(settings standpoint.Settings, maxRequests int) {
	c.limiter.SetCapacity(maxRequests, len(settings.Tenants))
	c.post(updateSettings{settings})
}

// Advise has the module weigh what other nodes have observed of the backends.
func (c *Core) Advise(advice *standpoint.Advice) { c.post(updateAdvice{advice}) }

// ReceivePeerMessage takes a message of another node's module. It does not block: a message is dropped if the mailbox
// is full.
func (c *Core) ReceivePeerMessage(from int, data string) {
	select {
	case c.mailbox <- peerMessage{from, data}:
	default:
	}
}

// ExportLearned returns a copy of what the module has learned; nil if ctx ends first.
func (c *Core) ExportLearned(ctx context.Context) *standpoint.Learned {
	reply := make(chan *standpoint.Learned, 1)
	c.post(exportLearned{reply})
	select {
	case learned := <-reply:
		return learned
	case <-ctx.Done():
		return nil
	}
}

// ImportLearned has the module take what another process of this node has learned.
func (c *Core) ImportLearned(ctx context.Context, learned *standpoint.Learned) error {
	reply := make(chan error, 1)
	c.post(importLearned{learned, reply})
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// HandBack gives up what this node cannot finish: streams that have begun, whose clients request the rest from
// another node, and, with all, requests that still wait, which are rejected, as is whatever arrives from then on. If
// clients do not request the rest, streams continue.
func (c *Core) HandBack(all bool) { c.post(handBackRequests{all}) }

func (c *Core) receive(m message) {
	switch m := m.(type) {
	case updateSettings:
		c.Settings = m.settings
		c.router.UpdateSettings(m.settings)
	case updateAdvice:
		c.decide(m.advice)
	case peerMessage:
		c.decide(&standpoint.PeerMessage{From: m.from, Data: m.data})
	case exportLearned:
		m.reply <- c.router.Learned()
	case importLearned:
		m.reply <- c.router.RestoreLearned(m.learned, c.clock())
	case submitRequest:
		c.applySubmit(m.request)
	case adoptRequest:
		c.applyAdopt(m.request)
	case clientDisconnected:
		c.decide(&standpoint.ClientDisconnected{Request: m.request.Spec.ID})
		c.release(m.request)
	case handBackRequests:
		c.applyHandBack(m.all)
	case firstEventReceived:
		c.applyFirstEvent(m)
	case attemptFinished:
		c.applyFinished(m)
	}
}

// register gives a request its ID.
func (c *Core) register(request *Request) {
	c.nextID++
	request.Spec.ID = c.nextID
	request.arrived = time.Now()
	c.requests[c.nextID] = request
}

func (c *Core) applySubmit(request *Request) {
	// Clients keep sending on every open connection until the process is killed, which is near.
	if c.handedBack && request.settle(Answer{Kind: Rejected, Wait: handBackRetryAfter}) {
		close(request.idle)
		return
	}
	c.register(request)
	if c.Pools != nil {
		request.Spec.Pool = c.Pools.Assign(&request.Spec)
	}
	if request.CacheHolder != "" {
		c.router.RecordCachedPrompt(&request.Spec, request.CacheHolder, request.HolderStartedAt, request.HeldTokens, c.clock())
	}
	spec := request.Spec
	c.decide(&spec)
	c.release(request)
}

func (c *Core) applyAdopt(request *Request) {
	c.register(request)
	if c.handedBack { // another process handed it over while this one gave back all that it has
		c.handBackRequest(request, true)
	}
}

func (c *Core) applyHandBack(all bool) {
	c.handedBack = c.handedBack || all
	for _, request := range c.requests {
		c.handBackRequest(request, all)
	}
}

// handBackRequest ends a request that this node cannot finish: one that has begun, if its client requests the rest
// from another node, and, with all, one that waits. A retry is said to be harmless only if it is: an attempt may have
// run.
func (c *Core) handBackRequest(request *Request, all bool) {
	var answer *Answer
	switch {
	case all && c.router.MayShed(request.Spec.ID):
		answer = &Answer{Kind: Rejected, Wait: handBackRetryAfter, Unsent: len(request.attempts) == 0}
	case all:
		answer = &Answer{Kind: Failed}
	}
	if request.handBack(answer, c.Settings.Resume) {
		c.decide(&standpoint.ClientDisconnected{Request: request.Spec.ID})
		c.release(request)
	}
}

func (c *Core) applyFirstEvent(m firstEventReceived) {
	m.attempt.firstEvent = m.elapsed
	c.decide(&standpoint.FirstToken{
		Request: m.attempt.Request.Spec.ID,
		Attempt: m.attempt.Number,
		Elapsed: int64(m.elapsed),
	})
}

func (c *Core) applyFinished(m attemptFinished) {
	m.attempt.inFlight = false
	if c.Pools != nil {
		c.Pools.Finished(m.observation())
	}
	if c.Fleet != nil {
		c.Fleet.Finished(m.observation())
	}
	request := m.attempt.Request
	c.decide(&standpoint.Outcome{
		Request:       request.Spec.ID,
		Attempt:       m.attempt.Number,
		Last:          request.isSettled(),
		Code:          m.result.Code,
		CachedTokens:  m.result.CachedTokens,
		OutputTokens:  m.result.OutputTokens,
		Engine:        m.attempt.Backend,
		Elapsed:       int64(m.elapsed),
		ClientStalled: m.result.ClientStall > 0,
		Report:        m.result.Report,
		LocalFault:    m.result.Local,
	})
	c.release(request)
}

// observation is the attempt's end as pools and fleet see it.
func (m attemptFinished) observation() Observation {
	attempt := m.attempt
	o := Observation{
		Request:      &attempt.Request.Spec,
		Backend:      attempt.Backend,
		Sent:         attempt.Sent,
		Result:       m.result,
		Inconclusive: m.result.Code == standpoint.Cancelled || m.result.Local,
	}
	if attempt.firstEvent > 0 {
		o.FirstToken = attempt.Sent.Add(attempt.firstEvent).Sub(attempt.Request.arrived)
		o.AttemptFirstToken = attempt.firstEvent
		if m.result.ClientStall == 0 {
			o.Decode = m.elapsed - attempt.firstEvent
		}
	}
	return o
}
