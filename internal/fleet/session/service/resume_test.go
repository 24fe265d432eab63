package service

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/fleet/session"
	"standpoint/internal/node"
)

// requireRejected requires that a node rejects a resume with the given status, and with a retry delay only if retry is
// set.
func requireRejected(t *testing.T, s *Service, key string, tenant int, body []byte, status int, retry bool) {
	t.Helper()
	resumed, rejection := s.Resume(t.Context(), key, "q", tenant, body)
	require.Nil(t, resumed)
	require.Equal(t, status, rejection.Status, rejection.Message)
	require.Equal(t, retry, rejection.RetryAfter > 0)
}

// Requests with results that do not match or are too large, and requests of another tenant, leave a session unchanged:
// it can still be resumed.
func TestRejectedResumes(t *testing.T) {
	c := newCluster(t, 2, nil)
	key := c.pause(t, 0, "hours", "roster")
	long := strings.Replace(string(resultsFor("c0", "c1")), "Aidar", strings.Repeat("x", 200), 1)
	requireRejected(t, c.nodes[1], key, 2, resultsFor("c0"), 400, false)
	requireRejected(t, c.nodes[1], key, 2, resultsFor("c0", "c1", "c2"), 400, false)
	requireRejected(t, c.nodes[1], key, 2, []byte(`{"messages":[{"role":"user","content":"c0"}]}`), 400, false)
	requireRejected(t, c.nodes[1], key, 2, []byte(long), 413, false)
	requireRejected(t, c.nodes[1], key, 1, resultsFor("c0", "c1"), 404, false)
	_, rejection := c.nodes[1].Resume(t.Context(), key, "q", 2, resultsFor("c0", "c1"))
	require.Nil(t, rejection)
	require.Empty(t, c.monitor.Violations())
}

// A session is resumed at another node with its prompt rebuilt and in its tool's class. Only the results count as
// uncached prompt tokens.
func TestResumeRebuildsTheRequest(t *testing.T) {
	c := newCluster(t, 2, nil)
	key := c.pause(t, 0, "hours", "roster")
	resumed, rejection := c.nodes[1].Resume(t.Context(), key, "q", 2, resultsFor("c0", "c1"))
	require.Nil(t, rejection)
	var body struct {
		Model    string
		Messages []struct {
			Role, Content string
			ToolCallID    string     `json:"tool_call_id"`
			ToolCalls     []toolCall `json:"tool_calls"`
		}
	}
	require.NoError(t, json.Unmarshal(resumed.Body, &body))
	require.Equal(t, "m", body.Model)
	require.Len(t, body.Messages, 4)
	require.Equal(t, "the crew is ", body.Messages[1].Content)
	require.Equal(t, `{"crew":1}`, body.Messages[1].ToolCalls[1].Function.Arguments)
	require.Equal(t, "c1", body.Messages[3].ToolCallID)
	require.Equal(t, 1, resumed.Request.Class)
	require.EqualValues(t, 4, resumed.UncachedTokens, "two results of seven characters with their quotes")
	require.EqualValues(t, 7, resumed.BackendStart)
	require.Equal(t, "box", resumed.Backend)
}

// Only one request at a time can claim a session. A resumed session can pause again at the node that resumed it, which
// gives it a new key, and each key can be used only once.
func TestResumedSessionsPauseAgain(t *testing.T) {
	c := newCluster(t, 2, nil)
	backend := func() string { return "box" }
	first := c.pause(t, 0, "hours", "roster")
	resumed, rejection := c.nodes[1].Resume(t.Context(), first, "q", 2, resultsFor("c0", "c1"))
	require.Nil(t, rejection)
	_, rejection = c.nodes[0].Resume(t.Context(), first, "another", 2, resultsFor("c0", "c1"))
	require.Equal(t, 409, rejection.Status)
	require.Positive(t, rejection.RetryAfter, "the claim is temporary")
	h := resumed.Hook(backend, func() {})
	_, then := h.Event([]byte(contentEvent("and ") + callEvents("hours")))
	require.Equal(t, node.HookStop, then)
	last, _, err := h.Stopped()
	require.NoError(t, err)
	h.Finished(node.Answer{Kind: node.Served})
	second := resumeKeyIn(last)
	require.NotEmpty(t, second)
	requireRejected(t, c.nodes[1], first, 2, resultsFor("c0", "c1"), 409, false)
	resumed, rejection = c.nodes[0].Resume(t.Context(), second, "q2", 2, resultsFor("c0"))
	require.Nil(t, rejection)
	h = resumed.Hook(backend, func() {})
	_, then = h.Event([]byte(contentEvent("done") + "data: [DONE]\n\n"))
	require.Equal(t, node.HookContinue, then)
	h.Finished(node.Answer{Kind: node.Served})
	requireRejected(t, c.nodes[1], second, 2, resultsFor("c0"), 409, false)
	require.Empty(t, c.monitor.Violations())
}

