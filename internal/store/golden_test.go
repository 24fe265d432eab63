package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer/golden"
)

// The encodings of a log entry and of a snapshot do not change: both have to be readable by other versions.
func TestGoldenEntryAndSnapshot(t *testing.T) {
	ops := []Op{{Key: "move/current", Data: []byte("a record"), ExpectedVersion: 7}}
	golden.JSON(t, "entry.json", ops)
	golden.JSON(t, "snapshot.json", snapshotImage{
		Version: 9,
		Applied: 12,
		Values:  map[string]Value{"config/shared": {Data: []byte("a document"), Version: 8}},
	})

	var index atomic.Uint64
	machine := stateMachine{newKeyspace(), &index, newResultHistory()}
	require.NoError(t, machine.Restore(io.NopCloser(bytes.NewReader(golden.Read(t, "snapshot.json", nil)))))
	require.Equal(t, Value{Data: []byte("a document"), Version: 8}, machine.Get("config/shared"))
	require.EqualValues(t, 12, index.Load())
	snapshot, err := machine.Snapshot()
	require.NoError(t, err)
	golden.Bytes(t, "snapshot.json", snapshot.(encodedSnapshot))
	result := machine.Apply(&raft.Log{
		Index: 13,
		Data:  []byte(`[{"key":"config/shared","data":"YW5vdGhlcg==","if":8}]`),
	}).(applyResult)
	require.NoError(t, result.err)
	require.Equal(t, Value{Data: []byte("another"), Version: 10}, machine.Get("config/shared"))
	result = machine.Apply(&raft.Log{Index: 14, Data: golden.Read(t, "entry.json", nil)}).(applyResult)
	require.ErrorIs(t, result.err, ErrConflict)
}

// In the log, a deletion (nil data) differs from setting a key to an empty value.
func TestGoldenDeletion(t *testing.T) {
	raw, err := json.Marshal([]Op{{Key: "a", ExpectedVersion: AnyVersion}, {Key: "b", Data: []byte{}}})
	require.NoError(t, err)
	golden.Bytes(t, "deletion.json", raw)
}

// writeDirectory writes a member's directory with a snapshot and log entries after it.
func writeDirectory(t *testing.T, target string) {
	t.Helper()
	dir := t.TempDir()
	r, err := openSingle(t, dir)
	require.NoError(t, err)
	awaitLeader(t, r)
	_, err = r.Write(t.Context(), Op{Key: "settings/current", Data: []byte("1")}, Op{Key: "gone", Data: []byte("x")})
	require.NoError(t, err)
	require.NoError(t, r.raft.Snapshot().Error())
	update := Op{Key: "settings/current", Data: []byte("2"), ExpectedVersion: 1}
	_, err = r.Write(t.Context(), update, Op{Key: "gone", ExpectedVersion: AnyVersion})
	require.NoError(t, err)
	require.NoError(t, r.Close())
	require.NoError(t, os.CopyFS(target, os.DirFS(dir)))
}

// A member's directory written by an earlier version can be opened, read and written, and the names of its files stay
// the same.
func TestGoldenDirectory(t *testing.T) {
	source := golden.Path("member")
	if _, err := os.Stat(source); os.IsNotExist(err) && os.Getenv("UPDATE_GOLDEN") != "" {
		writeDirectory(t, source)
	}
	dir := filepath.Join(t.TempDir(), "member")
	require.NoError(t, os.CopyFS(dir, os.DirFS(source)))
	r, err := openSingle(t, dir)
	require.NoError(t, err)
	awaitLeader(t, r)
	require.True(t, r.CaughtUp())
	require.Equal(t, []string{"settings/current"}, r.List(""))
	require.Equal(t, Value{Data: []byte("2"), Version: 2}, r.Get("settings/current"))
	version, err := r.Write(t.Context(), Op{Key: "settings/current", Data: []byte("3"), ExpectedVersion: 2})
	require.NoError(t, err)
	require.EqualValues(t, 3, version)
	require.NoError(t, r.Close())
	var names []string
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	require.Equal(t, []string{"lock", "raft.db", "snapshots"}, names)
}

// The texts of errors that operators and clients see.
func TestGoldenErrorTexts(t *testing.T) {
	_, conflict := NewMemory().Write(t.Context(), Op{Key: "a/key", Data: []byte("1"), ExpectedVersion: 4})
	var index atomic.Uint64
	machine := stateMachine{newKeyspace(), &index, newResultHistory()}
	applied := machine.Apply(&raft.Log{Index: 5, Data: []byte("{")}).(applyResult)
	restored := machine.Restore(io.NopCloser(strings.NewReader("[")))

	dir := t.TempDir()
	r, err := openSingle(t, dir)
	require.NoError(t, err)
	_, locked := openSingle(t, dir)
	require.Error(t, locked)
	require.NoError(t, r.Close())

	damagedDir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(damagedDir, logFileName), bytes.Repeat([]byte("x"), 4096), 0o600))
	_, damaged := openSingle(t, damagedDir)
	require.Error(t, damaged)
	_, listenFailed := OpenRaft(RaftOptions{ID: "node-1", ListenAddress: "127.0.0.1:none"})
	require.Error(t, listenFailed)

	texts := []string{
		ErrConflict.Error(),
		ErrNotLeader.Error(),
		conflict.Error(),
		applied.err.Error(),
		restored.Error(),
		strings.ReplaceAll(locked.Error(), dir, "DIR"),
		strings.ReplaceAll(damaged.Error(), damagedDir, "DIR"),
		listenFailed.Error(),
		recoverFault(func() error { panic("a fault") }).Error(),
	}
	golden.Bytes(t, "errors.txt", fmt.Appendln(nil, strings.Join(texts, "\n")))
}
