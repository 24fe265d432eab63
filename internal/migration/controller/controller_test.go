package controller

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/migration"
	"standpoint/internal/pool"
	"standpoint/internal/store"
)

const (
	windowLength = 30 * time.Millisecond
	waitTimeout  = 40 * time.Second // long enough for a busy machine
)

// Three nodes, of which the leader is killed during the migration. Guards against a new leader that starts again, skips
// a step, or leaves nodes with different shares: the same migration must be completed.
func TestNewLeaderResumesTheMigration(t *testing.T) {
	all := startCluster(t)
	leader := awaitLeader(t, all)
	follower := all[(leader+1)%3]
	follower.start(t, StartRequest{From: "old", To: "new"})
	follower.awaitStatus(t, func(s Status) bool {
		return s.Migration.Step >= 0 && s.Migration.State == migration.Holding
	})
	before := follower.status(t).Migration
	all[leader].kill()
	all[leader] = nil
	var versions []uint64
	var steps []int
	follower.awaitStatus(t, func(s Status) bool {
		if n := len(versions); n == 0 || versions[n-1] != s.Migration.Version {
			versions, steps = append(versions, s.Migration.Version), append(steps, s.Migration.Step)
		}
		return s.Migration.State == migration.Done
	})
	require.GreaterOrEqual(t, steps[0], before.Step)
	for i := 1; i < len(steps); i++ {
		require.Greater(t, versions[i], versions[i-1])
		require.LessOrEqual(t, steps[i], steps[i-1]+1, "no step is skipped")
	}
	for _, n := range all {
		if n != nil {
			require.Eventually(t, func() bool { return n.share() == 1 }, waitTimeout, windowLength)
		}
	}
	require.Equal(t, before.ID, follower.status(t).Migration.ID)
}

// A node that is partitioned from the store must keep its shares. The migration must wait for it only until it no
// longer counts as live.
func TestPartitionedNodeKeepsItsShares(t *testing.T) {
	all := startCluster(t)
	leader := awaitLeader(t, all)
	n, partitioned := all[leader], all[(leader+1)%3]
	n.start(t, StartRequest{To: "new"})
	n.awaitStatus(t, func(s Status) bool {
		return s.Migration.Step == 0 && s.Migration.State == migration.Holding && len(s.Nodes) == 3
	})
	require.NoError(t, n.client.Call(t.Context(), http.MethodPost, "/v1/move/pause", struct{}{}, nil))
	require.Eventually(t, func() bool {
		return partitioned.share() > 0.2 && partitioned.share() < 0.3
	}, waitTimeout, windowLength)
	shareBefore := partitioned.share()
	require.NoError(t, partitioned.store.Close()) // it can no longer read the record
	partitioned.stop()
	<-partitioned.stopped
	require.NoError(t, n.client.Call(t.Context(), http.MethodPost, "/v1/move/resume", struct{}{}, nil))
	n.awaitStatus(t, func(s Status) bool { return s.Migration.State == migration.Done })
	require.Equal(t, shareBefore, partitioned.share())
	require.Len(t, n.status(t).Nodes, 2)
}

// Guards against a share that is stored but not applied: the leader may crash after it has stored a step and before it
// has applied it. A restarted node must apply the stored step.
func TestRestartedNodeResumesTheRecordedStep(t *testing.T) {
	cfg := newOperatorFile(t, nil)
	healthy := migration.Health{Backends: 1, Ready: 1, Capacity: 1, WarmCapacity: 1}
	p := cfg.MigrationPlan
	p.From, p.To = "old", "new"
	m, err := migration.Start("m-9", p, pool.Shares{}, healthy, healthy, time.Now())
	require.NoError(t, err)
	r := m.Record()
	r.State, r.Step, r.Shares.Share, r.Version = migration.Stepping, 1, 0.5, 4
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	kv := store.NewMemory()
	_, err = kv.Write(t.Context(), store.Op{Key: currentKey, Data: raw, ExpectedVersion: 0})
	require.NoError(t, err)
	n := startNode(t, "n1", kv, nil, "127.0.0.1:0", cfg)
	require.Eventually(t, func() bool { s := n.share(); return s > 0.45 && s < 0.55 }, waitTimeout, time.Millisecond)
	n.awaitStatus(t, func(s Status) bool { return s.Migration.State == migration.Holding && s.Migration.Step == 1 })
	n.awaitStatus(t, func(s Status) bool { return s.Migration.State == migration.Done })
}

