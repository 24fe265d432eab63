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

// world is nodes that share one store, whose leader the first is; clock and reach are the test's.
type world struct {
	keys  store.Store
	now   atomic.Int64
	cut   atomic.Bool
	pace  float64
	nodes []*Service
	guard *invariant.Monitor
}

func start(t testing.TB, nodes int, edit func(*Options)) *world {
	w := &world{keys: store.NewMemory(), pace: 1, guard: &invariant.Monitor{}}
	w.now.Store(1000 * int64(time.Second))
	for i := range nodes {
		o := Options{Tools: []Tool{{Name: "hours", Action: PauseSession, ResultTimeout: 30 * time.Second, MaxResultBytes: 100, Class: -1}, {Name: "look", Action: PassThrough}, {Name: "pay", Action: RejectCall},
			{Name: "roster", Action: PauseSession, ResultTimeout: 10 * time.Second, MaxResultBytes: 50, Class: 1}}, Limits: session.Limits{MaxDataBytes: 1 << 20, Retention: int64(time.Minute), MaxPaused: 20_000, MaxPausedPerTenant: 20_000},
			DecodeTimeout: 20 * time.Second, ResumeRate: 1e6, MaxConcurrentResumes: 1 << 20, Slot: string(rune('a' + i)), Incarnation: 1, ClockError: 100 * time.Millisecond, Now: w.now.Load, RateFactor: func() float64 { return w.pace },
			Store: w.keys, Invariants: w.guard, Log: zap.NewNop(), BackendStart: func(string) int64 { return 7 }}
		o.CallLeader = func(ctx context.Context, _ string, in, out any) error {
			if w.cut.Load() {
				return fleet.ErrNoLeader
			}
			body, err := json.Marshal(in)
			if err != nil {
				return err
			}
			back, err := w.nodes[0].registry.handle(ctx, body)
			if err != nil {
				return err
			}
			return json.Unmarshal(back, out)
		}
		if edit != nil {
			edit(&o)
		}
		s, err := New(o, nil)
		require.NoError(t, err)
		w.nodes = append(w.nodes, s)
	}
	return w
}

const asked = `{"model":"m","stream":true,"tools":[{"type":"function"}],"messages":[{"role":"user","content":"who works today?"}],"max_tokens":90}`

func (w *world) hook(at int) node.Hook {
	q := standpoint.Request{Tenant: 2, Session: 9, PromptTokens: 10, MaxTokens: 90}
	return w.nodes[at].Hook(q, []byte(asked), func() string { return "box" })
}

func says(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", text)
}

func calls(names ...string) string {
	var b strings.Builder
	for i, name := range names { // as streams bring them: a name, then its arguments in pieces
		fmt.Fprintf(&b, "data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":%d,\"id\":\"c%d\",\"type\":\"function\",\"function\":{\"name\":%q,\"arguments\":\"\"}}]}}]}\n\n", i, i, name)
		fmt.Fprintf(&b, "data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":%d,\"function\":{\"arguments\":\"{\\\"crew\\\"\"}}]}}]}\n\n", i)
		fmt.Fprintf(&b, "data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":%d,\"function\":{\"arguments\":\":1}\"}}]}}]}\n\n", i)
	}
	return b.String() + "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"tool_calls\"}]}\n\n"
}

// key is what the client got to resume by; "" where it got none.
func key(last []byte) string {
	_, rest, _ := strings.Cut(string(last), `"resume":"`)
	k, _, _ := strings.Cut(rest, `"`)
	return k
}

func pause(t testing.TB, w *world, at int, names ...string) string {
	h := w.hook(at)
	pass, then := h.Event([]byte(says("the crew is ") + calls(names...)))
	require.Equal(t, node.Stop, then)
	require.Contains(t, string(pass), "tool_calls")
	last, usage := h.Stopped()
	require.Contains(t, string(last), "[DONE]")
	require.EqualValues(t, 3+(len(names)*10+3)/4, usage.Out+0, "four characters a token")
	h.Over(node.Answer{Kind: node.Served})
	return key(last)
}

func answers(ids ...string) []byte {
	var all []string
	for _, id := range ids {
		all = append(all, fmt.Sprintf(`{"role":"tool","tool_call_id":%q,"content":"Aidar"}`, id))
	}
	return []byte(`{"messages":[` + strings.Join(all, ",") + `]}`)
}

