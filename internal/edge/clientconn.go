package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/backend"
	"standpoint/internal/memory"
	"standpoint/internal/metrics"
	"standpoint/internal/transient"
	"standpoint/internal/work"
)

const (
	// maxPromptBytes is the size of a request up to which its bytes do not wait for those of others.
	maxPromptBytes = 16 << 10
	// maxDiscardedBytes is the number of bytes that are read of the rest of a rejected request.
	maxDiscardedBytes = 32 << 10
	// answerRate is the number of answers per second that one connection gets for requests that no backend answers, and
	// answerBurst how many of them at once.
	answerRate, answerBurst = 20, 4
	// socketBufferSize is the size of the kernel's buffers of a connection, in bytes. Larger ones would hold megabytes for
	// a client that does not read, and take the work for them long before it is of use.
	socketBufferSize = 64 << 10

	// lingerTime is how long a half-closed connection stays open so that its client can read the response.
	lingerTime = 500 * time.Millisecond
	// maxLingering is the maximum number of connections that linger at once.
	maxLingering = 32
)

// clientConn is a client connection. Closing an idle connection may race with the server, which may be reading a
// request from it. The connection's lock decides: either no byte of a request has been read and none will be, or the
// request is read completely and gets a response. clientConn is safe for concurrent use, as net.Conn requires.
type clientConn struct {
	net.Conn
	tracker *ConnectionTracker
	head    headParser // parses the head of the current request

	memory       *memory.Holder // what the connection and its request hold
	headMemory   int            // bytes charged for the head of the current request; used by Read alone
	requestBytes int            // bytes received since the last request ended; used by Read alone
	requestAt    time.Time      // when the head of the current request was read; used by its handler alone
	answers      *work.Limiter  // paces requests that no backend answers
	nextAnswerAt time.Time      // when the next request may be handled; used by handlers alone
	served       bool           // a backend has answered the current request; used by its handler alone
	readAheadAt  atomic.Int64   // when bytes were last read ahead, as an instant of internal/clock
	discardOnly  atomic.Bool    // the rest of the request is not read
	duplicated   atomic.Bool    // another process may have a descriptor of the socket
	reclaimed    atomic.Bool    // memory was reclaimed, and reads fail from now on
	received     atomic.Bool    // a byte has been read
	responded    atomic.Bool    // a byte has been written
	peerClosed   atomic.Bool    // the client has closed the connection
	readTimedOut atomic.Bool    // a read deadline has passed

	// The tracker's lock guards these.
	active         bool      // a request is open
	stateChangedAt time.Time // when the connection was accepted, or became active or idle
	headReceived   bool      // a complete request head has been read
	closing        bool      // the tracker has requested its close, and evicts no further connection in its place
	stopped        bool      // closed because the node stops

	mu             sync.Mutex // guards the fields below
	handling       bool       // a handler has the open request, and waits for no part of it
	begunAt        time.Time  // when the first byte of the current request was read
	requestBegun   bool       // a byte of a request has been read, and the request has not ended
	nextBegun      bool       // a byte of the request behind the open one has been read ahead
	framer         requestFramer
	finished       int       // requests that have ended
	closeRequested bool      // the connection closes unless a byte is read first
	readDeadline   time.Time // the server's read deadline; zero if there is none
	// deadlineSet is set once the server has set a deadline for the wait for a request. It sets the next one when it has
	// got the first bytes, which it may have held already, or got of those that were read ahead.
	deadlineSet   bool
	onDisconnect  context.CancelFunc // called when the client of the open request disconnects; nil if none is open
	buffered      []byte             // bytes read behind the open request
	readErr       error              // error that Read returns after buffered
	readAheadDone chan struct{}      // closed when the goroutine that reads ahead has ended; nil if there is none
}

// Read implements net.Conn. During an open request, net/http reads one byte to detect that the client disconnects.
// After it has got a byte it stops reading, and would miss a later disconnect. clientConn then reads ahead itself.
func (c *clientConn) Read(b []byte) (int, error) {
	c.stopReadAhead()
	n, err := c.readBuffered(b)
	if n == 0 && err == nil {
		n, err = c.readSocket(b)
	}
	if failed := c.chargeHead(b[:n]); failed != nil {
		return 0, failed
	}
	c.observe(b[:n], n == 1 && len(b) == 1)
	if n == 1 && len(b) == 1 {
		c.startReadAhead()
	}
	return n, err
}

