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
	aheadStart = 4 << 10
	aheadKept  = 1 << 20                // bytes read of what a client sends behind an open request; one that sends more does not wait for its answer
	aheadAll   = 8 << 20                // and of what all do; beyond them nothing is read ahead
	lingerTime = 500 * time.Millisecond // for a client to take its answer from a connection that it has sent more on
	lingerMost = 32                     // connections that do so at once
)

// clientConn is one client connection. Those who close one that rests, and the server, which may be reading a request from it just
// then, meet under its lock: either nothing has been read and nothing will be, or the request is read on and gets its answer.
type clientConn struct {
	net.Conn
	room          *ConnectionTracker
	heard         atomic.Bool // something has come on it
	busy, leaving bool        // under the room's lock, like asked, cleared and since. busy: a request is open, else it has rested since then
	asked         bool        // a whole head has come on it
	cleared       bool        // ended because the node stops
	answered      atomic.Bool
	gone          atomic.Bool // its client has ended it
	late          atomic.Bool // its time to be read from is over
	head          head        // of the request that comes
	since         time.Time

	mu     sync.Mutex
	begun  bool               // something has come of a request that the server has not taken yet
	going  bool               // it is to end unless something comes first
	until  time.Time          // until when the server would read; zero: for good
	left   context.CancelFunc // told when the client leaves while its request is open; nil: none is
	ahead  []byte             // read behind the open request, for the next
	failed error              // behind ahead
	pump   chan struct{}      // closed when what reads ahead has ended; nil: nothing does
}

// Read implements net.Conn. Behind an open request net/http reads one byte to find out whether the client leaves. Once one has
// come it looks no further, so that what leaves behind it would not be noticed: the place then reads ahead itself.
func (p *clientConn) Read(b []byte) (int, error) {
	p.stopAhead()
	if n, err := p.fromAhead(b); n > 0 || err != nil {
		return n, err
	}
	n, err := transient.Read(p.Conn, b)
	if n > 0 {
		p.came()
		p.heard.Store(true)
	}
	p.head.note(b[:n])
	p.ended(err)
	if n == 1 && len(b) == 1 {
		p.readAhead()
	}
	return n, err
}

// ended notes why nothing more comes, if that is so.
func (p *clientConn) ended(err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.late.Store(true)
	case err != nil && !errors.Is(err, net.ErrClosed):
		p.gone.Store(true)
	}
}

// came notes that something of a request has: whoever asked the connection to go meanwhile was too late.
func (p *clientConn) came() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = true
	if p.going {
		p.going = false
		_ = p.Conn.SetReadDeadline(p.until)
	}
}

// SetReadDeadline implements net.Conn. The server takes the deadline away once the first bytes of a request have come; of those
// behind the request before they may have come with it.
func (p *clientConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = t
	if t.IsZero() {
		p.begun, p.going = true, false
	}
	if p.going {
		return nil
	}
	return p.Conn.SetReadDeadline(t)
}

// rests tells that its request is over.
func (p *clientConn) rests() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = false
}

// end has the connection end if nothing of a request has come. False: something has.
func (p *clientConn) end(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.begun {
		return false
	}
	p.going = true
	_ = p.Conn.SetReadDeadline(now)
	return true
}

// watch has left told if the client leaves while its request is open, until the returned function is called.
func (p *clientConn) watch(left context.CancelFunc) (done func()) {
	set := func(f context.CancelFunc) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.left = f
	}
	set(left)
	return func() { set(nil) }
}

// readAhead begins to read what comes behind an open request.
func (p *clientConn) readAhead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left == nil {
		return
	}
	over := make(chan struct{})
	p.pump = over
	go func() {
		defer close(over)
		p.takeAhead()
	}()
}

