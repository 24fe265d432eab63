// Package seat decides which life of a node has a seat of its fleet, and keeps what one life leaves to the next in the node's
// own folder. A seat is given under a lease that ends, by the store's leader; a fence grows with each owner. Decide is pure.
package seat

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
	Inc   uint64 `json:"inc"`
	Epoch uint64 `json:"epoch"` // the fence: grows with each owner
	First int64  `json:"first"` // from when on
	Until int64  `json:"until"` // Unix nanoseconds
	Heir  bool   `json:"heir,omitempty"`
}

// Claim is a life's wish for a seat.
type Claim struct {
	Name   string        `json:"name"`
	Inc    uint64        `json:"inc"`
	Before []uint64      `json:"before,omitempty"` // lives of the same folder, which are over: it has the folder's lock
	For    time.Duration `json:"for"`
	Clock  int64         `json:"clock"` // the claimant's: what its own windows go by
}

// ErrTaken is returned while another life has the seat.
var ErrTaken = errors.New("another life of this node has its seat")

// Decide says what a claim makes of a record; version 0 of a record is that of a seat that nobody has had. clockError is by how
// much clocks may differ.
func Decide(r Record, c Claim, now int64, clockError time.Duration) (Record, error) {
	next := Record{Inc: c.Inc, Epoch: r.Epoch + 1, First: max(now, c.Clock), Until: now + int64(c.For)}
	switch {
	case c.Inc == 0 || c.For <= 0:
		return r, fmt.Errorf("a claim that cannot be: life %d, for %v", c.Inc, c.For)
	case r.Epoch == 0:
		return next, nil
	case r.Inc == c.Inc: // the same once more
		r.Until = max(r.Until, next.Until)
		return r, nil
	case slices.Contains(c.Before, r.Inc):
		next.Heir = true
		return next, nil
	case c.Inc < r.Inc && now < r.Until:
		return r, fmt.Errorf("%w: a later one", ErrTaken)
	case now < r.Until+2*int64(clockError):
		return r, fmt.Errorf("%w until %s", ErrTaken, time.Unix(0, r.Until).UTC().Format(time.RFC3339Nano))
	}
	next.First = max(next.First, r.Until)
	return next, nil
}

// Folder is a node's own folder, which one life has at a time.
type Folder struct {
	dir  string
	lock *os.File
	kept kept
}

type kept struct {
	Lives []uint64 `json:"lives"` // the latest last: those that may have claimed the seat since it was last known whose it is
}

const livesMost = 64

// Open takes a folder for this life, and begins it. wall is the time by this node's clock.
func Open(dir string, wall int64) (*Folder, uint64, []uint64, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, 0, nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, 0, nil, err
	}
	f := &Folder{dir: dir, lock: lock}
	fail := func(err error) (*Folder, uint64, []uint64, error) {
		return nil, 0, nil, errors.Join(err, lock.Close())
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return fail(fmt.Errorf("%s: another program has this folder: %w", dir, err))
	}
	raw, err := os.ReadFile(f.path())
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return fail(err)
	default:
		if err := json.Unmarshal(raw, &f.kept); err != nil {
			return fail(fmt.Errorf("%s cannot be read; whose life was the last is not known: %w", f.path(), err))
		}
	}
	before := slices.Clone(f.kept.Lives)
	inc := max(uint64(1), uint64(max(0, wall)))
	if n := len(before); n > 0 {
		inc = max(inc, before[n-1]+1)
	}
	if len(before) >= livesMost { // none of them was ever given the seat: the latest are enough
		f.kept.Lives = before[len(before)-livesMost/2:]
	}
	f.kept.Lives = append(slices.Clone(f.kept.Lives), inc)
	// Before the claim: a life that claimed and is not on record could not be told from a stranger's.
	if err := f.write(); err != nil {
		return fail(err)
	}
	return f, inc, before, nil
}

func (f *Folder) path() string { return filepath.Join(f.dir, "seat.json") }

// Given notes that the seat is this life's: those before it are over for the store too.
func (f *Folder) Given(inc uint64) error {
	if len(f.kept.Lives) == 1 && f.kept.Lives[0] == inc {
		return nil
	}
	f.kept.Lives = []uint64{inc}
	return f.write()
}

// write replaces the file by a whole one.
func (f *Folder) write() error {
	raw, err := json.Marshal(f.kept)
	if err != nil {
		return err
	}
	temporary := f.path() + ".new"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(raw)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	return os.Rename(temporary, f.path())
}

// Close gives the folder back.
func (f *Folder) Close() error { return f.lock.Close() }
