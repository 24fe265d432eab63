package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// A segment is a head and records, each the length of its payload, a checksum of both and the payload: one entry in CBOR. A
// record that is not whole at the end of the last segment was being written when its process ended: it was charged to nobody,
// and is cut off. Anything else that does not hold is named, and nothing behind it in that segment is used.
const (
	magic             = "standpoint ledger 1\n"
	recordHeaderBytes = 8
	maxRecordBytes    = 4 << 10
	// MaxSegmentBytes is how large a segment grows.
	MaxSegmentBytes = 4 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError is a segment that does not hold.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
	Torn   bool // the end of the last segment: a write that was not finished
}

// Error implements error.
func (d *CorruptionError) Error() string {
	return fmt.Sprintf("%s, byte %d: %s", d.File, d.Offset, d.Reason)
}

// entryRun is where entries of one source stand that follow each other.
type entryRun struct {
	source    Source
	sequences Range
	segment   int
	offset    int64
	bytes     int64
}

// maxRunEntries is how many entries a place has at the most: so many are read to find one.
const maxRunEntries = 256

// SegmentedLog are a ledger's segments in a folder. One process has them at a time.
type SegmentedLog struct {
	Dir           string
	MaxBytes      int64       // bytes, of all segments together
	segments      []int       // their numbers
	current       segmentFile // of the last segment
	tailUncertain bool        // what stands behind the last record that was acknowledged is not known, and the next goes to a new segment
	openSegment   func(path string, flag int) (segmentFile, error)
	currentBytes  int64 // of the last one
	totalBytes    int64 // of all together
	runs          map[Source][]entryRun
}

// segmentFile is a file that is written.
type segmentFile interface {
	io.Writer
	io.Seeker
	Truncate(size int64) error
	Sync() error
	Close() error
}

func openFile(path string, flag int) (segmentFile, error) { return os.OpenFile(path, flag, 0o600) }

// ErrFull is returned where a ledger has no room for a further entry.
var ErrFull = errors.New("the ledger is full")

func segmentName(n int) string { return fmt.Sprintf("%08d.ledger", n) }

// Open reads all segments, and hands each entry that holds to take. Damages are returned beside: what holds is used.
func Open(dir string, most int64, take func(*Entry)) (*SegmentedLog, []*CorruptionError, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	f := &SegmentedLog{Dir: dir, MaxBytes: most, runs: map[Source][]entryRun{}, openSegment: openFile}
	if err := f.listSegments(); err != nil {
		return nil, nil, err
	}
	var damages []*CorruptionError
	for i, n := range f.segments {
		last := i == len(f.segments)-1
		whole, damage, err := f.readSegment(n, last, take)
		if err != nil {
			return nil, nil, err
		}
		if damage != nil {
			damages = append(damages, damage)
		}
		f.totalBytes += whole
		f.currentBytes = whole
	}
	if len(f.segments) == 0 {
		return f, nil, f.startSegment()
	}
	var err error
	last := f.segments[len(f.segments)-1]
	if d := len(damages); d > 0 && !damages[d-1].Torn && damages[d-1].File == segmentName(last) {
		return f, damages, f.startSegment() // what stands behind the damage stays as it is, for whoever looks into it
	}
	if f.current, err = f.openSegment(f.segmentPath(last), os.O_WRONLY); err != nil {
		return nil, nil, err
	}
	if err = f.current.Truncate(f.currentBytes); err == nil {
		_, err = f.current.Seek(f.currentBytes, io.SeekStart)
	}
	return f, damages, errors.Join(err, f.current.Sync())
}

// Inspect reads all segments of a folder, and changes nothing.
func Inspect(dir string, take func(*Entry)) ([]*CorruptionError, error) {
	f := &SegmentedLog{Dir: dir, runs: map[Source][]entryRun{}}
	if err := f.listSegments(); err != nil {
		return nil, err
	}
	var damages []*CorruptionError
	for i, n := range f.segments {
		raw, err := os.ReadFile(f.segmentPath(n))
		if err != nil {
			return nil, err
		}
		if _, damage := f.scanSegment(raw, n, i == len(f.segments)-1, take); damage != nil {
			damages = append(damages, damage)
		}
	}
	return damages, nil
}

