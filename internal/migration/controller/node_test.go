package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/migration"
	"standpoint/internal/node"
	"standpoint/internal/pool"
	"standpoint/internal/store"
)

// newOperatorFile returns an operator's configuration with two pools, "old" and "new".
func newOperatorFile(t testing.TB, edit func(*config.OperatorFile)) *config.OperatorFile {
	plan := migration.Default()
	plan.Steps, plan.WarmUpShare, plan.MinWarmUp, plan.MinHold, plan.MinSamples =
		[]float64{0.25, 0.5, 1}, 0.1, 0, 3*time.Second, 10
	cfg := &config.OperatorFile{MigrationPlan: plan}
	cfg.Settings.Classes = []standpoint.Class{
		{Streamed: true, TTFTObjective: int64(time.Second), TPOTObjective: int64(50 * time.Millisecond), Weight: 2},
	}
	cfg.Names.Kinds = []string{"fast"}
	var all []pool.Definition
	for i, text := range []string{`version == "v1"`, `version == "v2"`} {
		s, err := pool.Parse(text)
		require.NoError(t, err)
		all = append(all, pool.Definition{Name: []string{"old", "new"}[i], Selector: s})
	}
	var err error
	cfg.PoolSet, err = pool.NewSet(all)
	require.NoError(t, err)
	if edit != nil {
		edit(cfg)
	}
	return cfg
}

func endpoint(name, version string) node.Endpoint {
	return node.Endpoint{
		Address: "127.0.0.1:1",
		Labels:  map[string]string{"version": version},
		Engine:  standpoint.Engine{Name: name, Size: 1},
	}
}

// updateEndpoints passes a full endpoint list to a tracker, as the core does.
func updateEndpoints(tracker *Tracker, entries ...node.Endpoint) {
	for i := range entries {
		entries[i].Pool = tracker.Place(&entries[i])
	}
	tracker.UpdateEndpoints(node.EndpointList{Kind: standpoint.ListFull, Endpoints: entries})
}

// testNode is a simulated node: a controller with its tracker, control interface and traffic.
type testNode struct {
	*Controller
	store       store.Store
	server      *control.Server
	client      *control.Client
	stop        context.CancelFunc
	failNewPool atomic.Bool // attempts at the new pool fail
	stopped     chan struct{}
}

// share returns the fraction of 2000 sessions that the node assigns to the new pool.
func (n *testNode) share() float64 {
	moved := 0
	for key := range uint64(2000) {
		if n.options.Tracker.Assign(&standpoint.Request{Session: key + 1}) == 2 {
			moved++
		}
	}
	return float64(moved) / 2000
}

func (n *testNode) kill() {
	n.stop()
	<-n.stopped
	_ = n.server.Close()
	_ = n.store.Close()
}

func (n *testNode) status(t testing.TB) Status {
	var s Status
	require.NoError(t, n.client.Call(t.Context(), http.MethodGet, "/v1/move", nil, &s))
	return s
}

// traffic generates requests that end at once, 12 in each window.
func (n *testNode) traffic(ctx context.Context) {
	tick := time.NewTicker(windowLength / 12)
	defer tick.Stop()
	for id := int64(1); ; id++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r := &standpoint.Request{ID: id, Session: uint64(id)*2654435761 + 1, PromptTokens: 500}
		r.Pool = n.options.Tracker.Assign(r)
		server := fmt.Sprintf("backend-%d", r.Pool)
		n.options.Tracker.RecordSent(r, server, 0)
		o := node.Observation{
			Request:           r,
			Backend:           server,
			FirstToken:        200 * time.Millisecond,
			AttemptFirstToken: 200 * time.Millisecond,
			Decode:            time.Second,
			Result: node.Result{
				Code:         standpoint.Served,
				OutputTokens: 50,
				Report:       &standpoint.Report{SlotUsage: 0.3},
			},
		}
		if r.Pool == 2 && n.failNewPool.Load() {
			o.FirstToken, o.AttemptFirstToken, o.Decode, o.Result = 0, 0, 0, node.Result{Code: standpoint.ServerError}
			n.options.Tracker.RecordFinished(o)
			n.options.Tracker.RecordRejected(r)
			continue
		}
		n.options.Tracker.RecordFinished(o)
	}
}

