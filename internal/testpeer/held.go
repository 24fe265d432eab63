package testpeer

import (
	"context"
	"net"
	"sync/atomic"
)

// wrappedListener passes each connection that it accepts through wrap.
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

// HeldReads wraps a node's connections from its clients, and can hold a read back behind the kernel's own: the bytes
// have left the socket then, and the node has not got them.
type HeldReads struct {
	Received chan struct{} // gets a value once bytes have come that are held back
	Release  chan struct{} // a value hands them on
	Accepted chan struct{} // gets a value for each connection; holds a hundred
	holding  atomic.Bool
}

// NewReadBlocker creates a HeldReads; nothing is held back before HoldNext.
func NewReadBlocker() *HeldReads {
	return &HeldReads{
		Received: make(chan struct{}),
		Release:  make(chan struct{}),
		Accepted: make(chan struct{}, 100),
	}
}

// HoldNext holds the next read back that brings anything, on whichever connection.
func (h *HeldReads) HoldNext() { h.holding.Store(true) }

// Conn wraps an accepted TCP connection.
func (h *HeldReads) Conn(conn net.Conn) net.Conn {
	h.Accepted <- struct{}{}
	return &heldConn{conn.(*net.TCPConn), h}
}

type heldConn struct {
	*net.TCPConn
	held *HeldReads
}

// Read implements net.Conn.
func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.held.holding.CompareAndSwap(true, false) {
		c.held.Received <- struct{}{}
		<-c.held.Release
	}
	return n, err
}

// HeldDials dials backends, and holds the first connections back once they are established.
type HeldDials struct {
	Connected chan string   // gets the address of each connection that is held back
	Release   chan struct{} // a value hands one on

	remaining atomic.Int32 // dials that are still to be held back
}

// NewDialBlocker creates a HeldDials that holds the first n dials back.
func NewDialBlocker(n int) *HeldDials {
	h := &HeldDials{Connected: make(chan string, n), Release: make(chan struct{}, n)}
	h.remaining.Store(int32(n))
	return h
}

// Dial is a Dial function.
func (h *HeldDials) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, address)
	if err != nil || h.remaining.Add(-1) < 0 {
		return conn, err
	}
	h.Connected <- address
	<-h.Release
	return conn, nil
}