func (f *SegmentedLog) segmentPath(n int) string { return filepath.Join(f.Dir, segmentName(n)) }

// startSegment begins a segment. Where that fails the one before stays the last, and its file is not written any more.
func (f *SegmentedLog) startSegment() error {
	n := 1
	if len(f.segments) > 0 {
		n = f.segments[len(f.segments)-1] + 1
	}
	out, err := f.createSegment(f.segmentPath(n))
	if err != nil {
		return err
	}
	if f.current != nil {
		_ = f.current.Close() // all that was acknowledged of it is on the disk
	}
	f.current, f.currentBytes, f.tailUncertain = out, int64(len(magic)), false
	f.totalBytes += f.currentBytes
	f.segments = append(f.segments, n)
	return nil
}

// createSegment makes a segment's file, with its head, last. A file that an earlier try has left half done is made anew.
func (f *SegmentedLog) createSegment(path string) (segmentFile, error) {
	out, err := f.openSegment(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return nil, err
	}
	if _, err = io.WriteString(out, magic); err == nil {
		err = out.Sync()
	}
	if err == nil {
		err = syncDirectory(f.Dir)
	}
	if err != nil {
		return nil, errors.Join(err, out.Close(), os.Remove(path))
	}
	return out, nil
}

// syncDirectory has the names in a folder last.
func syncDirectory(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// listSegments finds the segments.
func (f *SegmentedLog) listSegments() error {
	listed, err := os.ReadDir(f.Dir)
	if err != nil {
		return err
	}
	for _, e := range listed {
		if n, err := strconv.Atoi(strings.TrimSuffix(e.Name(), ".ledger")); err == nil && segmentName(n) == e.Name() {
			f.segments = append(f.segments, n)
		}
	}
	slices.Sort(f.segments)
	return nil
}

// readSegment reads a segment; whole is how many of its bytes hold. The head of the last one may not be finished: it is written anew.
func (f *SegmentedLog) readSegment(n int, last bool, take func(*Entry)) (whole int64, damage *CorruptionError, err error) {
	raw, err := os.ReadFile(f.segmentPath(n))
	if err == nil && last && len(raw) < len(magic) && strings.HasPrefix(magic, string(raw)) {
		raw = []byte(magic)
		err = os.WriteFile(f.segmentPath(n), raw, 0o600)
	}
	if err != nil {
		return 0, nil, err
	}
	whole, damage = f.scanSegment(raw, n, last, take)
	return whole, damage, nil
}

// scanSegment goes through a segment's bytes.
func (f *SegmentedLog) scanSegment(raw []byte, n int, last bool, take func(*Entry)) (whole int64, damage *CorruptionError) {
	bad := func(at int64, torn bool, reason string) (int64, *CorruptionError) {
		return at, &CorruptionError{File: segmentName(n), Offset: at, Reason: reason, Torn: torn && last}
	}
	if len(raw) < len(magic) || string(raw[:len(magic)]) != magic {
		return bad(0, false, "it is no segment of this form")
	}
	at := int64(len(magic))
	for at < int64(len(raw)) {
		e, size, err := decodeRecord(raw[at:])
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF):
			return bad(at, true, "a record that is not whole")
		case err != nil:
			return bad(at, false, err.Error())
		}
		f.addToRuns(e, n, at, size)
		take(e)
		at += size
	}
	return at, nil
}

