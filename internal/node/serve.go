package node

import (
	"context"
	"errors"
	"time"

	"standpoint/internal/metrics"
)

// ErrRequestLimit is the error of a request that exceeds the maximum of open requests of the node or of its tenant.
var ErrRequestLimit = errors.New("too many open requests")

// Serve serves a request and returns its one final answer. The end of ctx means that the client has disconnected. Serve
// counts the request in the metrics.
func (c *Core) Serve(ctx context.Context, request *Request) (Answer, error) {
	answer, submitted, err := c.admit(ctx, request)
	if !submitted {
		request.endUnsubmitted()
	}
	if request.Hook != nil {
		request.Hook.Finished(answer)
	}
	c.countRequest(request, answer, err)
	return answer, err
}

// BegunStream is what is known of a stream that another process of this node has begun.
type BegunStream struct {
	Backend string    // the name of the backend
	Sent    time.Time // when the attempt was sent; zero if that is unknown
	// ClientResumes reports whether the client requests the rest of an interrupted stream. If it is nil, the settings of
	// this process apply.
	ClientResumes *bool
}

// Adopt serves a request whose answer another process of this node has begun, and returns its final answer. run carries
// the attempt, which has already claimed the request; the decision module has no part in it. The other process has
// admitted the request, so that it counts against the limits here but is never rejected.
func (c *Core) Adopt(ctx context.Context, request *Request, begun BegunStream, run func(*Attempt)) Answer {
	c.limiter.AcquireAdmitted(request.Spec.Tenant, 1)
	defer c.limiter.Release(request.Spec.Tenant, 1)
	attempt := c.adoptedAttempt(request, begun)
	request.claimed = attempt
	c.post(adoptRequest{request})
	go run(attempt) // settles the request as it ends, which is awaited below
	var answer Answer
	select {
	case answer = <-request.done:
	case <-ctx.Done():
		request.interruptClaimed(ErrClientDisconnected)
		answer = <-request.done
	}
	c.countRequest(request, answer, nil)
	return answer
}

// adoptedAttempt returns the attempt of a request that another process has sent.
func (c *Core) adoptedAttempt(request *Request, begun BegunStream) *Attempt {
	attempt := &Attempt{
		Request:       request,
		Backend:       begun.Backend,
		Sent:          begun.Sent,
		ClientResumes: c.clientsResume.Load(),
		post:          c.post,
		inFlight:      true,
		deadlineTimer: time.NewTimer(0),
	}
	if begun.Sent.IsZero() {
		attempt.Sent = time.Now()
	}
	if begun.ClientResumes != nil {
		attempt.ClientResumes = *begun.ClientResumes
	}
	attempt.ctx, attempt.cancelContext = context.WithCancelCause(context.Background())
	request.attempts = []*Attempt{attempt}
	return attempt
}

// admit submits a request and waits for its answer if the limits of this node and the budgets that the request counts
// against allow it. Otherwise it rejects the request, and submitted is false.
func (c *Core) admit(ctx context.Context, request *Request) (answer Answer, submitted bool, err error) {
	if !c.limiter.Acquire(request.Spec.Tenant, 1) {
		return Answer{}, false, ErrRequestLimit
	}
	defer c.limiter.Release(request.Spec.Tenant, 1)
	if c.Fleet == nil {
		return c.submit(ctx, request), true, nil
	}
	charge, retryAfter, admitted := c.Fleet.Admit(&request.Spec)
	if !admitted {
		return Answer{Kind: Rejected, RetryAfter: retryAfter, NoAttempt: true}, false, nil
	}
	charge.UncachedTokens = request.UncachedTokens
	answer = c.submit(ctx, request)
	c.Fleet.Settle(&request.Spec, charge, answer)
	return answer, true, nil
}

// submit passes a request to the goroutine of Run and waits for its answer.
func (c *Core) submit(ctx context.Context, request *Request) Answer {
	c.post(submitRequest{request})
	return c.await(ctx, request)
}

// await waits for the answer of a request that was passed to the goroutine of Run. If Run returns before, nobody else
// would decide on the request, and it is ended here unless an attempt has begun its answer.
func (c *Core) await(ctx context.Context, request *Request) Answer {
	stopped := c.stopped
	for {
		select {
		case answer := <-request.done:
			return answer
		case <-ctx.Done():
			if request.disconnect() {
				c.post(clientDisconnected{request})
			}
			return <-request.done
		case <-stopped:
			request.settle(answerAfterStop(request))
			stopped = nil // a begun answer goes on, and settles the request as it ends
		}
	}
}

// answerAfterStop returns the answer of a request on which nobody decides any more. It is rejected, so that a retry is
// harmless, only if it was never sent. It must be called only after Run has returned.
func answerAfterStop(request *Request) Answer {
	if len(request.attempts) > 0 {
		return Answer{Kind: Failed}
	}
	return Answer{Kind: Rejected, RetryAfter: handBackRetryAfter, NoAttempt: true}
}

func (c *Core) countRequest(request *Request, answer Answer, err error) {
	class := request.Spec.Class
	switch {
	case err != nil || answer.Kind == Rejected:
		c.Metrics.CountRequest(class, metrics.Rejected)
	case answer.Kind == Served:
		c.Metrics.CountRequest(class, metrics.Succeeded)
	case answer.Kind != ClientDisconnected && answer.Kind != Moved: // a moved request is counted by the other process
		if answer.NoAttempt {
			c.Metrics.CountFailedUnsent(metrics.Abandoned)
		}
		c.Metrics.CountRequest(class, metrics.Failed)
	}
}
