package node

import (
	"context"

	"standpoint"
)

// Recover serves a request that an earlier process has sent with the given attempt number and whose answer has not
// begun, and returns its final answer. run carries the attempt; the decision module has no part in it, and no other
// attempt follows. The earlier process has admitted the request, so that it counts against the limits here but is never
// rejected, and is not charged for again.
func (c *Core) Recover(ctx context.Context, request *Request, number int, run func(*Attempt)) Answer {
	c.limiter.AcquireAdmitted(request.Spec.Tenant, 1)
	defer c.limiter.Release(request.Spec.Tenant, 1)
	attempt := c.adoptedAttempt(request, BegunStream{})
	attempt.Number = number
	request.recovered = true
	c.post(adoptRequest{request})
	go run(attempt)
	answer := c.await(ctx, request)
	if c.Fleet != nil {
		c.Fleet.Settle(&request.Spec, Charge{Budget: NoBudget}, answer)
	}
	c.countRequest(request, answer, nil)
	return answer
}

// answerOfRecovered returns the answer of a recovered request whose only attempt ended without an answer.
func answerOfRecovered(code standpoint.OutcomeCode) Answer {
	if code.NeverRan() {
		return Answer{Kind: Rejected}
	}
	return Answer{Kind: Failed}
}
