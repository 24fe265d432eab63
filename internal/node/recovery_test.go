package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint"
)

// settlingFleet is a Fleet that admits no request, and records the last charge and answer that are settled.
type settlingFleet struct {
	Fleet
	charge Charge
	answer Answer
}

func (*settlingFleet) Admit(*standpoint.Request) (Charge, time.Duration, bool) {
	return Charge{}, 0, false
}
func (*settlingFleet) RecordFinished(Observation)   {}
func (*settlingFleet) UpdateEndpoints(EndpointList) {}
func (f *settlingFleet) Settle(_ *standpoint.Request, charge Charge, answer Answer) {
	f.charge = charge
	f.answer = answer
}

// Guards against recovered requests that never end, that are charged or rejected although an earlier process has
// admitted them, and whose usage is not settled.
func TestRecoveredRequestEnds(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		result     Result
		claim      bool
		kind       AnswerKind
		unresolved bool
	}{
		"served":     {result: Result{Code: standpoint.Served}, claim: true, kind: Served},
		"rejected":   {result: Result{Code: standpoint.Rejected}, kind: Rejected},
		"failed":     {result: Result{Code: standpoint.ServerError}, kind: Failed},
		"unresolved": {result: Result{Code: standpoint.ConnectionLost, Unresolved: true}, kind: Failed, unresolved: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := &settlingFleet{}
			core, backends := startCore(t.Context(), 1, 1, func(o *Options) { o.Fleet = fleet })
			request := newTestRequest(core, 0, time.Minute)
			request.connection = acceptingClient{}
			answer := core.Recover(t.Context(), request, 2, func(a *Attempt) {
				require.Equal(t, 2, a.Number)
				require.Equal(t, test.claim, test.claim && a.Claim())
				a.Finish(test.result)
			})
			require.Equal(t, test.kind, answer.Kind)
			<-request.Idle()
			require.Equal(t, test.unresolved, request.Unresolved())
			require.Equal(t, NoBudget, fleet.charge.Budget)
			require.Equal(t, answer, fleet.answer)
			require.Empty(t, backends.sent, "no other attempt follows")
		})
	}
}

// Guards against a recovered request that outlasts its caller: the end of the context cancels its attempt.
func TestRecoveredRequestIsCancelled(t *testing.T) {
	t.Parallel()
	core, _ := startCore(t.Context(), 1, 1)
	ctx, cancel := context.WithCancel(t.Context())
	var ended atomic.Bool
	request := newTestRequest(core, 0, time.Minute)
	answer := core.Recover(ctx, request, 0, func(a *Attempt) {
		cancel()
		<-a.Context().Done()
		ended.Store(true)
		a.Finish(Result{Code: standpoint.Cancelled})
	})
	require.Equal(t, ClientDisconnected, answer.Kind)
	<-request.Idle()
	require.True(t, ended.Load())
}
