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
	window  = 30 * time.Millisecond
	patient = 40 * time.Second // for what a busy machine may delay
)

// A move among three nodes, begun at one that does not lead; the one that carries it on is killed in the middle. All
// shares stay the same at all nodes, no step is left out, and the move comes to its end.
func TestNewLeaderResumesTheMigration(t *testing.T) {
	all := startGroup(t)
	leader := leading(t, all)
	witness := all[(leader+1)%3]
	witness.start(t, StartRequest{From: "old", To: "new"})
	witness.reaches(t, func(s Status) bool { return s.Migration.Step >= 0 && s.Migration.State == migration.Holding })
	before := witness.status(t).Migration
	all[leader].kill()
	all[leader] = nil
	var versions []uint64
	var steps []int
	witness.reaches(t, func(s Status) bool {
		if n := len(versions); n == 0 || versions[n-1] != s.Migration.Version {
			versions, steps = append(versions, s.Migration.Version), append(steps, s.Migration.Step)
		}
		return s.Migration.State == migration.Done
	})
	require.GreaterOrEqual(t, steps[0], before.Step)
	for i := 1; i < len(steps); i++ {
		require.Greater(t, versions[i], versions[i-1])
		require.LessOrEqual(t, steps[i], steps[i-1]+1, "no step is left out")
	}
	for _, n := range all {
		if n != nil {
			require.Eventually(t, func() bool { return n.share() == 1 }, patient, window)
		}
	}
	require.Equal(t, before.ID, witness.status(t).Migration.ID)
}

// No step goes on until the live nodes have taken the last; one that is cut off keeps its shares, and stops counting
// once it was not heard for as long as that takes.
func TestPartitionedNodeKeepsItsShares(t *testing.T) {
	all := startGroup(t)
	leader := leading(t, all)
	n, cut := all[leader], all[(leader+1)%3]
	n.start(t, StartRequest{To: "new"})
	n.reaches(t, func(s Status) bool {
		return s.Migration.Step == 0 && s.Migration.State == migration.Holding && len(s.Nodes) == 3
	})
	require.NoError(t, n.client.Call(t.Context(), http.MethodPost, "/v1/move/pause", struct{}{}, nil))
	require.Eventually(t, func() bool { return cut.share() > 0.2 && cut.share() < 0.3 }, patient, window)
	kept := cut.share()
	require.NoError(t, cut.keys.Close()) // its store is gone; its traffic and its reports are not
	cut.stop()
	<-cut.stopped
	require.NoError(t, n.client.Call(t.Context(), http.MethodPost, "/v1/move/resume", struct{}{}, nil))
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Done })
	require.Equal(t, kept, cut.share())
	require.Len(t, n.status(t).Nodes, 2)
}

// The recorded step is in force wherever it is read: the mover may have died before it applied what it wrote.
func TestRestartedNodeResumesTheRecordedStep(t *testing.T) {
	cfg := file(t, nil)
	healthy := migration.Health{Backends: 1, Ready: 1, Capacity: 1, WarmCapacity: 1}
	p := cfg.MigrationPlan
	p.From, p.To = "old", "new"
	m, err := migration.Start("m-9", p, pool.Shares{}, healthy, healthy, time.Now())
	require.NoError(t, err)
	r := m.Record()
	r.State, r.Step, r.Shares.Share, r.Version = migration.Stepping, 1, 0.5, 4
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	keys := store.NewMemory()
	_, err = keys.Write(t.Context(), store.Op{Key: currentKey, Data: raw, ExpectedVersion: 0})
	require.NoError(t, err)
	n := startNode(t, "n1", keys, nil, "127.0.0.1:0", cfg)
	require.Eventually(t, func() bool { s := n.share(); return s > 0.45 && s < 0.55 }, patient, time.Millisecond)
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Holding && s.Migration.Step == 1 })
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Done })
}

// A node whose store is on disk has the recorded shares before it assigns any flow.
func TestRestartingStoreIsAwaited(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	members := []store.Member{{ID: "n1", Address: l.Addr().String()}}
	dir := t.TempDir()
	open := func(l net.Listener) *store.Raft {
		keys, err := store.OpenRaft(
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
		return keys
	}
	keys := open(l)
	require.Eventually(t, func() bool { _, ok := keys.Leadership(); return ok }, patient, 5*time.Millisecond)
	raw, err := json.Marshal(
		migration.Record{
			ID:      "m-1",
			State:   migration.Done,
			Shares:  pool.Shares{Moved: map[string]string{"old": "new"}},
			Version: 9,
		},
	)
	require.NoError(t, err)
	_, err = keys.Write(t.Context(), store.Op{Key: currentKey, Data: raw})
	require.NoError(t, err)
	require.NoError(t, keys.Close())
	keys = open(nil)
	defer func() { _ = keys.Close() }()
	tr := NewTracker(file(t, nil), zap.NewNop())
	New(Options{Name: "n1", Tracker: tr, Store: keys, Log: zap.NewNop()}).AwaitStore(t.Context(), patient)
	require.Equal(t, 2, tr.Assign(&standpoint.Request{Session: 1}))
}

// Nodes whose files differ in their pools do not carry a move on together.
func TestNodesWithOtherPoolsHoldTheMigration(t *testing.T) {
	n := startAlone(t, file(t, nil))
	n.start(t, StartRequest{To: "new"})
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Holding && s.Migration.Step == 0 })
	ctx, cancel := context.WithCancel(t.Context())
	told := make(chan struct{})
	go func() { // a second node, whose pools are others
		defer close(told)
		for ctx.Err() == nil {
			_ = n.client.Call(
				ctx,
				http.MethodPost,
				"/v1/move/report",
				[]Report{{Node: "n2", Migration: n.status(t).Migration.ID, Version: 99, Digest: 1}},
				nil,
			)
			time.Sleep(window / 2)
		}
	}()
	n.reaches(t, func(s Status) bool { return len(s.Nodes) == 2 })
	s := n.reaches(t, func(s Status) bool { return s.Migration.Reason == "waiting for [n2 (its pools differ)]" })
	cancel()
	<-told
	require.Less(t, s.Migration.Shares.Share, 1.0)
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Done })
}

// Two that both think they lead write under the version that they saw last: one of the two writes counts, and the
// other takes the record up anew. No step is left out and no version given twice.
func TestTwoNodesThatBothBelieveToLead(t *testing.T) {
	keys := store.NewMemory() // whose every user leads
	first := startNode(t, "n1", keys, nil, "127.0.0.1:0", file(t, nil))
	second := startNode(t, "n2", keys, nil, "127.0.0.1:0", file(t, nil))
	first.start(t, StartRequest{To: "new"})
	shares, step := map[uint64]float64{}, -1
	second.reaches(t, func(s Status) bool {
		var r migration.Record
		require.NoError(t, json.Unmarshal(keys.Get(currentKey).Data, &r))
		if share, ok := shares[r.Version]; ok && !r.State.Terminal() {
			require.Equal(t, share, r.Shares.Share, "version %d", r.Version)
		}
		shares[r.Version] = r.Shares.Share
		require.LessOrEqual(t, r.Step, step+1)
		step = r.Step
		return s.Migration.State == migration.Done
	})
	require.Len(t, keys.List(historyPrefix), 1)
}
