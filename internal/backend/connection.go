package backend

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"standpoint/internal/transient"
)

// lastChunk ends a response. It cannot occur within one, since no line of an event consists of a 0 alone.
const lastChunk = "\r\n0\r\n\r\n"

// headEnd ends the head of a request or response.
const headEnd = "\r\n\r\n"

// errHandedOver is returned to the reader of a response that is handed over to another process.
var errHandedOver = errors.New("stream handed over to another process")

// errHandedBack is returned to the reader of a response that is handed back to its client, after all bytes that had
// arrived.
var errHandedBack = errors.New("stream handed back to its client")

const (
	// handBackReadTimeout is how long a response that is handed back is still read without a pause in the bytes: its
	// end may already be on the way.
	handBackReadTimeout = 30 * time.Millisecond
	// maxHandBackTime is the maximum total time for which such a response is still read, if bytes keep arriving.
	maxHandBackTime = 300 * time.Millisecond
)

// errUnusable is returned for a connection that cannot be used for a further request.
var errUnusable = errors.New("connection cannot be reused: idle too long, or bytes or end of stream after the response")

// maxHeadLines is the maximum number of lines of a response's heads. Each field takes many times its size in memory.
const maxHeadLines = 128

// errTooManyHeadLines is returned to the reader of a response whose head has more than maxHeadLines lines.
var errTooManyHeadLines = errors.New("head of a response has too many lines")

// minReusePause is the minimum idle time of a connection before the next request is written to it. Bytes that a backend
// sends some milliseconds after the end of a response must have arrived by then: after the request was written they
// could not be distinguished from the next response.
const minReusePause = 15 * time.Millisecond

// connection is a connection to a backend. It prevents bytes after the end of a response from being taken for the
// response to the next request; http.Transport checks this only while no request waits for a connection. It also
// records whether a request was written completely, and the position in a response that another process is to continue.
type connection struct {
	net.Conn
	idleLimit *idleLimit
	maxIdle   time.Duration // maximum idle time between two requests
	onWritten func()        // called when a request's last byte was written; may be nil
	onClosed  func()        // called when the connection is closed; may be nil

	frozen atomic.Bool // the response is being handed over to another process; this one reads no more of it

	mu sync.Mutex // guards the rest

	// duplicate is a descriptor for the handover while frozen is set; noDescriptor once it was taken. It is made before
	// the reader of the response gets errHandedOver, since the transport closes the connection then.
	duplicate int

	// The request.
	beginsRequest  bool          // the next write begins a request
	mayBegin       func() error  // called before a request's first byte is written; an error withholds it; may be nil
	withheld       bool          // mayBegin withheld the request
	headEndMatched int           // number of bytes in a row that were written and match headEnd
	unwrittenBytes int           // bytes of the request still to be written; the head counts as one byte
	idleBefore     time.Duration // how long the connection was idle before the request

	// The response.
	lastRead         time.Time   // when bytes were last read
	responseStarted  bool        // bytes were read since the request was begun
	lastChunkMatched int         // number of bytes in a row that were read and match lastChunk
	responseEnded    bool        // the last chunk was read, and no request was begun since
	chunks           chunkParser // position in the response
	headLines        int         // lines of the response's heads so far
	positionUnknown  bool        // the response could not be parsed, so that chunks is invalid
	handBackUntil    time.Time   // when to stop reading a response that is handed back; zero if it is not handed back

	unusable      bool // no further request may use the connection
	failedOrEnded bool // a read failed or reached the end of the stream
}

// Close implements net.Conn.
func (c *connection) Close() error {
	if c.onClosed != nil {
		defer c.onClosed()
	}
	return c.Conn.Close()
}

// Read implements net.Conn. It returns the bytes of the response, and none that follow it.
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
	responseLen, err := c.responseBytes(b[:n], err)
	if !c.followPosition(b[:responseLen]) {
		c.unusable = true
		return 0, errTooManyHeadLines
	}
	return responseLen, err
}

// followPosition follows the next bytes of the response. It returns false if its heads have too many lines.
func (c *connection) followPosition(read []byte) bool {
	for len(read) > 0 && c.chunks.Phase == inHead {
		if read[0] == '\n' {
			c.headLines++
		}
		if c.headLines > maxHeadLines {
			return false
		}
		_ = c.chunks.feed(read[:1], func([]byte) {}) // a byte of a head cannot be malformed
		read = read[1:]
	}
	c.positionUnknown = c.positionUnknown || c.chunks.feed(read, func([]byte) {}) != nil
	return true
}

// responseBytes returns how many of the bytes that were read belong to the response, and the error for the reader.
func (c *connection) responseBytes(b []byte, err error) (int, error) {
	n := len(b)
	c.failedOrEnded = c.failedOrEnded || err != nil
	if c.unusable || n > 0 && c.responseEnded {
		c.unusable = true
		return 0, errUnusable
	}
	if n > 0 {
		c.responseStarted, c.lastRead = true, time.Now()
	}
	for i, char := range b[:n] {
		switch {
		case char == lastChunk[c.lastChunkMatched]:
			c.lastChunkMatched++
		case char == '\r':
			c.lastChunkMatched = 1
		case char == '0' && c.lastChunkMatched == 5: // the last three bytes are "\r\n0"
			c.lastChunkMatched = 3
		default:
			c.lastChunkMatched = 0
		}
		if c.lastChunkMatched == len(lastChunk) {
			c.lastChunkMatched = 0
			c.responseEnded = true
			c.unusable = i+1 < n
			return i + 1, err
		}
	}
	return n, err
}

// errNoDuplicate is returned if the descriptor of a connection that is handed over was taken already.
var errNoDuplicate = errors.New("hand over stream: no descriptor of the connection")

