package console

import (
	"net"
	"slices"
	"sync"
)

// maxConnections is the maximum number of open connections.
const maxConnections = 16

// connectionLimiter is a listener that bounds the number of open connections. A new connection beyond the bound
// replaces the oldest one whose request has not been received; if all requests have been received, the new connection
// is closed.
type connectionLimiter struct {
	net.Listener

	mu          sync.Mutex           // guards connections, and received of each connection
	connections []*limitedConnection // from the oldest to the latest
}

// limitedConnection is an accepted connection.
type limitedConnection struct {
	net.Conn
	limiter  *connectionLimiter
	received bool // its request has been received; guarded by limiter.mu
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
		_ = conn.Close() // all open connections have a request in progress
	}
}

// admit adds a connection, and closes the oldest one without a received request if there are too many. It returns nil
// if there are too many and none can be closed.
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

// requestReceived records that the connection's request has been received.
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

// remove removes a closed connection from the list of open ones.
func (l *connectionLimiter) remove(c *limitedConnection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.connections, c); i >= 0 {
		l.connections = slices.Delete(l.connections, i, i+1)
	}
}