// What a call does: it is passed on and the decoding goes on, or the answer ends there, or it pauses; of several in one answer
// one that may not be made ends it, else one that pauses pauses it.
func TestWhatCallsDo(t *testing.T) {
	w := start(t, 1, nil)
	for names, want := range map[string]node.Then{"look": node.GoOn, "unknown": node.GoOn, "hours": node.Stop, "look,hours": node.Stop, "pay": node.Stop, "hours,pay": node.Stop} {
		h := w.hook(0)
		text := calls(strings.Split(names, ",")...)
		pass, then := h.Event([]byte(text))
		require.Equal(t, want, then, names)
		if strings.Contains(names, "pay") {
			require.NotContains(t, string(pass), "tool_calls", "a call that may not be made is not passed on")
			require.Contains(t, string(pass), "pay may not be called")
			last, _ := h.Stopped()
			require.Empty(t, key(last))
			require.Contains(t, string(last), "[DONE]")
			continue
		}
		require.Equal(t, text, string(pass), "as it came")
	}
	require.Empty(t, w.keys.List(""))
	require.False(t, w.nodes[0].InspectsResponse([]byte(`{"messages":[]}`)))
	require.True(t, w.nodes[0].InspectsResponse([]byte(asked)))
}

// A session goes on at another node, with the whole prompt built anew, charged for the results alone, and by its tool's class; it may
// pause again there. Wrong results leave it as it was.
func TestResume(t *testing.T) {
	w := start(t, 2, nil)
	k := pause(t, w, 0, "hours", "roster")
	b := w.nodes[1]
	refused := func(status int, wait bool, tenant int, body []byte) {
		t.Helper()
		r, f := b.Resume(t.Context(), k, "q", tenant, body)
		require.Nil(t, r)
		require.Equal(t, status, f.Status, f.Message)
		require.Equal(t, wait, f.RetryAfter > 0)
	}
	refused(400, false, 2, answers("c0"))
	refused(400, false, 2, answers("c0", "c1", "c2"))
	refused(400, false, 2, []byte(`{"messages":[{"role":"user","content":"c0"}]}`))
	refused(413, false, 2, []byte(strings.Replace(string(answers("c0", "c1")), "Aidar", strings.Repeat("x", 200), 1)))
	refused(404, false, 1, answers("c0", "c1"))
	r, f := b.Resume(t.Context(), k, "q", 2, answers("c0", "c1"))
	require.Nil(t, f)
	var body struct {
		Model    string
		Messages []struct {
			Role, Content string
			ToolCallID    string     `json:"tool_call_id"`
			ToolCalls     []toolCall `json:"tool_calls"`
		}
	}
	require.NoError(t, json.Unmarshal(r.Body, &body))
	require.Equal(t, "m", body.Model)
	require.Len(t, body.Messages, 4)
	require.Equal(t, "the crew is ", body.Messages[1].Content)
	require.Equal(t, `{"crew":1}`, body.Messages[1].ToolCalls[1].Function.Arguments)
	require.Equal(t, "c1", body.Messages[3].ToolCallID)
	require.Equal(t, 1, r.Request.Class)
	require.EqualValues(t, 4, r.UncachedTokens, "two results of seven characters, as they stand")
	require.EqualValues(t, 7, r.BackendStart)
	require.Equal(t, "box", r.Backend)
	_, f = w.nodes[0].Resume(t.Context(), k, "another", 2, answers("c0", "c1"))
	require.Equal(t, 409, f.Status)
	require.Positive(t, f.RetryAfter, "somebody goes on with it now")
	h := r.Hook(func() string { return "box" }, func() {})
	_, then := h.Event([]byte(says("and ") + calls("hours")))
	require.Equal(t, node.Stop, then)
	last, _ := h.Stopped()
	h.Over(node.Answer{Kind: node.Served})
	next := key(last)
	require.NotEmpty(t, next)
	refused(409, false, 2, answers("c0", "c1"))
	r, f = w.nodes[0].Resume(t.Context(), next, "q2", 2, answers("c0"))
	require.Nil(t, f)
	h = r.Hook(func() string { return "box" }, func() {})
	_, then = h.Event([]byte(says("done") + "data: [DONE]\n\n"))
	require.Equal(t, node.GoOn, then)
	h.Over(node.Answer{Kind: node.Served})
	k = next
	refused(409, false, 2, answers("c0"))
	require.Empty(t, w.guard.Violations())
}

// What is not final is given back: a flow that was refused or broken off leaves its session to be claimed again.
func TestGivenBack(t *testing.T) {
	w := start(t, 1, nil)
	k := pause(t, w, 0, "hours")
	for i := range 3 {
		r, f := w.nodes[0].Resume(t.Context(), k, fmt.Sprint("q", i), 2, answers("c0"))
		require.Nil(t, f)
		h := r.Hook(func() string { return "" }, func() {})
		if i == 1 {
			_, _ = h.Event([]byte(says("half")))
		}
		h.Over(node.Answer{Kind: node.Broken})
		require.Eventually(t, func() bool {
			id, _, _ := session.ParseResumeKey(k)
			record, _, err := read(w.keys, id)
			return err == nil && record.State == session.Paused
		}, 5*time.Second, time.Millisecond)
	}
	require.Zero(t, w.nodes[0].inFlight.Load())
}

