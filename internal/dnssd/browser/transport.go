package browser

import (
	"fmt"
	"net"
	"net/netip"
)

const (
	// maxMDNSMessageSize is the maximum size of an mDNS message in bytes (RFC 6762, 17).
	maxMDNSMessageSize = 9000
	// unicastReadBuffer is the size of the socket's receive buffer in bytes. It holds the burst of messages that
	// announces a service with many instances.
	unicastReadBuffer = 4 << 20
)

// Transport sends and receives mDNS messages. Unicast is its only implementation in this package; nothing here sends
// multicast.
type Transport interface {
	// Send sends one message.
	Send(raw []byte) error
	// Receive waits for one message; it returns net.ErrClosed after Close. The caller owns the returned bytes.
	Receive() ([]byte, error)
	// Close closes the transport and unblocks Receive.
	Close() error
}

// Unicast is a Transport over UDP between loopback addresses. It sends to one peer and drops datagrams from all other
// sources. Receive must be called by one goroutine at a time; Send and Close may be called concurrently with it.
type Unicast struct {
	conn   *net.UDPConn
	peer   netip.AddrPort
	buffer [maxMDNSMessageSize]byte
}

var _ Transport = (*Unicast)(nil)

// DialUnicast opens a socket for the peer with the given IP address and port. It rejects addresses that are not
// loopback addresses, such as multicast addresses.
func DialUnicast(peer string) (*Unicast, error) {
	address, err := netip.ParseAddrPort(peer)
	if err != nil {
		return nil, err
	}
	if !address.Addr().IsLoopback() {
		return nil, fmt.Errorf("mDNS peer %v is not a loopback address", address)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(unicastReadBuffer) // with a smaller buffer more datagrams are lost and queried again
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
