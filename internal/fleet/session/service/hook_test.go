package service

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/fleet/session"
	"standpoint/internal/node"
)

// A call is forwarded, ends the response or pauses the session. If a response has several calls, a rejected one
// takes precedence over one that pauses the session.
func TestToolCallActions(t *testing.T) {
	c := newCluster(t, 1, nil)
	for tools, want := range map[string]node.HookAction{
		"look":       node.HookContinue,
		"unknown":    node.HookContinue,
		"hours":      node.HookStop,
		"look,hours": node.HookStop,
		"pay":        node.HookStop,
		"hours,pay":  node.HookStop,
	} {
		h := c.hook(0)
		events := callEvents(strings.Split(tools, ",")...)
		passed, then := h.Event([]byte(events))
		require.Equal(t, want, then, tools)
		if strings.Contains(tools, "pay") {
			require.NotContains(t, string(passed), "tool_calls", "a rejected call is not forwarded")
			require.Contains(t, string(passed), "pay may not be called")
			last, _, err := h.Stopped()
			require.NoError(t, err)
			require.Empty(t, resumeKeyIn(last))
			require.Contains(t, string(last), "[DONE]")
			continue
		}
		require.Equal(t, events, string(passed), "events are forwarded unchanged")
	}
	require.Empty(t, c.store.List(""))
	require.False(t, c.nodes[0].InspectsResponse([]byte(`{"messages":[]}`)))
	require.True(t, c.nodes[0].InspectsResponse([]byte(requestBody)))
}

// A claim is released if the resumed response does not complete, whether or not output was forwarded, so that the
// session can be claimed again.
func TestBrokenResponsesReleaseTheirClaim(t *testing.T) {
	c := newCluster(t, 1, nil)
	key := c.pause(t, 0, "hours")
	for i := range 3 {
		resumed, rejection := c.nodes[0].Resume(t.Context(), key, fmt.Sprint("q", i), 2, resultsFor("c0"))
		require.Nil(t, rejection)
		h := resumed.Hook(noBackend, func() {})
		if i == 1 {
			_, _ = h.Event([]byte(contentEvent("half")))
		}
		h.Finished(node.Answer{Kind: node.Interrupted})
		require.Eventually(t, func() bool {
			id, _, _ := session.ParseResumeKey(key)
			record, _, err := readRecord(c.store, id)
			return err == nil && record.State == session.Paused
		}, 5*time.Second, time.Millisecond)
	}
	require.Zero(t, c.nodes[0].inFlight.Load())
}