// Guards against a data race of the begin of a resumed session, which is recorded beside the response, and the next
// pause of the session. The begin is held up until the session has paused, so that nothing orders the two: if both use
// one field of the hook, the race detector finds it in every run.
func TestBeginIsRecordedBesideTheNextPause(t *testing.T) {
	var c *cluster
	paused := make(chan struct{})
	begun := make(chan string, 1)
	c = newCluster(t, 1, func(o *Options) {
		o.CallLeader = func(ctx context.Context, method string, in, out any) error {
			command, ok := in.(session.Command)
			if !ok || command.Kind != session.Begin {
				return c.callLeader(ctx, method, in, out)
			}
			<-paused
			begun <- command.ID
			return c.callLeader(ctx, method, in, out)
		}
	})
	resumed, rejection := c.nodes[0].Resume(t.Context(), c.pause(t, 0, "hours"), "q", 2, resultsFor("c0"))
	require.Nil(t, rejection)
	h := resumed.Hook(func() string { return "box" }, func() {})
	_, action := h.Event([]byte(contentEvent("and ") + callEvents("hours")))
	require.Equal(t, node.HookStop, action)
	last, _, err := h.Stopped()
	require.NoError(t, err)
	key := resumeKeyIn(last)
	require.NotEmpty(t, key)
	close(paused)
	id, _, err := session.ParseResumeKey(key)
	require.NoError(t, err)
	require.Equal(t, id, <-begun)
	h.Finished(node.Answer{Kind: node.Served})
}

// A session expires if its tool returns no result in time, and a cancelled session cannot be resumed. A cancellation
// after a claim fails. Records of sessions that are over are deleted after the retention time.
func TestExpiredAndCancelledSessions(t *testing.T) {
	c := newCluster(t, 1, nil)
	s := c.nodes[0]
	late := c.pause(t, 0, "hours")
	cancelled := c.pause(t, 0, "hours")
	raced := c.pause(t, 0, "hours")
	require.Nil(t, s.Cancel(t.Context(), cancelled))
	require.Nil(t, s.Cancel(t.Context(), cancelled))
	_, rejection := s.Resume(t.Context(), cancelled, "q", 2, resultsFor("c0"))
	require.Equal(t, 410, rejection.Status)
	_, rejection = s.Resume(t.Context(), raced, "q", 2, resultsFor("c0"))
	require.Nil(t, rejection)
	require.Equal(t, 409, s.Cancel(t.Context(), raced).Status, "the claim came before the cancellation")
	c.now.Add(int64(31 * time.Second))
	s.registry.sweep(t.Context())
	_, rejection = s.Resume(t.Context(), late, "q", 2, resultsFor("c0"))
	require.Equal(t, 410, rejection.Status)
	require.Zero(t, rejection.RetryAfter)
	require.Equal(t, 1, s.registry.pausedCount(), "the session whose claim lapsed is paused again")
	c.now.Add(int64(2 * time.Minute))
	for range 3 {
		s.registry.sweep(t.Context())
		c.now.Add(int64(2 * time.Minute))
	}
	require.Empty(t, c.store.List(keyPrefix), "records of sessions that are over are deleted")
	_, rejection = s.Resume(t.Context(), late, "q", 2, resultsFor("c0"))
	require.Equal(t, 404, rejection.Status)
}

// A node that cannot reach the leader gives no resume key, and rejects a resume without delay and with a retry delay.
func TestWithoutALeader(t *testing.T) {
	c := newCluster(t, 2, nil)
	key := c.pause(t, 0, "hours")
	c.leaderless.Store(true)
	startedAt := time.Now()
	_, rejection := c.nodes[1].Resume(t.Context(), key, "q", 2, resultsFor("c0"))
	require.Equal(t, 503, rejection.Status)
	require.Positive(t, rejection.RetryAfter)
	require.Less(t, time.Since(startedAt), time.Second)
	require.Empty(t, c.pause(t, 0, "hours"), "the call is forwarded without a resume key")
	require.EqualValues(t, 1, c.nodes[0].Unrecorded.Load())
	c.leaderless.Store(false)
	_, rejection = c.nodes[1].Resume(t.Context(), key, "q", 2, resultsFor("c0"))
	require.Nil(t, rejection)
}

