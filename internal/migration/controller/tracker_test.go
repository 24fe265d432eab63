package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/migration"
	"standpoint/internal/node"
)

func TestOverflowedRequestsAreCounted(t *testing.T) {
	tr := NewTracker(file(t, nil), zap.NewNop())
	updateEndpoints(tr, endpoint("box-1", "v1"), endpoint("box-2", "v2"))
	tr.RecordSent(&standpoint.Request{Pool: 2}, "box-1", 0)
	tr.RecordSent(&standpoint.Request{Pool: 2}, "box-1", 1) // a second attempt goes where it may
	tr.RecordSent(&standpoint.Request{Pool: 2}, "box-2", 0)
	members := tr.Members(time.Now())
	require.Equal(t, []int64{0, 1}, []int64{members[0].Overflowed, members[1].Overflowed})
	// Cold boxes count by their warmth, draining ones not at all.
	cold := endpoint("box-2", "v2")
	now := time.Now()
	cold.StartedAt = clock.Of(now)
	draining := endpoint("box-3", "v2")
	draining.State = standpoint.Draining
	updateEndpoints(tr, endpoint("box-1", "v1"), cold, draining)
	require.Equal(t, migration.Health{Backends: 2, Ready: 1, Capacity: 1, WarmCapacity: 0.13}, tr.Health("new", now))
}

// A list that has a box as gone and as there takes the daemon nowhere it cannot come back from.
func TestBackendThatIsListedTwice(t *testing.T) {
	tr := NewTracker(file(t, nil), zap.NewNop())
	gone := endpoint("box-1", "v1")
	gone.State = standpoint.Removed
	updateEndpoints(tr, gone, endpoint("box-1", "v1"), endpoint("box-2", "v2"))
	require.Len(t, tr.Members(time.Now())[1].Backends, 1)
}

// What comes late from the process before is not held for or against the box that was started anew under its name.
func TestLateAnswersOfAnEarlierProcess(t *testing.T) {
	tr := NewTracker(file(t, nil), zap.NewNop())
	now := time.Now()
	again := endpoint("box-2", "v2")
	again.StartedAt = clock.Of(now)
	updateEndpoints(tr, endpoint("box-1", "v1"), again)
	tr.Follow(migration.Record{ID: "m", State: migration.Holding, Plan: migration.Plan{From: "old", To: "new"}})
	for i, sent := range []time.Time{now.Add(-time.Second), now.Add(time.Second)} {
		tr.RecordFinished(node.Observation{Request: &standpoint.Request{Pool: 2}, Backend: "box-2", Sent: sent,
			Result: node.Result{Code: standpoint.ServerError, Report: &standpoint.Report{SlotUsage: 0.9}}})
		_, to := tr.TakeWindow(now)
		require.Equal(t, i, to.Errors)
		require.Equal(t, 0.9*float64(i), tr.backends["box-2"].load)
	}
}
