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

func (c *Channel) recordPath() string  { return c.pathPrefix + recordSuffix }
func (c *Channel) learnedPath() string { return c.pathPrefix + learnedSuffix }

// ReadRecord reads the record, and tells whether it has changed since it was read last; where it has not, the record is
// empty. Where there is no file, the record is empty and unchanged.
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

func sameVersion(a, b fs.FileInfo) bool {
	return os.SameFile(a, b) && a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}

// loadRecord reads the record; where there is no file it is empty.
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

// UpdateRecord changes the record under a lock that the node's processes share, and returns it as written. A record
// that cannot be read is replaced, since no process goes by any of it.
func (c *Channel) UpdateRecord(change func(*Record)) (Record, error) {
	lock, err := os.OpenFile(c.pathPrefix+lockSuffix, os.O_CREATE|os.O_RDWR|unix.O_CLOEXEC, fileMode)
	if err != nil {
		return Record{}, err
	}
	defer func() { _ = lock.Close() }() // which unlocks it
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

// replaceFile replaces a file as a whole, or leaves it as it was.
func (c *Channel) replaceFile(path string, content []byte) error {
	next := c.liveFile.Name() + nextSuffix
	if err := os.WriteFile(next, content, fileMode); err != nil {
		return errors.Join(err, os.Remove(next))
	}
	return os.Rename(next, path)
}

// WriteLearned leaves this process's learned state to the one that takes over.
func (c *Channel) WriteLearned(raw []byte) error {
	if len(raw) > maxFileBytes {
		return fmt.Errorf("what was learned has %d bytes, %d at most", len(raw), maxFileBytes)
	}
	return c.replaceFile(c.learnedPath(), raw)
}

// ReadLearned returns the learned state that a process has left, if that was not before after.
func (c *Channel) ReadLearned(after time.Time) ([]byte, bool) {
	info, err := os.Stat(c.learnedPath())
	if err != nil || info.ModTime().Before(after) || info.Size() > maxFileBytes {
		return nil, false
	}
	raw, err := os.ReadFile(c.learnedPath())
	return raw, err == nil
}
