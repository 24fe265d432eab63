package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint"
)

// TestCoreBoundsAttempts guards against a decision module that requests too many attempts: the Core allows a request
// one attempt in flight, three in total (Settings.MaxAttempts), and none after its answer. An attempt that the Core
// does not allow counts towards the total.
func TestCoreBoundsAttempts(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	stop()
	core, backends := startCore(ctx, 1, 10) // the test takes the part of the goroutine of Run
	<-core.Stopped()
	request := newTestRequest(core, 0, time.Minute)
	request.Spec.ID = 1
	core.requests[1] = request
	send := func() bool {
		before := len(backends.sent)
		core.send(
			request,
			standpoint.Action{
				Kind:     standpoint.Send,
				Request:  1,
				Engine:   "s",
				Deadline: core.now() + int64(time.Minute),
			},
		)
		return len(backends.sent) > before
	}
	require.True(t, send())
	require.False(t, send(), "second attempt while one is in flight")
	for _, attempt := range request.attempts {
		attempt.inFlight = false
	}
	require.True(t, send(), "third attempt")
	request.attempts[2].inFlight = false
	require.False(t, send(), "fourth attempt")
	request.attempts = nil
	require.True(t, request.settle(Answer{Kind: Failed}))
	require.False(t, send(), "attempt after the answer")
}
