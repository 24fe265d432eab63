package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// Names of the files in the directory.
const (
	lockName  = "lock"
	stateName = "seat.json"
)

// maxIncarnations is how many incarnations are persisted. None of them was ever granted the slot, so the latest are
// enough.
const maxIncarnations = 64

// Directory is a node's own directory, which one incarnation locks at a time. It is not safe for concurrent use.
type Directory struct {
	path      string
	lock      *os.File
	persisted persistedState
}

// persistedState is the content of the state file.
type persistedState struct {
	// Incarnations are those that may have claimed the slot since its holder was last known, the latest last.
	Incarnations []uint64 `json:"lives"`
}

// Open locks the directory at path, which it creates where it is missing, and numbers this incarnation: by
// wallTime, the node's clock in Unix nanoseconds, and higher than every incarnation before it. It returns the
// number, and the predecessors that may hold the slot. It fails where another process has the lock, or where the
// state file cannot be read.
func Open(path string, wallTime int64) (directory *Directory, incarnation uint64, predecessors []uint64, err error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, 0, nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, 0, nil, err
	}
	directory = &Directory{path: path, lock: lock}
	incarnation, predecessors, err = directory.begin(wallTime)
	if err != nil {
		return nil, 0, nil, errors.Join(err, lock.Close())
	}
	return directory, incarnation, predecessors, nil
}

// begin takes the lock and persists a new incarnation.
func (d *Directory) begin(wallTime int64) (incarnation uint64, predecessors []uint64, err error) {
	if err := syscall.Flock(int(d.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return 0, nil, fmt.Errorf("%s: another program has this folder: %w", d.path, err)
	}
	if err := d.load(); err != nil {
		return 0, nil, err
	}
	predecessors = slices.Clone(d.persisted.Incarnations)
	incarnation = nextIncarnation(predecessors, wallTime)
	d.persisted.Incarnations = append(latest(predecessors), incarnation)
	// Before the claim: an incarnation that claimed without being on record could not be told from that of another
	// directory.
	if err := d.save(); err != nil {
		return 0, nil, err
	}
	return incarnation, predecessors, nil
}

// nextIncarnation is the number after those of the predecessors, or the time where that is later. It is never 0.
func nextIncarnation(predecessors []uint64, wallTime int64) uint64 {
	incarnation := max(uint64(1), uint64(max(0, wallTime)))
	if count := len(predecessors); count > 0 {
		incarnation = max(incarnation, predecessors[count-1]+1)
	}
	return incarnation
}

// latest returns a copy of the incarnations, cut to the latest half of maxIncarnations where there are too many.
func latest(incarnations []uint64) []uint64 {
	if len(incarnations) >= maxIncarnations {
		incarnations = incarnations[len(incarnations)-maxIncarnations/2:]
	}
	return slices.Clone(incarnations)
}

// ConfirmGrant notes that the slot was granted to this incarnation, so that none of its predecessors can hold it
// any more.
func (d *Directory) ConfirmGrant(incarnation uint64) error {
	if len(d.persisted.Incarnations) == 1 && d.persisted.Incarnations[0] == incarnation {
		return nil
	}
	d.persisted.Incarnations = []uint64{incarnation}
	return d.save()
}

// Close releases the lock.
func (d *Directory) Close() error { return d.lock.Close() }

func (d *Directory) statePath() string { return filepath.Join(d.path, stateName) }

// load reads the state file; a missing one is an empty state.
func (d *Directory) load() error {
	raw, err := os.ReadFile(d.statePath())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, &d.persisted); err != nil {
		return fmt.Errorf("%s cannot be read; whose life was the last is not known: %w", d.statePath(), err)
	}
	return nil
}

// save replaces the state file by a whole one, so that a crash leaves either the old or the new state.
func (d *Directory) save() error {
	raw, err := json.Marshal(d.persisted)
	if err != nil {
		return err
	}
	temporary := d.statePath() + ".new"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(raw)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	return os.Rename(temporary, d.statePath())
}
