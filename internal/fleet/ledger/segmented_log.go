package ledger

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

const (
	// MaxSegmentBytes is how large a segment grows before the next is begun.
	MaxSegmentBytes = 4 << 20
	// maxRunEntries is how many entries a run has at the most: so many are read to find one.
	maxRunEntries = 256
)

// ErrFull is the error of a write for which a ledger has no room.
var ErrFull = errors.New("the ledger is full")

// entryRun is where entries of one source lie that have consecutive numbers, one behind the other in one segment.
type entryRun struct {
	sequences Range
	segment   int
	offset    int64 // in bytes
	bytes     int64
}

// SegmentedLog keeps a ledger's entries in segments in a directory, which only one process may open at a time. It is
// not safe for concurrent use.
type SegmentedLog struct {
	// Dir is the directory. It must not be changed.
	Dir string
	// MaxBytes bounds the size of all segments together.
	MaxBytes int64

	segments     []int       // their numbers, sorted
	current      segmentFile // the last segment, which is written
	currentBytes int64       // of the last segment
	totalBytes   int64       // of all segments
	// tailUncertain is set where it is not known what lies behind the last acknowledged record: the next goes to a new
	// segment.
	tailUncertain bool
	runs          map[Source][]entryRun
	openSegment   func(path string, flag int) (segmentFile, error)
}

// Open reads all segments of a directory, which is created where it does not exist, and calls visit for each entry.
// Segments that cannot be read to their end are reported beside: what could be read of them is used.
func Open(dir string, maxBytes int64, visit func(*Entry)) (*SegmentedLog, []*CorruptionError, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	l := &SegmentedLog{Dir: dir, MaxBytes: maxBytes, runs: map[Source][]entryRun{}, openSegment: openFile}
	var err error
	if l.segments, err = listSegments(dir); err != nil {
		return nil, nil, err
	}
	if len(l.segments) == 0 {
		return l, nil, l.startSegment()
	}
	corruptions, err := l.readSegments(visit)
	if err != nil {
		return nil, nil, err
	}
	last := l.lastSegment()
	if isCorrupt(last, corruptions) {
		// What lies behind the corruption stays as it is, for whoever examines it.
		return l, corruptions, l.startSegment()
	}
	if l.current, err = l.openSegment(l.segmentPath(last), os.O_WRONLY); err != nil {
		return nil, nil, err
	}
	return l, corruptions, l.truncateCurrent()
}

// isCorrupt reports whether a segment, the last one read, could not be read to its end for another reason than a
// write that was not finished.
func isCorrupt(segment int, corruptions []*CorruptionError) bool {
	if len(corruptions) == 0 {
		return false
	}
	latest := corruptions[len(corruptions)-1]
	return !latest.Torn && latest.File == segmentName(segment)
}

// Inspect reads all segments of a directory and changes nothing. It calls visit for each entry that could be read.
func Inspect(dir string, visit func(*Entry)) ([]*CorruptionError, error) {
	segments, err := listSegments(dir)
	if err != nil {
		return nil, err
	}
	var corruptions []*CorruptionError
	for i, number := range segments {
		content, err := os.ReadFile(filepath.Join(dir, segmentName(number)))
		if err != nil {
			return nil, err
		}
		last := i == len(segments)-1
		_, corruption := scanSegment(content, number, last, func(e *Entry, _, _ int64) { visit(e) })
		if corruption != nil {
			corruptions = append(corruptions, corruption)
		}
	}
	return corruptions, nil
}

// readSegments reads the segments that are listed, and sets the log's sizes.
func (l *SegmentedLog) readSegments(visit func(*Entry)) ([]*CorruptionError, error) {
	var corruptions []*CorruptionError
	for i, number := range l.segments {
		last := i == len(l.segments)-1
		content, err := readSegment(l.segmentPath(number), last)
		if err != nil {
			return nil, err
		}
		valid, corruption := scanSegment(content, number, last, func(e *Entry, offset, size int64) {
			l.addToRuns(e, number, offset, size)
			visit(e)
		})
		if corruption != nil {
			corruptions = append(corruptions, corruption)
		}
		l.totalBytes += valid
		l.currentBytes = valid
	}
	return corruptions, nil
}

// truncateCurrent cuts off what lies behind the last record of the last segment.
func (l *SegmentedLog) truncateCurrent() error {
	err := l.current.Truncate(l.currentBytes)
	if err == nil {
		_, err = l.current.Seek(l.currentBytes, io.SeekStart)
	}
	return errors.Join(err, l.current.Sync())
}

func (l *SegmentedLog) segmentPath(number int) string {
	return filepath.Join(l.Dir, segmentName(number))
}

func (l *SegmentedLog) lastSegment() int { return l.segments[len(l.segments)-1] }

