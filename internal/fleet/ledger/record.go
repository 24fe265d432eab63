package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// A segment is a file that consists of segmentMagic and a sequence of records. A record consists of the length of its
// payload, a checksum of that length and the payload, both as big-endian 32-bit numbers, and the payload, which is one
// entry in CBOR.
//
// An incomplete record at the end of the last segment was being written when the process ended. It was never
// acknowledged, so it is truncated. Any other record that cannot be read is reported as corruption, and the records
// after it in the same segment are not used.
const (
	segmentMagic      = "standpoint ledger 1\n"
	lengthBytes       = 4
	recordHeaderBytes = 8       // length and checksum
	maxRecordBytes    = 4 << 10 // maximum size of a payload
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError reports a position in a segment from which on it cannot be read.
type CorruptionError struct {
	File   string // name of the segment's file in the directory
	Offset int64  // position in the file, in bytes
	Reason string
	// Torn is set for an unfinished write at the end of the last segment. No acknowledged entry is missing then.
	Torn bool
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s, byte %d: %s", e.File, e.Offset, e.Reason)
}

// appendRecord appends the record of an entry to b.
func appendRecord(b []byte, e *Entry) ([]byte, error) {
	payload, err := cbor.Marshal(e)
	if err != nil {
		return b, err
	}
	if len(payload) > maxRecordBytes {
		return b, fmt.Errorf("encoded entry too large: %d bytes", len(payload))
	}
	length := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	b = append(b, length...)
	b = binary.BigEndian.AppendUint32(b, checksum(length, payload))
	return append(b, payload...), nil
}

// decodeRecord decodes the record at the start of b, and returns its entry and its size in bytes. The error is
// io.ErrUnexpectedEOF if b ends within the record.
func decodeRecord(b []byte) (e *Entry, size int64, err error) {
	if len(b) < recordHeaderBytes {
		return nil, 0, io.ErrUnexpectedEOF
	}
	length := int64(binary.BigEndian.Uint32(b))
	if length == 0 || length > maxRecordBytes {
		return nil, 0, fmt.Errorf("a record of %d bytes", length)
	}
	if int64(len(b)) < recordHeaderBytes+length {
		return nil, 0, io.ErrUnexpectedEOF
	}
	payload := b[recordHeaderBytes : recordHeaderBytes+length]
	if checksum(b[:lengthBytes], payload) != binary.BigEndian.Uint32(b[lengthBytes:]) {
		return nil, 0, errors.New("a checksum that does not hold")
	}
	e = &Entry{}
	if err := cbor.Unmarshal(payload, e); err != nil {
		return nil, 0, err
	}
	return e, recordHeaderBytes + length, e.Check()
}

// checksum returns the CRC-32C of a record's encoded length and its payload.
func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoliTable), castagnoliTable, payload)
}
