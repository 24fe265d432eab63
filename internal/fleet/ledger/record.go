package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// A segment is a file that begins with segmentMagic, with records behind it. A record is the length of its payload, a
// checksum of that length and the payload, both big-endian, and the payload: one entry in CBOR.
//
// A record that is not complete at the end of the last segment was being written when its process ended: it was
// charged to nobody, and is cut off. Any other record that cannot be read is reported, and nothing behind it in that
// segment is used.
const (
	segmentMagic      = "standpoint ledger 1\n"
	lengthBytes       = 4
	recordHeaderBytes = 8
	maxRecordBytes    = 4 << 10 // of a payload
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError names a place in a segment that cannot be read.
type CorruptionError struct {
	File   string // its name within the directory
	Offset int64  // in bytes
	Reason string
	// Torn marks the end of the last segment as a write that was not finished. Nothing acknowledged is lost by it.
	Torn bool
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s, byte %d: %s", e.File, e.Offset, e.Reason)
}

// appendRecord appends an entry's record to b.
func appendRecord(b []byte, e *Entry) ([]byte, error) {
	payload, err := cbor.Marshal(e)
	if err != nil {
		return b, err
	}
	if len(payload) > maxRecordBytes {
		return b, fmt.Errorf("an entry of %d bytes", len(payload))
	}
	length := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	b = append(b, length...)
	b = binary.BigEndian.AppendUint32(b, checksum(length, payload))
	return append(b, payload...), nil
}

// decodeRecord decodes the record that b begins with, and returns its size. The error is io.ErrUnexpectedEOF where b
// ends within the record.
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

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}
