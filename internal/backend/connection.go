package backend

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"standpoint/internal/transient"
)

// lastChunk ends an answer. It cannot stand inside one: no line of an event is a 0 alone.
const lastChunk = "\r\n0\r\n\r\n"

const headEnd = "\r\n\r\n"

var errHandedOver = errors.New("the stream moves to another process")

// errHandedBack is found by the reader of an answer that is handed back, behind all that had come.
var errHandedBack = errors.New("the stream is handed back to its client")

const (
	handBackGrace = 30 * time.Millisecond  // for what is under way of an answer that is handed back: it may be its end
	maxHandBack   = 300 * time.Millisecond // in all, for one that comes without a pause
)

var errUnusable = errors.New("the connection holds what no request asked for, or its end")

// minPause is how long a connection is idle before it begins another request. What a backend sends right after an
// answer, some milliseconds late, must have come by then: later it could not be told from the next answer.
const minPause = 15 * time.Millisecond

// connection is a connection to a backend. It keeps what comes after an answer from being taken for the answer to the
// next request: http.Transport checks that only while nobody waits for a connection. It also tells whether a request
// was written to its last byte, and where an answer stands that another process is to continue.
type connection struct {
	net.Conn
	idleLimit *idleLimit
	maxIdle   time.Duration // between two requests
	onWritten func()        // called when a request's last byte is written; may be nil
	onClosed  func()        // called when the connection is closed; may be nil

	frozen atomic.Bool // the answer is handed over to another process: nothing more is read here

	mu sync.Mutex // guards the rest

	// The request.
	beginsRequest  bool          // the next write begins a request
	mayBegin       func() error  // called before a request's first byte is written; nil if it may
	withheld       bool          // by mayBegin
	headEndMatched int           // bytes in a row of headEnd that were written
	unwritten      int           // bytes of the request still to be written; its head counts as one until its end
	idleBefore     time.Duration // how long the connection was idle before the request

	// The answer.
	lastRead         time.Time   // when bytes were last read
	answered         bool        // bytes were read since the last write
	lastChunkMatched int         // bytes in a row of lastChunk that were read
	answerEnded      bool        // its last chunk was read, and no request written since
	chunks           chunkParser // where it stands
	positionUnknown  bool        // that cannot be told
	// handBackUntil is until when the rest is read of an answer that is handed back; zero if it is not.
	handBackUntil time.Time

	unusable bool // for further requests
	broken   bool // it has failed or ended
}

// Close implements net.Conn.
func (c *connection) Close() error {
	if c.onClosed != nil {
		defer c.onClosed()
	}
	return c.Conn.Close()
}

// Read implements net.Conn. It returns the answer and nothing that comes after it.
func (c *connection) Read(b []byte) (int, error) {
	if c.frozen.Load() {
		return 0, errHandedOver
	}
	n, err := transient.Read(c.Conn, b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.frozen.Load() {
		n, err = c.readAfterDeadline(b, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen.Load() && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, errHandedOver
	}
	own, err := c.answerBytes(b[:n], err)
	c.positionUnknown = c.positionUnknown || c.chunks.feed(b[:own], func([]byte) {}) != nil
	return own, err
}

// answerBytes is how many of the bytes that came belong to the answer, and the reader's error.
func (c *connection) answerBytes(b []byte, err error) (int, error) {
	n := len(b)
	c.broken = c.broken || err != nil
	if c.unusable || n > 0 && c.answerEnded {
		c.unusable = true
		return 0, errUnusable
	}
	if n > 0 {
		c.answered, c.lastRead = true, time.Now()
	}
	for i, char := range b[:n] {
		switch {
		case char == lastChunk[c.lastChunkMatched]:
			c.lastChunkMatched++
		case char == '\r':
			c.lastChunkMatched = 1
		case char == '0' && c.lastChunkMatched == 5: // "\r\n0" again
			c.lastChunkMatched = 3
		default:
			c.lastChunkMatched = 0
		}
		if c.lastChunkMatched == len(lastChunk) {
			c.lastChunkMatched = 0
			c.answerEnded = true
			c.unusable = i+1 < n
			return i + 1, err
		}
	}
	return n, err
}

// freeze has the answer's reader get errHandedOver once it has taken all that was read. It is false if the answer has
// ended, or its connection is of no further use.
func (c *connection) freeze() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen.Load() || c.answerEnded || c.unusable || c.broken {
		return false
	}
	c.frozen.Store(true)
	return c.Conn.SetReadDeadline(time.Now()) == nil
}

// endForHandBack has the answer's reader get errHandedBack once it has taken all that has come. It is false if the
// answer has ended, or ends in another way.
func (c *connection) endForHandBack() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen.Load() || c.answerEnded || c.unusable || c.broken {
		return false
	}
	now := time.Now()
	c.handBackUntil = now.Add(maxHandBack)
	return c.Conn.SetReadDeadline(now.Add(handBackGrace)) == nil
}