// A node whose store is on disk must apply the recorded shares before it assigns the first request.
func TestRestartingStoreIsAwaited(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	members := []store.Member{{ID: "n1", Address: l.Addr().String()}}
	dir := t.TempDir()
	open := func(l net.Listener) *store.Raft {
		kv, err := store.OpenRaft(
			store.RaftOptions{
				ID:               "n1",
				Listener:         l,
				ListenAddress:    members[0].Address,
				Dir:              dir,
				Members:          members,
				LogOutput:        io.Discard,
				HeartbeatTimeout: 300 * time.Millisecond,
			},
		)
		require.NoError(t, err)
		return kv
	}
	kv := open(l)
	require.Eventually(t, func() bool { _, ok := kv.Leadership(); return ok }, waitTimeout, 5*time.Millisecond)
	raw, err := json.Marshal(
		migration.Record{
			ID:      "m-1",
			State:   migration.Done,
			Shares:  pool.Shares{Moved: map[string]string{"old": "new"}},
			Version: 9,
		},
	)
	require.NoError(t, err)
	_, err = kv.Write(t.Context(), store.Op{Key: currentKey, Data: raw})
	require.NoError(t, err)
	require.NoError(t, kv.Close())
	kv = open(nil)
	defer func() { _ = kv.Close() }()
	tracker := NewTracker(newOperatorFile(t, nil), zap.NewNop())
	New(Options{Name: "n1", Tracker: tracker, Store: kv, Log: zap.NewNop()}).AwaitStore(t.Context(), waitTimeout)
	require.Equal(t, 2, tracker.Assign(&standpoint.Request{Session: 1}))
}

// The migration must not advance while live nodes define their pools differently, since their counts cannot be
// combined.
func TestNodesWithOtherPoolsHoldTheMigration(t *testing.T) {
	n := startSingleNode(t, newOperatorFile(t, nil))
	n.start(t, StartRequest{To: "new"})
	n.awaitStatus(t, func(s Status) bool { return s.Migration.State == migration.Holding && s.Migration.Step == 0 })
	ctx, cancel := context.WithCancel(t.Context())
	reporterDone := make(chan struct{})
	go func() { // a second node, whose pools are defined differently
		defer close(reporterDone)
		for ctx.Err() == nil {
			_ = n.client.Call(
				ctx,
				http.MethodPost,
				"/v1/move/report",
				[]Report{{Node: "n2", Migration: n.status(t).Migration.ID, Version: 99, Digest: 1}},
				nil,
			)
			time.Sleep(windowLength / 2)
		}
	}()
	n.awaitStatus(t, func(s Status) bool { return len(s.Nodes) == 2 })
	s := n.awaitStatus(t, func(s Status) bool { return s.Migration.Reason == "waiting for [n2 (its pools differ)]" })
	cancel()
	<-reporterDone
	require.Less(t, s.Migration.Shares.Share, 1.0)
	n.awaitStatus(t, func(s Status) bool { return s.Migration.State == migration.Done })
}

// Two nodes that both believe to lead write with the version that they last read: one of the writes succeeds, and the
// other node resumes from the stored record. No step may be skipped, and no version may be used for two shares.
func TestTwoNodesThatBothBelieveToLead(t *testing.T) {
	kv := store.NewMemory() // every user of it is a leader
	first := startNode(t, "n1", kv, nil, "127.0.0.1:0", newOperatorFile(t, nil))
	second := startNode(t, "n2", kv, nil, "127.0.0.1:0", newOperatorFile(t, nil))
	first.start(t, StartRequest{To: "new"})
	shares, step := map[uint64]float64{}, -1
	second.awaitStatus(t, func(s Status) bool {
		var r migration.Record
		require.NoError(t, json.Unmarshal(kv.Get(currentKey).Data, &r))
		if share, ok := shares[r.Version]; ok && !r.State.Terminal() {
			require.Equal(t, share, r.Shares.Share, "version %d", r.Version)
		}
		shares[r.Version] = r.Shares.Share
		require.LessOrEqual(t, r.Step, step+1)
		step = r.Step
		return s.Migration.State == migration.Done
	})
	require.Len(t, kv.List(historyPrefix), 1)
}
