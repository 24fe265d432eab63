// Package store keeps the small versioned keys of an installation: shared configuration, the last endpoint list,
// migrations, paused sessions and batches. Memory is one member without a disk; Raft replicates the same keys between
// the members of a deployment.
package store

import (
	"context"
	"errors"
	"fmt"
)

var (
	// ErrConflict is the error of a write that expected another version of a key. Nothing was written. A
	// *ConflictError, which names the key, wraps it.
	ErrConflict = errors.New("store: the key has changed meanwhile")
	// ErrNotLeader is the error of a write at a member that does not lead.
	ErrNotLeader = errors.New("store: this member does not lead")
)

// ConflictError names the key whose version was not the expected one. It wraps ErrConflict.
type ConflictError struct{ Key string }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("%v: %s", ErrConflict, e.Key) }

// Unwrap makes errors.Is(err, ErrConflict) hold.
func (*ConflictError) Unwrap() error { return ErrConflict }

// AnyVersion matches every version of a key, and a key that does not exist, as the expected version of an Op.
const AnyVersion = ^uint64(0)

// Value is what a key holds. The zero value stands for a key that does not exist.
type Value struct {
	Data []byte `json:"data"`
	// Version is that of the write that set the key. Versions count all writes to the store, not those of one key; the
	// first is 1.
	Version uint64 `json:"version"`
}

// Op sets one key, or deletes it where Data is nil, provided that the key is at ExpectedVersion; 0 expects that the
// key does not exist.
type Op struct {
	Key             string `json:"key"`
	Data            []byte `json:"data"`
	ExpectedVersion uint64 `json:"if"`
}

// Store holds versioned keys. Its methods may be called concurrently.
type Store interface {
	// Get returns what a key holds at this member, which may be behind the leader. The value's data must not be
	// changed.
	Get(key string) Value
	// List returns the keys with a prefix, sorted.
	List(prefix string) []string
	// Write carries out all ops or none, and returns the version that they gave their keys. After an error other than a
	// *ConflictError or ErrNotLeader it is not known whether the write was carried out.
	Write(ctx context.Context, ops ...Op) (version uint64, err error)
	// Leadership returns the term under which this member may write now; leads is false where it may not. Two
	// leaderships never have the same term.
	Leadership() (term uint64, leads bool)
	// Leader returns the ID of the member that leads, "" where none is known.
	Leader() string
	Close() error
}
