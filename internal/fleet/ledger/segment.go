package ledger

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

const segmentSuffix = ".ledger"

// segmentFile is a segment's file that is open for writing.
type segmentFile interface {
	io.Writer
	io.Seeker
	Truncate(size int64) error
	Sync() error
	Close() error
}

func openFile(path string, flag int) (segmentFile, error) { return os.OpenFile(path, flag, 0o600) }

func segmentName(number int) string { return fmt.Sprintf("%08d%s", number, segmentSuffix) }

// listSegments returns the numbers of the segments in a directory, sorted.
func listSegments(dir string) ([]int, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var segments []int
	for _, file := range files {
		number, err := strconv.Atoi(strings.TrimSuffix(file.Name(), segmentSuffix))
		if err == nil && segmentName(number) == file.Name() {
			segments = append(segments, number)
		}
	}
	slices.Sort(segments)
	return segments, nil
}

// createSegment creates a segment's file with segmentMagic, and syncs both the file and its directory. It truncates a
// file left by an earlier attempt that failed.
func (l *SegmentedLog) createSegment(path string) (segmentFile, error) {
	file, err := l.openSegment(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return nil, err
	}
	if _, err = io.WriteString(file, segmentMagic); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = syncDirectory(filepath.Dir(path))
	}
	if err != nil {
		return nil, errors.Join(err, file.Close(), os.Remove(path))
	}
	return file, nil
}

// syncDirectory makes the creation of files in a directory durable.
func syncDirectory(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// readSegment reads a segment's file. If the file is the last segment and its magic is incomplete, the magic is written
// again.
func readSegment(path string, last bool) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if last && len(content) < len(segmentMagic) && strings.HasPrefix(segmentMagic, string(content)) {
		content = []byte(segmentMagic)
		return content, os.WriteFile(path, content, 0o600)
	}
	return content, nil
}

// visitFunc is called for an entry, with the offset and size of its record in the segment, in bytes.
type visitFunc func(e *Entry, offset, size int64)

// scanSegment calls visit for each entry of a segment, and returns the number of bytes that could be read. corruption
// is the reason why it stopped before the end of the segment, nil if it did not. last is set for the last segment, the
// only one in which an incomplete record is an unfinished write.
func scanSegment(content []byte, number int, last bool, visit visitFunc) (valid int64, corruption *CorruptionError) {
	corrupt := func(offset int64, reason string) *CorruptionError {
		return &CorruptionError{File: segmentName(number), Offset: offset, Reason: reason}
	}
	if len(content) < len(segmentMagic) || string(content[:len(segmentMagic)]) != segmentMagic {
		return 0, corrupt(0, "it is no segment of this form")
	}
	offset := int64(len(segmentMagic))
	for offset < int64(len(content)) {
		e, size, err := decodeRecord(content[offset:])
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF):
			corruption = corrupt(offset, "a record that is not whole")
			corruption.Torn = last
			return offset, corruption
		case err != nil:
			return offset, corrupt(offset, err.Error())
		}
		visit(e, offset, size)
		offset += size
	}
	return offset, nil
}
