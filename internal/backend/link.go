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

	"standpoint/internal/clock"
	"standpoint/internal/transient"
)

// lastChunk ends an answer. It cannot stand inside one: no line of an event is a 0 alone.
const lastChunk = "\r\n0\r\n\r\n"

const headEnd = "\r\n\r\n"

var errFrozen = errors.New("the stream moves to another process")

// errLeft is found by the reader of an answer that is handed back, behind all that had come.
var errLeft = errors.New("the stream is handed back to its client")

const (
	leaveGrace = 30 * time.Millisecond  // for what is under way of an answer that is handed back: it may be its end
	leaveMost  = 300 * time.Millisecond // in all, for one that comes without a pause
)

var errSpent = errors.New("the connection holds what no request asked for, or its end")

// keep is for how long links to a backend are used again after they rested. The server may drop one without a
// word, and the request on it ends as a reset that may have run: a link lost so shows that less is safe. A new
// connection costs far less than an attempt.
type keep struct{ span, lost atomic.Int64 }

// restLeast is how long a link rests before it begins another request. What a server sends right behind an answer, in a
// piece of its own some milliseconds late, must have come by then: later it could not be told from the next answer.
const restLeast = 15 * time.Millisecond

const (
	keepLeast   = 20 * time.Millisecond
	keepRegains = 20 * time.Second // without a loss, for twice the span to be tried again
)

func (k *keep) now(most time.Duration) time.Duration {
	span, lost := time.Duration(k.span.Load()), k.lost.Load()
	if lost == 0 {
		return most
	}
	return min(most, span<<min(16, time.Duration(clock.Now()-lost)/keepRegains))
}

// short notes that a link was lost after such a rest.
func (k *keep) short(rest, most time.Duration) {
	k.span.Store(int64(max(keepLeast, min(rest, k.now(most))/2)))
	k.lost.Store(clock.Now())
}

// connection is one connection to a backend. It keeps what comes behind an answer from being taken for the
// answer to the next request: http.Transport looks for that only once nobody waits for a connection.
type connection struct {
	net.Conn
	keep   *keep
	most   time.Duration // that it may rest
	wrote  func()        // called once a request's last byte is written; nil: nobody counts
	closed func()        // called once the connection is; nil: nobody counts

	mu       sync.Mutex
	starts   bool          // the next write begins a request
	heard    time.Time     // when bytes came last
	rest     time.Duration // how long it had rested when the request began
	answered bool          // bytes have come since the last write
	matched  int           // of lastChunk, bytes seen in a row
	ended    bool          // the answer's last chunk has come, and no request since
	spent    bool          // of no further use
	broken   bool          // the connection has failed or ended
	headEnd  int           // of the request's head, bytes of headEnd seen in a row
	chunks   chunks        // where the answer stands
	lost     bool          // that is not known
	frozen   atomic.Bool   // nothing more is read here
	leaves   time.Time     // until when what has come is still read of an answer that is handed back; zero: it is not
	owed     int           // bytes of the request that are not written; its head counts as one until its end
	may      func() error  // asked before a request's first byte is written; nil: it may
	barred   bool          // it said no
}

// Close implements net.Conn.
func (l *connection) Close() error {
	if l.closed != nil {
		defer l.closed()
	}
	return l.Conn.Close()
}

// Read hands on the answer and nothing behind it.
func (l *connection) Read(b []byte) (int, error) {
	if l.frozen.Load() {
		return 0, errFrozen
	}
	n, err := transient.Read(l.Conn, b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !l.frozen.Load() {
		n, err = l.behind(b, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen.Load() && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, errFrozen
	}
	own, err := l.answer(b[:n], err)
	l.lost = l.lost || l.chunks.feed(b[:own], func([]byte) {}) != nil
	return own, err
}

// answer is how many of the bytes that came are the answer's, and what the reader is told.
func (l *connection) answer(b []byte, err error) (int, error) {
	n := len(b)
	l.broken = l.broken || err != nil
	if l.spent || n > 0 && l.ended {
		l.spent = true
		return 0, errSpent
	}
	if n > 0 {
		l.answered, l.heard = true, time.Now()
	}
	for i, c := range b[:n] {
		switch {
		case c == lastChunk[l.matched]:
			l.matched++
		case c == '\r':
			l.matched = 1
		case c == '0' && l.matched == 5: // "\r\n0" again
			l.matched = 3
		default:
			l.matched = 0
		}
		if l.matched == len(lastChunk) {
			l.matched, l.ended, l.spent = 0, true, i+1 < n
			return i + 1, err
		}
	}
	return n, err
}

// freeze has the answer's reader find errFrozen once it has taken all that was read. False: the answer is over, or nearly.
func (l *connection) freeze() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen.Load() || l.ended || l.spent || l.broken {
		return false
	}
	l.frozen.Store(true)
	return l.Conn.SetReadDeadline(time.Now()) == nil
}

// leave has the answer's reader find errLeft once it has taken all that has come. False: it is over, or ends in another way.
func (l *connection) leave() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen.Load() || l.ended || l.spent || l.broken {
		return false
	}
	now := time.Now()
	l.leaves = now.Add(leaveMost)
	return l.Conn.SetReadDeadline(now.Add(leaveGrace)) == nil
}

