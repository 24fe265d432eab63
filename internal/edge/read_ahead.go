package edge

import (
	"errors"
	"net"
	"os"
	"time"

	"standpoint/internal/transient"
)

const (
	readAheadSize = 4 << 10 // of one read
	// maxConnReadAhead is how many bytes are read of what one client sends behind an open request; one that sends more
	// does not wait for its answer.
	maxConnReadAhead = 1 << 20
	// maxTotalReadAhead is the same of all clients; beyond it nothing is read ahead.
	maxTotalReadAhead = 8 << 20
)

// startReadAhead starts to read what comes behind an open request.
func (c *clientConn) startReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.onDisconnect == nil {
		return
	}
	done := make(chan struct{})
	c.readAheadDone = done
	go func() { // stopReadAhead ends it and waits for it
		defer close(done)
		c.readAhead()
	}()
}

// readAhead reads until the client disconnects, or is taken to have done so, or its request is over.
func (c *clientConn) readAhead() {
	b := make([]byte, readAheadSize)
	for total := 0; c.tracker.bufferedBytes.Load() < maxTotalReadAhead; {
		n, err := transient.Read(c.Conn, b)
		c.tracker.bufferedBytes.Add(int64(n))
		total += n
		stopped := errors.Is(err, os.ErrDeadlineExceeded) // by stopReadAhead, or by the server, whose request is over
		c.mu.Lock()
		c.buffered = append(c.buffered, b[:n]...)
		if err != nil && !stopped {
			c.readErr = err
		}
		c.mu.Unlock()
		switch {
		case stopped:
			return
		case err != nil || total > maxConnReadAhead:
			c.noteReadError(err)
			c.notifyDisconnect()
			return
		}
	}
}

// stopReadAhead ends the reading ahead, if there is any, and waits for its end.
func (c *clientConn) stopReadAhead() {
	c.mu.Lock()
	done := c.readAheadDone
	if done == nil {
		c.mu.Unlock()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // one that is past; fails on a closed connection alone
	c.mu.Unlock()
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAheadDone = nil
	if !c.closeRequested { // else the deadline is past, and is to be
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// readBuffered returns what was read ahead.
func (c *clientConn) readBuffered(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.buffered) == 0 {
		return 0, c.readErr
	}
	n := copy(b, c.buffered)
	c.buffered = c.buffered[n:]
	if len(c.buffered) == 0 {
		c.buffered = nil
	}
	c.tracker.bufferedBytes.Add(int64(-n))
	c.head.observe(b[:n])
	return n, nil
}

// pipelined reports whether the client has sent something behind its open request.
func (c *clientConn) pipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAheadDone != nil || len(c.buffered) > 0
}

// discardBuffered drops what was read ahead; nobody will read it.
func (c *clientConn) discardBuffered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.bufferedBytes.Add(int64(-len(c.buffered)))
	c.buffered = nil
	if c.readErr == nil {
		c.readErr = net.ErrClosed
	}
}
