package store

import "context"

// Memory is a single-member store that is not persisted. It is always the leader. Use NewMemory; the zero value is not
// usable.
type Memory struct{ *keyspace }

// NewMemory returns an empty store.
func NewMemory() Memory { return Memory{newKeyspace()} }

// Write implements Store.
func (m Memory) Write(_ context.Context, ops ...Op) (uint64, error) { return m.write(ops) }

// Leadership implements Store.
func (m Memory) Leadership() (uint64, bool) { return 1, true }

// Leader implements Store.
func (m Memory) Leader() string { return "" }

// Close implements Store.
func (m Memory) Close() error { return nil }
