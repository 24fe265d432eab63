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
	"standpoint/internal/clock"
	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/migration"
	"standpoint/internal/node"
	"standpoint/internal/pool"
	"standpoint/internal/store"
)

const (
	window  = 30 * time.Millisecond
	patient = 40 * time.Second // for what a busy machine may delay
)

// file is an operator's with two pools.
func file(t testing.TB, edit func(*config.OperatorFile)) *config.OperatorFile {
	plan := migration.Default()
	plan.Steps, plan.Trickle, plan.Warm, plan.Hold, plan.Samples = []float64{0.25, 0.5, 1}, 0.1, 0, 3*time.Second, 10
	cfg := &config.OperatorFile{MigrationPlan: plan}
	cfg.Settings.Classes = []standpoint.Class{{Streamed: true, TTFTAim: int64(time.Second), TPOTAim: int64(50 * time.Millisecond), Worth: 2}}
	cfg.Names.Kinds = []string{"fast"}
	var all []pool.Definition
	for i, text := range []string{`version == "v1"`, `version == "v2"`} {
		s, err := pool.Parse(text)
		require.NoError(t, err)
		all = append(all, pool.Definition{Name: []string{"old", "new"}[i], Select: s})
	}
	var err error
	cfg.PoolSet, err = pool.NewSet(all)
	require.NoError(t, err)
	if edit != nil {
		edit(cfg)
	}
	return cfg
}

func entry(name, version string) node.Endpoint {
	return node.Endpoint{Address: "127.0.0.1:1", Labels: map[string]string{"version": version}, Engine: standpoint.Engine{Name: name, Size: 1}}
}

// tell tells a tracker of a whole list, as the core would.
func tell(tr *Tracker, entries ...node.Endpoint) {
	for i := range entries {
		entries[i].Pool = tr.Place(&entries[i])
	}
	tr.Listed(node.List{Kind: standpoint.ListFull, Entries: entries})
}

// one is a node of a story: an actor with its tracker, control interface, and traffic of its own.
type one struct {
	*Controller
	keys    store.Store
	server  *control.Server
	client  *control.Client
	stop    context.CancelFunc
	errors  atomic.Bool // attempts at the new pool fail
	stopped chan struct{}
}

func (n *one) share() float64 {
	moved := 0
	for key := range uint64(2000) {
		if n.options.Tracker.Assign(&standpoint.Request{Session: key + 1}) == 2 {
			moved++
		}
	}
	return float64(moved) / 2000
}

func (n *one) kill() {
	n.stop()
	<-n.stopped
	_ = n.server.Close()
	_ = n.keys.Close()
}

func (n *one) status(t testing.TB) Status {
	var s Status
	require.NoError(t, n.client.Call(t.Context(), http.MethodGet, "/v1/move", nil, &s))
	return s
}

// traffic has flows come and end at once, as fast as the windows want them.
func (n *one) traffic(ctx context.Context) {
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
		n.options.Tracker.Sent(r, server, 0)
		o := node.Observation{Request: r, Server: server, First: 200 * time.Millisecond, Own: 200 * time.Millisecond, Decode: time.Second,
			Result: node.Result{Code: standpoint.Served, Tokens: 50, Report: &standpoint.Report{Slots: 0.3}}}
		if r.Pool == 2 && n.errors.Load() {
			o.First, o.Own, o.Decode, o.Result = 0, 0, 0, node.Result{Code: standpoint.ServerError}
			n.options.Tracker.Finished(o)
			n.options.Tracker.Rejected(r)
			continue
		}
		n.options.Tracker.Finished(o)
	}
}

const secret = "a token of the members"

// begin starts a node over a store.
func begin(t testing.TB, name string, keys store.Store, peers map[string]string, listen string, cfg *config.OperatorFile) *one {
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte(secret), 0o600))
	tr := NewTracker(cfg, zap.NewNop())
	tell(tr, entry("box-1", "v1"), entry("box-2", "v2"))
	n := &one{keys: keys, stopped: make(chan struct{})}
	n.Controller = New(Options{Name: name, Tracker: tr, Store: keys, Peers: peers, Plan: func() migration.Plan { return cfg.MigrationPlan },
		Token: func() string { return secret }, Window: window, Live: 2 * time.Second, Log: zap.NewNop()})
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

