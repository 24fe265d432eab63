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

// Names of the files in a node's directory.
const (
	lockFileName  = "lock"
	stateFileName = "seat.json"
)

// maxIncarnations is the maximum number of incarnations in the state file. When it is reached, only the latest half
// remains. No grant was confirmed to any of them but the first. If one that was removed holds the slot after all, the
// next incarnation has to wait for its lease to expire.
const maxIncarnations = 64

// Directory is the directory of a node's persistent state. One incarnation at a time holds its lock. It is not safe
// for concurrent use.
type Directory struct {
	path      string
	lock      *os.File
	persisted persistedState
}

// persistedState is the content of the state file.
type persistedState struct {
	// Incarnations are the last one whose grant was confirmed, if any, and those that may have claimed the slot after
	// it, in order.
	Incarnations []uint64 `json:"lives"`
}

// Open locks the directory at path, creates it if it is missing, and numbers this incarnation: by wallTime, the
// node's clock in Unix nanoseconds, or one above the previous incarnation if that is higher. It returns the number,
// and the predecessors that may hold the slot. It fails if another process holds the lock, or if the state file
// cannot be read.
func Open(path string, wallTime int64) (directory *Directory, incarnation uint64, predecessors []uint64, err error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, 0, nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, 0, nil, err
	}
	directory = &Directory{path: path, lock: lock}
	incarnation, predecessors, err = directory.registerIncarnation(wallTime)
	if err != nil {
		return nil, 0, nil, errors.Join(err, lock.Close())
	}
	return directory, incarnation, predecessors, nil
}

// registerIncarnation acquires the lock and persists a new incarnation.
func (d *Directory) registerIncarnation(wallTime int64) (incarnation uint64, predecessors []uint64, err error) {
	if err := syscall.Flock(int(d.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return 0, nil, fmt.Errorf("%s is locked by another process: %w", d.path, err)
	}
	if err := d.load(); err != nil {
		return 0, nil, err
	}
	predecessors = slices.Clone(d.persisted.Incarnations)
	incarnation = nextIncarnation(predecessors, wallTime)
	d.persisted.Incarnations = append(latestIncarnations(predecessors), incarnation)
	// The incarnation is persisted before it claims the slot. Otherwise its successor could not list it among its
	// predecessors, and would have to wait for the lease to expire.
	if err := d.save(); err != nil {
		return 0, nil, err
	}
	return incarnation, predecessors, nil
}

// nextIncarnation returns wallTime, or the number after the last predecessor if that is higher. It is never 0.
func nextIncarnation(predecessors []uint64, wallTime int64) uint64 {
	incarnation := max(uint64(1), uint64(max(0, wallTime)))
	if count := len(predecessors); count > 0 {
		incarnation = max(incarnation, predecessors[count-1]+1)
	}
	return incarnation
}

// latestIncarnations returns a copy of the incarnations. If there are maxIncarnations or more, it returns only the
// latest half of that number.
func latestIncarnations(incarnations []uint64) []uint64 {
	if len(incarnations) >= maxIncarnations {
		incarnations = incarnations[len(incarnations)-maxIncarnations/2:]
	}
	return slices.Clone(incarnations)
}

// ConfirmGrant persists that the slot was granted to this incarnation, so that none of its predecessors can hold it
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

func (d *Directory) statePath() string { return filepath.Join(d.path, stateFileName) }

// load reads the state file. If the file is missing, the state is empty.
func (d *Directory) load() error {
	raw, err := os.ReadFile(d.statePath())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, &d.persisted); err != nil {
		return fmt.Errorf("%s cannot be decoded, so earlier incarnations are unknown: %w", d.statePath(), err)
	}
	return nil
}

// save replaces the state file atomically: after a crash it has either the old or the new state.
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
