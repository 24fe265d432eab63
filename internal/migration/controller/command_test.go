package controller

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/migration"
	"standpoint/internal/pool"
)

func TestReturnFromAWorsePoolIsInTheHistory(t *testing.T) {
	n := startAlone(t, file(t, nil))
	first := n.start(t, StartRequest{To: "new", By: "operator", Note: "build 118"})
	require.Equal(t, "old", first.Plan.From, "the pool that has the flows")
	var refused *control.Error
	require.ErrorAs(
		t,
		n.client.Call(t.Context(), http.MethodPost, "/v1/move/start", StartRequest{To: "new"}, nil),
		&refused,
	)
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
	require.Equal(
		t,
		[]migration.State{migration.Done, migration.Undone},
		[]migration.State{history[0].State, history[1].State},
	)
	require.Equal(t, "build 118", history[1].Note)
	// And back again, as a move of its own: the pool that has the flows now is the new one.
	back := n.start(t, StartRequest{To: "old", Hold: "2s"})
	require.Equal(t, "new", back.Plan.From)
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Done })
	require.Zero(t, n.share())
}

func TestCommandsThatAreRejected(t *testing.T) {
	n := startAlone(t, file(t, nil))
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
	updateEndpoints(n.options.Tracker, endpoint("box-1", "v1"))
	var e *control.Error
	require.ErrorAs(t, n.client.Call(t.Context(), http.MethodPost, "/v1/move/start", StartRequest{To: "new"}, nil), &e)
	require.Contains(t, e.Message, "no box that is ready")
}

// A changed file mid-move: pools of the move cannot go; boxes that a changed selector places elsewhere are, at once.
func TestReloadDuringAMigration(t *testing.T) {
	n := startAlone(t, file(t, nil))
	n.start(t, StartRequest{To: "new"})
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Holding })
	without := file(t, func(cfg *config.OperatorFile) {
		s, err := pool.Parse(`true`)
		require.NoError(t, err)
		cfg.PoolSet, err = pool.NewSet([]pool.Definition{{Name: "old", Selector: s}})
		require.NoError(t, err)
	})
	require.ErrorContains(t, n.options.Tracker.Check(without), `pool: "new" cannot be taken away while move m-`)
	wider := file(t, func(cfg *config.OperatorFile) {
		a, err := pool.Parse(`version == "v1"`)
		require.NoError(t, err)
		b, err := pool.Parse(`version in ["v2", "v3"]`)
		require.NoError(t, err)
		cfg.PoolSet, err = pool.NewSet([]pool.Definition{{Name: "old", Selector: a}, {Name: "new", Selector: b}})
		require.NoError(t, err)
	})
	require.NoError(t, n.options.Tracker.Check(wider))
	n.options.Tracker.Adjust(wider)
	updateEndpoints(
		n.options.Tracker,
		endpoint("box-1", "v1"),
		endpoint("box-2", "v2"),
		endpoint("box-3", "v3"),
		endpoint("box-4", "v9"),
	)
	members := n.options.Tracker.Members(time.Now())
	require.Len(t, members, 3)
	require.Equal(t, []string{"box-2", "box-3"}, []string{members[1].Backends[0].Name, members[1].Backends[1].Name})
	require.Equal(t, "box-4", members[2].Backends[0].Name)
	n.reaches(t, func(s Status) bool { return s.Migration.State == migration.Done })
	require.NoError(t, n.options.Tracker.Check(without), "the move is over")
}