// readAfterDeadline continues past the deadline of an answer that is handed back, while the socket has something to
// read.
func (c *connection) readAfterDeadline(b []byte, deadline error) (int, error) {
	c.mu.Lock()
	until := c.handBackUntil
	c.mu.Unlock()
	now := time.Now()
	switch {
	case until.IsZero():
		return 0, deadline
	case now.After(until) || !c.isReadable():
		return 0, errHandedBack
	}
	if err := c.Conn.SetReadDeadline(now.Add(handBackGrace)); err != nil {
		return 0, err
	}
	n, err := transient.Read(c.Conn, b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errHandedBack
	}
	return n, err
}

// position is where the answer stands. It is false if that is not known, or nothing is left of the answer.
func (c *connection) position() (chunkParser, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chunks, !c.positionUnknown && c.chunks.Phase > inHead && c.chunks.Phase < answerOver
}

// begin announces that the next write is the first of a request with a body of that size. mayBegin is called before it,
// and may withhold the request.
func (c *connection) begin(bodySize int, mayBegin func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mayBegin = mayBegin
	c.withheld = false
	c.beginsRequest = true
	c.headEndMatched = 0
	c.unwritten = 1 + bodySize
	c.chunks = chunkParser{}
	c.positionUnknown = false
}

// trackWritten counts what is written of a request, and reports whether its last byte was among it. Only that byte
// tells that the request may run: http.Transport calls a request written when it is in its buffer.
func (c *connection) trackWritten(b []byte) bool {
	if c.unwritten == 0 {
		return false
	}
	for i := 0; i < len(b) && c.headEndMatched < len(headEnd); i++ {
		switch {
		case b[i] == headEnd[c.headEndMatched]:
			c.headEndMatched++
		case b[i] == '\r':
			c.headEndMatched = 1
		default:
			c.headEndMatched = 0
		}
		if c.headEndMatched == len(headEnd) {
			b = b[i+1:]
			c.unwritten--
			break
		}
	}
	if c.headEndMatched == len(headEnd) {
		c.unwritten = max(0, c.unwritten-len(b))
	}
	return c.unwritten == 0
}

// Write implements net.Conn. It begins a request only if nothing waits to be read, not even the end of the
// connection. A request that does not begin never ran, and may be sent over another connection.
func (c *connection) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.beginsRequest || c.answerEnded {
		if early := minPause - time.Since(c.lastRead); c.answerEnded && early > 0 {
			c.mu.Unlock()
			time.Sleep(early) // in the transport's goroutine for writing; what is read meanwhile makes it unusable
			c.mu.Lock()
		}
		if c.answered {
			c.idleBefore = time.Since(c.lastRead)
			c.unusable = c.unusable || c.idleBefore > c.idleLimit.current(c.maxIdle) || c.isReadable()
		}
		c.beginsRequest = false
		c.answered = false
		c.lastChunkMatched = 0
		c.answerEnded = false
		// The last moment at which the request can be withheld: the connection may have come up late.
		if c.mayBegin != nil {
			if err := c.mayBegin(); err != nil {
				c.withheld = true
				c.unusable = true
				c.mu.Unlock()
				return 0, err
			}
		}
	}
	unusable := c.unusable
	c.mu.Unlock()
	if unusable {
		return 0, errUnusable
	}
	n, err := transient.Write(c.Conn, b)
	c.mu.Lock()
	complete := c.trackWritten(b[:n])
	c.mu.Unlock()
	if complete && c.onWritten != nil {
		c.onWritten()
	}
	return n, err
}

// wasWithheld reports whether mayBegin withheld the request: nothing of it was written.
func (c *connection) wasWithheld() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withheld
}

// isWritten reports whether the request's last byte was written.
func (c *connection) isWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unwritten == 0
}

// isReadable reports, without blocking or taking anything, whether the socket has bytes or its end to read.
func (c *connection) isReadable() bool {
	if _, ok := c.Conn.(syscall.Conn); !ok {
		return false
	}
	_, err := UnreadBytes(c.Conn)
	return err != syscall.EAGAIN
}

// recordIdleLoss notes, after a failure, that the backend had dropped the connection while it was idle.
func (c *connection) recordIdleLoss() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleBefore > 0 && !c.answered && c.broken {
		c.idleLimit.shorten(c.idleBefore, c.maxIdle)
	}
}

// isUnreadable reports, after a failure, that bytes came on a connection that is intact: the backend is there, and
// what it sent is no answer.
func (c *connection) isUnreadable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered && !c.broken
}
