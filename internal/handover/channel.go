package handover

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sys/unix"
)

// Names of the files, after the prefix that the processes of a node share.
const (
	liveSuffix     = ".live" // after the process's number; locked by the process while it lives
	socketSuffix   = ".take" // after the name of the live file
	nextSuffix     = ".next" // after the name of the live file: a file that is being written
	lockSuffix     = ".lock" // locked while the record is changed
	recordSuffix   = ".by-hand.json"
	learnedSuffix  = ".learned.json"
	prefixHashSize = 8 // bytes of the hash of the node's name
)

const fileMode = 0o600

// Channel is one process's end. Its methods may be called concurrently.
type Channel struct {
	pathPrefix string   // of the node's files
	liveFile   *os.File // locked until Close

	mu       sync.Mutex  // guards lastRead
	lastRead fs.FileInfo // of the record that was read last; nil before
}

// Open shows that this process lives, in a directory that the processes of the named node share. Close ends that.
func Open(dir, node string) (*Channel, error) { return open(dir, node, os.Getpid()) }

func open(dir, node string, pid int) (*Channel, error) {
	sum := sha256.Sum256([]byte(node))
	prefix := filepath.Join(dir, "standpoint-"+hex.EncodeToString(sum[:prefixHashSize]))
	name := fmt.Sprintf("%s.%d%s", prefix, pid, liveSuffix)
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR|unix.O_CLOEXEC, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", name, err), file.Close())
	}
	return &Channel{pathPrefix: prefix, liveFile: file}, nil
}

// SiblingCount is how many other processes of this node live. The files of a process that died are removed: nobody
// holds their lock.
func (c *Channel) SiblingCount() int {
	names, err := filepath.Glob(c.pathPrefix + ".*" + liveSuffix)
	if err != nil { // a malformed pattern, which the prefix cannot make
		return 0
	}
	count := 0
	for _, name := range names {
		if name != c.liveFile.Name() && isLive(name) {
			count++
		}
	}
	return count
}

// isLive tells whether a process holds the lock of a live file. Else the file is removed.
func isLive(name string) bool {
	file, err := os.OpenFile(name, os.O_RDWR|unix.O_CLOEXEC, 0)
	if err != nil {
		return false // it has been removed meanwhile
	}
	defer func() { _ = file.Close() }()
	if unix.Flock(int(file.Fd()), unix.LOCK_SH|unix.LOCK_NB) != nil {
		return true
	}
	_ = os.Remove(name + socketSuffix) // there may be none
	_ = os.Remove(name)                // or a sibling has removed it
	return false
}

// Close removes this process's files.
func (c *Channel) Close() error {
	_ = os.Remove(c.liveFile.Name() + socketSuffix) // there may be none
	err := os.Remove(c.liveFile.Name())
	if errors.Is(err, fs.ErrNotExist) {
		err = nil // somebody has removed it by hand
	}
	return errors.Join(err, c.liveFile.Close())
}