func decodeRecord(raw []byte) (*Entry, int64, error) {
	if len(raw) < recordHeaderBytes {
		return nil, 0, io.ErrUnexpectedEOF
	}
	size := int64(binary.BigEndian.Uint32(raw))
	if size == 0 || size > maxRecordBytes {
		return nil, 0, fmt.Errorf("a record of %d bytes", size)
	}
	if int64(len(raw)) < recordHeaderBytes+size {
		return nil, 0, io.ErrUnexpectedEOF
	}
	payload := raw[recordHeaderBytes : recordHeaderBytes+size]
	if checksum(raw[:4], payload) != binary.BigEndian.Uint32(raw[4:]) {
		return nil, 0, errors.New("a checksum that does not hold")
	}
	var e Entry
	if err := cbor.Unmarshal(payload, &e); err != nil {
		return nil, 0, err
	}
	return &e, recordHeaderBytes + size, e.Check()
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// addToRuns remembers where an entry stands.
func (f *SegmentedLog) addToRuns(e *Entry, segment int, offset, size int64) {
	of := Source{e.Slot, e.Incarnation}
	all := f.runs[of]
	if n := len(all); n > 0 {
		l := &all[n-1]
		if l.segment == segment && l.offset+l.bytes == offset && l.sequences.Last+1 == e.Sequence && l.sequences.Last-l.sequences.First+1 < maxRunEntries {
			l.sequences.Last, l.bytes = e.Sequence, l.bytes+size
			return
		}
	}
	f.runs[of] = append(all, entryRun{of, Range{e.Sequence, e.Sequence}, segment, offset, size})
}

// Append writes entries, and returns once they are on the disk. An error leaves none of them written, or some that their next
// writing makes whole: they count once.
func (f *SegmentedLog) Append(all []*Entry) error {
	var b []byte
	var sizes []int64
	for _, e := range all {
		payload, err := cbor.Marshal(e)
		if err != nil {
			return err
		}
		if len(payload) > maxRecordBytes {
			return fmt.Errorf("an entry of %d bytes", len(payload))
		}
		head := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
		head = binary.BigEndian.AppendUint32(head, checksum(head, payload))
		b = append(append(b, head...), payload...)
		sizes = append(sizes, int64(recordHeaderBytes+len(payload)))
	}
	if f.totalBytes+int64(len(b)) > f.MaxBytes {
		return fmt.Errorf("%w: %d bytes of %d", ErrFull, f.totalBytes, f.MaxBytes)
	}
	if f.tailUncertain || f.currentBytes+int64(len(b)) > MaxSegmentBytes && f.currentBytes > int64(len(magic)) {
		if err := f.startSegment(); err != nil {
			return err
		}
	}
	at := f.currentBytes
	_, err := f.current.Write(b)
	if err == nil {
		err = f.current.Sync()
	}
	if err != nil {
		// What may stand behind the last whole record is cut off, or it would be taken for damage. A sync that failed says nothing when
		// it is repeated, so that what is written next goes to another file.
		f.tailUncertain = true
		_, seek := f.current.Seek(at, io.SeekStart)
		return errors.Join(err, f.current.Truncate(at), seek)
	}
	f.currentBytes, f.totalBytes = f.currentBytes+int64(len(b)), f.totalBytes+int64(len(b))
	for i, e := range all {
		f.addToRuns(e, f.segments[len(f.segments)-1], at, sizes[i])
		at += sizes[i]
	}
	return nil
}

// Read reads entries of a source, of those numbers that stand here, up to so many.
func (f *SegmentedLog) Read(of Source, numbers Range, most int) ([]*Entry, error) {
	var all []*Entry
	for _, p := range f.runs[of] {
		if p.sequences.Last < numbers.First || p.sequences.First > numbers.Last || len(all) >= most {
			continue
		}
		in, err := os.Open(f.segmentPath(p.segment))
		if err != nil {
			return nil, err
		}
		raw := make([]byte, p.bytes)
		_, err = in.ReadAt(raw, p.offset)
		if err = errors.Join(err, in.Close()); err != nil {
			return nil, err
		}
		for len(raw) > 0 {
			e, size, err := decodeRecord(raw)
			if err != nil {
				return nil, &CorruptionError{File: segmentName(p.segment), Offset: p.offset, Reason: err.Error()}
			}
			if raw = raw[size:]; e.Sequence >= numbers.First && e.Sequence <= numbers.Last && len(all) < most {
				all = append(all, e)
			}
		}
	}
	return all, nil
}

// Bytes is how much all segments take.
func (f *SegmentedLog) Bytes() int64 { return f.totalBytes }

// Close ends the writing.
func (f *SegmentedLog) Close() error {
	if f.current == nil {
		return nil
	}
	return f.current.Close()
}