// readSocket reads from the socket.
func (c *clientConn) readSocket(b []byte) (int, error) {
	if c.discardOnly.Load() && c.requestBytes > maxDiscardedBytes {
		return 0, io.EOF
	}
	n, err := transient.Read(c.Conn, b)
	if n > 0 {
		c.awaitTurn(n)
		c.markRequestBegun()
		c.received.Store(true)
		c.recordProgress()
	}
	c.recordReadError(err)
	return n, err
}

// awaitTurn waits until bytes of a large request may be processed. Small requests do not wait for large ones.
func (c *clientConn) awaitTurn(received int) {
	c.requestBytes += received
	if c.requestBytes <= maxPromptBytes {
		return
	}
	time.Sleep(c.tracker.Work.Use(float64(received)))
}

// awaitAnswerTurn waits until a further request of this connection may be handled. A client whose requests no
// backend answers, such as malformed or expired ones, gets answerRate answers per second, or less if many clients want more
// than answerBurst.
func (c *clientConn) awaitAnswerTurn() {
	c.requestAt = time.Now()
	c.served = false
	if wait := c.nextAnswerAt.Sub(c.requestAt); wait > 0 {
		time.Sleep(wait)
	}
}

// answered records that a request was handled.
func (c *clientConn) answered() {
	if c.served {
		return
	}
	wait := c.answers.Use(1)
	wantsMore := wait > 0
	if others := c.tracker.Answers.Use(1); wantsMore {
		wait = max(wait, others)
	}
	c.nextAnswerAt = time.Now().Add(wait)
}

// discardRest bounds how much of the rest of a rejected request is read.
func (c *clientConn) discardRest() {
	c.requestBytes = 0
	c.discardOnly.Store(true)
}

// recordProgress records that the client has sent a part of a request that the server waits for.
func (c *clientConn) recordProgress() {
	c.mu.Lock()
	handling := c.handling
	c.mu.Unlock()
	if !handling {
		c.memory.Await()
	}
}

// startHandling records that the head of a request has been read. It returns false if the memory of the connection was
// reclaimed.
func (c *clientConn) startHandling() bool {
	c.setHandling(true)
	return c.memory.Resume()
}

// headBegunAt returns when the head of a request that is arriving has begun; false if there is none.
func (c *clientConn) headBegunAt() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begunAt, c.requestBegun && !c.handling && !c.begunAt.IsZero()
}

// startBody records that the server waits for the body of a request.
func (c *clientConn) startBody() {
	c.setHandling(false)
	c.memory.Await()
}

func (c *clientConn) setHandling(handling bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = handling
}

// reclaim makes the server give up a request that has not been read completely, because memory is short.
func (c *clientConn) reclaim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reclaimed.Store(true)
	c.interruptRead()
}

// errHeadRejected is returned to the server for a head that has been answered already. It is of a kind to which the
// server does not respond.
var errHeadRejected = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("head of a request rejected")}

// chargeHead charges the memory of the head of a request as it arrives. It responds to the client and returns
// errHeadRejected if the head has too many fields, or memory is short.
func (c *clientConn) chargeHead(read []byte) error {
	head := c.head.observe(read)
	switch {
	case c.reclaimed.Load() && head.size > 0 && !head.complete:
		return c.rejectHead(errMemoryShort)
	case head.fields > maxHeadFields:
		return c.rejectHead(errTooManyFields)
	}
	size := head.memory()
	if size <= c.headMemory {
		return nil
	}
	if !c.memory.Grow(size - c.headMemory) {
		return c.rejectHead(errMemoryShort)
	}
	c.headMemory = size
	return nil
}

// rejectHead responds to a request whose head is not read to its end. The connection closes.
func (c *clientConn) rejectHead(reason *requestError) error {
	c.tracker.Metrics.CountFailedUnsent(reason.cause())
	c.tracker.log.Info("request head rejected", zap.Stringer("client", c.RemoteAddr()), zap.Error(reason))
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rejectedBodyGrace)) // fails only on a closed connection
	_, _ = c.Write(rejectionText(reason))                          // fails only if the client has disconnected
	return errHeadRejected
}

// observe records bytes that the server has got. behind is set if they follow the open request.
func (c *clientConn) observe(read []byte, behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framer.observe(read)
	c.nextBegun = c.nextBegun || behind && beginsRequest(read)
}

// recordReadError records whether a read failed because of a deadline or because the client closed the connection.
func (c *clientConn) recordReadError(err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.readTimedOut.Store(true)
	case err != nil && !errors.Is(err, net.ErrClosed):
		c.peerClosed.Store(true)
	}
}

