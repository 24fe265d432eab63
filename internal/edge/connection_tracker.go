package edge

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/metrics"
	"standpoint/internal/transient"
)

const (
	// minimumIdleTime is how long a connection without an open request may stay at the least.
	minimumIdleTime = 2 * time.Second
	// minimumSilentTime is the same for a connection on which nothing has come at all: those who have a request send it
	// at once, and hundreds may connect together to say nothing.
	minimumSilentTime = 250 * time.Millisecond
	// capacityInterval is the time between two attempts to make room, while there is none.
	capacityInterval = 20 * time.Millisecond
	// fullWarningInterval is the time between two log lines that tell of the limit.
	fullWarningInterval = time.Second
)

// ConnectionTracker is the listener of the client connections. It keeps them within their limit: where that is nearly
// reached it closes the connections that have been idle for longest, so that clients that keep connections without
// using them, or say nothing on them, cannot shut others out. It drains them on shutdown. It is safe for concurrent
// use.
type ConnectionTracker struct {
	net.Listener
	// Metrics, if not nil, counts the connections that are closed without an answer. It is set before the tracker is in
	// use.
	Metrics *metrics.Counters

	log       *zap.Logger
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
	slotFreed chan struct{} // holds a token if a connection has ended

	lingering     atomic.Int32 // connections that are half closed
	bufferedBytes atomic.Int64 // read behind open requests

	mu                 sync.Mutex // guards all below
	maximum            int        // connections
	conns              map[*clientConn]bool
	closing            int           // of these, those that were asked to close
	stopDraining       chan struct{} // closed when clients may stay again; nil while not draining
	closeAfterResponse bool          // connections close as their requests end
	warned             time.Time     // when the limit was logged last
}

// NewConnectionTracker wraps a listener. It goes on accepting where an accept fails for a moment. The server must call
// ConnState.
func NewConnectionTracker(l net.Listener, maximum int, log *zap.Logger) *ConnectionTracker {
	return &ConnectionTracker{
		Listener:  transient.NewListener(l, log),
		log:       log,
		closed:    make(chan struct{}),
		slotFreed: make(chan struct{}, 1),
		maximum:   maximum,
		conns:     map[*clientConn]bool{},
	}
}

// Resize changes how many connections there may be.
func (t *ConnectionTracker) Resize(maximum int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maximum = maximum
}

// Accept implements net.Listener: it waits until there is room, then for a connection.
func (t *ConnectionTracker) Accept() (net.Conn, error) {
	for !t.makeRoom(time.Now()) {
		select {
		case <-t.closed:
			return nil, net.ErrClosed
		case <-t.slotFreed:
		case <-time.After(capacityInterval): // by then others have been idle for long enough
		}
	}
	accepted, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := &clientConn{Conn: accepted, tracker: t, since: time.Now()}
	t.conns[conn] = true
	return conn, nil
}

// Close implements net.Listener: it ends the accepting. Connections stay.
func (t *ConnectionTracker) Close() error {
	t.closeOnce.Do(func() { close(t.closed) })
	return t.Listener.Close()
}

func (t *ConnectionTracker) isClosed() bool {
	select {
	case <-t.closed:
		return true
	default:
		return false
	}
}

// makeRoom reports whether there is room for a connection. Once the last eighth of the limit is in use it asks the
// connections that have been idle for longest to close, as many as it takes to have that eighth back.
func (t *ConnectionTracker) makeRoom(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if excess := len(t.conns) - t.closing - (t.maximum - t.maximum/8); excess >= 0 {
		t.evict(excess+1, now)
	}
	if len(t.conns) < t.maximum {
		return true
	}
	if now.Sub(t.warned) > fullWarningInterval {
		t.warned = now
		t.warnFull(now)
	}
	return false
}

// evict asks some connections to close, those that have been idle for longest. The caller holds the lock.
func (t *ConnectionTracker) evict(count int, now time.Time) {
	var idle []*clientConn
	for conn := range t.conns {
		if conn.evictable(now) {
			idle = append(idle, conn)
		}
	}
	slices.SortFunc(idle, func(a, b *clientConn) int { return a.since.Compare(b.since) })
	for _, conn := range idle[:min(len(idle), count)] {
		t.requestClose(conn, now)
	}
}

// requestClose has an idle connection close, unless something of a request has come. The caller holds the lock.
func (t *ConnectionTracker) requestClose(conn *clientConn, now time.Time) {
	if conn.closeIfIdle(now) {
		conn.closing = true
		t.closing++
	}
}

// warnFull logs what the connections are in use for while no more are accepted. The caller holds the lock.
func (t *ConnectionTracker) warnFull(now time.Time) {
	var active, silent, withoutHead int
	var longest time.Duration
	for conn := range t.conns {
		switch {
		case conn.active:
			active++
			longest = max(longest, now.Sub(conn.since))
		case !conn.received.Load():
			silent++
		case !conn.headReceived:
			withoutHead++
		}
	}
	t.log.Warn("client connection limit reached", zap.Int("connections", len(t.conns)), zap.Int("active", active),
		zap.Duration("longest_request", longest), zap.Int("silent", silent), zap.Int("without_head", withoutHead),
		zap.Int("closing", t.closing))
}

// halfFull reports whether half of the limit is in use. Answers then end their connections: clients that come by the
// hundred, send one request and stay would otherwise keep others out for as long as a connection may be idle.
func (t *ConnectionTracker) halfFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) >= t.maximum/2
}

// ConnState follows the connections' states; it is for http.Server.
func (t *ConnectionTracker) ConnState(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn, tracked := c.(*clientConn)
	if !tracked {
		return
	}
	if state == http.StateClosed {
		t.countSilentClose(conn)
	}
	if conn.closing && state != http.StateNew {
		conn.closing = false
		t.closing--
	}
	switch state {
	case http.StateActive:
		conn.active = true
		conn.headReceived = true
		conn.since = time.Now()
	case http.StateIdle:
		t.connIdle(conn)
	case http.StateClosed, http.StateHijacked:
		t.remove(conn)
	}
}

// countSilentClose counts a connection that ends without an answer. The caller holds the lock.
func (t *ConnectionTracker) countSilentClose(conn *clientConn) {
	if cause, ok := conn.silentCloseCause(t.stopDraining != nil || t.isClosed()); ok {
		t.Metrics.CountSilentClose(cause)
	}
}

// connIdle takes in that a connection's request is over. The caller holds the lock.
func (t *ConnectionTracker) connIdle(conn *clientConn) {
	conn.active = false
	conn.since = time.Now()
	conn.head.connectionIdle()
	conn.requestFinished()
	if t.closeAfterResponse {
		t.requestClose(conn, conn.since)
	}
}

// remove forgets a connection and wakes Accept. The caller holds the lock.
func (t *ConnectionTracker) remove(conn *clientConn) {
	delete(t.conns, conn)
	select {
	case t.slotFreed <- struct{}{}:
	default:
	}
}

// acquireLinger takes one of the few places for connections that are half closed, which only one with an open request
// needs; releaseLinger gives it back.
func (t *ConnectionTracker) acquireLinger(conn *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !conn.active || t.lingering.Load() >= maxLingering {
		return false
	}
	t.lingering.Add(1)
	return true
}

func (t *ConnectionTracker) releaseLinger() { t.lingering.Add(-1) }

// Pipelined returns how many clients have sent something behind their open requests.
func (t *ConnectionTracker) Pipelined() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for conn := range t.conns {
		if conn.pipelined() {
			n++
		}
	}
	return n
}
