package edge

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/memory"
	"standpoint/internal/metrics"
	"standpoint/internal/transient"
	"standpoint/internal/work"
)

const (
	// minimumIdleTime is how long a connection must have been idle before it may be evicted.
	minimumIdleTime = 2 * time.Second
	// minimumSilentTime is the same for a connection on which nothing has been received: clients that have a request
	// send it at once, and hundreds of clients may connect at once without sending anything.
	minimumSilentTime = 250 * time.Millisecond
	// minimumHeadTime is how long the head of a request may take to arrive while the limit is reached.
	minimumHeadTime = 500 * time.Millisecond
	// capacityInterval is the time between two attempts to free capacity while the limit is reached.
	capacityInterval = 20 * time.Millisecond
	// closeTimeout bounds the wait for the listener to close.
	closeTimeout = 50 * time.Millisecond
	// limitWarningInterval is the minimum time between two log lines about the limit.
	limitWarningInterval = time.Second
	// connectionMemory is the memory of a connection without a request, in bytes: its buffers, and the stack of the
	// goroutine that serves it.
	connectionMemory = 16 << 10
	// requestMemory is the memory of an open request beside its head and body, in bytes: stacks and buffers of its
	// handler and its attempt, and of the connection to the backend.
	requestMemory = 48 << 10
)

// ConnectionTracker is the listener of the client connections. It limits their number: when the limit is nearly
// reached, it closes the connections that have been idle longest, so that clients that keep unused or silent
// connections cannot shut out others. It drains the connections on shutdown. It is safe for concurrent use.
type ConnectionTracker struct {
	net.Listener
	// Memory bounds what the connections and their requests hold; nil sets no bound. It is set before the tracker is used.
	Memory *memory.Budget
	// Work bounds the rate, in bytes per second, at which large requests of all connections are processed; nil sets no
	// bound. It is set before the tracker is used.
	Work *work.Limiter
	// Requests bounds the rate, per second, at which requests are admitted; further ones are rejected. nil sets no bound. It
	// is set before the tracker is used.
	Requests *work.Limiter
	// Answers bounds the rate of answers, per second, to requests that no backend answers, of all connections together; nil
	// sets no bound. It is set before the tracker is used.
	Answers *work.Limiter
	// Metrics counts the connections that are closed without a response; it may be nil. It is set before the tracker is
	// used.
	Metrics *metrics.Counters

	log       *zap.Logger
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
	slotFreed chan struct{} // holds a token after a connection has ended

	lingering     atomic.Int32 // half-closed connections
	bufferedBytes atomic.Int64 // bytes read behind open requests

	mu                 sync.Mutex // guards the fields below
	maxConnections     int
	conns              map[*clientConn]bool
	closing            int           // number of connections whose close has been requested
	stopDraining       chan struct{} // closed to stop draining; nil while not draining
	closeAfterResponse bool          // connections close when their requests end
	lastWarning        time.Time     // when the limit was last logged
}

// NewConnectionTracker wraps a listener, with a limit of maximum connections. It continues to accept after transient
// errors. The server must call ConnState.
func NewConnectionTracker(l net.Listener, maximum int, log *zap.Logger) *ConnectionTracker {
	return &ConnectionTracker{
		Listener:       transient.NewListener(l, log),
		log:            log,
		closed:         make(chan struct{}),
		slotFreed:      make(chan struct{}, 1),
		maxConnections: maximum,
		conns:          map[*clientConn]bool{},
	}
}

// Resize changes the maximum number of connections.
func (t *ConnectionTracker) Resize(maximum int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConnections = maximum
}

// Accept implements net.Listener. It waits until the limit allows a connection, then accepts one.
func (t *ConnectionTracker) Accept() (net.Conn, error) {
	for !t.ensureCapacity(time.Now()) {
		select {
		case <-t.closed:
			return nil, net.ErrClosed
		case <-t.slotFreed:
		case <-time.After(capacityInterval): // by then, other connections may be evictable
		}
	}
	accepted, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	limitSocketBuffers(accepted)
	conn := &clientConn{
		Conn:           accepted,
		tracker:        t,
		answers:        work.NewLimiter(answerRate, answerBurst),
		stateChangedAt: time.Now(),
	}
	conn.memory = t.Memory.Open(connectionMemory, conn.reclaim)
	t.conns[conn] = true
	return conn, nil
}

// limitSocketBuffers limits the kernel's buffers of a connection.
func limitSocketBuffers(conn net.Conn) {
	socket, ok := conn.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	})
	if ok {
		_ = socket.SetReadBuffer(socketBufferSize)  // an error leaves the kernel's own sizes
		_ = socket.SetWriteBuffer(socketBufferSize) // as above
	}
}

// Close implements net.Listener: it stops accepting. Open connections remain. It does not wait for an accept that blocks
// in the kernel until the next client connects, as it may on a socket that other processes have too: each of them can
// make it a blocking one.
func (t *ConnectionTracker) Close() error {
	t.closeOnce.Do(func() { close(t.closed) })
	closed := make(chan error, 1)
	go func() { closed <- t.Listener.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeTimeout):
		return nil
	}
}

func (t *ConnectionTracker) isClosed() bool {
	select {
	case <-t.closed:
		return true
	default:
		return false
	}
}

