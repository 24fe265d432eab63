package edge

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// drainIdleTime is the idle time after which a connection is closed during a manual drain. It is also the time from
	// the start of the drain to the first close: a client reconnects at once, and would reach this node again before
	// the platform's load balancer has noticed the drain.
	drainIdleTime = 400 * time.Millisecond
	// drainInterval is the time between two searches for such connections.
	drainInterval = 50 * time.Millisecond
	// shutdownInterval is the time between two searches for idle connections during shutdown.
	shutdownInterval = 10 * time.Millisecond
	// closeIdleGrace is how long the rest of a request may take to arrive after CloseIdle.
	closeIdleGrace = 30 * time.Millisecond
)

// SetDraining starts or stops a manual drain, during which idle connections are closed. A drain also ends once the
// tracker is closed and has no connections left. A call that changes nothing has no effect.
func (t *ConnectionTracker) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case draining && t.stopDraining == nil:
		t.stopDraining = make(chan struct{})
		go t.closeWhileDraining(time.Now(), t.stopDraining)
	case !draining && t.stopDraining != nil:
		close(t.stopDraining)
		t.stopDraining = nil
		t.closeAfterResponse = false
	}
}

// closeWhileDraining closes idle connections from drainIdleTime after the start of the drain. From then on connections
// also close after their responses, even if those began before the drain and have no "Connection: close" header.
func (t *ConnectionTracker) closeWhileDraining(started time.Time, stop <-chan struct{}) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			if now.Sub(started) < drainIdleTime {
				continue
			}
			if t.closeIdleSince(now, drainIdleTime, stop) == 0 && t.isClosed() {
				return
			}
		}
	}
}

// closeIdleSince requests the close of the connections that have been idle for minimumIdle, and returns the number of
// all connections. Connections on which no request head has been received are closed only during a manual drain. It
// closes none once stop is closed; a nil stop never is.
func (t *ConnectionTracker) closeIdleSince(now time.Time, minimumIdle time.Duration, stop <-chan struct{}) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-stop:
		return len(t.conns)
	default:
	}
	t.closeAfterResponse = true
	for conn := range t.conns {
		mayClose := !conn.active && !conn.closing && (conn.headReceived || t.stopDraining != nil)
		if mayClose && now.Sub(conn.stateChangedAt) >= minimumIdle {
			t.requestClose(conn, now)
		}
	}
	return len(t.conns)
}

// Drain stops accepting and closes every connection without an open request, until none is left or ctx is done, whose
// error it then returns. A request of which a byte has been read is read completely and gets a response. A connection
// on which nothing has been received may stay until the server's read timeout, since its client may be about to send.
func (t *ConnectionTracker) Drain(ctx context.Context) error {
	if err := t.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	ticker := time.NewTicker(shutdownInterval)
	defer ticker.Stop()
	for t.closeIdleSince(time.Now(), 0, nil) > 0 || t.lingering.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// CloseIdle closes the connections without an open request. A client whose request crosses the close sends it again to
// another node; on an open connection, a request just before the process is killed would get no response. A connection
// on which a part of a request has been received stays open for closeIdleGrace.
func (t *ConnectionTracker) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for conn := range t.conns {
		switch {
		case conn.active:
		case conn.closeIfIdle(now):
			conn.stopped = true
		default:
			conn.stopped = true
			_ = conn.Conn.SetReadDeadline(now.Add(closeIdleGrace)) // fails only on a closed connection
		}
	}
}