// noDescriptor stands for a descriptor that was taken or closed.
const noDescriptor = -1

// takeDuplicate returns the duplicate descriptor of a frozen connection. The caller owns it.
func (c *connection) takeDuplicate() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.frozen.Load() || c.duplicate == noDescriptor {
		return 0, errNoDuplicate
	}
	taken := c.duplicate
	c.duplicate = noDescriptor
	return taken, nil
}

// closeDuplicate closes the descriptor for the handover, unless it was taken.
func (c *connection) closeDuplicate() {
	if fd, err := c.takeDuplicate(); err == nil {
		_ = unix.Close(fd)
	}
}

// freeze makes the reader of the response get errHandedOver after the bytes that have been read so far. It returns
// false if the response has ended, or the connection is no longer usable, or another process could not continue it.
func (c *connection) freeze() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen.Load() || c.responseEnded || c.unusable || c.failedOrEnded || c.positionUnknown {
		return false
	}
	duplicate, err := duplicateSocket(c.Conn)
	if err != nil {
		return false
	}
	c.duplicate = duplicate
	c.frozen.Store(true)
	return c.Conn.SetReadDeadline(time.Now()) == nil
}

// endForHandBack makes the reader of the response get errHandedBack after all bytes that have arrived. It returns false
// if the response has ended, or ends in another way.
func (c *connection) endForHandBack() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen.Load() || c.responseEnded || c.unusable || c.failedOrEnded {
		return false
	}
	now := time.Now()
	c.handBackUntil = now.Add(maxHandBackTime)
	return c.Conn.SetReadDeadline(now.Add(handBackReadTimeout)) == nil
}

// readAfterDeadline reads on after the read deadline of a response that is handed back, while the socket has bytes to
// read. For any other response it returns deadlineErr.
func (c *connection) readAfterDeadline(b []byte, deadlineErr error) (int, error) {
	c.mu.Lock()
	until := c.handBackUntil
	c.mu.Unlock()
	now := time.Now()
	switch {
	case until.IsZero():
		return 0, deadlineErr
	case now.After(until) || !c.isReadable():
		return 0, errHandedBack
	}
	if err := c.Conn.SetReadDeadline(now.Add(handBackReadTimeout)); err != nil {
		return 0, err
	}
	n, err := transient.Read(c.Conn, b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errHandedBack
	}
	return n, err
}

// position returns the position in the response. It returns false if the position is unknown, or not within the body.
func (c *connection) position() (chunkParser, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chunks, !c.positionUnknown && c.chunks.Phase > inHead && c.chunks.Phase < responseComplete
}

// begin announces that the next write begins a request with a body of the given size in bytes. mayBegin is called
// before that write; if it returns an error, the request is withheld.
func (c *connection) begin(bodySize int, mayBegin func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mayBegin = mayBegin
	c.withheld = false
	c.beginsRequest = true
	c.headEndMatched = 0
	c.unwrittenBytes = 1 + bodySize
	c.chunks = chunkParser{}
	c.headLines = 0
	c.positionUnknown = false
}

// trackWritten counts the bytes written of a request, and reports whether the last one was among them. Only then may
// the request run: http.Transport reports a request as written once it is in its own buffer.
func (c *connection) trackWritten(b []byte) bool {
	if c.unwrittenBytes == 0 {
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
			c.unwrittenBytes--
			break
		}
	}
	if c.headEndMatched == len(headEnd) {
		c.unwrittenBytes = max(0, c.unwrittenBytes-len(b))
	}
	return c.unwrittenBytes == 0
}

// Write implements net.Conn. It begins a request only if the socket has nothing to read, not even the end of the
// stream. A request that is not begun never ran, and may be sent over another connection.
func (c *connection) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.beginsRequest || c.responseEnded {
		if remaining := minReusePause - time.Since(c.lastRead); c.responseEnded && remaining > 0 {
			c.mu.Unlock()
			// This is the transport's goroutine for writing. Bytes that are read meanwhile make the connection
			// unusable.
			time.Sleep(remaining)
			c.mu.Lock()
		}
		if c.responseStarted {
			c.idleBefore = time.Since(c.lastRead)
			c.unusable = c.unusable || c.idleBefore > c.idleLimit.current(c.maxIdle) || c.isReadable()
		}
		c.beginsRequest = false
		c.responseStarted = false
		c.lastChunkMatched = 0
		c.responseEnded = false
		// The last moment at which the request can be withheld: opening the connection may have taken long.
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

// wasWithheld reports whether mayBegin withheld the request, so that nothing of it was written.
func (c *connection) wasWithheld() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withheld
}

// isWritten reports whether the request's last byte was written.
func (c *connection) isWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unwrittenBytes == 0
}

// isReadable reports, without blocking or consuming anything, whether the socket has bytes or the end of the stream to
// read.
func (c *connection) isReadable() bool {
	if _, ok := c.Conn.(syscall.Conn); !ok {
		return false
	}
	_, err := UnreadBytes(c.Conn)
	return err != syscall.EAGAIN
}

// recordIdleLoss shortens the idle limit if, after a failure, the backend turns out to have dropped the connection
// while it was idle.
func (c *connection) recordIdleLoss() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleBefore > 0 && !c.responseStarted && c.failedOrEnded {
		c.idleLimit.shorten(c.idleBefore, c.maxIdle)
	}
}

// isResponseMalformed reports, after a failure, whether bytes arrived on a connection that is intact: the backend is
// reachable, and what it sent is not a valid response.
func (c *connection) isResponseMalformed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responseStarted && !c.failedOrEnded
}
