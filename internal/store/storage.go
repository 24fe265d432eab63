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

// Names in a member's directory. raft adds "snapshots" beside them.
const (
	lockFileName = "lock"
	logFileName  = "raft.db"
)

// storage is where a member keeps the replicated log, its vote and term, and its snapshots.
type storage struct {
	log       raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
	// Set where the storage is on a disk.
	database *boltdb.BoltStore
	lockFile *os.File // locked for as long as the directory is this process's
}

func memoryStorage() *storage {
	log := raft.NewInmemStore()
	return &storage{log: log, stable: log, snapshots: raft.NewInmemSnapshotStore()}
}

// openDirectory opens, or creates, the storage in the options' directory. The whole log is read once: a damaged file is
// reported here, by its name, and is never taken for an empty one.
func openDirectory(options RaftOptions) (_ *storage, err error) {
	s := &storage{}
	defer func() {
		if err != nil {
			_ = s.close() // the first error is the one to report
		}
	}()
	if err = os.MkdirAll(options.Dir, 0o700); err != nil {
		return nil, err
	}
	if s.lockFile, err = lockDirectory(filepath.Join(options.Dir, lockFileName)); err != nil {
		return nil, err
	}
	path := filepath.Join(options.Dir, logFileName)
	if err = recoverFault(func() (err error) {
		if s.database, err = boltdb.NewBoltStore(path); err != nil {
			return err
		}
		return verifyLog(s.database)
	}); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s.log = s.database
	s.stable = s.database
	if s.snapshots, err = raft.NewFileSnapshotStore(options.Dir, retainedSnapshots, options.LogOutput); err != nil {
		return nil, err
	}
	return s, nil
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

// lockDirectory locks a directory for this process by a file in it. The log's own library would wait, without a word,
// for another process to release the directory.
func lockDirectory(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: another program has this store open: %w", path, err), f.Close())
	}
	return f, nil
}

// recoverFault runs a check of the log's file, and returns a panic or a memory fault in it as an error. The library
// maps the file into memory: where the file was cut off or written over, reading it panics or faults.
func recoverFault(check func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("the file is damaged: %v", fault)
		}
	}()
	return check()
}

// verifyLog reads every entry of a log, so that one that cannot be read is found before anything relies on it.
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
			return fmt.Errorf("entry %d of the log: %w", index, err)
		}
	}
	return nil
}

// lastCommandIndex returns the index of the last write in the log that no snapshot includes; 0 where there is none,
// or where the log cannot be read.
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
