// Package faults stands between the processes of a test and does to what they send each other what networks do: it drops, delays,
// reorders, doubles, stalls, cuts silently and resets, each direction of each pair for itself, as it is told. All of it is on
// loopback.
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

// Way is how one direction of a pair is. The zero value is a good one.
type Way struct {
	Cut    bool          // nothing gets through and nothing is said; a stream goes on where it stood once this ends
	Loss   float64       // of packets; a stream's pieces come a round trip later instead
	Double float64       // of packets
	Delay  time.Duration // of both
	Spread time.Duration // drawn in addition, for each packet: they overtake each other
}

const (
	resend    = 200 * time.Millisecond // by which a stream's piece is late that was lost
	packetTop = 64 << 10
	heldTop   = 4096 // packets that are under way at once
	pieceTop  = 16 << 10
)

// Net is the relays between so many parties.
type Net struct {
	mu    sync.Mutex
	ways  map[[2]int]Way
	moved chan struct{} // closed and made anew at each change
	rng   *rand.Rand
	close []io.Closer
	done  chan struct{}
	held  atomic.Int64
	conns map[net.Conn][2]int
	// Passed and Lost count packets.
	Passed, Lost atomic.Int64
}

// New makes relays whose draws come from a seed.
func New(seed uint64) *Net {
	return &Net{ways: map[[2]int]Way{}, moved: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 9)), done: make(chan struct{}), conns: map[net.Conn][2]int{}}
}

// Set changes one direction.
func (n *Net) Set(from, to int, w Way) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ways[[2]int{from, to}] = w
	close(n.moved)
	n.moved = make(chan struct{})
}

// Heal makes all directions good.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.ways)
	close(n.moved)
	n.moved = make(chan struct{})
}

// Reset ends all streams between two parties, as a machine does that has forgotten them.
func (n *Net) Reset(a, b int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, pair := range n.conns {
		if pair == [2]int{a, b} || pair == [2]int{b, a} {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			c.Close()
		}
	}
}

func (n *Net) way(from, to int) (Way, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ways[[2]int{from, to}], n.moved
}

func (n *Net) draw() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

// Close ends all relays.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.done:
		return
	default:
		close(n.done)
	}
	for _, c := range n.close {
		c.Close()
	}
	for c := range n.conns {
		c.Close()
	}
}

// Stream relays TCP connections that one party opens to another, which listens at target. It returns where the first dials.
func (n *Net) Stream(from, to int, target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.streams(l, from, to, target)
	return l.Addr().String(), nil
}

// Both relays TCP and UDP at one address.
func (n *Net) Both(from, to int, target string) (string, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		_, port, _ := net.SplitHostPort(l.Addr().String()) // a listener's own address
		number, _ := strconv.Atoi(port)
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: number})
		if err != nil {
			l.Close() // somebody has that port for UDP
			continue
		}
		n.streams(l, from, to, target)
		if err := n.packets(u, from, to, target); err != nil {
			return "", err
		}
		return l.Addr().String(), nil
	}
	return "", errors.New("no port is free for both TCP and UDP")
}

func (n *Net) keep(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.close = append(n.close, c)
}

func (n *Net) packets(u *net.UDPConn, from, to int, target string) error {
	n.keep(u)
	out, err := net.Dial("udp", target)
	if err != nil {
		return err
	}
	n.keep(out)
	go func() {
		b := make([]byte, packetTop)
		for {
			size, _, err := u.ReadFromUDP(b)
			if err != nil {
				return
			}
			w, _ := n.way(from, to)
			if w.Cut || w.Loss > 0 && n.draw() < w.Loss || n.held.Load() > heldTop {
				n.Lost.Add(1)
				continue
			}
			times := 1
			if w.Double > 0 && n.draw() < w.Double {
				times = 2
			}
			for range times {
				late := w.Delay
				if w.Spread > 0 {
					late += time.Duration(n.draw() * float64(w.Spread))
				}
				n.Passed.Add(1)
				if late == 0 {
					_, _ = out.Write(b[:size]) // nobody there is a lost packet
					continue
				}
				piece := append([]byte(nil), b[:size]...)
				n.held.Add(1)
				time.AfterFunc(late, func() {
					n.held.Add(-1)
					_, _ = out.Write(piece)
				})
			}
		}
	}()
	return nil
}

func (n *Net) streams(l net.Listener, from, to int, target string) {
	n.keep(l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.relay(c, from, to, target)
		}
	}()
}

func (n *Net) note(c net.Conn, pair [2]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = pair
}

func (n *Net) drop(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	c.Close()
}

// passes waits until a direction is not cut. False: the relays have ended.
func (n *Net) passes(from, to int) (Way, bool) {
	for {
		w, moved := n.way(from, to)
		if !w.Cut {
			return w, true
		}
		select {
		case <-moved:
		case <-n.done:
			return w, false
		}
	}
}

func (n *Net) relay(near net.Conn, from, to int, target string) {
	n.note(near, [2]int{from, to})
	defer n.drop(near)
	if _, ok := n.passes(from, to); !ok { // the first packet of the connection does not get through either
		return
	}
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		if t, ok := near.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // refused
		}
		return
	}
	n.note(far, [2]int{from, to})
	defer n.drop(far)
	ended := make(chan struct{}, 2)
	pipe := func(in, out net.Conn, from, to int) {
		defer func() { ended <- struct{}{} }()
		b := make([]byte, pieceTop)
		for {
			size, err := in.Read(b)
			if size > 0 {
				w, ok := n.passes(from, to)
				if !ok {
					return
				}
				late := w.Delay
				if w.Loss > 0 && n.draw() < w.Loss {
					late += resend
				}
				if late > 0 {
					select {
					case <-time.After(late):
					case <-n.done:
						return
					}
				}
				if _, werr := out.Write(b[:size]); werr != nil {
					return
				}
			}
			if err != nil {
				if t, ok := out.(*net.TCPConn); ok && err == io.EOF {
					_ = t.CloseWrite()
				}
				return
			}
		}
	}
	go pipe(near, far, from, to)
	go pipe(far, near, to, from)
	<-ended
	select { // what is left of the other direction has a moment
	case <-ended:
	case <-time.After(time.Second):
	case <-n.done:
	}
}