// startSegment begins a segment. After an error the one before stays the last, and is written no more than before.
func (l *SegmentedLog) startSegment() error {
	number := 1
	if len(l.segments) > 0 {
		number = l.lastSegment() + 1
	}
	file, err := l.createSegment(l.segmentPath(number))
	if err != nil {
		return err
	}
	if l.current != nil {
		_ = l.current.Close() // all that was acknowledged of it is on the disk
	}
	l.current = file
	l.currentBytes = int64(len(segmentMagic))
	l.tailUncertain = false
	l.totalBytes += l.currentBytes
	l.segments = append(l.segments, number)
	return nil
}

// addToRuns remembers where an entry lies.
func (l *SegmentedLog) addToRuns(e *Entry, segment int, offset, size int64) {
	source := e.Source()
	runs := l.runs[source]
	if len(runs) > 0 {
		last := &runs[len(runs)-1]
		adjacent := last.segment == segment && last.offset+last.bytes == offset && last.sequences.Last+1 == e.Sequence
		if adjacent && last.sequences.Len() < maxRunEntries {
			last.sequences.Last = e.Sequence
			last.bytes += size
			return
		}
	}
	l.runs[source] = append(runs, entryRun{
		sequences: Range{First: e.Sequence, Last: e.Sequence},
		segment:   segment,
		offset:    offset,
		bytes:     size,
	})
}

// Append writes entries, and returns once they are on the disk. After an error none of them is written, or some: they
// may be appended again, and count once. The error wraps ErrFull where they would exceed MaxBytes.
func (l *SegmentedLog) Append(entries []*Entry) error {
	var records []byte
	var sizes []int64
	for _, e := range entries {
		before := len(records)
		var err error
		if records, err = appendRecord(records, e); err != nil {
			return err
		}
		sizes = append(sizes, int64(len(records)-before))
	}
	size := int64(len(records))
	if l.totalBytes+size > l.MaxBytes {
		return fmt.Errorf("%w: %d bytes of %d", ErrFull, l.totalBytes, l.MaxBytes)
	}
	full := l.currentBytes+size > MaxSegmentBytes && l.currentBytes > int64(len(segmentMagic))
	if l.tailUncertain || full {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	if err := l.write(records); err != nil {
		return err
	}
	offset := l.currentBytes
	l.currentBytes += size
	l.totalBytes += size
	for i, e := range entries {
		l.addToRuns(e, l.lastSegment(), offset, sizes[i])
		offset += sizes[i]
	}
	return nil
}

// write appends records to the last segment and has them on the disk.
func (l *SegmentedLog) write(records []byte) error {
	_, err := l.current.Write(records)
	if err == nil {
		err = l.current.Sync()
	}
	if err == nil {
		return nil
	}
	// What may lie behind the last complete record is cut off, or it would be taken for corruption. A sync that failed
	// proves nothing when it is repeated, so that what is written next goes to another file.
	l.tailUncertain = true
	_, seekErr := l.current.Seek(l.currentBytes, io.SeekStart)
	return errors.Join(err, l.current.Truncate(l.currentBytes), seekErr)
}

// Read returns entries of a source whose numbers are in a range and are written here, up to maxEntries. A record that
// cannot be read any more is a *CorruptionError.
func (l *SegmentedLog) Read(source Source, sequences Range, maxEntries int) ([]*Entry, error) {
	var entries []*Entry
	for _, run := range l.runs[source] {
		if len(entries) >= maxEntries {
			break
		}
		if !run.sequences.overlaps(sequences) {
			continue
		}
		found, err := l.readRun(run)
		if err != nil {
			return nil, err
		}
		for _, e := range found {
			if sequences.Contains(e.Sequence) && len(entries) < maxEntries {
				entries = append(entries, e)
			}
		}
	}
	return entries, nil
}

// readRun reads a run's entries.
func (l *SegmentedLog) readRun(run entryRun) ([]*Entry, error) {
	file, err := os.Open(l.segmentPath(run.segment))
	if err != nil {
		return nil, err
	}
	records := make([]byte, run.bytes)
	_, err = file.ReadAt(records, run.offset)
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, err
	}
	var entries []*Entry
	for len(records) > 0 {
		e, size, err := decodeRecord(records)
		if err != nil {
			return nil, &CorruptionError{File: segmentName(run.segment), Offset: run.offset, Reason: err.Error()}
		}
		records = records[size:]
		entries = append(entries, e)
	}
	return entries, nil
}

// Bytes returns the size of all segments together.
func (l *SegmentedLog) Bytes() int64 { return l.totalBytes }

// Close ends the writing.
func (l *SegmentedLog) Close() error {
	if l.current == nil {
		return nil
	}
	return l.current.Close()
}
