package store

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// countingStreamLayer opens and accepts the connections between members. It counts the bytes that this member writes,
// and dials the address in dialAddresses, if there is one, instead of the one in the replicated configuration. It
// implements raft.StreamLayer.
type countingStreamLayer struct {
	net.Listener
	bytesWritten  *atomic.Int64
	dialAddresses map[string]string // address to dial, by the address in the replicated configuration
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

// countingConn is a connection that adds the number of bytes written to a counter.
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
