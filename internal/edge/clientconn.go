package edge

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"standpoint/internal/backend"
	"standpoint/internal/metrics"
	"standpoint/internal/transient"
)

const (
	// lingerTime is how long a client that has sent more may take its answer from a connection that is being closed.
	lingerTime = 500 * time.Millisecond
	// maxLingering is how many connections may linger at once.
	maxLingering = 32
)

// clientConn is a client's connection. Those who close an idle one, and the server, which may be reading a request from
// it just then, meet under its lock: either nothing has been read and nothing will be, or the request is read on and
// gets its answer. It is safe for concurrent use, as net.Conn demands.
type clientConn struct {
	net.Conn
	tracker *ConnectionTracker
	head    headParser // of the request that is being read

	received     atomic.Bool // something has come on it
	responded    atomic.Bool // something has been written on it
	peerClosed   atomic.Bool // its client has ended it
	readTimedOut atomic.Bool // a read deadline has passed

	// The tracker's lock guards these.
	active       bool      // a request is open
	since        time.Time // since when it is active, or idle
	headReceived bool      // a complete head has come on it
	closing      bool      // it was asked to close, and counts no longer against the limit
	stopped      bool      // it was closed because the node stops

	mu             sync.Mutex         // guards all below
	requestBegun   bool               // something has come of a request that the server has not taken yet
	closeRequested bool               // it closes unless something comes first
	readDeadline   time.Time          // the server's; zero: none
	onDisconnect   context.CancelFunc // called when the client disconnects from its open request; nil: none is open
	buffered       []byte             // read behind the open request, for the next
	readErr        error              // what a read returns after buffered
	readAheadDone  chan struct{}      // closed when the reading ahead has ended; nil: there is none
}

// Read implements net.Conn. Behind an open request net/http reads one byte to find out whether the client disconnects.
// Once one has come it looks no further, so that a disconnection behind it would go unnoticed: clientConn then reads
// ahead itself.
func (c *clientConn) Read(b []byte) (int, error) {
	c.stopReadAhead()
	if n, err := c.readBuffered(b); n > 0 || err != nil {
		return n, err
	}
	n, err := transient.Read(c.Conn, b)
	if n > 0 {
		c.noteReceived()
		c.received.Store(true)
	}
	c.head.observe(b[:n])
	c.noteReadError(err)
	if n == 1 && len(b) == 1 {
		c.startReadAhead()
	}
	return n, err
}

// noteReadError notes why nothing more comes, if that is so.
func (c *clientConn) noteReadError(err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.readTimedOut.Store(true)
	case err != nil && !errors.Is(err, net.ErrClosed):
		c.peerClosed.Store(true)
	}
}

// noteReceived notes that something of a request has come: whoever asked the connection to close meanwhile was too
// late.
func (c *clientConn) noteReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestBegun = true
	if c.closeRequested {
		c.closeRequested = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails on a closed connection alone, as does the next read
	}
}

// SetReadDeadline implements net.Conn. While the connection is asked to close the server's deadline is kept, and not
// set. A zero time tells that the server has come to a request, whose bytes may have been read behind the one before.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if t.IsZero() {
		c.requestBegun = true
		c.closeRequested = false
	}
	if c.closeRequested {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// requestFinished tells that its request is over.
func (c *clientConn) requestFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestBegun = false
}

// closeIfIdle has the connection close if nothing of a request has come, and reports whether that is so. It is not
// closed here: the server does that once its read has failed.
func (c *clientConn) closeIfIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestBegun {
		return false
	}
	c.closeRequested = true
	_ = c.Conn.SetReadDeadline(now) // fails on a closed connection alone
	return true
}

// watchDisconnect has cancel called if the client disconnects while its request is open, until the returned function
// is called.
func (c *clientConn) watchDisconnect(cancel context.CancelFunc) (stop func()) {
	set := func(f context.CancelFunc) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.onDisconnect = f
	}
	set(cancel)
	return func() { set(nil) }
}

// notifyDisconnect tells the open request that its client has disconnected.
func (c *clientConn) notifyDisconnect() {
	c.mu.Lock()
	cancel := c.onDisconnect
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// disconnected reports whether the client has ended the connection, even if the server has not come to see that.
func (c *clientConn) disconnected() bool { return c.peerClosed.Load() || backend.PeerClosed(c.Conn) }

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	if !c.responded.Load() {
		c.responded.Store(true)
	}
	return transient.Write(c.Conn, b)
}

// Close implements net.Conn. To close a connection with unread bytes resets it, and what its client has not taken of
// its answer may be lost: behind an answer only the sending side is closed at first. An idle connection is closed at
// once: what comes on it then nobody has read, and its client sends it again.
func (c *clientConn) Close() error {
	c.stopReadAhead()
	c.discardBuffered()
	if unread, _ := backend.UnreadBytes(c.Conn); unread == 0 || !c.responded.Load() || !c.tracker.acquireLinger(c) {
		return c.Conn.Close()
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		c.tracker.releaseLinger()
		return c.Conn.Close()
	}
	time.AfterFunc(lingerTime, func() {
		defer c.tracker.releaseLinger()
		_ = c.Conn.Close() // the client has had its time; nobody is left to tell
	})
	return nil
}

// silentCloseCause returns why this node has closed the connection without an answer; false if that is not so. The
// caller holds the tracker's lock.
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

// evictable reports whether the connection has been idle for long enough to be closed for others. The caller holds the
// tracker's lock.
func (c *clientConn) evictable(now time.Time) bool {
	minimumIdle := minimumIdleTime
	if !c.received.Load() {
		minimumIdle = minimumSilentTime
	}
	return !c.active && !c.closing && now.Sub(c.since) >= minimumIdle
}
