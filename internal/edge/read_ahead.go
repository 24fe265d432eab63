package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"standpoint/internal/backend"
	"standpoint/internal/clock"
	"standpoint/internal/transient"
)

const (
	// readAheadSize is the buffer size of one read, in bytes.
	readAheadSize = 4 << 10
	// maxConnReadAhead is the maximum number of bytes to read behind an open request of one client. A client that sends
	// more does not wait for its response, and is treated as disconnected.
	maxConnReadAhead = 1 << 20
	// pipelineQuietTime is how long a client that has sent bytes behind its request must have sent no more before an
	// attempt begins: its kernel may hold further bytes, and the end of the connection behind them.
	pipelineQuietTime = 15 * time.Millisecond
	// pipelinePollInterval is the time between two checks whether such a client still sends.
	pipelinePollInterval = 3 * time.Millisecond
	// maxPipelineWait is how long such a client may send on before its request is rejected.
	maxPipelineWait = 400 * time.Millisecond
	// readAheadCost is the memory for a byte that is read ahead: the buffer doubles as it grows.
	readAheadCost = 2
	// maxTotalReadAhead is the number of buffered bytes of all clients together at which reading ahead stops.
	maxTotalReadAhead = 8 << 20
)

// startReadAhead starts to read what the client sends behind an open request.
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

// readAhead reads until the client disconnects, exceeds maxConnReadAhead, or its request has ended, or until
// maxTotalReadAhead is reached.
func (c *clientConn) readAhead() {
	b := make([]byte, readAheadSize)
	for total := 0; c.tracker.bufferedBytes.Load() < maxTotalReadAhead && c.memory.Grow(readAheadCost*len(b)); {
		n, err := transient.Read(c.Conn, b)
		c.memory.Shrink(readAheadCost * (len(b) - n))
		c.readAheadAt.Store(clock.Now())
		c.tracker.bufferedBytes.Add(int64(n))
		c.tracker.Work.Use(float64(n))
		total += n
		stopped := errors.Is(err, os.ErrDeadlineExceeded) // by stopReadAhead, or by the server after the request
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
			c.recordReadError(err)
			c.notifyDisconnect()
			return
		}
	}
}

// errStillSending is the error of a request whose client goes on sending behind it, or has sent more than can be held: it
// cannot be found out whether that client has closed its connection.
var errStillSending = errors.New("client sends on behind its request")

// awaitPipelined returns once all that the client has sent behind its request has been read, since the end of its
// connection comes after that. It returns errStillSending if there is too much.
func (c *clientConn) awaitPipelined(ctx context.Context) error {
	begun := clock.Now()
	for {
		unread, _ := backend.UnreadBytes(c.Conn) // an error means that nothing has arrived
		if unread == 0 && !c.pipelined() {
			return nil
		}
		now := clock.Now()
		if unread == 0 && time.Duration(now-max(begun, c.readAheadAt.Load())) >= pipelineQuietTime {
			return nil
		}
		if time.Duration(now-begun) > maxPipelineWait {
			return errStillSending
		}
		if !transient.Sleep(ctx, pipelinePollInterval) {
			return context.Cause(ctx)
		}
	}
}

// stopReadAhead stops the goroutine that reads ahead, if there is one, and waits until it has ended.
func (c *clientConn) stopReadAhead() {
	c.mu.Lock()
	done := c.readAheadDone
	if done == nil {
		c.mu.Unlock()
		return
	}
	c.interruptRead()
	c.mu.Unlock()
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAheadDone = nil
	if !c.closeRequested { // otherwise the deadline must stay in the past
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// interruptRead ends the read of the socket that is under way.
func (c *clientConn) interruptRead() {
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // in the past; fails only on a closed connection
}

// readBuffered reads from the bytes that were read ahead, and after them returns the error that ended the reading.
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
	return n, nil
}

// pipelined reports whether the client has sent bytes behind its open request.
func (c *clientConn) pipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAheadDone != nil || len(c.buffered) > 0 || c.framer.begun > c.finished+1
}

// keepIfPipelined removes the header by which the response closes the connection if the client has sent a further
// request, which would get no response. It is called just before the header is written, since bytes may have arrived
// after the request was read.
func (c *clientConn) keepIfPipelined(header http.Header) {
	if header.Get(connectionHeader) == "" {
		return
	}
	unread, _ := backend.UnreadBytes(c.Conn) // an error means that nothing has arrived
	if unread > 0 || c.pipelined() {
		header.Del(connectionHeader)
	}
}

// discardBuffered drops the bytes that were read ahead when the connection closes.
func (c *clientConn) discardBuffered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.bufferedBytes.Add(int64(-len(c.buffered)))
	c.buffered = nil
	if c.readErr == nil {
		c.readErr = net.ErrClosed
	}
}