// takeAhead reads until the client leaves, or is taken to, or its request is over.
func (p *clientConn) takeAhead() {
	b := make([]byte, aheadStart)
	for kept := 0; p.room.ahead.Load() < aheadAll; {
		n, err := transient.Read(p.Conn, b)
		p.room.ahead.Add(int64(n))
		kept += n
		late := errors.Is(err, os.ErrDeadlineExceeded) // stopAhead, or the server, whose request is over
		p.mu.Lock()
		p.ahead = append(p.ahead, b[:n]...)
		if err != nil && !late {
			p.failed = err
		}
		p.mu.Unlock()
		switch {
		case late:
			return
		case err != nil || kept > aheadKept:
			p.ended(err)
			p.leave()
			return
		}
	}
}

// leave tells the open request that its client has left.
func (p *clientConn) leave() {
	p.mu.Lock()
	left := p.left
	p.mu.Unlock()
	if left != nil {
		left()
	}
}

// stopAhead ends the reading ahead, if there is any.
func (p *clientConn) stopAhead() {
	p.mu.Lock()
	over := p.pump
	if over == nil {
		p.mu.Unlock()
		return
	}
	_ = p.Conn.SetReadDeadline(time.Unix(1, 0))
	p.mu.Unlock()
	<-over
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pump = nil
	if !p.going { // else the deadline is over, and is to be
		_ = p.Conn.SetReadDeadline(p.until)
	}
}

// fromAhead hands out what was read ahead.
func (p *clientConn) fromAhead(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ahead) == 0 {
		return 0, p.failed
	}
	n := copy(b, p.ahead)
	if p.ahead = p.ahead[n:]; len(p.ahead) == 0 {
		p.ahead = nil
	}
	p.room.ahead.Add(int64(-n))
	p.head.note(b[:n])
	return n, nil
}

// hasLeft tells that the client has ended the connection, whether the server has come to see that or not.
func (p *clientConn) hasLeft() bool { return p.gone.Load() || backend.PeerClosed(p.Conn) }

// saidMore tells that the client has sent something behind its open request.
func (p *clientConn) saidMore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pump != nil || len(p.ahead) > 0
}

// Write implements net.Conn.
func (p *clientConn) Write(b []byte) (int, error) {
	if !p.answered.Load() {
		p.answered.Store(true)
	}
	return transient.Write(p.Conn, b)
}

// Close implements net.Conn. A close over bytes that nobody has read resets the connection, and what its client has not taken of
// its answer may go with it: behind an answer only the sending ends at first. A connection that rests is closed at once: what comes
// on it then nobody has read, and its client sends it again.
func (p *clientConn) Close() error {
	p.stopAhead()
	p.dropAhead()
	if n, _ := backend.UnreadBytes(p.Conn); n == 0 || !p.answered.Load() || !p.room.linger(p) {
		return p.Conn.Close()
	}
	half, ok := p.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		p.room.lingered()
		return p.Conn.Close()
	}
	time.AfterFunc(lingerTime, func() {
		defer p.room.lingered()
		_ = p.Conn.Close()
	})
	return nil
}

// dropAhead forgets what was read ahead; nobody will ask for it.
func (p *clientConn) dropAhead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.room.ahead.Add(int64(-len(p.ahead)))
	p.ahead = nil
	if p.failed == nil {
		p.failed = net.ErrClosed
	}
}

// unheard says why a connection was closed by this node with no answer; false: it was not.
func (p *clientConn) unheard(stopping bool) (metrics.SilentCloseCause, bool) {
	switch {
	case p.answered.Load() || p.gone.Load():
		return 0, false
	case stopping || p.cleared:
		return metrics.Stopping, true
	case p.leaving:
		return metrics.NoCapacity, true
	case p.late.Load():
		return metrics.SlowHeader, true
	}
	return metrics.Unreadable, true
}

// mayGo tells that the connection has rested for long enough to be closed where places are short.
func (p *clientConn) mayGo(now time.Time) bool {
	rest := restTime
	if !p.heard.Load() {
		rest = silentTime
	}
	return !p.busy && !p.leaving && now.Sub(p.since) >= rest
}
