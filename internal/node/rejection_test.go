package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint"
)

// rejectingFleet is a Fleet that rejects all requests.
type rejectingFleet struct{ discardingFleet }

func (rejectingFleet) Admit(*standpoint.Request) (Charge, time.Duration, bool) {
	return Charge{}, time.Second, false
}

// discardingFleet is a Fleet that admits all requests and ignores all calls.
type discardingFleet struct{}

func (discardingFleet) Admit(*standpoint.Request) (Charge, time.Duration, bool) {
	return Charge{}, 0, true
}
func (discardingFleet) Settle(*standpoint.Request, Charge, Answer) {}
func (discardingFleet) AllowRetry() bool                           { return true }
func (discardingFleet) RecordFinished(Observation)                 {}
func (discardingFleet) UpdateEndpoints(EndpointList)               {}

// TestRejectedRequestIsIdle guards against a caller that waits for good for a request that was rejected before it was
// submitted: it is idle at once, whatever rejected it.
func TestRejectedRequestIsIdle(t *testing.T) {
	t.Parallel()
	for name, edit := range map[string]func(*Options){
		"budget":       func(o *Options) { o.Fleet = rejectingFleet{} },
		"tenant limit": func(o *Options) { o.MaxRequests = 0 },
		"shutdown":     func(*Options) {},
	} {
		core, _ := startCore(t.Context(), 1, 10, edit)
		core.HandBack(name == "shutdown")
		request := newTestRequest(core, 0, time.Minute)
		answer, err := core.Serve(t.Context(), request)
		if err == nil {
			require.Equal(t, Rejected, answer.Kind, name)
		}
		select {
		case <-request.Idle():
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: the request is not idle 5 s after its rejection", name)
		}
	}
}

// TestRequestIsAnsweredWhenTheCoreStops guards against a request without an answer because the Core stops before it is
// submitted, or while it waits: a caller whose context does not end would wait for good.
func TestRequestIsAnsweredWhenTheCoreStops(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(t.Context())
	core, backends := startCore(ctx, 1, 10)
	waiting := make(chan Answer, 1)
	go func() {
		answer, _ := core.Serve(context.Background(), newTestRequest(core, 0, time.Minute))
		waiting <- answer
	}()
	<-backends.sent
	stop()
	<-core.Stopped()
	submitted := make(chan Answer, 1)
	go func() {
		answer, _ := core.Serve(context.Background(), newTestRequest(core, 0, time.Minute))
		submitted <- answer
	}()
	for _, test := range []struct {
		answers chan Answer
		kind    AnswerKind
	}{{waiting, Failed}, {submitted, Rejected}} {
		select {
		case answer := <-test.answers:
			require.Equal(t, test.kind, answer.Kind)
		case <-time.After(5 * time.Second):
			t.Fatal("no answer 5 s after the core has stopped")
		}
	}
}
