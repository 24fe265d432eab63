package realserver

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// lateDial is for how long a connection is still waited for once its attempt has given it up. One that comes up by then shows
// that its server is there, and only late; one to a machine that is lost never does.
const lateDial = 1200 * time.Millisecond

const lateMost = 2 // connections that came late and are kept for the next attempt

// dialing opens connections to one server.
type dialing struct {
	Options
	name string
	open func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	late   []lateConn
	closed bool // the server is another process by now, or gone
}

type lateConn struct {
	net.Conn
	since time.Time
}

// dial opens a connection, or takes one that came too late for another attempt. After DialTimeout the attempt has failed; the
// dialing goes on by itself.
func (d *dialing) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if c := d.kept(); c != nil {
		return c, nil
	}
	type opened struct {
		c   net.Conn
		err error
	}
	done := make(chan opened, 1)
	go func() {
		c, err := d.open(context.WithoutCancel(ctx), network, address)
		done <- opened{c, err}
	}()
	timer := time.NewTimer(d.DialTimeout)
	defer timer.Stop()
	select {
	case o := <-done:
		return o.c, o.err
	case <-ctx.Done():
		go func() { d.came((<-done).c) }()
		return nil, ctx.Err()
	case <-timer.C:
		go func() { d.came((<-done).c) }()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	}
}

// came takes in how a dialing ended that nobody waited for any more; nil: without a connection.
func (d *dialing) came(c net.Conn) {
	if c == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		c.Close()
		return
	}
	if d.Came != nil {
		go d.Came(d.name) // who is told may be busy
	}
	d.late = append(d.late, lateConn{c, time.Now()})
	for len(d.late) > lateMost {
		d.late[0].Close()
		d.late = d.late[1:]
	}
	time.AfterFunc(d.ConnIdle/2, d.expire)
}

// kept is a connection that came late, the newest first.
func (d *dialing) kept() net.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n := len(d.late); n > 0; n = len(d.late) {
		c := d.late[n-1]
		d.late = d.late[:n-1]
		if time.Since(c.since) < d.ConnIdle/2 && !(&link{Conn: c.Conn}).stirring() {
			return c.Conn
		}
		c.Close()
	}
	return nil
}

// expire closes what has been kept for too long.
func (d *dialing) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.late) > 0 && time.Since(d.late[0].since) >= d.ConnIdle/2 {
		d.late[0].Close()
		d.late = d.late[1:]
	}
}

// close closes what is kept.
func (d *dialing) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.late {
		c.Close()
	}
	d.late, d.closed = nil, true
}
