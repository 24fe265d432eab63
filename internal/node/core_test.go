package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
)

// held are backends that take every attempt and hold it until it is given up.
type held struct{ sent chan *Attempt }

func (held) Update(EndpointList) {}
func (h held) Send(a *Attempt) bool {
	h.sent <- a
	go func() {
		<-a.Context().Done()
		a.Finish(Result{Code: standpoint.Cancelled})
	}()
	return true
}

type quiet struct{}

func (quiet) Watch() {}

func start(ctx context.Context, tenants, most int) (*Core, held) {
	s := standpoint.Settings{
		Gateways:    1,
		MaxAttempts: 3,
		Tick:        1e6,
		Cancel:      true,
		Kinds:       1,
		Tenants:     make([]standpoint.Tenant, tenants),
		Classes:     []standpoint.Class{{Streamed: true, TTFTObjective: 1e9, Deadline: 10e9, Weight: 1}},
	}
	h := held{make(chan *Attempt, 20_000)}
	c := New(Options{Settings: s, Seed: 1, MaxRequests: most, Backends: h, Watcher: quiet{}, Log: zap.NewNop()})
	c.UpdateEndpoints(
		EndpointList{
			Kind:      standpoint.ListFull,
			Endpoints: []Endpoint{{Address: "127.0.0.1:1", Engine: standpoint.Engine{Name: "s", Size: 1}}},
		},
	)
	go c.Run(ctx)
	return c, h
}

func flow(c *Core, tenant int, wait time.Duration) *Request {
	return NewRequest(
		standpoint.Request{Tenant: tenant, PromptTokens: 10, MaxTokens: 10, Deadline: c.Expires(time.Now(), wait)},
		Work{},
		nil,
	)
}

// serve has the core serve a request of a tenant. How it ends is not looked at.
func serve(t *testing.T, c *Core, tenant int) {
	_, _ = c.Serve(t.Context(), flow(c, tenant, time.Minute))
}

// A tenant that holds its requests open leaves places for the others. Without the bound, as where there is one
// tenant, it has them all.
func TestOneTenantCannotTakeAllSlots(t *testing.T) {
	for tenants, want := range map[int]int{2: 4, 1: 8} {
		c, h := start(t.Context(), tenants, 8)
		for range want {
			go serve(t, c, 0)
			<-h.sent
		}
		_, err := c.Serve(t.Context(), flow(c, 0, time.Second))
		require.ErrorIs(t, err, ErrBusy)
		if tenants > 1 {
			go serve(t, c, 1)
			<-h.sent
		}
	}
}

// Requests that came with far deadlines and are over leave no timers behind.
func TestTimersOfSettledRequestsAreDropped(t *testing.T) {
	ctx, end := context.WithCancel(t.Context())
	defer end()
	c, h := start(ctx, 1, 10)
	for range 10_000 {
		ctx, leave := context.WithCancel(t.Context())
		go func() { <-h.sent; leave() }()
		_, err := c.Serve(ctx, flow(c, 0, time.Hour))
		require.NoError(t, err)
	}
	end()
	<-c.Stopped()
	require.LessOrEqual(t, len(c.timers), 2*timerSweepMinimum)
}

