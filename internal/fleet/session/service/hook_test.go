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

// A call is passed on and the decoding continues, or ends the answer, or pauses the session; of several in one answer
// one that may not be made ends it, else one that pauses the session does.
func TestWhatCallsDo(t *testing.T) {
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
			require.NotContains(t, string(passed), "tool_calls", "a call that may not be made is not passed on")
			require.Contains(t, string(passed), "pay may not be called")
			last, _ := h.Stopped()
			require.Empty(t, resumeKeyIn(last))
			require.Contains(t, string(last), "[DONE]")
			continue
		}
		require.Equal(t, events, string(passed), "as it came")
	}
	require.Empty(t, c.store.List(""))
	require.False(t, c.nodes[0].InspectsResponse([]byte(`{"messages":[]}`)))
	require.True(t, c.nodes[0].InspectsResponse([]byte(requestBody)))
}

// What is not final is released: a request that was rejected or broken off leaves its session to be claimed again.
func TestBrokenAnswersReleaseTheirClaim(t *testing.T) {
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
