// Package faults relays the traffic between the processes of a test over loopback and injects network faults into it.
// Each direction between two parties has conditions of its own: packets can be dropped, delayed, reordered and
// duplicated, streams can be delayed, stalled without notice and reset.
package faults

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Conditions are the conditions of one direction between two parties. The zero value injects no faults.
type Conditions struct {
	// Blocked drops all packets and stalls streams without an error. A stream continues where it stopped once the
	// direction is no longer blocked.
	Blocked       bool
	LossRate      float64       // the fraction of packets dropped; of a stream's chunks, delayed by retransmitDelay
	DuplicateRate float64       // the fraction of packets that are duplicated
	Delay         time.Duration // the delay of each packet and of each chunk of a stream
	Jitter        time.Duration // the bound of a random delay that is added for each packet and so reorders packets
}

const (
	retransmitDelay   = 200 * time.Millisecond // the delay added to a stream's chunk in place of its loss
	maxPacketBytes    = 64 << 10               // the size of the buffer for a UDP packet
	maxDelayedPackets = 4096                   // the number of delayed packets above which further ones are dropped
	maxChunkBytes     = 16 << 10               // the size of the buffer for a stream's chunk
)

// Network relays the traffic between parties, which are identified by numbers. It is safe for concurrent use.
type Network struct {
	mu             sync.Mutex            // guards conditions, changed, rng, closers and pairs
	conditions     map[[2]int]Conditions // by sender and receiver
	changed        chan struct{}         // closed and replaced at each change of conditions
	rng            *rand.Rand
	closers        []io.Closer // the relays' listeners and packet connections
	done           chan struct{}
	delayedPackets atomic.Int64        // packets that are delayed at present
	pairs          map[net.Conn][2]int // the parties of each open stream's connections, the one that dialled first
	// Forwarded and Dropped count packets. A duplicate counts as a packet of its own.
	Forwarded, Dropped atomic.Int64
}

// New creates a network whose random draws are determined by seed.
func New(seed uint64) *Network {
	return &Network{
		conditions: map[[2]int]Conditions{},
		changed:    make(chan struct{}),
		rng:        rand.New(rand.NewPCG(seed, 9)),
		done:       make(chan struct{}),
		pairs:      map[net.Conn][2]int{},
	}
}

// SetConditions sets the conditions of one direction.
func (n *Network) SetConditions(from, to int, conditions Conditions) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conditions[[2]int{from, to}] = conditions
	close(n.changed)
	n.changed = make(chan struct{})
}

// ClearConditions ends the injection of faults in all directions.
func (n *Network) ClearConditions() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.conditions)
	close(n.changed)
	n.changed = make(chan struct{})
}

// ResetStreams resets all streams between two parties, as a host does that has lost its connection state.
func (n *Network) ResetStreams(a, b int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn, pair := range n.pairs {
		if pair == [2]int{a, b} || pair == [2]int{b, a} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			conn.Close()
		}
	}
}

// conditionsOf returns the conditions of a direction and a channel that is closed when conditions change.
func (n *Network) conditionsOf(from, to int) (Conditions, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conditions[[2]int{from, to}], n.changed
}

// random returns a random number in [0, 1).
func (n *Network) random() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

// Close stops all relays and closes their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.done:
		return
	default:
		close(n.done)
	}
	for _, closer := range n.closers {
		closer.Close()
	}
	for conn := range n.pairs {
		conn.Close()
	}
}

// RelayTCP relays the TCP connections that party from opens to party to, which listens at target. It returns the
// address that from must dial.
func (n *Network) RelayTCP(from, to int, target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.acceptStreams(listener, from, to, target)
	return listener.Addr().String(), nil
}

// RelayTCPAndUDP is RelayTCP for TCP connections and UDP packets, both at the returned address.
func (n *Network) RelayTCPAndUDP(from, to int, target string) (string, error) {
	for range 50 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		_, portText, _ := net.SplitHostPort(listener.Addr().String()) // the address of a listener is well-formed
		port, _ := strconv.Atoi(portText)
		packets, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			listener.Close() // another process uses that port for UDP
			continue
		}
		n.acceptStreams(listener, from, to, target)
		if err := n.relayUDP(packets, from, to, target); err != nil {
			return "", err
		}
		return listener.Addr().String(), nil
	}
	return "", errors.New("no port is free for both TCP and UDP")
}

