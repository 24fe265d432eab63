package ledger

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

const (
	// MaxSegmentBytes is the maximum size of a segment, unless a single batch of entries exceeds it.
	MaxSegmentBytes = 4 << 20
	// maxRunEntries is the maximum number of entries in a run, all of which are read to find one.
	maxRunEntries = 256
)

// ErrFull is returned by a write that would exceed the maximum size of the ledger.
var ErrFull = errors.New("ledger is full")

// entryRun is the position of a run of entries: entries of one source with consecutive sequence numbers whose records
// are adjacent in one segment.
type entryRun struct {
	sequences Range
	segment   int   // number of the segment
	offset    int64 // offset of the first record in the segment, in bytes
	bytes     int64 // size of all records
}

// SegmentedLog stores a ledger's entries in segment files in a directory, which only one process may open at a time. It
// is not safe for concurrent use.
type SegmentedLog struct {
	// Dir is the directory. It must not be changed.
	Dir string
	// MaxBytes is the maximum size of all segments together.
	MaxBytes int64

	segments     []int       // numbers of the segments, sorted
	current      segmentFile // the last segment, to which records are appended
	currentBytes int64       // size of the last segment
	totalBytes   int64       // size of all segments
	// tailUncertain is set after a failed write, when the content of the file after the last acknowledged record is
	// unknown. The next write then goes to a new segment.
	tailUncertain bool
	runs          map[Source][]entryRun
	openSegment   func(path string, flag int) (segmentFile, error)
}

// Open reads all segments of a directory and calls visit for each entry. It creates the directory if it does not exist.
// For segments that cannot be read to their end it returns a CorruptionError each, and uses the entries before the
// corruption.
func Open(dir string, maxBytes int64, visit func(*Entry)) (*SegmentedLog, []*CorruptionError, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	log := &SegmentedLog{Dir: dir, MaxBytes: maxBytes, runs: map[Source][]entryRun{}, openSegment: openFile}
	var err error
	if log.segments, err = listSegments(dir); err != nil {
		return nil, nil, err
	}
	if len(log.segments) == 0 {
		return log, nil, log.startSegment()
	}
	corruptions, err := log.readSegments(visit)
	if err != nil {
		return nil, nil, err
	}
	last := log.lastSegment()
	if isCorrupt(last, corruptions) {
		// The rest of the corrupt segment is left unchanged so that it can be examined.
		return log, corruptions, log.startSegment()
	}
	if log.current, err = log.openSegment(log.segmentPath(last), os.O_WRONLY); err != nil {
		return nil, nil, err
	}
	return log, corruptions, log.truncateCurrent()
}

// isCorrupt reports whether a segment, which must be the last one read, could not be read to its end for a reason other
// than an unfinished write.
func isCorrupt(segment int, corruptions []*CorruptionError) bool {
	if len(corruptions) == 0 {
		return false
	}
	latest := corruptions[len(corruptions)-1]
	return !latest.Torn && latest.File == segmentName(segment)
}

// Inspect reads all segments of a directory without changing them. It calls visit for each entry that can be read.
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

// readSegments reads all segments in l.segments, and sets currentBytes and totalBytes.
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

// truncateCurrent truncates the last segment after its last complete record.
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

// startSegment starts a new segment. After an error the previous segment remains the last one, in an unchanged state.
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
		_ = l.current.Close() // all acknowledged records in it have been synced
	}
	l.current = file
	l.currentBytes = int64(len(segmentMagic))
	l.tailUncertain = false
	l.totalBytes += l.currentBytes
	l.segments = append(l.segments, number)
	return nil
}

// addToRuns adds the position of an entry to the runs of its source.
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

// Append writes entries, and returns once they are durable. After an error, any number of them may have been written;
// they can be appended again and are still counted once. The error wraps ErrFull if they would exceed MaxBytes.
func (l *SegmentedLog) Append(entries []*Entry) error {
	var records []byte
	var sizes []int64
	for _, entry := range entries {
		before := len(records)
		var err error
		if records, err = appendRecord(records, entry); err != nil {
			return err
		}
		sizes = append(sizes, int64(len(records)-before))
	}
	size := int64(len(records))
	if l.totalBytes+size > l.MaxBytes {
		return fmt.Errorf("%w: %d of %d bytes used", ErrFull, l.totalBytes, l.MaxBytes)
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

// write appends records to the last segment and syncs it.
func (l *SegmentedLog) write(records []byte) error {
	_, err := l.current.Write(records)
	if err == nil {
		err = l.current.Sync()
	}
	if err == nil {
		return nil
	}
	// The file is truncated after its last complete record, because a partial record would be reported as corruption
	// once other records follow. Repeating a failed sync can succeed although data is missing, so the next write goes
	// to another file.
	l.tailUncertain = true
	_, seekErr := l.current.Seek(l.currentBytes, io.SeekStart)
	return errors.Join(err, l.current.Truncate(l.currentBytes), seekErr)
}

// Read returns the entries of a source in this log whose sequence numbers are in a range, up to maxEntries. The error
// is a *CorruptionError if a record can no longer be read.
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

// readRun reads the entries of a run.
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

// Close closes the segment that is open for writing.
func (l *SegmentedLog) Close() error {
	if l.current == nil {
		return nil
	}
	return l.current.Close()
}