// An answer begins in the very moment in which all is handed back: before it, behind it, or while its request's lock
// is held until both stand before that. In each case the client has one end of it, and a stream that began does not
// run on into the kill.
func TestAttemptThatClaimsDuringHandBackEnds(t *testing.T) {
	t.Parallel()
	for i := range 300 {
		c, h := start(t.Context(), 1, 10)
		c.Settings.Resume = true
		f := NewRequest(
			standpoint.Request{PromptTokens: 10, MaxTokens: 10, Deadline: c.Expires(time.Now(), time.Minute)},
			Work{},
			begins{},
		)
		over := make(chan Answer, 1)
		go func() {
			a, _ := c.Serve(t.Context(), f)
			over <- a
		}()
		a := <-h.sent
		first := make(chan bool, 1)
		switch i % 3 {
		case 0:
			first <- a.Claim()
			c.HandBack(true)
		case 1:
			c.HandBack(true)
			<-a.Context().Done()
			first <- a.Claim()
		case 2: // either order is right
			f.mu.Lock()
			c.HandBack(true)
			go func() { first <- a.Claim() }()
			time.Sleep(time.Duration(i%4) * 100 * time.Microsecond)
			f.mu.Unlock()
		}
		begun := <-first
		if i%3 < 2 {
			require.Equal(t, i%3 == 0, begun)
		}
		select {
		case <-a.Context().Done():
		case <-time.After(10 * time.Second):
			t.Fatalf("begun: %v, and the attempt goes on", begun)
		}
		if answer := <-over; begun {
			require.Equal(t, Broken, answer.Kind)
			require.ErrorIs(t, context.Cause(a.Context()), ErrHandedBack)
		} else {
			require.Equal(t, Rejected, answer.Kind)
		}
	}
}

// A stream that another process passes on behind the moment in which all was handed back ends as those did.
func TestRequestAdoptedAfterHandBackEnds(t *testing.T) {
	t.Parallel()
	c, _ := start(t.Context(), 1, 10)
	c.Settings.Resume = true
	c.HandBack(true)
	a, err := c.Adopt(t.Context(), flow(c, 0, time.Minute), func(a *Attempt) {
		<-a.Context().Done()
		a.Finish(Result{Code: standpoint.Cancelled})
	})
	require.NoError(t, err)
	require.Equal(t, Broken, a.Kind)
}

// begins is a client that takes everything.
type begins struct{}

func (begins) Begin() error       { return nil }
func (begins) Event([]byte) error { return nil }

// noted are pools of which each request is assigned when the test lets it, and backends; both note what they hear in
// turn.
type noted struct {
	noPools
	let  chan struct{}
	note chan string
}

// noPools are Pools that say nothing.
type noPools struct{}

func (noPools) Place(*Endpoint) int                   { return 0 }
func (noPools) Listed(EndpointList)                   {}
func (noPools) Sent(*standpoint.Request, string, int) {}
func (noPools) Finished(Observation)                  {}
func (noPools) Rejected(*standpoint.Request)          {}
func (n noted) Assign(*standpoint.Request) int        { <-n.let; n.note <- "request"; return 0 }
func (n noted) Update(EndpointList)                   { n.note <- "list" }
func (noted) Send(_ *Attempt) bool                    { return false }

// A list does not wait behind what the mailbox holds: the servers hear of it once the message in hand is done with.
func TestEndpointListsGoBeforeTheMailbox(t *testing.T) {
	t.Parallel()
	n := noted{let: make(chan struct{}), note: make(chan string, 1000)}
	s := standpoint.Settings{Gateways: 1, MaxAttempts: 3, Tick: 1e6, Kinds: 1, Tenants: make([]standpoint.Tenant, 1),
		Classes: []standpoint.Class{{Streamed: true, TTFTObjective: 1e9, Deadline: 10e9, Weight: 1}}}
	c := New(
		Options{Settings: s, Seed: 1, MaxRequests: 1000, Backends: n, Pools: n, Watcher: quiet{}, Log: zap.NewNop()},
	)
	go c.Run(t.Context())
	const waiting = 500
	for range waiting {
		go func() { _, _ = c.Serve(t.Context(), flow(c, 0, time.Minute)) }()
	}
	require.Eventually(
		t,
		func() bool { return len(c.mailbox) == waiting-1 },
		10*time.Second,
		time.Millisecond,
		"one is in hand",
	)
	c.UpdateEndpoints(EndpointList{Kind: standpoint.ListFull})
	for range waiting {
		n.let <- struct{}{}
	}
	require.Equal(t, "request", <-n.note)
	require.Equal(t, "list", <-n.note)
}
