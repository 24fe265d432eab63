package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
)

// blockingBackends is a Backends that accepts every attempt and ends it only when it is cancelled.
type blockingBackends struct{ sent chan *Attempt }

func (blockingBackends) Update(EndpointList) {}
func (b blockingBackends) Send(attempt *Attempt) bool {
	b.sent <- attempt
	go func() {
		<-attempt.Context().Done()
		attempt.Finish(Result{Code: standpoint.Cancelled})
	}()
	return true
}

// noopWatcher is an EndpointWatcher that does nothing.
type noopWatcher struct{}

func (noopWatcher) Watch() {}

// startCore runs a Core with one endpoint until ctx is done. edit changes its options.
func startCore(ctx context.Context, tenants, maxRequests int, edit ...func(*Options)) (*Core, blockingBackends) {
	settings := standpoint.Settings{
		Gateways:      1,
		MaxAttempts:   3,
		EventInterval: 1e6,
		Cancel:        true,
		Kinds:         1,
		Tenants:       make([]standpoint.Tenant, tenants),
		Classes:       []standpoint.Class{{Streamed: true, TTFTObjective: 1e9, Deadline: 10e9, Weight: 1}},
	}
	backends := blockingBackends{make(chan *Attempt, 20_000)}
	options := Options{
		Settings:    settings,
		Seed:        1,
		MaxRequests: maxRequests,
		Backends:    backends,
		Watcher:     noopWatcher{},
		Log:         zap.NewNop(),
	}
	for _, f := range edit {
		f(&options)
	}
	core := New(options)
	core.UpdateEndpoints(
		EndpointList{
			Kind:      standpoint.ListFull,
			Endpoints: []Endpoint{{Address: "127.0.0.1:1", Engine: standpoint.Engine{Name: "s", Size: 1}}},
		},
	)
	go core.Run(ctx)
	return core, backends
}

// newTestRequest creates a request of a tenant that expires after wait.
func newTestRequest(c *Core, tenant int, wait time.Duration) *Request {
	return NewRequest(
		standpoint.Request{Tenant: tenant, PromptTokens: 10, MaxTokens: 10, Deadline: c.Expires(time.Now(), wait)},
		Work{},
		nil,
	)
}

// serve has the Core serve a request of a tenant, and ignores the answer.
func serve(t *testing.T, c *Core, tenant int) {
	_, _ = c.Serve(t.Context(), newTestRequest(c, tenant, time.Minute))
}

// TestOneTenantCannotTakeAllSlots guards against a tenant that shuts out the others by keeping its requests open: it
// gets at most half of the slots. A single tenant gets them all.
func TestOneTenantCannotTakeAllSlots(t *testing.T) {
	for tenants, want := range map[int]int{2: 4, 1: 8} {
		core, backends := startCore(t.Context(), tenants, 8)
		for range want {
			go serve(t, core, 0)
			<-backends.sent
		}
		_, err := core.Serve(t.Context(), newTestRequest(core, 0, time.Second))
		require.ErrorIs(t, err, ErrRequestLimit)
		if tenants > 1 {
			go serve(t, core, 1)
			<-backends.sent
		}
	}
}

// TestTimersOfSettledRequestsAreDropped guards against a timer heap that grows without bound: the timers of settled
// requests with distant deadlines are dropped before they are due.
func TestTimersOfSettledRequestsAreDropped(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	core, backends := startCore(ctx, 1, 10)
	for range 10_000 {
		ctx, disconnect := context.WithCancel(t.Context())
		go func() { <-backends.sent; disconnect() }()
		_, err := core.Serve(ctx, newTestRequest(core, 0, time.Hour))
		require.NoError(t, err)
	}
	stop()
	<-core.Stopped()
	require.LessOrEqual(t, len(core.timers), 2*timerSweepMinimum)
}

// TestAttemptThatClaimsDuringHandBackEnds guards against a stream that continues until the process is killed because
// its attempt claimed the request just as all requests were handed back. The claim comes before the hand-back, after
// it, or while both wait for the request's lock. In each case the attempt ends and the client gets exactly one answer.
func TestAttemptThatClaimsDuringHandBackEnds(t *testing.T) {
	t.Parallel()
	for i := range 300 {
		core, backends := startCore(t.Context(), 1, 10)
		core.Settings.Resume = true
		request := NewRequest(
			standpoint.Request{PromptTokens: 10, MaxTokens: 10, Deadline: core.Expires(time.Now(), time.Minute)},
			Work{},
			acceptingClient{},
		)
		answered := make(chan Answer, 1)
		go func() {
			answer, _ := core.Serve(t.Context(), request)
			answered <- answer
		}()
		attempt := <-backends.sent
		claimResult := make(chan bool, 1)
		switch i % 3 {
		case 0:
			claimResult <- attempt.Claim()
			core.HandBack(true)
		case 1:
			core.HandBack(true)
			<-attempt.Context().Done()
			claimResult <- attempt.Claim()
		case 2: // both orders are correct
			request.mu.Lock()
			core.HandBack(true)
			go func() { claimResult <- attempt.Claim() }()
			time.Sleep(time.Duration(i%4) * 100 * time.Microsecond)
			request.mu.Unlock()
		}
		claimed := <-claimResult
		if i%3 < 2 {
			require.Equal(t, i%3 == 0, claimed)
		}
		select {
		case <-attempt.Context().Done():
		case <-time.After(10 * time.Second):
			t.Fatalf("attempt still runs 10 s after the hand-back; claimed: %v", claimed)
		}
		if answer := <-answered; claimed {
			require.Equal(t, Interrupted, answer.Kind)
			require.ErrorIs(t, context.Cause(attempt.Context()), ErrHandedBack)
		} else {
			require.Equal(t, Rejected, answer.Kind)
		}
	}
}

