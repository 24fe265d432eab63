package node

import (
	"context"
	"errors"
	"time"

	"standpoint/internal/metrics"
)

// ErrBusy is the error of a request beyond what the node, or the request's tenant, may have open at once.
var ErrBusy = errors.New("too many requests at once")

// Serve serves a request and returns its one final answer. That ctx ends means that the client has gone. The end of
// every request is counted here.
func (c *Core) Serve(ctx context.Context, request *Request) (Answer, error) {
	answer, err := c.admit(ctx, request)
	if request.Hook != nil {
		request.Hook.Finished(answer)
	}
	c.count(request, answer, err)
	return answer, err
}

// Adopt serves a request whose answer another process of this node has begun, and returns its end. The attempt that
// has claimed it is run by run; the module does not decide on it.
func (c *Core) Adopt(ctx context.Context, request *Request, run func(*Attempt)) (Answer, error) {
	if !c.limiter.Acquire(request.Spec.Tenant, 1) {
		return Answer{}, ErrBusy
	}
	defer c.limiter.Release(request.Spec.Tenant, 1)
	attempt := &Attempt{Request: request, Sent: time.Now(), post: c.post, inFlight: true, timer: time.NewTimer(0)}
	attempt.ctx, attempt.stop = context.WithCancelCause(context.Background())
	request.claimed = attempt
	request.attempts = []*Attempt{attempt}
	c.post(adoptRequest{request})
	go run(attempt) // its end is the request's answer, which is waited for
	var answer Answer
	select {
	case answer = <-request.done:
	case <-ctx.Done():
		request.breakOff(ErrClientGone)
		answer = <-request.done
	}
	c.count(request, answer, nil)
	return answer, nil
}

// admit serves a request if this node has room for it, and the budgets that it counts against allow it.
func (c *Core) admit(ctx context.Context, request *Request) (Answer, error) {
	if !c.limiter.Acquire(request.Spec.Tenant, 1) {
		return Answer{}, ErrBusy
	}
	defer c.limiter.Release(request.Spec.Tenant, 1)
	if c.Fleet == nil {
		return c.submit(ctx, request), nil
	}
	charge, retryAfter, admitted := c.Fleet.Admit(&request.Spec)
	if !admitted {
		return Answer{Kind: Rejected, Wait: retryAfter, Unsent: true}, nil
	}
	charge.UncachedTokens = request.UncachedTokens
	answer := c.submit(ctx, request)
	c.Fleet.Settle(&request.Spec, charge, answer)
	return answer, nil
}

// submit hands a request to the goroutine of Run, and waits for its answer.
func (c *Core) submit(ctx context.Context, request *Request) Answer {
	c.post(submitRequest{request})
	select {
	case answer := <-request.done:
		return answer
	case <-ctx.Done():
	}
	if request.disconnect() {
		c.post(clientDisconnected{request})
	}
	return <-request.done
}

func (c *Core) count(request *Request, answer Answer, err error) {
	class := request.Spec.Class
	switch {
	case err != nil || answer.Kind == Rejected:
		c.Metrics.CountRequest(class, metrics.Rejected)
	case answer.Kind == Served:
		c.Metrics.CountRequest(class, metrics.Succeeded)
	case answer.Kind != ClientGone && answer.Kind != Moved: // one that moved ends, and is counted, in another process
		if answer.Unsent {
			c.Metrics.CountFailedUnsent(metrics.Abandoned)
		}
		c.Metrics.CountRequest(class, metrics.Failed)
	}
}
