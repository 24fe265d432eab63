package edge

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// drainIdleTime is how long a connection has been idle that is closed while the node is drained by hand. None is
	// closed earlier than that after the draining began either: its client connects anew at once, and would come back
	// before the platform's load balancer has noticed.
	drainIdleTime = 400 * time.Millisecond
	// drainInterval is the time between two looks for such connections.
	drainInterval = 50 * time.Millisecond
	// shutdownInterval is the time between two looks for idle connections while the node shuts down.
	shutdownInterval = 10 * time.Millisecond
	// closeIdleGrace is how long the rest of a request may take to arrive as idle connections are closed.
	closeIdleGrace = 30 * time.Millisecond
)

// SetDraining starts or stops the draining by hand: idle connections are closed until clients may stay again, or until
// none is left of a closed tracker. A call that changes nothing does nothing.
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

// closeWhileDraining closes idle connections once the time for it has come. An answer that began before the draining
// could not say that its connection ends: from then on that ends with the answer.
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

// closeIdleSince has the connections close that have been idle for so long, and returns how many there are in all. It
// does nothing once stop is closed; nil: it is not.
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
		if mayClose && now.Sub(conn.since) >= minimumIdle {
			t.requestClose(conn, now)
		}
	}
	return len(t.conns)
}

// Drain ends the accepting, and has every connection close on which no request is open, until none is left or ctx ends,
// whose error it returns then. What has come of a request is read on and answered. A connection on which nothing has
// come at all may stay until the server shuts it out: its client may be about to send.
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

// CloseIdle closes the connections on which no request is open. A request that crosses that is sent again elsewhere;
// one that came a moment before the process is killed would get no answer. A connection on which something of a request
// has come gets a moment for the rest.
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
			_ = conn.Conn.SetReadDeadline(now.Add(closeIdleGrace)) // fails on a closed connection alone
		}
	}
}
