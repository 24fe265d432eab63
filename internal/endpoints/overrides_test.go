package endpoints

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/handover"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

// coreSaw is what the core has been told of each name.
type coreSaw map[string]node.Endpoint

func (c coreSaw) take(l node.EndpointList) {
	if l.Kind == standpoint.ListFull {
		clear(c)
	}
	for _, e := range l.Endpoints {
		c[e.Name] = e
	}
}

func overlay(t *testing.T, share *handover.Channel) (*Overrides, coreSaw) {
	core := coreSaw{}
	keys := store.NewMemory()
	t.Cleanup(func() { _ = keys.Close() })
	return NewOverrides(NewCache(keys, zap.NewNop()), core.take, share, zap.NewNop()), core
}

func entry(name string, state standpoint.State, start int64) node.Endpoint {
	return node.Endpoint{Address: "127.0.0.1:1", Engine: standpoint.Engine{Name: name, State: state, ReadyAt: start, Size: 1}}
}

// Out by hand holds whatever the sources tell; back is a fresh start, which an older one told late does not undo.
func TestOverridesHoldUntilEnabled(t *testing.T) {
	b, core := overlay(t, nil)
	full := func(all ...node.Endpoint) { b.Update(node.EndpointList{Kind: standpoint.ListFull, Endpoints: all}) }
	delta := func(e node.Endpoint) {
		b.Update(node.EndpointList{Kind: standpoint.ListDelta, Endpoints: []node.Endpoint{e}})
	}
	full(entry("a", standpoint.Ready, 5), entry("b", standpoint.Ready, 0))
	require.ErrorIs(t, b.Disable("c"), ErrNeverListed)
	require.ErrorIs(t, b.Enable("c"), ErrNeverListed)
	require.NoError(t, b.Enable("a"), "in use already")
	require.EqualValues(t, 5, core["a"].ReadyAt)
	for range 3 {
		require.NoError(t, b.Disable("a"))
		require.Equal(t, standpoint.Draining, core["a"].State)
	}
	moved := entry("a", standpoint.Ready, clock.Now())
	moved.Address = "127.0.0.1:2"
	for _, tell := range []func(){
		func() { delta(entry("a", standpoint.Ready, 5)) },
		func() { delta(moved) },
		func() {
			delta(entry("a", standpoint.Gone, 0))
			require.Equal(t, standpoint.Gone, core["a"].State)
			delta(moved)
		},
		func() { full(entry("b", standpoint.Ready, 0)); full(moved, entry("b", standpoint.Ready, 0)) },
		func() { b.Update(node.EndpointList{Kind: standpoint.ListLost}) },
		func() { b.cache.Resend(core.take) },
	} {
		tell()
		require.Equal(t, standpoint.Draining, core["a"].State)
		require.Equal(t, standpoint.Ready, core["b"].State)
	}
	full(entry("b", standpoint.Ready, 0))
	require.NoError(t, b.Disable("a"), "it was listed")
	before := clock.Now()
	require.NoError(t, b.Enable("a"))
	require.NotContains(t, core, "a")
	delta(entry("a", standpoint.Ready, 5))
	require.Equal(t, standpoint.Ready, core["a"].State)
	require.True(t, core["a"].Back)
	start := core["a"].ReadyAt
	require.GreaterOrEqual(t, start, before)
	delta(moved)
	require.Equal(t, start, core["a"].ReadyAt, "it started while it was out")
	later := entry("a", standpoint.Ready, start+int64(time.Second))
	delta(later)
	require.Equal(t, later.ReadyAt, core["a"].ReadyAt)
	require.False(t, core["b"].Back)
}

// What staff tell one process holds in the other, and in the one after both, also for what was listed once.
func TestOverridesAreSharedAcrossUpgrade(t *testing.T) {
	dir := t.TempDir()
	open := func() *handover.Channel {
		s, err := handover.Open(dir, "n")
		require.NoError(t, err)
		return s
	}
	first := open()
	old, oldCore := overlay(t, first)
	list := node.EndpointList{Kind: standpoint.ListFull, Endpoints: []node.Endpoint{entry("a", standpoint.Ready, 5), entry("b", standpoint.Ready, 5)}}
	old.Update(list)
	require.NoError(t, old.Disable("a"))
	require.NoError(t, first.Close()) // this process's mark; a second one of the same number cannot be made beside it
	next, core := overlay(t, open())
	next.Update(list)
	require.Equal(t, standpoint.Draining, core["a"].State)
	require.Equal(t, standpoint.Ready, core["b"].State)
	require.NoError(t, next.Disable("b"))
	old.Sync()
	require.Equal(t, standpoint.Draining, oldCore["b"].State)
	require.NoError(t, old.Enable("a"))
	next.Sync()
	require.Equal(t, standpoint.Ready, core["a"].State)
	require.True(t, core["a"].Back)
	require.Equal(t, oldCore["a"].ReadyAt, core["a"].ReadyAt)
	old.Update(node.EndpointList{Kind: standpoint.ListDelta, Endpoints: []node.Endpoint{entry("once", standpoint.Ready, 0)}})
	old.Persist()
	next.Sync()
	require.NoError(t, next.Disable("once"))

	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	require.NoError(t, err)
	require.Len(t, files, 1)
	require.NoError(t, os.Chmod(dir, 0o500))
	defer func() { _ = os.Chmod(dir, 0o700) }()
	if os.Geteuid() != 0 { // root may write all the same
		require.ErrorIs(t, next.Enable("b"), ErrNotPersisted)
	} else {
		require.NoError(t, next.Enable("b"))
	}
	require.Equal(t, standpoint.Ready, core["b"].State, "carried out in any case")
}
