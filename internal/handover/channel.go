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

// Parts of file names, which all begin with a prefix that the processes of a node share.
const (
	// liveSuffix ends the name of a process's live file, after the process ID. The process locks that file while it
	// runs, and writes into it how it passes streams.
	liveSuffix = ".live"
	// socketSuffix is appended to the name of the live file in the name of the socket that receives streams.
	socketSuffix = ".take"
	// unreadySuffix is appended to the name of that socket until it listens.
	unreadySuffix = ".unready"
	// tempSuffix is appended to the name of the live file in the name of a file that is being written.
	tempSuffix = ".next"
	// lockSuffix ends the name of the file that is locked while the record is changed.
	lockSuffix = ".lock"
	// recordSuffix ends the name of the file with the record.
	recordSuffix = ".by-hand.json"
	// learnedSuffix ends the name of the file with the learned state.
	learnedSuffix = ".learned.json"
	// prefixHashSize is the number of bytes of the hash of the node's name in the prefix.
	prefixHashSize = 8
)

// fileMode is the mode of the files: only the node's user may read and write them.
const fileMode = 0o600

// Channel is the end of one process in the communication with its siblings, the other processes of its node. Its
// methods are safe for concurrent use.
type Channel struct {
	pathPrefix string   // path of the node's files, up to the suffix
	liveFile   *os.File // locked until Close

	mu       sync.Mutex  // guards lastRead
	lastRead fs.FileInfo // info of the record's file when it was last read; nil before
}

// Open creates and locks this process's live file, in a directory that the processes of the named node share. Close
// removes it.
func Open(dir, node string) (*Channel, error) { return open(dir, node, os.Getpid()) }

// open is like Open, for a process with the given ID.
func open(dir, node string, pid int) (*Channel, error) {
	sum := sha256.Sum256([]byte(node))
	prefix := filepath.Join(dir, "standpoint-"+hex.EncodeToString(sum[:prefixHashSize]))
	name := fmt.Sprintf("%s.%d%s", prefix, pid, liveSuffix)
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR|unix.O_CLOEXEC, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("lock %s: %w", name, err), file.Close())
	}
	if err := writeVersion(file); err != nil {
		return nil, errors.Join(fmt.Errorf("write %s: %w", name, err), file.Close())
	}
	return &Channel{pathPrefix: prefix, liveFile: file}, nil
}

// SiblingCount returns the number of other running processes of this node. It removes the files of processes that have
// died, whose live files are no longer locked.
func (c *Channel) SiblingCount() int {
	names, err := filepath.Glob(c.pathPrefix + ".*" + liveSuffix)
	if err != nil { // malformed pattern
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

// isLive reports whether a process holds the lock of a live file. If not, it removes the file.
func isLive(name string) bool {
	file, err := os.OpenFile(name, os.O_RDWR|unix.O_CLOEXEC, 0)
	if err != nil {
		return false // the file was removed in the meantime
	}
	defer func() { _ = file.Close() }()
	if unix.Flock(int(file.Fd()), unix.LOCK_SH|unix.LOCK_NB) != nil {
		return true
	}
	_ = os.Remove(name + idsSuffix)                    // may not exist
	_ = os.Remove(name + socketSuffix)                 // may not exist
	_ = os.Remove(name + socketSuffix + unreadySuffix) // may not exist
	_ = os.Remove(name)                                // may have been removed by a sibling
	return false
}

// Close removes this process's files.
func (c *Channel) Close() error {
	_ = os.Remove(c.liveFile.Name() + idsSuffix)    // may not exist
	_ = os.Remove(c.liveFile.Name() + socketSuffix) // may not exist
	err := os.Remove(c.liveFile.Name())
	if errors.Is(err, fs.ErrNotExist) {
		err = nil // removed by someone else
	}
	return errors.Join(err, c.liveFile.Close())
}
