package backend

import "errors"

// chunkParser follows an answer in chunks, byte by byte, so that whoever goes on reading it knows where it stands.
type chunkParser struct {
	Phase   chunkPhase `json:"phase"`
	Size    int64      `json:"size"`  // of the chunk: what was read of it in its line, or what is left of its data
	Line    int        `json:"line"`  // bytes of the line that comes
	Other   bool       `json:"other"` // the line has gone on to what is no size
	Matched int        `json:"matched"`
	Head    int        `json:"head"`  // bytes of the head
	Early   bool       `json:"early"` // it is that of a 1xx answer, ahead of the answer's own
}

type chunkPhase int

const (
	inHead chunkPhase = iota
	inChunkSize
	inChunkData
	afterChunkData
	inTrailer
	answerOver
)

const (
	statusAt     = len("HTTP/1.1 ") // of a head, where its status begins
	maxChunkLine = 256              // bytes of a size's line, or a trailer's, at the most
)

var errMalformedChunk = errors.New("chunks that cannot be read")

// feed takes further bytes of the answer and hands their payload on.
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
		if err := c.byte(b[0]); err != nil {
			return err
		}
		b = b[1:]
	}
	return nil
}

func (c *chunkParser) byte(x byte) error {
	switch c.Phase {
	case inHead:
		c.head(x)
	case inChunkSize:
		return c.size(x)
	case afterChunkData:
		if x == '\n' {
			c.Phase = inChunkSize
		} else if x != '\r' {
			return errMalformedChunk
		}
	case inTrailer:
		switch {
		case x == '\n' && c.Line == 0:
			c.Phase = answerOver
		case x == '\n':
			c.Line = 0
		case x != '\r':
			if c.Line++; c.Line > maxChunkLine {
				return errMalformedChunk
			}
		}
	case answerOver:
		return errUnusable
	}
	return nil
}

// head follows heads up to the last; those of 1xx answers come ahead of it.
func (c *chunkParser) head(x byte) {
	if c.Head == statusAt {
		c.Early = x == '1'
	}
	c.Head++
	switch {
	case x == headEnd[c.Matched]:
		c.Matched++
	case x == '\r':
		c.Matched = 1
	default:
		c.Matched = 0
	}
	if c.Matched == len(headEnd) {
		if !c.Early {
			c.Phase = inChunkSize
		}
		c.Matched = 0
		c.Head = 0
		c.Early = false
	}
}

func (c *chunkParser) size(x byte) error {
	if c.Line++; c.Line > maxChunkLine {
		return errMalformedChunk
	}
	digit := int64(-1)
	switch {
	case x >= '0' && x <= '9':
		digit = int64(x - '0')
	case x|0x20 >= 'a' && x|0x20 <= 'f':
		digit = int64(x|0x20-'a') + 10
	}
	switch {
	case x == '\n':
		c.Phase = inChunkData
		c.Line = 0
		c.Other = false
		if c.Size == 0 {
			c.Phase = inTrailer
		}
	case c.Other:
	case digit < 0:
		c.Other = true
	default:
		if c.Size = c.Size<<4 | digit; c.Size > maxStreamBytes {
			return errMalformedChunk
		}
	}
	return nil
}

// valid reports whether the parser stands where an answer can be continued.
func (c *chunkParser) valid() bool {
	return c.Phase >= inChunkSize && c.Phase < answerOver &&
		c.Size >= 0 && c.Size <= maxStreamBytes &&
		c.Line >= 0 && c.Line <= maxChunkLine &&
		!(c.Phase == inChunkData && c.Size == 0)
}