func alone(t testing.TB, cfg *config.OperatorFile) *one {
	return begin(t, "n1", store.NewMemory(), nil, "127.0.0.1:0", cfg)
}

// group is three nodes over a replicated store.
func group(t testing.TB) []*one {
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
	var all []*one
	for i := range 3 {
		keys, err := store.OpenRaft(store.RaftOptions{ID: members[i].ID, Listener: raft[i], Members: members, LogOutput: io.Discard, HeartbeatTimeout: 300 * time.Millisecond})
		require.NoError(t, err)
		require.NoError(t, front[i].Close())
		n := begin(t, members[i].ID, keys, peers, peers[members[i].ID], file(t, nil))
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

func leading(t testing.TB, all []*one) (leader int) {
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

func (n *one) start(t testing.TB, w StartRequest) migration.Record {
	var r migration.Record
	require.Eventually(t, func() bool { // a leader may just have been elected
		return n.client.Call(t.Context(), http.MethodPost, "/v1/move/start", w, &r) == nil
	}, patient, 20*time.Millisecond)
	return r
}

func (n *one) reaches(t testing.TB, done func(Status) bool) Status {
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

// A move among three nodes, begun at one that does not lead; the one that carries it on is killed in the middle. All
// shares stay the same at all nodes, no step is left out, and the move comes to its end.
func TestTheDeathOfTheMoverHandsTheMoveOver(t *testing.T) {
	all := group(t)
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
func TestANodeThatIsCutOffKeepsItsShares(t *testing.T) {
	all := group(t)
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
func TestARestartedNodeTakesUpTheRecordedStep(t *testing.T) {
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
	n := begin(t, "n1", keys, nil, "127.0.0.1:0", cfg)
	require.Eventually(t, func() bool { s := n.share(); return s > 0.45 && s < 0.55 }, patient, time.Millisecond)
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Holding && s.Migration.Step == 1 })
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Done })
}

// A node whose store is on disk has the recorded shares before it assigns any flow.
func TestAStoreThatRestartsIsWaitedFor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	members := []store.Member{{ID: "n1", Address: l.Addr().String()}}
	dir := t.TempDir()
	open := func(l net.Listener) *store.Raft {
		keys, err := store.OpenRaft(store.RaftOptions{ID: "n1", Listener: l, ListenAddress: members[0].Address, Dir: dir, Members: members, LogOutput: io.Discard,
			HeartbeatTimeout: 300 * time.Millisecond})
		require.NoError(t, err)
		return keys
	}
	keys := open(l)
	require.Eventually(t, func() bool { _, ok := keys.Leadership(); return ok }, patient, 5*time.Millisecond)
	raw, err := json.Marshal(migration.Record{ID: "m-1", State: migration.Done, Shares: pool.Shares{Moved: map[string]string{"old": "new"}}, Version: 9})
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

func TestAWorsePoolIsLeftAndTheHistorySaysWhy(t *testing.T) {
	n := alone(t, file(t, nil))
	first := n.start(t, StartRequest{To: "new", By: "operator", Note: "build 118"})
	require.Equal(t, "old", first.Plan.From, "the pool that has the flows")
	var refused *control.Error
	require.ErrorAs(t, n.client.Call(t.Context(), http.MethodPost, "/v1/move/start", StartRequest{To: "new"}, nil), &refused)
	require.Equal(t, control.CodeMigrationRunning, refused.Code)
	require.Contains(t, refused.Message, first.ID)
	n.reaches(t, func(s Status) bool { return s.Migration.Step == 1 && s.Migration.State == migration.Holding })
	n.errors.Store(true)
	s := n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Undone })
	require.Zero(t, n.share())
	require.NotEmpty(t, s.Migration.Cause)
	n.errors.Store(false)
	n.start(t, StartRequest{To: "new", Steps: []float64{0.5, 1}, Hold: "2s"})
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Done })
	require.Equal(t, 1.0, n.share())
	var history []migration.Record
	require.NoError(t, n.client.Call(t.Context(), http.MethodGet, "/v1/move/history", nil, &history))
	require.Len(t, history, 2)
	require.Equal(t, []migration.State{migration.Done, migration.Undone}, []migration.State{history[0].State, history[1].State})
	require.Equal(t, "build 118", history[1].Note)
	// And back again, as a move of its own: the pool that has the flows now is the new one.
	back := n.start(t, StartRequest{To: "old", Hold: "2s"})
	require.Equal(t, "new", back.Plan.From)
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Done })
	require.Zero(t, n.share())
}

