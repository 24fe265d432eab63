// Package datagram carries short messages between the nodes of a tier over UDP. They come late, in any order, or never; nobody waits
// for one. It knows nothing of what they say.
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
	// SizeMost is the largest message, in bytes.
	SizeMost = 256
	// queueSize bounds the messages that wait to be sent; a further one is dropped.
	queueSize = 256
	// bindPause is the pause before a socket that could not be bound is tried again.
	bindPause = time.Second
)

// Exchange sends messages to the nodes of a tier, and hands on those that they send. Run works it.
type Exchange struct {
	address string
	log     *zap.Logger
	queue   chan message

	mu      sync.Mutex
	peers   []netip.AddrPort       // by the nodes' numbers
	numbers map[netip.AddrPort]int // of the nodes
	heard   func(from int, data string)
}

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

// SetPeers changes who the other nodes are. An address that cannot be read is nobody's.
func (x *Exchange) SetPeers(peers []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers, x.numbers = make([]netip.AddrPort, len(peers)), map[netip.AddrPort]int{}
	for i, text := range peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			x.log.Warn("a peer's address cannot be read", zap.String("peer", text), zap.Error(err))
			continue
		}
		x.peers[i], x.numbers[address] = address, i
	}
}

// Send sends a message to a node, without waiting. One that is too long, or finds the queue full, is dropped.
func (x *Exchange) Send(to int, data string) {
	if len(data) == 0 || len(data) > SizeMost {
		return
	}
	select {
	case x.queue <- message{to, data}:
	default:
	}
}

// Run sends and receives until ctx ends. heard is called with each message of a known node, and must not wait.
func (x *Exchange) Run(ctx context.Context, heard func(from int, data string)) {
	x.heard = heard
	for ctx.Err() == nil {
		conn, err := x.bind()
		if err != nil {
			x.log.Warn("no messages between nodes: the address cannot be bound", zap.String("address", x.address), zap.Error(err))
			transient.Sleep(ctx, bindPause)
			continue
		}
		x.serve(ctx, conn)
	}
}

// bind opens the socket. Another process of this node may have it: then this one does without until that is over.
func (x *Exchange) bind() (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp4", x.address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", address)
}

// serve works a socket until ctx ends or it is of no further use.
func (x *Exchange) serve(ctx context.Context, conn *net.UDPConn) {
	serving, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(serving, func() { _ = conn.Close() })()
	go x.send(serving, conn)
	buffer := make([]byte, SizeMost+1)
	for serving.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		switch {
		case err == nil:
			x.take(from, buffer[:n])
		case transient.IsTransient(err):
			transient.Sleep(serving, time.Millisecond)
		default:
			return
		}
	}
}

func (x *Exchange) take(from netip.AddrPort, data []byte) {
	x.mu.Lock()
	number, known := x.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	x.mu.Unlock()
	if known && len(data) <= SizeMost {
		x.heard(number, string(data))
	}
}

// send writes what is queued. A message that cannot be sent is lost, like any other may be.
func (x *Exchange) send(ctx context.Context, conn *net.UDPConn) {
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

func (x *Exchange) addressOf(number int) netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	if number < 0 || number >= len(x.peers) {
		return netip.AddrPort{}
	}
	return x.peers[number]
}
