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

// cluster is a set of nodes that share one store. The first node is the leader.
type cluster struct {
	store      store.Store
	nodes      []*Service
	monitor    *invariant.Monitor
	now        atomic.Int64 // Unix nanoseconds
	leaderless atomic.Bool  // set while no node can reach the leader
	rateFactor float64
}

// testTools returns two tools that pause the session, one that is passed through and one that is rejected.
func testTools() []Tool {
	return []Tool{
		{Name: "hours", Action: PauseSession, ResultTimeout: 30 * time.Second, MaxResultBytes: 100, Class: -1},
		{Name: "look", Action: PassThrough},
		{Name: "pay", Action: RejectCall},
		{Name: "roster", Action: PauseSession, ResultTimeout: 10 * time.Second, MaxResultBytes: 50, Class: 1},
	}
}

// newCluster returns a cluster of nodes, whose options edit changes if it is not nil.
func newCluster(t testing.TB, nodes int, edit func(*Options)) *cluster {
	t.Helper()
	c := &cluster{store: store.NewMemory(), rateFactor: 1, monitor: &invariant.Monitor{}}
	c.now.Store(1000 * int64(time.Second))
	for i := range nodes {
		options := Options{
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
			edit(&options)
		}
		created, err := New(options, nil)
		require.NoError(t, err)
		c.nodes = append(c.nodes, created)
	}
	return c
}

// callLeader calls the leader's registry, or fails while the cluster is leaderless.
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

// hook returns a node's hook for the response to requestBody.
func (c *cluster) hook(nodeIndex int) node.Hook {
	request := standpoint.Request{Tenant: 2, Session: 9, PromptTokens: 10, MaxTokens: 90}
	return c.nodes[nodeIndex].Hook(request, []byte(requestBody), func() string { return "box" })
}

// pause pauses a session at a node by tool calls in its response, and returns the client's resume key, "" if it got
// none.
func (c *cluster) pause(t testing.TB, nodeIndex int, tools ...string) string {
	t.Helper()
	h := c.hook(nodeIndex)
	passed, then := h.Event([]byte(contentEvent("the crew is ") + callEvents(tools...)))
	require.Equal(t, node.HookStop, then)
	require.Contains(t, string(passed), "tool_calls")
	last, usage, err := h.Stopped()
	require.NoError(t, err)
	require.Contains(t, string(last), "[DONE]")
	require.EqualValues(t, 3+(len(tools)*10+3)/4, usage.OutputTokens, "four characters per token")
	h.Finished(node.Answer{Kind: node.Served})
	return resumeKeyIn(last)
}

// contentEvent returns an event with produced text.
func contentEvent(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", text)
}

// callEvents returns the events of tool calls as backends stream them: the name first, then the arguments in parts.
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

// resumeKeyIn returns the resume key in the last events of a stream, "" if there is none.
func resumeKeyIn(last []byte) string {
	_, rest, _ := strings.Cut(string(last), `"resume":"`)
	key, _, _ := strings.Cut(rest, `"`)
	return key
}

// resultsFor returns the body of a request that resumes a session with results for the calls with the given IDs.
func resultsFor(ids ...string) []byte {
	var messages []string
	for _, id := range ids {
		messages = append(messages, fmt.Sprintf(`{"role":"tool","tool_call_id":%q,"content":"Aidar"}`, id))
	}
	return []byte(`{"messages":[` + strings.Join(messages, ",") + `]}`)
}

// noBackend stands for a response whose backend is unknown.
func noBackend() string { return "" }