// A tool that never answers, a cancel that races the result, and the ends of what is over.
func TestEnds(t *testing.T) {
	w := start(t, 1, nil)
	s := w.nodes[0]
	late, off, raced := pause(t, w, 0, "hours"), pause(t, w, 0, "hours"), pause(t, w, 0, "hours")
	require.Nil(t, s.Cancel(t.Context(), off))
	require.Nil(t, s.Cancel(t.Context(), off))
	_, f := s.Resume(t.Context(), off, "q", 2, answers("c0"))
	require.Equal(t, 410, f.Status)
	_, f = s.Resume(t.Context(), raced, "q", 2, answers("c0"))
	require.Nil(t, f)
	require.Equal(t, 409, s.Cancel(t.Context(), raced).Status, "the result was first")
	w.now.Add(int64(31 * time.Second))
	s.registry.sweep(t.Context())
	_, f = s.Resume(t.Context(), late, "q", 2, answers("c0"))
	require.Equal(t, 410, f.Status)
	require.Zero(t, f.RetryAfter)
	require.Equal(t, 1, s.registry.pausedCount(), "the one whose claim ended without a word waits on")
	w.now.Add(int64(2 * time.Minute))
	for range 3 {
		s.registry.sweep(t.Context())
		w.now.Add(int64(2 * time.Minute))
	}
	require.Empty(t, w.keys.List(prefix), "what is over is forgotten")
	_, f = s.Resume(t.Context(), late, "q", 2, answers("c0"))
	require.Equal(t, 404, f.Status)
}

// Cut off from those who know, a node gives no key and claims nothing, and says at once when to come back.
func TestCutOff(t *testing.T) {
	w := start(t, 2, nil)
	k := pause(t, w, 0, "hours")
	w.cut.Store(true)
	from := time.Now()
	_, f := w.nodes[1].Resume(t.Context(), k, "q", 2, answers("c0"))
	require.Equal(t, 503, f.Status)
	require.Positive(t, f.RetryAfter)
	require.Less(t, time.Since(from), time.Second)
	require.Empty(t, pause(t, w, 0, "hours"), "the call is passed on, without a key")
	require.EqualValues(t, 1, w.nodes[0].Unrecorded.Load())
	w.cut.Store(false)
	_, f = w.nodes[1].Resume(t.Context(), k, "q", 2, answers("c0"))
	require.Nil(t, f)
}

// Resumes come at a pace, slower while the fleet heals, and leave room for fresh requests.
func TestPace(t *testing.T) {
	w := start(t, 1, func(o *Options) { o.ResumeRate, o.MaxConcurrentResumes = 10, 3 })
	s := w.nodes[0]
	var keys []string
	for range 60 {
		keys = append(keys, pause(t, w, 0, "hours"))
	}
	taken := func(span time.Duration) (n int) {
		for range span / (10 * time.Millisecond) {
			w.now.Add(int64(10 * time.Millisecond))
			if r, _ := s.Resume(t.Context(), keys[0], "q"+keys[0], 2, answers("c0")); r != nil {
				keys = keys[1:]
				r.Hook(func() string { return "" }, func() {}).Over(node.Answer{Kind: node.Served})
				n++
			}
		}
		return n
	}
	taken(2 * time.Second) // what was saved up
	require.InDelta(t, 10, taken(time.Second), 1)
	w.pace = 0.2
	require.InDelta(t, 2, taken(time.Second), 1)
	w.pace = 1
	s.MaxConcurrentResumes = 0
	require.Zero(t, taken(time.Second))
}

// Places are bounded, by tenant too, by the leader; and 10,000 sessions that paused at one node go on at another, each once.
func TestManySessions(t *testing.T) {
	w := start(t, 2, nil)
	var keys []string
	for range 10_000 {
		keys = append(keys, pause(t, w, 0, "hours"))
	}
	w.nodes[0].registry = newRegistry(w.keys, session.Limits{MaxDataBytes: 1 << 20, Retention: 1, MaxPaused: 10_000, MaxPausedPerTenant: 10_000}, time.Millisecond, w.now.Load, w.guard, zap.NewNop()) // another leader
	require.Empty(t, pause(t, w, 0, "hours"), "there are as many as there may be")
	w.nodes[0] = nil // the node that paused them is gone
	again, err := New(w.nodes[1].Options, nil)
	require.NoError(t, err)
	w.nodes[0] = again
	for i, k := range keys {
		_, f := w.nodes[1].Resume(t.Context(), k, fmt.Sprint("q", i), 2, answers("c0"))
		require.Nil(t, f)
		_, f = w.nodes[0].Resume(t.Context(), k, fmt.Sprint("p", i), 2, answers("c0"))
		require.NotNil(t, f)
	}
	require.Empty(t, w.guard.Violations())
}
