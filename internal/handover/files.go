package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"standpoint/internal/clock"
	"standpoint/internal/transient"
)

// recordPath returns the path of the file with the record.
func (c *Channel) recordPath() string { return c.pathPrefix + recordSuffix }

// learnedPath returns the path of the file with the learned state.
func (c *Channel) learnedPath() string { return c.pathPrefix + learnedSuffix }

// ReadRecord reads the record if its file has changed since the last call, and returns whether it has. Otherwise the
// returned record is empty. If there is no file, the record is empty and unchanged.
func (c *Channel) ReadRecord() (record Record, changed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.recordPath())
	if errors.Is(err, fs.ErrNotExist) {
		return Record{}.withDefaults(), false, nil
	}
	if err != nil {
		return Record{}, false, err
	}
	if c.lastRead != nil && sameVersion(c.lastRead, info) {
		return Record{}, false, nil
	}
	c.lastRead = info
	record, err = c.loadRecord()
	return record, err == nil, err
}

// sameVersion reports whether two infos are of the same version of a file.
func sameVersion(a, b fs.FileInfo) bool {
	return os.SameFile(a, b) && a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}

// loadRecord reads the record, which is empty if there is no file.
func (c *Channel) loadRecord() (Record, error) {
	raw, err := os.ReadFile(c.recordPath())
	if errors.Is(err, fs.ErrNotExist) {
		return Record{}.withDefaults(), nil
	}
	if err != nil {
		return Record{}, err
	}
	record, err := DecodeRecord(raw)
	if err != nil {
		return Record{}, err
	}
	return record.toLocal(clock.Now()), nil
}

// UpdateRecord changes the record, while holding a lock that the node's processes share, and returns it as written. An
// invalid record is replaced, since no process uses any part of it.
func (c *Channel) UpdateRecord(change func(*Record)) (Record, error) {
	lock, err := os.OpenFile(c.pathPrefix+lockSuffix, os.O_CREATE|os.O_RDWR|unix.O_CLOEXEC, fileMode)
	if err != nil {
		return Record{}, err
	}
	defer func() { _ = lock.Close() }() // also releases the lock
	if err := transient.IgnoringEINTR(func() error { return unix.Flock(int(lock.Fd()), unix.LOCK_EX) }); err != nil {
		return Record{}, err
	}
	record, err := c.loadRecord()
	if err != nil {
		record = Record{}.withDefaults()
	}
	change(&record)
	raw, err := json.Marshal(record.toShared())
	if err != nil {
		return Record{}, err
	}
	return record, c.replaceFile(c.recordPath(), raw)
}

// replaceFile replaces a file atomically; if it fails, the file is unchanged.
func (c *Channel) replaceFile(path string, content []byte) error {
	temp := c.liveFile.Name() + tempSuffix
	if err := os.WriteFile(temp, content, fileMode); err != nil {
		return errors.Join(err, os.Remove(temp))
	}
	return os.Rename(temp, path)
}

// WriteLearned writes this process's learned state, for the process that takes over.
func (c *Channel) WriteLearned(raw []byte) error {
	if len(raw) > maxFileBytes {
		return fmt.Errorf("write learned state: size of %d bytes exceeds the maximum of %d", len(raw), maxFileBytes)
	}
	return c.replaceFile(c.learnedPath(), raw)
}

// ReadLearned returns the learned state that a process has written. It returns false if there is none, or
// if it was written earlier than the time after.
func (c *Channel) ReadLearned(after time.Time) ([]byte, bool) {
	info, err := os.Stat(c.learnedPath())
	if err != nil || info.ModTime().Before(after) || info.Size() > maxFileBytes {
		return nil, false
	}
	raw, err := os.ReadFile(c.learnedPath())
	return raw, err == nil
}
