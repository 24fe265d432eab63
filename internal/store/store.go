// Package store keeps the node's small versioned keys: configuration, the last endpoints and the
// state of batches. Memory is one member with no disk; Raft replicates the same keys over loopback TCP.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
)

var (
	// ErrConflict is returned where a key's version is not the one expected. Nothing was written.
	ErrConflict = errors.New("store: the key has changed meanwhile")
	// ErrNotLeader is returned by a member that may not write.
	ErrNotLeader = errors.New("store: this member does not lead")
)

// AnyVersion stands for whatever version a key has.
const AnyVersion = ^uint64(0)

// Value is what a key holds. Versions grow with each write of any key; 0 means that there is no such key.
type Value struct {
	Data    []byte `json:"data"`
	Version uint64 `json:"version"`
}

// Op writes one key, or deletes it where Data is nil, provided that its version is If.
type Op struct {
	Key             string `json:"key"`
	Data            []byte `json:"data"`
	ExpectedVersion uint64 `json:"if"`
}

// Store is the interface to the keys.
type Store interface {
	Get(key string) Value
	// List returns the keys under a prefix, in order.
	List(prefix string) []string
	// Write carries out all ops or none, and returns the version that they gave their keys.
	Write(ctx context.Context, ops ...Op) (uint64, error)
	// Leadership tells whether this member may write now, and under which term; a new term is a new leader.
	Leadership() (term uint64, ok bool)
	// Leader is the address of the member that leads, as far as known.
	Leader() string
	Close() error
}

// keyspace is the state that every member holds.
type keyspace struct {
	mu      sync.RWMutex
	values  map[string]Value
	version uint64
}

func newKeyspace() *keyspace { return &keyspace{values: map[string]Value{}} }

func (k *keyspace) Get(key string) Value {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.values[key]
}

func (k *keyspace) List(prefix string) []string {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var names []string
	for name := range k.values {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (k *keyspace) write(ops []Op) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, op := range ops {
		if op.ExpectedVersion != AnyVersion && k.values[op.Key].Version != op.ExpectedVersion {
			return 0, fmt.Errorf("%w: %s", ErrConflict, op.Key)
		}
	}
	k.version++
	for _, op := range ops {
		if op.Data == nil {
			delete(k.values, op.Key)
		} else {
			k.values[op.Key] = Value{op.Data, k.version}
		}
	}
	return k.version, nil
}

// snapshotImage is the whole state, for snapshots.
type snapshotImage struct {
	Version uint64           `json:"version"`
	Applied uint64           `json:"applied,omitempty"` // the replicated log's last write in it
	Values  map[string]Value `json:"values"`
}

func (k *keyspace) encode(applied uint64) ([]byte, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return json.Marshal(snapshotImage{k.version, applied, k.values})
}

func (k *keyspace) restore(i snapshotImage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if i.Values == nil {
		i.Values = map[string]Value{}
	}
	k.values, k.version = i.Values, i.Version
}

// Memory is a store of one member without a disk. It always leads.
type Memory struct{ *keyspace }

// NewMemory makes an empty store.
func NewMemory() Memory { return Memory{newKeyspace()} }

// Write implements Store.
func (m Memory) Write(_ context.Context, ops ...Op) (uint64, error) { return m.write(ops) }

// Leadership implements Store.
func (m Memory) Leadership() (uint64, bool) { return 1, true }

// Leader implements Store.
func (m Memory) Leader() string { return "" }

// Close implements Store.
func (m Memory) Close() error { return nil }
