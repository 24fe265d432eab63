// Package store implements a small versioned key-value store for the shared state of an installation: the shared
// configuration, the last endpoint list, migrations, paused sessions and batches. Memory is a single-member store
// without persistence; Raft replicates the same keys among the members of a deployment.
package store

import (
	"context"
	"errors"
	"fmt"
)

var (
	// ErrConflict is returned by a write whose expected version of a key is not the current one. Nothing was written.
	// It is wrapped by a *ConflictError, which names the key.
	ErrConflict = errors.New("store: the key has changed meanwhile")
	// ErrNotLeader is returned by a write to a member that is not the leader. Nothing was written and nothing will be.
	ErrNotLeader = errors.New("store: this member does not lead")
	// ErrUnknownOutcome is returned by a write that may have been applied, or may yet be.
	ErrUnknownOutcome = errors.New("store: unknown whether the write was applied")
)

// ConflictError names the key whose version was not the expected one. It wraps ErrConflict.
type ConflictError struct{ Key string }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("%v: %s", ErrConflict, e.Key) }

// Unwrap returns ErrConflict.
func (*ConflictError) Unwrap() error { return ErrConflict }

// AnyVersion as the expected version of an Op matches every version of a key, and a key that does not exist.
const AnyVersion = ^uint64(0)

// Value is the value of a key. The zero Value represents a key that does not exist.
type Value struct {
	Data []byte `json:"data"`
	// Version is the version of the write that set the key. Versions count all writes to the store, not the writes to
	// one key; the first is 1.
	Version uint64 `json:"version"`
}

// Op sets one key, or deletes it if Data is nil, on condition that the key's version is ExpectedVersion. An
// ExpectedVersion of 0 means that the key must not exist.
type Op struct {
	Key             string `json:"key"`
	Data            []byte `json:"data"`
	ExpectedVersion uint64 `json:"if"`
}

// Store is a versioned key-value store. Its methods are safe for concurrent use.
type Store interface {
	// Get returns the value of a key at this member, which may lag behind the leader. The caller must not modify the
	// value's data.
	Get(key string) Value
	// List returns the keys that begin with prefix, sorted.
	List(prefix string) []string
	// Write applies all ops or none, and returns the new version of their keys. Unless NotApplied reports true of its
	// error, it is unknown whether the write was applied.
	Write(ctx context.Context, ops ...Op) (version uint64, err error)
	// Leadership returns the term in which this member is the leader and may write; leads is false if it may not. No
	// two leaderships share a term.
	Leadership() (term uint64, leads bool)
	// Leader returns the ID of the leader, "" if none is known.
	Leader() string
	// Close stops this member and releases its resources.
	Close() error
}
