// Package handover is what the processes of one node share while one takes over from the other: a folder in which each
// shows that it lives, and one record, written whole or not at all. It decides nothing.
package handover

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"standpoint/internal/clock"
	"standpoint/internal/transient"
)

const (
	recordVersion = 1
	maxNames      = 8192 // of each kind in a record
	maxNameBytes  = 256  // bytes of one
	maxFileBytes  = 8 << 20
)

// Record is what staff decided, and what is needed to go on by it.
type Record struct {
	Version    int              `json:"version"`
	Boot       string           `json:"boot,omitempty"` // of the machine, in the file alone: whose monotonic clock the instants are of
	DownSince  map[string]int64 `json:"down"`           // backends out by hand, and since when: instants of this process
	RestoredAt map[string]int64 `json:"back"`           // those put back, and when
	Listed     []string         `json:"seen"`           // all that were ever listed, the latest last
}

// DecodeRecord reads a record. One that does not hold is not used at all.
func DecodeRecord(raw []byte) (Record, error) {
	var r Record
	if len(raw) > maxFileBytes {
		return Record{}, fmt.Errorf("the record has %d bytes, %d at most", len(raw), maxFileBytes)
	}
	if err := json.Unmarshal(raw, &r); err != nil {
		return Record{}, fmt.Errorf("the record cannot be read: %w", err)
	}
	if r.Version != recordVersion {
		return Record{}, fmt.Errorf("the record is of version %d, this program knows %d", r.Version, recordVersion)
	}
	for _, names := range [][]string{slices.Collect(maps.Keys(r.DownSince)), slices.Collect(maps.Keys(r.RestoredAt)), r.Listed} {
		if len(names) > maxNames {
			return Record{}, fmt.Errorf("the record has %d names of a kind, %d at most", len(names), maxNames)
		}
		if slices.ContainsFunc(names, func(n string) bool { return n == "" || len(n) > maxNameBytes }) {
			return Record{}, fmt.Errorf("the record has a name that is empty, or longer than %d bytes", maxNameBytes)
		}
	}
	return r.withDefaults(), nil
}

func (r Record) withDefaults() Record {
	if r.DownSince == nil {
		r.DownSince = map[string]int64{}
	}
	if r.RestoredAt == nil {
		r.RestoredAt = map[string]int64{}
	}
	r.Version = recordVersion
	return r
}

// Channel is one process's side. It may be used from anywhere.
type Channel struct {
	pathPrefix string // of the node's files
	liveFile   *os.File

	mu       sync.Mutex
	lastRead fs.FileInfo // of the record that was read last
}

// Open shows that this process lives, in a folder that the processes of the named node share.
func Open(dir, node string) (*Channel, error) { return open(dir, node, os.Getpid()) }

func open(dir, node string, pid int) (*Channel, error) {
	sum := sha256.Sum256([]byte(node))
	s := &Channel{pathPrefix: filepath.Join(dir, "standpoint-"+hex.EncodeToString(sum[:8]))}
	own, err := os.OpenFile(fmt.Sprintf("%s.%d.live", s.pathPrefix, pid), os.O_CREATE|os.O_RDWR|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(own.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", own.Name(), err), own.Close())
	}
	s.liveFile = own
	return s, nil
}

// SiblingCount is how many other processes of this node live. A process that died holds no lock; its file is taken away.
func (s *Channel) SiblingCount() int {
	files, err := filepath.Glob(s.pathPrefix + ".*.live")
	if err != nil {
		return 0
	}
	n := 0
	for _, name := range files {
		if name == s.liveFile.Name() {
			continue
		}
		f, err := os.OpenFile(name, os.O_RDWR|unix.O_CLOEXEC, 0)
		if err != nil {
			continue
		}
		if unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) == nil {
			_ = os.Remove(name + ".take")
			_ = os.Remove(name)
		} else {
			n++
		}
		_ = f.Close()
	}
	return n
}

// ReadRecord reads the record, and tells whether it is another than the one that was read last. Where there is none it is empty.
func (s *Channel) ReadRecord() (Record, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, err := os.Stat(s.recordPath())
	if errors.Is(err, fs.ErrNotExist) {
		return Record{}.withDefaults(), false, nil
	}
	if err != nil {
		return Record{}, false, err
	}
	if s.lastRead != nil && os.SameFile(s.lastRead, now) && s.lastRead.ModTime().Equal(now.ModTime()) && s.lastRead.Size() == now.Size() {
		return Record{}, false, nil
	}
	s.lastRead = now
	r, err := s.loadRecord()
	return r, err == nil, err
}

