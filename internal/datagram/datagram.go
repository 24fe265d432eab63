// Package datagram carries short messages between the nodes of a tier over UDP. They may arrive late, in any order, or
// never, and no sender waits for one. Their content is opaque to it.
package datagram

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/transient"
)

const (
	// MaxSize is the largest message in bytes.
	MaxSize = 256
	// queueSize bounds the messages that wait to be sent; further ones are dropped.
	queueSize = 256
	// bindRetryDelay is the time between two attempts to bind the socket.
	bindRetryDelay = time.Second
	// readRetryDelay is the pause after a read that failed for a moment.
	readRetryDelay = time.Millisecond
)

// Exchange sends messages to the nodes of a tier, and passes on those that they send, while Run runs. Send and SetPeers
// may be called concurrently with it.
type Exchange struct {
	address string
	log     *zap.Logger
	queue   chan message

	mu      sync.Mutex             // guards peers and numbers
	peers   []netip.AddrPort       // by the nodes' numbers
	numbers map[netip.AddrPort]int // by the nodes' addresses
}

// message waits to be sent to a node.
type message struct {
	to   int
	data string
}

// New makes an exchange that will listen at an address. peers are the nodes' addresses in the order of their numbers.
func New(address string, peers []string, log *zap.Logger) *Exchange {
	x := &Exchange{address: address, log: log, queue: make(chan message, queueSize)}
	x.SetPeers(peers)
	return x
}

// SetPeers replaces the nodes' addresses. A node whose address cannot be parsed is unreachable.
func (x *Exchange) SetPeers(peers []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers = make([]netip.AddrPort, len(peers))
	x.numbers = map[netip.AddrPort]int{}
	for i, text := range peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			x.log.Warn("invalid peer address", zap.String("peer", text), zap.Error(err))
			continue
		}
		x.peers[i] = address
		x.numbers[address] = i
	}
}

// Send queues a message to a node, and never blocks. An empty or too long message is dropped, as is one that finds the
// queue full.
func (x *Exchange) Send(to int, data string) {
	if len(data) == 0 || len(data) > MaxSize {
		return
	}
	select {
	case x.queue <- message{to: to, data: data}:
	default:
	}
}

// Run sends and receives until ctx ends. handle is called with each message of a known node, by one goroutine, and must
// not block.
func (x *Exchange) Run(ctx context.Context, handle func(from int, data string)) {
	for ctx.Err() == nil {
		conn, err := x.bind()
		if err != nil {
			x.log.Warn("cannot bind the address for messages between nodes, retrying",
				zap.String("address", x.address), zap.Error(err))
			transient.Sleep(ctx, bindRetryDelay)
			continue
		}
		x.serve(ctx, conn, handle)
	}
}

// bind opens the socket. It fails while another process of this node has the address, as in an upgrade.
func (x *Exchange) bind() (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp4", x.address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", address)
}

// serve sends and receives on a socket until ctx ends or the socket fails, and closes it.
func (x *Exchange) serve(ctx context.Context, conn *net.UDPConn, handle func(from int, data string)) {
	serving, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(serving, func() { _ = conn.Close() })()
	// The sender ends with serving; a message that it holds then is lost, as any may be.
	go x.sendLoop(serving, conn)
	buffer := make([]byte, MaxSize+1) // one byte more, so that a longer message is recognised
	for serving.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		switch {
		case err == nil:
			x.dispatch(from, buffer[:n], handle)
		case transient.IsTransient(err):
			transient.Sleep(serving, readRetryDelay)
		default:
			return
		}
	}
}

// dispatch passes a message to handle, if it is of a known node and not too long.
func (x *Exchange) dispatch(from netip.AddrPort, data []byte, handle func(from int, data string)) {
	x.mu.Lock()
	number, known := x.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	x.mu.Unlock()
	if known && len(data) <= MaxSize {
		handle(number, string(data))
	}
}

// sendLoop writes what is queued. A message that cannot be sent is lost, as any may be.
func (x *Exchange) sendLoop(ctx context.Context, conn *net.UDPConn) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-x.queue:
			if to := x.addressOf(m.to); to.IsValid() {
				_, _ = conn.WriteToUDPAddrPort([]byte(m.data), to)
			}
		}
	}
}

// addressOf is a node's address; it is not valid if the node has none.
func (x *Exchange) addressOf(number int) netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	if number < 0 || number >= len(x.peers) {
		return netip.AddrPort{}
	}
	return x.peers[number]
}
