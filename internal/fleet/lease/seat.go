// Package seat decides which life of a node has a seat of its fleet, and keeps what one life leaves to the next in the node's
// own folder. A seat is given under a lease that ends, by the store's leader; a fence grows with each owner. Decide is pure.
package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// Record is who has a seat, as the store has it.
type Record struct {
	Incarnation  uint64 `json:"inc"`
	FencingToken uint64 `json:"epoch"` // the fence: grows with each owner
	ValidFrom    int64  `json:"first"` // from when on
	ExpiresAt    int64  `json:"until"` // Unix nanoseconds
	Successor    bool   `json:"heir,omitempty"`
}

// Claim is a life's wish for a seat.
type Claim struct {
	Slot         string        `json:"name"`
	Incarnation  uint64        `json:"inc"`
	Predecessors []uint64      `json:"before,omitempty"` // lives of the same folder, which are over: it has the folder's lock
	Duration     time.Duration `json:"for"`
	ClaimantTime int64         `json:"clock"` // the claimant's: what its own windows go by
}

// ErrHeld is returned while another life has the seat.
var ErrHeld = errors.New("another life of this node has its seat")

// Decide says what a claim makes of a record; version 0 of a record is that of a seat that nobody has had. clockError is by how
// much clocks may differ.
func Decide(r Record, c Claim, now int64, clockError time.Duration) (Record, error) {
	next := Record{Incarnation: c.Incarnation, FencingToken: r.FencingToken + 1, ValidFrom: max(now, c.ClaimantTime), ExpiresAt: now + int64(c.Duration)}
	switch {
	case c.Incarnation == 0 || c.Duration <= 0:
		return r, fmt.Errorf("a claim that cannot be: life %d, for %v", c.Incarnation, c.Duration)
	case r.FencingToken == 0:
		return next, nil
	case r.Incarnation == c.Incarnation: // the same once more
		r.ExpiresAt = max(r.ExpiresAt, next.ExpiresAt)
		return r, nil
	case slices.Contains(c.Predecessors, r.Incarnation):
		next.Successor = true
		return next, nil
	case c.Incarnation < r.Incarnation && now < r.ExpiresAt:
		return r, fmt.Errorf("%w: a later one", ErrHeld)
	case now < r.ExpiresAt+2*int64(clockError):
		return r, fmt.Errorf("%w until %s", ErrHeld, time.Unix(0, r.ExpiresAt).UTC().Format(time.RFC3339Nano))
	}
	next.ValidFrom = max(next.ValidFrom, r.ExpiresAt)
	return next, nil
}

// Directory is a node's own folder, which one life has at a time.
type Directory struct {
	path      string
	lock      *os.File
	persisted persistedState
}

type persistedState struct {
	Incarnations []uint64 `json:"lives"` // the latest last: those that may have claimed the seat since it was last known whose it is
}

const maxIncarnations = 64

// Open takes a folder for this life, and begins it. wall is the time by this node's clock.
func Open(dir string, wall int64) (*Directory, uint64, []uint64, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, 0, nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, 0, nil, err
	}
	f := &Directory{path: dir, lock: lock}
	fail := func(err error) (*Directory, uint64, []uint64, error) {
		return nil, 0, nil, errors.Join(err, lock.Close())
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return fail(fmt.Errorf("%s: another program has this folder: %w", dir, err))
	}
	raw, err := os.ReadFile(f.filePath())
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return fail(err)
	default:
		if err := json.Unmarshal(raw, &f.persisted); err != nil {
			return fail(fmt.Errorf("%s cannot be read; whose life was the last is not known: %w", f.filePath(), err))
		}
	}
	before := slices.Clone(f.persisted.Incarnations)
	inc := max(uint64(1), uint64(max(0, wall)))
	if n := len(before); n > 0 {
		inc = max(inc, before[n-1]+1)
	}
	if len(before) >= maxIncarnations { // none of them was ever given the seat: the latest are enough
		f.persisted.Incarnations = before[len(before)-maxIncarnations/2:]
	}
	f.persisted.Incarnations = append(slices.Clone(f.persisted.Incarnations), inc)
	// Before the claim: a life that claimed and is not on record could not be told from a stranger's.
	if err := f.write(); err != nil {
		return fail(err)
	}
	return f, inc, before, nil
}

func (f *Directory) filePath() string { return filepath.Join(f.path, "seat.json") }

// ConfirmGrant notes that the seat is this life's: those before it are over for the store too.
func (f *Directory) ConfirmGrant(inc uint64) error {
	if len(f.persisted.Incarnations) == 1 && f.persisted.Incarnations[0] == inc {
		return nil
	}
	f.persisted.Incarnations = []uint64{inc}
	return f.write()
}

// write replaces the file by a whole one.
func (f *Directory) write() error {
	raw, err := json.Marshal(f.persisted)
	if err != nil {
		return err
	}
	temporary := f.filePath() + ".new"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(raw)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	return os.Rename(temporary, f.filePath())
}

// Close gives the folder back.
func (f *Directory) Close() error { return f.lock.Close() }