func (s *Channel) loadRecord() (Record, error) {
	raw, err := os.ReadFile(s.recordPath())
	if errors.Is(err, fs.ErrNotExist) {
		return Record{}.withDefaults(), nil
	}
	if err != nil {
		return Record{}, err
	}
	r, err := DecodeRecord(raw)
	if err != nil {
		return Record{}, err
	}
	return r.toLocal(clock.Now()), nil
}

// toShared is the record as other processes of the machine understand it: the wall clock may be stepped between two of them.
func (r Record) toShared() Record {
	r.Boot = clock.Boot()
	stamp := func(instant int64) int64 { return clock.StampOf(instant).Monotonic }
	r.DownSince, r.RestoredAt = convertInstants(r.DownSince, stamp), convertInstants(r.RestoredAt, stamp)
	return r
}

// toLocal is the record in this process's instants. What another run of the machine wrote, or a build that wrote wall times, counts as
// decided just now: a server that was put back is cold once more.
func (r Record) toLocal(now int64) Record {
	instant := func(monotonic int64) int64 {
		if at, ok := (clock.Stamp{Boot: r.Boot, Monotonic: monotonic}).Instant(); ok {
			return at
		}
		return now
	}
	r.DownSince, r.RestoredAt = convertInstants(r.DownSince, instant), convertInstants(r.RestoredAt, instant)
	r.Boot = ""
	return r
}

func convertInstants(of map[string]int64, by func(int64) int64) map[string]int64 {
	all := make(map[string]int64, len(of))
	for name, at := range of {
		all[name] = by(at)
	}
	return all
}

// UpdateRecord changes the record as it stands, and returns it. The lock keeps the other process from changing it meanwhile; a
// record that cannot be read is replaced, for nothing of it is in use.
func (s *Channel) UpdateRecord(change func(*Record)) (Record, error) {
	lock, err := os.OpenFile(s.pathPrefix+".lock", os.O_CREATE|os.O_RDWR|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return Record{}, err
	}
	defer func() { _ = lock.Close() }()
	if err := transient.IgnoringEINTR(func() error { return unix.Flock(int(lock.Fd()), unix.LOCK_EX) }); err != nil {
		return Record{}, err
	}
	r, err := s.loadRecord()
	if err != nil {
		r = Record{}.withDefaults()
	}
	change(&r)
	raw, err := json.Marshal(r.toShared())
	if err != nil {
		return Record{}, err
	}
	return r, s.writeFile(s.recordPath(), raw)
}

// writeFile has a file there whole, or as it was.
func (s *Channel) writeFile(path string, raw []byte) error {
	next := s.liveFile.Name() + ".next"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return errors.Join(err, os.Remove(next))
	}
	return os.Rename(next, path)
}

// WriteLearned leaves what this process has learned to the one that takes over.
func (s *Channel) WriteLearned(raw []byte) error {
	if len(raw) > maxFileBytes {
		return fmt.Errorf("what was learned has %d bytes, %d at most", len(raw), maxFileBytes)
	}
	return s.writeFile(s.pathPrefix+".learned.json", raw)
}

// ReadLearned is what another process has left, if that was after a moment.
func (s *Channel) ReadLearned(after time.Time) ([]byte, bool) {
	path := s.pathPrefix + ".learned.json"
	if info, err := os.Stat(path); err != nil || info.ModTime().Before(after) || info.Size() > maxFileBytes {
		return nil, false
	}
	raw, err := os.ReadFile(path)
	return raw, err == nil
}

func (s *Channel) recordPath() string { return s.pathPrefix + ".by-hand.json" }

// Close shows that this process is over.
func (s *Channel) Close() error {
	_ = os.Remove(s.liveFile.Name() + ".take") // there may be none
	err := os.Remove(s.liveFile.Name())
	if errors.Is(err, fs.ErrNotExist) {
		err = nil // taken away by hand
	}
	return errors.Join(err, s.liveFile.Close())
}