// ensureCapacity reports whether the limit allows another connection. Once the last eighth of the limit is in use, it
// evicts as many connections as needed to free that eighth.
func (t *ConnectionTracker) ensureCapacity(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if excess := len(t.conns) - t.closing - (t.maxConnections - t.maxConnections/8); excess >= 0 {
		t.evict(excess+1, now)
	}
	if len(t.conns) < t.maxConnections && t.Memory.HasCapacity(connectionMemory) {
		return true
	}
	if now.Sub(t.lastWarning) > limitWarningInterval {
		t.lastWarning = now
		t.logLimitReached(now)
	}
	return false
}

// evict requests the close of up to count connections, those that have been idle longest. The caller must hold the
// lock.
func (t *ConnectionTracker) evict(count int, now time.Time) {
	var idle []*clientConn
	for conn := range t.conns {
		if conn.evictable(now) {
			idle = append(idle, conn)
		}
	}
	slices.SortFunc(idle, func(a, b *clientConn) int { return a.stateChangedAt.Compare(b.stateChangedAt) })
	for _, conn := range idle[:min(len(idle), count)] {
		t.requestClose(conn, now)
	}
	if missing := count - len(idle); missing > 0 && len(t.conns) >= t.maxConnections {
		t.rejectSlowHeads(missing, now)
	}
}

// rejectSlowHeads rejects up to count requests whose heads have been arriving for longer than minimumHeadTime, the oldest
// first. The caller must hold the lock.
func (t *ConnectionTracker) rejectSlowHeads(count int, now time.Time) {
	begun := map[*clientConn]time.Time{}
	var slow []*clientConn
	for conn := range t.conns {
		if at, ok := conn.headBegunAt(); ok && !conn.active && !conn.closing && now.Sub(at) >= minimumHeadTime {
			begun[conn] = at
			slow = append(slow, conn)
		}
	}
	slices.SortFunc(slow, func(a, b *clientConn) int { return begun[a].Compare(begun[b]) })
	for _, conn := range slow[:min(len(slow), count)] {
		conn.closing = true
		t.closing++
		conn.reclaim()
	}
}

// requestClose requests the close of an idle connection, unless a byte of a request has been read. The caller must hold
// the lock.
func (t *ConnectionTracker) requestClose(conn *clientConn, now time.Time) {
	if conn.closeIfIdle(now) {
		conn.closing = true
		t.closing++
	}
}

// logLimitReached logs the number of connections in each state while no more are accepted. The caller must hold the
// lock.
func (t *ConnectionTracker) logLimitReached(now time.Time) {
	var active, silent, withoutHead int
	var longest time.Duration
	for conn := range t.conns {
		switch {
		case conn.active:
			active++
			longest = max(longest, now.Sub(conn.stateChangedAt))
		case !conn.received.Load():
			silent++
		case !conn.headReceived:
			withoutHead++
		}
	}
	t.log.Warn("client connection limit reached", zap.Int("connections", len(t.conns)), zap.Int("active", active),
		zap.Duration("longest_request", longest), zap.Int("silent", silent), zap.Int("without_head", withoutHead),
		zap.Int("closing", t.closing), zap.Int64("read_ahead", t.bufferedBytes.Load()),
		zap.Int("memory_charged", t.Memory.Used()))
}

// halfFull reports whether half of the limit is in use. Connections then close after their responses: hundreds of
// clients that send one request each and stay connected would otherwise shut out others until the idle timeout.
func (t *ConnectionTracker) halfFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) >= t.maxConnections/2
}

// ConnState tracks the states of the connections. It is the ConnState callback of the http.Server.
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
		conn.stateChangedAt = time.Now()
	case http.StateIdle:
		t.connIdle(conn)
	case http.StateClosed, http.StateHijacked:
		t.remove(conn)
	}
}

// countSilentClose counts a connection that this node has closed without a response. The caller must hold the lock.
func (t *ConnectionTracker) countSilentClose(conn *clientConn) {
	cause, ok := conn.silentCloseCause(t.stopDraining != nil || t.isClosed())
	if !ok {
		return
	}
	t.Metrics.CountSilentClose(cause)
	t.log.Info("client connection closed without a response", zap.Stringer("client", conn.RemoteAddr()),
		zap.String("cause", metrics.SilentCloseCauseNames[cause]), zap.Bool("received", conn.received.Load()))
}

// connIdle records that the request on a connection has ended. The caller must hold the lock.
func (t *ConnectionTracker) connIdle(conn *clientConn) {
	conn.active = false
	conn.stateChangedAt = time.Now()
	conn.head.connectionIdle()
	conn.requestFinished()
	conn.headMemory = 0
	conn.requestBytes = 0
	conn.memory.Reset()
	if t.closeAfterResponse {
		t.requestClose(conn, conn.stateChangedAt)
	}
}

// remove removes a connection and wakes Accept. The caller must hold the lock.
func (t *ConnectionTracker) remove(conn *clientConn) {
	delete(t.conns, conn)
	conn.memory.Close()
	select {
	case t.slotFreed <- struct{}{}:
	default:
	}
}

// acquireLinger acquires one of maxLingering slots for half-closed connections, and reports whether it did so. Only a
// connection with an open request may have one. releaseLinger releases the slot.
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

// Pipelined returns the number of connections on which bytes have been received behind an open request.
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