func TestWishesThatCannotBeHad(t *testing.T) {
	n := alone(t, file(t, nil))
	for _, c := range []struct {
		path string
		code control.Code
		key  string
		body any
	}{
		{"start", "bad_plan", "to", StartRequest{To: "green"}},
		{"start", "bad_plan", "from", StartRequest{From: "blue", To: "new"}},
		{"plan", "bad_plan", "steps[1]", StartRequest{To: "new", Steps: []float64{0.5, 0.2}}},
		{"start", "bad_plan", "hold", StartRequest{To: "new", Hold: "soon"}},
		{"start", "bad_plan", "on_worse", StartRequest{To: "new", OnWorse: "pray"}},
		{"start", "bad_request", "", map[string]any{"too": "new"}},
		{"undo", "no_move", "", struct{}{}},
		{"dance", "not_found", "", struct{}{}},
	} {
		var e *control.Error
		require.ErrorAs(t, n.client.Call(t.Context(), http.MethodPost, "/v1/move/"+c.path, c.body, nil), &e, "%v", c)
		require.Equal(t, c.code, e.Code, "%v", c)
		require.Equal(t, c.key, e.Key, "%v", c)
	}
	var planned migration.Record
	require.NoError(t, n.client.Call(t.Context(), http.MethodPost, "/v1/move/plan", StartRequest{To: "new"}, &planned))
	require.Equal(t, migration.Planned, planned.State)
	require.Nil(t, n.status(t).Migration, "a plan starts nothing")
	tell(n.options.Tracker, entry("box-1", "v1"))
	var e *control.Error
	require.ErrorAs(t, n.client.Call(t.Context(), http.MethodPost, "/v1/move/start", StartRequest{To: "new"}, nil), &e)
	require.Contains(t, e.Message, "no box that is ready")
}

// A changed file mid-move: pools of the move cannot go; boxes that a changed selector places elsewhere are, at once.
func TestAChangedFileInTheMiddleOfAMove(t *testing.T) {
	n := alone(t, file(t, nil))
	n.start(t, StartRequest{To: "new"})
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Holding })
	without := file(t, func(cfg *config.OperatorFile) {
		s, err := pool.Parse(`true`)
		require.NoError(t, err)
		cfg.PoolSet, err = pool.NewSet([]pool.Definition{{Name: "old", Select: s}})
		require.NoError(t, err)
	})
	require.ErrorContains(t, n.options.Tracker.Check(without), `pool: "new" cannot be taken away while move m-`)
	wider := file(t, func(cfg *config.OperatorFile) {
		a, err := pool.Parse(`version == "v1"`)
		require.NoError(t, err)
		b, err := pool.Parse(`version in ["v2", "v3"]`)
		require.NoError(t, err)
		cfg.PoolSet, err = pool.NewSet([]pool.Definition{{Name: "old", Select: a}, {Name: "new", Select: b}})
		require.NoError(t, err)
	})
	require.NoError(t, n.options.Tracker.Check(wider))
	n.options.Tracker.Adjust(wider)
	tell(n.options.Tracker, entry("box-1", "v1"), entry("box-2", "v2"), entry("box-3", "v3"), entry("box-4", "v9"))
	members := n.options.Tracker.Members(time.Now())
	require.Len(t, members, 3)
	require.Equal(t, []string{"box-2", "box-3"}, []string{members[1].Backends[0].Name, members[1].Backends[1].Name})
	require.Equal(t, "box-4", members[2].Backends[0].Name)
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Done })
	require.NoError(t, n.options.Tracker.Check(without), "the move is over")
}

