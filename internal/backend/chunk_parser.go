package backend

import "errors"

// chunkParser parses a chunked HTTP response incrementally. Its state, which is passed to another process with the
// connection, is the position from which the response can be read on.
type chunkParser struct {
	// Phase is the part of the response that the next byte belongs to.
	Phase chunkPhase `json:"phase"`
	// Size is the chunk's size as far as it was parsed, or the number of bytes left of the chunk's data.
	Size int64 `json:"size"`
	// LineBytes is the number of bytes of the current line, of a chunk's size or a trailer.
	LineBytes int `json:"line"`
	// SizeEnded reports whether a byte has followed the size in the line with the chunk's size.
	SizeEnded bool `json:"other"`
	// HeadEndMatched is the number of bytes in a row that match headEnd.
	HeadEndMatched int `json:"matched"`
	// HeadBytes is the number of bytes of the current head.
	HeadBytes int `json:"head"`
	// Informational reports whether the current head is of a 1xx response, which precedes the final response.
	Informational bool `json:"early"`
}

// chunkPhase is a part of a chunked response. Its values are passed between processes.
type chunkPhase int

const (
	inHead chunkPhase = iota
	inChunkSize
	inChunkData
	afterChunkData
	inTrailer
	responseComplete
)

const (
	// statusOffset is the offset of the status in a head, in bytes.
	statusOffset = len("HTTP/1.1 ")
	// maxChunkLine is the maximum length of a line with a chunk's size or a trailer, in bytes.
	maxChunkLine = 256
)

var errMalformedChunk = errors.New("malformed chunked encoding")

// feed parses further bytes of the response and passes their payload to the callback.
func (c *chunkParser) feed(b []byte, payload func([]byte)) error {
	for len(b) > 0 {
		if c.Phase == inChunkData {
			n := min(int64(len(b)), c.Size)
			payload(b[:n])
			if b, c.Size = b[n:], c.Size-n; c.Size == 0 {
				c.Phase = afterChunkData
			}
			continue
		}
		if err := c.feedByte(b[0]); err != nil {
			return err
		}
		b = b[1:]
	}
	return nil
}

// feedByte parses one byte outside chunk data.
func (c *chunkParser) feedByte(char byte) error {
	switch c.Phase {
	case inHead:
		c.feedHead(char)
	case inChunkSize:
		return c.feedChunkSize(char)
	case afterChunkData:
		if char == '\n' {
			c.Phase = inChunkSize
		} else if char != '\r' {
			return errMalformedChunk
		}
	case inTrailer:
		switch {
		case char == '\n' && c.LineBytes == 0:
			c.Phase = responseComplete
		case char == '\n':
			c.LineBytes = 0
		case char != '\r':
			if c.LineBytes++; c.LineBytes > maxChunkLine {
				return errMalformedChunk
			}
		}
	case responseComplete:
		return errUnusable
	}
	return nil
}

// feedHead parses a byte of a head, up to the end of the final one; heads of 1xx responses may precede it.
func (c *chunkParser) feedHead(char byte) {
	if c.HeadBytes == statusOffset {
		c.Informational = char == '1'
	}
	c.HeadBytes++
	switch {
	case char == headEnd[c.HeadEndMatched]:
		c.HeadEndMatched++
	case char == '\r':
		c.HeadEndMatched = 1
	default:
		c.HeadEndMatched = 0
	}
	if c.HeadEndMatched == len(headEnd) {
		if !c.Informational {
			c.Phase = inChunkSize
		}
		c.HeadEndMatched = 0
		c.HeadBytes = 0
		c.Informational = false
	}
}

// feedChunkSize parses one byte of a line with a chunk's size, which may have extensions after the size.
func (c *chunkParser) feedChunkSize(char byte) error {
	if c.LineBytes++; c.LineBytes > maxChunkLine {
		return errMalformedChunk
	}
	digit := int64(-1)
	switch {
	case char >= '0' && char <= '9':
		digit = int64(char - '0')
	case char|0x20 >= 'a' && char|0x20 <= 'f':
		digit = int64(char|0x20-'a') + 10
	}
	switch {
	case char == '\n':
		c.Phase = inChunkData
		c.LineBytes = 0
		c.SizeEnded = false
		if c.Size == 0 {
			c.Phase = inTrailer
		}
	case c.SizeEnded:
	case digit < 0:
		c.SizeEnded = true
	default:
		if c.Size = c.Size<<4 | digit; c.Size > maxStreamBytes {
			return errMalformedChunk
		}
	}
	return nil
}

// isValid reports whether the parser is at a position from which a response can be continued.
func (c *chunkParser) isValid() bool {
	return c.Phase >= inChunkSize && c.Phase < responseComplete &&
		c.Size >= 0 && c.Size <= maxStreamBytes &&
		c.LineBytes >= 0 && c.LineBytes <= maxChunkLine &&
		!(c.Phase == inChunkData && c.Size == 0)
}
