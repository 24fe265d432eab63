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

// minPause is how long a connection is idle before it begins another request. What a backend sends right after an answer,
// some milliseconds late, must have come by then: later it could not be told from the next answer.
const minPause = 15 * time.Millisecond

// connection is a connection to a backend. It keeps what comes after an answer from being taken for the answer to the
// next request: http.Transport checks that only while nobody waits for a connection. It also tells whether a request was
// written to its last byte, and where an answer stands that another process is to continue.
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
func (l *connection) Close() error {
	if l.onClosed != nil {
		defer l.onClosed()
	}
	return l.Conn.Close()
}

// Read implements net.Conn. It returns the answer and nothing that comes after it.
func (l *connection) Read(b []byte) (int, error) {
	if l.frozen.Load() {
		return 0, errHandedOver
	}
	n, err := transient.Read(l.Conn, b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !l.frozen.Load() {
		n, err = l.readAfterDeadline(b, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen.Load() && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, errHandedOver
	}
	own, err := l.answerBytes(b[:n], err)
	l.positionUnknown = l.positionUnknown || l.chunks.feed(b[:own], func([]byte) {}) != nil
	return own, err
}

// answerBytes is how many of the bytes that came belong to the answer, and the reader's error.
func (l *connection) answerBytes(b []byte, err error) (int, error) {
	n := len(b)
	l.broken = l.broken || err != nil
	if l.unusable || n > 0 && l.answerEnded {
		l.unusable = true
		return 0, errUnusable
	}
	if n > 0 {
		l.answered, l.lastRead = true, time.Now()
	}
	for i, c := range b[:n] {
		switch {
		case c == lastChunk[l.lastChunkMatched]:
			l.lastChunkMatched++
		case c == '\r':
			l.lastChunkMatched = 1
		case c == '0' && l.lastChunkMatched == 5: // "\r\n0" again
			l.lastChunkMatched = 3
		default:
			l.lastChunkMatched = 0
		}
		if l.lastChunkMatched == len(lastChunk) {
			l.lastChunkMatched = 0
			l.answerEnded = true
			l.unusable = i+1 < n
			return i + 1, err
		}
	}
	return n, err
}

// freeze has the answer's reader get errHandedOver once it has taken all that was read. It is false if the answer has
// ended, or its connection is of no further use.
func (l *connection) freeze() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen.Load() || l.answerEnded || l.unusable || l.broken {
		return false
	}
	l.frozen.Store(true)
	return l.Conn.SetReadDeadline(time.Now()) == nil
}

// endForHandBack has the answer's reader get errHandedBack once it has taken all that has come. It is false if the answer
// has ended, or ends in another way.
func (l *connection) endForHandBack() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen.Load() || l.answerEnded || l.unusable || l.broken {
		return false
	}
	now := time.Now()
	l.handBackUntil = now.Add(maxHandBack)
	return l.Conn.SetReadDeadline(now.Add(handBackGrace)) == nil
}

// readAfterDeadline continues past the deadline of an answer that is handed back, while the socket has something to read.
func (l *connection) readAfterDeadline(b []byte, deadline error) (int, error) {
	l.mu.Lock()
	until := l.handBackUntil
	l.mu.Unlock()
	now := time.Now()
	switch {
	case until.IsZero():
		return 0, deadline
	case now.After(until) || !l.isReadable():
		return 0, errHandedBack
	}
	if err := l.Conn.SetReadDeadline(now.Add(handBackGrace)); err != nil {
		return 0, err
	}
	n, err := transient.Read(l.Conn, b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errHandedBack
	}
	return n, err
}

// position is where the answer stands. It is false if that is not known, or nothing is left of the answer.
func (l *connection) position() (chunkParser, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chunks, !l.positionUnknown && l.chunks.Phase > inHead && l.chunks.Phase < answerOver
}

// begin announces that the next write is the first of a request with a body of that size. mayBegin is called before it,
// and may withhold the request.
func (l *connection) begin(bodySize int, mayBegin func() error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mayBegin = mayBegin
	l.withheld = false
	l.beginsRequest = true
	l.headEndMatched = 0
	l.unwritten = 1 + bodySize
	l.chunks = chunkParser{}
	l.positionUnknown = false
}

// trackWritten counts what is written of a request, and reports whether its last byte was among it. Only that byte tells
// that the request may run: http.Transport calls a request written when it is in its buffer.
func (l *connection) trackWritten(b []byte) bool {
	if l.unwritten == 0 {
		return false
	}
	for i := 0; i < len(b) && l.headEndMatched < len(headEnd); i++ {
		switch {
		case b[i] == headEnd[l.headEndMatched]:
			l.headEndMatched++
		case b[i] == '\r':
			l.headEndMatched = 1
		default:
			l.headEndMatched = 0
		}
		if l.headEndMatched == len(headEnd) {
			b = b[i+1:]
			l.unwritten--
			break
		}
	}
	if l.headEndMatched == len(headEnd) {
		l.unwritten = max(0, l.unwritten-len(b))
	}
	return l.unwritten == 0
}

// Write implements net.Conn. It begins a request only if nothing waits to be read, not even the end of the connection. A
// request that does not begin never ran, and may be sent over another connection.
func (l *connection) Write(b []byte) (int, error) {
	l.mu.Lock()
	if l.beginsRequest || l.answerEnded {
		if early := minPause - time.Since(l.lastRead); l.answerEnded && early > 0 {
			l.mu.Unlock()
			time.Sleep(early) // in the transport's goroutine for writing; what is read meanwhile makes it unusable
			l.mu.Lock()
		}
		if l.answered {
			l.idleBefore = time.Since(l.lastRead)
			l.unusable = l.unusable || l.idleBefore > l.idleLimit.current(l.maxIdle) || l.isReadable()
		}
		l.beginsRequest = false
		l.answered = false
		l.lastChunkMatched = 0
		l.answerEnded = false
		// The last moment at which the request can be withheld: the connection may have come up late.
		if l.mayBegin != nil {
			if err := l.mayBegin(); err != nil {
				l.withheld = true
				l.unusable = true
				l.mu.Unlock()
				return 0, err
			}
		}
	}
	unusable := l.unusable
	l.mu.Unlock()
	if unusable {
		return 0, errUnusable
	}
	n, err := transient.Write(l.Conn, b)
	l.mu.Lock()
	complete := l.trackWritten(b[:n])
	l.mu.Unlock()
	if complete && l.onWritten != nil {
		l.onWritten()
	}
	return n, err
}

// wasWithheld reports whether mayBegin withheld the request: nothing of it was written.
func (l *connection) wasWithheld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.withheld
}

// isWritten reports whether the request's last byte was written.
func (l *connection) isWritten() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unwritten == 0
}

// isReadable reports, without blocking or taking anything, whether the socket has bytes or its end to read.
func (l *connection) isReadable() bool {
	if _, ok := l.Conn.(syscall.Conn); !ok {
		return false
	}
	_, err := UnreadBytes(l.Conn)
	return err != syscall.EAGAIN
}

// recordIdleLoss notes, after a failure, that the backend had dropped the connection while it was idle.
func (l *connection) recordIdleLoss() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idleBefore > 0 && !l.answered && l.broken {
		l.idleLimit.shorten(l.idleBefore, l.maxIdle)
	}
}

// isUnreadable reports, after a failure, that bytes came on a connection that is intact: the backend is there, and what it
// sent is no answer.
func (l *connection) isUnreadable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered && !l.broken
}