// addCloser makes Close close c.
func (n *Network) addCloser(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, c)
}

// relayUDP starts to relay the packets that arrive at in to target.
func (n *Network) relayUDP(in *net.UDPConn, from, to int, target string) error {
	n.addCloser(in)
	out, err := net.Dial("udp", target)
	if err != nil {
		return err
	}
	n.addCloser(out)
	go func() {
		buffer := make([]byte, maxPacketBytes)
		for {
			size, _, err := in.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			conditions, _ := n.conditionsOf(from, to)
			if conditions.Blocked || conditions.LossRate > 0 && n.random() < conditions.LossRate ||
				n.delayedPackets.Load() > maxDelayedPackets {
				n.Dropped.Add(1)
				continue
			}
			copies := 1
			if conditions.DuplicateRate > 0 && n.random() < conditions.DuplicateRate {
				copies = 2
			}
			for range copies {
				delay := conditions.Delay
				if conditions.Jitter > 0 {
					delay += time.Duration(n.random() * float64(conditions.Jitter))
				}
				n.Forwarded.Add(1)
				if delay == 0 {
					_, _ = out.Write(buffer[:size]) // a packet that nobody receives is lost
					continue
				}
				packet := append([]byte(nil), buffer[:size]...)
				n.delayedPackets.Add(1)
				time.AfterFunc(delay, func() {
					n.delayedPackets.Add(-1)
					_, _ = out.Write(packet)
				})
			}
		}
	}()
	return nil
}

// acceptStreams starts to relay the connections that listener accepts to target.
func (n *Network) acceptStreams(listener net.Listener, from, to int, target string) {
	n.addCloser(listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.relayConn(conn, from, to, target)
		}
	}()
}

// addConn records an open connection and the parties of its stream.
func (n *Network) addConn(conn net.Conn, pair [2]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pairs[conn] = pair
}

// closeConn removes and closes a connection that addConn recorded.
func (n *Network) closeConn(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pairs, conn)
	conn.Close()
}

// waitUnblocked waits until a direction is not blocked and returns its conditions. It reports whether that came about
// before the network was closed.
func (n *Network) waitUnblocked(from, to int) (Conditions, bool) {
	for {
		conditions, changed := n.conditionsOf(from, to)
		if !conditions.Blocked {
			return conditions, true
		}
		select {
		case <-changed:
		case <-n.done:
			return conditions, false
		}
	}
}

// relayConn relays an accepted connection to target until it ends.
func (n *Network) relayConn(near net.Conn, from, to int, target string) {
	n.addConn(near, [2]int{from, to})
	defer n.closeConn(near)
	if _, ok := n.waitUnblocked(from, to); !ok { // a blocked direction also stalls the opening of connections
		return
	}
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close resets the connection, as if it had been refused
		}
		return
	}
	n.addConn(far, [2]int{from, to})
	defer n.closeConn(far)
	ended := make(chan struct{}, 2)
	pipe := func(source, destination net.Conn, from, to int) {
		defer func() { ended <- struct{}{} }()
		buffer := make([]byte, maxChunkBytes)
		for {
			size, err := source.Read(buffer)
			if size > 0 {
				conditions, ok := n.waitUnblocked(from, to)
				if !ok {
					return
				}
				delay := conditions.Delay
				if conditions.LossRate > 0 && n.random() < conditions.LossRate {
					delay += retransmitDelay
				}
				if delay > 0 {
					select {
					case <-time.After(delay):
					case <-n.done:
						return
					}
				}
				if _, writeErr := destination.Write(buffer[:size]); writeErr != nil {
					return
				}
			}
			if err != nil {
				if tcp, ok := destination.(*net.TCPConn); ok && err == io.EOF {
					_ = tcp.CloseWrite()
				}
				return
			}
		}
	}
	go pipe(near, far, from, to)
	go pipe(far, near, to, from)
	<-ended
	select { // the other direction gets up to a second to finish
	case <-ended:
	case <-time.After(time.Second):
	case <-n.done:
	}
}
