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

// file is an operator's with two pools.
func file(t testing.TB, edit func(*config.OperatorFile)) *config.OperatorFile {
	plan := migration.Default()
	plan.Steps, plan.WarmUpShare, plan.MinWarmUp, plan.MinHold, plan.MinSamples = []float64{0.25, 0.5, 1}, 0.1, 0, 3*time.Second, 10
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

// updateEndpoints tells a tracker of a whole list, as the core would.
func updateEndpoints(tr *Tracker, entries ...node.Endpoint) {
	for i := range entries {
		entries[i].Pool = tr.Place(&entries[i])
	}
	tr.UpdateEndpoints(node.EndpointList{Kind: standpoint.ListFull, Endpoints: entries})
}

// testNode is a node of a story: an actor with its tracker, control interface, and traffic of its own.
type testNode struct {
	*Controller
	keys    store.Store
	server  *control.Server
	client  *control.Client
	stop    context.CancelFunc
	errors  atomic.Bool // attempts at the new pool fail
	stopped chan struct{}
}

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
	_ = n.keys.Close()
}

func (n *testNode) status(t testing.TB) Status {
	var s Status
	require.NoError(t, n.client.Call(t.Context(), http.MethodGet, "/v1/move", nil, &s))
	return s
}

// traffic has flows come and end at once, as fast as the windows want them.
func (n *testNode) traffic(ctx context.Context) {
	tick := time.NewTicker(window / 12)
	defer tick.Stop()
	for id := int64(1); ; id++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r := &standpoint.Request{ID: id, Session: uint64(id)*2654435761 + 1, PromptTokens: 500}
		r.Pool = n.options.Tracker.Assign(r)
		server := fmt.Sprintf("box-%d", r.Pool)
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
		if r.Pool == 2 && n.errors.Load() {
			o.FirstToken, o.AttemptFirstToken, o.Decode, o.Result = 0, 0, 0, node.Result{Code: standpoint.ServerError}
			n.options.Tracker.RecordFinished(o)
			n.options.Tracker.RecordRejected(r)
			continue
		}
		n.options.Tracker.RecordFinished(o)
	}
}

const secret = "a token of the members"

// startNode starts a node over a store.
func startNode(
	t testing.TB,
	name string,
	keys store.Store,
	peers map[string]string,
	listen string,
	cfg *config.OperatorFile,
) *testNode {
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte(secret), 0o600))
	tr := NewTracker(cfg, zap.NewNop())
	updateEndpoints(tr, endpoint("box-1", "v1"), endpoint("box-2", "v2"))
	n := &testNode{keys: keys, stopped: make(chan struct{})}
	n.Controller = New(
		Options{
			Name:    name,
			Tracker: tr,
			Store:   keys,
			Peers:   peers,
			Plan:    func() migration.Plan { return cfg.MigrationPlan },
			Token:   func() string { return secret },
			Window:  window,
			Live:    2 * time.Second,
			Log:     zap.NewNop(),
		},
	)
	var err error
	n.server, err = control.Listen(listen, token, n.Routes(), zap.NewNop())
	require.NoError(t, err)
	n.client = control.NewClient(n.server.Address(), secret)
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

func startAlone(t testing.TB, cfg *config.OperatorFile) *testNode {
	return startNode(t, "n1", store.NewMemory(), nil, "127.0.0.1:0", cfg)
}

// startGroup is three nodes over a replicated store.
func startGroup(t testing.TB) []*testNode {
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
		keys, err := store.OpenRaft(
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
		n := startNode(t, members[i].ID, keys, peers, peers[members[i].ID], file(t, nil))
		all = append(all, n)
		t.Cleanup(func() { _ = recovered(keys.Close) })
	}
	return all
}

// recovered closes what a story may have closed already.
func recovered(f func() error) (err error) {
	defer func() { _ = recover() }()
	return f()
}

func leading(t testing.TB, all []*testNode) (leader int) {
	require.Eventually(t, func() bool {
		for i, n := range all {
			if n == nil {
				continue
			}
			if _, ok := n.keys.Leadership(); ok {
				leader = i
				return true
			}
		}
		return false
	}, patient, 5*time.Millisecond)
	return leader
}

func (n *testNode) start(t testing.TB, w StartRequest) migration.Record {
	var r migration.Record
	require.Eventually(t, func() bool { // a leader may just have been elected
		return n.client.Call(t.Context(), http.MethodPost, "/v1/move/start", w, &r) == nil
	}, patient, 20*time.Millisecond)
	return r
}

func (n *testNode) reaches(t testing.TB, done func(Status) bool) Status {
	var s Status
	for end := time.Now().Add(patient); time.Now().Before(end); time.Sleep(window / 2) {
		if s = n.status(t); s.Migration != nil && done(s) {
			return s
		}
	}
	raw, _ := json.Marshal(s)
	require.Fail(t, "never came to be", "%s", raw)
	return s
}
