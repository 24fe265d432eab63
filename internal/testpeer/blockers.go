package testpeer

import (
	"context"
	"net"
	"sync/atomic"
)

// wrappedListener applies wrap to each connection that it accepts.
type wrappedListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l wrappedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// ReadBlocker wraps a node's client connections and can block a read after the system call has returned: the bytes have
// left the socket by then, but the node has not received them.
type ReadBlocker struct {
	Received chan struct{} // receives a value when a read that returned bytes is blocked
	Release  chan struct{} // a value sent here lets the blocked read return
	Accepted chan struct{} // receives a value for each accepted connection; buffers 100
	armed    atomic.Bool   // the next read that returns bytes is blocked
}

// NewReadBlocker creates a ReadBlocker, which blocks no read before BlockNext is called.
func NewReadBlocker() *ReadBlocker {
	return &ReadBlocker{
		Received: make(chan struct{}),
		Release:  make(chan struct{}),
		Accepted: make(chan struct{}, 100),
	}
}

// BlockNext makes the next read that returns bytes block, on whichever connection it is.
func (b *ReadBlocker) BlockNext() { b.armed.Store(true) }

// Conn wraps an accepted TCP connection.
func (b *ReadBlocker) Conn(conn net.Conn) net.Conn {
	b.Accepted <- struct{}{}
	return &blockedConn{conn.(*net.TCPConn), b}
}

type blockedConn struct {
	*net.TCPConn
	blocker *ReadBlocker
}

// Read implements net.Conn.
func (c *blockedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.blocker.armed.CompareAndSwap(true, false) {
		c.blocker.Received <- struct{}{}
		<-c.blocker.Release
	}
	return n, err
}

// DialBlocker dials backends and blocks the first dials after their connections have been established.
type DialBlocker struct {
	Connected chan string   // receives the address of each dial that is blocked
	Release   chan struct{} // a value sent here lets one blocked dial return

	remaining atomic.Int32 // the number of dials that are still to be blocked
}

// NewDialBlocker creates a DialBlocker that blocks the first n dials.
func NewDialBlocker(n int) *DialBlocker {
	b := &DialBlocker{Connected: make(chan string, n), Release: make(chan struct{}, n)}
	b.remaining.Store(int32(n))
	return b
}

// Dial is a DialFunc. A cancellation of ctx does not end it.
func (b *DialBlocker) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, address)
	if err != nil || b.remaining.Add(-1) < 0 {
		return conn, err
	}
	b.Connected <- address
	<-b.Release
	return conn, nil
}
