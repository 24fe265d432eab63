package console

import (
	"net"
	"slices"
	"sync"
)

const maxConnections = 16

// connectionLimiter is a listener that bounds the open connections. A connection beyond the bound closes the oldest one
// whose call has not arrived; where all have arrived, it is closed itself.
type connectionLimiter struct {
	net.Listener

	mu          sync.Mutex           // guards connections, and received of each
	connections []*limitedConnection // the oldest first
}

// limitedConnection is an accepted connection.
type limitedConnection struct {
	net.Conn
	limiter  *connectionLimiter
	received bool // its call has arrived; guarded by limiter.mu
}

// Accept implements net.Listener. The connections are *limitedConnection.
func (l *connectionLimiter) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.admit(conn); admitted != nil {
			return admitted, nil
		}
		_ = conn.Close() // all others are being answered
	}
}

// admit returns nil where no connection can be closed in favour of this one.
func (l *connectionLimiter) admit(conn net.Conn) *limitedConnection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.connections) >= maxConnections {
		oldest := slices.IndexFunc(l.connections, func(c *limitedConnection) bool { return !c.received })
		if oldest < 0 {
			return nil
		}
		_ = l.connections[oldest].Conn.Close()
		l.connections = slices.Delete(l.connections, oldest, oldest+1)
	}
	admitted := &limitedConnection{Conn: conn, limiter: l}
	l.connections = append(l.connections, admitted)
	return admitted
}

// requestReceived notes that the connection's call has arrived.
func (c *limitedConnection) requestReceived() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.received = true
}

// Close implements net.Conn.
func (c *limitedConnection) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}

func (l *connectionLimiter) remove(c *limitedConnection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.connections, c); i >= 0 {
		l.connections = slices.Delete(l.connections, i, i+1)
	}
}
