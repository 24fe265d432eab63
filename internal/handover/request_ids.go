package handover

import (
	"encoding/binary"
	"errors"
	"io"
	"os"
	"path/filepath"
	"sync"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// idsSuffix is appended to the name of the live file in the name of the file with the IDs of requests.
	idsSuffix = ".ids"
	// idBytes is the size of an ID in that file, in bytes.
	idBytes = 8
	// maxIDsFileBytes is the size of that file from which it is begun anew.
	maxIDsFileBytes = 2 << 20
)

// RequestIDs passes the IDs of requests, as hashes, between the processes of a node while there are several. Each appends
// its own to a file, and reads on in those of its siblings. It is safe for concurrent use.
type RequestIDs struct {
	channel *Channel
	log     *zap.Logger

	mu       sync.Mutex             // guards the fields below
	own      *os.File               // nil while there is no sibling
	written  int                    // bytes in own
	siblings map[string]*siblingIDs // by the name of the file
}

// siblingIDs is the file of a sibling. It stays open, so that it can be read to its end after the sibling has ended.
type siblingIDs struct {
	file   *os.File
	offset int64 // bytes that were read
}

// NewRequestIDs creates RequestIDs that pass nothing before SetSiblings is called.
func NewRequestIDs(channel *Channel, log *zap.Logger) *RequestIDs {
	return &RequestIDs{channel: channel, log: log, siblings: map[string]*siblingIDs{}}
}

// SetSiblings applies the number of other processes. While there are any, the IDs of requests are published, beginning
// with those that are known.
func (r *RequestIDs) SetSiblings(count int, known []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openSiblings()
	switch {
	case count == 0:
		r.closeOwn()
	case r.own == nil:
		r.begin(known)
	default:
		r.write(known) // again, since some may not have been published
	}
}

// FindSiblings looks for the files of siblings that have appeared.
func (r *RequestIDs) FindSiblings() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openSiblings()
}

// begin creates this process's file, with the IDs that are known. The caller must hold the lock.
func (r *RequestIDs) begin(ids []uint64) {
	file, err := os.OpenFile(r.path(), os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_TRUNC|unix.O_CLOEXEC, fileMode)
	if err != nil {
		r.log.Warn("request IDs not published", zap.Error(err))
		return
	}
	r.own = file
	r.written = 0
	r.write(ids)
}

func (r *RequestIDs) path() string { return r.channel.liveFile.Name() + idsSuffix }

// write appends IDs to this process's file. The caller must hold the lock.
func (r *RequestIDs) write(ids []uint64) {
	raw := make([]byte, 0, idBytes*len(ids))
	for _, id := range ids {
		raw = binary.LittleEndian.AppendUint64(raw, id)
	}
	if _, err := r.own.Write(raw); err != nil {
		r.log.Warn("request IDs not published", zap.Error(err))
	}
	r.written += len(raw)
}

// Publish tells the siblings of a request that this process has accepted.
func (r *RequestIDs) Publish(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own == nil {
		return
	}
	if r.written >= maxIDsFileBytes {
		_ = r.own.Truncate(0) // an error leaves the file as it is; siblings have read it for every request of theirs
		r.written = 0
	}
	r.write([]uint64{id})
}

// Collect returns the IDs that siblings have published since the last call.
func (r *RequestIDs) Collect() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []uint64
	for _, sibling := range r.siblings {
		ids = append(ids, sibling.read()...)
	}
	return ids
}

// read returns the IDs behind those that were read.
func (s *siblingIDs) read() []uint64 {
	info, err := s.file.Stat()
	if err != nil || info.Size() == s.offset {
		return nil
	}
	if info.Size() < s.offset { // begun anew
		s.offset = 0
	}
	raw, err := io.ReadAll(io.NewSectionReader(s.file, s.offset, min(info.Size()-s.offset, maxIDsFileBytes)))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil
	}
	var ids []uint64
	for ; len(raw) >= idBytes; raw = raw[idBytes:] {
		ids = append(ids, binary.LittleEndian.Uint64(raw))
		s.offset += idBytes
	}
	return ids
}

// isRead reports whether the file has been read to its end.
func (s *siblingIDs) isRead() bool {
	info, err := s.file.Stat()
	return err != nil || info.Size() == s.offset
}

// openSiblings opens the files of siblings that have appeared. The caller must hold the lock.
func (r *RequestIDs) openSiblings() {
	names, err := filepath.Glob(r.channel.pathPrefix + ".*" + liveSuffix + idsSuffix)
	if err != nil { // malformed pattern
		return
	}
	for _, name := range names {
		if name == r.path() || r.siblings[name] != nil {
			continue
		}
		if file, err := os.Open(name); err == nil { // a sibling that has ended in the meantime has removed it
			r.siblings[name] = &siblingIDs{file: file}
		}
	}
}

// closeOwn ends the publication. What siblings have published stays known by its readers. The caller must hold the lock.
func (r *RequestIDs) closeOwn() {
	if r.own != nil {
		_ = os.Remove(r.path()) // may have been removed
		_ = r.own.Close()       // nothing is buffered
		r.own = nil
	}
	for name, sibling := range r.siblings {
		if _, err := os.Stat(name); err != nil && sibling.isRead() {
			_ = sibling.file.Close() // opened for reading
			delete(r.siblings, name)
		}
	}
}
