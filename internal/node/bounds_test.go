package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint"
)

// Whatever the module wants, the core lets no request have two attempts out, nor more than three, nor one after its
// answer.
func TestCoreBoundsAttempts(t *testing.T) {
	stopped, end := context.WithCancel(t.Context())
	end()
	c, h := start(stopped, 1, 10) // its actor is this test
	<-c.Stopped()
	f := flow(c, 0, time.Minute)
	f.Spec.ID = 1
	c.requests[1] = f
	send := func() bool {
		before := len(h.sent)
		c.send(
			f,
			standpoint.Action{Kind: standpoint.Send, Request: 1, Engine: "s", Deadline: c.clock() + int64(time.Minute)},
		)
		return len(h.sent) > before
	}
	require.True(t, send())
	require.False(t, send(), "one is out")
	for _, a := range f.attempts {
		a.inFlight = false
	}
	require.True(t, send(), "the third")
	f.attempts[2].inFlight = false
	require.False(t, send(), "the fourth")
	f.attempts = nil
	require.True(t, f.settle(Answer{Kind: Failed}))
	require.False(t, send(), "it is answered")
}
