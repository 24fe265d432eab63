package store

import (
	"bytes"
	"io"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// Restoring a snapshot sets the applied index, so that a member restored from a snapshot counts as caught up although
// it never applied the single writes. An entry that cannot be decoded returns an error and still counts as applied.
func TestCaughtUpBySnapshot(t *testing.T) {
	var index, restoredIndex atomic.Uint64
	m := stateMachine{newKeyspace(), &index, newResultHistory()}
	m.Apply(&raft.Log{Index: 7, Data: []byte(`[{"key":"a","data":"MQ==","if":0}]`)})
	result := m.Apply(&raft.Log{Index: 8, Data: []byte(`[{"key":`)}).(applyResult)
	require.ErrorContains(t, result.err, "entry 8 of the log cannot be read")
	require.EqualValues(t, 8, index.Load())
	snapshot, err := m.Snapshot()
	require.NoError(t, err)
	encoded := snapshot.(encodedSnapshot)
	restored := stateMachine{newKeyspace(), &restoredIndex, newResultHistory()}
	require.NoError(t, restored.Restore(io.NopCloser(bytes.NewReader(encoded))))
	require.Equal(t, "1", string(restored.Get("a").Data))
	require.EqualValues(t, 8, restoredIndex.Load())
	truncated := io.NopCloser(bytes.NewReader(encoded[:9]))
	require.ErrorContains(t, restored.Restore(truncated), "decode snapshot")
	require.Equal(t, "1", string(restored.Get("a").Data), "an unreadable snapshot changes nothing")
}

// Malformed log entries and snapshots never leave the keys partly changed, and the keys can be written afterwards.
func FuzzRecords(f *testing.F) {
	f.Add([]byte(`[{"key":"a","data":"MQ==","if":0}]`))
	f.Add([]byte(`{"version":3,"applied":2,"values":{"a":{"data":"MQ==","version":3}}}`))
	f.Add([]byte(`{"values":null}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var index atomic.Uint64
		m := stateMachine{newKeyspace(), &index, newResultHistory()}
		m.Apply(&raft.Log{Index: 1, Data: raw})
		if index.Load() != 1 {
			t.Fatal("the entry does not count as applied")
		}
		before := m.version
		if m.Restore(io.NopCloser(bytes.NewReader(raw))) != nil && m.version != before {
			t.Fatal("an unreadable snapshot changed the keys")
		}
		write := []byte(`[{"key":"z","data":"MQ==","if":18446744073709551615}]`)
		result := m.Apply(&raft.Log{Index: 2, Data: write}).(applyResult)
		if result.err != nil || string(m.Get("z").Data) != "1" {
			t.Fatal("the keys cannot be written after a malformed entry and snapshot")
		}
	})
}