// Nodes whose files differ in their pools do not carry a move on together.
func TestNodesWithOtherPoolsHoldTheMove(t *testing.T) {
	n := alone(t, file(t, nil))
	n.start(t, StartRequest{To: "new"})
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Holding && s.Migration.Step == 0 })
	ctx, cancel := context.WithCancel(t.Context())
	told := make(chan struct{})
	go func() { // a second node, whose pools are others
		defer close(told)
		for ctx.Err() == nil {
			_ = n.client.Call(ctx, http.MethodPost, "/v1/move/report", []Report{{Node: "n2", Migration: n.status(t).Migration.ID, Version: 99, Digest: 1}}, nil)
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

func TestFlowsThatFallOverAreCounted(t *testing.T) {
	tr := NewTracker(file(t, nil), zap.NewNop())
	tell(tr, entry("box-1", "v1"), entry("box-2", "v2"))
	tr.Sent(&standpoint.Request{Pool: 2}, "box-1", 0)
	tr.Sent(&standpoint.Request{Pool: 2}, "box-1", 1) // a second attempt goes where it may
	tr.Sent(&standpoint.Request{Pool: 2}, "box-2", 0)
	members := tr.Members(time.Now())
	require.Equal(t, []int64{0, 1}, []int64{members[0].Overflowed, members[1].Overflowed})
	// Cold boxes count by their warmth, draining ones not at all.
	cold := entry("box-2", "v2")
	now := time.Now()
	cold.ReadyAt = clock.Of(now)
	draining := entry("box-3", "v2")
	draining.State = standpoint.Draining
	tell(tr, entry("box-1", "v1"), cold, draining)
	require.Equal(t, migration.Health{Backends: 2, Ready: 1, Capacity: 1, WarmCapacity: 0.13}, tr.Health("new", now))
}

// Two that both think they lead write under the version that they saw last: one of the two writes counts, and the
// other takes the record up anew. No step is left out and no version given twice.
func TestTwoThatBothThinkTheyLead(t *testing.T) {
	keys := store.NewMemory() // whose every user leads
	first := begin(t, "n1", keys, nil, "127.0.0.1:0", file(t, nil))
	second := begin(t, "n2", keys, nil, "127.0.0.1:0", file(t, nil))
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

// A list that has a box as gone and as there takes the daemon nowhere it cannot come back from.
func TestABoxThatIsListedTwice(t *testing.T) {
	tr := NewTracker(file(t, nil), zap.NewNop())
	gone := entry("box-1", "v1")
	gone.State = standpoint.Gone
	tell(tr, gone, entry("box-1", "v1"), entry("box-2", "v2"))
	require.Len(t, tr.Members(time.Now())[1].Backends, 1)
}

// What comes late from the process before is not held for or against the box that was started anew under its name.
func TestLateAnswersOfTheProcessBefore(t *testing.T) {
	tr := NewTracker(file(t, nil), zap.NewNop())
	now := time.Now()
	again := entry("box-2", "v2")
	again.ReadyAt = clock.Of(now)
	tell(tr, entry("box-1", "v1"), again)
	tr.Follow(migration.Record{ID: "m", State: migration.Holding, Plan: migration.Plan{From: "old", To: "new"}})
	for i, sent := range []time.Time{now.Add(-time.Second), now.Add(time.Second)} {
		tr.Finished(node.Observation{Request: &standpoint.Request{Pool: 2}, Server: "box-2", Sent: sent,
			Result: node.Result{Code: standpoint.ServerError, Report: &standpoint.Report{Slots: 0.9}}})
		_, to := tr.TakeWindow(now)
		require.Equal(t, i, to.Errors)
		require.Equal(t, 0.9*float64(i), tr.backends["box-2"].load)
	}
}
