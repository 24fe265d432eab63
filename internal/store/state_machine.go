package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/hashicorp/raft"
)

// stateMachine applies committed log entries to the keys. It implements raft.FSM.
type stateMachine struct {
	*keyspace
	appliedIndex *atomic.Uint64 // index of the last log entry included in the keys
	results      *resultHistory
}

// applyResult is the result of Apply for one entry, which the leader returns to the writer.
type applyResult struct {
	version uint64
	err     error
}

// Apply implements raft.FSM. An entry that cannot be decoded changes nothing, on any member.
func (m stateMachine) Apply(entry *raft.Log) any {
	defer m.appliedIndex.Store(entry.Index)
	result := m.applyOps(entry)
	m.results.add(entry.Index, result)
	return result
}

// applyOps applies the operations of an entry.
func (m stateMachine) applyOps(entry *raft.Log) applyResult {
	var ops []Op
	if err := json.Unmarshal(entry.Data, &ops); err != nil {
		return applyResult{err: fmt.Errorf("entry %d of the log cannot be read: %w", entry.Index, err)}
	}
	version, err := m.write(ops)
	return applyResult{version: version, err: err}
}

// Snapshot implements raft.FSM.
func (m stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	raw, err := m.encode(m.appliedIndex.Load())
	return encodedSnapshot(raw), err
}

// Restore implements raft.FSM. A snapshot that cannot be decoded changes nothing.
func (m stateMachine) Restore(source io.ReadCloser) error {
	defer source.Close()
	var image snapshotImage
	if err := json.NewDecoder(source).Decode(&image); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	m.restore(image)
	m.appliedIndex.Store(max(m.appliedIndex.Load(), image.Applied))
	return nil
}

// encodedSnapshot is an encoded snapshot that is ready to be written.
type encodedSnapshot []byte

// Persist implements raft.FSMSnapshot.
func (s encodedSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (encodedSnapshot) Release() {}
