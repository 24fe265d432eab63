package rig2

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay passes connections on to an address, unless it is cut: then what is open ends, and what comes is closed at once.
type Relay struct {
	Address string

	target string
	mu     sync.Mutex
	cut    bool
	open   map[net.Conn]bool
}

// StartRelay starts a relay to an address.
func (c *Case) StartRelay(target string) *Relay {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	r := &Relay{Address: l.Addr().String(), target: target, open: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.pass(conn)
		}
	}()
	return r
}

func (r *Relay) add(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		conn.Close()
		return false
	}
	r.open[conn] = true
	return true
}

func (r *Relay) remove(conn net.Conn) {
	conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, conn)
}

func (r *Relay) pass(conn net.Conn) {
	if !r.add(conn) {
		return
	}
	defer r.remove(conn)
	other, err := net.DialTimeout("tcp4", r.target, time.Second)
	if err != nil || !r.add(other) {
		return
	}
	defer r.remove(other)
	done := make(chan bool, 2)
	for _, pair := range [][2]net.Conn{{conn, other}, {other, conn}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- true
		}()
	}
	<-done
}

// SetCut cuts the relay or heals it.
func (r *Relay) SetCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		for conn := range r.open {
			conn.Close()
		}
	}
}