// TestRequestAdoptedAfterHandBackEnds guards against a stream that another process hands over after this process has
// handed back all its requests: it ends as they did.
func TestRequestAdoptedAfterHandBackEnds(t *testing.T) {
	t.Parallel()
	core, _ := startCore(t.Context(), 1, 10)
	core.Settings.Resume = true
	core.HandBack(true)
	answer := core.Adopt(t.Context(), newTestRequest(core, 0, time.Minute), BegunStream{}, func(a *Attempt) {
		<-a.Context().Done()
		a.Finish(Result{Code: standpoint.Cancelled})
	})
	require.Equal(t, Interrupted, answer.Kind)
}

// TestAdoptedStreamsAreNeverRejected guards against streams that are cut off at an upgrade because this process has no
// place for them: the process that passes them has admitted them. They count, so that further requests are rejected.
func TestAdoptedStreamsAreNeverRejected(t *testing.T) {
	t.Parallel()
	const maxRequests, adopted = 4, 10
	core, _ := startCore(t.Context(), 2, maxRequests)
	release := make(chan struct{})
	answers := make(chan Answer, adopted)
	for range adopted {
		go func() {
			answers <- core.Adopt(t.Context(), newTestRequest(core, 0, time.Minute), BegunStream{}, func(a *Attempt) {
				<-release
				a.Finish(Result{Code: standpoint.Served})
			})
		}()
	}
	require.Eventually(t, func() bool { return core.OpenRequests() == adopted }, 10*time.Second, time.Millisecond)
	_, err := core.Serve(t.Context(), newTestRequest(core, 1, time.Minute))
	require.ErrorIs(t, err, ErrRequestLimit)
	close(release)
	for range adopted {
		require.Equal(t, Served, (<-answers).Kind)
	}
	require.Eventually(t, func() bool { return core.OpenRequests() == 0 }, 10*time.Second, time.Millisecond)
}

// acceptingClient is a client that accepts all events.
type acceptingClient struct{}

func (acceptingClient) Begin() error       { return nil }
func (acceptingClient) Event([]byte) error { return nil }

// recordingParts is a Pools that assigns a request only when the test allows it, and a Backends. Both record their
// calls in order.
type recordingParts struct {
	discardingPools
	allow  chan struct{}
	events chan string
}

// discardingPools is a Pools that ignores all calls.
type discardingPools struct{}

func (discardingPools) Place(*Endpoint) int                         { return 0 }
func (discardingPools) UpdateEndpoints(EndpointList)                {}
func (discardingPools) RecordSent(*standpoint.Request, string, int) {}
func (discardingPools) RecordFinished(Observation)                  {}
func (discardingPools) RecordRejected(*standpoint.Request)          {}
func (n recordingParts) Assign(*standpoint.Request) int             { <-n.allow; n.events <- "request"; return 0 }
func (n recordingParts) Update(EndpointList)                        { n.events <- "list" }
func (recordingParts) Send(_ *Attempt) bool                         { return false }

// TestEndpointListsGoBeforeTheMailbox guards against an endpoint list that waits behind the messages in the mailbox:
// the Backends get it as soon as the current message has been handled.
func TestEndpointListsGoBeforeTheMailbox(t *testing.T) {
	t.Parallel()
	recorder := recordingParts{allow: make(chan struct{}), events: make(chan string, 1000)}
	settings := standpoint.Settings{
		Gateways:      1,
		MaxAttempts:   3,
		EventInterval: 1e6,
		Kinds:         1,
		Tenants:       make([]standpoint.Tenant, 1),
		Classes:       []standpoint.Class{{Streamed: true, TTFTObjective: 1e9, Deadline: 10e9, Weight: 1}},
	}
	core := New(Options{
		Settings:    settings,
		Seed:        1,
		MaxRequests: 1000,
		Backends:    recorder,
		Pools:       recorder,
		Watcher:     noopWatcher{},
		Log:         zap.NewNop(),
	})
	go core.Run(t.Context())
	const waiting = 500
	for range waiting {
		go func() { _, _ = core.Serve(t.Context(), newTestRequest(core, 0, time.Minute)) }()
	}
	require.Eventually(
		t,
		func() bool { return len(core.mailbox) == waiting-1 },
		10*time.Second,
		time.Millisecond,
		"all but one request wait in the mailbox",
	)
	core.UpdateEndpoints(EndpointList{Kind: standpoint.ListFull})
	for range waiting {
		recorder.allow <- struct{}{}
	}
	require.Equal(t, "request", <-recorder.events)
	require.Equal(t, "list", <-recorder.events)
}
