package service

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/session"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

// cluster is nodes that share one store, which the first of them leads.
type cluster struct {
	store      store.Store
	nodes      []*Service
	monitor    *invariant.Monitor
	now        atomic.Int64 // Unix nanoseconds
	leaderless atomic.Bool  // no node reaches the leader
	rateFactor float64
}

func testTools() []Tool {
	return []Tool{
		{Name: "hours", Action: PauseSession, ResultTimeout: 30 * time.Second, MaxResultBytes: 100, Class: -1},
		{Name: "look", Action: PassThrough},
		{Name: "pay", Action: RejectCall},
		{Name: "roster", Action: PauseSession, ResultTimeout: 10 * time.Second, MaxResultBytes: 50, Class: 1},
	}
}

func newCluster(t testing.TB, nodes int, edit func(*Options)) *cluster {
	t.Helper()
	c := &cluster{store: store.NewMemory(), rateFactor: 1, monitor: &invariant.Monitor{}}
	c.now.Store(1000 * int64(time.Second))
	for i := range nodes {
		o := Options{
			Tools: testTools(),
			Limits: session.Limits{
				MaxDataBytes:       1 << 20,
				Retention:          int64(time.Minute),
				MaxPaused:          20_000,
				MaxPausedPerTenant: 20_000,
			},
			DecodeTimeout:        20 * time.Second,
			ResumeRate:           1e6,
			MaxConcurrentResumes: 1 << 20,
			Slot:                 string(rune('a' + i)),
			Incarnation:          1,
			ClockError:           100 * time.Millisecond,
			Now:                  c.now.Load,
			RateFactor:           func() float64 { return c.rateFactor },
			CallLeader:           c.callLeader,
			Store:                c.store,
			Invariants:           c.monitor,
			Log:                  zap.NewNop(),
			BackendStart:         func(string) int64 { return 7 },
		}
		if edit != nil {
			edit(&o)
		}
		s, err := New(o, nil)
		require.NoError(t, err)
		c.nodes = append(c.nodes, s)
	}
	return c
}

func (c *cluster) callLeader(ctx context.Context, _ string, in, out any) error {
	if c.leaderless.Load() {
		return fleet.ErrNoLeader
	}
	request, err := json.Marshal(in)
	if err != nil {
		return err
	}
	response, err := c.nodes[0].registry.handle(ctx, request)
	if err != nil {
		return err
	}
	return json.Unmarshal(response, out)
}

const requestBody = `{"model":"m","stream":true,"tools":[{"type":"function"}],` +
	`"messages":[{"role":"user","content":"who works today?"}],"max_tokens":90}`

// hook returns what inspects the answer to a request at a node.
func (c *cluster) hook(at int) node.Hook {
	request := standpoint.Request{Tenant: 2, Session: 9, PromptTokens: 10, MaxTokens: 90}
	return c.nodes[at].Hook(request, []byte(requestBody), func() string { return "box" })
}

// pause has an answer pause at a node by calls of tools, and returns the client's key; "" where it got none.
func (c *cluster) pause(t testing.TB, at int, tools ...string) string {
	t.Helper()
	h := c.hook(at)
	passed, then := h.Event([]byte(contentEvent("the crew is ") + callEvents(tools...)))
	require.Equal(t, node.HookStop, then)
	require.Contains(t, string(passed), "tool_calls")
	last, usage := h.Stopped()
	require.Contains(t, string(last), "[DONE]")
	require.EqualValues(t, 3+(len(tools)*10+3)/4, usage.OutputTokens, "four characters a token")
	h.Finished(node.Answer{Kind: node.Served})
	return resumeKeyIn(last)
}

func contentEvent(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", text)
}

// callEvents are calls as streams bring them: a name, then its arguments in parts.
func callEvents(tools ...string) string {
	const event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":%d,%s}]}}]}\n\n"
	var b strings.Builder
	for i, tool := range tools {
		begin := fmt.Sprintf(`"id":"c%d","type":"function","function":{"name":%q,"arguments":""}`, i, tool)
		for _, part := range []string{begin, `"function":{"arguments":"{\"crew\""}`, `"function":{"arguments":":1}"}`} {
			fmt.Fprintf(&b, event, i, part)
		}
	}
	return b.String() + "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"tool_calls\"}]}\n\n"
}

// resumeKeyIn returns the key that the end of a stream holds, "" where it holds none.
func resumeKeyIn(last []byte) string {
	_, rest, _ := strings.Cut(string(last), `"resume":"`)
	key, _, _ := strings.Cut(rest, `"`)
	return key
}

// resultsFor is the body of a request that resumes a session with results of calls.
func resultsFor(ids ...string) []byte {
	var messages []string
	for _, id := range ids {
		messages = append(messages, fmt.Sprintf(`{"role":"tool","tool_call_id":%q,"content":"Aidar"}`, id))
	}
	return []byte(`{"messages":[` + strings.Join(messages, ",") + `]}`)
}

func noBackend() string { return "" }
