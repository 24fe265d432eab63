package node

import (
	"container/heap"
	"context"
	"time"

	"go.uber.org/zap"

	"standpoint"
)

// decide hands an event to the module and executes the actions that it asks for, until nothing more follows.
func (c *Core) decide(event standpoint.Event) {
	c.pending = append(c.pending, event)
	for len(c.pending) > 0 {
		event := c.pending[0]
		c.pending = c.pending[1:]
		c.actions = c.router.Handle(c.clock(), event, c.actions[:0])
		for _, action := range c.actions {
			c.execute(action)
		}
	}
}

func (c *Core) execute(action standpoint.Action) {
	switch action.Kind {
	case standpoint.Timer:
		c.sweepTimers()
		heap.Push(&c.timers, timer{at: c.clock() + action.Wait, token: action.Token})
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
			request.attempts[action.Attempt].giveUp(ErrCancelled)
		}
	case standpoint.Shed:
		c.end(action.Request, Answer{Kind: Rejected, Wait: time.Duration(action.Wait)})
	case standpoint.Fail:
		c.end(action.Request, Answer{Kind: Failed})
	default:
		c.Log.Warn("unknown action of the decision module", zap.Uint8("action", uint8(action.Kind)))
	}
}

// end gives a request its final answer at once. One that an attempt has just claimed goes on with its stream.
func (c *Core) end(id int64, answer Answer) {
	request := c.requests[id]
	if request == nil {
		return
	}
	answer.Unsent = len(request.attempts) == 0
	if request.settle(answer) && c.Pools != nil {
		c.Pools.Rejected(&request.Spec)
	}
	c.release(request)
}

// send starts an attempt. Whatever the module asks for, a request never has two attempts in flight, nor more than
// MaxAttempts in all, and none once it is answered.
func (c *Core) send(request *Request, action standpoint.Action) {
	now := time.Now()
	attempt := &Attempt{
		Request:       request,
		Number:        len(request.attempts),
		Backend:       action.Engine,
		Sent:          now,
		Until:         now.Add(time.Duration(action.Deadline - c.clock())),
		ClientResumes: c.Settings.Resume,
		post:          c.post,
	}
	if action.StartBefore != 0 {
		attempt.BeginBy = now.Add(time.Duration(action.StartBefore - c.clock()))
	}
	allowed := c.mayAttempt(request, attempt)
	request.attempts = append(request.attempts, attempt)
	attempt.ctx, attempt.stop = context.WithCancelCause(context.Background())
	attempt.timer = time.AfterFunc(time.Until(attempt.Until), func() { attempt.giveUp(ErrNoAnswer) })
	attempt.inFlight = true
	if allowed && c.Backends.Send(attempt) {
		if c.Pools != nil {
			c.Pools.Sent(&request.Spec, action.Engine, attempt.Number)
		}
		return
	}
	attempt.inFlight = false
	attempt.timer.Stop()
	attempt.stop(nil)
	c.pending = append(c.pending, &standpoint.Outcome{
		Request: action.Request,
		Attempt: attempt.Number,
		Last:    request.isSettled(),
		Code:    standpoint.NotSent,
		Engine:  action.Engine,
	})
}

// mayAttempt reports whether a request may have the attempt. It charges a retry to the fleet's budget for retries, so
// it is called once, and the charge comes last.
func (c *Core) mayAttempt(request *Request, attempt *Attempt) bool {
	if request.isSettled() || !attempt.Until.After(attempt.Sent) || c.attemptsSpent(request) {
		return false
	}
	if !c.Settings.SecondCopies && request.hasAttemptInFlight() {
		return false
	}
	return attempt.Number == 0 || c.Fleet == nil || c.Fleet.AllowRetry()
}

// attemptsSpent reports whether the request has had all its attempts.
func (c *Core) attemptsSpent(request *Request) bool {
	return c.Settings.MaxAttempts > 0 && len(request.attempts) >= c.Settings.MaxAttempts
}

// release forgets a settled request once none of its attempts is in flight. Those that are have nobody to answer any
// more, and are given up.
func (c *Core) release(request *Request) {
	if !request.isSettled() {
		return
	}
	if request.hasAttemptInFlight() {
		for _, attempt := range request.attempts {
			if attempt.inFlight {
				attempt.giveUp(ErrCancelled)
			}
		}
		return
	}
	if c.requests[request.Spec.ID] == request {
		delete(c.requests, request.Spec.ID)
		close(request.idle)
	}
}