// Resumes are limited in rate, by a lower rate while the fleet recovers from a partition, and in number in flight.
func TestResumeRate(t *testing.T) {
	c := newCluster(t, 1, func(options *Options) {
		options.ResumeRate = 10
		options.MaxConcurrentResumes = 3
	})
	s := c.nodes[0]
	var keys []string
	for range 60 {
		keys = append(keys, c.pause(t, 0, "hours"))
	}
	const interval = 10 * time.Millisecond
	admitted := func(span time.Duration) (count int) {
		for range span / interval {
			c.now.Add(int64(interval))
			if resumed, _ := s.Resume(t.Context(), keys[0], "q"+keys[0], 2, resultsFor("c0")); resumed != nil {
				keys = keys[1:]
				resumed.Hook(noBackend, func() {}).Finished(node.Answer{Kind: node.Served})
				count++
			}
		}
		return count
	}
	admitted(2 * time.Second) // uses up the tokens saved so far
	require.InDelta(t, 10, admitted(time.Second), 1)
	c.rateFactor = 0.2
	require.InDelta(t, 2, admitted(time.Second), 1)
	c.rateFactor = 1
	s.MaxConcurrentResumes = 0
	require.Zero(t, admitted(time.Second))
}

// The leader bounds the number of paused sessions. 10,000 sessions that were paused at one node can be resumed at
// another after the first has left, each only once.
func TestManySessions(t *testing.T) {
	c := newCluster(t, 2, nil)
	var keys []string
	for range 10_000 {
		keys = append(keys, c.pause(t, 0, "hours"))
	}
	bounded := c.nodes[0].Options
	bounded.Limits.MaxPaused = 10_000
	c.nodes[0].registry = newRegistry(&bounded) // the registry of a new leader
	require.Empty(t, c.pause(t, 0, "hours"), "the maximum number of sessions is paused")
	c.nodes[0] = nil // the node that paused them has left
	restarted, err := New(c.nodes[1].Options, nil)
	require.NoError(t, err)
	c.nodes[0] = restarted
	for i, key := range keys {
		_, rejection := c.nodes[1].Resume(t.Context(), key, fmt.Sprint("q", i), 2, resultsFor("c0"))
		require.Nil(t, rejection)
		_, rejection = c.nodes[0].Resume(t.Context(), key, fmt.Sprint("p", i), 2, resultsFor("c0"))
		require.NotNil(t, rejection)
	}
	require.Empty(t, c.monitor.Violations())
}

// Guards against a key that gives two whole answers: a resumed response that comes to its next call while no leader can
// be reached is not completed, whether the call pauses the session or is rejected, since the end of the session cannot
// be recorded. The key then gives its one answer.
func TestUnrecordedEndInterruptsTheAnswer(t *testing.T) {
	t.Parallel()
	for _, tool := range []string{"hours", "pay"} {
		t.Run(tool, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, nil)
			key := c.pause(t, 0, "hours")
			resumed, rejection := c.nodes[0].Resume(t.Context(), key, "q", 2, resultsFor("c0"))
			require.Nil(t, rejection)
			h := resumed.Hook(noBackend, func() {})
			c.leaderless.Store(true)
			_, action := h.Event([]byte(contentEvent("and ") + callEvents(tool)))
			require.Equal(t, node.HookStop, action)
			_, _, err := h.Stopped()
			require.ErrorIs(t, err, errEndNotRecorded)
			c.leaderless.Store(false)
			h.Finished(node.Answer{Kind: node.Interrupted})
			require.Eventually(t, func() bool {
				resumed, _ = c.nodes[0].Resume(t.Context(), key, "again", 2, resultsFor("c0"))
				return resumed != nil
			}, 10*time.Second, 10*time.Millisecond)
			h = resumed.Hook(noBackend, func() {})
			_, action = h.Event([]byte(contentEvent("done") + "data: [DONE]\n\n"))
			require.Equal(t, node.HookContinue, action)
			h.Finished(node.Answer{Kind: node.Served})
			requireRejected(t, c.nodes[0], key, 2, resultsFor("c0"), 409, false)
		})
	}
}