// sharedToken authenticates the members to each other.
const sharedToken = "a token of the members"

// startNode starts a node over a store.
func startNode(
	t testing.TB,
	name string,
	kv store.Store,
	peers map[string]string,
	listen string,
	cfg *config.OperatorFile,
) *testNode {
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte(sharedToken), 0o600))
	tracker := NewTracker(cfg, zap.NewNop())
	updateEndpoints(tracker, endpoint("backend-1", "v1"), endpoint("backend-2", "v2"))
	n := &testNode{store: kv, stopped: make(chan struct{})}
	n.Controller = New(
		Options{
			Name:        name,
			Tracker:     tracker,
			Store:       kv,
			Peers:       peers,
			Plan:        func() migration.Plan { return cfg.MigrationPlan },
			Token:       func() string { return sharedToken },
			Window:      windowLength,
			LiveTimeout: 2 * time.Second,
			Log:         zap.NewNop(),
		},
	)
	var err error
	n.server, err = control.Listen(listen, token, n.Routes(), zap.NewNop())
	require.NoError(t, err)
	n.client = control.NewClient(n.server.Address(), sharedToken)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { _ = n.server.Serve() }()
	go n.traffic(ctx)
	go func() {
		n.Run(ctx)
		close(n.stopped)
	}()
	t.Cleanup(func() {
		cancel()
		<-n.stopped
		_ = n.server.Close()
		n.client.Close()
	})
	return n
}

// startSingleNode starts a node with a store of its own.
func startSingleNode(t testing.TB, cfg *config.OperatorFile) *testNode {
	return startNode(t, "n1", store.NewMemory(), nil, "127.0.0.1:0", cfg)
}

// startCluster starts three nodes with a replicated store.
func startCluster(t testing.TB) []*testNode {
	var raft, front []net.Listener
	var members []store.Member
	peers := map[string]string{}
	for i := range 3 {
		for _, all := range []*[]net.Listener{&raft, &front} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			*all = append(*all, l)
		}
		id := fmt.Sprint("n", i)
		members = append(members, store.Member{ID: id, Address: raft[i].Addr().String()})
		peers[id] = front[i].Addr().String()
	}
	var all []*testNode
	for i := range 3 {
		kv, err := store.OpenRaft(
			store.RaftOptions{
				ID:               members[i].ID,
				Listener:         raft[i],
				Members:          members,
				LogOutput:        io.Discard,
				HeartbeatTimeout: 300 * time.Millisecond,
			},
		)
		require.NoError(t, err)
		require.NoError(t, front[i].Close())
		n := startNode(t, members[i].ID, kv, peers, peers[members[i].ID], newOperatorFile(t, nil))
		all = append(all, n)
		t.Cleanup(func() { _ = closeRecovering(kv.Close) })
	}
	return all
}

// closeRecovering calls a close function that may panic because the test has already closed its object.
func closeRecovering(f func() error) (err error) {
	defer func() { _ = recover() }()
	return f()
}

// awaitLeader returns the index of the node that leads the store.
func awaitLeader(t testing.TB, all []*testNode) (leader int) {
	require.Eventually(t, func() bool {
		for i, n := range all {
			if n == nil {
				continue
			}
			if _, ok := n.store.Leadership(); ok {
				leader = i
				return true
			}
		}
		return false
	}, waitTimeout, 5*time.Millisecond)
	return leader
}

// start starts a migration, and retries until the store has a leader.
func (n *testNode) start(t testing.TB, w StartRequest) migration.Record {
	var r migration.Record
	require.Eventually(t, func() bool { // a leader may just have been elected
		return n.client.Call(t.Context(), http.MethodPost, "/v1/move/start", w, &r) == nil
	}, waitTimeout, 20*time.Millisecond)
	return r
}

// awaitStatus polls the status until done is true for it, and returns it.
func (n *testNode) awaitStatus(t testing.TB, done func(Status) bool) Status {
	var s Status
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(windowLength / 2) {
		if s = n.status(t); s.Migration != nil && done(s) {
			return s
		}
	}
	raw, _ := json.Marshal(s)
	require.Fail(t, "status not reached before the timeout", "last status: %s", raw)
	return s
}
