package node

import (
	"context"
	"time"

	"standpoint"
)

// handBackRetryAfter is the time after which the client of a handed back request should retry; by then it can reach
// another node.
const handBackRetryAfter = 300 * time.Millisecond

// message is a message from another goroutine to the Core.
type message interface{ message() }

type (
	// updateSettings applies new settings.
	updateSettings struct{ settings standpoint.Settings }
	// updateAdvice passes other nodes' observations of the backends to the decision module.
	updateAdvice struct{ advice *standpoint.Advice }
	// peerMessage is a message from the decision module of another node.
	peerMessage struct {
		from int
		data string
	}
	// exportLearned requests a copy of the decision module's learned state.
	exportLearned struct{ reply chan<- *standpoint.Learned }
	// importLearned passes the learned state of another process of this node to the decision module.
	importLearned struct {
		learned *standpoint.Learned
		reply   chan<- error
	}
	// submitRequest submits an admitted request.
	submitRequest struct{ request *Request }
	// adoptRequest submits a request whose answer another process of this node has begun.
	adoptRequest struct{ request *Request }
	// clientDisconnected reports that the request was settled because its client disconnected.
	clientDisconnected struct{ request *Request }
	// handBackRequests ends streams whose clients resume them at another node; with all set, also rejects or fails the
	// requests that wait for an answer.
	handBackRequests struct{ all bool }
	// firstEventReceived reports that an attempt has claimed its request.
	firstEventReceived struct {
		attempt *Attempt
		elapsed time.Duration // since the attempt was sent
	}
	// attemptFinished reports how an attempt ended.
	attemptFinished struct {
		attempt *Attempt
		result  Result
		elapsed time.Duration // since the attempt was sent
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

// post sends a message to the goroutine of Run. It blocks while the mailbox is full, and drops the message once Run has
// returned.
func (c *Core) post(m message) {
	select {
	case c.mailbox <- m:
	case <-c.stopped:
	}
}

// UpdateEndpoints submits an endpoint list, which is handled before all messages that wait.
func (c *Core) UpdateEndpoints(list EndpointList) {
	select {
	case c.endpointUpdates <- list:
	case <-c.stopped:
	}
}

// UpdateSettings applies new settings and a new maximum of open requests. Open requests keep their deadlines.
func (c *Core) UpdateSettings(settings standpoint.Settings, maxRequests int) {
	c.limiter.SetCapacity(maxRequests, len(settings.Tenants))
	c.post(updateSettings{settings})
}

// UpdateAdvice passes other nodes' observations of the backends to the decision module.
func (c *Core) UpdateAdvice(advice *standpoint.Advice) { c.post(updateAdvice{advice}) }

// ReceivePeerMessage passes a message from another node's decision module to that of this node. It does not block: the
// message is dropped if the mailbox is full.
func (c *Core) ReceivePeerMessage(from int, data string) {
	select {
	case c.mailbox <- peerMessage{from, data}:
	default:
	}
}

// ExportLearned returns a copy of the decision module's learned state; nil if ctx is done first.
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

// ImportLearned restores the decision module's learned state from that of another process of this node.
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

// HandBack ends the requests that this node cannot finish, so that their clients continue at another node. Begun
// streams are interrupted if clients request the rest of a stream (Settings.Resume), and continue otherwise. With all
// set, requests that wait for an answer are rejected, or failed if an attempt may have run, and later requests are
// rejected.
func (c *Core) HandBack(all bool) { c.post(handBackRequests{all}) }

func (c *Core) receive(m message) {
	switch m := m.(type) {
	case updateSettings:
		c.Settings = m.settings
		c.clientsResume.Store(m.settings.Resume)
		c.router.UpdateSettings(m.settings)
	case updateAdvice:
		c.decide(m.advice)
	case peerMessage:
		c.decide(&standpoint.PeerMessage{From: m.from, Data: m.data})
	case exportLearned:
		m.reply <- c.router.Learned()
	case importLearned:
		m.reply <- c.router.RestoreLearned(m.learned, c.now())
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

// register assigns an ID to a request and adds it to the open ones.
func (c *Core) register(request *Request) {
	c.nextID++
	request.Spec.ID = c.nextID
	request.arrivedAt = time.Now()
	c.requests[c.nextID] = request
}

func (c *Core) applySubmit(request *Request) {
	// Clients keep sending on open connections until the process is killed, which follows shortly.
	if c.handedBack && request.settle(Answer{Kind: Rejected, RetryAfter: handBackRetryAfter}) {
		close(request.idle)
		return
	}
	c.register(request)
	if c.Pools != nil {
		request.Spec.Pool = c.Pools.Assign(&request.Spec)
	}
	if request.CachedBackend != "" {
		c.router.RecordCachedPrompt(
			&request.Spec, request.CachedBackend, request.CachedBackendStartedAt, request.CachedTokens, c.now(),
		)
	}
	spec := request.Spec
	c.decide(&spec)
	c.release(request)
}

func (c *Core) applyAdopt(request *Request) {
	c.register(request)
	if c.handedBack { // another process handed the request over after this one had handed all its requests back
		c.handBackRequest(request, true)
	}
}

func (c *Core) applyHandBack(all bool) {
	c.handedBack = c.handedBack || all
	for _, request := range c.requests {
		c.handBackRequest(request, all)
	}
}

// handBackRequest ends a request as HandBack describes. A rejection means to the client that a retry is harmless. A
// waiting request is therefore rejected only if none of its attempts may have run; otherwise it fails.
func (c *Core) handBackRequest(request *Request, all bool) {
	var answer *Answer
	switch {
	case all && c.router.MayShed(request.Spec.ID):
		answer = &Answer{Kind: Rejected, RetryAfter: handBackRetryAfter, NoAttempt: len(request.attempts) == 0}
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
		c.Pools.RecordFinished(m.observation())
	}
	if c.Fleet != nil {
		c.Fleet.RecordFinished(m.observation())
	}
	request := m.attempt.Request
	if m.result.Unresolved {
		request.unresolved = true
		if request.settle(Answer{Kind: Failed}) && c.Pools != nil {
			c.Pools.RecordRejected(&request.Spec)
		}
	}
	if request.recovered {
		request.settle(answerOfRecovered(m.result.Code))
	}
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

// observation returns what the pools and the fleet are notified of at the end of the attempt.
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
		o.FirstToken = attempt.Sent.Add(attempt.firstEvent).Sub(attempt.Request.arrivedAt)
		o.AttemptFirstToken = attempt.firstEvent
		if m.result.ClientStall == 0 {
			o.Decode = m.elapsed - attempt.firstEvent
		}
	}
	return o
}
