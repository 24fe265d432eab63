package endpoints

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/handover"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

// coreView is the endpoint list of the core, from the notifications that it got, by endpoint name.
type coreView map[string]node.Endpoint

func (c coreView) update(list node.EndpointList) {
	if list.Kind == standpoint.ListFull {
		clear(c)
	}
	for _, listed := range list.Endpoints {
		c[listed.Name] = listed
	}
}

func newTestOverrides(t *testing.T, siblings *handover.Channel) (*Overrides, coreView) {
	t.Helper()
	core := coreView{}
	keyValues := store.NewMemory()
	t.Cleanup(func() { _ = keyValues.Close() })
	return NewOverrides(NewCache(keyValues, zap.NewNop()), core.update, siblings, zap.NewNop()), core
}

func openChannel(t *testing.T, dir string) *handover.Channel {
	t.Helper()
	channel, err := handover.Open(dir, "n")
	require.NoError(t, err)
	return channel
}

// A disabled backend is draining, whatever the source reports. An enabled backend counts as started at that moment,
// even if the source reports an older start.
func TestOverridesHoldUntilEnabled(t *testing.T) {
	overrides, core := newTestOverrides(t, nil)
	full := func(all ...node.Endpoint) { overrides.Update(fullList(all...)) }
	delta := func(changed node.Endpoint) { overrides.Update(deltaList(changed)) }
	full(endpoint("a", ready, 5), endpoint("b", ready, 0))
	require.ErrorIs(t, overrides.Disable("c"), ErrNeverListed)
	require.ErrorIs(t, overrides.Enable("c"), ErrNeverListed)
	require.NoError(t, overrides.Enable("a"), "a backend that is not disabled may be enabled")
	require.EqualValues(t, 5, core["a"].StartedAt)
	for range 3 {
		require.NoError(t, overrides.Disable("a"))
		require.Equal(t, draining, core["a"].State)
	}
	moved := endpoint("a", ready, clock.Now())
	moved.Address = "127.0.0.1:2"
	for _, report := range []func(){
		func() { delta(endpoint("a", ready, 5)) },
		func() { delta(moved) },
		func() {
			delta(endpoint("a", gone, 0))
			require.Equal(t, gone, core["a"].State)
			delta(moved)
		},
		func() {
			full(endpoint("b", ready, 0))
			full(moved, endpoint("b", ready, 0))
		},
		func() { overrides.Update(node.EndpointList{Kind: standpoint.ListFailed}) },
		func() { overrides.cache.Resend(core.update) },
	} {
		report()
		require.Equal(t, draining, core["a"].State)
		require.Equal(t, ready, core["b"].State)
	}
	full(endpoint("b", ready, 0))
	require.NoError(t, overrides.Disable("a"), "a backend that was listed earlier may be disabled")
	before := clock.Now()
	require.NoError(t, overrides.Enable("a"))
	require.NotContains(t, core, "a")
	delta(endpoint("a", ready, 5))
	require.Equal(t, ready, core["a"].State)
	require.True(t, core["a"].Reinstated)
	startedAt := core["a"].StartedAt
	require.GreaterOrEqual(t, startedAt, before)
	delta(moved)
	require.Equal(t, startedAt, core["a"].StartedAt, "the start that the source reports is before Enable")
	later := endpoint("a", ready, startedAt+int64(time.Second))
	delta(later)
	require.Equal(t, later.StartedAt, core["a"].StartedAt)
	require.False(t, core["b"].Reinstated)
}

// A command to one process also takes effect in the sibling process, and for backends that only the other process has
// ever listed. If the shared record cannot be written, the command still takes effect in its own process.
func TestOverridesAreSharedAcrossUpgrade(t *testing.T) {
	dir := t.TempDir()
	first := openChannel(t, dir)
	old, oldCore := newTestOverrides(t, first)
	list := fullList(endpoint("a", ready, 5), endpoint("b", ready, 5))
	old.Update(list)
	require.NoError(t, old.Disable("a"))
	require.NoError(t, first.Close()) // the channel's file is named after the process ID, so only one can be open here
	next, core := newTestOverrides(t, openChannel(t, dir))
	next.Update(list)
	require.Equal(t, draining, core["a"].State)
	require.Equal(t, ready, core["b"].State)
	require.NoError(t, next.Disable("b"))
	old.Sync()
	require.Equal(t, draining, oldCore["b"].State)
	require.NoError(t, old.Enable("a"))
	next.Sync()
	require.Equal(t, ready, core["a"].State)
	require.True(t, core["a"].Reinstated)
	require.Equal(t, oldCore["a"].StartedAt, core["a"].StartedAt)
	old.Update(deltaList(endpoint("once", ready, 0)))
	old.Persist()
	next.Sync()
	require.NoError(t, next.Disable("once"))

	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	require.NoError(t, err)
	require.Len(t, files, 1)
	require.NoError(t, os.Chmod(dir, 0o500))
	t.Cleanup(func() { _ = os.Chmod(dir, 0o700) })
	if os.Geteuid() != 0 { // root may write despite the mode
		require.ErrorIs(t, next.Enable("b"), ErrNotPersisted)
	} else {
		require.NoError(t, next.Enable("b"))
	}
	require.Equal(t, ready, core["b"].State, "the command takes effect even if it is not persisted")
}

// While another process holds the lock of the shared file, lists are still passed on, and a command takes effect in
// this process at once.
func TestOverridesPassListsOnWhileSharedFileIsLocked(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	channel := openChannel(t, dir)
	t.Cleanup(func() { _ = channel.Close() })
	notify, updates := receiver(t)
	overrides := NewOverrides(NewCache(nil, zap.NewNop()), notify, channel, zap.NewNop())
	overrides.Update(fullList(endpoint("s", ready, 0), endpoint("t", ready, 0)))
	receive(t, updates)
	require.NoError(t, overrides.Enable("s")) // creates the lock file
	locks, err := filepath.Glob(filepath.Join(dir, "*.lock"))
	require.NoError(t, err)
	require.Len(t, locks, 1)
	lock, err := os.Open(locks[0])
	require.NoError(t, err)
	defer func() { _ = lock.Close() }()
	require.NoError(t, unix.Flock(int(lock.Fd()), unix.LOCK_EX))
	done := make(chan error, 1)
	go func() { done <- overrides.Disable("t") }()
	require.Equal(t, states{"t": draining}, statesOf(receive(t, updates)))
	overrides.Sync()
	overrides.Update(deltaList(endpoint("s", draining, 0)))
	require.Equal(t, states{"s": draining}, statesOf(receive(t, updates)))
	require.Empty(t, done)
	require.NoError(t, unix.Flock(int(lock.Fd()), unix.LOCK_UN))
	require.NoError(t, <-done)
}
