package store

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// countingStreamLayer carries the members' connections. It counts the bytes that this member writes, and dials
// members at other addresses than the replicated configuration has, where dialAddresses has one. It implements
// raft.StreamLayer.
type countingStreamLayer struct {
	net.Listener
	bytesWritten  *atomic.Int64
	dialAddresses map[string]string // by the address in the replicated configuration
}

// Accept implements net.Listener.
func (l countingStreamLayer) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytesWritten}, nil
}

// Dial implements raft.StreamLayer.
func (l countingStreamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	target := string(address)
	if override, ok := l.dialAddresses[target]; ok {
		target = override
	}
	conn, err := net.DialTimeout("tcp", target, timeout)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytesWritten}, nil
}

// countingConn adds the bytes that it writes to a counter.
type countingConn struct {
	net.Conn
	bytesWritten *atomic.Int64
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}
