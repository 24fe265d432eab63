package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
)

// Names of the files in a member's directory. The raft library adds the directory "snapshots".
const (
	lockFileName = "lock"
	logFileName  = "raft.db"
)

// storage holds a member's replicated log, its vote and term, and its snapshots.
type storage struct {
	log       raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
	// database and lockFile are set only if the storage is on disk.
	database *boltdb.BoltStore
	lockFile *os.File // holds an exclusive lock while this process has the directory open
}

func memoryStorage() *storage {
	log := raft.NewInmemStore()
	return &storage{log: log, stable: log, snapshots: raft.NewInmemSnapshotStore()}
}

// openDirectory opens the storage in options.Dir, and creates it if it does not exist. It reads the whole log once, so
// that a corrupt file is reported with its path and never treated as an empty log.
func openDirectory(options RaftOptions) (_ *storage, err error) {
	disk := &storage{}
	defer func() {
		if err != nil {
			_ = disk.close() // the error that is returned takes precedence
		}
	}()
	if err = os.MkdirAll(options.Dir, 0o700); err != nil {
		return nil, err
	}
	if disk.lockFile, err = lockDirectory(filepath.Join(options.Dir, lockFileName)); err != nil {
		return nil, err
	}
	path := filepath.Join(options.Dir, logFileName)
	if err = recoverFault(func() (err error) {
		if disk.database, err = boltdb.NewBoltStore(path); err != nil {
			return err
		}
		return verifyLog(disk.database)
	}); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	disk.log = disk.database
	disk.stable = disk.database
	if disk.snapshots, err = raft.NewFileSnapshotStore(options.Dir, retainedSnapshots, options.LogOutput); err != nil {
		return nil, err
	}
	return disk, nil
}

func (s *storage) close() error {
	if s.lockFile == nil {
		return nil
	}
	var err error
	if s.database != nil {
		err = s.database.Close()
	}
	return errors.Join(err, s.lockFile.Close())
}

// lockDirectory takes an exclusive lock on the file at path, and fails if another process holds it. Without it, boltdb
// would block without any message until the other process closes the database.
func lockDirectory(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: store is locked by another process: %w", path, err), f.Close())
	}
	return f, nil
}

// recoverFault runs check on the log file and returns a panic or a memory fault in it as an error. boltdb maps the file
// into memory: reading a file that was truncated or overwritten panics or faults.
func recoverFault(check func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("log file is corrupt: %v", fault)
		}
	}()
	return check()
}

// verifyLog reads every entry of a log, so that an unreadable entry is detected before the log is used.
func verifyLog(log raft.LogStore) error {
	first, err := log.FirstIndex()
	if err != nil {
		return err
	}
	last, err := log.LastIndex()
	if err != nil {
		return err
	}
	for index := max(first, 1); index <= last; index++ {
		var entry raft.Log
		if err := log.GetLog(index, &entry); err != nil {
			return fmt.Errorf("read log entry %d: %w", index, err)
		}
	}
	return nil
}

// lastCommandIndex returns the index of the last write in the log that is not included in a snapshot. It returns 0 if
// there is none, or if the log cannot be read.
func (s *storage) lastCommandIndex() uint64 {
	first, err := s.log.FirstIndex()
	if err != nil {
		return 0
	}
	if snapshots, err := s.snapshots.List(); err == nil && len(snapshots) > 0 {
		first = max(first, snapshots[0].Index+1)
	}
	last, err := s.log.LastIndex()
	if err != nil {
		return 0
	}
	for index := last; index >= max(first, 1); index-- {
		var entry raft.Log
		if err := s.log.GetLog(index, &entry); err != nil {
			return 0
		}
		if entry.Type == raft.LogCommand {
			return index
		}
	}
	return 0
}
