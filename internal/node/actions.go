package node

import (
	"container/heap"
	"context"
	"time"

	"go.uber.org/zap"

	"standpoint"
)

// decide passes an event to the decision module and executes the actions that it returns, and then does the same with
// the events that these actions caused.
func (c *Core) decide(event standpoint.Event) {
	c.pendingEvents = append(c.pendingEvents, event)
	for len(c.pendingEvents) > 0 {
		event := c.pendingEvents[0]
		c.pendingEvents = c.pendingEvents[1:]
		c.actions = c.router.Handle(c.now(), event, c.actions[:0])
		for _, action := range c.actions {
			c.execute(action)
		}
	}
}

func (c *Core) execute(action standpoint.Action) {
	switch action.Kind {
	case standpoint.Timer:
		c.sweepTimers()
		heap.Push(&c.timers, timer{due: c.now() + action.Wait, token: action.Token})
	case standpoint.SendPeer:
		if c.Peers != nil {
			c.Peers.Send(action.Peer, action.Data)
		}
	case standpoint.Subscribe:
		c.Watcher.Watch()
	case standpoint.Send:
		if request := c.requests[action.Request]; request != nil {
			c.send(request, action)
		}
	case standpoint.Cancel:
		if request := c.requests[action.Request]; request != nil && action.Attempt < len(request.attempts) {
			request.attempts[action.Attempt].cancelUnclaimed(ErrCancelled)
		}
	case standpoint.Shed:
		c.end(action.Request, Answer{Kind: Rejected, RetryAfter: time.Duration(action.Wait)})
	case standpoint.Fail:
		c.end(action.Request, Answer{Kind: Failed})
	default:
		c.Log.Warn("unknown action of the decision module", zap.Uint8("action", uint8(action.Kind)))
	}
}

// end settles a request with the answer. A request that an attempt has just claimed continues its stream instead.
func (c *Core) end(id int64, answer Answer) {
	request := c.requests[id]
	if request == nil {
		return
	}
	answer.NoAttempt = len(request.attempts) == 0
	if request.settle(answer) && c.Pools != nil {
		c.Pools.RecordRejected(&request.Spec)
	}
	c.release(request)
}

// send starts an attempt. Whatever the decision module requests, a request never has two attempts in flight (unless the
// settings allow hedged requests), never more than MaxAttempts in total, and none after it is settled.
func (c *Core) send(request *Request, action standpoint.Action) {
	now := time.Now()
	attempt := &Attempt{
		Request:       request,
		Number:        len(request.attempts),
		Backend:       action.Engine,
		Sent:          now,
		Deadline:      now.Add(time.Duration(action.Deadline - c.now())),
		ClientResumes: c.Settings.Resume,
		post:          c.post,
	}
	if action.StartBefore != 0 {
		attempt.StartBefore = now.Add(time.Duration(action.StartBefore - c.now()))
	}
	allowed := c.authorizeAttempt(request, attempt)
	request.attempts = append(request.attempts, attempt)
	attempt.ctx, attempt.cancelContext = context.WithCancelCause(context.Background())
	attempt.deadlineTimer = time.AfterFunc(
		time.Until(attempt.Deadline), func() { attempt.cancelUnclaimed(ErrNoFirstEvent) },
	)
	attempt.inFlight = true
	if allowed && c.Backends.Send(attempt) {
		if c.Pools != nil {
			c.Pools.RecordSent(&request.Spec, action.Engine, attempt.Number)
		}
		return
	}
	attempt.inFlight = false
	attempt.deadlineTimer.Stop()
	attempt.cancelContext(nil)
	c.pendingEvents = append(c.pendingEvents, &standpoint.Outcome{
		Request: action.Request,
		Attempt: attempt.Number,
		Last:    request.isSettled(),
		Code:    standpoint.NotSent,
		Engine:  action.Engine,
	})
}

// authorizeAttempt reports whether a request may start the attempt. It must be called exactly once for each attempt,
// since it charges a retry to the fleet's retry budget. The charge is the last check, so that an attempt that another
// check forbids is not charged for.
func (c *Core) authorizeAttempt(request *Request, attempt *Attempt) bool {
	if request.isSettled() || !attempt.Deadline.After(attempt.Sent) || c.attemptLimitReached(request) {
		return false
	}
	if !c.Settings.HedgedRequests && request.hasAttemptInFlight() {
		return false
	}
	return attempt.Number == 0 || c.Fleet == nil || c.Fleet.AllowRetry()
}

// attemptLimitReached reports whether the request has used all its attempts.
func (c *Core) attemptLimitReached(request *Request) bool {
	return c.Settings.MaxAttempts > 0 && len(request.attempts) >= c.Settings.MaxAttempts
}

// release forgets a settled request once none of its attempts is in flight. Attempts that still are in flight are
// cancelled, since nobody waits for their results.
func (c *Core) release(request *Request) {
	if !request.isSettled() {
		return
	}
	if request.hasAttemptInFlight() {
		for _, attempt := range request.attempts {
			if attempt.inFlight {
				attempt.cancelUnclaimed(ErrCancelled)
			}
		}
		return
	}
	if c.requests[request.Spec.ID] == request {
		delete(c.requests, request.Spec.ID)
		close(request.idle)
	}
}
