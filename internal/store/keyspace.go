package store

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
)

// keyspace is the state that is replicated to every member: the keys with their values, and the version of the last
// write.
type keyspace struct {
	mu      sync.RWMutex     // guards the fields below
	values  map[string]Value // by key
	version uint64
}

func newKeyspace() *keyspace { return &keyspace{values: map[string]Value{}} }

// Get implements Store.
func (k *keyspace) Get(key string) Value {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.values[key]
}

// List implements Store.
func (k *keyspace) List(prefix string) []string {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var found []string
	for key := range k.values {
		if strings.HasPrefix(key, prefix) {
			found = append(found, key)
		}
	}
	sort.Strings(found)
	return found
}

// write applies all ops, or none and returns a *ConflictError.
func (k *keyspace) write(ops []Op) (version uint64, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, op := range ops {
		if op.ExpectedVersion != AnyVersion && k.values[op.Key].Version != op.ExpectedVersion {
			return 0, &ConflictError{Key: op.Key}
		}
	}
	k.version++
	for _, op := range ops {
		if op.Data == nil {
			delete(k.values, op.Key)
		} else {
			k.values[op.Key] = Value{Data: op.Data, Version: k.version}
		}
	}
	return k.version, nil
}

// snapshotImage is the content of a snapshot.
type snapshotImage struct {
	Version uint64           `json:"version"`
	Applied uint64           `json:"applied,omitempty"` // index of the last log entry included in the snapshot
	Values  map[string]Value `json:"values"`
}

// encode returns a snapshot of the keys; appliedIndex is the index of the last log entry included in them.
func (k *keyspace) encode(appliedIndex uint64) ([]byte, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return json.Marshal(snapshotImage{Version: k.version, Applied: appliedIndex, Values: k.values})
}

// restore replaces the keys with those of a snapshot.
func (k *keyspace) restore(image snapshotImage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if image.Values == nil {
		image.Values = map[string]Value{}
	}
	k.values = image.Values
	k.version = image.Version
}
