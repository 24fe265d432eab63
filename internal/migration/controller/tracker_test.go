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
	tracker := NewTracker(newOperatorFile(t, nil), zap.NewNop())
	updateEndpoints(tracker, endpoint("backend-1", "v1"), endpoint("backend-2", "v2"))
	tracker.RecordSent(&standpoint.Request{Pool: 2}, "backend-1", 0)
	tracker.RecordSent(&standpoint.Request{Pool: 2}, "backend-1", 1) // a second attempt may go to any pool
	tracker.RecordSent(&standpoint.Request{Pool: 2}, "backend-2", 0)
	members := tracker.Members(time.Now())
	require.Equal(t, []int64{0, 1}, []int64{members[0].Overflowed, members[1].Overflowed})
	// Cold backends count by their warm fraction, draining ones not at all.
	cold := endpoint("backend-2", "v2")
	now := time.Now()
	cold.StartedAt = clock.Of(now)
	draining := endpoint("backend-3", "v2")
	draining.State = standpoint.Draining
	updateEndpoints(tracker, endpoint("backend-1", "v1"), cold, draining)
	require.Equal(
		t,
		migration.Health{Backends: 2, Ready: 1, Capacity: 1, WarmCapacity: 0.13},
		tracker.Health("new", now),
	)
}

// Guards against a crash on a list that contains the same backend as removed and as ready.
func TestBackendThatIsListedTwice(t *testing.T) {
	tracker := NewTracker(newOperatorFile(t, nil), zap.NewNop())
	removed := endpoint("backend-1", "v1")
	removed.State = standpoint.Removed
	updateEndpoints(tracker, removed, endpoint("backend-1", "v1"), endpoint("backend-2", "v2"))
	require.Len(t, tracker.Members(time.Now())[1].Backends, 1)
}

// Results of attempts that were sent to an earlier incarnation must not count for a backend that was restarted under
// the same name.
func TestLateAnswersOfAnEarlierProcess(t *testing.T) {
	tracker := NewTracker(newOperatorFile(t, nil), zap.NewNop())
	now := time.Now()
	again := endpoint("backend-2", "v2")
	again.StartedAt = clock.Of(now)
	updateEndpoints(tracker, endpoint("backend-1", "v1"), again)
	tracker.Follow(migration.Record{ID: "m", State: migration.Holding, Plan: migration.Plan{From: "old", To: "new"}})
	for i, sent := range []time.Time{now.Add(-time.Second), now.Add(time.Second)} {
		tracker.RecordFinished(node.Observation{Request: &standpoint.Request{Pool: 2}, Backend: "backend-2", Sent: sent,
			Result: node.Result{Code: standpoint.ServerError, Report: &standpoint.Report{SlotUsage: 0.9}}})
		_, to := tracker.TakeWindow(now)
		require.Equal(t, i, to.Errors)
		require.Equal(t, 0.9*float64(i), tracker.backends["backend-2"].load)
	}
}
