// Package datagram exchanges short messages between the nodes of an installation over UDP. Messages may arrive late, in
// any order, or not at all, and senders do not wait for their delivery. The package does not interpret their content.
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
	// MaxSize is the maximum size of a message in bytes.
	MaxSize = 256
	// queueSize is the maximum number of messages queued for sending; further messages are dropped.
	queueSize = 256
	// bindRetryDelay is the time between two attempts to bind the socket.
	bindRetryDelay = time.Second
	// readRetryDelay is the pause after a read that failed with a transient error.
	readRetryDelay = time.Millisecond
)

// Exchange sends messages to the other nodes, and passes on the messages that it receives, while Run runs. Send and
// SetPeers may be called concurrently with Run.
type Exchange struct {
	address string
	log     *zap.Logger
	queue   chan message

	mu      sync.Mutex             // guards peers and numbers
	peers   []netip.AddrPort       // the nodes' addresses, by node number
	numbers map[netip.AddrPort]int // the nodes' numbers, by address
}

// message is a message that is queued for a node.
type message struct {
	to   int // node number
	data string
}

// New returns an exchange that listens at an address once Run is called. peers are the nodes' addresses in the order of
// their numbers.
func New(address string, peers []string, log *zap.Logger) *Exchange {
	x := &Exchange{address: address, log: log, queue: make(chan message, queueSize)}
	x.SetPeers(peers)
	return x
}

// SetPeers replaces the nodes' addresses. A node whose address cannot be parsed can neither send nor receive messages.
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

// Send queues a message to a node, and never blocks. The message is dropped if it is empty or too long, or if the queue
// is full.
func (x *Exchange) Send(to int, data string) {
	if len(data) == 0 || len(data) > MaxSize {
		return
	}
	select {
	case x.queue <- message{to: to, data: data}:
	default:
	}
}

// Run sends and receives messages until ctx ends. It calls handle, from one goroutine at a time, with each message of a
// known node; handle must not block.
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

// bind opens the socket. It fails while another process of this node uses the address, as during an upgrade.
func (x *Exchange) bind() (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp4", x.address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", address)
}

// serve sends and receives on a socket until ctx ends or the socket fails, and then closes it.
func (x *Exchange) serve(ctx context.Context, conn *net.UDPConn, handle func(from int, data string)) {
	serving, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(serving, func() { _ = conn.Close() })()
	// sendLoop ends with serving, and then drops the message that it is about to send, if any.
	go x.sendLoop(serving, conn)
	buffer := make([]byte, MaxSize+1) // one more byte, so that a message that is too long can be recognized
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

// dispatch passes a message to handle if its sender is a known node and it is not too long.
func (x *Exchange) dispatch(from netip.AddrPort, data []byte, handle func(from int, data string)) {
	x.mu.Lock()
	number, known := x.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	x.mu.Unlock()
	if known && len(data) <= MaxSize {
		handle(number, string(data))
	}
}

// sendLoop sends the queued messages. A message that cannot be sent is dropped.
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

// addressOf returns a node's address, which is invalid if the node is unknown or has none.
func (x *Exchange) addressOf(number int) netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	if number < 0 || number >= len(x.peers) {
		return netip.AddrPort{}
	}
	return x.peers[number]
}
