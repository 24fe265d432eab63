package browser

import (
	"fmt"
	"net"
	"net/netip"
)

const (
	// maxMDNSMessageSize is the largest mDNS message in bytes (RFC 6762, 17).
	maxMDNSMessageSize = 9000
	// unicastReadBuffer is the socket's receive buffer in bytes; a large service is announced in one burst.
	unicastReadBuffer = 4 << 20
)

// Transport carries mDNS messages. This package has Unicast alone; nothing here sends multicast.
type Transport interface {
	Send(raw []byte) error
	// Receive waits for one message; it returns net.ErrClosed after Close. The caller owns the bytes.
	Receive() ([]byte, error)
	Close() error
}

// Unicast is a Transport over UDP between loopback addresses: it sends to one peer, and drops what others send. Receive
// may be called by one goroutine at a time, Send and Close concurrently with it.
type Unicast struct {
	conn   *net.UDPConn
	peer   netip.AddrPort
	buffer [maxMDNSMessageSize]byte
}

var _ Transport = (*Unicast)(nil)

// DialUnicast opens a socket for a peer. It rejects addresses that are not loopback, multicast addresses among them.
func DialUnicast(peer string) (*Unicast, error) {
	address, err := netip.ParseAddrPort(peer)
	if err != nil {
		return nil, err
	}
	if !address.Addr().IsLoopback() {
		return nil, fmt.Errorf("%v is no loopback address", address)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(unicastReadBuffer) // the system may allow less: then more is lost and asked for again
	return &Unicast{conn: conn, peer: address}, nil
}

// Send implements Transport.
func (u *Unicast) Send(raw []byte) error {
	_, err := u.conn.WriteToUDPAddrPort(raw, u.peer)
	return err
}

// Receive implements Transport.
func (u *Unicast) Receive() ([]byte, error) {
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(u.buffer[:])
		if err != nil {
			return nil, err
		}
		if netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) == u.peer {
			return append([]byte(nil), u.buffer[:n]...), nil
		}
	}
}

// Close implements Transport.
func (u *Unicast) Close() error { return u.conn.Close() }