// behind reads on past the deadline of an answer that is handed back, while the socket holds something.
func (l *connection) behind(b []byte, deadline error) (int, error) {
	l.mu.Lock()
	leaves := l.leaves
	l.mu.Unlock()
	now := time.Now()
	switch {
	case leaves.IsZero():
		return 0, deadline
	case now.After(leaves) || !l.stirring():
		return 0, errLeft
	}
	if err := l.Conn.SetReadDeadline(now.Add(leaveGrace)); err != nil {
		return 0, err
	}
	n, err := transient.Read(l.Conn, b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errLeft
	}
	return n, err
}

// where is where the answer stands. False: that is not known, or there is nothing left of it.
func (l *connection) where() (chunks, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chunks, !l.lost && l.chunks.Phase > inHead && l.chunks.Phase < isOver
}

// begin tells that the next write is the first of a request with such a body, which may asks before it is done. A server may
// answer before the last.
func (l *connection) begin(body int, may func() error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.may, l.barred = may, false
	l.starts, l.headEnd, l.owed = true, 0, 1+body
	l.chunks, l.lost = chunks{}, false
}

// note follows a request that is written to its last byte, which alone says that it may run: http.Transport says that a
// request is written when it stands in its buffer. It tells whether that byte was among these.
func (l *connection) note(b []byte) bool {
	if l.owed == 0 {
		return false
	}
	for i := 0; i < len(b) && l.headEnd < len(headEnd); i++ {
		switch {
		case b[i] == headEnd[l.headEnd]:
			l.headEnd++
		case b[i] == '\r':
			l.headEnd = 1
		default:
			l.headEnd = 0
		}
		if l.headEnd == len(headEnd) {
			b = b[i+1:]
			l.owed--
			break
		}
	}
	if l.headEnd == len(headEnd) {
		l.owed = max(0, l.owed-len(b))
	}
	return l.owed == 0
}

// Write begins a request only where nothing waits to be read, not even the connection's end. One that is not
// begun never ran, and goes out on another connection.
func (l *connection) Write(b []byte) (int, error) {
	l.mu.Lock()
	if l.starts || l.ended {
		if early := restLeast - time.Since(l.heard); l.ended && early > 0 {
			l.mu.Unlock()
			time.Sleep(early) // in the transport's own goroutine for writing; what is read meanwhile spends the link
			l.mu.Lock()
		}
		if l.answered {
			l.rest = time.Since(l.heard)
			l.spent = l.spent || l.rest > l.keep.now(l.most) || l.stirring()
		}
		l.starts, l.answered, l.matched, l.ended = false, false, 0, false
		// The last moment at which the request can be kept back: the connection may have come up late.
		if l.may != nil {
			if err := l.may(); err != nil {
				l.barred, l.spent = true, true
				l.mu.Unlock()
				return 0, err
			}
		}
	}
	spent := l.spent
	l.mu.Unlock()
	if spent {
		return 0, errSpent
	}
	n, err := transient.Write(l.Conn, b)
	l.mu.Lock()
	whole := l.note(b[:n])
	l.mu.Unlock()
	if whole && l.wrote != nil {
		l.wrote()
	}
	return n, err
}

// wasBarred tells that the request was kept back, and nothing of it written.
func (l *connection) wasBarred() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.barred
}

// sent tells that the request's last byte is written.
func (l *connection) sent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owed == 0
}

// stirring looks, without waiting or taking anything, whether the socket has bytes or its end to read.
func (l *connection) stirring() bool {
	if _, ok := l.Conn.(syscall.Conn); !ok {
		return false
	}
	_, err := UnreadBytes(l.Conn)
	return err != syscall.EAGAIN
}

// UnreadBytes looks, without waiting or taking anything, whether the socket has bytes to read: 0 and no error at its end, EAGAIN where
// nothing has come.
func UnreadBytes(c net.Conn) (n int, err error) {
	failed := control(c, func(fd int) {
		err = transient.IgnoringEINTR(func() (failed error) {
			n, _, failed = syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return failed
		})
	})
	if failed != nil {
		return 0, failed
	}
	return max(0, n), err
}

// PeerClosed tells, without waiting, whether the other side is known to have ended the connection, or its sending, though what it sent
// before may not have been read.
func PeerClosed(c net.Conn) bool {
	look := []unix.PollFd{{Events: unix.POLLRDHUP}}
	if err := control(c, func(fd int) {
		look[0].Fd = int32(fd)
		_ = transient.IgnoringEINTR(func() error {
			_, failed := unix.Poll(look, 0)
			return failed
		})
	}); err != nil {
		return false
	}
	if look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
		return true
	}
	n, err := UnreadBytes(c)
	return n == 0 && err == nil
}

// control has f look at the connection's descriptor.
func control(c net.Conn, f func(fd int)) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return syscall.ENOTSOCK
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// dropped notes, after a failure, that the server had let go of a link that had rested.
func (l *connection) dropped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rest > 0 && !l.answered && l.broken {
		l.keep.short(l.rest, l.most)
	}
}

// unreadable tells, after a failure, that bytes came on a connection that is still whole: the server is there,
// and what it sent is no answer.
func (l *connection) unreadable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered && !l.broken
}