// markRequestBegun records that a byte of a request has been read, and revokes a close request that came too late.
func (c *clientConn) markRequestBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestBegun {
		c.begunAt = time.Now()
	}
	c.requestBegun = true
	if c.closeRequested {
		c.closeRequested = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only on a closed connection, as does the next read
	}
}

// SetReadDeadline implements net.Conn. While a close is requested, the server's deadline is stored but not set. A zero
// time, or any but the first deadline of the wait for a request, means that the server has started on a request, whose
// bytes may have been read ahead during the one before.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.reclaimed.Load() {
		return nil
	}
	if t.IsZero() || c.deadlineSet {
		c.requestBegun = true
		c.closeRequested = false
	}
	c.deadlineSet = true
	if c.closeRequested {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// requestFinished records that the request has ended. The next one may have begun.
func (c *clientConn) requestFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished++
	c.requestBegun = c.nextBegun || beginsRequest(c.buffered) || c.framer.begun > c.finished
	c.nextBegun = false
	c.deadlineSet = false
	c.handling = false
}

// closeIfIdle requests the close of the connection if no byte of a request has been read, and reports whether it did
// so. The server closes the connection once its read has failed.
func (c *clientConn) closeIfIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestBegun {
		return false
	}
	c.closeRequested = true
	_ = c.Conn.SetReadDeadline(now) // fails only on a closed connection
	return true
}

// watchDisconnect arranges for cancel to be called if the client disconnects before the returned function is called.
func (c *clientConn) watchDisconnect(cancel context.CancelFunc) (stop func()) {
	set := func(f context.CancelFunc) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.onDisconnect = f
	}
	set(cancel)
	return func() { set(nil) }
}

// notifyDisconnect cancels the open request because its client has disconnected.
func (c *clientConn) notifyDisconnect() {
	c.mu.Lock()
	cancel := c.onDisconnect
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// disconnected reports whether the client has closed the connection, even if the server has not noticed it yet.
func (c *clientConn) disconnected() bool { return c.peerClosed.Load() || backend.PeerClosed(c.Conn) }

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	if !c.responded.Load() {
		c.responded.Store(true)
	}
	return transient.Write(c.Conn, b)
}

// Close implements net.Conn. Closing a socket with unread bytes resets the connection, and the client may lose the part
// of the response that it has not read. After a response only the sending side is therefore closed at first. An idle
// connection is closed at once: a request that arrives then has not been read, and the client sends it again.
func (c *clientConn) Close() error {
	c.stopReadAhead()
	c.discardBuffered()
	if unread, _ := backend.UnreadBytes(c.Conn); unread == 0 || !c.responded.Load() || !c.tracker.acquireLinger(c) {
		return c.closeSocket()
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		c.tracker.releaseLinger()
		return c.closeSocket()
	}
	time.AfterFunc(lingerTime, func() {
		defer c.tracker.releaseLinger()
		_ = c.closeSocket() // the client has had its time, so an error does not matter
	})
	return nil
}

// closeSocket closes the socket, and ends the connection for the client even if another process has a descriptor of it.
func (c *clientConn) closeSocket() error {
	if c.duplicated.Load() {
		_ = backend.ShutdownSocket(c.Conn) // fails only if the client has disconnected
	}
	return c.Conn.Close()
}

// abandon closes this process's descriptor of a connection that another process continues. Unlike Close it never ends
// the sending side, which the other process uses.
func (c *clientConn) abandon() error {
	c.stopReadAhead()
	c.discardBuffered()
	return c.Conn.Close()
}

// silentCloseCause returns why this node has closed the connection without a response; false if it has responded or the
// client has closed the connection. The caller must hold the tracker's lock.
func (c *clientConn) silentCloseCause(nodeStopping bool) (metrics.SilentCloseCause, bool) {
	switch {
	case c.responded.Load() || c.peerClosed.Load():
		return 0, false
	case nodeStopping || c.stopped:
		return metrics.Stopping, true
	case c.closing:
		return metrics.NoCapacity, true
	case c.readTimedOut.Load():
		return metrics.SlowHeader, true
	}
	return metrics.Unreadable, true
}

// evictable reports whether the connection has been idle long enough to be closed in favour of others. The caller must
// hold the tracker's lock.
func (c *clientConn) evictable(now time.Time) bool {
	minimumIdle := minimumIdleTime
	if !c.received.Load() {
		minimumIdle = minimumSilentTime
	}
	return !c.active && !c.closing && now.Sub(c.stateChangedAt) >= minimumIdle
}
